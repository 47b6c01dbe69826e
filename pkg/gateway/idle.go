package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleTimeout is the longest time between two requests on a caller's connection if the configuration does not say.
	idleTimeout = 60 * time.Second
	// idleSweep is the time between two searches for connections that have been idle too long.
	idleSweep = 250 * time.Millisecond
)

// idleConns knows since when callers' connections have been idle. The limit comes with the configuration and changes while
// the server runs, which the timeouts of net/http do not.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// note is called at each change of a connection's state.
func (i *idleConns) note(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = time.Now()
		return
	}
	delete(i.since, conn)
}

// closeAfter closes the connections that have been idle for the limit and returns their number.
func (i *idleConns) closeAfter(limit time.Duration) int {
	if limit <= 0 {
		limit = idleTimeout
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	closed := 0
	for conn, since := range i.since {
		if time.Since(since) >= limit {
			_ = conn.Close() // the caller has it closed either way
			delete(i.since, conn)
			closed++
		}
	}
	return closed
}

// sweepIdle closes idle connections by the limit in force until stop is closed.
func (s *Server) sweepIdle(stop <-chan struct{}) {
	tick := time.NewTicker(idleSweep)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		limit := time.Duration(0)
		if cfg := s.gw.core.config(); cfg != nil {
			limit = cfg.Limits.IdleTimeout
		}
		if n := s.idle.closeAfter(limit); n > 0 {
			s.gw.scope.Counter("idle_connections_closed_total").Inc(int64(n))
			s.log.Request("idle connections closed", "count", n, "limit_ms", limit.Milliseconds())
		}
	}
}
