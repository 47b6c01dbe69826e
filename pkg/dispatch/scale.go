package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// scaleOut requests another replica of a model that is slow at all its upstreams. Replicas are added one at a time
// and only as many as the model's rate needs: four routers that each requested a replica at a different upstream
// evicted five other models. A popular model may have no cached copy besides its loaded replica; then it is fetched
// from the weight store.
func (s *State) scaleOut(now time.Time, r *Request) {
	spec := s.engine(r.Service).Models[r.Model]
	replicas := 0
	var others []*fleet.Member
	for _, m := range s.Fleet.Members(now, r.Service) {
		switch {
		case m.IsUnresponsive(now):
		case loading(m, r.Model):
			return
		case m.Serves(r.Model):
			if _, limited := s.rateLimit(m); !limited { // one that takes a few requests is no full replica
				replicas++
			}
		case m.Load.FreeMB+m.Load.IdleMB >= spec.SizeMB:
			others = append(others, m)
		}
	}
	rate := 0.0
	if arrivals := s.rates[r.Model]; arrivals != nil {
		rate = arrivals.all.at(now) * float64(s.routers)
	}
	if replicas > placement.ReplicasNeeded(rate) {
		return
	}
	if best, _ := s.nearest(now, others, spec); best != nil {
		s.requestLoad(now, best.ID, r.Model, "")
		return
	}
	if best := s.fetchUpstream(now, others, spec); best != nil {
		loadReq := s.requestLoad(now, best.ID, r.Model, "")
		s.extraReplicas[*loadReq] = true
	}
}

// fetching reports whether the upstream is loading a model from the weight store.
func fetching(m *fleet.Member) bool {
	return m.Order != nil && !m.Order.Unload && m.Order.Adapter == "" && m.Tier(m.Order.Model) == catalog.TierStore
}

// runningStep is the difference in running requests below which two engines count as equally busy. Routers see
// different numbers, since their reports differ in age.
const runningStep = 8

// betterFetchUpstream reports whether m suits a fetch better than o. An upstream with few running requests comes
// first, since an engine loads no adapters while it fetches; then one with free memory rather than idle models; then
// the higher-ranked one, so that routers agree.
func betterFetchUpstream(m, o *fleet.Member, spec catalog.Model) bool {
	if a, b := m.Load.Running/runningStep, o.Load.Running/runningStep; a != b {
		return a < b
	}
	if a, b := m.Load.FreeMB >= spec.SizeMB, o.Load.FreeMB >= spec.SizeMB; a != b {
		return a
	}
	return placement.Rank(spec.Name, m.ID) > placement.Rank(spec.Name, o.ID)
}

// fetchUpstream returns the upstream that is to fetch another replica of the model from the weight store, among those
// that accept orders; nil if there is none.
func (s *State) fetchUpstream(now time.Time, members []*fleet.Member, spec catalog.Model) *fleet.Member {
	for _, m := range members { // keep to the upstream of an earlier request
		loadReq := LoadRequest{Upstream: m.ID, Adapter: placement.Adapter{Model: spec.Name}}
		if until, requested := s.requestedUntil[loadReq]; requested && !now.After(until) && m.Order == nil && s.isReporting(now, m) {
			return m
		}
	}
	var best *fleet.Member
	for _, m := range members {
		if m.Order != nil || !s.isReporting(now, m) {
			continue
		}
		if best == nil || betterFetchUpstream(m, best, spec) {
			best = m
		}
	}
	return best
}
