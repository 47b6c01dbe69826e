package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// LoadOrder is how loads share the weight store.
type LoadOrder string

// Orders. All but OrderDeadline are baselines.
const (
	// OrderDeadline is package loadplan's coordinator.
	OrderDeadline LoadOrder = "deadline"
	// OrderFirstCome gives the same number of places in the order of arrival.
	OrderFirstCome LoadOrder = "first-come"
	// OrderAllAtOnce starts each load at once; the store's speed is divided between them.
	OrderAllAtOnce LoadOrder = "all-at-once"
)

// LoadResult is what an order did to the requests that waited for loads.
type LoadResult struct {
	Waits  []float64 // s, one for each request
	InTime int
}

// Share returns the share of requests whose load ended before their deadline.
func (r LoadResult) Share() float64 { return float64(r.InTime) / max(1, float64(len(r.Waits))) }

func (r *LoadResult) add(o LoadResult) {
	r.Waits, r.InTime = append(r.Waits, o.Waits...), r.InTime+o.InTime
}

// loadAsk is one cold start with the requests that wait for it.
type loadAsk struct {
	at       float64 // s since the start
	work     float64 // s at full speed
	deadline float64 // s after at
	requests int
}

const (
	// quietShare is the store's use outside bursts; burstEvery the mean time between bursts, s.
	quietShare, burstEvery = 0.35, 60.0
	// burstSpread is the time over which the loads of a burst arrive, s.
	burstSpread = 1.0
)

// loadWorkload draws cold starts: a Poisson process, and bursts in which half of the models wake up at once. Half of
// them serve people who wait (deadline 5 to 20 s), the others reports and layouts (deadline 60 to 120 s).
func loadWorkload(d Deployment, seed uint64, length time.Duration) []loadAsk {
	rng := rand.New(rand.NewPCG(seed, 11))
	var out []loadAsk
	draw := func(at float64) {
		a := loadAsk{at: at, work: loadplan.MaxConcurrentLoads / d.LoadsPerSecond * (0.3 + 1.4*rng.Float64()), deadline: 5 + 15*rng.Float64(), requests: 1 + rng.IntN(5)}
		if rng.IntN(2) == 0 {
			a.deadline = 60 + 60*rng.Float64()
		}
		out = append(out, a)
	}
	burst := rng.ExpFloat64() * burstEvery
	for t := rng.ExpFloat64() / (quietShare * d.LoadsPerSecond); t < length.Seconds(); t += rng.ExpFloat64() / (quietShare * d.LoadsPerSecond) {
		for ; burst < t; burst += rng.ExpFloat64() * burstEvery {
			for range d.Models / 2 {
				draw(burst + burstSpread*rng.Float64())
			}
		}
		draw(t)
	}
	return out
}

// SimulateLoads runs an order over the cold starts of a deployment.
func SimulateLoads(d Deployment, o LoadOrder, seed uint64, length time.Duration) LoadResult {
	s := &loadSim{asks: loadWorkload(d, seed, length), order: o, coordinator: loadplan.NewCoordinator(loadplan.MaxConcurrentLoads, 1)}
	s.left, s.running = make([]float64, len(s.asks)), map[int]bool{}
	for i, a := range s.asks {
		s.left[i] = a.work
	}
	s.run()
	return s.result
}

type loadSim struct {
	asks        []loadAsk
	order       LoadOrder
	coordinator *loadplan.Coordinator
	queue       []int // of first come, first served
	left        []float64
	running     map[int]bool
	now         float64
	result      LoadResult
}

// run advances from event to event: the next arrival or the next end of a load.
func (s *loadSim) run() {
	next := sortedByArrival(s.asks)
	for len(next) > 0 || len(s.running) > 0 {
		first, end := -1, math.Inf(1)
		for i := range s.running {
			if t := s.now + s.left[i]/s.speed(); t < end || t == end && i < first {
				first, end = i, t
			}
		}
		if len(next) > 0 && s.asks[next[0]].at <= end {
			s.advance(s.asks[next[0]].at)
			s.arrive(next[0])
			next = next[1:]
			continue
		}
		s.advance(end)
		s.finish(first)
	}
}

// speed returns the share of full speed that each running load gets.
func (s *loadSim) speed() float64 {
	return math.Min(1, loadplan.MaxConcurrentLoads/float64(max(1, len(s.running))))
}

func (s *loadSim) advance(to float64) {
	done := (to - s.now) * s.speed()
	for i := range s.running {
		s.left[i] -= done
	}
	s.now = to
}

func (s *loadSim) arrive(i int) {
	switch s.order {
	case OrderAllAtOnce:
		s.running[i] = true
	case OrderFirstCome:
		s.queue = append(s.queue, i)
		s.serveQueue()
	case OrderDeadline:
		a := s.asks[i]
		s.step(loadplan.PermitRequest{Request: wire.LoadPermitRequest{ID: fmt.Sprint(i), Bytes: int64(math.Round(a.work)), TimeoutMS: int64(a.deadline * 1000)}})
	}
}

func (s *loadSim) finish(i int) {
	delete(s.running, i)
	a := s.asks[i]
	for range a.requests {
		s.result.Waits = append(s.result.Waits, s.now-a.at)
		if s.now-a.at <= a.deadline {
			s.result.InTime++
		}
	}
	if s.order == OrderDeadline {
		s.step(loadplan.PermitRelease{ID: fmt.Sprint(i)})
	}
	s.serveQueue()
}

func (s *loadSim) serveQueue() {
	for len(s.queue) > 0 && len(s.running) < loadplan.MaxConcurrentLoads {
		s.running[s.queue[0]] = true
		s.queue = s.queue[1:]
	}
}

func (s *loadSim) step(ev loadplan.Event) {
	for _, g := range s.coordinator.Step(epoch.Add(time.Duration(s.now*float64(time.Second))), ev) {
		var i int
		_, _ = fmt.Sscan(g.ID, &i)
		s.running[i] = true
	}
}
