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

var newerStamp = config.Stamp{Version: 9, Digest: "x"}

// earlierGrant returns an object with a grant that an earlier process on this VM stamped.
func earlierGrant() *grant.Object {
	return &grant.Object{Ceiling: 1, Generation: 1, Grants: []grant.Grant{{VM: "vm1", Incarnation: "old", Generation: 1}}}
}

// restartedAgent returns an agent after a restart, with a grant for m1 from the earlier process and the given listing.
func restartedAgent(o residency.Options, rs ...engine.Resident) *agent {
	a := newAgent(o)
	a.step(residency.Configured{Document: document(1, 10*gib, 1, "m1", "m2")})
	a.answerListing(rs...)
	a.readObjects(earlierGrant(), "m1")
	a.readObjects(nil, "m2")
	return a
}

var _ = Describe("restart", func() {
	// Guards against a load that races with a release by the earlier process, and against a load into memory that a
	// load of the earlier process may still use.
	It("stamps the grant first and reserves memory for a load that the earlier process may have sent", func() {
		a := restartedAgent(residency.Options{})
		Expect(a.s.MemoryReserved()).To(Equal(modelSize))
		w := takeAction[residency.WriteObject](a)
		o, _ := grant.Decode(w.Value)
		Expect(o.Grants[0].Incarnation).To(Equal("new"))
		a.requestLoad(m2, time.Second)
		Expect(takeAction[residency.LoadFailed](a).Code).To(Equal(wire.CodeNoMemory))
		a.requestLoad(m1, time.Hour)
		a.step(residency.ObjectWritten{Key: w.Key, Version: 2})
		a.answerListingAfter(30 * time.Second)
		Expect(countActions[residency.RequestPermit](a)).To(BeZero(), "a listing after exactly 30 s does not resolve the earlier load")
		a.answerListingAfter(time.Second)
		a.issuePermit()
		Expect(countActions[residency.SendOrder](a)).To(Equal(1))
	})

	// Guards against a load into memory that a load of the earlier process may use under a grant not read yet.
	It("loads nothing before all grants have been read", func() {
		a := configuredAgent(residency.Options{}, 20*gib, 1, "m1", "m2")
		a.readObjects(nil, "m2")
		a.requestLoad(m2, time.Minute)
		Expect(countActions[residency.WriteObject](a)).To(BeZero())
		a.readObjects(nil, "m1")
		Expect(countActions[residency.WriteObject](a)).To(Equal(1))
	})

	// Guards against refusing requests for loaded models during a store outage, and against loading without a stamp.
	It("serves listed models during an outage, and loads nothing", func() {
		a := newAgent(residency.Options{})
		a.step(residency.Configured{Document: document(1, 20*gib, 1, "m1", "m2")})
		a.answerListing(loadedModel("m1"))
		Expect(a.s.IsReady(m1)).To(BeTrue())
		a.requestLoad(m2, time.Minute)
		read := takeAction[residency.ReadObject](a)
		a.step(residency.ObjectRead{Key: read.Key, Err: store.ErrUnavailable})
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.advance(61 * time.Second).step(residency.Tick{})
		Expect(countActions[residency.LoadFailed](a)).To(Equal(1))
		a.readObjects(earlierGrant(), "m1")
		Expect(a.s.IsReady(m1)).To(BeTrue(), "granted to the earlier process")
	})

	// Guards against reusing memory that an adapter load of the earlier process may still use.
	It("reserves the largest adapter on a listed base for 30 s", func() {
		a := restartedAgent(residency.Options{}, loadedModel("m1"))
		Expect(a.s.MemoryReserved()).To(Equal(modelSize + gib))
		a.answerListingAfter(31*time.Second, loadedModel("m1"))
		Expect(a.s.MemoryReserved()).To(Equal(modelSize))
	})

	// Guards against one read for each configured model when many agents start together.
	It("reads no objects after a complete listing of the grants", func() {
		a := newAgent(residency.Options{})
		a.readObjects(earlierGrant(), "m1")
		a.readObjects(&grant.Object{Ceiling: 1, Stamp: newerStamp, Grants: []grant.Grant{{VM: "vm2"}}}, "m3")
		a.step(residency.GrantsListed{})
		a.step(residency.Configured{Document: document(1, 20*gib, 1, "m1", "m2", "m3")})
		a.answerListing()
		a.requestLoad(m2, time.Minute)
		a.requestLoad(engine.Target{Model: "m3"}, time.Minute)
		Expect(takeAction[residency.LoadFailed](a).Holders).To(Equal([]string{"vm2"}))
		a.advance(5 * time.Second).step(residency.Tick{})
		Expect(countActions[residency.ReadObject](a)).To(BeZero())
		Expect(a.s.GrantedModels()).To(Equal([]string{"m1", "m2"}))
	})

	// Guards against a replica that stays loaded without a grant.
	It("unloads a listed model without a grant", func() {
		a := restartedAgent(residency.Options{}, loadedModel("m2"))
		Expect(a.s.IsReady(m2)).To(BeFalse())
		Expect(takeAction[residency.SendOrder](a).Order.Target).To(Equal(m2))
	})

	// Guards against a fencing number that decreases over a restart, and against relying on fencing at an engine that
	// ignores it.
	It("resolves a load by a fenced order only at a trusted engine", func() {
		for _, trust := range []bool{false, true} {
			a := startedAgent(residency.Options{TrustFence: trust}, 10*gib, 1, "m1")
			a.prepareLoad(m1, 5)
			first := takeAction[residency.SendOrder](a).Order
			Expect(first.Fence).To(BeNumerically(">=", a.now.UnixNano()))
			a.step(residency.OrderDone{Order: first, Err: engine.ErrUnknown})
			takeAction[residency.FetchListing](a)
			a.step(residency.Listed{Listing: engine.Listing{MemoryBytes: 100 * gib, EnforceFence: true}})
			if !trust {
				Expect(countActions[residency.SendOrder](a)).To(BeZero())
				continue
			}
			unload := takeAction[residency.SendOrder](a).Order
			Expect(unload.Fence).To(BeNumerically(">", first.Fence))
			Expect(unload.Kind).To(Equal(engine.OrderUnload))
			a.step(residency.OrderDone{Order: unload, Err: engine.ErrRefused})
			a.answerListing()
			Expect(a.s.MemoryReserved()).To(Equal(modelSize))
			Expect(countActions[residency.RequestPermit](a)).To(BeZero(), "the refusal does not resolve the first order")
		}
	})
})

