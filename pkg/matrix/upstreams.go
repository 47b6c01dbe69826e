package matrix

import (
	"fmt"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	tokenInterval   = 20 * time.Millisecond
	loadTime        = 400 * time.Millisecond
	adapterLoadTime = 8 * time.Millisecond
	plainCallTime   = 150 * time.Millisecond
	upstreamSlots   = 4
	// orderDelay bounds the delay of an order whose answer is lost. It is less than the engine's order drop delay.
	orderDelay = engine.OrderDropDelay - time.Second
)

// upstream is a model engine or a plain service beside an agent.
type upstream struct {
	w     *World
	vm    string
	plain bool
	// ignoresFence makes the upstream accept orders with old fencing numbers.
	ignoresFence   bool
	epoch          int
	alive          bool
	resident       map[engine.Target]bool
	loading        map[engine.Target]int
	fence          uint64
	calls          map[string]*upstreamCall
	callIDs        []string // ids of calls in the order of their start, so that iteration is deterministic
	slowLoadsUntil time.Time
	loseNextOrders int
}

// upstreamCall is a call that is running or has ended.
type upstreamCall struct {
	id      string
	body    string
	sent    int // bytes of the answer produced so far
	answer  string
	done    bool
	sink    func(offset int, b []byte, done bool, err error)
	sinkGen int
	stalled bool
}

func newUpstream(w *World, vm string, plain, ignoresFence bool) *upstream {
	u := &upstream{w: w, vm: vm, plain: plain, ignoresFence: ignoresFence}
	u.restart()
	return u
}

// restart starts a new upstream process, which has nothing loaded.
func (u *upstream) restart() {
	u.epoch++
	u.alive = true
	u.resident, u.loading = map[engine.Target]bool{}, map[engine.Target]int{}
	u.calls, u.callIDs, u.fence = map[string]*upstreamCall{}, nil, 0
}

// crash ends the process and restarts it at once. Running calls end with engine.ErrDied.
func (u *upstream) crash() {
	calls, order := u.calls, u.callIDs
	u.restart()
	for _, id := range order {
		if c := calls[id]; c != nil && !c.done && !c.stalled {
			c.sink(c.sent, nil, false, engine.ErrDied)
		}
	}
}

// usedMemory returns the memory of the targets that are loaded or being loaded.
func (u *upstream) usedMemory() int64 {
	n := int64(0)
	for t := range u.occupied() {
		n += sizeOf(t)
	}
	return n
}

// occupied returns the set of targets that are loaded or being loaded.
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

// listing returns the engine's listing, with the residents in a fixed order.
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

// receiveOrder executes an order and calls done with the answer. If the answer is lost, the order is executed after a
// random delay.
func (u *upstream) receiveOrder(o engine.Order, done func(error)) {
	if u.plain {
		done(engine.ErrRefused)
		return
	}
	if u.loseNextOrders > 0 {
		u.loseNextOrders--
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
	u.w.check.memoryChanged = true
	d := loadTime
	if o.Target.Adapter != "" {
		d = adapterLoadTime
	}
	if u.w.now.Before(u.slowLoadsUntil) {
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

// start starts a call. It calls sink with the bytes of the answer as they are produced.
func (u *upstream) start(c engine.Call, sink func(offset int, b []byte, done bool, err error)) {
	if _, known := u.calls[c.RequestID]; known {
		u.resume(c, sink)
		return
	}
	if !u.plain && !u.resident[c.Target] {
		sink(0, nil, false, engine.ErrRefused)
		return
	}
	u.w.recordRun(u, c)
	call := &upstreamCall{id: c.RequestID, body: string(c.Body), answer: answerOf(u.plain, c), sink: sink}
	u.calls[c.RequestID] = call
	u.callIDs = append(u.callIDs, c.RequestID)
	epoch := u.epoch
	if u.w.isPoison(string(c.Body)) {
		u.w.after(tokenInterval, func() {
			if u.epoch == epoch {
				u.w.check.recordCrash(string(c.Body))
				u.crash()
			}
		})
		return
	}
	d := tokenInterval
	if u.plain {
		d = plainCallTime
	}
	u.w.after(d, func() { u.produce(call, epoch) })
}

// resume continues the answer of a call at an offset on a new connection.
func (u *upstream) resume(c engine.Call, sink func(offset int, b []byte, done bool, err error)) {
	call := u.calls[c.RequestID]
	if call == nil {
		sink(int(c.Offset), nil, false, engine.ErrRefused)
		return
	}
	call.sink, call.stalled = sink, false
	call.sinkGen++
	off := min(int(c.Offset), call.sent)
	sink(off, []byte(call.answer[off:call.sent]), call.done, nil)
}

// produce produces the next token of a model or the complete answer of a plain service.
func (u *upstream) produce(c *upstreamCall, epoch int) {
	if u.epoch != epoch || c.done || u.calls[c.id] != c {
		return
	}
	next := len(c.answer)
	if !u.plain {
		next = min(next, c.sent+tokenBytes)
	}
	off := c.sent
	c.sent, c.done = next, next == len(c.answer)
	if !c.stalled {
		c.sink(off, []byte(c.answer[off:next]), c.done, nil)
	}
	if !c.done {
		u.w.after(tokenInterval, func() { u.produce(c, epoch) })
	}
}

// stallCalls stalls the connections of running calls for good. New connections work.
func (u *upstream) stallCalls() {
	for _, id := range u.callIDs {
		if c := u.calls[id]; c != nil && !c.done {
			c.stalled = true
		}
	}
}

// cancel ends a running call.
func (u *upstream) cancel(id string) {
	if c := u.calls[id]; c != nil && !c.done {
		delete(u.calls, id)
	}
}
