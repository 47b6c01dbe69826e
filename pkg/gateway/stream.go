package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/sse"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// heardInterval is the time between two notes that a stream's upstream has given a sign of life: well below the time after
// which it would be asked for one.
const heardInterval = 100 * time.Millisecond

// forward passes the events of a stream to the caller as they arrive. The head is written with the first event, so that
// a stream that breaks off before it can still be refused or moved.
func (c *call) forward(resp *http.Response, upstream string) (dispatch.Outcome, *answer, error) {
	events := sse.NewReader(resp.Body)
	rc := http.NewResponseController(c.w)
	a := &answer{status: resp.StatusCode, streamed: true}
	heardAt := time.Time{}
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			c.begin(resp)
			return dispatch.Done, a, nil
		}
		if err != nil {
			return dispatch.Interrupted, nil, err
		}
		if now := time.Now(); now.Sub(heardAt) > heardInterval {
			heardAt = now
			c.g.core.Do(func(s *dispatch.State) { s.Fleet.RecordHeartbeat(now, upstream) })
		}
		if c.begun && c.repeated(e.ID) {
			continue
		}
		c.begin(resp)
		_, err = c.w.Write(e.Raw)
		if err == nil {
			err = rc.Flush()
		}
		if err != nil {
			return dispatch.Interrupted, nil, err
		}
		if e.ID != "" {
			c.lastID = e.ID
		}
	}
}

func (c *call) begin(resp *http.Response) {
	if c.begun {
		return
	}
	c.begun = true
	platform.CopyAnswerHeader(c.w.Header(), resp.Header)
	c.w.WriteHeader(resp.StatusCode)
}

// repeated reports whether an event of a resumed stream was forwarded before.
func (c *call) repeated(id string) bool {
	last, err1 := strconv.ParseInt(c.lastID, 10, 64)
	next, err2 := strconv.ParseInt(id, 10, 64)
	return err1 == nil && err2 == nil && next <= last
}
