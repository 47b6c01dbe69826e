package residency_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// world runs agents against a fake store and fake engines in virtual time. Every message may be delayed, be lost or
// take effect after its sender stopped waiting for the reply.
type world struct {
	now         time.Time
	rng         *rand.Rand
	queue       []event
	faulty      bool // messages may be lost or delayed
	outage      bool
	trustFence  bool
	objects     map[string]store.Object
	lastVersion uint64
	doc         *config.Document // published
	limits      map[string]int   // published replicas by model
	vms         []*node          // live VMs
	nextVM      int
	changes     int
	violation   string // first violated invariant
	served      int
	loads       int
}

// node is one VM with its agent and engine.
type node struct {
	w           *world
	vm          string
	incarnation int
	state       *residency.State
	alive       bool
	pausedUntil time.Time
	epoch       int
	loaded      map[engine.Target]bool
	loading     map[engine.Target]int // number of orders that are loading the target
	fence       uint64
	waiting     map[engine.Target]int // number of waiting requests
}

type event struct {
	at time.Time
	do func()
}

// schedule queues do to run after d; events with the same time keep their order.
func (w *world) schedule(d time.Duration, do func()) {
	at := w.now.Add(d)
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at.After(at) })
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

// randomUpTo returns a random duration up to d.
func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

// drawFault reports whether a message is subject to a fault, which it draws with the given probability in percent.
func (w *world) drawFault(percent int) bool { return w.faulty && w.rng.IntN(100) < percent }

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && w.violation == "" {
		ev := w.queue[0]
		w.queue, w.now = w.queue[1:], ev.at
		ev.do()
		w.check()
	}
	w.now = end
}

// check records a violation if a model has more replicas than published or an engine uses more memory than its limit.
func (w *world) check() {
	replicas := map[string]int{}
	for _, n := range w.vms {
		bytes := int64(0)
		for t := range n.loadedOrLoading() {
			bytes += gib
			if t.Adapter == "" {
				replicas[t.Model]++
				bytes += modelSize - gib
			}
		}
		if bytes > w.doc.Config.Limits.UpstreamMemoryBytes {
			w.violation = fmt.Sprintf("%s uses %d bytes: %v", n.vm, bytes, n.loadedOrLoading())
		}
	}
	for m, count := range replicas {
		if count > w.limits[m] {
			w.violation = fmt.Sprintf("%d replicas of %s, limit %d; grants %s", count, m, w.limits[m], w.objects[grant.Key(m)].Value)
		}
	}
}

// loadedOrLoading returns the targets that the engine has loaded or is loading.
func (n *node) loadedOrLoading() map[engine.Target]bool {
	ts := maps.Clone(n.loaded)
	for t, count := range n.loading {
		if count > 0 {
			ts[t] = true
		}
	}
	return ts
}

func (w *world) addVM() *node {
	w.nextVM++
	n := &node{w: w, vm: fmt.Sprintf("vm%d", w.nextVM), alive: true}
	n.resetEngine()
	w.vms = append(w.vms, n)
	n.startAgent()
	n.tick()
	w.schedule(w.randomUpTo(5*time.Second), func() { w.announceMembers() })
	return n
}

// resetEngine empties the engine, which keeps its fencing number, as Options.TrustFence requires.
func (n *node) resetEngine() {
	n.loaded, n.loading = map[engine.Target]bool{}, map[engine.Target]int{}
	n.epoch++
}

// startAgent starts a new agent process. Connections of the earlier process are closed; its writes stay in flight.
func (n *node) startAgent() {
	n.incarnation++
	n.waiting = map[engine.Target]int{}
	n.state = residency.New(residency.Options{VM: n.vm, Incarnation: fmt.Sprint(n.incarnation), Group: "g", TrustFence: n.w.trustFence})
	n.send(n.w.randomUpTo(time.Second), residency.Configured{Document: n.w.doc})
	if n.w.outage {
		return // the watch delivers the objects when the outage ends
	}
	for _, key := range slices.Sorted(maps.Keys(n.w.objects)) {
		n.send(0, residency.ObjectRead{Key: key, Version: n.w.objects[key].Version, Value: n.w.objects[key].Value})
	}
	if n.w.rng.IntN(2) == 0 {
		n.send(0, residency.GrantsListed{})
	}
}

