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
		case m.Silent(now):
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
	if copies > placement.Needed(rate) {
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

// fetchPlace returns the upstream for a further copy of the model from the weight store: one that takes orders, with free
// memory rather than idle models, and among those the first by rank, so that routers agree; nil if there is none.
func (s *State) fetchPlace(now time.Time, members []*fleet.Member, spec catalog.Model) *fleet.Member {
	for _, m := range members { // stays with the upstream that was asked before
		w := Want{Upstream: m.ID, Adapter: placement.Adapter{Model: spec.Name}}
		if until, asked := s.wants[w]; asked && !now.After(until) && m.Order == nil && s.reports(now, m) {
			return m
		}
	}
	var best *fleet.Member
	bestFree := false
	for _, m := range members {
		if m.Order != nil || !s.reports(now, m) {
			continue
		}
		free := m.Load.FreeMB >= spec.SizeMB
		if best == nil || free && !bestFree || free == bestFree && placement.Rank(spec.Name, m.ID) > placement.Rank(spec.Name, best.ID) {
			best, bestFree = m, free
		}
	}
	return best
}
