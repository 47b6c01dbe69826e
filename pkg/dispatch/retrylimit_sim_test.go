package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/retrylimit"
)

const (
	simRouters = 4
	simAgents  = 9
	// simRatio, simBurst and simWindow are the voted limit: within any simWindow the repeats of all routers are at most
	// simRatio of the requests plus simBurst.
	simRatio  = 0.2
	simBurst  = 54
	simWindow = 10 * time.Second
	simLength = 50 * time.Second
	// simMessageInterval is the time between two messages of a router and an agent.
	simMessageInterval = 500 * time.Millisecond
	// simRouterTimeout is how long an agent counts a router that it no longer hears from.
	simRouterTimeout = 4 * time.Second
)

// simRouter is a router process; state is nil while it is down.
type simRouter struct {
	name    string
	state   *dispatch.State
	process int // grows with each restart; a request ends with its process
}

// limitSim plays routers whose requests are all rejected by the upstreams, so each router retries as much as it may.
type limitSim struct {
	now     time.Time
	rng     *rand.Rand
	events  simEvents
	routers []*simRouter
	agents  []map[string]time.Time // time of the last message by router
	// cut reports whether messages between the router and the agent are lost.
	cut func(router, agent int) bool
	// healthy reports whether the upstreams serve requests.
	healthy func(elapsed time.Duration) bool
	// sendDelay is the time between the decision to retry and the next attempt, such as a wait for a model.
	sendDelay func() time.Duration
	// requestInterval is the time between two requests at a router.
	requestInterval   time.Duration
	requests, repeats []time.Time
}

func newLimitSim(seed uint64, requestInterval time.Duration) *limitSim {
	w := &limitSim{
		now: now, requestInterval: requestInterval, rng: rand.New(rand.NewPCG(seed, 1)), cut: func(int, int) bool { return false },
		healthy: func(time.Duration) bool { return false }, sendDelay: func() time.Duration { return 0 },
	}
	for range simAgents {
		w.agents = append(w.agents, map[string]time.Time{})
	}
	for i := range simRouters {
		w.addRouter(fmt.Sprintf("router-%d", i))
	}
	return w
}

// addRouter starts a router, its callers and its messages.
func (w *limitSim) addRouter(name string) {
	i := len(w.routers)
	w.routers = append(w.routers, &simRouter{name: name})
	w.start(i)
	w.every(w.requestInterval, func() { w.arrive(i) })
	for a := range w.agents {
		w.every(simMessageInterval, func() { w.exchange(i, a) })
	}
}

func (w *limitSim) start(i int) {
	r := w.routers[i]
	r.process++
	r.state = dispatch.New(dispatch.Settings{Zone: "z1", Name: r.name, Started: w.now, RetryLimit: retrylimit.Limit{Ratio: simRatio, Burst: simBurst, Window: simWindow}})
	r.state.SetConfig(catalog.NewConfig(1, nil, []catalog.Service{{Name: "plain"}, {Name: "llm", Engine: &catalog.Engine{}}}, catalog.Limits{}))
	for a := range simAgents {
		r.state.Fleet.Put(w.now, simUpstream(a))
	}
	for u := range 12 {
		r.state.Fleet.Put(w.now, catalog.Upstream{ID: fmt.Sprintf("plain-%d", u), Service: "plain", Address: fmt.Sprintf("plain-%d:1", u), Zone: "z1", Slots: 6})
	}
}

func simUpstream(agent int) catalog.Upstream {
	return catalog.Upstream{ID: fmt.Sprintf("engine-%d", agent), Service: "llm", Address: fmt.Sprintf("engine-%d:1", agent), Zone: "z1"}
}

// stop ends a router's process. If leaving, its last message announces it.
func (w *limitSim) stop(i int, leaving bool) {
	w.routers[i].state = nil
	for a, known := range w.agents {
		if leaving && !w.cut(i, a) {
			delete(known, w.routers[i].name)
		}
	}
}

