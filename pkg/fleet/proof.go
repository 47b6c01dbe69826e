package fleet

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// maxStall is the longest time between two ticks of a process that runs. What it reads after a longer one may have
	// waited in its sockets meanwhile.
	maxStall = time.Second
	// stallBacklog is how long after a stall the process may still read what arrived during it.
	stallBacklog = 200 * time.Millisecond
	// maxReportDelay bounds the time that an agent's report is on its way: a few times the delay between regions.
	maxReportDelay = 50 * time.Millisecond
)

// addressProofs decides for how long a sign of life of an instance proves that its service runs at its address.
type addressProofs struct {
	reuseAfter time.Duration // 0 if addresses are not given to other services
	tickAt     boottime.Instant
	validFrom  time.Time // what is read before then may be outdated
}

func (p *addressProofs) hasStalled(now boottime.Instant) bool {
	return p.tickAt != 0 && now.Sub(p.tickAt) > maxStall
}

// SetReuseAfter sets how long after the end of an upstream its address may be given to another service; 0 if it never is.
func (s *State) SetReuseAfter(d time.Duration) { s.proofs.reuseAfter = d }

// RecordTick records that the process runs. It is called at intervals well below maxStall. After a stall the signs of life
// read so far prove nothing, since the clock of now does not count the time during which the VM was suspended.
func (s *State) RecordTick(now time.Time, boot boottime.Instant) {
	if s.proofs.hasStalled(boot) {
		s.proofs.validFrom = now.Add(stallBacklog)
		for _, m := range s.members {
			m.aliveAt, m.answeredAt = time.Time{}, time.Time{}
		}
	}
	s.proofs.tickAt = boot
}

// RecordProof records that the instance, named by its id and its start, has replied at its address to a query that was sent
// at the given time.
func (s *State) RecordProof(sentAt time.Time, id string, startedUnixMS int64) {
	if m := s.members[id]; m != nil && m.StartedUnixMS == startedUnixMS {
		s.recordAlive(sentAt, m)
	}
}

// recordAlive records a sign of life of the member's instance at its address: a report of its agent or a reply to a query.
// Events of streams are none, since they can have been on their way for long.
func (s *State) recordAlive(at time.Time, m *Member) {
	if !at.Before(s.proofs.validFrom) && at.After(m.aliveAt) {
		m.aliveAt = at
	}
}

// NeedsProof reports whether the instance has to prove its id and its start before a request is sent to its address on a
// new connection: it has shown no sign of life for so long that the address may be that of another service, which may even
// use the same id. An instance whose start is not known has nothing to prove it by.
func (s *State) NeedsProof(now time.Time, boot boottime.Instant, id string, startedUnixMS int64) bool {
	if s.proofs.reuseAfter <= 0 || startedUnixMS == 0 {
		return false
	}
	m := s.members[id]
	if m == nil || m.StartedUnixMS != startedUnixMS || m.aliveAt.IsZero() || s.proofs.hasStalled(boot) {
		return true
	}
	return now.Sub(m.aliveAt) > s.proofs.reuseAfter-maxReportDelay
}

// RecordRefused records that a connection to the address of the instance was refused, since no process listens there.
func (s *State) RecordRefused(now time.Time, id string, startedUnixMS int64) {
	if m := s.members[id]; m != nil && m.StartedUnixMS == startedUnixMS {
		m.refusedAt = now
	}
}

// RecordAnswer records that the instance has answered a request that was sent at the given time.
func (s *State) RecordAnswer(sentAt time.Time, id string, startedUnixMS int64) {
	m := s.members[id]
	if m != nil && m.StartedUnixMS == startedUnixMS && !sentAt.Before(s.proofs.validFrom) && sentAt.After(m.answeredAt) {
		m.answeredAt = sentAt
	}
}

// MayBeReplaced reports whether the process that has accepted a new connection at the address of a plain service's instance may
// be one of another service, under the same id: the address has refused connections since the instance last answered, and
// that was so long ago that the address can have been given away. Such an instance cannot prove its start, but another one
// registers, and the entry of one that has ended lapses, within registrationTimeout.
func (s *State) MayBeReplaced(now time.Time, boot boottime.Instant, id string, startedUnixMS int64) bool {
	if s.proofs.reuseAfter <= 0 || startedUnixMS == 0 {
		return false
	}
	m := s.members[id]
	switch {
	case m == nil || m.StartedUnixMS != startedUnixMS:
		return true
	case m.refusedAt.IsZero(), m.answeredAt.After(m.refusedAt), now.Sub(m.refusedAt) > registrationTimeout:
		return false
	}
	return m.answeredAt.IsZero() || s.proofs.hasStalled(boot) || now.Sub(m.answeredAt) > s.proofs.reuseAfter-maxReportDelay
}
