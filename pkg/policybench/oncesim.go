package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// ClaimMode is the mechanism that decides whether a keyed call may run.
type ClaimMode string

// Claim modes. All but ClaimOwner are baselines, with which a call may run at any agent after a store write.
const (
	// ClaimOwner uses package once: the owner of the key slot decides.
	ClaimOwner ClaimMode = "once"
	// ClaimWrite writes to the store for each call.
	ClaimWrite ClaimMode = "write per call"
	// ClaimGrouped lets an agent write up to 256 claims at once, at most every 5 ms.
	ClaimGrouped ClaimMode = "grouped claims"
)

const (
	keyedService = "orders"
	// decisionTimeout is the time for which a caller waits for the decision. It is much shorter than a run, so that the
	// backlog of an overloaded store results in undecided calls.
	decisionTimeout = time.Second
	// keyedRunTime is the run time of a call after the decision.
	keyedRunTime = 50 * time.Millisecond
	// storeLatency is the duration of a store call, storeWritesPerSecond the write budget.
	storeLatency         = 3 * time.Millisecond
	storeWritesPerSecond = 300
	// groupSize and groupInterval are the maximum size and the minimum interval of the writes of ClaimGrouped.
	groupSize, groupInterval = 256, 5 * time.Millisecond
	// keyedWarmup is the time before the first call, in which the agents claim their key slots. The fault, if any, starts
	// faultDelay after the first call.
	keyedWarmup, faultDelay = 60 * time.Second, 10 * time.Second
	// goneDelay is the time of absence from the VM list after which a VM is confirmed gone (design page, section 4.1).
	goneDelay = 30 * time.Second
)

// Keyed is one case of the simulation of keyed calls.
type Keyed struct {
	Claims ClaimMode
	Agents int
	Rate   float64 // calls per second
	// Outage stops the store, and LoseAgent one agent, from the start of the fault to the end of the run.
	Outage, LoseAgent bool
}

// KeyedResult is the result of one case.
type KeyedResult struct {
	Calls, Served           int       // Served counts decisions to run within decisionTimeout
	ServedInRun             int       // the part of Served that was decided before the last call arrived
	FaultCalls, FaultServed int       // Calls and Served of the calls that arrived after the start of the fault
	StartCalls              int       // store calls before the first keyed call
	SteadyCalls             int       // store calls since the first keyed call
	Delays                  []float64 // ms from arrival to decision, of served calls
}

func (r *KeyedResult) add(o KeyedResult) {
	r.Calls, r.Served, r.ServedInRun = r.Calls+o.Calls, r.Served+o.Served, r.ServedInRun+o.ServedInRun
	r.FaultCalls, r.FaultServed = r.FaultCalls+o.FaultCalls, r.FaultServed+o.FaultServed
	r.StartCalls, r.SteadyCalls = r.StartCalls+o.StartCalls, r.SteadyCalls+o.SteadyCalls
	r.Delays = append(r.Delays, o.Delays...)
}

// writeQueue stores the arrival times of calls that wait for a store write.
type writeQueue struct {
	calls  []time.Duration
	nextAt time.Duration // earliest time of the next write
}

type keyedSim struct {
	eventQueue
	keyed       Keyed
	arrivalRNG  *rand.Rand // draws the arrivals, which are the same for each case with the same rate
	agentRNG    *rand.Rand // draws the agent for a call
	end         time.Duration
	agents      map[string]*once.State
	vms         []string // of live agents, sorted
	version     uint64
	owners      once.Owners
	writeQueues []writeQueue
	lastQueue   int
	result      KeyedResult
}

// SimulateKeyed runs one case. length is the virtual time from the first call to the end.
func SimulateKeyed(k Keyed, seed uint64, length time.Duration) KeyedResult {
	s := &keyedSim{keyed: k, arrivalRNG: rand.New(rand.NewPCG(seed, 19)), agentRNG: rand.New(rand.NewPCG(seed, 23)), end: keyedWarmup + length, agents: map[string]*once.State{}}
	for i := range k.Agents {
		s.vms = append(s.vms, fmt.Sprintf("vm-%03d", i))
	}
	s.at(keyedWarmup, s.arrive)
	if k.LoseAgent {
		s.at(keyedWarmup+faultDelay, s.loseAgent)
	}
	switch k.Claims {
	case ClaimOwner:
		s.startAgents()
	case ClaimWrite:
		s.writeQueues = make([]writeQueue, 1)
		s.every(time.Second/storeWritesPerSecond, s.end+decisionTimeout, func() { s.write(1, 0) })
	case ClaimGrouped:
		s.writeQueues = make([]writeQueue, k.Agents)
		s.every(time.Second/storeWritesPerSecond, s.end+decisionTimeout, func() { s.write(groupSize, groupInterval) })
	}
	s.run()
	return s.result
}

func (s *keyedSim) faultActive() bool { return s.now >= keyedWarmup+faultDelay }

func (s *keyedSim) storeDown() bool { return s.keyed.Outage && s.faultActive() }

func (s *keyedSim) countStoreCall() {
	if s.now < keyedWarmup {
		s.result.StartCalls++
	} else {
		s.result.SteadyCalls++
	}
}

