package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

var limits = admission.Limits{Count: 3, Bytes: 1000}

var _ = Describe("keyed calls", func() {
	var r *rig
	BeforeEach(func() { r = newRig("p", limits) })

	// Guards against a second run of a key that is sent again during or after the first run.
	It("run once", func() {
		key := keyAt(r.now, 1)
		r.open(loan("a", key))
		Expect(r.started()).To(Equal([]string{"a"}))
		joined := r.open(loan("b", key))
		at, _ := last[Attach](r)
		Expect(at.Stream).To(Equal(joined))
		Expect(at.Job).To(Equal("a"))
		r.endCall("a", &once.Answer{Status: 201, Body: []byte("made")})
		r.advance(20 * time.Second) // the output is discarded, the key is kept
		r.open(loan("c", key))
		stored, ok := last[AnswerStream](r)
		Expect(ok).To(BeTrue())
		Expect(stored.Answer.Body).To(Equal([]byte("made")))
		Expect(r.started()).To(BeEmpty())
	})

	// Guards against a loan that is cancelled or runs again after its router cancelled it, its deadline passed or its
	// connection was lost.
	It("are neither cancelled nor sent twice once started", func() {
		o := loan("a", keyAt(r.now, 1))
		o.TimeoutMS = 1000
		st := r.open(o)
		r.step(Cancelled{Stream: st})
		r.advance(30 * time.Second)
		_, stopped := last[StopCall](r)
		Expect(stopped).To(BeFalse())
		Expect(r.started()).To(Equal([]string{"a"}))
		r.step(CallEnded{Job: "a", Run: 1, Err: engine.ErrUnknown})
		check, _ := last[CheckEngine](r)
		r.step(EngineChecked{Number: check.Number, Listing: r.listing})
		Expect(r.refusal().Outcome).To(Equal(wire.OutcomeUnknown))
		r.open(loan("b", o.Key))
		Expect(r.refusal().Outcome).To(Equal(wire.OutcomeUnknown))
		Expect(r.started()).To(BeEmpty())
	})

	// Guards against a call that never reached the service but is reported as unknown, or whose key cannot be used again.
	It("may be sent again after a confirmed failure to start", func() {
		key := keyAt(r.now, 1)
		r.open(loan("a", key))
		r.step(CallEnded{Job: "a", Run: 1, Err: engine.ErrNotStarted})
		Expect(r.refusal().Outcome).To(Equal(wire.OutcomeNotRun))
		r.open(loan("b", key))
		Expect(r.started()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a restarted owner that runs a key which the previous process has run.
	It("are unknown after a restart, unless the caller asserts the first send", func() {
		key := keyAt(r.now, 1)
		r.open(loan("a", key))
		r.restart("p", limits)
		r.open(loan("b", key))
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeKeyTooOld), HaveField("Outcome", wire.OutcomeUnknown)))
		first := loan("c", key)
		first.FirstSend = true
		r.open(first)
		Expect(r.refusal().Outcome).To(Equal(wire.OutcomeNotRun))
		r.open(loan("d", keyAt(r.now, 2)))
		Expect(r.started()).To(Equal([]string{"d"}))
	})

	// Guards against key slots that are released while a call runs, and against new calls admitted meanwhile.
	It("are finished before a planned handover", func() {
		key := keyAt(r.now, 1)
		r.open(loan("a", key))
		r.step(Drain{})
		n := byte(2)
		for once.SlotOf("c", keyAt(r.now, n)) != once.SlotOf("c", key) {
			n++
		}
		r.open(loan("b", keyAt(r.now, n)))
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeDraining), HaveField("Outcome", wire.OutcomeNotRun)))
		r.advance(time.Second)
		Expect(r.core.once.OwnedSlots("loans")).To(Equal(1))
		Expect(r.core.IsDrained()).To(BeFalse())
		r.endCall("a", &once.Answer{})
		r.step(Closed{Stream: 1})
		r.advance(time.Second)
		Expect(r.core.once.OwnedSlots("loans")).To(BeZero())
		r.advance(OutputRetention) // a router may still resume
		r.advance(time.Second)
		Expect(r.core.IsDrained()).To(BeTrue())
		o, err := once.Decode(r.objects[once.Key("loans")].Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Slots[once.SlotOf("c", key)].Owner).To(BeEmpty())
	})

	// Guards against calls that are refused while the store is unreachable.
	It("continue during an outage of the store", func() {
		r.storeUp = false
		r.advance(time.Minute)
		r.open(loan("a", keyAt(r.now, 1)))
		Expect(r.started()).To(Equal([]string{"a"}))
	})

	// Guards against a keyed call refused as not run by an agent that cannot confirm it: without a configuration it does
	// not know the owner of the key slot.
	It("are refused with the correct outcome before a configuration", func() {
		r.core = NewCore(Options{VM: "vm-a", Group: "p", Start: r.now, Queue: limits, Once: once.DefaultLimits()})
		r.open(loan("a", keyAt(r.now, 1)))
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeNoConfig), HaveField("Outcome", wire.OutcomeUnknown)))
		r.open(lookup("b"))
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeNoConfig), HaveField("Outcome", wire.OutcomeNotRun)))
	})

	// Guards against an agent that cannot start while the store is unreachable.
	It("are served with the configuration of a peer whose address is in the VM list", func() {
		r.storeUp = false
		r.core = NewCore(Options{VM: "vm-a", Addr: "10.0.0.1:7001", Group: "p", Start: r.now, Queue: limits, Once: once.DefaultLimits()})
		r.step(Tick{})
		r.step(VMsRead{StartedAt: r.now, VMs: []vmlist.VM{{ID: "vm-a", Addr: "10.0.0.1"}, {ID: "vm-b", Addr: "10.0.0.2"}}})
		r.advance(100 * time.Millisecond)
		Expect(r.actions).To(ContainElement(QueryConfig{Peer: "10.0.0.2:7001"}))
		e, err := config.DecodeEnvelope(testConfig())
		Expect(err).NotTo(HaveOccurred())
		r.step(ConfigReply{Peer: "10.0.0.2:7001", Doc: &wire.ConfigDoc{Version: 1, Digest: e.Digest, Document: e.Raw}})
		r.advance(3 * time.Second)
		r.open(lookup("a"))
		Expect(r.started()).To(Equal([]string{"a"}))
	})

	// Guards against a router with an older configuration that sends a loan without a key.
	It("are distinguished from idempotent ones by the agent's own configuration", func() {
		o := loan("a", "")
		o.NonIdempotent = false
		r.open(o)
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeBadRequest), HaveField("Outcome", wire.OutcomeNotRun)))
		o = lookup("b")
		o.Service = "other"
		r.open(o)
		Expect(r.refusal()).To(HaveField("Code", wire.CodeNoUpstream))
		Expect(r.started()).To(BeEmpty())
	})

	// Guards against routers that keep sending to an agent that does not own the slot.
	It("are redirected to the owner", func() {
		key := keyAt(r.now, 1)
		var o once.Owners
		for i := range o.Slots {
			o.Slots[i] = once.Slot{Owner: "vm-z", Epoch: 9}
		}
		r.step(ObjectRead{Key: once.Key("loans"), Object: storeObject(once.Key("loans"), 99, o.Encode())})
		r.open(loan("a", key))
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeNotOwner), HaveField("Outcome", wire.OutcomeNotRun), HaveField("Holders", []string{"vm-z"})))
		resumed := loan("b", key)
		resumed.Resume = true
		r.open(resumed)
		Expect(r.refusal().Outcome).To(Equal(wire.OutcomeUnknown))
	})
})

