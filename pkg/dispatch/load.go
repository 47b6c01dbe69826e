package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	// idleUnloadTime is the time to unload a model without requests, and busyUnloadTime the time to unload a model
	// whose running requests must end first. laterUnloadTime is assumed if no loaded model can be unloaded until one
	// of them has no more requests.
	idleUnloadTime  = 60 * time.Millisecond
	busyUnloadTime  = 3 * time.Second
	laterUnloadTime = 4 * time.Second
	// waitTolerance is the difference between waits below which the highest-ranked upstream is chosen, so that
	// routers with slightly different views agree on one load.
	waitTolerance = 150 * time.Millisecond
	// minMoveGain is the time by which a load must end sooner at another upstream for its load request to move there.
	// It is the time of a load from disk, since the first upstream may already be evicting models for the load.
	minMoveGain = time.Second
)

// assignment is the upstream at which a model is to be loaded.
type assignment struct {
	upstream string
	wait     time.Duration // until the load is expected to be complete
	fetch    bool          // from the weight store: no upstream is known to have a cached copy
}

// assignment returns where the model is to be loaded: at the upstream where its load is in progress, unless another
// upstream can load it much sooner from a cached copy. A load from the weight store takes ten seconds, one from a
// cached copy one second.
func (s *State) assignment(now time.Time, r *Request, members []*fleet.Member, spec catalog.Model) (assignment, bool) {
	best, wait := s.nearest(now, members, spec)
	if m := s.loadInProgress(now, r); m != nil {
		if remaining := max(0, m.OrderUntil.Sub(now)); best == nil || remaining <= wait+minMoveGain {
			s.dropOtherLoadRequests(r.Model, m.ID)
			return assignment{upstream: m.ID, wait: remaining}, true
		}
	}
	if best != nil {
		id, wait := s.preferRequested(now, members, spec, best.ID, wait)
		return assignment{upstream: id, wait: wait}, true
	}
	assignments, fetchQueue := s.assignmentsOf(now, r.Service)
	assigned, ok := assignments[r.Model]
	if !ok {
		return assignment{}, false
	}
	wait = s.fetchWait(now, r.Service, assigned.Upstream, spec, fetchQueue)
	return assignment{upstream: assigned.Upstream, wait: wait, fetch: true}, true
}

// dropOtherLoadRequests forgets the load requests for the model at other upstreams. Otherwise two upstreams fetch the
// model at the same time, and each fetch slows the others down.
func (s *State) dropOtherLoadRequests(model, upstream string) {
	for loadReq := range s.requestedUntil {
		if loadReq.Model == model && loadReq.Name == "" && loadReq.Upstream != upstream {
			s.forget(loadReq)
		}
	}
}

// loadInProgress returns the upstream that is expected to complete its load of the request's model first; nil if none
// is loading it.
func (s *State) loadInProgress(now time.Time, r *Request) *fleet.Member {
	var first *fleet.Member
	for _, m := range s.Fleet.Members(now, r.Service) {
		if loading(m, r.Model) && !m.IsUnresponsive(now) && !m.IsAgentUnresponsive() && (first == nil || m.OrderUntil.Before(first.OrderUntil)) {
			first = m
		}
	}
	return first
}

// loading reports whether the upstream is loading the model.
func loading(m *fleet.Member, model string) bool {
	return m.Order != nil && !m.Order.Unload && m.Order.Adapter == "" && m.Order.Model == model
}

