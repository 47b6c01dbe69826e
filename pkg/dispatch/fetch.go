package dispatch

import (
	"math"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// defaultFetchConcurrency is the number of concurrent fetches assumed to run at full speed until observed fetches
	// give an estimate, and maxFetchConcurrency bounds the estimate.
	defaultFetchConcurrency = 4
	maxFetchConcurrency     = 16
	// slowFetchFactor is the ratio of a fetch's duration to its full-speed time above which the fetch must have
	// shared the store's bandwidth.
	slowFetchFactor = 1.25
)

// fetchEstimator estimates how many loads the weight store serves at full speed, which no message reports. Beyond
// that number each load takes proportionally longer, so a fetch that took x times its full-speed time with n loads in
// progress on average, itself included, indicates n/x.
type fetchEstimator struct {
	concurrency float64 // number of loads served at full speed; 0 while unknown
	started     map[string]*fetch
	updatedAt   time.Time // time up to which loadSeconds is integrated
}

// fetch is a load from the weight store in progress.
type fetch struct {
	model         string
	started       time.Time
	fullSpeedTime time.Duration // duration at full speed
	loadSeconds   float64       // loads in progress, this one included, integrated over seconds since the start
}

func (e *fetchEstimator) inProgress() int { return len(e.started) }

// advance integrates the number of loads in progress up to now.
func (e *fetchEstimator) advance(now time.Time) {
	for _, f := range e.started {
		f.loadSeconds += float64(len(e.started)) * now.Sub(e.updatedAt).Seconds()
	}
	e.updatedAt = now
}

// begin records that the upstream has started to fetch the model.
func (e *fetchEstimator) begin(now time.Time, upstream, model string, fullSpeedTime time.Duration) {
	if f := e.started[upstream]; f != nil && f.model == model {
		return
	}
	e.advance(now)
	if e.started == nil {
		e.started = map[string]*fetch{}
	}
	e.started[upstream] = &fetch{model: model, started: now, fullSpeedTime: fullSpeedTime}
}

// end records that the upstream's order has ended; done reports whether the model was loaded.
func (e *fetchEstimator) end(now time.Time, upstream string, done bool) {
	f := e.started[upstream]
	if f == nil {
		return
	}
	e.advance(now)
	delete(e.started, upstream)
	concurrent, slowdown, ok := f.observed(now)
	switch {
	case !done || !ok:
	case slowdown > slowFetchFactor:
		e.concurrency = max(1, concurrent/slowdown)
	case e.concurrency > 0 && concurrent > e.concurrency-0.5: // as many loads ran as estimated, without a slowdown
		e.concurrency = min(maxFetchConcurrency, 2*e.concurrency)
	}
}

// observed returns the mean number of loads in progress during the fetch, itself included, and the ratio of its
// duration so far to its full-speed time.
func (f *fetch) observed(now time.Time) (concurrent, slowdown float64, ok bool) {
	seconds := now.Sub(f.started).Seconds()
	if seconds <= 0 || f.fullSpeedTime <= 0 {
		return 0, 0, false
	}
	return f.loadSeconds / seconds, seconds / f.fullSpeedTime.Seconds(), true
}

// estimate returns the number of loads that the store serves at full speed; 0 while unknown. Fetches still in
// progress count as soon as they are slow.
func (e *fetchEstimator) estimate(now time.Time) int {
	e.advance(now)
	concurrency := e.concurrency
	for _, f := range e.started {
		if concurrent, slowdown, ok := f.observed(now); ok && slowdown > slowFetchFactor && (concurrency == 0 || concurrent/slowdown < concurrency) {
			concurrency = max(1, concurrent/slowdown)
		}
	}
	return int(math.Round(concurrency))
}

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
	if r.StartedUnixMS == m.StartedUnixMS {
		s.upstreamStats(m.ID).speeds.ApplySummary(now, r.Speed)
	}
	if engine := s.engine(m.Service); engine != nil && fetching(m) {
		s.fetchEstimator.begin(now, m.ID, m.Order.Model, engine.Models[m.Order.Model].FetchTime)
		return changed
	}
	if f := s.fetchEstimator.started[m.ID]; f != nil {
		s.fetchEstimator.end(now, m.ID, m.Holds(f.model))
	}
	return changed
}

// Fetching returns the models that upstreams are loading from the weight store.
func (s *State) Fetching(now time.Time) []string {
	var out []string
	for id, f := range s.fetchEstimator.started {
		m := s.Fleet.Get(id)
		if m == nil || !m.Fresh(now) {
			s.fetchEstimator.end(now, id, false)
			continue
		}
		out = append(out, f.model)
	}
	return out
}

// FetchConcurrency returns the estimated number of loads that the weight store serves at full speed; 0 while unknown.
func (s *State) FetchConcurrency(now time.Time) int { return s.fetchEstimator.estimate(now) }

func (s *State) fetchConcurrencyOrDefault(now time.Time) int {
	if n := s.FetchConcurrency(now); n > 0 {
		return n
	}
	return defaultFetchConcurrency
}
