package sidecar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// Guards against an order of an earlier instance that an engine carries out after a restart under the same id, beyond its
// memory (review, late-order).
var _ = Describe("pending orders", func() {
	now := time.Unix(1000, 0)
	engine := &catalog.Engine{Models: map[string]catalog.Model{"a": {SizeMB: 60, AdapterMB: 2}, "b": {SizeMB: 70, AdapterMB: 3}}}
	load, adapter := placement.Order{Model: "b"}, placement.Order{Model: "a", Adapter: "x"}
	self := func(count uint64, models ...string) *catalog.Upstream {
		u := &catalog.Upstream{ID: "i-1", StartedUnixMS: 6, Orders: count}
		for _, m := range models {
			u.Models = append(u.Models, catalog.Resident{Model: m})
		}
		return u
	}
	reserved := func(mb float64, slots int) placement.Reserved {
		return placement.Reserved{MemoryMB: mb, AdapterSlots: slots}
	}

	DescribeTable("reserve what the engine may carry out after the next order",
		func(add func(*pendingOrders), u *catalog.Upstream, token uint64, checksTokens bool, age time.Duration, want placement.Reserved) {
			p := &pendingOrders{}
			add(p)
			Expect(p.reserved(now.Add(age), engine, u, token, checksTokens)).To(Equal(want))
		},
		Entry("a load for a later count", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(1), uint64(7), false, time.Second, reserved(70, 0)),
		Entry("an adapter for a later count", func(p *pendingOrders) { p.add(now, adapter, "i-1", 2, 7) }, self(0), uint64(7), false, time.Second, reserved(2, 1)),
		Entry("both, and one of two for the same count", func(p *pendingOrders) {
			p.add(now, adapter, "i-1", 1, 7)
			p.add(now, load, "i-1", 2, 7)
			p.add(now, load, "i-1", 2, 7)
		}, self(0), uint64(7), false, time.Second, reserved(72, 1)),
		Entry("not one for the present count: the engine accepts either it or the next order", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(2), uint64(7), false, time.Second, reserved(0, 0)),
		Entry("not an unload", func(p *pendingOrders) { p.add(now, placement.Order{Unload: true, Model: "b"}, "i-1", 2, 7) }, self(0), uint64(7), false, time.Second, reserved(0, 0)),
		Entry("not a model that is loaded", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(0, "b"), uint64(7), false, time.Second, reserved(0, 0)),
		Entry("not one with a lower token if the engine checks tokens", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(0), uint64(8), true, time.Second, reserved(0, 0)),
		Entry("one with the same token", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(0), uint64(7), true, time.Second, reserved(70, 0)),
		Entry("one with a lower token if the engine ignores tokens", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(0), uint64(8), false, time.Second, reserved(70, 0)),
		Entry("until 12 s after it was sent", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(0), uint64(7), false, 12*time.Second, reserved(70, 0)),
		Entry("not for longer than 13 s", func(p *pendingOrders) { p.add(now, load, "i-1", 2, 7) }, self(0), uint64(7), false, 13*time.Second, reserved(0, 0)),
		Entry("one whose call ended late", func(p *pendingOrders) { p.end(now.Add(5*time.Second), p.add(now, load, "i-1", 2, 7), false) }, self(0), uint64(7), false, 17*time.Second, reserved(70, 0)),
		Entry("not one that names another instance, which the engine refuses", func(p *pendingOrders) { p.add(now, load, "i-0", 2, 7) }, self(0), uint64(7), false, time.Second, reserved(0, 0)),
		Entry("not one that was answered", func(p *pendingOrders) { p.end(now, p.add(now, load, "i-1", 2, 7), true) }, self(0), uint64(7), false, time.Second, reserved(0, 0)),
	)

	// Guards against a sidecar that is restarted right after it sent an order, and against one that reserves memory after
	// each restart although its engine has been running all the while.
	DescribeTable("assume after a start that the predecessor left an order",
		func(record *fenceRecord, checksTokens bool, u *catalog.Upstream, want placement.Reserved) {
			p := &pendingOrders{unknownUntil: now.Add(orderLifetime)}
			if record != nil {
				p.adopt(now, record)
			}
			Expect(p.reserved(now, engine, u, 8, checksTokens)).To(Equal(want))
			Expect(p.reserved(now.Add(orderLifetime), engine, u, 8, checksTokens)).To(BeZero())
		},
		Entry("its record is not known", nil, false, self(0), reserved(70, 1)),
		Entry("its record is not known, the engine checks tokens", nil, true, self(0), reserved(0, 0)),
		Entry("the largest model is loaded", nil, false, self(0, "b"), reserved(60, 1)),
		Entry("the engine has restarted since", &fenceRecord{EngineStartedMS: 5}, false, self(0), reserved(70, 1)),
		Entry("the engine has restarted since under the same id", &fenceRecord{EngineID: "i-1", EngineStartedMS: 5}, false, self(0), reserved(70, 1)),
		Entry("the engine has restarted since under another id", &fenceRecord{EngineID: "i-0", EngineStartedMS: 5}, false, self(0), reserved(0, 0)),
		Entry("the engine has another id, its predecessor assumed one too", &fenceRecord{EngineID: "i-0", EngineStartedMS: 5, Unknown: true}, false, self(0), reserved(70, 1)),
		Entry("the engine is the same", &fenceRecord{EngineStartedMS: 6}, false, self(3), reserved(0, 0)),
		Entry("the engine is the same, its predecessor assumed one too", &fenceRecord{EngineStartedMS: 6, Unknown: true}, false, self(3), reserved(70, 1)),
		Entry("the engine is the same, the record lists one", &fenceRecord{EngineStartedMS: 6, Unanswered: []recordedOrder{{Model: "a", ExpectedOrders: 5}}}, false, self(3), reserved(60, 0)),
	)

	It("forget the predecessor if there was none", func() {
		p := &pendingOrders{unknownUntil: now.Add(orderLifetime)}
		p.adopt(now, nil)
		Expect(p.reserved(now, engine, self(0), 8, false)).To(BeZero())
	})

	It("are recorded for the successor", func() {
		p := &pendingOrders{}
		p.add(now, load, "i-1", 2, 7)
		r := p.record(now.Add(time.Second), engineInstance{id: "i-1", startedUnixMS: 6})
		Expect(r.Unanswered).To(Equal([]recordedOrder{{Model: "b", Instance: "i-1", ExpectedOrders: 2}}))
		Expect(r.isClean()).To(BeFalse())
		r = p.record(now.Add(orderLifetime), engineInstance{id: "i-1", startedUnixMS: 6})
		Expect(r.isClean()).To(BeTrue())
	})
})
