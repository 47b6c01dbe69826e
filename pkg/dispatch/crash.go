package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

// partKeys returns the keys of the prompt parts that the request can share with others. The last part is its own or its
// session's.
func (r *Request) partKeys() []uint64 {
	if r.sharedParts == nil && len(r.Parts) > 1 {
		for _, part := range r.Parts[:len(r.Parts)-1] {
			r.sharedParts = append(r.sharedParts, quarantine.PartKey(part.ID))
		}
	}
	return r.sharedParts
}

// RecordProgress records that the answer of the current attempt has gone on beyond its beginning or is complete, so that
// the request's prompt parts do not crash the upstream.
func (s *State) RecordProgress(now time.Time, r *Request) {
	if r.progressed {
		return
	}
	r.progressed = true
	s.Crashes.RecordAnswered(now, r.partKeys())
}

// RecordUpstreamEnded records that the agent beside the upstream has found its process to have ended.
func (s *State) RecordUpstreamEnded(now time.Time, id string) { s.Crashes.RecordProcessEnd(now, id) }

// recordMemberEnd records the end of an upstream as soon as the fleet shows it: a router may get no further request within
// the time in which it counts.
func (s *State) recordMemberEnd(now time.Time, id string, replaced bool) {
	s.dropRecords(id)
	if replaced {
		s.Crashes.RecordProcessEnd(now, id)
		return
	}
	s.Crashes.RecordUpstreamEnd(now, id)
}

// recordInterrupted records that an attempt ended without a complete answer. The end of an upstream that is leaving says
// nothing about prompt parts. By now a later instance may have the upstream's id.
func (s *State) recordInterrupted(now time.Time, id string, r *Request) {
	parts, started := r.partKeys(), r.sentToStartedUnixMS
	m := s.Fleet.Get(id)
	if m != nil && started == 0 {
		started = m.StartedUnixMS
	}
	if r.progressed || m != nil && m.StartedUnixMS == started && m.Draining {
		parts = nil
	}
	s.Crashes.RecordInterrupted(quarantine.Interruption{
		Fingerprint: r.Fingerprint, Parts: parts, Upstream: id, UpstreamStartedUnixMS: started, SentAt: r.sentAt, At: now,
	})
}
