package policybench

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	fleetRouters, fleetRegions = 8, 3
	// fleetTimeout is the time from the arrival of a request to its deadline.
	fleetTimeout = 30 * time.Second
	// sameRegion and crossRegion are the one-way latencies (design page, section 1.2).
	sameRegion, crossRegion = time.Millisecond, 12 * time.Millisecond
	// prefixes is the number of prompt prefixes, cachedPrefixes the capacity of an engine's cache. The share of a prefix
	// is proportional to rank^-prefixSkew.
	prefixes, cachedPrefixes, prefixSkew = 400, 40, 1.1
	// hitSaving is the time that a cached prefix saves in a call at speed 1.
	hitSaving = 450 * time.Millisecond
)

// fleetSpeeds are the relative speeds of the 9 upstreams. Each region has three upstreams with a mean speed of 1.
var fleetSpeeds = []float64{0.5, 1, 1.5, 0.7, 1, 1.3, 0.6, 1, 1.4}

// Fleet is one case of the simulation, in which 8 routers send requests for one model to 9 upstreams in 3 regions.
type Fleet struct {
	Chooser Chooser
	Retries RetryRule
	Lag     time.Duration // delay of the load reports
	// NoLocality hides the upstreams' regions from the routers. NoAffinity hides the prefixes of the prompts.
	NoLocality, NoAffinity bool
	// Load is relative to the capacity of all upstreams without cached prefixes.
	Load float64
	// Refusing is the number of regions in which the upstream of mean speed refuses every request at once.
	Refusing int
}

// FleetResult is the result of one case.
type FleetResult struct {
	// Waits are the times from the arrival of each request to the start of its call, s. A request whose call does not
	// start counts with fleetTimeout.
	Waits                      []float64
	Requests, Served, Attempts int // Served counts complete answers before the deadline
	Calls, Hits                int // calls started, and those with a cached prefix
	CrossRegionBytes           int64
}

// Share returns the share of requests with a complete answer before their deadline.
func (r FleetResult) Share() float64 { return float64(r.Served) / max(1, float64(r.Requests)) }

// HitShare returns the share of calls whose prefix was in the cache.
func (r FleetResult) HitShare() float64 { return float64(r.Hits) / max(1, float64(r.Calls)) }

func (r *FleetResult) add(o FleetResult) {
	r.Waits = append(r.Waits, o.Waits...)
	r.Requests, r.Served, r.Attempts = r.Requests+o.Requests, r.Served+o.Served, r.Attempts+o.Attempts
	r.Calls, r.Hits, r.CrossRegionBytes = r.Calls+o.Calls, r.Hits+o.Hits, r.CrossRegionBytes+o.CrossRegionBytes
}

// fleetRequest is one simulated request.
type fleetRequest struct {
	router  int
	at      time.Duration
	service time.Duration // at speed 1 without a cached prefix
	prefix  uint64
	bytes   int64 // of prompt and answer
	exclude []string
}

// fleetUpstream is one simulated upstream with its agent's queue.
type fleetUpstream struct {
	id       int
	speed    float64
	refusing bool
	queue    *admission.Queue
	cache    []uint64 // least recently used first
}

type fleetSim struct {
	eventQueue
	fleet     Fleet
	requests  []fleetRequest
	upstreams []*fleetUpstream
	routers   []*fleetRouter
	result    FleetResult
}

func vmOf(i int) string { return fmt.Sprintf("vm-%d", i) }

// regionOf returns the region of an upstream.
func regionOf(upstream int) int { return upstream / (len(fleetSpeeds) / fleetRegions) }

// routerRegion returns the region of a router. Routers are spread evenly over the regions.
func routerRegion(router int) int { return router % fleetRegions }

// fleetWorkload draws the requests of a run. Cases with the same load and seed get the same requests.
func fleetWorkload(load float64, seed uint64, length time.Duration) []fleetRequest {
	rng := rand.New(rand.NewPCG(seed, 17))
	zipf := rand.NewZipf(rng, prefixSkew, 1, prefixes-1)
	gap := (minCall + meanExtra).Seconds() / (load * queueSlots * float64(len(fleetSpeeds)))
	var out []fleetRequest
	for t := rng.ExpFloat64() * gap; t < length.Seconds(); t += rng.ExpFloat64() * gap {
		out = append(out, fleetRequest{
			router: rng.IntN(fleetRouters), at: time.Duration(t * float64(time.Second)), service: callTime(rng),
			prefix: 1 + zipf.Uint64(), bytes: 2000 + rng.Int64N(18000),
		})
	}
	return out
}

// SimulateFleet runs one case.
func SimulateFleet(f Fleet, seed uint64, length time.Duration) FleetResult {
	s := &fleetSim{fleet: f, requests: fleetWorkload(f.Load, seed, length)}
	for i, speed := range fleetSpeeds {
		refusing := i%(len(fleetSpeeds)/fleetRegions) == 1 && regionOf(i) < f.Refusing
		s.upstreams = append(s.upstreams, &fleetUpstream{id: i, speed: speed, refusing: refusing, queue: admission.New(admission.DefaultLimits(), queueSlots)})
	}
	for i := range fleetRouters {
		s.routers = append(s.routers, newFleetRouter(i, f, seed))
	}
	s.result.Requests = len(s.requests)
	for i := range s.requests {
		s.at(s.requests[i].at, func() {
			s.routers[s.requests[i].router].budget.RecordRequest(s.time())
			s.send(i)
		})
	}
	end := length + 2*fleetTimeout
	s.every(stream.PingInterval, end, s.report)
	s.every(queueTick, end, s.expire)
	s.run()
	return s.result
}

