package residency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestResidency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "residency")
}

const (
	gib       = int64(1) << 30
	modelSize = 8 * gib // with the KV reserve
)

func document(version uint64, limit int64, replicas int, models ...string) *config.Document {
	c := &config.Config{Limits: config.Limits{UpstreamMemoryBytes: limit}, Weights: config.Weights{ColdStart: 1, IdleAccelerator: 1}}
	for _, name := range models {
		c.Models = append(c.Models, config.Model{Name: name, Group: "g", MaxReplicas: replicas, MemoryBytes: 6 * gib, KVReserveBytes: 2 * gib, Accelerators: 1})
		c.Adapters = append(c.Adapters, config.Adapter{Name: name + "-a", Model: name, MemoryBytes: gib})
	}
	return &config.Document{Version: version, Digest: "d", Config: c}
}

// agent drives one State by hand: tests answer each action themselves.
type agent struct {
	s       *residency.State
	now     time.Time
	actions []residency.Action
}

func newAgent(o residency.Options) *agent {
	o.VM, o.Incarnation, o.Group = "vm1", "new", "g"
	if o.Policy == nil {
		o.Policy = &idle.Never{}
	}
	return &agent{s: residency.New(o), now: time.Unix(1000, 0)}
}

func (a *agent) step(ev residency.Event) []residency.Action {
	out := a.s.Step(a.now, ev)
	a.actions = append(a.actions, out...)
	return out
}

func (a *agent) later(d time.Duration) *agent { a.now = a.now.Add(d); return a }

// take removes and returns the oldest action of a type.
func take[T residency.Action](a *agent) T {
	GinkgoHelper()
	for i, act := range a.actions {
		if v, ok := act.(T); ok {
			a.actions = append(a.actions[:i:i], a.actions[i+1:]...)
			return v
		}
	}
	Fail(fmt.Sprintf("no action of the expected type; actions: %+v", a.actions))
	panic("unreachable")
}

func count[T residency.Action](a *agent) int {
	n := 0
	for _, act := range a.actions {
		if _, ok := act.(T); ok {
			n++
		}
	}
	return n
}

// list answers the outstanding listing.
func (a *agent) list(rs ...engine.Resident) {
	GinkgoHelper()
	take[residency.FetchListing](a)
	a.step(residency.Listed{Listing: engine.Listing{Epoch: "e", MemoryBytes: 100 * gib, Resident: rs}})
}

// listAfter answers the listing that a Tick some time later asks for.
func (a *agent) listAfter(d time.Duration, rs ...engine.Resident) {
	GinkgoHelper()
	a.later(d).step(residency.Tick{})
	a.list(rs...)
}

func (a *agent) objects(o *grant.Object, models ...string) {
	for _, m := range models {
		ev := residency.ObjectRead{Key: grant.Key(m)}
		if o != nil {
			ev.Version, ev.Value = 1, o.Encode()
		}
		a.step(ev)
	}
}

// configured returns an agent with a configuration and a listing.
func configured(o residency.Options, limit int64, replicas int, models ...string) *agent {
	a := newAgent(o)
	a.step(residency.Configured{Document: document(1, limit, replicas, models...)})
	a.list()
	return a
}

// started returns an agent with a configuration, an empty listing and no grants.
func started(o residency.Options, limit int64, replicas int, models ...string) *agent {
	a := configured(o, limit, replicas, models...)
	a.objects(nil, models...)
	return a
}

func (a *agent) want(id engine.Target, d time.Duration) {
	a.step(residency.LoadRequested{Target: id, Deadline: a.now.Add(d)})
}

// order answers the outstanding order and the listing after it.
func (a *agent) order(kind engine.OrderKind, err error, rs ...engine.Resident) {
	GinkgoHelper()
	o := take[residency.SendOrder](a).Order
	Expect(o.Kind).To(Equal(kind))
	a.step(residency.OrderDone{Order: o, Err: err})
	a.list(rs...)
}

func (a *agent) written(version uint64, err error) residency.WriteObject {
	GinkgoHelper()
	w := take[residency.WriteObject](a)
	a.step(residency.ObjectWritten{Key: w.Key, Version: version, Err: err})
	return w
}

func (a *agent) place() {
	GinkgoHelper()
	a.step(residency.PlaceGiven{ID: take[residency.AskPlace](a).Ask.ID})
}

// ordered wants a target and answers the acquisition of its grant and the ask, so that the load order is sent.
func (a *agent) ordered(id engine.Target, version uint64) {
	GinkgoHelper()
	a.want(id, time.Minute)
	a.written(version, nil)
	a.place()
}

// load brings a model up under a new grant.
func (a *agent) load(name string, version uint64, rs ...engine.Resident) {
	GinkgoHelper()
	a.ordered(engine.Target{Model: name}, version)
	a.order(engine.OrderLoad, nil, rs...)
	take[residency.Ready](a)
	a.later(2 * time.Second)
}

func res(name string) engine.Resident { return engine.Resident{Target: engine.Target{Model: name}} }

var (
	m1 = engine.Target{Model: "m1"}
	m2 = engine.Target{Model: "m2"}
	a1 = engine.Target{Model: "m1", Adapter: "m1-a"}
)

