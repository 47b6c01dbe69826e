package residency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

var newer = config.Stamp{Version: 9, Digest: "x"}

// earlier is an object with a grant of this VM's earlier process.
func earlier() *grant.Object {
	return &grant.Object{Ceiling: 1, Generation: 1, Grants: []grant.Grant{{VM: "vm1", Incarnation: "old", Generation: 1}}}
}

// restarted returns an agent after a restart with a grant for m1 and the given listing.
func restarted(o residency.Options, rs ...engine.Resident) *agent {
	a := newAgent(o)
	a.step(residency.Configured{Document: document(1, 10*gib, 1, "m1", "m2")})
	a.list(rs...)
	a.objects(earlier(), "m1")
	a.objects(nil, "m2")
	return a
}

var _ = Describe("restart", func() {
	// Guards against a load that races with a release of the earlier process, and against one into memory that a load
	// of the earlier process may still take.
	It("stamps first and books a load that the earlier process may have sent", func() {
		a := restarted(residency.Options{})
		Expect(a.s.MemoryBooked()).To(Equal(modelSize))
		w := take[residency.WriteObject](a)
		o, _ := grant.Decode(w.Value)
		Expect(o.Grants[0].Incarnation).To(Equal("new"))
		a.want(m2, time.Second)
		Expect(take[residency.LoadFailed](a).Code).To(Equal(wire.CodeNoMemory))
		a.want(m1, time.Hour)
		a.step(residency.ObjectWritten{Key: w.Key, Version: 2})
		a.listAfter(30 * time.Second)
		Expect(count[residency.AskPlace](a)).To(BeZero(), "a listing after exactly 30 s does not settle it")
		a.listAfter(time.Second)
		a.place()
		Expect(count[residency.SendOrder](a)).To(Equal(1))
	})

	// Guards against memory that an earlier load takes under a grant not read yet.
	It("loads nothing before all grants are known", func() {
		a := configured(residency.Options{}, 20*gib, 1, "m1", "m2")
		a.objects(nil, "m2")
		a.want(m2, time.Minute)
		Expect(count[residency.WriteObject](a)).To(BeZero())
		a.objects(nil, "m1")
		Expect(count[residency.WriteObject](a)).To(Equal(1))
	})

	// Guards against refusing what is loaded while the store is down, and against loading without a stamp.
	It("serves what is listed during an outage, and loads nothing", func() {
		a := newAgent(residency.Options{})
		a.step(residency.Configured{Document: document(1, 20*gib, 1, "m1", "m2")})
		a.list(res("m1"))
		Expect(a.s.IsReady(m1)).To(BeTrue())
		a.want(m2, time.Minute)
		read := take[residency.ReadObject](a)
		a.step(residency.ObjectRead{Key: read.Key, Err: store.ErrUnavailable})
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.later(61 * time.Second).step(residency.Tick{})
		Expect(count[residency.LoadFailed](a)).To(Equal(1))
		a.objects(earlier(), "m1")
		Expect(a.s.IsReady(m1)).To(BeTrue(), "granted to the earlier process")
	})

	// Guards against memory given away that an adapter load of the earlier process may still take.
	It("reserves the largest adapter on a listed base for 30 s", func() {
		a := restarted(residency.Options{}, res("m1"))
		Expect(a.s.MemoryBooked()).To(Equal(modelSize + gib))
		a.listAfter(31*time.Second, res("m1"))
		Expect(a.s.MemoryBooked()).To(Equal(modelSize))
	})

	// Guards against one read for each model of the configuration when a fleet starts.
	It("reads no objects after a complete listing of the grants", func() {
		a := newAgent(residency.Options{})
		a.objects(earlier(), "m1")
		a.objects(&grant.Object{Ceiling: 1, Stamp: newer, Grants: []grant.Grant{{VM: "vm2"}}}, "m3")
		a.step(residency.GrantsListed{})
		a.step(residency.Configured{Document: document(1, 20*gib, 1, "m1", "m2", "m3")})
		a.list()
		a.want(m2, time.Minute)
		a.want(engine.Target{Model: "m3"}, time.Minute)
		Expect(take[residency.LoadFailed](a).Holders).To(Equal([]string{"vm2"}))
		a.later(5 * time.Second).step(residency.Tick{})
		Expect(count[residency.ReadObject](a)).To(BeZero())
		Expect(a.s.Held()).To(Equal([]string{"m1", "m2"}))
	})

	// Guards against a replica that stays loaded without any grant.
	It("unloads a listed model without a grant", func() {
		a := restarted(residency.Options{}, res("m2"))
		Expect(a.s.IsReady(m2)).To(BeFalse())
		Expect(take[residency.SendOrder](a).Order.Target).To(Equal(m2))
	})

	// Guards against a fencing number that falls over a restart, or that is trusted at an engine that ignores it.
	It("settles by a fenced order only at a trusted engine", func() {
		for _, trust := range []bool{false, true} {
			a := started(residency.Options{TrustFence: trust}, 10*gib, 1, "m1")
			a.ordered(m1, 5)
			first := take[residency.SendOrder](a).Order
			Expect(first.Fence).To(BeNumerically(">=", a.now.UnixNano()))
			a.step(residency.OrderDone{Order: first, Err: engine.ErrUnknown})
			take[residency.FetchListing](a)
			a.step(residency.Listed{Listing: engine.Listing{MemoryBytes: 100 * gib, EnforceFence: true}})
			if !trust {
				Expect(count[residency.SendOrder](a)).To(BeZero())
				continue
			}
			again := take[residency.SendOrder](a).Order
			Expect(again.Fence).To(BeNumerically(">", first.Fence))
			Expect(again.Kind).To(Equal(engine.OrderUnload))
			a.step(residency.OrderDone{Order: again, Err: engine.ErrRefused})
			a.list()
			Expect(a.s.MemoryBooked()).To(Equal(modelSize))
			Expect(count[residency.AskPlace](a)).To(BeZero(), "the refusal does not settle the first order")
		}
	})
})

