// Package fleet decides which upstreams exist and what each holds, from the platform's list and from the reports of the
// agents beside them. It is a pure state machine; the caller passes the time.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	// lapseGrace is how long entries that vanished during an outage of the list are kept after its return: upstreams
	// that live have registered again by then.
	lapseGrace = 2 * time.Second
	// registerTime is how long an upstream that has started takes at the most to register in the list: three intervals.
	registerTime = 4 * time.Second
	// agentFresh is the age up to which an agent's report is preferred to the list: two of its regular intervals to other
	// regions and some slack.
	agentFresh = 3500 * time.Millisecond
)

// Load is how busy an upstream is.
type Load struct {
	Queued, Running, KVUsed, KVTotal int
	placement.Room
}

// Member is an upstream in the fleet.
type Member struct {
	catalog.Upstream
	Load Load
	// ReportedAt is when the agent beside the upstream last reported; zero if it never did.
	ReportedAt time.Time
	// Order is the order under way at the upstream, and OrderUntil when it is expected to be complete.
	Order      *placement.Order
	OrderUntil time.Time
	known      uint32 // version of the holdings that the agent has reported; 0 for none
	signs      signs
	// crashesNext and crashesSeen are what the agent last said of the crash reports that it passes on.
	crashesNext uint32
	crashesSeen uint64
	// unlistedUntil is until when a member that only its agent has reported stays without an entry in the list.
	unlistedUntil time.Time
	dropAt        time.Time // when a lapsed entry is given up; zero while it is listed
	// superseded says that a later incarnation runs at the member's address; its entry has not been removed yet.
	superseded bool
}

// Fresh reports whether the agent's report is recent.
func (m *Member) Fresh(now time.Time) bool { return now.Sub(m.ReportedAt) <= agentFresh }

// Serves reports whether the model is loaded and not about to be unloaded.
func (m *Member) Serves(model string) bool {
	if m.Order != nil && m.Order.Unload && m.Order.Adapter == "" && m.Order.Model == model {
		return false
	}
	return m.Holds(model)
}

// State is the fleet as one process knows it. It is not safe for concurrent use.
type State struct {
	members  map[string]*Member
	graceEnd time.Time // until then removals count as lapses of the last outage
	version  uint64
	ended    []string // upstreams that have ended since the last call of Ended
}

// New returns an empty fleet.
func New() *State { return &State{members: map[string]*Member{}} }

// Version grows with each change of the members or of what they hold.
func (s *State) Version() uint64 { return s.version }

// Returned records that the list answers again after an outage. Entries that vanish within the grace time that follows
// are kept until its end.
func (s *State) Returned(now time.Time) { s.graceEnd = now.Add(lapseGrace) }

// Sync replaces the list.
func (s *State) Sync(now time.Time, listed []catalog.Upstream) {
	seen := map[string]bool{}
	for _, u := range listed {
		seen[u.ID] = true
		s.Put(now, u)
	}
	for id := range s.members {
		if !seen[id] {
			s.Remove(now, id)
		}
	}
}

// Put adds or updates an entry of the list.
func (s *State) Put(now time.Time, u catalog.Upstream) {
	m := s.members[u.ID]
	if m != nil && m.Born != 0 && u.Born != 0 && m.Born != u.Born {
		s.ended = append(s.ended, u.ID)
		m = nil
	}
	if m == nil {
		s.members[u.ID] = &Member{Upstream: u}
		s.version++
		s.supersede(u.Address)
		return
	}
	m.dropAt, m.unlistedUntil = time.Time{}, time.Time{}
	draining := m.Draining || u.Draining // an upstream that leaves never comes back in the same incarnation
	if m.Fresh(now) {                    // the list is older than what the agent reports
		m.Draining = draining
		s.version++
		return
	}
	u.Draining = draining
	m.Upstream = u
	s.version++
}

// Remove removes an entry of the list, at once or at the end of the grace time after an outage.
func (s *State) Remove(now time.Time, id string) {
	m := s.members[id]
	if m == nil || now.Before(m.unlistedUntil) {
		return
	}
	if now.Before(s.graceEnd) {
		m.dropAt = s.graceEnd
		return
	}
	s.end(id)
}

// TakeEnded returns the upstreams that have ended since the last call.
func (s *State) TakeEnded() []string {
	out := s.ended
	s.ended = nil
	return out
}

