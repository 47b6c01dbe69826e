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

// Step is a step of a request's or a change's course at which a fault is injected.
type Step string

// Steps, in the order in which a change or a request passes them.
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

// Faults.
const (
	FaultKill       Fault = "kill"
	FaultPause      Fault = "pause"
	FaultCut        Fault = "cut"
	FaultSilent     Fault = "silent"
	FaultLostAnswer Fault = "lost-answer"
	FaultStoreDown  Fault = "store-down"
	FaultStoreSlow  Fault = "store-slow"
	FaultStale      Fault = "stale-reads"
	FaultReclaim    Fault = "reclaim"
	FaultListLag    Fault = "list-lag"
	FaultRace       Fault = "operators-race"
	FaultPoison     Fault = "poison"
	FaultWeights    Fault = "weights-slow"
	FaultNoFence    Fault = "fencing-ignored"
	FaultCrossed    Fault = "crossed"
	FaultUpstream   Fault = "upstream-crash"
)

// Faults lists all faults.
var Faults = []Fault{FaultKill, FaultPause, FaultCut, FaultSilent, FaultLostAnswer, FaultStoreDown, FaultStoreSlow, FaultStale,
	FaultReclaim, FaultListLag, FaultRace, FaultPoison, FaultWeights, FaultNoFence, FaultCrossed, FaultUpstream}

const (
	// pauseTime is longer than any lease or lag in the system.
	pauseTime   = 60 * time.Second
	cutTime     = 5 * time.Second
	outageTime  = 60 * time.Second
	crossTime   = 10 * time.Second
	slowTime    = 60 * time.Second
	lostAnswers = 3
)

// Injection is a fault at the n-th time that a step is reached, counted from 0.
type Injection struct {
	Step  Step
	Fault Fault
	Nth   int
}

// planned is an injection that waits for its step.
type planned struct {
	Injection
	seen int
	done bool
}

// Setup is what a run is made from besides its seed.
type Setup struct {
	Injections  []Injection
	Defects     Defects
	IgnoreFence bool
}

func (s Setup) plan() []planned {
	var out []planned
	for _, i := range s.Injections {
		out = append(out, planned{Injection: i})
	}
	return out
}

// reached says that a step is about to be done by the subject (an agent's VM, a router or an operator). A planned fault
// hits at once or a moment later, so that it also falls between the step and its result.
func (w *World) reached(step Step, subject string) {
	for i := range w.plan {
		p := &w.plan[i]
		if p.done || p.Step != step {
			continue
		}
		if p.seen++; p.seen <= p.Nth {
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
	w.note("fault %s at %s", f, subject)
	w.check.disturb(f, subject)
	a, r := w.agentOf(subject), w.routerOf(subject)
	switch f {
	case FaultKill:
		w.kill(a, r, subject)
	case FaultPause:
		w.pause(a, r, subject)
	case FaultCut:
		w.cutOff(a, r)
	case FaultSilent:
		w.silence(a, r)
	case FaultLostAnswer:
		w.store.loseNext += lostAnswers
		if a != nil {
			a.up.loseOrders += lostAnswers
		}
	case FaultStoreDown:
		w.store.downTill = w.now.Add(outageTime)
	case FaultStoreSlow:
		w.store.slowTill = w.now.Add(slowTime)
	case FaultStale:
		w.store.serveStale(slowTime / 2)
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
		w.vms.lag = vmlist.MaxLag - vmPoll
	case FaultRace:
		w.submit("racer", w.documentFor(100, 2))
		w.submit("rival", w.documentFor(101, 1))
	case FaultPoison:
		target := allTargets[w.rng.IntN(len(allTargets))]
		w.callers.submit(&order{kind: wire.KindModel, target: target, body: poisonMark + "-2", streamed: true, poison: true})
	case FaultWeights:
		for _, x := range w.agents {
			x.up.slowLoads = w.now.Add(slowTime)
		}
	case FaultNoFence:
		for _, x := range w.agents {
			x.up.ignoresFence = true
		}
		if a != nil {
			a.up.loseOrders += lostAnswers
		}
	case FaultCrossed:
		w.crossTill = w.now.Add(crossTime)
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
			a.restartSoon()
		}
	case r != nil:
		if r.alive {
			r.kill()
			r.restartSoon()
		}
	default:
		for _, o := range w.operators {
			o.dead = o.dead || o.name == subject
		}
		// The operators' tool is run again with the next document.
		w.after(20*time.Second, func() { w.submit("again", w.documentFor(200, 2)) })
	}
}

func (w *World) pause(a *agentNode, r *routerNode, subject string) {
	till := w.now.Add(pauseTime)
	switch {
	case a != nil:
		a.pausedTill = till
	case r != nil:
		r.pausedTill = till
	default:
		for _, o := range w.operators {
			if o.name == subject {
				o.paused = till
			}
		}
	}
}

// cutOff cuts the subject off from its peers for a while, or all routers from one agent.
func (w *World) cutOff(a *agentNode, r *routerNode) {
	for _, x := range w.routers {
		for _, y := range w.agents {
			if x != r && y != a && (a != nil || r != nil || y != w.agents[0]) {
				continue
			}
			till := w.now.Add(cutTime)
			w.cuts[[2]string{x.name, y.name}], w.cuts[[2]string{y.name, x.name}] = till, till
			if c := x.conns[y.vm]; c != nil {
				c.cut()
			}
		}
	}
}

// silence makes the open connections of the subject, and those between an agent and its upstream, silent for good.
func (w *World) silence(a *agentNode, r *routerNode) {
	for _, x := range w.routers {
		for _, y := range w.agents {
			if c := x.conns[y.vm]; c != nil && (x == r || y == a || a == nil && r == nil) {
				c.silent = true
			}
		}
	}
	if a != nil {
		a.up.silence()
	}
}

// noteWrite recognizes the steps that are writes of an agent.
func (w *World) noteWrite(a *agentNode, act agent.WriteObject) {
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

func (w *World) isPoison(body string) bool { return strings.HasPrefix(body, poisonMark) }

// understate halves the sizes that a configuration states.
func understate(d *config.Document) *config.Document {
	half := *d.Config
	half.Models = append([]config.Model(nil), half.Models...)
	for i := range half.Models {
		half.Models[i].MemoryBytes /= 3
	}
	return newDocument(&half)
}
