package fleet

import "time"

const (
	// probeDelay is the time without a heartbeat after which an upstream that requests depend on is probed. Stream
	// events and the reports of a busy upstream's agent arrive more often.
	probeDelay = 300 * time.Millisecond
	// maxUnansweredProbes is the number of unanswered probes after which an upstream counts as unresponsive. A single
	// one is not enough, since datagrams can be lost. One iteration of the agent's loop plus a round trip between
	// regions take less than the interval between two probes.
	maxUnansweredProbes = 3
	// unresponsiveRetention is how long an upstream counts as unresponsive. After that requests may try it again,
	// since possibly only its agent has ended.
	unresponsiveRetention = 15 * time.Second
	// unresponsiveProbeInterval is the time between two probes of an unresponsive upstream.
	unresponsiveProbeInterval = time.Second
)

// liveness tracks the heartbeats from an upstream's machine and the probes sent to it.
type liveness struct {
	heartbeatAt, probedAt, unresponsiveAt time.Time
	unanswered                            int
}

func (l *liveness) recordHeartbeat(now time.Time) { l.heartbeatAt, l.unanswered = now, 0 }

// RecordHeartbeat records a heartbeat other than a report, such as a stream event. It reports whether the upstream
// counted as unresponsive until now.
func (s *State) RecordHeartbeat(now time.Time, id string) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	unresponsive := m.IsUnresponsive(now)
	m.liveness.recordHeartbeat(now)
	if unresponsive {
		s.version++
	}
	return unresponsive
}

// NeedsProbe reports whether the agent beside the upstream is to be probed if requests depend on the upstream. An agent
// that has never reported is not probed: there may be none.
func (m *Member) NeedsProbe(now time.Time) bool {
	if m.ReportedAt.IsZero() || now.Sub(m.liveness.heartbeatAt) <= probeDelay {
		return false
	}
	return !m.IsUnresponsive(now) || now.Sub(m.liveness.probedAt) >= unresponsiveProbeInterval
}

// RecordProbe records a probe of the agent beside the upstream. It reports whether this makes the upstream
// unresponsive.
func (s *State) RecordProbe(now time.Time, id string) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	m.liveness.probedAt = now
	if m.IsUnresponsive(now) {
		return false
	}
	if m.liveness.unanswered >= maxUnansweredProbes {
		m.liveness.unanswered = 0
	}
	m.liveness.unanswered++
	if m.liveness.unanswered < maxUnansweredProbes {
		return false
	}
	m.liveness.unresponsiveAt = now
	s.version++
	return true
}

// IsUnresponsive reports whether the upstream's machine has not answered the last probes: it is frozen, gone or
// partitioned.
func (m *Member) IsUnresponsive(now time.Time) bool {
	return m.liveness.unanswered >= maxUnansweredProbes && now.Sub(m.liveness.unresponsiveAt) <= unresponsiveRetention
}
