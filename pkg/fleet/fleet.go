// Package fleet tracks which upstreams exist and what each has loaded and cached, from the platform's list and from
// the reports of the agents beside them. It is a pure state machine; the caller passes the time.
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
	// removalGrace is how long entries that vanished during an outage of the list are kept after its recovery. Live
	// upstreams have registered again by then.
	removalGrace = 2 * time.Second
	// registrationTimeout is the longest time that a started upstream takes to register in the list: three intervals.
	registrationTimeout = 4 * time.Second
	// reportFreshness is the age up to which an agent's report takes precedence over the list: two of the agents'
	// regular intervals to other regions, plus a margin.
	reportFreshness = 3500 * time.Millisecond
)

// Load is the current load of an upstream.
type Load struct {
	Queued, Running, KVUsed, KVTotal int
	placement.AvailableMemory
	// PromptTokens, PromptTokensWaiting and AskAbove are those of the report.
	PromptTokens, PromptTokensWaiting, AskAbove int
}

// Member is an upstream in the fleet.
type Member struct {
	catalog.Upstream
	Load Load
	// ReportedAt is when the agent beside the upstream last reported; zero if it never has.
	ReportedAt time.Time
	// Order is the order in progress at the upstream, and OrderUntil when it is expected to be complete.
	Order           *placement.Order
	OrderUntil      time.Time
	holdingsVersion uint32 // version of the holdings last reported; 0 for none
	liveness        liveness
	// crashesNext is the number of the next crash report to get from the agent, and crashesAcked that of the router's
	// own last report that the agent has.
	crashesNext  uint32
	crashesAcked uint64
	// outdatedUntil is the end of the time in which the entry may be one of a restored list that had been removed before.
	outdatedUntil time.Time
	// unlistedUntil is when a member that only its agent has reported is removed unless the list names it.
	unlistedUntil time.Time
	// predecessor is the entry that the list has under the id of a member that only its agent has reported; nil if there is
	// none.
	predecessor *catalog.Upstream
	// backoffUntil is the end of the backoff that the upstream has requested from this process.
	backoffUntil time.Time
	removeAt     time.Time // when an entry that is pending removal is removed; zero while it is listed
	// aliveAt is the last sign of life of the instance that proves its address; zero if there is none.
	aliveAt time.Time
	// refusedAt is when a connection to the address was last refused, and answeredAt when the latest request was sent that
	// has been answered there; zero if never.
	refusedAt, answeredAt time.Time
	// superseded reports whether a later instance runs at the member's address while the member's own entry still
	// exists.
	superseded bool
}

// Fresh reports whether the agent's report is recent.
func (m *Member) Fresh(now time.Time) bool { return now.Sub(m.ReportedAt) <= reportFreshness }

// IsEnding reports whether the upstream is leaving, its entry is pending removal, or a later instance has its address.
func (m *Member) IsEnding() bool { return m.Draining || m.superseded || !m.removeAt.IsZero() }

// IsListed reports whether the list has named the upstream.
func (m *Member) IsListed() bool { return m.unlistedUntil.IsZero() }

// Serves reports whether the model is loaded and not being unloaded.
func (m *Member) Serves(model string) bool {
	if m.Order != nil && m.Order.Unload && m.Order.Adapter == "" && m.Order.Model == model {
		return false
	}
	return m.Holds(model)
}

// State is one process's view of the fleet. It is not safe for concurrent use.
type State struct {
	members  map[string]*Member
	graceEnd time.Time // until then removals are attributed to the last outage and deferred
	departed departed
	proofs   addressProofs
	version  uint64
	onEnd    func(now time.Time, id string, replaced bool)
}

// New returns an empty fleet.
func New() *State {
	return &State{members: map[string]*Member{}, departed: departed{byID: map[string]departure{}}, onEnd: func(time.Time, string, bool) {}}
}

// OnEnd sets the function that is called as soon as a member has ended. replaced reports whether a later instance runs in
// its place, so that its process has ended; one that the list no longer names may serve on.
func (s *State) OnEnd(f func(now time.Time, id string, replaced bool)) { s.onEnd = f }

// Version returns a number that grows with each change of the members or their holdings.
func (s *State) Version() uint64 { return s.version }

// RecordStoreRecovery records that the list has recovered from an outage. Entries that vanish within removalGrace are
// kept until it ends.
func (s *State) RecordStoreRecovery(now time.Time) { s.graceEnd = now.Add(removalGrace) }

// Sync replaces the list of upstreams.
func (s *State) Sync(now time.Time, listed []catalog.Upstream) {
	listedIDs := map[string]bool{}
	for _, u := range listed {
		listedIDs[u.ID] = true
		s.Put(now, u)
	}
	for id := range s.members {
		if !listedIDs[id] {
			s.Remove(now, id)
		}
	}
}

// Put adds or updates an entry of the list.
func (s *State) Put(now time.Time, u catalog.Upstream) {
	m := s.members[u.ID]
	if m != nil && !m.IsListed() && u.StartedUnixMS != 0 && u.StartedUnixMS < m.StartedUnixMS {
		m.predecessor = &u // still listed until the reported instance registers
		return
	}
	if m != nil && m.StartedUnixMS != 0 && u.StartedUnixMS != 0 && m.StartedUnixMS != u.StartedUnixMS {
		s.onEnd(now, u.ID, true)
		m = nil
	}
	if m == nil {
		m = &Member{Upstream: u}
		s.departed.apply(now, m)
		s.members[u.ID] = m
		s.version++
		s.updateSuperseded(now, u.Address)
		return
	}
	if !m.IsListed() {
		s.departed.apply(now, m)
	}
	m.removeAt, m.unlistedUntil, m.predecessor = time.Time{}, time.Time{}, nil
	u.Draining = u.Draining || m.Draining // a draining instance never becomes ready again
	if m.Fresh(now) {                     // the list's holdings are older than the agent's report; all else only the list states
		u.Models, u.InMemory, u.OnDisk = m.Models, m.InMemory, m.OnDisk
	}
	m.Upstream = u
	s.version++
}

