package sidecar

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// orderLifetime is how long after the call an unanswered order may still be carried out: 12 s, and a second as a margin.
// It is measured on Go's monotonic clock, which stops while the VM is suspended: the order is delayed on the
// same VM, so the clock that counts less is the safe one here.
const orderLifetime = 13 * time.Second

// pendingOrder is an order that was sent and whose outcome is unknown.
type pendingOrder struct {
	placement.Order
	number   int
	instance string // id of the instance that it was sent to, which alone accepts it; empty if unknown
	expect   uint64 // the count of accepted orders at which an engine accepts it
	token    uint64
	until    time.Time
}

// pendingOrders records the orders that may still be carried out. An engine that restarts under its id counts accepted
// orders from 0 again, so that an order of an earlier instance can match once more.
type pendingOrders struct {
	orders []pendingOrder
	added  int
	// unknownUntil is the time until which a predecessor of this process may have left an order that is not recorded. It
	// cannot do harm while the instance runs that the predecessor sent it to, since that one's count never repeats, or an
	// instance with another id, which refuses it.
	unknownUntil    time.Time
	unknownInstance engineInstance // zero if it is not known
}

// engineInstance identifies a process of the engine. Most restarts change the id.
type engineInstance struct {
	id            string
	startedUnixMS int64
}

func instanceOf(u *catalog.Upstream) engineInstance {
	return engineInstance{id: u.ID, startedUnixMS: u.StartedUnixMS}
}

// hasUnknown reports whether an unrecorded order may be carried out by the instance of the engine.
func (p *pendingOrders) hasUnknown(now time.Time, instance engineInstance) bool {
	sent := p.unknownInstance
	if !now.Before(p.unknownUntil) || sent.id != "" && instance.id != "" && sent.id != instance.id {
		return false
	}
	return instance.startedUnixMS == 0 || instance.startedUnixMS != sent.startedUnixMS
}

// add records an order before it is sent and returns its number.
func (p *pendingOrders) add(now time.Time, o placement.Order, instance string, expect, token uint64) int {
	p.added++
	p.orders = append(p.live(now), pendingOrder{Order: o, number: p.added, instance: instance, expect: expect, token: token, until: now.Add(orderLifetime)})
	return p.added
}

// end records the end of the call that sent an order. An order that was answered is removed; otherwise it may have been
// sent at any time until now, for example if the process was frozen during the call.
func (p *pendingOrders) end(now time.Time, number int, answered bool) {
	i := slices.IndexFunc(p.orders, func(o pendingOrder) bool { return o.number == number })
	switch {
	case i >= 0 && answered:
		p.orders = slices.Delete(p.orders, i, i+1)
	case i >= 0:
		p.orders[i].until = now.Add(orderLifetime)
	}
}

// live returns the orders that may still be carried out.
func (p *pendingOrders) live(now time.Time) []pendingOrder {
	return slices.DeleteFunc(slices.Clone(p.orders), func(o pendingOrder) bool { return !now.Before(o.until) })
}

// reserved returns the memory and adapter slots to keep free for the orders that the engine could still carry out after
// it has accepted the next order. That order names the present count of accepted orders and carries the token. The engine
// accepts only one order for each count, so those for the present count or a lower one cannot follow it. Neither can those
// with a lower token, if the engine checks tokens, and those that name another instance.
func (p *pendingOrders) reserved(now time.Time, engine *catalog.Engine, self *catalog.Upstream, token uint64, checksTokens bool) placement.Reserved {
	byCount := map[uint64]placement.Reserved{}
	for _, o := range p.live(now) {
		otherInstance := o.instance != "" && o.instance != self.ID
		if o.Unload || o.expect <= self.Orders || otherInstance || checksTokens && o.token < token {
			continue
		}
		r, spec := byCount[o.expect], engine.Models[o.Model]
		switch {
		case o.Adapter == "" && !self.Holds(o.Model):
			r.MemoryMB = max(r.MemoryMB, spec.SizeMB)
		case o.Adapter != "" && !self.HoldsAdapter(o.Model, o.Adapter):
			r.MemoryMB, r.AdapterSlots = max(r.MemoryMB, spec.AdapterMB), 1
		}
		byCount[o.expect] = r
	}
	sum := placement.Reserved{}
	for _, r := range byCount {
		sum.MemoryMB, sum.AdapterSlots = sum.MemoryMB+r.MemoryMB, sum.AdapterSlots+r.AdapterSlots
	}
	if p.hasUnknown(now, instanceOf(self)) && !checksTokens { // the token of this process is higher than its predecessor's
		sum.MemoryMB, sum.AdapterSlots = sum.MemoryMB+largestUnloaded(engine, self), sum.AdapterSlots+1
	}
	return sum
}

// largestUnloaded returns the size of the largest model that the upstream has not loaded.
func largestUnloaded(engine *catalog.Engine, self *catalog.Upstream) float64 {
	size := 0.0
	for name, m := range engine.Models {
		if !self.Holds(name) {
			size = max(size, m.SizeMB)
		}
	}
	return size
}

// fenceRecord is the content of the sidecar's fence object. It is written for each instance of the engine, so that the
// next process on the VM knows whether the engine has restarted since.
type fenceRecord struct {
	StartedMS int64 `json:"startedMs"`
	// EngineID and EngineStartedMS identify the instance of the engine.
	EngineID        string `json:"engineId,omitempty"`
	EngineStartedMS int64  `json:"engineStartedMs"`
	// Unanswered lists the orders that may still be carried out, and Unknown reports whether there may be others that were
	// sent to earlier instances.
	Unanswered []recordedOrder `json:"unanswered,omitempty"`
	Unknown    bool            `json:"unknown,omitempty"`
}

// isClean reports whether the record says that no order to an earlier instance may still be carried out.
func (r *fenceRecord) isClean() bool { return len(r.Unanswered) == 0 && !r.Unknown }

type recordedOrder struct {
	Unload         bool   `json:"unload,omitempty"`
	Model          string `json:"model"`
	Adapter        string `json:"adapter,omitempty"`
	Instance       string `json:"instance,omitempty"`
	ExpectedOrders uint64 `json:"expectedOrders"`
}

// record returns the record for an instance of the engine.
func (p *pendingOrders) record(now time.Time, instance engineInstance) fenceRecord {
	r := fenceRecord{StartedMS: now.UnixMilli(), EngineID: instance.id, EngineStartedMS: instance.startedUnixMS, Unknown: p.hasUnknown(now, instance)}
	for _, o := range p.live(now) {
		r.Unanswered = append(r.Unanswered, recordedOrder{Unload: o.Unload, Model: o.Model, Adapter: o.Adapter, Instance: o.instance, ExpectedOrders: o.expect})
	}
	return r
}

// adopt applies the record of the process's predecessor; nil if there was none. A predecessor that had written its record
// sent all orders that it does not list to the instance that it names.
func (p *pendingOrders) adopt(now time.Time, predecessor *fenceRecord) {
	switch {
	case predecessor == nil:
		p.unknownUntil = time.Time{}
		return
	case !predecessor.Unknown:
		p.unknownInstance = engineInstance{id: predecessor.EngineID, startedUnixMS: predecessor.EngineStartedMS}
	}
	for _, o := range predecessor.Unanswered {
		p.add(now, placement.Order{Unload: o.Unload, Model: o.Model, Adapter: o.Adapter}, o.Instance, o.ExpectedOrders, 0)
	}
}
