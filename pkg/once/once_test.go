package once_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// answerStoreCalls executes the store calls of one agent on an object until none remains.
func answerStoreCalls(s *once.State, now time.Time, o *once.Owners, version *uint64, acts []once.Action) {
	for len(acts) > 0 {
		a := acts[0]
		acts = acts[1:]
		switch a := a.(type) {
		case once.ReadOwners:
			acts = append(acts, s.Step(now, once.OwnersRead{Service: a.Service, Version: *version, Owners: *o})...)
		case once.WriteOwners:
			Expect(a.Expect).To(Equal(*version))
			*o, *version = a.Owners, *version+1
			acts = append(acts, s.Step(now, once.OwnersWritten{Service: a.Service, Expect: a.Expect, Version: *version})...)
		}
	}
}

// newOwner returns the state of an agent that owns all slots of service "orders".
func newOwner(vm string, limits once.Limits, o *once.Owners, version *uint64) *once.State {
	s := once.New(vm, start, limits)
	answerStoreCalls(s, start, o, version, s.Step(start, once.Members{Live: []string{vm}}))
	answerStoreCalls(s, start, o, version, s.Step(start, once.Services{Names: []string{"orders"}}))
	Expect(s.OwnedSlots("orders")).To(Equal(once.Slots))
	return s
}

func call(key string, issued time.Time) once.Call {
	return once.Call{Service: "orders", Caller: "shop", Key: key, Fingerprint: 7, Issued: issued}
}

// keyInChangedSlot returns a key of the slot in which two objects differ.
func keyInChangedSlot(a, b once.Owners) string {
	for i := 0; ; i++ {
		key := strconv.Itoa(i)
		if slot := once.SlotOf("shop", key); a.Slots[slot] != b.Slots[slot] {
			return key
		}
	}
}