var _ = Describe("loading", func() {
	// Guards against one order per waiting request and against a load before grant, memory and place.
	It("makes one order for many requests", func() {
		a := started(residency.Options{}, 10*gib, 1, "m1")
		for range 5 {
			a.want(m1, time.Minute)
		}
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.written(5, nil)
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.place()
		Expect(count[residency.SendOrder](a)).To(Equal(1))
		Expect(a.s.MemoryBooked()).To(Equal(modelSize))
		a.later(3*time.Second).order(engine.OrderLoad, nil, res("m1"))
		Expect(take[residency.Ready](a)).To(Equal(residency.Ready{Target: m1, Waited: 3 * time.Second}))
		Expect(count[residency.Ready](a)).To(BeZero())
		Expect(a.s.Stats()).To(Equal(residency.Stats{Loads: 1, LoadTime: 3 * time.Second, IdleAccelerators: 3 * time.Second}))
		Expect(count[residency.ReturnPlace](a)).To(Equal(1))
		Expect(a.s.IsReady(m1)).To(BeTrue())
		Expect(a.s.PredictedWait(m1, a.now)).To(BeZero())
	})

	// Guards against a load that waits for ever for a coordinator that does not answer, and one past its queue.
	It("loads without a place after 250 ms unless the ask is queued", func() {
		for _, queued := range []bool{false, true} {
			a := started(residency.Options{}, 10*gib, 1, "m1")
			a.want(m1, time.Minute)
			a.written(5, nil)
			a.later(249 * time.Millisecond).step(residency.Tick{})
			Expect(count[residency.SendOrder](a)).To(BeZero())
			if queued {
				a.step(residency.PlaceQueued{ID: take[residency.AskPlace](a).Ask.ID})
			}
			a.later(time.Millisecond).step(residency.Tick{})
			Expect(count[residency.SendOrder](a) == 1).To(Equal(!queued))
		}
	})

	// Guards against an order before the listing after the last one, and one that repeats a refused number.
	It("lists and takes a much larger number after a refusal of the number", func() {
		a := started(residency.Options{}, 10*gib, 1, "m1")
		a.ordered(m1, 5)
		o := take[residency.SendOrder](a).Order
		a.step(residency.OrderDone{Order: o, Err: engine.ErrStaleFence})
		a.later(time.Second).step(residency.Tick{}) // past the fallback of the next ask
		Expect(count[residency.SendOrder](a)).To(BeZero())
		a.list()
		a.place()
		Expect(take[residency.SendOrder](a).Order.Fence).To(BeNumerically(">", o.Fence+1<<39))
	})

	// Guards against a refusal without the holders that routers need as hints.
	It("refuses with the holders when the ceiling is reached", func() {
		a := configured(residency.Options{}, 10*gib, 1, "m1")
		a.objects(&grant.Object{Ceiling: 1, Stamp: config.Stamp{Version: 1, Digest: "d"}, Grants: []grant.Grant{{VM: "vm2"}}}, "m1")
		a.want(m1, time.Minute)
		f := take[residency.LoadFailed](a)
		Expect(f.Code).To(Equal(wire.CodeNoReplica))
		Expect(f.Holders).To(Equal([]string{"vm2"}))
		Expect(count[residency.WriteObject](a)).To(BeZero())
	})
})

var _ = Describe("unknown outcomes", func() {
	// Guards against memory or a replica counted as free while a lost load may still take effect.
	It("keeps a lost load booked and its grant held until a listing 30 s later", func() {
		a := started(residency.Options{}, 10*gib, 1, "m1", "m2")
		a.ordered(m1, 5)
		a.order(engine.OrderLoad, engine.ErrUnknown)
		a.step(residency.Drain{})
		a.listAfter(29 * time.Second)
		Expect(a.s.MemoryBooked()).To(Equal(modelSize))
		Expect(count[residency.WriteObject](a)).To(BeZero())
		a.listAfter(2 * time.Second)
		Expect(a.s.MemoryBooked()).To(BeZero())
		Expect(count[residency.WriteObject](a)).To(Equal(1))
	})

	// Guards against a listing fetched before the order ended that settles it.
	It("ignores a listing older than the order", func() {
		a := started(residency.Options{}, 10*gib, 1, "m1")
		a.load("m1", 5, res("m1"))
		a.later(11 * time.Second).step(residency.Tick{})
		Expect(count[residency.FetchListing](a)).To(Equal(1))
		a.step(residency.Drain{})
		o := take[residency.SendOrder](a).Order
		a.step(residency.OrderDone{Order: o})
		a.list() // empty, but fetched before the order
		Expect(a.s.MemoryBooked()).To(Equal(modelSize))
		a.list()
		Expect(a.s.MemoryBooked()).To(BeZero())
	})

	// Guards against a write sent before that takes effect after the grant was taken for held again.
	It("does not load after a release with a lost answer before it is settled", func() {
		a := started(residency.Options{}, 10*gib, 1, "m1")
		a.load("m1", 5, res("m1"))
		a.step(residency.EngineLost{})
		a.list() // the engine restarted empty
		a.step(residency.Configured{Document: document(2, gib, 1, "m1")})
		a.want(m1, time.Minute) // does not fit any more, so the grant is given up
		Expect(take[residency.LoadFailed](a).Code).To(Equal(wire.CodeNoMemory))
		a.step(residency.Tick{})
		w := a.written(0, store.ErrUnknown)
		a.step(residency.Configured{Document: document(3, 10*gib, 1, "m1")})
		a.want(m1, time.Minute)
		read := take[residency.ReadObject](a)
		held := grant.Object{Ceiling: 1, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}
		a.step(residency.ObjectRead{Key: read.Key, Version: w.Expect, Value: held.Encode()})
		Expect(count[residency.AskPlace](a)).To(BeZero())
		Expect(a.s.Held()).To(Equal([]string{"m1"}))
		again := a.written(9, nil) // settles the first release: at most one of the two succeeds
		Expect(again.Expect).To(Equal(w.Expect))
		o, err := grant.Decode(a.written(10, nil).Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Holders()).To(Equal([]string{"vm1"}))
		Expect(count[residency.AskPlace](a)).To(Equal(1))
	})
})
