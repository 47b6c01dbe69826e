package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/sse"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// heartbeatInterval is the least time between two heartbeats recorded for a stream's upstream. It is well below the
// time after which the upstream would be probed.
const heartbeatInterval = 100 * time.Millisecond

// provenEvents is the number of events after which a request does not crash its upstream by its prompt: an upstream may
// send the first event before it ends.
const provenEvents = 2

// forward writes the events of a stream to the caller as they arrive. The head is written with the first event, so a
// stream that is interrupted before it can still be refused or retried at another upstream.
func (c *callerRequest) forward(resp *http.Response, u *dispatch.UpstreamRef) (dispatch.Outcome, *answer, error) {
	events := sse.NewReader(resp.Body)
	events.SetReserve(func(n int) error { return c.g.memory.Reserve(c.holder, int64(n), answerMemoryWait) })
	rc := http.NewResponseController(c.w)
	a := &answer{status: resp.StatusCode, streamed: true}
	lastHeartbeat, received := time.Time{}, 0
	resumed := c.lastEventID != ""
	observed := streamObserver{c: c, upstream: u.ID, resumed: resumed}
	c.events.StartRun()
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			// A run that goes on where another has ended may have no further events.
			if received == 0 && !c.headWritten && h1.IsUnframed(resp) {
				c.cause = "connection closed before the first event"
				return dispatch.Interrupted, nil, nil
			}
			if err := c.events.End(); err != nil {
				return dispatch.Interrupted, nil, err
			}
			c.extendWriteDeadline() // the end can follow the last event by more than the deadline set for it
			c.writeHead(resp)
			observed.recordEnd()
			if a.events = received; resumed {
				a.events = -1
			}
			return dispatch.Done, a, nil
		}
		if err != nil {
			if events.HasPart() {
				c.events.RecordPart()
			}
			return dispatch.Interrupted, nil, err
		}
		forwarded, err := c.events.Add(e)
		if err != nil {
			return dispatch.Interrupted, nil, err
		}
		if received == 0 {
			c.recordPromptProcessed()
		}
		observed.recordEvent(time.Now())
		if received++; received == provenEvents {
			c.g.core.Do(func(s *dispatch.State) { s.RecordProgress(time.Now(), c.req) })
		}
		if now := time.Now(); now.Sub(lastHeartbeat) > heartbeatInterval {
			lastHeartbeat = now
			c.g.core.Do(func(s *dispatch.State) { s.Fleet.RecordHeartbeat(now, u.ID, u.StartedUnixMS) })
		}
		if !forwarded {
			continue
		}
		c.extendWriteDeadline()
		c.writeHead(resp)
		_, err = c.w.Write(e.Raw)
		if err == nil {
			err = rc.Flush()
		}
		if err != nil {
			return dispatch.Interrupted, nil, err
		}
		c.timing.recordEvent(time.Now())
		if e.ID != "" {
			c.lastEventID = e.ID
		}
	}
}

func (c *callerRequest) writeHead(resp *http.Response) {
	if c.headWritten {
		return
	}
	c.headWritten, c.headStatus = true, resp.StatusCode
	platform.CopyAnswerHeader(c.w.Header(), resp.Header)
	c.w.WriteHeader(resp.StatusCode)
}

// habit returns what is known of the streams of the service.
func (g *Gateway) habit(service string) *sse.Habit {
	h, _ := g.habits.LoadOrStore(service, &sse.Habit{})
	return h.(*sse.Habit)
}

// callersLast returns the id of the last event that the caller has; "" if there is none. Where streams may not be resumed,
// the caller's header is the upstream's to interpret.
func (c *callerRequest) callersLast() string {
	if !c.req.Route.Resumable {
		return ""
	}
	return c.meta.LastEvent
}
