package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
)

// witness is a connection to an upstream's process from before the end of its answer. The kernel closes it when the
// process ends, so it tells that process from one that is back under the same id: a health check names no start.
type witness struct {
	conn     *h1.Conn // nil if it could not be opened
	refused  bool     // the process had closed its listener
	openedAt time.Time
}

// witnessLifetime is the time after which an upstream that runs may close the witness because it is idle. A closed one
// shows nothing then.
const witnessLifetime = 1300 * time.Millisecond

// openWitness returns the witness of an answer whose end only its connection marks; nil if none is needed.
func (c *callerRequest) openWitness(resp *http.Response, u *dispatch.UpstreamRef) *witness {
	if !h1.IsUnframed(resp) || c.checkPath() == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, instanceQueryTimeout)
	defer cancel()
	conn, err := c.g.pool.Get(ctx, u.Address, maxIdleNonRetryable)
	if err != nil {
		c.g.log.Request("second connection not opened", "id", c.meta.ID, "upstream", u.ID, "err", err)
	}
	return &witness{conn: conn, refused: errors.Is(err, syscall.ECONNREFUSED), openedAt: time.Now()}
}

// showsEnd reports whether the process has ended.
func (w *witness) showsEnd() bool {
	switch {
	case w == nil:
		return false
	case w.conn == nil:
		return w.refused
	}
	return !w.conn.IsOpen() && time.Since(w.openedAt) < witnessLifetime
}

func (w *witness) release() {
	if w != nil && w.conn != nil {
		w.conn.Return()
	}
}