var _ = Describe("waiting requests", func() {
	var r *rig
	BeforeEach(func() { r = newRig("p", limits) })

	// Guards against unbounded memory, and against requests that are dropped instead of refused at their deadline.
	It("are bounded, expire as not run and are removed when cancelled", func() {
		for _, id := range []string{"a", "b", "c", "d", "e"} { // two run
			o := lookup(id)
			if id == "c" {
				o.TimeoutMS = 500
			}
			r.open(o)
		}
		Expect(r.started()).To(Equal([]string{"a", "b"}))
		r.open(lookup("f"))
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeQueueFull), HaveField("Outcome", wire.OutcomeNotRun)))
		r.advance(400 * time.Millisecond) // the next tick would be too late
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeExpired), HaveField("Outcome", wire.OutcomeNotRun)))
		r.step(Cancelled{Stream: 4}) // d
		r.endCall("a", nil)
		Expect(r.started()).To(Equal([]string{"e"}))
	})

	// Guards against calls of a crashed router that never end, and against calls that end before the router can resume.
	It("and idempotent calls are ended 10 s after the last connection", func() {
		st := r.open(lookup("a"))
		r.step(Closed{Stream: st})
		r.advance(9 * time.Second)
		_, stopped := last[StopCall](r)
		Expect(stopped).To(BeFalse())
		second := lookup("a")
		second.Attempt, second.Resume, second.Offset = 2, true, 7
		st = r.open(second)
		at, _ := last[Attach](r)
		Expect(at).To(And(HaveField("Stream", st), HaveField("Offset", uint64(7)), HaveField("Attempt", uint32(2))))
		r.advance(5 * time.Second)
		r.step(Closed{Stream: st})
		r.advance(10 * time.Second)
		_, stopped = last[StopCall](r)
		Expect(stopped).To(BeTrue())
	})

	// Guards against a request refused as not run that runs nevertheless, by an older attempt that arrives after the
	// refusal of a newer one.
	It("are not run by a stale attempt that arrives after a refusal", func() {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			r.open(lookup(id))
		}
		o := loan("late", keyAt(r.now, 1))
		o.Attempt, o.Resume = 2, true
		r.open(o)
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeQueueFull), HaveField("Outcome", wire.OutcomeNotRun)))
		r.endCall("a", nil)
		r.started()
		first := r.open(loan("late", o.Key))
		Expect(r.actions).To(ContainElement(DropStream{Stream: first}))
		Expect(r.started()).To(BeEmpty())
	})

	// Guards against a delayed frame of an older attempt that takes the answer away from the newer attempt.
	It("are attached to their highest attempt", func() {
		newer := lookup("a")
		newer.Attempt = 2
		first := r.open(newer)
		stale := r.open(lookup("a"))
		Expect(r.actions).To(ContainElement(DropStream{Stream: stale}))
		newest := lookup("a")
		newest.Attempt = 3
		r.open(newest)
		Expect(r.actions).To(ContainElement(DropStream{Stream: first}))
	})
})