func (w *limitSim) restart(i int, leaving bool, downtime time.Duration) {
	w.stop(i, leaving)
	w.at(downtime, func() { w.start(i) })
}

// exchange passes a message of the router to the agent, and the agent's report to the router.
func (w *limitSim) exchange(router, agent int) {
	r, known := w.routers[router], w.agents[agent]
	if r.state == nil || w.cut(router, agent) {
		return
	}
	known[r.name] = w.now
	for name, at := range known {
		if w.now.Sub(at) > simRouterTimeout {
			delete(known, name)
		}
	}
	report := &peer.Report{Routers: len(known)}
	report.SetUpstream(simUpstream(agent), 1)
	r.state.ApplyReport(w.now, report)
}

func (w *limitSim) arrive(i int) {
	r := w.routers[i]
	w.requests = append(w.requests, w.now) // clients send whether or not the router runs
	if r.state == nil {
		return
	}
	req := &dispatch.Request{ID: "r", Route: &postRoute, Service: "plain", Deadline: w.now.Add(6 * time.Second)}
	r.state.RecordArrival(w.now, req)
	w.attempt(i, r.process, req)
}

// attempt sends the request if the router decides so, and schedules the next attempt after a rejection.
func (w *limitSim) attempt(i, process int, req *dispatch.Request) {
	r := w.routers[i]
	if r.state == nil || r.process != process {
		return
	}
	d := r.state.Decide(w.now, req)
	if d.Action != dispatch.Send {
		return
	}
	if req.Attempts() > 0 {
		w.repeats = append(w.repeats, w.now)
	}
	outcome := dispatch.NotRun
	if w.healthy(w.now.Sub(now)) {
		outcome = dispatch.Done
	}
	r.state.RecordStart(d.Upstream.ID, req)
	r.state.RecordEnd(w.now, d.Upstream.ID, req, outcome)
	if outcome == dispatch.Done || !r.state.DecideRetry(w.now, req, outcome).Retry {
		return
	}
	w.at(w.sendDelay(), func() { w.attempt(i, process, req) })
}

func (w *limitSim) at(delay time.Duration, f func()) {
	heap.Push(&w.events, simEvent{at: w.now.Add(delay), seq: w.events.next(), run: f})
}

func (w *limitSim) every(interval time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		w.at(interval, tick)
	}
	w.at(time.Duration(w.rng.Int64N(int64(interval))), tick)
}

func (w *limitSim) run() {
	for w.events.Len() > 0 && w.now.Sub(now) < simLength {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.run()
	}
}

// worstExcess returns the largest number of repeats beyond the limit in any window, and the start of that window. The
// requests are counted in the window, the one before it or the one half a window before it, whichever has most.
func (w *limitSim) worstExcess() (excess float64, from time.Duration) {
	for _, start := range w.repeats {
		requests := max(countWithin(w.requests, start), countWithin(w.requests, start.Add(-simWindow)), countWithin(w.requests, start.Add(-simWindow/2)))
		repeats := countWithin(w.repeats, start)
		if x := float64(repeats) - simRatio*float64(requests) - simBurst; x > excess {
			excess, from = x, start.Sub(now)
		}
	}
	return excess, from
}

// countWithin returns the number of the sorted times within the window from start.
func countWithin(times []time.Time, start time.Time) int {
	before := func(end time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(end) })
	}
	return before(start.Add(simWindow)) - before(start)
}

// simEvent is a step of the simulation; seq orders events of the same time.
type simEvent struct {
	at  time.Time
	seq uint64
	run func()
}

type simEvents struct {
	list []simEvent
	seq  uint64
}

func (e *simEvents) next() uint64 {
	e.seq++
	return e.seq
}

func (e *simEvents) Len() int { return len(e.list) }
func (e *simEvents) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (e *simEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *simEvents) Push(x any)    { e.list = append(e.list, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}