var _ = Describe("VMs that are gone", func() {
	// Guards against a replica lost for ever with its VM, and against its removal before the VM is proved gone.
	It("lose their grants", func() {
		a := newAgent(residency.Options{})
		a.step(residency.Configured{Document: document(1, 10*gib, 1, "m1")})
		a.objects(&grant.Object{Ceiling: 1, Grants: []grant.Grant{{VM: "vm2"}}}, "m1")
		a.step(residency.Candidates{VMs: []string{"vm1"}})
		a.step(residency.VMsSeen{VMs: []vmlist.VM{{ID: "vm2"}}})
		a.later(time.Minute).step(residency.VMsSeen{})
		a.later(vmlist.MaxLag).step(residency.VMsSeen{})
		Expect(count[residency.WriteObject](a)).To(BeZero())
		a.later(time.Second).step(residency.VMsSeen{})
		o, _ := grant.Decode(take[residency.WriteObject](a).Value)
		Expect(o.Grants).To(BeEmpty())
	})
})

var _ = Describe("VMs that were never seen", func() {
	// Guards against a grant that stays for ever with a VM that died before this process started, and against a list that a
	// paused process takes for a fresh one.
	It("lose their grants after the lag", func() {
		a := newAgent(residency.Options{})
		a.step(residency.Configured{Document: document(1, 10*gib, 1, "m1")})
		a.objects(&grant.Object{Ceiling: 1, Grants: []grant.Grant{{VM: "vm2"}}}, "m1")
		a.step(residency.Candidates{VMs: []string{"vm1"}})
		read := a.now
		a.later(vmlist.MaxLag + time.Second).step(residency.VMsSeen{Began: read})
		Expect(count[residency.WriteObject](a)).To(BeZero(), "the read began before the pause")
		a.step(residency.VMsSeen{})
		o, _ := grant.Decode(take[residency.WriteObject](a).Value)
		Expect(o.Grants).To(BeEmpty())
	})
})