var _ = Describe("the key table", func() {
	var s *once.State
	var o once.Owners
	var version uint64
	now := start.Add(10 * time.Second)
	decide := func(c once.Call) once.Decision { return s.Admit(now, c, "run").Decision }
	BeforeEach(func() {
		o, version = once.Owners{}, 0
		s = newOwner("vm-a", once.Limits{Entries: 4, AnswerBytes: 100, TableBytes: 1000}, &o, &version)
	})

	// Guards against a second run by a retry during or after the first run.
	It("joins a running call and returns a stored answer", func() {
		c := call("k", now)
		Expect(decide(c)).To(Equal(once.Start))
		Expect(s.Admit(now, c, "other")).To(Equal(once.Admission{Decision: once.Join, Run: "run"}))
		s.Finish(c, &once.Answer{Status: 201, Body: []byte("made")})
		admission := s.Admit(now, c, "other")
		Expect(admission.Decision).To(Equal(once.Stored))
		Expect(admission.Answer.Body).To(Equal([]byte("made")))
	})

	// Guards against returning a truncated or lost answer as a complete one.
	DescribeTable("records an answer that is not stored as unknown", func(a *once.Answer) {
		c := call("k", now)
		Expect(decide(c)).To(Equal(once.Start))
		s.Finish(c, a)
		Expect(decide(c)).To(Equal(once.Unknown))
	}, Entry("lost", nil), Entry("too large", &once.Answer{Body: make([]byte, 101)}))

	// Guards against running calls whose keys were issued outside the accepted time window.
	DescribeTable("bounds the issue time", func(issued time.Time, want once.Decision) {
		Expect(decide(call("k", issued))).To(Equal(want))
	},
		Entry("before the restart floor", start.Add(2*time.Second), once.KeyTooOld),
		Entry("just above the restart floor", start.Add(2001*time.Millisecond), once.Start),
		Entry("at the clock allowance", now.Add(2*time.Second), once.Start),
		Entry("beyond the clock allowance", now.Add(2001*time.Millisecond), once.KeyInFuture),
	)

	// Guards against a caller receiving the answer to another request that had the same key.
	It("refuses a key that was used for another request", func() {
		c := call("k", now)
		Expect(decide(c)).To(Equal(once.Start))
		c.Fingerprint++
		Expect(decide(c)).To(Equal(once.KeyReused))
	})

	// Guards against a second run with a key that was evicted from the table.
	It("raises the floor on eviction", func() {
		first := call("k0", now)
		for i, k := range []string{"k0", "k1", "k2", "k3"} {
			c := call(k, now.Add(time.Duration(i)*time.Millisecond))
			Expect(decide(c)).To(Equal(once.Start))
			s.Finish(c, &once.Answer{})
		}
		Expect(decide(call("k4", now.Add(time.Second)))).To(Equal(once.Start))
		Expect(decide(first)).To(Equal(once.KeyTooOld))
	})

	// Guards against the eviction of a running call, which a retry would then start a second time.
	It("refuses a call when all entries are running", func() {
		for _, k := range []string{"k0", "k1", "k2", "k3"} {
			Expect(decide(call(k, now))).To(Equal(once.Start))
		}
		Expect(decide(call("k4", now))).To(Equal(once.TableFull))
		s.Abort(call("k0", now))
		Expect(decide(call("k4", now))).To(Equal(once.Start))
	})

	// Guards against a handover while a call is running, and against treating a lost reply to its write as a failure.
	It("hands over after running calls and resolves a lost reply by reading back", func() {
		c := call("k", now)
		Expect(decide(c)).To(Equal(once.Start))
		acts := s.Step(now, once.Drain{})
		Expect(decide(call("k2", now))).To(Equal(once.Releasing))
		answerStoreCalls(s, now, &o, &version, acts)
		Expect(s.OwnedSlots("orders")).To(Equal(1))
		s.Finish(c, &once.Answer{})
		acts = s.Step(now, once.Tick{})
		w := acts[0].(once.WriteOwners)
		Expect(w.Owners.Slots[once.SlotOf("shop", "k")].FloorMS).To(Equal(now.UnixMilli()))
		acts = s.Step(now, once.OwnersWritten{Service: "orders", Expect: w.Expect, Err: store.ErrUnknown})
		Expect(acts).To(BeEmpty())
		Expect(s.MayExit()).To(BeFalse())
		later := now.Add(time.Second)
		Expect(s.Step(later, once.Tick{})).To(Equal([]once.Action{once.ReadOwners{Service: "orders"}}))
		// The object is unchanged, so the write may still be in flight and is sent again.
		acts = s.Step(later, once.OwnersRead{Service: "orders", Version: version, Owners: o})
		Expect(acts).To(Equal([]once.Action{w}))
		answerStoreCalls(s, later, &o, &version, acts)
		Expect(s.MayExit()).To(BeTrue())
	})

	// Guards against a delayed handover that takes effect after its owner has started to admit calls again.
	It("admits nothing to a slot while its handover may still take effect", func() {
		answerStoreCalls(s, now, &o, &version, s.Step(now, once.Members{Live: []string{"vm-a", "vm-b"}}))
		t := now.Add(16 * time.Second)
		w := s.Step(t, once.Tick{})[0].(once.WriteOwners)
		key := keyInChangedSlot(o, w.Owners)
		releasing := func() { Expect(s.Admit(t, call(key, t), "run").Decision).To(Equal(once.Releasing)) }
		s.Step(t, once.OwnersWritten{Service: "orders", Expect: w.Expect, Err: store.ErrUnknown})
		t = t.Add(500 * time.Millisecond)
		Expect(s.Step(t, once.Tick{})).To(Equal([]once.Action{once.ReadOwners{Service: "orders"}}))
		Expect(s.Step(t, once.OwnersRead{Service: "orders", Version: version, Owners: o})).To(Equal([]once.Action{w}))
		releasing()
		s.Step(t, once.OwnersWritten{Service: "orders", Expect: w.Expect, Err: store.ErrUnavailable}) // the first write may still arrive
		releasing()
		s.Step(t, once.OwnersRead{Service: "orders", Version: version + 1, Owners: o}) // another write succeeded
		Expect(s.Admit(t, call(key, t), "run").Decision).To(Equal(once.Start))
	})

	// Guards against the takeover of slots of a paused owner that is still listed, and against a takeover whose floor
	// permits a second run with a key of the earlier owner.
	It("takes over only from a VM confirmed gone", func() {
		b := once.New("vm-b", start, once.DefaultLimits())
		answerStoreCalls(b, now, &o, &version, b.Step(now, once.Members{Live: []string{"vm-a", "vm-b"}}))
		answerStoreCalls(b, now, &o, &version, b.Step(now, once.Services{Names: []string{"orders"}}))
		muchLater := now.Add(time.Minute)
		answerStoreCalls(b, muchLater, &o, &version, b.Step(muchLater, once.Tick{}))
		Expect(b.OwnedSlots("orders")).To(BeZero())
		Expect(s.Admit(muchLater, call("k", muchLater), "run").Decision).To(Equal(once.Start)) // the paused owner resumes
		answerStoreCalls(b, muchLater, &o, &version, b.Step(muchLater, once.Members{Live: []string{"vm-b"}, Gone: []string{"vm-a"}}))
		Expect(b.OwnedSlots("orders")).To(Equal(once.Slots))
		Expect(b.Admit(muchLater, call("k", muchLater), "run").Decision).To(Equal(once.KeyTooOld))
		s.Step(muchLater, once.OwnersRead{Service: "orders", Version: version, Owners: o})
		Expect(s.Admit(muchLater, call("k9", muchLater), "run")).To(Equal(once.Admission{Decision: once.NotOwner, Owner: "vm-b"}))
	})

	// Guards against agents that race for a free slot, and against a slot that stays free because its planned agent is
	// unresponsive.
	It("leaves free slots to the planned agent for some time", func() {
		b, version := once.New("vm-b", start, once.DefaultLimits()), uint64(0)
		var free once.Owners
		answerStoreCalls(b, now, &free, &version, b.Step(now, once.Members{Live: []string{"vm-a", "vm-b"}}))
		answerStoreCalls(b, now, &free, &version, b.Step(now, once.Services{Names: []string{"orders"}}))
		Expect(b.OwnedSlots("orders")).To(Equal(once.Slots / 2))
		for _, c := range []struct {
			after time.Duration
			owned int
		}{{5 * time.Second, once.Slots / 2}, {13 * time.Second, once.Slots}} {
			t := now.Add(c.after)
			answerStoreCalls(b, t, &free, &version, b.Step(t, once.Tick{}))
			Expect(b.OwnedSlots("orders")).To(Equal(c.owned))
		}
	})

	// Guards against the first agent keeping all slots.
	It("hands excess slots over one at a time until the shares are equal", func() {
		b := once.New("vm-b", start, once.DefaultLimits())
		members := once.Members{Live: []string{"vm-b", "vm-a"}}
		t := now
		answerStoreCalls(s, t, &o, &version, s.Step(t, members))
		answerStoreCalls(b, t, &o, &version, b.Step(t, members))
		answerStoreCalls(b, t, &o, &version, b.Step(t, once.Services{Names: []string{"orders"}}))
		for range 80 {
			t = t.Add(time.Second)
			before := s.OwnedSlots("orders")
			answerStoreCalls(s, t, &o, &version, s.Step(t, once.OwnersRead{Service: "orders", Version: version, Owners: o}))
			Expect(before - s.OwnedSlots("orders")).To(BeNumerically("<=", 1))
			answerStoreCalls(b, t, &o, &version, b.Step(t, once.OwnersRead{Service: "orders", Version: version, Owners: o}))
		}
		Expect(s.OwnedSlots("orders")).To(Equal(once.Slots / 2))
		Expect(b.OwnedSlots("orders")).To(Equal(once.Slots / 2))
	})
})
