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
	// idleUnload is the time to unload a model without requests, and busyUnload that of one whose runs have to end first.
	// laterUnload is assumed where models with requests stay loaded until one has none.
	idleUnload  = 60 * time.Millisecond
	busyUnload  = 3 * time.Second
	laterUnload = 4 * time.Second
	// similarWait is the difference between waits below which the upstream that ranks first is taken, so that routers
	// with slightly different views agree on one load.
	similarWait = 150 * time.Millisecond
	// moveGain is the time that must be gained to ask another upstream for a model: the time of a load from disk, since
	// the first one may already be making room.
	moveGain = time.Second
)

// home is where a model is to be loaded.
type home struct {
	upstream string
	wait     time.Duration // until it is expected to be loaded
	fetch    bool          // from the weight store; no upstream is known to have a copy
}

// home returns where the model is to be loaded: where its load is under way, unless another upstream can load it much
// sooner from a copy. Loads from the weight store go on for ten seconds while a copy elsewhere takes one.
func (s *State) home(now time.Time, r *Request, members []*fleet.Member, spec catalog.Model) (home, bool) {
	best, wait := s.nearest(now, members, spec)
	if m := s.underWay(now, r); m != nil {
		if rest := max(0, m.OrderUntil.Sub(now)); best == nil || rest <= wait+moveGain {
			s.dropOtherWants(r.Model, m.ID)
			return home{upstream: m.ID, wait: rest}, true
		}
	}
	if best != nil {
		id, wait := s.stay(now, members, spec, best.ID, wait)
		return home{upstream: id, wait: wait}, true
	}
	homes, missing := s.homesOf(now, r.Service)
	h, ok := homes[r.Model]
	if !ok {
		return home{}, false
	}
	before := slices.Index(missing, r.Model) + s.pace.underWay()
	wait = spec.FetchTime + time.Duration(before/s.storeParallel(now))*spec.FetchTime
	if m := s.Fleet.Get(h.Upstream); m != nil {
		wait += restOfOrder(now, m)
	}
	return home{upstream: h.Upstream, wait: wait, fetch: true}, true
}

// dropOtherWants forgets the wishes for the model at other upstreams: two of them fetched it at the same time, and each
// fetch slows the others down.
func (s *State) dropOtherWants(model, upstream string) {
	for w := range s.wants {
		if w.Model == model && w.Name == "" && w.Upstream != upstream {
			s.forget(w)
		}
	}
}

// underWay returns the upstream that is expected to end the load of the request's model first; nil if there is none.
func (s *State) underWay(now time.Time, r *Request) *fleet.Member {
	var first *fleet.Member
	for _, m := range s.Fleet.Members(now, r.Service) {
		if loading(m, r.Model) && !m.IsUnresponsive(now) && (first == nil || m.OrderUntil.Before(first.OrderUntil)) {
			first = m
		}
	}
	return first
}

func loading(m *fleet.Member, model string) bool {
	return m.Order != nil && !m.Order.Unload && m.Order.Adapter == "" && m.Order.Model == model
}

// nearest returns the upstream that can load the model soonest from a copy in its memory or on its disk; nil if there is
// none.
func (s *State) nearest(now time.Time, members []*fleet.Member, spec catalog.Model) (*fleet.Member, time.Duration) {
	type option struct {
		m    *fleet.Member
		wait time.Duration
	}
	var options []option
	for _, m := range members {
		if tier := m.Tier(spec.Name); tier != catalog.TierStore && tier != catalog.TierAccelerator && s.reports(now, m) {
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
		if o.wait-least <= similarWait && (!found || placement.Rank(spec.Name, o.m.ID) > placement.Rank(spec.Name, best.m.ID)) {
			best, found = o, true
		}
	}
	return best.m, best.wait
}

// loadTime returns how long the upstream is expected to take to load the model.
func (s *State) loadTime(now time.Time, m *fleet.Member, spec catalog.Model) time.Duration {
	return spec.LoadTime(m.Tier(spec.Name)) + restOfOrder(now, m) + s.unloadTime(m, spec.SizeMB)
}

// stay returns the upstream that was asked for the model before, unless the best one is expected to be much faster; then
// the earlier wish is dropped. Without it requests moved on as soon as their upstream began to make room, and one model
// was loaded at three upstreams.
func (s *State) stay(now time.Time, members []*fleet.Member, spec catalog.Model, best string, wait time.Duration) (string, time.Duration) {
	for w, until := range s.wants {
		if w.Model != spec.Name || w.Name != "" || now.After(until) || w.Upstream == best {
			continue
		}
		for _, m := range members {
			if m.ID != w.Upstream || !s.reports(now, m) {
				continue
			}
			if asked := s.loadTime(now, m, spec); asked <= wait+moveGain {
				return m.ID, asked
			}
		}
		s.forget(w)
	}
	return best, wait
}

// reports reports whether the agent beside the upstream can be asked for a load. If no agent of the service reports,
// all count.
func (s *State) reports(now time.Time, m *fleet.Member) bool {
	if m.Fresh(now) && !m.IsUnresponsive(now) {
		return true
	}
	return !slices.ContainsFunc(s.Fleet.Members(now, m.Service), func(o *fleet.Member) bool { return o.Fresh(now) && !o.IsUnresponsive(now) })
}

func (s *State) unloadTime(m *fleet.Member, sizeMB float64) time.Duration {
	switch {
	case m.Load.FreeMB >= sizeMB:
		return 0
	case m.Load.FreeMB+m.Load.IdleMB >= sizeMB:
		return idleUnload
	case m.Load.FreeMB+m.Load.IdleMB+m.Load.BusyMB >= sizeMB:
		return busyUnload
	}
	return laterUnload
}

func (s *State) homesOf(now time.Time, service string) (map[string]placement.Assignment, []string) {
	if s.homes == nil || s.homesVersion != s.Fleet.Version() {
		s.homes, s.queue, s.homesVersion = map[string]map[string]placement.Assignment{}, map[string][]string{}, s.Fleet.Version()
	}
	if s.homes[service] == nil {
		var live []catalog.Upstream
		for _, m := range s.Fleet.Members(now, service) {
			if s.reports(now, m) {
				live = append(live, m.Upstream)
			}
		}
		s.homes[service], s.queue[service] = placement.Assign(s.engine(service).Models, live, s.urgent())
	}
	return s.homes[service], s.queue[service]
}

func (s *State) urgent() map[string]int {
	out := map[string]int{}
	for w, n := range s.waiting {
		if w.Name == "" {
			out[w.Model] += n
		}
	}
	return out
}
