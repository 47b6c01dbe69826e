package fleet

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

// restarted removes the members that have ended because a later instance runs at their address or has their id, whose agent
// reports before the list names it, and adds and returns the member for that instance. It returns nil if there is none to
// replace, or if the list has named the instance and no longer does: an upstream that is leaving may serve on for long.
// The member has no service, and so gets no requests, until its agent or the list states it: the address of an upstream that
// has ended may have been given to one of another service.
func (s *State) restarted(now time.Time, r *peer.Report) (m *Member, changed bool) {
	var replaced *Member
	for id, old := range s.members {
		if id != r.ID && (r.Address == "" || old.Address != r.Address) || old.StartedUnixMS == 0 || r.StartedUnixMS <= old.StartedUnixMS {
			continue
		}
		delete(s.members, id)
		s.onEnd(now, id, true)
		s.version++
		replaced = old
	}
	if replaced == nil || s.departed.contains(now, r.ID, r.StartedUnixMS) {
		return nil, replaced != nil
	}
	m = &Member{Upstream: catalog.Upstream{
		ID: r.ID, Address: r.Address, Zone: replaced.Zone, Slots: replaced.Slots, StartedUnixMS: r.StartedUnixMS,
	}, unlistedUntil: now.Add(registrationTimeout)}
	s.members[r.ID] = m
	return m, true
}

// updateSuperseded marks the members at the address that have ended because a later instance runs there. The
// member whose agent has reported most recently is not superseded, even if clock differences make another instance
// look later.
func (s *State) updateSuperseded(now time.Time, address string) {
	for id, old := range s.members {
		if old.Address != address || old.StartedUnixMS == 0 {
			continue
		}
		wasSuperseded := old.superseded
		old.superseded = false
		for _, m := range s.members {
			if m.Address == address && m.StartedUnixMS > old.StartedUnixMS && !m.ReportedAt.Before(old.ReportedAt) {
				old.superseded = true
			}
		}
		if old.superseded == wasSuperseded {
			continue
		}
		s.version++
		if old.superseded {
			s.onEnd(now, id, true)
		}
	}
}
