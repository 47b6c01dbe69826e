package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// startedInOutage returns a rig whose process started without the store and has its configuration from a peer.
func startedInOutage(group string, resident ...engine.Resident) *rig {
	r := newRig(group, admission.DefaultLimits())
	r.storeUp, r.listing.Resident = false, resident
	r.restart(group, admission.DefaultLimits())
	e, err := config.DecodeEnvelope(testConfig())
	Expect(err).NotTo(HaveOccurred())
	r.step(ConfigReply{Peer: "10.0.0.2:7001", Doc: &wire.ConfigDoc{Version: 1, Digest: e.Digest, Document: e.Raw}})
	r.after(3 * time.Second)
	Expect(r.c.Document()).NotTo(BeNil())
	return r
}

var _ = Describe("an agent that started in an outage of the store", func() {
	record := func(vm string) store.Object {
		return storeObject(membership.Key(vm), 7, membership.Upstream{VM: vm, Group: "g", Kind: config.GroupModels}.Encode())
	}

	// Guards against a load without the stamp, which a release of the earlier process could overtake (I1), and one into
	// memory that a load of the earlier process may still take (I2). The copies claim even this process's incarnation.
	// Guards also against an agent that knows no other agent's record until the store is back.
	It("loads nothing under a peer's copy of its grant", func() {
		r := startedInOutage("g")
		held := grant.Object{Ceiling: 2, Generation: 1, Grants: []grant.Grant{{VM: "vm-a", Incarnation: r.c.o.Incarnation, Generation: 1}}}
		r.step(ObjectsReceived{Objects: []store.Object{storeObject(grant.Key("m"), 8, held.Encode()), storeObject(grant.Key("n"), 9, grant.Object{Ceiling: 1}.Encode()), record("vm-b")}})
		u, _ := r.c.members.Upstream("vm-b")
		Expect(u.Group).To(Equal("g"))
		r.open(prompt("a", "m"))
		r.after(20 * time.Second)
		Expect(r.listing.Resident).To(BeEmpty())
		r.storeUp = true
		r.after(2 * time.Second)
		r.after(30 * time.Second)
		o, err := grant.Decode(r.objects[grant.Key("m")].Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Holders()).To(Equal([]string{"vm-a"}), "the load follows a conditional write")
		Expect(r.listing.Resident).To(HaveLen(1))
	})

	// Guards against an old copy without the VM's entry that unloads a model in use, which could not be loaded again.
	It("serves a loaded model although a peer's copy lacks its grant", func() {
		r := startedInOutage("g", engine.Resident{Target: engine.Target{Model: "m"}, MemoryBytes: 40})
		r.step(ObjectsReceived{Objects: []store.Object{storeObject(grant.Key("m"), 8, grant.Object{Ceiling: 2}.Encode()), record("vm-a")}})
		r.after(20 * time.Second)
		r.open(prompt("a", "m"))
		Expect(r.started()).To(Equal([]string{"a"}))
		Expect(r.listing.Resident).To(HaveLen(1))
	})

	// Guards against two owners of a slot: a handover of the earlier process may still take effect (I6).
	It("admits no call under a peer's copy of its key slots", func() {
		r := startedInOutage("p")
		var all once.Owners
		for i := range all.Slots {
			all.Slots[i] = once.Slot{Owner: "vm-a", Epoch: 3}
		}
		r.step(ObjectsReceived{Objects: []store.Object{storeObject(once.Key("loans"), 8, all.Encode())}})
		r.after(20 * time.Second)
		Expect(r.c.once.OwnedSlots("loans")).To(BeZero())
		r.open(loan("a", keyAt(r.now, 1)))
		Expect(r.started()).To(BeEmpty())
		// The decision itself takes no copy as proof either, even if it got one as a change seen by the watch.
		r.step(StoreChanged{Objects: []store.Object{storeObject(once.Key("loans"), 8, all.Encode())}})
		r.after(time.Second)
		Expect(r.c.once.OwnedSlots("loans")).To(BeZero())
	})
})
