package retrylimit

import "time"

const (
	// announceTime is the time after which all routers that reach its agents know of a started router: two of an agent's
	// regular intervals to other regions, plus a margin.
	announceTime = 4 * time.Second
	// countRetention is how long a reported number of routers counts. Agents that have started or are partitioned know
	// only some of the routers; regions can lose each other for minutes.
	countRetention = 10 * time.Minute
)

// report is a number of routers and when an agent last reported it.
type report struct {
	at      time.Time
	routers int
}

// Share decides which part of the burst a router has. The number of routers that it divides the burst by is the largest
// one reported within countRetention, so it can be too large, but not too small. It is not safe for concurrent use.
type Share struct {
	limit Limit
	// knownSince is when the reports of most agents had arrived for the first time; zero until then.
	knownSince time.Time
	reports    []report // in descending order of routers, and ascending order of time
}

// NewShare returns the share of a process that has no reports yet.
func NewShare(l Limit) *Share { return &Share{limit: l.withDefaults()} }

// RecordRouters records the number of live routers that an agent has reported. The argument most states whether most
// agents have reported. Of two routers that both reach most agents, at least one agent knows both.
func (s *Share) RecordRouters(now time.Time, n int, most bool) {
	for len(s.reports) > 0 && s.reports[len(s.reports)-1].routers <= n {
		s.reports = s.reports[:len(s.reports)-1]
	}
	s.reports = append(s.reports, report{at: now, routers: n})
	if most && !s.Known() {
		s.knownSince = now
	}
}

// Known reports whether most agents have reported.
func (s *Share) Known() bool { return !s.knownSince.IsZero() }

// Routers returns the number of routers that share the burst; 0 if none has been reported.
func (s *Share) Routers(now time.Time) int {
	for len(s.reports) > 1 && now.Sub(s.reports[0].at) > countRetention {
		s.reports = s.reports[1:]
	}
	if len(s.reports) == 0 {
		return 0
	}
	return s.reports[0].routers
}

// Burst returns the router's part of the burst. A router has none until the others have learnt of it and have reduced
// their parts.
func (s *Share) Burst(now time.Time) float64 {
	if !s.Known() || now.Sub(s.knownSince) <= announceTime {
		return 0
	}
	return s.limit.Burst / float64(max(1, s.Routers(now)))
}