// send delivers an event to the current process after d and after any pause.
func (n *node) send(d time.Duration, ev residency.Event) {
	incarnation := n.incarnation
	var deliver func()
	deliver = func() {
		if !n.alive || n.incarnation != incarnation {
			return
		}
		if n.w.now.Before(n.pausedUntil) {
			n.w.schedule(n.pausedUntil.Sub(n.w.now), deliver)
			return
		}
		for _, a := range n.state.Step(n.w.now, ev) {
			n.execute(a)
		}
	}
	n.w.schedule(d, deliver)
}

func (n *node) tick() {
	n.send(0, residency.Tick{})
	n.w.schedule(200*time.Millisecond, n.tick)
}

// announceMembers delivers the VM list and the candidates to all agents. A new VM is first listed up to 5 s after its
// start.
func (w *world) announceMembers() {
	var list residency.VMsRead
	var candidates residency.Candidates
	for _, n := range w.vms {
		list.VMs, candidates.VMs = append(list.VMs, vmlist.VM{ID: n.vm}), append(candidates.VMs, n.vm)
	}
	for _, n := range w.vms {
		n.send(0, list)
		n.send(0, candidates)
	}
}

// reclaimVM removes a VM. Its engine ends at once; the writes of its agent stay in flight.
func (w *world) reclaimVM(n *node) {
	n.alive = false
	w.vms = slices.DeleteFunc(w.vms, func(o *node) bool { return o == n })
}

func (n *node) execute(a residency.Action) {
	switch a := a.(type) {
	case residency.SendOrder:
		n.sendOrder(a.Order)
	case residency.FetchListing:
		n.fetchListing()
	case residency.ReadObject:
		n.readObject(a.Key)
	case residency.WriteObject:
		n.writeObject(a)
	case residency.RequestPermit:
		if !n.w.drawFault(30) {
			n.send(n.w.randomUpTo(100*time.Millisecond), residency.PermitIssued{ID: a.Request.ID})
		}
	case residency.Ready:
		n.startRequests(a.Target)
	case residency.LoadFailed:
		n.waiting[a.Target] = 0
	}
}

// startRequests starts the waiting requests and ends each of them up to 8 s later.
func (n *node) startRequests(t engine.Target) {
	count := n.waiting[t]
	n.waiting[t] = 0
	n.w.served += count
	for range count {
		n.send(0, residency.Use{Target: t, Begin: true})
		n.send(n.w.randomUpTo(8*time.Second), residency.Use{Target: t})
	}
}

func (n *node) readObject(key string) {
	if n.w.outage || n.w.drawFault(10) {
		n.send(n.w.randomUpTo(time.Second), residency.ObjectRead{Key: key, Err: store.ErrUnavailable})
		return
	}
	n.w.schedule(n.w.randomUpTo(20*time.Millisecond), func() { // the store executes the read
		o := n.w.objects[key]
		n.send(n.w.randomUpTo(20*time.Millisecond), residency.ObjectRead{Key: key, Version: o.Version, Value: o.Value})
	})
}

// setOutage starts or ends a store outage, in which store calls fail. The watch then delivers the current objects.
func (w *world) setOutage(on bool) {
	w.outage = on
	for _, n := range w.vms {
		for _, key := range slices.Sorted(maps.Keys(w.objects)) {
			n.deliverObject(key)
		}
	}
}

// deliverObject delivers the current object with a delay, possibly out of order with other reads.
func (n *node) deliverObject(key string) {
	o := n.w.objects[key]
	n.send(n.w.randomUpTo(4*time.Second), residency.ObjectRead{Key: key, Version: o.Version, Value: o.Value})
}

func (n *node) writeObject(a residency.WriteObject) {
	w := n.w
	done := func(v uint64, err error) {
		n.send(w.randomUpTo(20*time.Millisecond), residency.ObjectWritten{Key: a.Key, Version: v, Err: err})
	}
	switch {
	case w.outage && !w.drawFault(50):
		done(0, store.ErrUnavailable)
	case w.outage || w.drawFault(25): // the reply is lost; the write takes effect later or never
		if w.rng.IntN(4) > 0 {
			w.schedule(w.randomUpTo(w.randomUpTo(100*time.Second)), func() { w.put(a.Key, a.Value, a.Expect) })
		}
		n.send(w.randomUpTo(time.Second), residency.ObjectWritten{Key: a.Key, Err: store.ErrUnknown})
	default:
		w.schedule(w.randomUpTo(20*time.Millisecond), func() { done(w.put(a.Key, a.Value, a.Expect)) })
	}
}

