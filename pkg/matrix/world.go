package matrix

import (
	"fmt"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Sizes of the deployment under test, in units of memory. m1 and m2 do not fit on one upstream together, so that a cold
// start has to evict.
const (
	kvReserve    = 5
	sizeM1       = 60
	sizeM2       = 50
	sizeA1       = 5
	engineMemory = 100
	memoryLimit  = 90
	groupModels  = "engines"
	groupPlain   = "desks"
	maxWait      = 12 * time.Second
	tokenBytes   = 4
)

// allTargets lists the targets in a fixed order, since the order of a map would make a run differ.
var allTargets = []engine.Target{{Model: "m1"}, {Model: "m1", Adapter: "a1"}, {Model: "m2"}}

func sizeOf(t engine.Target) int64 {
	switch {
	case t.Adapter != "":
		return sizeA1
	case t.Model == "m1":
		return sizeM1
	}
	return sizeM2
}

// World is one run: a small deployment with callers and operators, in virtual time.
type World struct {
	*clock
	store     *objectAPI
	vms       *vmList
	agents    []*agentNode
	routers   []*routerNode
	operators []*operator
	callers   *callers
	check     *checker
	broken    Defects
	plan      []planned
	cuts      map[[2]string]time.Time
	crossTill time.Time
	trace     func(string)
}

// Defects turns decisions into deliberately wrong ones, to show that the checks notice.
type Defects struct {
	IgnoreCondition     bool // the object API takes every write
	UnderstateSizes     bool // the configuration states half of the sizes
	ForgetFloor         bool // a restarted agent takes keys for new that an earlier process may have run
	ClaimNotRun         bool // an unknown outcome is reported as not-run
	AcceptAnyFrame      bool // bytes are taken whatever their attempt and offset
	NoDeadline          bool // no refusal at the deadline
	IgnoreLeaving       bool // nobody notices that a VM is leaving
	StopAtOnce          bool // a planned stop ends the process at once
	RevertConfiguration bool // a process takes an older configuration
	NoQuarantine        bool // agents and routers see each request under another fingerprint
}

// NewWorld returns a deployment that has just been started.
func NewWorld(seed uint64, o Setup) *World {
	w := &World{clock: newClock(seed), broken: o.Defects, cuts: map[[2]string]time.Time{}, plan: o.plan()}
	w.store, w.vms = newObjectAPI(w), newVMList(w)
	w.check = newChecker(w)
	w.callers = newCallers(w)
	for i, name := range []string{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		w.vms.set(vmlist.VM{ID: name, Addr: name, Region: "r1", Zone: "z1", State: vmlist.StateLive})
		group := groupModels
		if i >= 3 {
			group = groupPlain
		}
		w.newAgent(name, group, i >= 3, o.IgnoreFence)
	}
	w.newRouter("router1")
	w.newRouter("router2")
	w.schedule()
	return w
}

// The course of a run. Requests come from startRequests to endRequests; the rest lets faults end.
const (
	startRequests = 15 * time.Second
	endRequests   = 75 * time.Second
	runTime       = 200 * time.Second
)

// schedule plans what happens without faults: configurations, requests, a leaving VM and planned stops.
func (w *World) schedule() {
	w.after(0, func() { w.submit("first", w.documentFor(1, 2)) })
	w.after(25*time.Second, func() { w.submit("lower", w.documentFor(2, 1)) })
	w.after(45*time.Second, func() { w.submit("raise", w.documentFor(3, 2)) })
	w.after(40*time.Second, func() { w.leave(w.agents[2]) })
	w.after(50*time.Second, func() { w.stopAgent(w.agents[4]) })
	w.after(60*time.Second, func() { w.stopRouter(w.routers[1]) })
	w.callers.schedule()
}

func (w *World) documentFor(revision, ceiling int) *config.Document {
	d := document(revision, ceiling)
	if w.broken.UnderstateSizes {
		d = understate(d)
	}
	return d
}

// Run runs to the end or to the first violation, which it returns.
func (w *World) Run() error {
	end := epoch.Add(runTime)
	for w.next(end) {
		if err := w.check.now(); err != nil {
			return err
		}
	}
	return w.check.end()
}

// leave makes a VM leave the list: first shown as leaving, then removed with its processes.
func (w *World) leave(a *agentNode) {
	vm := w.vms.current[a.vm]
	if vm.ID == "" {
		return
	}
	vm.State = vmlist.StateLeaving
	w.vms.set(vm)
	w.check.leaving(a.vm)
	w.reached(StepDrain, a.vm)
	w.after(30*time.Second, func() { w.reclaim(a) })
}

// reclaim ends a VM with its agent and upstream.
func (w *World) reclaim(a *agentNode) {
	if a.reclaimed {
		return
	}
	a.reclaimed = true
	a.kill()
	a.up.alive = false
	a.up.restart()
	w.vms.remove(a.vm)
}

// stopAgent is a planned stop of an agent process; the platform starts it again on the same VM.
func (w *World) stopAgent(a *agentNode) {
	if !a.alive {
		return
	}
	w.check.stopping(a.name)
	if w.broken.StopAtOnce {
		a.kill()
		return
	}
	a.stopping = true
	a.deliver(0, func() { a.step(agent.Drain{}) })
	w.after(20*time.Second, func() {
		if a.stopped && !a.reclaimed {
			a.start()
		}
	})
}

// stopRouter is a planned stop of a router: the balancer sends it nothing new, and it ends once its requests have.
func (w *World) stopRouter(r *routerNode) {
	r.stopping = true
	w.check.stopping(r.name)
	if w.broken.StopAtOnce {
		r.kill()
	}
}

// jitter is one way between two processes.
func (w *World) jitter() time.Duration { return latency + time.Duration(w.rng.Int64N(int64(latency))) }

func (w *World) isCut(a, b string) bool {
	till, ok := w.cuts[[2]string{a, b}]
	return ok && w.now.Before(till)
}

func (w *World) agentAt(addr string) *agentNode {
	for _, a := range w.agents {
		if a.addr() == addr {
			return a
		}
	}
	return nil
}

func (w *World) agentOf(vm string) *agentNode {
	for _, a := range w.agents {
		if a.vm == vm {
			return a
		}
	}
	return nil
}

func (w *World) routerOf(name string) *routerNode {
	for _, r := range w.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

// peerAddrs returns the addresses that a starting router has in its settings.
func (w *World) peerAddrs(self string) []string {
	var out []string
	for _, a := range w.agents {
		out = append(out, a.addr())
	}
	return out
}

// askConfig carries a ConfigGet to a peer. The answer is nil if the peer does not answer.
func (w *World) askConfig(from *process, addr string, have uint64, done func(*wire.ConfigDoc)) {
	current, p := w.peerDocument(addr)
	if p == nil || !p.alive || w.now.Before(p.pausedTill) || w.isCut(from.name, p.name) {
		w.after(dialTimeout, func() { done(nil) })
		return
	}
	w.after(2*latency, func() {
		doc := &wire.ConfigDoc{}
		if d := current(); d != nil && d.Version > have {
			doc = &wire.ConfigDoc{Version: d.Version, Digest: d.Digest, Document: d.Raw}
		}
		done(doc)
	})
}

func (w *World) peerDocument(addr string) (func() *config.Document, *process) {
	if a := w.agentAt(addr); a != nil {
		return func() *config.Document { return a.core.Document() }, a.process
	}
	for _, r := range w.routers {
		if r.addr() == addr {
			return func() *config.Document { return r.conf.Current() }, r.process
		}
	}
	return nil, nil
}

// exchangeQuarantine carries a quarantine list to a peer and its list back.
func (w *World) exchangeQuarantine(from *process, addr string, entries []wire.QuarantineEntry, done func([]wire.QuarantineEntry)) {
	for _, r := range w.routers {
		if r.addr() == addr && r.alive && !w.isCut(from.name, r.name) {
			r.deliver(latency, func() {
				r.blocklist.Merge(entries)
				back := r.blocklist.Entries()
				w.after(latency, func() { done(back) })
			})
			return
		}
	}
	a := w.agentAt(addr)
	if a == nil || !a.alive || w.isCut(from.name, a.name) {
		return
	}
	a.deliver(latency, func() {
		a.step(agent.QuarantineReceived{Entries: entries})
		back := a.core.Quarantine()
		w.after(latency, func() { done(back) })
	})
}

// acceptedVersion is the version of the configuration in the object API.
func (w *World) acceptedVersion() uint64 {
	e, err := config.DecodeEnvelope(w.store.objects[store.KeyConfig].Value)
	if err != nil {
		return 0
	}
	return e.Version
}

// cross delivers a frame a second time later, and at another request's stream.
func (w *World) cross(st *simStream, m wire.Message) {
	r := st.c.from
	w.after(w.between(latency, 3*time.Second), func() {
		if r.alive {
			st.receive(m)
		}
	})
	for _, x := range r.order {
		if !x.over && x.st != nil && x.st != st {
			other := x.st
			r.deliver(2*latency, func() { other.receive(m) })
			return
		}
	}
}

func (w *World) note(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%8.3f ", w.now.Sub(epoch).Seconds()) + fmt.Sprintf(format, args...))
	}
}
