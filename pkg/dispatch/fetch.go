package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

// defaultFetchConcurrency is the number of concurrent fetches assumed to run at full speed until observed fetches give
// an estimate.
const defaultFetchConcurrency = 4

// ApplyReport applies an agent's report and reports whether the upstream's holdings have changed.
func (s *State) ApplyReport(now time.Time, r *peer.Report) bool {
	changed := s.Fleet.ApplyReport(now, r)
	if r.Routers > 0 {
		s.recordRouters(now, r.Routers)
	}
	m := s.Fleet.Get(r.ID)
	if m == nil {
		return changed
	}
	s.recordExpectedLoads(now, m, r)
	if r.StartedUnixMS == m.StartedUnixMS {
		s.upstreamStats(m.ID).speeds.ApplySummary(now, r.Speed)
	}
	if engine := s.engine(m.Service); engine != nil && fetching(m) {
		s.fetchEstimator.Begin(now, m.ID, m.Order.Model, engine.Models[m.Order.Model].FetchTime, 0)
		return changed
	}
	if model := s.fetchEstimator.Model(m.ID); model != "" {
		s.fetchEstimator.End(now, m.ID, m.Holds(model))
	}
	return changed
}

// Fetching returns the models that upstreams are loading from the weight store.
func (s *State) Fetching(now time.Time) []string {
	var out []string
	for id, model := range s.fetchEstimator.InProgress() {
		m := s.Fleet.Get(id)
		if m == nil || !m.Fresh(now) {
			s.fetchEstimator.End(now, id, false)
			continue
		}
		out = append(out, model)
	}
	return out
}

// FetchConcurrency returns the estimated number of loads that the weight store serves at full speed; 0 while unknown.
func (s *State) FetchConcurrency(now time.Time) int { return s.fetchEstimator.Limit(now) }

// fetchConcurrencyOrDefault prefers the estimate of the coordinator of the fetches, which is told of each fetch.
func (s *State) fetchConcurrencyOrDefault(now time.Time, service string) int {
	if e := s.expectedLoads[service]; e.concurrency > 0 && now.Sub(e.at) <= expectedLoadsLifetime {
		return e.concurrency
	}
	if n := s.FetchConcurrency(now); n > 0 {
		return n
	}
	return defaultFetchConcurrency
}
