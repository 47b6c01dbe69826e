package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// LoadOrder is the rule by which cold starts share the weight store.
type LoadOrder string

// Load orders. All but OrderDeadline are baselines.
const (
	// OrderDeadline uses the coordinator of package loadplan.
	OrderDeadline LoadOrder = "deadline"
	// OrderFirstCome allows the same number of concurrent loads, in the order of arrival.
	OrderFirstCome LoadOrder = "first-come"
	// OrderAllAtOnce starts each load on arrival. The speed of the store is divided among the running loads.
	OrderAllAtOnce LoadOrder = "all-at-once"
)

// LoadResult is the result of a load order for the requests that wait for loads.
type LoadResult struct {
	Waits  []float64 // s, one for each request
	InTime int
}

// Share returns the share of requests whose load ended before their deadline.
func (r LoadResult) Share() float64 { return float64(r.InTime) / max(1, float64(len(r.Waits))) }

func (r *LoadResult) add(o LoadResult) {
	r.Waits, r.InTime = append(r.Waits, o.Waits...), r.InTime+o.InTime
}

// coldStart is one load with the requests that wait for it.
type coldStart struct {
	at       float64 // s since the start
	work     float64 // s at full speed
	deadline float64 // s after at
	requests int
}

const (
	// baseShare is the utilization of the store outside bursts, burstInterval the mean time between bursts, s.
	baseShare, burstInterval = 0.35, 60.0
	// burstSpread is the time over which the loads of a burst arrive, s.
	burstSpread = 1.0
)

// loadWorkload draws cold starts: a Poisson process, and bursts in which half of the models are loaded at once. Half of
// the cold starts are for interactive requests (deadline 5 to 20 s), the others for reports and layouts (deadline 60 to
// 120 s).
func loadWorkload(d Deployment, seed uint64, length time.Duration) []coldStart {
	rng := rand.New(rand.NewPCG(seed, 11))
	var out []coldStart
	draw := func(at float64) {
		cold := coldStart{at: at, work: loadplan.MaxConcurrentLoads / d.LoadsPerSecond * (0.3 + 1.4*rng.Float64()), deadline: 5 + 15*rng.Float64(), requests: 1 + rng.IntN(5)}
		if rng.IntN(2) == 0 {
			cold.deadline = 60 + 60*rng.Float64()
		}
		out = append(out, cold)
	}
	burst := rng.ExpFloat64() * burstInterval
	for t := rng.ExpFloat64() / (baseShare * d.LoadsPerSecond); t < length.Seconds(); t += rng.ExpFloat64() / (baseShare * d.LoadsPerSecond) {
		for ; burst < t; burst += rng.ExpFloat64() * burstInterval {
			for range d.Models / 2 {
				draw(burst + burstSpread*rng.Float64())
			}
		}
		draw(t)
	}
	return out
}

// SimulateLoads runs a load order on the cold starts of a deployment.
func SimulateLoads(d Deployment, o LoadOrder, seed uint64, length time.Duration) LoadResult {
	s := &loadSim{coldStarts: loadWorkload(d, seed, length), order: o, coordinator: loadplan.NewCoordinator(loadplan.MaxConcurrentLoads, 1)}
	s.remaining, s.running = make([]float64, len(s.coldStarts)), map[int]bool{}
	for i, cold := range s.coldStarts {
		s.remaining[i] = cold.work
	}
	s.run()
	return s.result
}

type loadSim struct {
	coldStarts  []coldStart
	order       LoadOrder
	coordinator *loadplan.Coordinator
	queue       []int // waiting loads of OrderFirstCome
	remaining   []float64
	running     map[int]bool
	now         float64
	result      LoadResult
}

// run advances to the next arrival or the next end of a load until there is none.
func (s *loadSim) run() {
	next := sortedByArrival(s.coldStarts)
	for len(next) > 0 || len(s.running) > 0 {
		first, end := -1, math.Inf(1)
		for i := range s.running {
			if t := s.now + s.remaining[i]/s.speed(); t < end || t == end && i < first {
				first, end = i, t
			}
		}
		if len(next) > 0 && s.coldStarts[next[0]].at <= end {
			s.advance(s.coldStarts[next[0]].at)
			s.arrive(next[0])
			next = next[1:]
			continue
		}
		s.advance(end)
		s.finish(first)
	}
}

// speed returns the speed of each running load as a share of full speed.
func (s *loadSim) speed() float64 {
	return math.Min(1, loadplan.MaxConcurrentLoads/float64(max(1, len(s.running))))
}

func (s *loadSim) advance(to float64) {
	done := (to - s.now) * s.speed()
	for i := range s.running {
		s.remaining[i] -= done
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
		cold := s.coldStarts[i]
		s.step(loadplan.PermitRequest{Request: wire.LoadPermitRequest{ID: fmt.Sprint(i), Bytes: int64(math.Round(cold.work)), TimeoutMS: int64(cold.deadline * 1000)}})
	}
}

func (s *loadSim) finish(i int) {
	delete(s.running, i)
	cold := s.coldStarts[i]
	for range cold.requests {
		s.result.Waits = append(s.result.Waits, s.now-cold.at)
		if s.now-cold.at <= cold.deadline {
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
	for _, permit := range s.coordinator.Step(epoch.Add(time.Duration(s.now*float64(time.Second))), ev) {
		var i int
		_, _ = fmt.Sscan(permit.ID, &i)
		s.running[i] = true
	}
}
