package matrix

import (
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Step is a step in the processing of a request or of a configuration change at which a fault can be injected.
type Step string

// The steps, in the order in which a change or a request passes them.
const (
	StepAccept   Step = "accept"
	StepSpread   Step = "spread"
	StepAdmit    Step = "admit"
	StepRoute    Step = "route"
	StepClaim    Step = "claim"
	StepGrant    Step = "grant"
	StepOrder    Step = "order"
	StepLoad     Step = "load"
	StepDispatch Step = "dispatch"
	StepStream   Step = "stream"
	StepComplete Step = "complete"
	StepDrain    Step = "drain"
	StepRelease  Step = "release"
)

// Steps lists all steps.
var Steps = []Step{StepAccept, StepSpread, StepAdmit, StepRoute, StepClaim, StepGrant, StepOrder, StepLoad, StepDispatch,
	StepStream, StepComplete, StepDrain, StepRelease}

// Fault is a kind of failure.
type Fault string

// The faults. The subject is the process at which the step was reached.
const (
	FaultKill           Fault = "kill"            // the subject is killed and started again
	FaultPause          Fault = "pause"           // the subject is paused for pauseTime
	FaultPartition      Fault = "cut"             // a network partition for partitionTime
	FaultStall          Fault = "silent"          // the open connections of the subject stall
	FaultLostAnswer     Fault = "lost-answer"     // the answers to the next writes and orders are lost
	FaultStoreDown      Fault = "store-down"      // the object API is unavailable
	FaultStoreSlow      Fault = "store-slow"      // the object API responds after the clients' timeout
	FaultStale          Fault = "stale-reads"     // the object API serves an old state to reads
	FaultReclaim        Fault = "reclaim"         // the platform reclaims a VM without notice
	FaultListLag        Fault = "list-lag"        // the VM list lags by almost vmlist.MaxLag
	FaultOperatorRace   Fault = "operators-race"  // two operators apply configurations at once
	FaultPoison         Fault = "poison"          // a caller sends a request that crashes upstreams
	FaultWeights        Fault = "weights-slow"    // loads take 20 times as long
	FaultNoFence        Fault = "fencing-ignored" // engines accept orders with old fencing numbers
	FaultReplayedFrames Fault = "crossed"         // frames arrive again later and at other streams
	FaultUpstream       Fault = "upstream-crash"  // an upstream crashes
)

// Faults lists all faults.
var Faults = []Fault{FaultKill, FaultPause, FaultPartition, FaultStall, FaultLostAnswer, FaultStoreDown, FaultStoreSlow, FaultStale,
	FaultReclaim, FaultListLag, FaultOperatorRace, FaultPoison, FaultWeights, FaultNoFence, FaultReplayedFrames, FaultUpstream}

const (
	// pauseTime is longer than any lease or lag in the system.
	pauseTime       = 60 * time.Second
	partitionTime   = 5 * time.Second
	outageTime      = 60 * time.Second
	misdeliveryTime = 10 * time.Second
	slownessTime    = 60 * time.Second
	lostAnswers     = 3
)

// Injection is a fault that is injected when a step is reached for the n-th time, counted from 0.
type Injection struct {
	Step  Step
	Fault Fault
	Nth   int
}

// plannedInjection is an injection with the number of times that its step has been reached.
type plannedInjection struct {
	Injection
	count int
	done  bool
}

// Setup is the parameters of a run besides its seed.
type Setup struct {
	Injections  []Injection
	Defects     Defects
	IgnoreFence bool
}

func (s Setup) plan() []plannedInjection {
	var out []plannedInjection
	for _, i := range s.Injections {
		out = append(out, plannedInjection{Injection: i})
	}
	return out
}

// reached records that the subject (an agent's VM, a router or an operator) is about to execute a step. A fault that is
// planned for the step is injected after a random delay of up to 5 ms, so that it can also occur between the step and
// its result.
func (w *World) reached(step Step, subject string) {
	for i := range w.plan {
		p := &w.plan[i]
		if p.done || p.Step != step {
			continue
		}
		if p.count++; p.count <= p.Nth {
			continue
		}
		p.done = true
		fault := p.Fault
		w.after(time.Duration(w.rng.Int64N(int64(5*time.Millisecond))), func() { w.inject(fault, subject) })
	}
}

// Injected reports whether all planned faults have been injected.
func (w *World) Injected() bool {
	for _, p := range w.plan {
		if !p.done {
			return false
		}
	}
	return true
}

func (w *World) inject(f Fault, subject string) {
	w.logf("fault %s at %s", f, subject)
	w.check.recordFault(f, subject)
	a, r := w.agentOf(subject), w.routerOf(subject)
	switch f {
	case FaultKill:
		w.kill(a, r, subject)
	case FaultPause:
		w.pause(a, r, subject)
	case FaultPartition:
		w.partition(a, r)
	case FaultStall:
		w.stallConnections(a, r)
	case FaultLostAnswer:
		w.store.loseNextWrites += lostAnswers
		if a != nil {
			a.up.loseNextOrders += lostAnswers
		}
	case FaultStoreDown:
		w.store.downUntil = w.now.Add(outageTime)
	case FaultStoreSlow:
		w.store.slowUntil = w.now.Add(slownessTime)
	case FaultStale:
		w.store.serveStale(slownessTime / 2)
	default:
		w.injectMore(f, a)
	}
}

func (w *World) injectMore(f Fault, a *agentNode) {
	switch f {
	case FaultReclaim:
		if a == nil {
			a = w.agents[w.rng.IntN(len(w.agents))]
		}
		w.reclaim(a)
	case FaultListLag:
		w.vms.lag = vmlist.MaxLag - vmPollInterval
	case FaultOperatorRace:
		w.submit("racer", w.documentFor(100, 2))
		w.submit("rival", w.documentFor(101, 1))
	case FaultPoison:
		target := allTargets[w.rng.IntN(len(allTargets))]
		w.callers.submit(&callerRequest{kind: wire.KindModel, target: target, body: poisonMarker + "-2", streamed: true, poison: true})
	case FaultWeights:
		for _, x := range w.agents {
			x.up.slowLoadsUntil = w.now.Add(slownessTime)
		}
	case FaultNoFence:
		for _, x := range w.agents {
			x.up.ignoresFence = true
		}
		if a != nil {
			a.up.loseNextOrders += lostAnswers
		}
	case FaultReplayedFrames:
		w.misdeliverUntil = w.now.Add(misdeliveryTime)
	case FaultUpstream:
		if a == nil {
			a = w.agents[w.rng.IntN(len(w.agents))]
		}
		a.up.crash()
	}
}

func (w *World) kill(a *agentNode, r *routerNode, subject string) {
	switch {
	case a != nil:
		if !a.reclaimed && a.alive {
			a.kill()
			a.scheduleRestart()
		}
	case r != nil:
		if r.alive {
			r.kill()
			r.scheduleRestart()
		}
	default:
		for _, o := range w.operators {
			o.dead = o.dead || o.name == subject
		}
		// The operators' tool is then run again with another document.
		w.after(20*time.Second, func() { w.submit("again", w.documentFor(200, 2)) })
	}
}

func (w *World) pause(a *agentNode, r *routerNode, subject string) {
	until := w.now.Add(pauseTime)
	switch {
	case a != nil:
		a.pausedUntil = until
	case r != nil:
		r.pausedUntil = until
	default:
		for _, o := range w.operators {
			if o.name == subject {
				o.pausedUntil = until
			}
		}
	}
}

// partition separates an agent from all routers, or a router from all agents, for partitionTime. If the subject is an
// operator, it separates the first agent from all routers.
func (w *World) partition(a *agentNode, r *routerNode) {
	for _, x := range w.routers {
		for _, y := range w.agents {
			if x != r && y != a && (a != nil || r != nil || y != w.agents[0]) {
				continue
			}
			until := w.now.Add(partitionTime)
			w.partitions[[2]string{x.name, y.name}], w.partitions[[2]string{y.name, x.name}] = until, until
			if c := x.conns[y.vm]; c != nil {
				c.interrupt()
			}
		}
	}
}

// stallConnections stalls the open connections of the subject for good, also those between an agent and its upstream.
// If the subject is an operator, it stalls all connections between routers and agents.
func (w *World) stallConnections(a *agentNode, r *routerNode) {
	for _, x := range w.routers {
		for _, y := range w.agents {
			if c := x.conns[y.vm]; c != nil && (x == r || y == a || a == nil && r == nil) {
				c.stalled = true
			}
		}
	}
	if a != nil {
		a.up.stallCalls()
	}
}

// recordWriteStep records the step of which a write of an agent is part, if any.
func (w *World) recordWriteStep(a *agentNode, act agent.WriteObject) {
	switch {
	case strings.HasPrefix(act.Key, store.PrefixOwners):
		w.reached(StepClaim, a.vm)
	case strings.HasPrefix(act.Key, store.PrefixGrants):
		o, err := grant.Decode(act.Value)
		if err != nil {
			return
		}
		if _, i := o.Find(a.vm); i >= 0 {
			w.reached(StepGrant, a.vm)
		} else {
			w.reached(StepRelease, a.vm)
		}
	}
}

func (w *World) isPoison(body string) bool { return strings.HasPrefix(body, poisonMarker) }

// understate returns the configuration with the memory sizes of its models divided by three.
func understate(d *config.Document) *config.Document {
	reduced := *d.Config
	reduced.Models = append([]config.Model(nil), reduced.Models...)
	for i := range reduced.Models {
		reduced.Models[i].MemoryBytes /= 3
	}
	return newDocument(&reduced)
}
