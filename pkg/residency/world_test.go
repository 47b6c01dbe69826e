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

// world runs agents against a fake store and fake engines in virtual time. Every message may be late, lost or take
// effect after its sender gave it up.
type world struct {
	now     time.Time
	rng     *rand.Rand
	queue   []event
	faulty  bool // messages go wrong
	outage  bool
	trust   bool
	objects map[string]store.Object
	rev     uint64
	doc     *config.Document // published
	limits  map[string]int   // published replicas by model
	vms     []*node          // live ones
	nextVM  int
	changes int
	broken  string // first violated invariant
	ready   int
	loads   int
}

// node is one VM with its agent and engine.
type node struct {
	w           *world
	vm          string
	incarnation int
	state       *residency.State
	alive       bool
	paused      time.Time
	epoch       int
	held        map[engine.Target]bool // loaded
	busy        map[engine.Target]int  // orders that are loading the target
	fence       uint64
	open        map[engine.Target]int // requests waiting
}

type event struct {
	at time.Time
	do func()
}

// after queues do; events of the same time keep their order.
func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at.After(at) })
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

// upTo draws a time up to d.
func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

// bad draws whether a message goes wrong.
func (w *world) bad(percent int) bool { return w.faulty && w.rng.IntN(100) < percent }

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && w.broken == "" {
		ev := w.queue[0]
		w.queue, w.now = w.queue[1:], ev.at
		ev.do()
		w.check()
	}
	w.now = end
}

// check looks for more replicas than published and for more memory than the limit at an engine.
func (w *world) check() {
	replicas := map[string]int{}
	for _, n := range w.vms {
		bytes := int64(0)
		for t := range n.occupied() {
			bytes += gib
			if t.Adapter == "" {
				replicas[t.Model]++
				bytes += modelSize - gib
			}
		}
		if bytes > w.doc.Config.Limits.UpstreamMemoryBytes {
			w.broken = fmt.Sprintf("%s holds %d bytes: %v", n.vm, bytes, n.occupied())
		}
	}
	for m, count := range replicas {
		if count > w.limits[m] {
			w.broken = fmt.Sprintf("%d replicas of %s, limit %d; grants %s", count, m, w.limits[m], w.objects[grant.Key(m)].Value)
		}
	}
}

// occupied returns the targets that the engine holds or is loading.
func (n *node) occupied() map[engine.Target]bool {
	ts := maps.Clone(n.held)
	for t, k := range n.busy {
		if k > 0 {
			ts[t] = true
		}
	}
	return ts
}

func (w *world) addVM() *node {
	w.nextVM++
	n := &node{w: w, vm: fmt.Sprintf("vm%d", w.nextVM), alive: true}
	n.reset()
	w.vms = append(w.vms, n)
	n.start()
	n.tick()
	w.after(w.upTo(5*time.Second), func() { w.announce() })
	return n
}

// reset empties the engine. It keeps its fencing number, as Options.TrustFence demands.
func (n *node) reset() {
	n.held, n.busy = map[engine.Target]bool{}, map[engine.Target]int{}
	n.epoch++
}

