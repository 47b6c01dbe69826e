package fleet

import (
	"slices"
	"time"
)

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
	// confirmationDelay is how long an upstream has to be unresponsive before its open attempts are aborted. The first
	// query to its engine is then 0.4 s old: a new connection, a reply between regions and a busy engine take less.
	// Aborting earlier would let two engines work on one request whenever a sidecar restarts.
	confirmationDelay = 300 * time.Millisecond
)

// liveness tracks the heartbeats from an upstream's machine and the probes sent to it. The agent and the engine are
// separate processes: the agent can be restarted while the engine works on its requests.
type liveness struct {
	heartbeatAt, probedAt, unresponsiveAt time.Time // heartbeatAt is the last heartbeat of the agent or the engine
	unanswered                            int       // probes since heartbeatAt
	agentUnanswered                       int       // probes since the agent's last report, up to maxUnansweredProbes
	abortPending                          bool      // the attempts at the unresponsive upstream have not been aborted yet
}

func (l *liveness) recordHeartbeat(now time.Time) {
	l.heartbeatAt, l.unanswered, l.abortPending = now, 0, false
}

func (l *liveness) recordReport(now time.Time) {
	l.recordHeartbeat(now)
	l.agentUnanswered = 0
}

// RecordHeartbeat records a heartbeat of the engine's instance, such as a stream event or the reply to a query; the start
// is 0 if it is not known. It reports whether the upstream counted as unresponsive until now.
func (s *State) RecordHeartbeat(now time.Time, id string, startedUnixMS int64) bool {
	m := s.members[id]
	if m == nil || m.StartedUnixMS != 0 && startedUnixMS != 0 && m.StartedUnixMS != startedUnixMS {
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

// NeedsQuery reports whether the engine is to be queried in addition to the probe of its agent. The first probe alone is
// usually answered; every further one is accompanied by a query, so that an engine whose agent is gone can show that
// it runs before the upstream counts as unresponsive. Until its attempts are aborted an engine gets a query with each
// tick, since a single one can be lost.
func (m *Member) NeedsQuery(now time.Time) bool {
	l := &m.liveness
	switch {
	case m.ReportedAt.IsZero() || now.Sub(l.heartbeatAt) <= probeDelay:
		return false
	case m.IsUnresponsive(now) && !l.abortPending:
		return l.probedAt.Equal(now)
	}
	return l.unanswered >= 2 || l.unanswered == 1 && m.IsAgentUnresponsive()
}

// RecordProbe records a probe of the agent beside the upstream. It reports whether this makes the upstream
// unresponsive.
func (s *State) RecordProbe(now time.Time, id string) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	l := &m.liveness
	l.probedAt = now
	if !m.IsAgentUnresponsive() {
		if l.agentUnanswered++; m.IsAgentUnresponsive() {
			s.version++
		}
	}
	if m.IsUnresponsive(now) {
		return false
	}
	if l.unanswered >= maxUnansweredProbes {
		l.unanswered = 0
	}
	l.unanswered++
	if l.unanswered < maxUnansweredProbes {
		return false
	}
	l.unresponsiveAt, l.abortPending = now, true
	s.version++
	return true
}

// TakeConfirmedUnresponsive returns the upstreams whose open attempts are to be aborted, each once until its next
// heartbeat: those that have been unresponsive for confirmationDelay.
func (s *State) TakeConfirmedUnresponsive(now time.Time) []string {
	var out []string
	for id, m := range s.members {
		if m.liveness.abortPending && now.Sub(m.liveness.unresponsiveAt) >= confirmationDelay {
			m.liveness.abortPending = false
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// IsUnresponsive reports whether neither the upstream's agent nor its engine has answered the last probes: their
// machine is frozen, gone or partitioned.
func (m *Member) IsUnresponsive(now time.Time) bool {
	return m.liveness.unanswered >= maxUnansweredProbes && now.Sub(m.liveness.unresponsiveAt) <= unresponsiveRetention
}

// IsAgentUnresponsive reports whether the agent beside the upstream has not answered the last probes. If the upstream is not
// unresponsive, its engine serves what it has loaded, but nobody orders it to load anything.
func (m *Member) IsAgentUnresponsive() bool { return m.liveness.agentUnanswered >= maxUnansweredProbes }