// nearest returns the upstream that can load the model soonest from a copy cached in its memory or on its disk, and
// the expected time; nil if there is none.
func (s *State) nearest(now time.Time, members []*fleet.Member, spec catalog.Model) (*fleet.Member, time.Duration) {
	type option struct {
		m    *fleet.Member
		wait time.Duration
	}
	var options []option
	for _, m := range members {
		if tier := m.Tier(spec.Name); tier != catalog.TierStore && tier != catalog.TierAccelerator && s.isReporting(now, m) {
			options = append(options, option{m: m, wait: s.loadTime(now, m, spec)})
		}
	}
	if len(options) == 0 {
		return nil, 0
	}
	least := slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.wait, b.wait) }).wait
	best := options[0]
	found := false
	for _, o := range options {
		if o.wait-least <= waitTolerance && (!found || placement.Rank(spec.Name, o.m.ID) > placement.Rank(spec.Name, best.m.ID)) {
			best, found = o, true
		}
	}
	return best.m, best.wait
}

// loadTime returns how long the upstream is expected to take to load the model.
func (s *State) loadTime(now time.Time, m *fleet.Member, spec catalog.Model) time.Duration {
	return spec.LoadTime(m.Tier(spec.Name)) + orderRemaining(now, m) + s.unloadTime(m, spec.SizeMB)
}

// preferRequested returns the upstream of an earlier load request for the model, unless best is expected to load the
// model much sooner; in that case the earlier load request is dropped. Without this preference, load requests moved to
// another upstream as soon as the first one began to evict models, and one model was loaded at three upstreams.
func (s *State) preferRequested(now time.Time, members []*fleet.Member, spec catalog.Model, best string, wait time.Duration) (string, time.Duration) {
	for loadReq, until := range s.requestedUntil {
		if loadReq.Model != spec.Name || loadReq.Name != "" || now.After(until) || loadReq.Upstream == best {
			continue
		}
		for _, m := range members {
			if m.ID != loadReq.Upstream || !s.isReporting(now, m) {
				continue
			}
			if duration := s.loadTime(now, m, spec); duration <= wait+minMoveGain {
				return m.ID, duration
			}
		}
		s.forget(loadReq)
	}
	return best, wait
}

// isReporting reports whether the agent beside the upstream can be sent a load request. If no agent of the service
// reports, every upstream qualifies.
func (s *State) isReporting(now time.Time, m *fleet.Member) bool {
	reporting := func(o *fleet.Member) bool { return o.Fresh(now) && !o.IsUnresponsive(now) && !o.IsAgentUnresponsive() }
	return reporting(m) || !slices.ContainsFunc(s.Fleet.Members(now, m.Service), reporting)
}

// unloadTime returns the time to free enough memory for a model of the given size.
func (s *State) unloadTime(m *fleet.Member, sizeMB float64) time.Duration {
	switch {
	case m.Load.FreeMB >= sizeMB:
		return 0
	case m.Load.FreeMB+m.Load.IdleMB >= sizeMB:
		return idleUnloadTime
	case m.Load.FreeMB+m.Load.IdleMB+m.Load.BusyMB >= sizeMB:
		return busyUnloadTime
	}
	return laterUnloadTime
}

// assignmentsOf returns the assignments of the service's models and the models that must be fetched, cached by
// version of the fleet.
func (s *State) assignmentsOf(now time.Time, service string) (map[string]placement.Assignment, []string) {
	if s.assignments == nil || s.assignmentsVersion != s.Fleet.Version() {
		s.assignments, s.fetchQueue, s.assignmentsVersion = map[string]map[string]placement.Assignment{}, map[string][]string{}, s.Fleet.Version()
	}
	if s.assignments[service] == nil {
		var live []catalog.Upstream
		for _, m := range s.Fleet.Members(now, service) {
			if s.isReporting(now, m) {
				live = append(live, m.Upstream)
			}
		}
		s.assignments[service], s.fetchQueue[service] = placement.Assign(s.engine(service).Models, live, s.urgent())
	}
	return s.assignments[service], s.fetchQueue[service]
}

// urgent returns the number of requests that wait for each model.
func (s *State) urgent() map[string]int {
	out := map[string]int{}
	for loadReq, n := range s.waiting {
		if loadReq.Name == "" {
			out[loadReq.Model] += n
		}
	}
	return out
}