var _ = Describe("VMs that are gone", func() {
	// Guards against a grant that is never removed after its VM is gone, and against its removal before the VM is
	// confirmed gone.
	It("lose their grants", func() {
		a := newAgent(residency.Options{})
		a.step(residency.Configured{Document: document(1, 10*gib, 1, "m1")})
		a.readObjects(&grant.Object{Ceiling: 1, Grants: []grant.Grant{{VM: "vm2"}}}, "m1")
		a.step(residency.Candidates{VMs: []string{"vm1"}})
		a.step(residency.VMsRead{VMs: []vmlist.VM{{ID: "vm2"}}})
		a.advance(time.Minute).step(residency.VMsRead{})
		a.advance(vmlist.MaxLag).step(residency.VMsRead{})
		Expect(countActions[residency.WriteObject](a)).To(BeZero())
		a.advance(time.Second).step(residency.VMsRead{})
		o, _ := grant.Decode(takeAction[residency.WriteObject](a).Value)
		Expect(o.Grants).To(BeEmpty())
	})
})

var _ = Describe("VMs that no list has contained", func() {
	// Guards against a grant that is never removed because its VM was gone before this process started, and against a
	// paused process that dates a list by the time of handling.
	It("lose their grants after the lag", func() {
		a := newAgent(residency.Options{})
		a.step(residency.Configured{Document: document(1, 10*gib, 1, "m1")})
		a.readObjects(&grant.Object{Ceiling: 1, Grants: []grant.Grant{{VM: "vm2"}}}, "m1")
		a.step(residency.Candidates{VMs: []string{"vm1"}})
		read := a.now
		a.advance(vmlist.MaxLag + time.Second).step(residency.VMsRead{StartedAt: read})
		Expect(countActions[residency.WriteObject](a)).To(BeZero(), "the read started before the pause")
		a.step(residency.VMsRead{})
		o, _ := grant.Decode(takeAction[residency.WriteObject](a).Value)
		Expect(o.Grants).To(BeEmpty())
	})
})

