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

// startedInOutage returns a rig whose process started while the store was unreachable and got its configuration from a
// peer.
func startedInOutage(group string, resident ...engine.Resident) *rig {
	r := newRig(group, admission.DefaultLimits())
	r.storeUp, r.listing.Resident = false, resident
	r.restart(group, admission.DefaultLimits())
	e, err := config.DecodeEnvelope(testConfig())
	Expect(err).NotTo(HaveOccurred())
	r.step(ConfigReply{Peer: "10.0.0.2:7001", Doc: &wire.ConfigDoc{Version: 1, Digest: e.Digest, Document: e.Raw}})
	r.advance(3 * time.Second)
	Expect(r.core.Document()).NotTo(BeNil())
	return r
}

var _ = Describe("an agent that started during an outage of the store", func() {
	record := func(vm string) store.Object {
		return storeObject(membership.Key(vm), 7, membership.Upstream{VM: vm, Group: "g", Kind: config.GroupModels}.Encode())
	}

	// Guards against a load without a stamp, which a release by the earlier process could overtake (invariant I1), and a
	// load into memory that a load of the earlier process may still occupy (invariant I2), even if the peer copy names
	// this process's incarnation. Also guards against an agent without the other agents' records until the store has
	// recovered.
	It("loads no model because of a peer copy of its grant", func() {
		r := startedInOutage("g")
		object := grant.Object{Ceiling: 2, Generation: 1, Grants: []grant.Grant{{VM: "vm-a", Incarnation: r.core.opts.Incarnation, Generation: 1}}}
		r.step(ObjectsReceived{Objects: []store.Object{storeObject(grant.Key("m"), 8, object.Encode()), storeObject(grant.Key("n"), 9, grant.Object{Ceiling: 1}.Encode()), record("vm-b")}})
		u, _ := r.core.members.Upstream("vm-b")
		Expect(u.Group).To(Equal("g"))
		r.open(prompt("a", "m"))
		r.advance(20 * time.Second)
		Expect(r.listing.Resident).To(BeEmpty())
		r.storeUp = true
		r.advance(2 * time.Second)
		r.advance(30 * time.Second)
		o, err := grant.Decode(r.objects[grant.Key("m")].Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Holders()).To(Equal([]string{"vm-a"}), "the load happens after a conditional write")
		Expect(r.listing.Resident).To(HaveLen(1))
	})

	// Guards against an outdated copy without the VM's entry that unloads a model in use, which could not be loaded again.
	It("serves a loaded model although its grant is missing in a peer copy", func() {
		r := startedInOutage("g", engine.Resident{Target: engine.Target{Model: "m"}, MemoryBytes: 40})
		r.step(ObjectsReceived{Objects: []store.Object{storeObject(grant.Key("m"), 8, grant.Object{Ceiling: 2}.Encode()), record("vm-a")}})
		r.advance(20 * time.Second)
		r.open(prompt("a", "m"))
		Expect(r.started()).To(Equal([]string{"a"}))
		Expect(r.listing.Resident).To(HaveLen(1))
	})

	// Guards against two owners of a key slot: a handover by the earlier process may still take effect (invariant I6).
	It("admits no call because of a peer copy of its key slots", func() {
		r := startedInOutage("p")
		var all once.Owners
		for i := range all.Slots {
			all.Slots[i] = once.Slot{Owner: "vm-a", Epoch: 3}
		}
		r.step(ObjectsReceived{Objects: []store.Object{storeObject(once.Key("loans"), 8, all.Encode())}})
		r.advance(20 * time.Second)
		Expect(r.core.once.OwnedSlots("loans")).To(BeZero())
		r.open(loan("a", keyAt(r.now, 1)))
		Expect(r.started()).To(BeEmpty())
		// The at-most-once state machine does not accept the copy either, even if the watch reports it as a change.
		r.step(StoreChanged{Objects: []store.Object{storeObject(once.Key("loans"), 8, all.Encode())}})
		r.advance(time.Second)
		Expect(r.core.once.OwnedSlots("loans")).To(BeZero())
	})
})