var _ = Describe("model calls", func() {
	var r *rig
	BeforeEach(func() { r = newRig("g", admission.Limits{Count: 10, Bytes: 1000}) })

	// Guards against requests for an unloaded model that block those for a loaded one.
	It("wait for their load outside the queue", func() {
		r.open(prompt("a", "m"))
		r.advance(100 * time.Millisecond)
		Expect(r.started()).To(Equal([]string{"a"}))
		Expect(r.listing.Resident).To(HaveLen(1))
		r.endCall("a", nil)
	})

	crash := func(epoch string) {
		r.listing.Epoch, r.listing.Resident = epoch, nil
		r.step(EngineChecked{Listing: r.listing})
		for range 20 {
			r.advance(100 * time.Millisecond)
		}
	}

	// Guards against a request that crashes every upstream and is retried for ever, and against other requests that are
	// refused with it.
	It("run again in isolation after a crash, and the request that caused it is quarantined", func() {
		r.open(prompt("culprit", "m"))
		r.advance(100 * time.Millisecond)
		r.open(prompt("innocent", "m"))
		Expect(r.started()).To(Equal([]string{"culprit", "innocent"}))
		crash("e2")
		first := r.started()
		Expect(first).To(HaveLen(1)) // one suspect at a time
		r.open(prompt("other", "m"))
		r.advance(time.Second)
		Expect(r.started()).To(BeEmpty()) // others wait
		if first[0] == "innocent" {
			r.step(CallEnded{Job: "innocent", Run: 2})
			Expect(r.started()).To(Equal([]string{"culprit"}))
		}
		crash("e3")
		Expect(r.core.quarantine.IsQuarantined(fingerprint(prompt("culprit", "m")))).To(BeTrue())
		Expect(r.core.quarantine.IsQuarantined(fingerprint(prompt("innocent", "m")))).To(BeFalse())
		r.open(prompt("culprit", "m"))
		Expect(r.refusal()).To(And(HaveField("Code", wire.CodeQuarantined)))
		entries, err := quarantine.Decode(r.objects["quarantine/list"].Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
	})

	// Guards against a second crash that is counted because an older listing arrives after a newer one.
	It("are not suspected again because of an outdated listing of the ended process", func() {
		old := r.listing
		r.open(prompt("a", "m"))
		r.advance(100 * time.Millisecond)
		r.open(prompt("b", "m"))
		crash("e2")
		rerun, _ := last[StartCall](r)
		r.step(EngineChecked{Listing: old})
		r.step(Listed{Listing: old})
		r.step(EngineChecked{Listing: r.listing})
		Expect(r.core.quarantine.Entries()).To(BeEmpty())
		r.step(CallEnded{Job: rerun.Job, Run: 2, Received: true})
		Expect(r.actions).To(ContainElement(EndJob{Job: rerun.Job}))
	})

	// Guards against an answer that starts from the beginning after a part of it was delivered.
	It("continue after a crash from the bytes already delivered", func() {
		r.open(prompt("a", "m"))
		r.advance(100 * time.Millisecond)
		r.open(prompt("b", "m"))
		r.started()
		r.step(CallEnded{Job: "b", Run: 1, Err: engine.ErrDied, Received: true})
		crash("e2")
		rerun, ok := last[StartCall](r)
		Expect(ok).To(BeTrue())
		if rerun.Job == "a" {
			r.step(CallEnded{Job: "a", Run: 2})
			rerun, _ = last[StartCall](r)
		}
		Expect(rerun).To(And(HaveField("Job", "b"), HaveField("Run", 2), HaveField("Continue", true)))
	})

	// Guards against an unresponsive connection that is treated as the end of a running upstream, and against a resume
	// because of a listing that is older than the loss of the connection.
	It("resume at the upstream on a new connection", func() {
		r.open(prompt("a", "m"))
		r.advance(100 * time.Millisecond)
		r.step(CallEnded{Job: "a", Run: 1, Err: engine.ErrUnresponsive, Received: true})
		r.step(EngineChecked{Listing: r.listing})
		_, resumed := last[ResumeCall](r)
		Expect(resumed).To(BeFalse())
		check, _ := last[CheckEngine](r)
		r.step(EngineChecked{Number: check.Number, Listing: r.listing})
		resume, resumed := last[ResumeCall](r)
		Expect(resumed).To(BeTrue())
		Expect(resume.Run).To(Equal(1))
		r.step(CallEnded{Job: "a", Run: 1, Received: true})
		Expect(r.actions).To(ContainElement(EndJob{Job: "a"}))
	})

	// Guards against a leaving VM that keeps its models or grants, or accepts new requests.
	It("end when the VM leaves, and its grants are released", func() {
		r.open(prompt("a", "m"))
		r.advance(100 * time.Millisecond)
		r.step(VMsRead{StartedAt: r.now, VMs: []vmlist.VM{{ID: "vm-a", State: vmlist.StateLeaving}}})
		r.open(prompt("b", "m"))
		Expect(r.refusal()).To(HaveField("Code", wire.CodeDraining))
		r.step(Closed{Stream: 1})
		Expect(r.listing.Resident).NotTo(BeEmpty())
		r.endCall("a", nil)
		for range 200 {
			r.advance(100 * time.Millisecond)
		}
		Expect(r.listing.Resident).To(BeEmpty())
		Expect(r.core.residency.GrantedModels()).To(BeEmpty())
		Expect(r.core.IsDrained()).To(BeTrue())
	})
})