// ApplyReport takes an agent's report. It reports whether what the upstream holds has changed. A report of an upstream that
// is not listed is ignored: the list says who takes part.
func (s *State) ApplyReport(now time.Time, r *peer.State) bool {
	m, restarted := s.members[r.ID], false
	if m == nil {
		m = s.restarted(now, r)
		restarted = m != nil
	}
	if m == nil || m.Born != 0 && r.Born != 0 && r.Born < m.Born {
		return false
	}
	changed := restarted || (m.Order == nil) != (r.Order == nil)
	first := m.ReportedAt.IsZero()
	m.ReportedAt = now
	if first {
		s.supersede(m.Address)
	}
	m.signs.heard(now)
	m.crashesNext, m.crashesSeen = r.CrashesNext, r.CrashesAcked
	m.Load = Load{
		Queued: r.Queued, Running: r.Running, KVUsed: r.KVUsed, KVTotal: r.KVTotal, Room: r.Room,
	}
	if h := r.Holdings; h != nil {
		changed = changed || !catalog.SameResidents(m.Models, h.Models)
		m.Models, m.InMemory, m.OnDisk, m.known = h.Models, h.InMemory, h.OnDisk, r.Version
	}
	if r.Draining && !m.Draining {
		m.Draining, changed = true, true
	}
	m.Order, m.OrderUntil = r.Order, now.Add(time.Duration(r.OrderRemainingMS)*time.Millisecond)
	if changed {
		s.version++
	}
	return changed
}

// restarted returns a member for an upstream that its agent reports before the list does: a later incarnation of a member at
// the same address. It returns nil if there is no such member.
func (s *State) restarted(now time.Time, r *peer.State) *Member {
	for id, old := range s.members {
		if r.Address == "" || old.Address != r.Address || old.Born == 0 || r.Born <= old.Born {
			continue
		}
		m := &Member{Upstream: catalog.Upstream{
			ID: r.ID, Service: old.Service, Address: old.Address, Zone: old.Zone, Slots: old.Slots, Born: r.Born,
		}, unlistedUntil: now.Add(registerTime)}
		delete(s.members, id)
		s.ended = append(s.ended, id)
		s.members[r.ID] = m
		s.version++
		return m
	}
	return nil
}

// supersede notes which members at the address have ended, since a later incarnation runs there. A member whose agent has
// reported last has not, whatever the clocks of the incarnations said at their starts.
func (s *State) supersede(address string) {
	for id, old := range s.members {
		if old.Address != address || old.Born == 0 {
			continue
		}
		before := old.superseded
		old.superseded = false
		for _, m := range s.members {
			if m.Address == address && m.Born > old.Born && !m.ReportedAt.Before(old.ReportedAt) {
				old.superseded = true
			}
		}
		if old.superseded == before {
			continue
		}
		s.version++
		if old.superseded {
			s.ended = append(s.ended, id)
		}
	}
}

// end removes a member that has ended.
func (s *State) end(id string) {
	m := s.members[id]
	delete(s.members, id)
	s.ended = append(s.ended, id)
	s.version++
	s.supersede(m.Address)
}

// Known returns the version of the holdings that the upstream's agent has reported; 0 for none.
func (s *State) Known(id string) uint32 {
	if m := s.members[id]; m != nil {
		return m.known
	}
	return 0
}

// CrashReports returns the number of the next crash report to get from the upstream's agent, and that of the router's own
// last report that the agent has.
func (s *State) CrashReports(id string) (next uint32, seen uint64) {
	if m := s.members[id]; m != nil {
		return m.crashesNext, m.crashesSeen
	}
	return 0, 0
}

// Absent records that an upstream has refused a request because the model or adapter is not there. What it holds is
// taken from its next report.
func (s *State) Absent(id, model, adapter string) {
	m := s.members[id]
	if m == nil {
		return
	}
	models := slices.Clone(m.Models)
	for i := range models {
		if models[i].Model != model {
			continue
		}
		if adapter == "" {
			models = slices.Delete(models, i, i+1)
		} else {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(models[i].Adapters), func(a string) bool { return a == adapter })
		}
		break
	}
	if m.known == 0 {
		models = nil // the list is older than the upstream; nothing that it says of the models holds
	}
	m.Models, m.known = models, 0
	s.version++
}

// Members returns the upstreams of a service that take new requests, ordered by id.
func (s *State) Members(now time.Time, service string) []*Member {
	var out []*Member
	for id, m := range s.members {
		if !m.unlistedUntil.IsZero() && !now.Before(m.unlistedUntil) {
			m.dropAt = m.unlistedUntil // its entry has not come
		}
		if !m.dropAt.IsZero() && !now.Before(m.dropAt) {
			s.end(id)
			continue
		}
		if m.Service == service && !m.Draining && !m.superseded {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Upstreams returns the service's upstreams without their loads.
func (s *State) Upstreams(now time.Time, service string) []catalog.Upstream {
	var out []catalog.Upstream
	for _, m := range s.Members(now, service) {
		out = append(out, m.Upstream)
	}
	return out
}

// Get returns a member, or nil if there is none.
func (s *State) Get(id string) *Member { return s.members[id] }

// Zones returns the zone of each address of a member, draining ones included.
func (s *State) Zones() map[string]string {
	out := map[string]string{}
	for _, m := range s.members {
		out[m.Address] = m.Zone
	}
	return out
}

// IDsAt returns the ids of the members at an address, without those that a later incarnation has superseded.
func (s *State) IDsAt(address string) []string {
	var out []string
	for id, m := range s.members {
		if m.Address == address && !m.superseded {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Len returns the number of members.
func (s *State) Len() int { return len(s.members) }