var _ = Describe("leaving", func() {
	var a *agent
	BeforeEach(func() {
		a = startedAgent(residency.Options{}, 20*gib, 1, "m1", "m2")
		a.load("m1", 5, loadedModel("m1"))
		a.step(residency.Use{Target: m1, Begin: true})
	})

	// Guards against an unload during a running request, a release before the engine confirmed the unload, and new
	// loads.
	It("drains after the last request and releases after the listing", func() {
		a.step(residency.Drain{})
		a.requestLoad(m2, time.Minute)
		Expect(takeAction[residency.LoadFailed](a).Code).To(Equal(wire.CodeDraining))
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.step(residency.Use{Target: m1})
		a.step(residency.OrderDone{Order: takeAction[residency.SendOrder](a).Order})
		Expect(countActions[residency.WriteObject](a)).To(BeZero())
		a.answerListing()
		a.completeWrite(6, nil)
		Expect(a.s.IsDrained()).To(BeTrue())
		Expect(a.s.Status(a.now).Models).To(BeEmpty())
	})

	// Guards against unload orders that are retried without a delay at an engine that confirms them but keeps the
	// model.
	It("retries an unload without effect after a delay", func() {
		a.step(residency.Drain{})
		a.step(residency.Use{Target: m1})
		orders := 0
		for countActions[residency.SendOrder](a) > 0 && orders < 20 {
			orders++
			a.step(residency.OrderDone{Order: takeAction[residency.SendOrder](a).Order})
			a.answerListing(loadedModel("m1"))
		}
		Expect(orders).To(Equal(1))
		for i := 0; i < 10 && countActions[residency.SendOrder](a) == 0; i++ { // listings do not extend the delay
			a.advance(time.Second).step(residency.Tick{})
			if countActions[residency.FetchListing](a) > 0 {
				a.answerListing(loadedModel("m1"))
			}
		}
		Expect(countActions[residency.SendOrder](a)).To(Equal(1))
	})

	// Guards against a revoked replica that serves new requests for ever or is unloaded under a running request.
	It("accepts no new requests after a revocation, unloads when idle, and releases the grant", func() {
		a.readObjects(&grant.Object{Ceiling: 0, Stamp: newerStamp, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}, "m1")
		Expect(a.s.IsReady(m1)).To(BeTrue(), "version 1 is older than the version that was written")
		a.step(residency.ObjectRead{Key: grant.Key("m1"), Version: 7, Value: (grant.Object{Stamp: newerStamp, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}).Encode()})
		Expect(a.s.IsReady(m1)).To(BeFalse())
		Expect(a.s.Status(a.now).Models).To(Equal([]residency.ModelStatus{{Model: "m1", Phase: "resident", PhaseMS: 2000, MemoryBytes: modelSize, InUse: 1, Grant: "revoked"}}))
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.step(residency.Use{Target: m1})
		a.step(residency.Tick{})
		a.completeOrder(engine.OrderUnload, nil)
		o, _ := grant.Decode(a.completeWrite(8, nil).Value)
		Expect(o.Grants).To(BeEmpty())
	})

	// Guards against an unload under a request for which Ready was sent just before the revocation.
	It("waits for a request that starts after the revocation", func() {
		a := startedAgent(residency.Options{}, 20*gib, 1, "m1")
		a.prepareLoad(m1, 5)
		a.step(residency.OrderDone{Order: takeAction[residency.SendOrder](a).Order})
		a.step(residency.ObjectRead{Key: grant.Key("m1"), Version: 7, Value: (grant.Object{Stamp: newerStamp, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}).Encode()})
		a.step(residency.Use{Target: m1, Begin: true})
		a.answerListing(loadedModel("m1"))
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.step(residency.Use{Target: m1})
		a.step(residency.Tick{})
		Expect(countActions[residency.SendOrder](a)).To(Equal(1))
	})

	// Guards against memory that counts as free before the engine confirmed the unload, after the limit was lowered.
	It("unloads idle models to a lower limit", func() {
		a.load("m2", 6, loadedModel("m1"), loadedModel("m2"))
		a.step(residency.Configured{Document: document(2, 10*gib, 1, "m1", "m2")})
		a.step(residency.Tick{})
		o := takeAction[residency.SendOrder](a).Order
		Expect(o.Target).To(Equal(m2), "m1 is in use")
		a.step(residency.OrderDone{Order: engine.Order{Kind: o.Kind, Target: m2}}) // the result of another order
		a.step(residency.OrderDone{Order: o, Err: engine.ErrUnknown})
		Expect(a.s.MemoryReserved()).To(Equal(2 * modelSize))
		a.answerListing(loadedModel("m1"))
		Expect(a.s.MemoryReserved()).To(Equal(modelSize))
		a.requestLoad(m2, 10*time.Second)
		Expect(takeAction[residency.LoadFailed](a).Code).To(Equal(wire.CodeUpstreamDown), "the lost unload may still arrive")
	})

	// Guards against serving residents of an engine process that ended.
	It("removes residents after an engine restart once a listing fetched since confirms it", func() {
		a.advance(10 * time.Second).step(residency.Tick{})
		a.step(residency.EngineLost{})
		a.answerListing(loadedModel("m1")) // fetched before EngineLost
		Expect(a.s.IsReady(m1)).To(BeFalse())
		Expect(a.s.MemoryReserved()).To(Equal(modelSize))
		a.answerListing()
		Expect(a.s.Residents()).To(BeEmpty())
		Expect(a.s.GrantedModels()).To(Equal([]string{"m1"}))
	})
})

var _ = Describe("adapters", func() {
	// Guards against an adapter loaded without its base, a base unloaded while an adapter is or may be loaded, and two
	// concurrent orders for one model.
	It("are loaded after their base and unloaded before it", func() {
		a := startedAgent(residency.Options{}, 10*gib, 1, "m1")
		a.prepareLoad(a1, 5)
		a.completeOrder(engine.OrderLoad, nil, loadedModel("m1"))
		o := takeAction[residency.SendOrder](a).Order
		Expect(o.Target).To(Equal(a1))
		a.step(residency.Drain{})
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.step(residency.OrderDone{Order: o, Err: engine.ErrUnknown})
		a.answerListing(loadedModel("m1"))
		a.advance(time.Second).step(residency.Tick{})
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.answerListing(loadedModel("m1"), engine.Resident{Target: a1})
		a.advance(time.Second).step(residency.Tick{})
		o = takeAction[residency.SendOrder](a).Order
		Expect([]any{o.Kind, o.Target}).To(Equal([]any{engine.OrderUnload, a1}))
	})
})