var _ = Describe("leaving", func() {
	var a *agent
	BeforeEach(func() {
		a = started(residency.Options{}, 20*gib, 1, "m1", "m2")
		a.load("m1", 5, res("m1"))
		a.step(residency.Use{Target: m1, Begin: true})
	})

	// Guards against an unload under a running request, a release before the engine confirmed, and new loads.
	It("drains after the last request and releases after the listing", func() {
		a.step(residency.Drain{})
		a.want(m2, time.Minute)
		Expect(take[residency.LoadFailed](a).Code).To(Equal(wire.CodeDraining))
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.step(residency.Use{Target: m1})
		a.step(residency.OrderDone{Order: take[residency.SendOrder](a).Order})
		Expect(count[residency.WriteObject](a)).To(BeZero())
		a.list()
		a.written(6, nil)
		Expect(a.s.Drained()).To(BeTrue())
		Expect(a.s.Status(a.now).Models).To(BeEmpty())
	})

	// Guards against unload orders that repeat without a pause at an engine that confirms them and keeps the model.
	It("repeats an unload without effect after a pause", func() {
		a.step(residency.Drain{})
		a.step(residency.Use{Target: m1})
		orders := 0
		for count[residency.SendOrder](a) > 0 && orders < 20 {
			orders++
			a.step(residency.OrderDone{Order: take[residency.SendOrder](a).Order})
			a.list(res("m1"))
		}
		Expect(orders).To(Equal(1))
		for i := 0; i < 10 && count[residency.SendOrder](a) == 0; i++ { // listings do not prolong the pause
			a.later(time.Second).step(residency.Tick{})
			if count[residency.FetchListing](a) > 0 {
				a.list(res("m1"))
			}
		}
		Expect(count[residency.SendOrder](a)).To(Equal(1))
	})

	// Guards against a revoked replica that goes on serving for ever or is cut off.
	It("takes no new requests when revoked, unloads when idle, and releases", func() {
		a.objects(&grant.Object{Ceiling: 0, Stamp: newer, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}, "m1")
		Expect(a.s.IsReady(m1)).To(BeTrue(), "version 1 is older than what was written")
		a.step(residency.ObjectRead{Key: grant.Key("m1"), Version: 7, Value: (grant.Object{Stamp: newer, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}).Encode()})
		Expect(a.s.IsReady(m1)).To(BeFalse())
		Expect(a.s.Status(a.now).Models).To(Equal([]residency.ModelStatus{{Model: "m1", Phase: "resident", PhaseMS: 2000, MemoryBytes: modelSize, InUse: 1, Grant: "revoked"}}))
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.step(residency.Use{Target: m1})
		a.step(residency.Tick{})
		a.order(engine.OrderUnload, nil)
		o, _ := grant.Decode(a.written(8, nil).Value)
		Expect(o.Grants).To(BeEmpty())
	})

	// Guards against an unload under a request that was told Ready just before the revocation.
	It("waits for a request that begins after the revocation", func() {
		a := started(residency.Options{}, 20*gib, 1, "m1")
		a.ordered(m1, 5)
		a.step(residency.OrderDone{Order: take[residency.SendOrder](a).Order})
		a.step(residency.ObjectRead{Key: grant.Key("m1"), Version: 7, Value: (grant.Object{Stamp: newer, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}).Encode()})
		a.step(residency.Use{Target: m1, Begin: true})
		a.list(res("m1"))
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.step(residency.Use{Target: m1})
		a.step(residency.Tick{})
		Expect(count[residency.SendOrder](a)).To(Equal(1))
	})

	// Guards against memory counted as free before the engine confirmed, after the voted limit fell.
	It("unloads idle models to a lower limit", func() {
		a.load("m2", 6, res("m1"), res("m2"))
		a.step(residency.Configured{Document: document(2, 10*gib, 1, "m1", "m2")})
		a.step(residency.Tick{})
		o := take[residency.SendOrder](a).Order
		Expect(o.Target).To(Equal(m2), "m1 is in use")
		a.step(residency.OrderDone{Order: engine.Order{Kind: o.Kind, Target: m2}}) // the answer to another order
		a.step(residency.OrderDone{Order: o, Err: engine.ErrUnknown})
		Expect(a.s.MemoryBooked()).To(Equal(2 * modelSize))
		a.list(res("m1"))
		Expect(a.s.MemoryBooked()).To(Equal(modelSize))
		a.want(m2, 10*time.Second)
		Expect(take[residency.LoadFailed](a).Code).To(Equal(wire.CodeUpstreamDown), "the lost unload may still arrive")
	})

	// Guards against serving residents of an engine process that ended.
	It("empties after an engine restart once a listing fetched since shows it", func() {
		a.later(10 * time.Second).step(residency.Tick{})
		a.step(residency.EngineLost{})
		a.list(res("m1")) // fetched before the loss was known
		Expect(a.s.IsReady(m1)).To(BeFalse())
		Expect(a.s.MemoryBooked()).To(Equal(modelSize))
		a.list()
		Expect(a.s.Residents()).To(BeEmpty())
		Expect(a.s.Held()).To(Equal([]string{"m1"}))
	})
})

var _ = Describe("adapters", func() {
	// Guards against an adapter without its base, a base unloaded under an adapter that is loaded or may be, and two
	// orders for one model.
	It("load after their base and leave before it", func() {
		a := started(residency.Options{}, 10*gib, 1, "m1")
		a.ordered(a1, 5)
		a.order(engine.OrderLoad, nil, res("m1"))
		o := take[residency.SendOrder](a).Order
		Expect(o.Target).To(Equal(a1))
		a.step(residency.Drain{})
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.step(residency.OrderDone{Order: o, Err: engine.ErrUnknown})
		a.list(res("m1"))
		a.later(time.Second).step(residency.Tick{})
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.list(res("m1"), engine.Resident{Target: a1})
		a.later(time.Second).step(residency.Tick{})
		o = take[residency.SendOrder](a).Order
		Expect([]any{o.Kind, o.Target}).To(Equal([]any{engine.OrderUnload, a1}))
	})
})
