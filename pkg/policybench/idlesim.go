package policybench

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/memory"
)

// decisionInterval is the time between two decisions about idle models. It is longer than the tick of an agent to keep
// the simulation fast, and much shorter than every keep-alive time.
const decisionInterval = 10 * time.Second

// IdleResult is the result of a policy over a run.
type IdleResult struct {
	// Waits are the times for which each request waited for a cold start, s.
	Waits      []float64
	ColdStarts int
	// Misses counts the requests for which there was not enough memory even if every idle model were evicted.
	Misses int
	// IdleHours is the time, in accelerator hours, for which models without a running request occupied accelerators. It
	// includes loads, which occupy accelerators without serving requests.
	IdleHours float64
}

// Cost returns the weighted sum of the waiting seconds and the idle accelerator hours.
func (r IdleResult) Cost(w config.Weights) float64 {
	sum := 0.0
	for _, s := range r.Waits {
		sum += s
	}
	return sum*w.ColdStart + r.IdleHours*w.IdleAccelerator
}

func (r *IdleResult) add(o IdleResult) {
	r.Waits = append(r.Waits, o.Waits...)
	r.ColdStarts, r.Misses, r.IdleHours = r.ColdStarts+o.ColdStarts, r.Misses+o.Misses, r.IdleHours+o.IdleHours
}

// idleSim simulates one policy on one workload. Each model has one replica on a fixed upstream.
type idleSim struct {
	policy  idle.Policy
	weights config.Weights
	models  []simModel
	states  []modelState
	ledgers []memory.Ledger
	result  IdleResult
}

type modelState struct {
	loaded         bool
	readyAt        time.Duration // end of the load
	busyUntil      time.Duration // end of the last running request
	accountedUntil time.Duration // end of the period whose idle time has been counted
	history        idle.Histogram
}

var epoch = time.Unix(0, 0)

// SimulateIdle runs a policy on the workload of a deployment for the given virtual time. The policy uses weights.
func SimulateIdle(d Deployment, p idle.Policy, weights config.Weights, seed uint64, length time.Duration) IdleResult {
	models, arrivals := workload(d, seed, length)
	s := &idleSim{policy: p, weights: weights, models: models, states: make([]modelState, len(models)), ledgers: make([]memory.Ledger, d.Upstreams)}
	for i := range s.ledgers {
		s.ledgers[i].SetLimit(d.UpstreamBytes)
	}
	next := decisionInterval
	for _, a := range arrivals {
		for ; next <= a.at; next += decisionInterval {
			s.decide(next)
		}
		s.arrive(a)
	}
	for ; next <= length; next += decisionInterval {
		s.decide(next)
	}
	for i := range s.states {
		s.accountIdle(i, length)
	}
	return s.result
}

// accountIdle adds the uncounted idle time of a loaded model up to now.
func (s *idleSim) accountIdle(i int, now time.Duration) {
	st := &s.states[i]
	from := max(st.accountedUntil, st.busyUntil, st.readyAt)
	if st.loaded && now > from {
		s.result.IdleHours += float64(s.models[i].accelerators) * (now - from).Hours()
	}
	st.accountedUntil = max(st.accountedUntil, now)
}

func (s *idleSim) arrive(a arrival) {
	st := &s.states[a.model]
	st.history.RecordArrival(epoch.Add(a.at))
	if !st.loaded && !s.load(a.model, a.at) {
		s.result.Misses++
		return
	}
	s.accountIdle(a.model, a.at)
	wait := max(0, st.readyAt-a.at)
	s.result.Waits = append(s.result.Waits, wait.Seconds())
	st.busyUntil = max(st.busyUntil, a.at+wait+a.busy)
}

// load reserves memory for model i, evicting idle models by their value if needed, and starts the load. It reports
// whether there was enough memory.
func (s *idleSim) load(i int, now time.Duration) bool {
	m := s.models[i]
	l := &s.ledgers[m.upstream]
	chosen, ok := memory.Evict(m.bytes-l.Free(), s.candidates(m.upstream, now))
	if !ok {
		return false
	}
	for _, c := range chosen {
		s.unload(int(c.Target.Model[0]), now)
	}
	l.Reserve(target(i), m.bytes)
	s.states[i].loaded, s.states[i].readyAt, s.states[i].accountedUntil = true, now+m.loadTime, now
	s.result.ColdStarts++
	s.result.IdleHours += float64(m.accelerators) * m.loadTime.Hours()
	return true
}

// target returns the target of model i. Its name is one byte: the deployments have fewer than 128 models.
func target(i int) engine.Target { return engine.Target{Model: string(rune(i))} }

func (s *idleSim) candidates(upstream int, now time.Duration) []memory.Candidate {
	var cs []memory.Candidate
	for i, m := range s.models {
		if m.upstream != upstream || !s.isIdle(i, now) {
			continue
		}
		st := &s.states[i]
		value := idle.UnloadCost(&st.history, now-st.busyUntil, s.costParams(i)) / (float64(m.bytes) / (1 << 30))
		cs = append(cs, memory.Candidate{Target: target(i), Bytes: m.bytes, Value: value})
	}
	return cs
}

func (s *idleSim) isIdle(i int, now time.Duration) bool {
	return s.states[i].loaded && s.states[i].busyUntil <= now && s.states[i].readyAt <= now
}

func (s *idleSim) costParams(i int) idle.CostParams {
	return idle.CostParams{Weights: s.weights, Accelerators: s.models[i].accelerators, ColdStart: s.models[i].loadTime}
}

func (s *idleSim) unload(i int, now time.Duration) {
	s.accountIdle(i, now)
	s.states[i].loaded = false
	s.ledgers[s.models[i].upstream].Release(target(i))
}

// decide unloads the idle models that the policy does not keep.
func (s *idleSim) decide(now time.Duration) {
	for i := range s.states {
		if st := &s.states[i]; s.isIdle(i, now) && s.policy.ShouldUnload(&st.history, now-st.busyUntil, s.costParams(i)) {
			s.unload(i, now)
		}
	}
}
