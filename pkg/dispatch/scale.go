package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// scaleOut asks for another copy of a model that all its upstreams are slow for. One copy is loaded at a time, and no
// more than the model's rate needs: four routers that each asked for a copy elsewhere drove out five other models. A model
// that demand has moved to may have no copy but the one that is loaded; then it is fetched from the weight store.
func (s *State) scaleOut(now time.Time, r *Request) {
	spec := s.engine(r.Service).Models[r.Model]
	copies := 0
	var others []*fleet.Member
	for _, m := range s.Fleet.Members(now, r.Service) {
		switch {
		case m.IsUnresponsive(now):
		case loading(m, r.Model):
			return
		case m.Serves(r.Model):
			copies++
		case m.Load.FreeMB+m.Load.IdleMB >= spec.SizeMB:
			others = append(others, m)
		}
	}
	rate := 0.0
	if x := s.rates[r.Model]; x != nil {
		rate = x.all.at(now) * float64(s.routers)
	}
	if copies > placement.ReplicasNeeded(rate) {
		return
	}
	if best, _ := s.nearest(now, others, spec); best != nil {
		s.want(now, best.ID, r.Model, "")
		return
	}
	if best := s.fetchPlace(now, others, spec); best != nil {
		w := s.want(now, best.ID, r.Model, "")
		s.more[*w] = true
	}
}

// fetching reports whether the upstream loads a model from the weight store.
func fetching(m *fleet.Member) bool {
	return m.Order != nil && !m.Order.Unload && m.Order.Adapter == "" && m.Tier(m.Order.Model) == catalog.TierStore
}

// runningStep is the difference in running requests below which two engines count as equally busy: what routers know of
// them differs by the age of the reports.
const runningStep = 8

// betterFetchPlace reports whether m is a better place for a fetch than o: with few running requests, since an engine loads no
// adapters while it fetches, then with free memory rather than idle models, then the first by rank, so that routers agree.
func betterFetchPlace(m, o *fleet.Member, spec catalog.Model) bool {
	if a, b := m.Load.Running/runningStep, o.Load.Running/runningStep; a != b {
		return a < b
	}
	if a, b := m.Load.FreeMB >= spec.SizeMB, o.Load.FreeMB >= spec.SizeMB; a != b {
		return a
	}
	return placement.Rank(spec.Name, m.ID) > placement.Rank(spec.Name, o.ID)
}

// fetchPlace returns the upstream for a further copy of the model from the weight store among those that take orders; nil if
// there is none.
func (s *State) fetchPlace(now time.Time, members []*fleet.Member, spec catalog.Model) *fleet.Member {
	for _, m := range members { // stays with the upstream that was asked before
		w := LoadRequest{Upstream: m.ID, Adapter: placement.Adapter{Model: spec.Name}}
		if until, asked := s.wants[w]; asked && !now.After(until) && m.Order == nil && s.reports(now, m) {
			return m
		}
	}
	var best *fleet.Member
	for _, m := range members {
		if m.Order != nil || !s.reports(now, m) {
			continue
		}
		if best == nil || betterFetchPlace(m, best, spec) {
			best = m
		}
	}
	return best
}
