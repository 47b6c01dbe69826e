package fleet

import "time"

const (
	// quietTime is the time without a sign of life after which an upstream that work depends on is asked for one. Events
	// of a stream and the reports of a busy upstream's agent come more often.
	quietTime = 300 * time.Millisecond
	// unansweredAsks is the number of questions without an answer after which an upstream counts as silent. Datagrams can
	// be lost, and a round of the agent and a round trip between regions take less than the interval of two questions.
	unansweredAsks = 3
	// silentTime is how long an upstream counts as silent. Then requests may try it again: only its agent may be gone.
	silentTime = 15 * time.Second
	// silentAsk is the time between two questions to a silent upstream.
	silentAsk = time.Second
)

// signs are the signs of life of an upstream's machine, and the questions for them.
type signs struct {
	heardAt, askedAt, silentAt time.Time
	unanswered                 int
}

func (s *signs) heard(now time.Time) { s.heardAt, s.unanswered = now, 0 }

// RecordHeartbeat records a sign of life other than a report, such as an event of a stream. It reports whether the upstream
// counted as silent.
func (s *State) RecordHeartbeat(now time.Time, id string) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	silent := m.IsUnresponsive(now)
	m.signs.heard(now)
	if silent {
		s.version++
	}
	return silent
}

// Quiet reports whether the agent beside the upstream is to be asked for a sign of life, if work depends on it. An agent
// that has never reported is not asked: there may be none.
func (m *Member) Quiet(now time.Time) bool {
	if m.ReportedAt.IsZero() || now.Sub(m.signs.heardAt) <= quietTime {
		return false
	}
	return !m.IsUnresponsive(now) || now.Sub(m.signs.askedAt) >= silentAsk
}

// RecordProbe records a question to the agent beside the upstream. It reports whether the upstream counts as silent from now on.
func (s *State) RecordProbe(now time.Time, id string) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	m.signs.askedAt = now
	if m.IsUnresponsive(now) {
		return false
	}
	if m.signs.unanswered >= unansweredAsks {
		m.signs.unanswered = 0
	}
	m.signs.unanswered++
	if m.signs.unanswered < unansweredAsks {
		return false
	}
	m.signs.silentAt = now
	s.version++
	return true
}

// IsUnresponsive reports whether the upstream's machine has not answered the last questions for a sign of life: it is frozen, gone,
// or cut off.
func (m *Member) IsUnresponsive(now time.Time) bool {
	return m.signs.unanswered >= unansweredAsks && now.Sub(m.signs.silentAt) <= silentTime
}