// startAgents creates the state of package once on each VM and steps it every second.
func (s *keyedSim) startAgents() {
	for _, vm := range s.vms {
		s.agents[vm] = once.New(vm, s.time(), once.DefaultLimits())
		s.step(vm, once.Members{Live: s.vms})
		s.step(vm, once.Services{Names: []string{keyedService}})
	}
	s.every(time.Second, s.end, func() {
		for _, vm := range s.vms {
			s.step(vm, once.Tick{})
		}
	})
}

// step applies an event at a live agent and executes the resulting store calls, until the end of the run.
func (s *keyedSim) step(vm string, ev once.Event) {
	st := s.agents[vm]
	if s.now > s.end || !slices.Contains(s.vms, vm) {
		return
	}
	for _, a := range st.Step(s.time(), ev) {
		s.countStoreCall()
		s.after(storeLatency/2, func() {
			answer := s.apply(a)
			s.after(storeLatency/2, func() { s.step(vm, answer) })
		})
	}
}

// apply executes a store call and returns the event with its result.
func (s *keyedSim) apply(a once.Action) once.Event {
	switch a := a.(type) {
	case once.ReadOwners:
		if s.storeDown() {
			return once.OwnersRead{Service: a.Service, Err: store.ErrUnavailable}
		}
		return once.OwnersRead{Service: a.Service, Version: s.version, Owners: s.owners}
	case once.WriteOwners:
		w := once.OwnersWritten{Service: a.Service, Expect: a.Expect}
		switch {
		case s.storeDown():
			w.Err = store.ErrUnavailable
		case a.Expect != s.version:
			w.Err = store.ErrConflict
		default:
			s.version++
			s.owners, w.Version = a.Owners, s.version
			s.notifyAgents()
		}
		return w
	}
	panic(fmt.Sprintf("unknown store call %T", a))
}

// notifyAgents delivers a changed object to each agent, as a watch does.
func (s *keyedSim) notifyAgents() {
	update := once.OwnersRead{Service: keyedService, Version: s.version, Owners: s.owners}
	s.after(storeLatency, func() {
		for _, vm := range s.vms {
			s.step(vm, update)
		}
	})
}

// loseAgent stops the first agent. The VM list confirms it gone after goneDelay.
func (s *keyedSim) loseAgent() {
	vm := s.vms[0]
	s.vms = s.vms[1:]
	s.after(goneDelay, func() {
		for _, other := range s.vms {
			if s.keyed.Claims == ClaimOwner {
				s.step(other, once.Members{Live: s.vms, Gone: []string{vm}})
			}
		}
	})
}

// arrive processes the arrival of one call and schedules the next arrival.
func (s *keyedSim) arrive() {
	if s.now >= s.end {
		return
	}
	s.result.Calls++
	if s.faultActive() {
		s.result.FaultCalls++
	}
	switch s.keyed.Claims {
	case ClaimOwner:
		s.admit()
	case ClaimWrite:
		s.writeQueues[0].calls = append(s.writeQueues[0].calls, s.now)
	case ClaimGrouped:
		q := &s.writeQueues[s.keyed.Agents-len(s.vms)+s.agentRNG.IntN(len(s.vms))]
		q.calls = append(q.calls, s.now)
	}
	s.after(time.Duration(s.arrivalRNG.ExpFloat64()/s.keyed.Rate*float64(time.Second)), s.arrive)
}

// admit admits one call at the owner of its key slot.
func (s *keyedSim) admit() {
	key := strconv.Itoa(s.result.Calls)
	c := once.Call{Service: keyedService, Caller: "shop", Key: key, Issued: s.time()}
	vm := s.owners.Slots[once.SlotOf(c.Caller, c.Key)].Owner
	if !slices.Contains(s.vms, vm) || s.agents[vm].Admit(s.time(), c, key).Decision != once.Start {
		return
	}
	s.recordDecision(s.now)
	s.after(keyedRunTime, func() { s.agents[vm].Finish(c, &once.Answer{Status: 200, Body: make([]byte, 256)}) })
}

func (s *keyedSim) recordDecision(arrived time.Duration) {
	s.result.Served++
	if s.now < s.end {
		s.result.ServedInRun++
	}
	if arrived >= keyedWarmup+faultDelay {
		s.result.FaultServed++
	}
	s.result.Delays = append(s.result.Delays, float64(s.now-arrived)/float64(time.Millisecond))
}

// write writes up to size claims of the next queue with calls that still wait and may be written, round robin. It drops
// calls whose decision would come too late.
func (s *keyedSim) write(size int, every time.Duration) {
	if s.storeDown() {
		return
	}
	for range s.writeQueues {
		s.lastQueue = (s.lastQueue + 1) % len(s.writeQueues)
		q := &s.writeQueues[s.lastQueue]
		for len(q.calls) > 0 && s.now+storeLatency-q.calls[0] > decisionTimeout {
			q.calls = q.calls[1:]
		}
		if len(q.calls) == 0 || s.now < q.nextAt {
			continue
		}
		n := min(size, len(q.calls))
		group := q.calls[:n]
		q.calls, q.nextAt = q.calls[n:], s.now+every
		s.countStoreCall()
		s.after(storeLatency, func() {
			for _, at := range group {
				s.recordDecision(at)
			}
		})
		return
	}
}