// report reads the current load of each upstream and applies it at the routers after the lag.
func (s *fleetSim) report() {
	for _, u := range s.upstreams {
		queued, running := u.queue.Len()
		l := wire.Load{Queued: uint32(queued), Running: uint32(running), Slots: queueSlots, PredictedWaitMS: uint32(u.queue.Predict(s.time(), 0).Milliseconds())}
		s.after(s.fleet.Lag, func() {
			for _, r := range s.routers {
				r.state.ApplyLoad(vmOf(u.id), l, s.time())
			}
		})
	}
}

func (s *fleetSim) latency(i, upstream int) time.Duration {
	if routerRegion(s.requests[i].router) == regionOf(upstream) {
		return sameRegion
	}
	return crossRegion
}

func (s *fleetSim) deadline(i int) time.Duration { return s.requests[i].at + fleetTimeout }

// send chooses an upstream for a request and sends the request to it. The request fails if no upstream remains, or if
// it is a retry that the rule does not allow.
func (s *fleetSim) send(i int) {
	rt := s.routers[s.requests[i].router]
	upstream, ok := rt.choose(s.time(), &s.requests[i], s.deadline(i)-s.now)
	if !ok || len(s.requests[i].exclude) > 0 && !rt.mayRetry(s.time()) {
		s.fail()
		return
	}
	s.result.Attempts++
	rt.state.Begin(vmOf(upstream))
	rt.outstanding[upstream]++
	s.after(s.latency(i, upstream), func() { s.offer(i, s.upstreams[upstream]) })
}

// fail records a request whose call did not start.
func (s *fleetSim) fail() { s.result.Waits = append(s.result.Waits, fleetTimeout.Seconds()) }

func (s *fleetSim) offer(i int, u *fleetUpstream) {
	if u.refusing {
		s.refuse(i, u, wire.CodeUpstreamDown)
		return
	}
	r := admission.Request{ID: strconv.Itoa(i), Target: engine.Target{Model: fleetModel}, Deadline: epoch.Add(s.deadline(i))}
	if refusal := u.queue.Offer(s.time(), r, false, 0); refusal != nil {
		s.refuse(i, u, refusal.Code)
		return
	}
	s.serve(u)
}

// refuse reports a refusal to the router, which retries the request or fails it by the retry table.
func (s *fleetSim) refuse(i int, u *fleetUpstream, code wire.Code) {
	s.after(s.latency(i, u.id), func() {
		r := &s.requests[i]
		s.routers[r.router].end(u.id)
		s.routers[r.router].state.RecordRefusal(vmOf(u.id), code, s.time())
		decision := routing.DecideRetry(routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeNotRun, Code: code})
		if decision != routing.OtherUpstream || s.now >= s.deadline(i) {
			s.fail()
			return
		}
		r.exclude = append(r.exclude, vmOf(u.id))
		s.send(i)
	})
}

func (s *fleetSim) expire() {
	for _, u := range s.upstreams {
		for _, id := range u.queue.Expire(s.time().Add(queueTick)) {
			s.refuse(requestIndex(id), u, wire.CodeExpired)
		}
	}
}

func (s *fleetSim) serve(u *fleetUpstream) {
	for {
		id, ok := u.queue.Next(s.time(), func(string) bool { return true })
		if !ok {
			return
		}
		s.start(requestIndex(id), u)
	}
}

// start starts a call. A call that exceeds its deadline is cancelled, as the router does with an answer that it buffers
// until it is complete.
func (s *fleetSim) start(i int, u *fleetUpstream) {
	r := &s.requests[i]
	s.result.Waits = append(s.result.Waits, (s.now - r.at).Seconds())
	s.result.Calls++
	if routerRegion(r.router) != regionOf(u.id) {
		s.result.CrossRegionBytes += r.bytes
	}
	service := r.service
	if u.touch(r.prefix) {
		s.result.Hits++
		service -= hitSaving
	}
	end := s.now + time.Duration(float64(service)/u.speed)
	complete := end+s.latency(i, u.id) <= s.deadline(i)
	s.at(min(end, s.deadline(i)), func() {
		u.queue.Done(s.time(), strconv.Itoa(i), complete)
		if complete {
			s.result.Served++
		}
		s.after(s.latency(i, u.id), func() { s.routers[r.router].end(u.id) })
		s.serve(u)
	})
}

// touch reports whether the prefix is in the cache, and makes it the most recently used one.
func (u *fleetUpstream) touch(prefix uint64) bool {
	for i, p := range u.cache {
		if p == prefix {
			u.cache = append(append(u.cache[:i], u.cache[i+1:]...), prefix)
			return true
		}
	}
	if len(u.cache) == cachedPrefixes {
		u.cache = u.cache[1:]
	}
	u.cache = append(u.cache, prefix)
	return false
}
