package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
)

// witnessRenewal is the time after which the witness is replaced. Upstreams close idle connections after a second or more,
// and one from the pool has been idle for up to maxIdleNonRetryable.
const witnessRenewal = 400 * time.Millisecond

// witness is a connection to an upstream's process from before the end of its answer. The kernel closes it when the
// process ends, so it tells that process from one that is back under the same id: a health check names no start. While the
// answer arrives and its end is confirmed, the connection is replaced before the upstream can close it as idle.
type witness struct {
	open   func(context.Context) (witnessConn, error)
	cancel context.CancelFunc
	done   chan struct{} // closed when no further replacement is made

	mu      sync.Mutex
	conn    witnessConn // nil if it could not be opened
	refused bool        // the process had closed its listener
	ended   bool        // a replacement has shown the end of the process
}

// witnessConn is a connection without a request.
type witnessConn interface {
	// IsOpen reports whether nothing has arrived on it, neither bytes nor its end.
	IsOpen() bool
	Close() error
	// Return makes it available to other requests.
	Return()
}

// openWitness returns the witness of an answer whose end only its connection marks; nil if none is needed.
func (c *callerRequest) openWitness(resp *http.Response, u *dispatch.UpstreamRef) *witness {
	if !h1.IsUnframed(resp) || c.checkPath() == "" {
		return nil
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	w := &witness{cancel: cancel, done: make(chan struct{}), open: func(ctx context.Context) (witnessConn, error) {
		ctx, cancel := context.WithTimeout(ctx, instanceQueryTimeout)
		defer cancel()
		return c.g.pool.Get(ctx, u.Address, 0)
	}}
	first, stop := context.WithTimeout(c.ctx, instanceQueryTimeout)
	defer stop()
	conn, err := c.g.pool.Get(first, u.Address, maxIdleNonRetryable)
	if err != nil {
		c.g.log.Request("second connection not opened", "id", c.meta.ID, "upstream", u.ID, "err", err)
	}
	if err != nil { // a later one might lead to another process
		w.refused = errors.Is(err, syscall.ECONNREFUSED)
		close(w.done)
		return w
	}
	w.conn = conn
	go func() {
		defer close(w.done)
		c.g.guard.Try("replace the witness", func() {
			for {
				if sleep(ctx, witnessRenewal); ctx.Err() != nil || !w.replace(ctx) {
					return
				}
			}
		})
	}()
	return w
}

// replace replaces the connection and reports whether the process still ran. A new connection leads to the same process if
// the old one is open after it was accepted. If none can be opened, the old one stays.
func (w *witness) replace(ctx context.Context) bool {
	next, err := w.open(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.conn.IsOpen() {
		w.ended = true
		if err == nil {
			_ = next.Close()
		}
		return false
	}
	if err == nil {
		_ = w.conn.Close() // too long idle for a request that must not be retried
		w.conn = next
	}
	return true
}

// showsEnd reports whether the process has ended.
func (w *witness) showsEnd() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return w.refused
	}
	return w.ended || !w.conn.IsOpen()
}

// release ends the replacements and returns the connection to the pool.
func (w *witness) release() {
	if w == nil {
		return
	}
	w.cancel()
	<-w.done
	if w.conn != nil {
		w.conn.Return()
	}
}