// Remove removes an entry of the list: at once, or at the end of the grace period after an outage.
func (s *State) Remove(now time.Time, id string) {
	m := s.members[id]
	if m == nil {
		return
	}
	if now.Before(m.unlistedUntil) {
		m.predecessor = nil
		return
	}
	if now.Before(s.graceEnd) {
		m.removeAt = s.graceEnd
		return
	}
	s.removeEnded(now, id)
}

// ApplyReport applies an agent's report and reports whether the upstream's holdings, its draining or the presence of
// an order have changed. Reports of upstreams that are not listed are ignored, since the list defines membership,
// except those of a later instance at a member's address.
func (s *State) ApplyReport(now time.Time, r *peer.Report) bool {
	m, changed := s.members[r.ID], false
	if m == nil || m.StartedUnixMS != 0 && r.StartedUnixMS > m.StartedUnixMS {
		m, changed = s.restarted(now, r)
	}
	if m == nil || m.StartedUnixMS != 0 && r.StartedUnixMS != 0 && r.StartedUnixMS < m.StartedUnixMS {
		return changed
	}
	if !m.IsListed() && r.Service != "" && m.Service != r.Service {
		m.Service, changed = r.Service, true
	}
	changed = changed || (m.Order == nil) != (r.Order == nil)
	first := m.ReportedAt.IsZero()
	m.ReportedAt = now
	if first {
		s.updateSuperseded(now, m.Address)
	}
	m.liveness.recordReport(now)
	s.recordAlive(now.Add(-time.Duration(r.AgeMS)*time.Millisecond), m)
	m.crashesNext, m.crashesAcked = r.CrashesNext, r.CrashesAcked
	m.Load = Load{
		Queued: r.Queued, Running: r.Running, KVUsed: r.KVUsed, KVTotal: r.KVTotal, AvailableMemory: r.AvailableMemory,
		PromptTokens: r.PromptTokens, PromptTokensWaiting: r.PromptTokensWaiting, AskAbove: r.AskAbove,
	}
	if h := r.Holdings; h != nil {
		changed = changed || !catalog.SameResidents(m.Models, h.Models)
		m.Models, m.InMemory, m.OnDisk, m.holdingsVersion = h.Models, h.InMemory, h.OnDisk, r.HoldingsVersion
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

// removeEnded removes a member and records that it has ended.
func (s *State) removeEnded(now time.Time, id string) {
	m := s.members[id]
	delete(s.members, id)
	s.departed.record(now, m)
	s.onEnd(now, id, false)
	s.version++
	s.updateSuperseded(now, m.Address)
}

// HoldingsVersion returns the version of the holdings that the upstream's agent last reported; 0 for none.
func (s *State) HoldingsVersion(id string) uint32 {
	if m := s.members[id]; m != nil {
		return m.holdingsVersion
	}
	return 0
}

// CrashReports returns the number of the next crash report to get from the upstream's agent, and the number of the
// router's own last report that the agent has.
func (s *State) CrashReports(id string) (next uint32, acked uint64) {
	if m := s.members[id]; m != nil {
		return m.crashesNext, m.crashesAcked
	}
	return 0, 0
}

// RecordBackoff records that the upstream, when it rejected a request, requested backoff until the given time.
func (s *State) RecordBackoff(id string, until time.Time) {
	if m := s.members[id]; m != nil && until.After(m.backoffUntil) {
		m.backoffUntil = until
		s.version++
	}
}

// BackoffUntil returns the end of the backoff that the upstream has requested; it gets no requests before.
func (m *Member) BackoffUntil() time.Time { return m.backoffUntil }

// RecordLeaving records that an answer of the upstream has announced that it is leaving. It reports whether this was not
// known.
func (s *State) RecordLeaving(id string) bool {
	m := s.members[id]
	if m == nil || m.Draining {
		return false
	}
	m.Draining = true
	s.version++
	return true
}

// RecordMissing records that an upstream refused a request because the model or adapter is not loaded there. The
// agent's full holdings are requested with the next report.
func (s *State) RecordMissing(id, model, adapter string) {
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
	if m.holdingsVersion == 0 {
		models = nil // the holdings come from the list, which is outdated, so none of its models counts as loaded
	}
	m.Models, m.holdingsVersion = models, 0
	s.version++
}

// Expire removes the members whose removal was deferred until now, and those that the list has not confirmed in time.
func (s *State) Expire(now time.Time) {
	for id, m := range s.members {
		if !m.unlistedUntil.IsZero() && !now.Before(m.unlistedUntil) {
			m.removeAt = m.unlistedUntil
		}
		if !m.removeAt.IsZero() && !now.Before(m.removeAt) {
			s.removeEnded(now, id)
			if m.predecessor != nil { // the order of two starts is not certain, since clocks can jump
				s.Put(now, *m.predecessor)
			}
		}
	}
}

// Members returns the upstreams of a service that accept new requests, ordered by id.
func (s *State) Members(now time.Time, service string) []*Member {
	s.Expire(now)
	var out []*Member
	for _, m := range s.members {
		if m.Service == service && !m.Draining && !m.superseded && !m.isOutdated(now) {
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

// Zones returns the zone of each member by address, including draining members.
func (s *State) Zones() map[string]string {
	out := map[string]string{}
	for _, m := range s.members {
		out[m.Address] = m.Zone
	}
	return out
}

// IDsAt returns the ids of the members at an address, without those that a later instance has superseded.
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
