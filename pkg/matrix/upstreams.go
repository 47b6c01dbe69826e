package matrix

import (
	"fmt"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	tokenInterval = 20 * time.Millisecond
	loadTime      = 400 * time.Millisecond
	adapterTime   = 8 * time.Millisecond
	plainTime     = 150 * time.Millisecond
	upstreamSlots = 4
	// orderDelay is how long an order whose answer is lost may stay on the way; below engine.OrderSettle.
	orderDelay = engine.OrderDropDelay - time.Second
)

// upstream is a model engine or a plain service beside an agent.
type upstream struct {
	w     *World
	vm    string
	plain bool
	// ignoresFence is the mode in which old fencing numbers are accepted.
	ignoresFence bool
	epoch        int
	alive        bool
	resident     map[engine.Target]bool
	loading      map[engine.Target]int
	fence        uint64
	calls        map[string]*upstreamCall
	order        []string // ids of calls in the order of their start
	slowLoads    time.Time
	loseOrders   int
}

// upstreamCall is a call that runs or has run.
type upstreamCall struct {
	id      string
	body    string
	sent    int // bytes of the answer made so far
	whole   string
	done    bool
	sink    func(offset int, b []byte, done bool, err error)
	sinkGen int
	silent  bool
}

func newUpstream(w *World, vm string, plain, ignoresFence bool) *upstream {
	u := &upstream{w: w, vm: vm, plain: plain, ignoresFence: ignoresFence}
	u.restart()
	return u
}

// restart begins a new upstream process, which holds nothing.
func (u *upstream) restart() {
	u.epoch++
	u.alive = true
	u.resident, u.loading = map[engine.Target]bool{}, map[engine.Target]int{}
	u.calls, u.order, u.fence = map[string]*upstreamCall{}, nil, 0
}

// crash ends the process; open calls end with engine.ErrDied and it starts again at once.
func (u *upstream) crash() {
	calls, order := u.calls, u.order
	u.restart()
	for _, id := range order {
		if c := calls[id]; c != nil && !c.done && !c.silent {
			c.sink(c.sent, nil, false, engine.ErrDied)
		}
	}
}

// used returns the memory that residents and loads in flight take.
func (u *upstream) used() int64 {
	n := int64(0)
	for t := range u.occupied() {
		n += sizeOf(t)
	}
	return n
}

// occupied returns the targets loaded or being loaded.
func (u *upstream) occupied() map[engine.Target]bool {
	all := map[engine.Target]bool{}
	for t := range u.resident {
		all[t] = true
	}
	for t, n := range u.loading {
		if n > 0 {
			all[t] = true
		}
	}
	return all
}

// listing returns what the engine holds, in a fixed order.
func (u *upstream) listing() engine.Listing {
	l := engine.Listing{Epoch: fmt.Sprintf("%s-%d", u.vm, u.epoch), MemoryBytes: engineMemory, Slots: upstreamSlots, EnforceFence: !u.ignoresFence}
	for _, t := range allTargets {
		switch {
		case u.resident[t]:
			l.Resident = append(l.Resident, engine.Resident{Target: t, MemoryBytes: sizeOf(t)})
		case u.loading[t] > 0:
			l.Resident = append(l.Resident, engine.Resident{Target: t, MemoryBytes: sizeOf(t), Loading: true})
		}
	}
	return l
}

// receiveOrder carries out an order and calls done with the answer; with a lost answer, the order may take effect later.
func (u *upstream) receiveOrder(o engine.Order, done func(error)) {
	if u.plain {
		done(engine.ErrRefused)
		return
	}
	if u.loseOrders > 0 {
		u.loseOrders--
		u.w.after(u.w.between(0, orderDelay), func() { u.execute(o, func(error) {}) })
		u.w.after(time.Second, func() { done(engine.ErrUnknown) })
		return
	}
	u.w.after(time.Millisecond, func() { u.execute(o, done) })
}

func (u *upstream) execute(o engine.Order, done func(error)) {
	if !u.ignoresFence && o.Fence <= u.fence {
		done(engine.ErrStaleFence)
		return
	}
	u.fence = max(u.fence, o.Fence)
	if o.Kind == engine.OrderUnload {
		for _, t := range allTargets {
			if t == o.Target || o.Target.Adapter == "" && t.Model == o.Target.Model {
				delete(u.resident, t)
			}
		}
		done(nil)
		return
	}
	if o.Target.Adapter != "" && !u.resident[engine.Target{Model: o.Target.Model}] {
		done(engine.ErrRefused)
		return
	}
	u.load(o, done)
}

func (u *upstream) load(o engine.Order, done func(error)) {
	u.w.reached(StepLoad, u.vm)
	epoch := u.epoch
	u.loading[o.Target]++
	u.w.check.loaded = true
	d := loadTime
	if o.Target.Adapter != "" {
		d = adapterTime
	}
	if u.w.now.Before(u.slowLoads) {
		d *= 20
	}
	u.w.after(d, func() {
		if u.epoch != epoch {
			return
		}
		u.loading[o.Target]--
		u.resident[o.Target] = true
		done(nil)
	})
}

// start begins a call. Sink gets the bytes as they are made.
func (u *upstream) start(c engine.Call, sink func(offset int, b []byte, done bool, err error)) {
	if _, known := u.calls[c.RequestID]; known {
		u.resume(c, sink)
		return
	}
	if !u.plain && !u.resident[c.Target] {
		sink(0, nil, false, engine.ErrRefused)
		return
	}
	u.w.ran(u, c)
	call := &upstreamCall{id: c.RequestID, body: string(c.Body), whole: answerOf(u.plain, c), sink: sink}
	u.calls[c.RequestID] = call
	u.order = append(u.order, c.RequestID)
	epoch := u.epoch
	if u.w.isPoison(string(c.Body)) {
		u.w.after(tokenInterval, func() {
			if u.epoch == epoch {
				u.w.check.crashed(string(c.Body))
				u.crash()
			}
		})
		return
	}
	d := tokenInterval
	if u.plain {
		d = plainTime
	}
	u.w.after(d, func() { u.produce(call, epoch) })
}

// resume continues a call at an offset on another connection.
func (u *upstream) resume(c engine.Call, sink func(offset int, b []byte, done bool, err error)) {
	call := u.calls[c.RequestID]
	if call == nil {
		sink(int(c.Offset), nil, false, engine.ErrRefused)
		return
	}
	call.sink, call.silent = sink, false
	call.sinkGen++
	off := min(int(c.Offset), call.sent)
	sink(off, []byte(call.whole[off:call.sent]), call.done, nil)
}

// produce makes the next token, or the whole answer of a plain service.
func (u *upstream) produce(c *upstreamCall, epoch int) {
	if u.epoch != epoch || c.done || u.calls[c.id] != c {
		return
	}
	next := len(c.whole)
	if !u.plain {
		next = min(next, c.sent+tokenBytes)
	}
	off := c.sent
	c.sent, c.done = next, next == len(c.whole)
	if !c.silent {
		c.sink(off, []byte(c.whole[off:next]), c.done, nil)
	}
	if !c.done {
		u.w.after(tokenInterval, func() { u.produce(c, epoch) })
	}
}

// silence makes the connections of open calls silent for good. New ones work.
func (u *upstream) silence() {
	for _, id := range u.order {
		if c := u.calls[id]; c != nil && !c.done {
			c.silent = true
		}
	}
}

// cancel ends a call.
func (u *upstream) cancel(id string) {
	if c := u.calls[id]; c != nil && !c.done {
		delete(u.calls, id)
	}
}
