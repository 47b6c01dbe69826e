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

// ClaimMode is how a keyed call gets the right to run.
type ClaimMode string

// Claims. All but ClaimOwner are baselines, for which a call may run at any agent once a store write has taken effect.
const (
	// ClaimOwner is package once: the owner of the key's slot decides.
	ClaimOwner ClaimMode = "once"
	// ClaimWrite makes one store write for each call.
	ClaimWrite ClaimMode = "write per call"
	// ClaimGrouped lets an agent write up to 256 claims at once, each 5 ms.
	ClaimGrouped ClaimMode = "grouped claims"
)

const (
	keyedService = "orders"
	// keyedPatience is how long a caller waits for the decision. It is short against a run, so that the backlog of an
	// overloaded store shows as calls that are not decided.
	keyedPatience = time.Second
	// keyedRun is how long a call runs after the decision.
	keyedRun = 50 * time.Millisecond
	// storeLatency is the time of a store call; storeWrites is the budget, writes per second.
	storeLatency = 3 * time.Millisecond
	storeWrites  = 300
	// groupSize and groupEvery shape ClaimGrouped.
	groupSize, groupEvery = 256, 5 * time.Millisecond
	// keyedStart is the time for the agents to claim their slots, before the first call. The fault, if any, begins
	// keyedQuiet after the first call.
	keyedStart, keyedQuiet = 60 * time.Second, 10 * time.Second
	// listAbsence is the absence from the VM list that proves a VM gone (design page, section 4.1).
	listAbsence = 30 * time.Second
)

// Keyed is one case.
type Keyed struct {
	Claims ClaimMode
	Agents int
	Rate   float64 // calls per second
	// Outage stops the store and LoseAgent one agent, both from the beginning of the fault to the end of the run.
	Outage, LoseAgent bool
}

// KeyedResult is what happened to the calls.
type KeyedResult struct {
	Calls, Served           int       // Served counts decisions to run within keyedPatience
	ServedInRun             int       // of Served, those that were decided before the last call arrived
	FaultCalls, FaultServed int       // of the calls that arrived after the fault began
	StartCalls              int       // store calls before the first keyed call
	SteadyCalls             int       // store calls from then on
	Delays                  []float64 // from arrival to the decision, ms, of served calls
}

func (r *KeyedResult) add(o KeyedResult) {
	r.Calls, r.Served, r.ServedInRun = r.Calls+o.Calls, r.Served+o.Served, r.ServedInRun+o.ServedInRun
	r.FaultCalls, r.FaultServed = r.FaultCalls+o.FaultCalls, r.FaultServed+o.FaultServed
	r.StartCalls, r.SteadyCalls = r.StartCalls+o.StartCalls, r.SteadyCalls+o.SteadyCalls
	r.Delays = append(r.Delays, o.Delays...)
}

// lane is a queue of arrival times of calls that wait for a store write.
type lane struct {
	calls  []time.Duration
	nextAt time.Duration // the earliest time of the next write
}

type keyedSim struct {
	agenda
	k       Keyed
	rng     *rand.Rand // of the arrivals, which are the same for each case with the same rate
	pick    *rand.Rand // of the agent that a call goes to
	end     time.Duration
	agents  map[string]*once.State
	vms     []string // sorted, of live agents
	version uint64
	owners  once.Owners
	lanes   []lane
	turn    int
	result  KeyedResult
}

// SimulateKeyed runs one case; length counts from the first call.
func SimulateKeyed(k Keyed, seed uint64, length time.Duration) KeyedResult {
	s := &keyedSim{k: k, rng: rand.New(rand.NewPCG(seed, 19)), pick: rand.New(rand.NewPCG(seed, 23)), end: keyedStart + length, agents: map[string]*once.State{}}
	for i := range k.Agents {
		s.vms = append(s.vms, fmt.Sprintf("vm-%03d", i))
	}
	s.at(keyedStart, s.arrive)
	if k.LoseAgent {
		s.at(keyedStart+keyedQuiet, s.lose)
	}
	switch k.Claims {
	case ClaimOwner:
		s.startAgents()
	case ClaimWrite:
		s.lanes = make([]lane, 1)
		s.every(time.Second/storeWrites, s.end+keyedPatience, func() { s.write(1, 0) })
	case ClaimGrouped:
		s.lanes = make([]lane, k.Agents)
		s.every(time.Second/storeWrites, s.end+keyedPatience, func() { s.write(groupSize, groupEvery) })
	}
	s.run()
	return s.result
}

