package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// defaultIdleTimeout bounds the time between two requests on a caller's connection if the configuration sets none.
	defaultIdleTimeout = 60 * time.Second
	// idleSweepInterval is the time between two searches for connections past the idle timeout.
	idleSweepInterval = 250 * time.Millisecond
)

// idleConns records since when callers' connections have been idle. The idle timeout is part of the configuration and
// can change while the server runs, which the timeouts of net/http do not support.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// recordState records a change of a connection's state. It is the ConnState hook of the server.
func (i *idleConns) recordState(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = time.Now()
		return
	}
	delete(i.since, conn)
}

// closeAfter closes the connections that have been idle for at least limit and returns their number.
func (i *idleConns) closeAfter(timeout time.Duration) int {
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	closed := 0
	for conn, since := range i.since {
		if time.Since(since) >= timeout {
			_ = conn.Close() // an error means that it is closed already
			delete(i.since, conn)
			closed++
		}
	}
	return closed
}

// sweepIdle closes idle connections by the configured timeout until stop is closed.
func (s *Server) sweepIdle(stop <-chan struct{}) {
	tick := time.NewTicker(idleSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		timeout := time.Duration(0)
		if cfg := s.gw.core.config(); cfg != nil {
			timeout = cfg.Limits.IdleTimeout
		}
		if n := s.idle.closeAfter(timeout); n > 0 {
			s.gw.scope.Counter("idle_connections_closed_total").Inc(int64(n))
			s.log.Request("idle connections closed", "count", n, "limit_ms", timeout.Milliseconds())
		}
	}
}
