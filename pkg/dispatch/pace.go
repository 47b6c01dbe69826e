package dispatch

import (
	"math"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// defaultFetchConcurrency is the assumed number of loads that the weight store serves at full speed until fetches have shown it,
	// and maxParallel bounds what they can show.
	defaultFetchConcurrency = 4
	maxFetchConcurrency     = 16
	// slowFetchFactor is the time of a fetch in parts of its time at full speed above which the store was shared.
	slowFetchFactor = 1.25
)

// fetchEstimator estimates how many loads the weight store serves at full speed, which no message tells. Beyond that number each load
// takes longer in proportion, so a fetch that took x times its time beside n others on the average shows n/x.
type fetchEstimator struct {
	concurrency float64 // 0 while unknown
	started     map[string]*fetch
	updatedAt   time.Time // of the last change
}

// fetch is a load from the weight store under way.
type fetch struct {
	model         string
	started       time.Time
	fullSpeedTime time.Duration // time at full speed
	loadSeconds   float64       // loads under way, this one included, integrated over the seconds since the begin
}

func (p *fetchEstimator) inProgress() int { return len(p.started) }

// advance integrates the number of loads up to now.
func (p *fetchEstimator) advance(now time.Time) {
	for _, f := range p.started {
		f.loadSeconds += float64(len(p.started)) * now.Sub(p.updatedAt).Seconds()
	}
	p.updatedAt = now
}

// begin notes that the upstream has begun to fetch the model.
func (p *fetchEstimator) begin(now time.Time, upstream, model string, fullSpeedTime time.Duration) {
	if f := p.started[upstream]; f != nil && f.model == model {
		return
	}
	p.advance(now)
	if p.started == nil {
		p.started = map[string]*fetch{}
	}
	p.started[upstream] = &fetch{model: model, started: now, fullSpeedTime: fullSpeedTime}
}

// end notes that the upstream's order has ended; done says that the model was loaded.
func (p *fetchEstimator) end(now time.Time, upstream string, done bool) {
	f := p.started[upstream]
	if f == nil {
		return
	}
	p.advance(now)
	delete(p.started, upstream)
	concurrent, slowdown, ok := f.observed(now)
	switch {
	case !done || !ok:
	case slowdown > slowFetchFactor:
		p.concurrency = max(1, concurrent/slowdown)
	case p.concurrency > 0 && concurrent > p.concurrency-0.5: // as many as were allowed, and none was slow
		p.concurrency = min(maxFetchConcurrency, 2*p.concurrency)
	}
}

// observed returns the mean number of loads beside which the fetch has run, and its time so far in parts of that at full speed.
func (f *fetch) observed(now time.Time) (concurrent, slowdown float64, ok bool) {
	seconds := now.Sub(f.started).Seconds()
	if seconds <= 0 || f.fullSpeedTime <= 0 {
		return 0, 0, false
	}
	return f.loadSeconds / seconds, seconds / f.fullSpeedTime.Seconds(), true
}

// estimate returns the number of loads that the store serves at full speed; 0 while it is not known. Fetches that should have
// ended count as well.
func (p *fetchEstimator) estimate(now time.Time) int {
	p.advance(now)
	out := p.concurrency
	for _, f := range p.started {
		if concurrent, slowdown, ok := f.observed(now); ok && slowdown > slowFetchFactor && (out == 0 || concurrent/slowdown < out) {
			out = max(1, concurrent/slowdown)
		}
	}
	return int(math.Round(out))
}

// ApplyReport takes an agent's report and reports whether what the upstream holds has changed.
func (s *State) ApplyReport(now time.Time, r *peer.State) bool {
	changed := s.Fleet.ApplyReport(now, r)
	m := s.Fleet.Get(r.ID)
	if m == nil {
		return changed
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

// Fetching returns the models that upstreams load from the weight store.
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

// Parallel returns the number of loads that the weight store has been seen to serve at full speed; 0 while it is not known.
func (s *State) Parallel(now time.Time) int { return s.fetchEstimator.estimate(now) }

func (s *State) fetchConcurrencyOrDefault(now time.Time) int {
	if n := s.Parallel(now); n > 0 {
		return n
	}
	return defaultFetchConcurrency
}
