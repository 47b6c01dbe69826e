package fleet

import "time"

const (
	// probeDelay is the time without a sign of life after which an upstream that work depends on is asked for one. Events
	// of a stream and the reports of a busy upstream's agent come more often.
	probeDelay = 300 * time.Millisecond
	// maxUnansweredProbes is the number of questions without an answer after which an upstream counts as silent. Datagrams can
	// be lost, and a round of the agent and a round trip between regions take less than the interval of two questions.
	maxUnansweredProbes = 3
	// unresponsiveRetention is how long an upstream counts as silent. Then requests may try it again: only its agent may be gone.
	unresponsiveRetention = 15 * time.Second
	// unresponsiveProbeInterval is the time between two questions to a silent upstream.
	unresponsiveProbeInterval = time.Second
)

// liveness are the signs of life of an upstream's machine, and the questions for them.
type liveness struct {
	heartbeatAt, probedAt, unresponsiveAt time.Time
	unanswered                            int
}

func (s *liveness) recordHeartbeat(now time.Time) { s.heartbeatAt, s.unanswered = now, 0 }

// RecordHeartbeat records a sign of life other than a report, such as an event of a stream. It reports whether the upstream
// counted as silent.
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

// Quiet reports whether the agent beside the upstream is to be asked for a sign of life, if work depends on it. An agent
// that has never reported is not asked: there may be none.
func (m *Member) Quiet(now time.Time) bool {
	if m.ReportedAt.IsZero() || now.Sub(m.liveness.heartbeatAt) <= probeDelay {
		return false
	}
	return !m.IsUnresponsive(now) || now.Sub(m.liveness.probedAt) >= unresponsiveProbeInterval
}

// RecordProbe records a question to the agent beside the upstream. It reports whether the upstream counts as silent from now on.
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

// IsUnresponsive reports whether the upstream's machine has not answered the last questions for a sign of life: it is frozen, gone,
// or cut off.
func (m *Member) IsUnresponsive(now time.Time) bool {
	return m.liveness.unanswered >= maxUnansweredProbes && now.Sub(m.liveness.unresponsiveAt) <= unresponsiveRetention
}