// start begins a new agent process. Connections of the earlier one are closed; its writes stay on the way.
func (n *node) start() {
	n.incarnation++
	n.open = map[engine.Target]int{}
	n.state = residency.New(residency.Options{VM: n.vm, Incarnation: fmt.Sprint(n.incarnation), Group: "g", TrustFence: n.w.trust})
	n.send(n.w.upTo(time.Second), residency.Configured{Document: n.w.doc})
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

// send delivers an event to the process that runs now, after d and after any pause.
func (n *node) send(d time.Duration, ev residency.Event) {
	inc := n.incarnation
	var deliver func()
	deliver = func() {
		if !n.alive || n.incarnation != inc {
			return
		}
		if n.w.now.Before(n.paused) {
			n.w.after(n.paused.Sub(n.w.now), deliver)
			return
		}
		for _, a := range n.state.Step(n.w.now, ev) {
			n.perform(a)
		}
	}
	n.w.after(d, deliver)
}

func (n *node) tick() {
	n.send(0, residency.Tick{})
	n.w.after(200*time.Millisecond, n.tick)
}

// announce delivers the VM list and the candidates to all agents. A new VM is listed up to 5 s late.
func (w *world) announce() {
	var list residency.VMsSeen
	var ids residency.Candidates
	for _, n := range w.vms {
		list.VMs, ids.VMs = append(list.VMs, vmlist.VM{ID: n.vm}), append(ids.VMs, n.vm)
	}
	for _, n := range w.vms {
		n.send(0, list)
		n.send(0, ids)
	}
}

// kill reclaims a VM. Its engine ends at once; its writes stay on the way.
func (w *world) kill(n *node) {
	n.alive = false
	w.vms = slices.DeleteFunc(w.vms, func(o *node) bool { return o == n })
}

func (n *node) perform(a residency.Action) {
	switch a := a.(type) {
	case residency.SendOrder:
		n.order(a.Order)
	case residency.FetchListing:
		n.list()
	case residency.ReadObject:
		n.read(a.Key)
	case residency.WriteObject:
		n.write(a)
	case residency.AskPlace:
		if !n.w.bad(30) {
			n.send(n.w.upTo(100*time.Millisecond), residency.PlaceGiven{ID: a.Ask.ID})
		}
	case residency.Ready:
		n.begin(a.Target)
	case residency.LoadFailed:
		n.open[a.Target] = 0
	}
}

// begin starts the waiting requests and ends them some time later.
func (n *node) begin(t engine.Target) {
	k := n.open[t]
	n.open[t] = 0
	n.w.ready += k
	for range k {
		n.send(0, residency.Use{Target: t, Begin: true})
		n.send(n.w.upTo(8*time.Second), residency.Use{Target: t})
	}
}

func (n *node) read(key string) {
	if n.w.outage || n.w.bad(10) {
		n.send(n.w.upTo(time.Second), residency.ObjectRead{Key: key, Err: store.ErrUnavailable})
		return
	}
	n.w.after(n.w.upTo(20*time.Millisecond), func() { // the read takes place
		o := n.w.objects[key]
		n.send(n.w.upTo(20*time.Millisecond), residency.ObjectRead{Key: key, Version: o.Version, Value: o.Value})
	})
}

// setOutage makes store calls fail; at its end, the watch delivers what changed meanwhile.
func (w *world) setOutage(on bool) {
	w.outage = on
	for _, n := range w.vms {
		for _, key := range slices.Sorted(maps.Keys(w.objects)) {
			n.watch(key)
		}
	}
}

// watch delivers the current object late and out of order with other reads.
func (n *node) watch(key string) {
	o := n.w.objects[key]
	n.send(n.w.upTo(4*time.Second), residency.ObjectRead{Key: key, Version: o.Version, Value: o.Value})
}

func (n *node) write(a residency.WriteObject) {
	w := n.w
	done := func(v uint64, err error) {
		n.send(w.upTo(20*time.Millisecond), residency.ObjectWritten{Key: a.Key, Version: v, Err: err})
	}
	switch {
	case w.outage && !w.bad(50):
		done(0, store.ErrUnavailable)
	case w.outage || w.bad(25): // the answer is lost; the write takes effect at any time or never
		if w.rng.IntN(4) > 0 {
			w.after(w.upTo(w.upTo(100*time.Second)), func() { w.put(a.Key, a.Value, a.Expect) })
		}
		n.send(w.upTo(time.Second), residency.ObjectWritten{Key: a.Key, Err: store.ErrUnknown})
	default:
		w.after(w.upTo(20*time.Millisecond), func() { done(w.put(a.Key, a.Value, a.Expect)) })
	}
}

func (w *world) put(key string, value []byte, expect uint64) (uint64, error) {
	if w.objects[key].Version != expect {
		return 0, store.ErrConflict
	}
	w.rev++
	w.objects[key] = store.Object{Key: key, Version: w.rev, Value: value}
	for _, n := range w.vms {
		if !w.outage {
			n.watch(key)
		}
	}
	return w.rev, nil
}

// list takes the listing at some moment between the fetch and the answer.
func (n *node) list() {
	inc := n.incarnation
	n.w.after(n.w.upTo(50*time.Millisecond), func() {
		if n.incarnation != inc {
			return
		}
		if n.w.bad(10) {
			n.send(n.w.upTo(time.Second), residency.Listed{Err: engine.ErrUnknown})
			return
		}
		l := engine.Listing{Epoch: fmt.Sprint(n.epoch), MemoryBytes: 1 << 50, EnforceFence: n.w.trust}
		for t := range n.held {
			l.Resident = append(l.Resident, engine.Resident{Target: t})
		}
		for t, k := range n.busy {
			if k > 0 && !n.held[t] {
				l.Resident = append(l.Resident, engine.Resident{Target: t, Loading: true})
			}
		}
		n.send(n.w.upTo(time.Second), residency.Listed{Listing: l})
	})
}

// order carries an order to the engine. The agent may lose the answer at any time; the engine drops an order whose
// connection closed at the latest 30 s later, and until then may begin, finish or drop it.
func (n *node) order(o engine.Order) {
	w := n.w
	answered := false
	answer := func(err error) {
		if !answered {
			answered = true
			n.send(w.upTo(20*time.Millisecond), residency.OrderDone{Order: o, Err: err})
		}
	}
	delay := w.upTo(50 * time.Millisecond)
	if w.bad(25) {
		delay = w.upTo(w.upTo(29 * time.Second))
		w.after(w.upTo(3*time.Second), func() { answer(engine.ErrUnknown) })
	}
	w.after(20*time.Second, func() { answer(engine.ErrUnknown) }) // the agent's limit for an order
	w.after(delay, func() { n.receive(o, answer) })
}

func (n *node) receive(o engine.Order, answer func(error)) {
	if !n.alive || n.w.bad(5) {
		return
	}
	if n.w.trust && o.Fence <= n.fence {
		answer(engine.ErrStaleFence)
		return
	}
	n.fence = max(n.fence, o.Fence)
	if o.Kind == engine.OrderUnload {
		maps.DeleteFunc(n.held, func(t engine.Target, _ bool) bool {
			return t == o.Target || o.Target.Adapter == "" && t.Model == o.Target.Model
		})
		answer(nil)
		return
	}
	if base := (engine.Target{Model: o.Target.Model}); o.Target != base && !n.held[base] {
		answer(engine.ErrRefused)
		return
	}
	n.w.loads++
	epoch := n.epoch
	n.busy[o.Target]++
	n.w.after(n.w.upTo(900*time.Millisecond), func() {
		if n.epoch != epoch || !n.alive {
			return
		}
		n.busy[o.Target]--
		if !n.w.bad(10) {
			n.held[o.Target] = true
			answer(nil)
		} else {
			answer(engine.ErrUnknown)
		}
	})
}

// crash restarts the engine process.
func (n *node) crash() {
	n.reset()
	if n.w.rng.IntN(2) == 0 {
		n.send(n.w.upTo(time.Second), residency.EngineLost{})
	}
}
