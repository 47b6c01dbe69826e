package retrylimit

import "time"

// announceTime is the time after which all routers that reach its agents know of a started router: two of an agent's
// regular intervals to other regions, plus a margin.
const announceTime = 4 * time.Second

// Share decides which part of the burst a router has. It is not safe for concurrent use.
type Share struct {
	limit   Limit
	started time.Time
	routers int
}

// NewShare returns the share of a process that started at the given time.
func NewShare(l Limit, started time.Time) *Share {
	return &Share{limit: l.withDefaults(), started: started}
}

// RecordRouters records the number of live routers that an agent has reported.
func (s *Share) RecordRouters(n int) { s.routers = max(1, n) }

// Routers returns the number of routers that share the burst; 0 if it is not known.
func (s *Share) Routers() int { return s.routers }

// Burst returns the router's part of the burst. A router has none until the others have learnt of it and have reduced
// their parts.
func (s *Share) Burst(now time.Time) float64 {
	if s.routers == 0 || now.Sub(s.started) <= announceTime {
		return 0
	}
	return s.limit.Burst / float64(s.routers)
}
