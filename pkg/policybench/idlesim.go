package policybench

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/memory"
)

// decisionInterval is the time between two decisions about idle models. It is longer than an agent's tick to keep the
// runs short, and short against every keep-alive time.
const decisionInterval = 10 * time.Second

// IdleResult is what a policy cost over a run.
type IdleResult struct {
	// Waits holds, for each request, how long it waited for a cold start, s.
	Waits      []float64
	ColdStarts int
	// Misses counts the requests that found no memory although every idle model was evicted.
	Misses int
	// IdleHours is the time that accelerators were held by models without a running request, accelerator hours. Loads
	// count: they hold the accelerators and serve nobody.
	IdleHours float64
}

// Cost returns the weighed cost: waiting seconds and idle accelerator hours.
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

// idleSim runs one policy over one workload. Each model has one replica on a fixed upstream.
type idleSim struct {
	policy  idle.Policy
	weights config.Weights
	models  []simModel
	states  []modelState
	ledgers []memory.Ledger
	result  IdleResult
}

type modelState struct {
	loaded   bool
	ready    time.Duration // when the load ends
	busyTo   time.Duration // end of the last running request
	idleFrom time.Duration // idle time is accounted up to here
	history  idle.Histogram
}

var epoch = time.Unix(0, 0)

// SimulateIdle runs a policy over the workload of a deployment for the given length. The policy decides with weights.
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
		s.account(i, length)
	}
	return s.result
}

// account adds the idle time of a loaded model up to now.
func (s *idleSim) account(i int, now time.Duration) {
	st := &s.states[i]
	from := max(st.idleFrom, st.busyTo, st.ready)
	if st.loaded && now > from {
		s.result.IdleHours += float64(s.models[i].accelerators) * (now - from).Hours()
	}
	st.idleFrom = max(st.idleFrom, now)
}

func (s *idleSim) arrive(a arrival) {
	st := &s.states[a.model]
	st.history.RecordArrival(epoch.Add(a.at))
	if !st.loaded && !s.load(a.model, a.at) {
		s.result.Misses++
		return
	}
	s.account(a.model, a.at)
	wait := max(0, st.ready-a.at)
	s.result.Waits = append(s.result.Waits, wait.Seconds())
	st.busyTo = max(st.busyTo, a.at+wait+a.busy)
}

// load books the memory, evicting idle models by their value, and starts the load.
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
	s.states[i].loaded, s.states[i].ready, s.states[i].idleFrom = true, now+m.load, now
	s.result.ColdStarts++
	s.result.IdleHours += float64(m.accelerators) * m.load.Hours()
	return true
}

// target names model i; the deployments have fewer than 128 models.
func target(i int) engine.Target { return engine.Target{Model: string(rune(i))} }

func (s *idleSim) candidates(upstream int, now time.Duration) []memory.Candidate {
	var cs []memory.Candidate
	for i, m := range s.models {
		if m.upstream != upstream || !s.isIdle(i, now) {
			continue
		}
		st := &s.states[i]
		value := idle.UnloadCost(&st.history, now-st.busyTo, s.prices(i)) / (float64(m.bytes) / (1 << 30))
		cs = append(cs, memory.Candidate{Target: target(i), Bytes: m.bytes, Value: value})
	}
	return cs
}

func (s *idleSim) isIdle(i int, now time.Duration) bool {
	return s.states[i].loaded && s.states[i].busyTo <= now && s.states[i].ready <= now
}

func (s *idleSim) prices(i int) idle.CostParams {
	return idle.CostParams{Weights: s.weights, Accelerators: s.models[i].accelerators, ColdStart: s.models[i].load}
}

func (s *idleSim) unload(i int, now time.Duration) {
	s.account(i, now)
	s.states[i].loaded = false
	s.ledgers[s.models[i].upstream].Release(target(i))
}

// decide asks the policy about each idle model.
func (s *idleSim) decide(now time.Duration) {
	for i := range s.states {
		if st := &s.states[i]; s.isIdle(i, now) && s.policy.ShouldUnload(&st.history, now-st.busyTo, s.prices(i)) {
			s.unload(i, now)
		}
	}
}