func (s *keyedSim) faulty() bool { return s.now >= keyedStart+keyedQuiet }

func (s *keyedSim) storeDown() bool { return s.k.Outage && s.faulty() }

func (s *keyedSim) countCall() {
	if s.now < keyedStart {
		s.result.StartCalls++
	} else {
		s.result.SteadyCalls++
	}
}

// startAgents starts a process of package once on each VM.
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

// step applies an event at an agent that lives and carries out its store calls, until the end of the run.
func (s *keyedSim) step(vm string, ev once.Event) {
	st := s.agents[vm]
	if s.now > s.end || !slices.Contains(s.vms, vm) {
		return
	}
	for _, a := range st.Step(s.time(), ev) {
		s.countCall()
		s.after(storeLatency/2, func() {
			answer := s.apply(a)
			s.after(storeLatency/2, func() { s.step(vm, answer) })
		})
	}
}

// apply carries out a store call and returns the event that answers it.
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
			s.watch()
		}
		return w
	}
	panic(fmt.Sprintf("unknown store call %T", a))
}

// watch shows each agent the object after a change.
func (s *keyedSim) watch() {
	seen := once.OwnersRead{Service: keyedService, Version: s.version, Owners: s.owners}
	s.after(storeLatency, func() {
		for _, vm := range s.vms {
			s.step(vm, seen)
		}
	})
}

// lose ends the first agent. The VM list proves it gone later.
func (s *keyedSim) lose() {
	vm := s.vms[0]
	s.vms = s.vms[1:]
	s.after(listAbsence, func() {
		for _, other := range s.vms {
			if s.k.Claims == ClaimOwner {
				s.step(other, once.Members{Live: s.vms, Gone: []string{vm}})
			}
		}
	})
}

// arrive takes one call and draws the next one.
func (s *keyedSim) arrive() {
	if s.now >= s.end {
		return
	}
	s.result.Calls++
	if s.faulty() {
		s.result.FaultCalls++
	}
	switch s.k.Claims {
	case ClaimOwner:
		s.admit()
	case ClaimWrite:
		s.lanes[0].calls = append(s.lanes[0].calls, s.now)
	case ClaimGrouped:
		l := &s.lanes[s.k.Agents-len(s.vms)+s.pick.IntN(len(s.vms))]
		l.calls = append(l.calls, s.now)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/s.k.Rate*float64(time.Second)), s.arrive)
}

// admit asks the owner of the key's slot.
func (s *keyedSim) admit() {
	key := strconv.Itoa(s.result.Calls)
	c := once.Call{Service: keyedService, Caller: "shop", Key: key, Issued: s.time()}
	vm := s.owners.Slots[once.SlotOf(c.Caller, c.Key)].Owner
	if !slices.Contains(s.vms, vm) || s.agents[vm].Admit(s.time(), c, key).Decision != once.Start {
		return
	}
	s.served(s.now)
	s.after(keyedRun, func() { s.agents[vm].Finish(c, &once.Answer{Status: 200, Body: make([]byte, 256)}) })
}

func (s *keyedSim) served(arrived time.Duration) {
	s.result.Served++
	if s.now < s.end {
		s.result.ServedInRun++
	}
	if arrived >= keyedStart+keyedQuiet {
		s.result.FaultServed++
	}
	s.result.Delays = append(s.result.Delays, float64(s.now-arrived)/float64(time.Millisecond))
}

// write uses one store write, if a lane has calls that still wait: up to size claims of the next such lane.
func (s *keyedSim) write(size int, every time.Duration) {
	if s.storeDown() {
		return
	}
	for range s.lanes {
		s.turn = (s.turn + 1) % len(s.lanes)
		l := &s.lanes[s.turn]
		for len(l.calls) > 0 && s.now+storeLatency-l.calls[0] > keyedPatience {
			l.calls = l.calls[1:]
		}
		if len(l.calls) == 0 || s.now < l.nextAt {
			continue
		}
		n := min(size, len(l.calls))
		group := l.calls[:n]
		l.calls, l.nextAt = l.calls[n:], s.now+every
		s.countCall()
		s.after(storeLatency, func() {
			for _, at := range group {
				s.served(at)
			}
		})
		return
	}
}
