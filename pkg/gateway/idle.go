package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
)

const (
	// defaultIdleTimeout bounds the time between two requests on a caller's connection if the configuration sets none.
	defaultIdleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the head of a request if the configuration sets no lower limit.
	maxHeaderBytes = 64 << 10
)

// connLimits returns the limits on callers' connections without a request. They are part of the configuration and can
// change while the server runs, which the limits of net/http do not support.
func (g *Gateway) connLimits() inbound.Limits {
	l := inbound.Limits{IdleTimeout: defaultIdleTimeout}
	cfg := g.core.config()
	if cfg == nil {
		return l
	}
	l.HeaderBytes, l.HeaderTimeout = cfg.Limits.HeaderBytes, cfg.Limits.HeaderTimeout
	if cfg.Limits.IdleTimeout > 0 {
		l.IdleTimeout = cfg.Limits.IdleTimeout
	}
	return l
}

// reportConns counts and logs the connections that the listener has closed, and the state of the account.
func (s *Server) reportConns(closed map[string]int, open int) {
	scope := s.gw.scope
	for cause, n := range closed {
		if cause == inbound.CauseIdle {
			scope.Counter("idle_connections_closed_total").Inc(int64(n))
		} else {
			scope.Tagged(map[string]string{"cause": cause}).Counter("closed_connections_total").Inc(int64(n))
		}
		s.log.Request("connections closed", "cause", cause, "count", n, "open", open)
	}
	scope.Gauge("caller_connections").Update(float64(open))
	usage, counts := s.gw.memory.Usage()
	for part, bytes := range map[string]int64{"connections": usage.Connections, "requests": usage.Held, "large": usage.Large} {
		scope.Tagged(map[string]string{"part": part}).Gauge("memory_held_bytes").Update(float64(bytes))
	}
	reclaimed, refused := counts.Reclaimed-s.lastCounts.Reclaimed, counts.Refused-s.lastCounts.Refused
	s.lastCounts = counts
	scope.Counter("stalled_transfers_ended_total").Inc(reclaimed)
	scope.Counter("memory_refusals_total").Inc(refused)
	if reclaimed > 0 || refused > 0 {
		s.log.Request("memory for requests is short", "ended_transfers", reclaimed, "refused", refused, "held", usage.Held, "large", usage.Large, "connections", usage.Connections)
	}
}