func (w *world) put(key string, value []byte, expect uint64) (uint64, error) {
	if w.objects[key].Version != expect {
		return 0, store.ErrConflict
	}
	w.lastVersion++
	w.objects[key] = store.Object{Key: key, Version: w.lastVersion, Value: value}
	for _, n := range w.vms {
		if !w.outage {
			n.deliverObject(key)
		}
	}
	return w.lastVersion, nil
}

// fetchListing takes the listing at a random time between the fetch and the reply.
func (n *node) fetchListing() {
	incarnation := n.incarnation
	n.w.schedule(n.w.randomUpTo(50*time.Millisecond), func() {
		if n.incarnation != incarnation {
			return
		}
		if n.w.drawFault(10) {
			n.send(n.w.randomUpTo(time.Second), residency.Listed{Err: engine.ErrUnknown})
			return
		}
		l := engine.Listing{Epoch: fmt.Sprint(n.epoch), MemoryBytes: 1 << 50, EnforceFence: n.w.trustFence}
		for t := range n.loaded {
			l.Resident = append(l.Resident, engine.Resident{Target: t})
		}
		for t, count := range n.loading {
			if count > 0 && !n.loaded[t] {
				l.Resident = append(l.Resident, engine.Resident{Target: t, Loading: true})
			}
		}
		n.send(n.w.randomUpTo(time.Second), residency.Listed{Listing: l})
	})
}

// sendOrder delivers an order to the engine. The reply may be lost at any time. After the connection closed, the engine
// may start, finish or drop the order for up to 30 s, and then has dropped it.
func (n *node) sendOrder(o engine.Order) {
	w := n.w
	replied := false
	reply := func(err error) {
		if !replied {
			replied = true
			n.send(w.randomUpTo(20*time.Millisecond), residency.OrderDone{Order: o, Err: err})
		}
	}
	delay := w.randomUpTo(50 * time.Millisecond)
	if w.drawFault(25) {
		delay = w.randomUpTo(w.randomUpTo(29 * time.Second))
		w.schedule(w.randomUpTo(3*time.Second), func() { reply(engine.ErrUnknown) })
	}
	w.schedule(20*time.Second, func() { reply(engine.ErrUnknown) }) // the agent's timeout for an order
	w.schedule(delay, func() { n.receiveOrder(o, reply) })
}

func (n *node) receiveOrder(o engine.Order, reply func(error)) {
	if !n.alive || n.w.drawFault(5) {
		return
	}
	if n.w.trustFence && o.Fence <= n.fence {
		reply(engine.ErrStaleFence)
		return
	}
	n.fence = max(n.fence, o.Fence)
	if o.Kind == engine.OrderUnload {
		maps.DeleteFunc(n.loaded, func(t engine.Target, _ bool) bool {
			return t == o.Target || o.Target.Adapter == "" && t.Model == o.Target.Model
		})
		reply(nil)
		return
	}
	if base := (engine.Target{Model: o.Target.Model}); o.Target != base && !n.loaded[base] {
		reply(engine.ErrRefused)
		return
	}
	n.w.loads++
	epoch := n.epoch
	n.loading[o.Target]++
	n.w.schedule(n.w.randomUpTo(900*time.Millisecond), func() {
		if n.epoch != epoch || !n.alive {
			return
		}
		n.loading[o.Target]--
		if !n.w.drawFault(10) {
			n.loaded[o.Target] = true
			reply(nil)
		} else {
			reply(engine.ErrUnknown)
		}
	})
}

// restartEngine restarts the engine process; the agent receives EngineLost in half of the cases.
func (n *node) restartEngine() {
	n.resetEngine()
	if n.w.rng.IntN(2) == 0 {
		n.send(n.w.randomUpTo(time.Second), residency.EngineLost{})
	}
}
