package dispatch

import (
	"math"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// unknownParallel is the assumed number of loads that the weight store serves at full speed until fetches have shown it,
	// and maxParallel bounds what they can show.
	unknownParallel = 4
	maxParallel     = 16
	// slowFetch is the time of a fetch in parts of its time at full speed above which the store was shared.
	slowFetch = 1.25
)

// pace estimates how many loads the weight store serves at full speed, which no message tells. Beyond that number each load
// takes longer in proportion, so a fetch that took x times its time beside n others on the average shows n/x.
type pace struct {
	parallel float64 // 0 while unknown
	begun    map[string]*fetch
	at       time.Time // of the last change
}

// fetch is a load from the weight store under way.
type fetch struct {
	model  string
	begun  time.Time
	full   time.Duration // time at full speed
	others float64       // loads under way, this one included, integrated over the seconds since the begin
}

func (p *pace) underWay() int { return len(p.begun) }

// advance integrates the number of loads up to now.
func (p *pace) advance(now time.Time) {
	for _, f := range p.begun {
		f.others += float64(len(p.begun)) * now.Sub(p.at).Seconds()
	}
	p.at = now
}

// begin notes that the upstream has begun to fetch the model.
func (p *pace) begin(now time.Time, upstream, model string, full time.Duration) {
	if f := p.begun[upstream]; f != nil && f.model == model {
		return
	}
	p.advance(now)
	if p.begun == nil {
		p.begun = map[string]*fetch{}
	}
	p.begun[upstream] = &fetch{model: model, begun: now, full: full}
}

// end notes that the upstream's order has ended; done says that the model was loaded.
func (p *pace) end(now time.Time, upstream string, done bool) {
	f := p.begun[upstream]
	if f == nil {
		return
	}
	p.advance(now)
	delete(p.begun, upstream)
	beside, slow, ok := f.shown(now)
	switch {
	case !done || !ok:
	case slow > slowFetch:
		p.parallel = max(1, beside/slow)
	case p.parallel > 0 && beside > p.parallel-0.5: // as many as were allowed, and none was slow
		p.parallel = min(maxParallel, 2*p.parallel)
	}
}

// shown returns the mean number of loads beside which the fetch has run, and its time so far in parts of that at full speed.
func (f *fetch) shown(now time.Time) (beside, slow float64, ok bool) {
	took := now.Sub(f.begun).Seconds()
	if took <= 0 || f.full <= 0 {
		return 0, 0, false
	}
	return f.others / took, took / f.full.Seconds(), true
}

// estimate returns the number of loads that the store serves at full speed; 0 while it is not known. Fetches that should have
// ended count as well.
func (p *pace) estimate(now time.Time) int {
	p.advance(now)
	out := p.parallel
	for _, f := range p.begun {
		if beside, slow, ok := f.shown(now); ok && slow > slowFetch && (out == 0 || beside/slow < out) {
			out = max(1, beside/slow)
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
		s.pace.begin(now, m.ID, m.Order.Model, engine.Models[m.Order.Model].FetchTime)
		return changed
	}
	if f := s.pace.begun[m.ID]; f != nil {
		s.pace.end(now, m.ID, m.Holds(f.model))
	}
	return changed
}

// Fetching returns the models that upstreams load from the weight store.
func (s *State) Fetching(now time.Time) []string {
	var out []string
	for id, f := range s.pace.begun {
		m := s.Fleet.Get(id)
		if m == nil || !m.Fresh(now) {
			s.pace.end(now, id, false)
			continue
		}
		out = append(out, f.model)
	}
	return out
}

// Parallel returns the number of loads that the weight store has been seen to serve at full speed; 0 while it is not known.
func (s *State) Parallel(now time.Time) int { return s.pace.estimate(now) }

func (s *State) storeParallel(now time.Time) int {
	if n := s.Parallel(now); n > 0 {
		return n
	}
	return unknownParallel
}
