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

// Parameters of the deployment under test. Memory sizes are in arbitrary units. m1 and m2 together exceed the memory of
// an upstream, so that loading one requires the eviction of the other.
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

// allTargets lists the targets in a fixed order, because the order of a map differs from run to run.
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

// World is the simulation of one run: a small deployment with callers and operators, in virtual time.
type World struct {
	*clock
	store           *objectAPI
	vms             *vmList
	agents          []*agentNode
	routers         []*routerNode
	operators       []*operator
	callers         *callers
	check           *checker
	defects         Defects
	plan            []plannedInjection
	partitions      map[[2]string]time.Time
	misdeliverUntil time.Time
	trace           func(string)
}

// Defects selects deliberate defects, which tests use to show that the checks detect them.
type Defects struct {
	IgnoreCondition     bool // the object API ignores the condition of a write
	UnderstateSizes     bool // the configuration has a third of the models' real sizes
	ForgetFloor         bool // a restarted agent treats keys as new that an earlier process may have run
	ClaimNotRun         bool // an unknown outcome is reported as not-run
	AcceptAnyFrame      bool // a router accepts bytes whatever their attempt and offset
	NoDeadline          bool // a router does not refuse a request at its deadline
	IgnoreLeaving       bool // processes do not see that a VM is leaving
	StopAtOnce          bool // a planned stop kills the process
	RevertConfiguration bool // a router returns to an older configuration
	NoQuarantine        bool // each attempt has another fingerprint, so that no request is quarantined
}

// NewWorld returns the simulation at its start, when all processes have just been started.
func NewWorld(seed uint64, s Setup) *World {
	w := &World{clock: newClock(seed), defects: s.Defects, partitions: map[[2]string]time.Time{}, plan: s.plan()}
	w.store, w.vms = newObjectAPI(w), newVMList(w)
	w.check = newChecker(w)
	w.callers = newCallers(w)
	for i, name := range []string{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		w.vms.set(vmlist.VM{ID: name, Addr: name, Region: "r1", Zone: "z1", State: vmlist.StateLive})
		group := groupModels
		if i >= 3 {
			group = groupPlain
		}
		w.newAgent(name, group, i >= 3, s.IgnoreFence)
	}
	w.newRouter("router1")
	w.newRouter("router2")
	w.schedule()
	return w
}

// Phases of a run. Callers send requests from startRequests to endRequests. The time until runTime lets faults end and
// requests finish.
const (
	startRequests = 15 * time.Second
	endRequests   = 75 * time.Second
	runTime       = 200 * time.Second
)

// schedule plans the events of a run without faults: configurations, requests, a leaving VM and planned stops.
func (w *World) schedule() {
	w.after(0, func() { w.submit("first", w.documentFor(1, 2)) })
	w.after(25*time.Second, func() { w.submit("lower", w.documentFor(2, 1)) })
	w.after(45*time.Second, func() { w.submit("raise", w.documentFor(3, 2)) })
	w.after(40*time.Second, func() { w.startLeaving(w.agents[2]) })
	w.after(50*time.Second, func() { w.stopAgent(w.agents[4]) })
	w.after(60*time.Second, func() { w.stopRouter(w.routers[1]) })
	w.callers.schedule()
}

func (w *World) documentFor(revision, ceiling int) *config.Document {
	d := document(revision, ceiling)
	if w.defects.UnderstateSizes {
		d = understate(d)
	}
	return d
}

// Run runs the simulation to its end or to the first violation, which it returns.
func (w *World) Run() error {
	end := startTime.Add(runTime)
	for w.next(end) {
		if err := w.check.checkState(); err != nil {
			return err
		}
	}
	return w.check.checkEnd()
}

// startLeaving lists a VM as leaving. After 30 s the VM is reclaimed.
func (w *World) startLeaving(a *agentNode) {
	vm := w.vms.current[a.vm]
	if vm.ID == "" {
		return
	}
	vm.State = vmlist.StateLeaving
	w.vms.set(vm)
	w.check.recordLeaving(a.vm)
	w.reached(StepDrain, a.vm)
	w.after(30*time.Second, func() { w.reclaim(a) })
}

// reclaim ends a VM with its agent and upstream and removes it from the list.
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

// stopAgent starts a planned stop of an agent process. If the process has ended 20 s later, the platform restarts it on
// the same VM.
func (w *World) stopAgent(a *agentNode) {
	if !a.alive {
		return
	}
	w.check.recordPlannedStop(a.name)
	if w.defects.StopAtOnce {
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

// stopRouter starts a planned stop of a router: the load balancer sends it no new requests, while those in progress
// continue.
func (w *World) stopRouter(r *routerNode) {
	r.stopping = true
	w.check.recordPlannedStop(r.name)
	if w.defects.StopAtOnce {
		r.kill()
	}
}

// jitter returns a random one-way latency between two processes.
func (w *World) jitter() time.Duration { return latency + time.Duration(w.rng.Int64N(int64(latency))) }

func (w *World) isPartitioned(a, b string) bool {
	until, ok := w.partitions[[2]string{a, b}]
	return ok && w.now.Before(until)
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

// peerAddrs returns the addresses of the peers in a router's settings.
func (w *World) peerAddrs(self string) []string {
	var out []string
	for _, a := range w.agents {
		out = append(out, a.addr())
	}
	return out
}

// queryConfig queries a peer for a configuration newer than have. It calls done with nil if the peer does not reply.
func (w *World) queryConfig(from *process, addr string, have uint64, done func(*wire.ConfigDoc)) {
	current, p := w.peerDocument(addr)
	if p == nil || !p.alive || w.now.Before(p.pausedUntil) || w.isPartitioned(from.name, p.name) {
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

// exchangeQuarantine sends a quarantine list to a peer and calls done with the peer's list.
func (w *World) exchangeQuarantine(from *process, addr string, entries []wire.QuarantineEntry, done func([]wire.QuarantineEntry)) {
	for _, r := range w.routers {
		if r.addr() == addr && r.alive && !w.isPartitioned(from.name, r.name) {
			r.deliver(latency, func() {
				r.blocklist.Merge(entries)
				reply := r.blocklist.Entries()
				w.after(latency, func() { done(reply) })
			})
			return
		}
	}
	a := w.agentAt(addr)
	if a == nil || !a.alive || w.isPartitioned(from.name, a.name) {
		return
	}
	a.deliver(latency, func() {
		a.step(agent.QuarantineReceived{Entries: entries})
		reply := a.core.Quarantine()
		w.after(latency, func() { done(reply) })
	})
}

// acceptedVersion returns the version of the configuration in the object API, 0 if there is none.
func (w *World) acceptedVersion() uint64 {
	e, err := config.DecodeEnvelope(w.store.objects[store.KeyConfig].Value)
	if err != nil {
		return 0
	}
	return e.Version
}

// misdeliver delivers a frame a second time, up to 3 s later, and also to the stream of another request.
func (w *World) misdeliver(st *simStream, m wire.Message) {
	r := st.c.from
	w.after(w.between(latency, 3*time.Second), func() {
		if r.alive {
			st.receive(m)
		}
	})
	for _, x := range r.exchanges {
		if !x.ended && x.st != nil && x.st != st {
			other := x.st
			r.deliver(2*latency, func() { other.receive(m) })
			return
		}
	}
}

func (w *World) logf(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%8.3f ", w.now.Sub(startTime).Seconds()) + fmt.Sprintf(format, args...))
	}
}
