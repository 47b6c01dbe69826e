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

// agent steps one State and collects its actions, which the tests answer explicitly.
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

// advance moves the clock forward and returns the agent.
func (a *agent) advance(d time.Duration) *agent { a.now = a.now.Add(d); return a }

// takeAction removes and returns the oldest action of a type.
func takeAction[T residency.Action](a *agent) T {
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

func countActions[T residency.Action](a *agent) int {
	n := 0
	for _, act := range a.actions {
		if _, ok := act.(T); ok {
			n++
		}
	}
	return n
}

// answerListing answers the outstanding FetchListing with the given residents.
func (a *agent) answerListing(rs ...engine.Resident) {
	GinkgoHelper()
	takeAction[residency.FetchListing](a)
	a.step(residency.Listed{Listing: engine.Listing{Epoch: "e", MemoryBytes: 100 * gib, Resident: rs}})
}

// answerListingAfter advances the clock, sends a Tick and answers the FetchListing that it causes.
func (a *agent) answerListingAfter(d time.Duration, rs ...engine.Resident) {
	GinkgoHelper()
	a.advance(d).step(residency.Tick{})
	a.answerListing(rs...)
}

// readObjects reports o as the result of a read for each of the models; nil stands for an absent object.
func (a *agent) readObjects(o *grant.Object, models ...string) {
	for _, m := range models {
		ev := residency.ObjectRead{Key: grant.Key(m)}
		if o != nil {
			ev.Version, ev.Value = 1, o.Encode()
		}
		a.step(ev)
	}
}

// configuredAgent returns an agent with a configuration and an empty listing.
func configuredAgent(o residency.Options, limit int64, replicas int, models ...string) *agent {
	a := newAgent(o)
	a.step(residency.Configured{Document: document(1, limit, replicas, models...)})
	a.answerListing()
	return a
}

// startedAgent returns an agent with a configuration, an empty listing and no grants.
func startedAgent(o residency.Options, limit int64, replicas int, models ...string) *agent {
	a := configuredAgent(o, limit, replicas, models...)
	a.readObjects(nil, models...)
	return a
}

func (a *agent) requestLoad(id engine.Target, d time.Duration) {
	a.step(residency.LoadRequested{Target: id, Deadline: a.now.Add(d)})
}

// completeOrder answers the outstanding order, which has to be of the given kind, and then the listing.
func (a *agent) completeOrder(kind engine.OrderKind, err error, rs ...engine.Resident) {
	GinkgoHelper()
	o := takeAction[residency.SendOrder](a).Order
	Expect(o.Kind).To(Equal(kind))
	a.step(residency.OrderDone{Order: o, Err: err})
	a.answerListing(rs...)
}

// completeWrite answers the outstanding write and returns it.
func (a *agent) completeWrite(version uint64, err error) residency.WriteObject {
	GinkgoHelper()
	w := takeAction[residency.WriteObject](a)
	a.step(residency.ObjectWritten{Key: w.Key, Version: version, Err: err})
	return w
}

// issuePermit issues the load permit that the agent requested.
func (a *agent) issuePermit() {
	GinkgoHelper()
	a.step(residency.PermitIssued{ID: takeAction[residency.RequestPermit](a).Request.ID})
}

// prepareLoad requests the load of a target and answers the acquisition of its grant and the permit request, so that
// the load order is sent.
func (a *agent) prepareLoad(id engine.Target, version uint64) {
	GinkgoHelper()
	a.requestLoad(id, time.Minute)
	a.completeWrite(version, nil)
	a.issuePermit()
}

// load loads a model under a new grant and advances the clock by 2 s.
func (a *agent) load(name string, version uint64, rs ...engine.Resident) {
	GinkgoHelper()
	a.prepareLoad(engine.Target{Model: name}, version)
	a.completeOrder(engine.OrderLoad, nil, rs...)
	takeAction[residency.Ready](a)
	a.advance(2 * time.Second)
}

func loadedModel(name string) engine.Resident {
	return engine.Resident{Target: engine.Target{Model: name}}
}

var (
	m1 = engine.Target{Model: "m1"}
	m2 = engine.Target{Model: "m2"}
	a1 = engine.Target{Model: "m1", Adapter: "m1-a"}
)

var _ = Describe("loading", func() {
	// Guards against one order per waiting request and against a load without grant, reserved memory and load permit.
	It("sends one order for many requests", func() {
		a := startedAgent(residency.Options{}, 10*gib, 1, "m1")
		for range 5 {
			a.requestLoad(m1, time.Minute)
		}
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.completeWrite(5, nil)
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.issuePermit()
		Expect(countActions[residency.SendOrder](a)).To(Equal(1))
		Expect(a.s.MemoryReserved()).To(Equal(modelSize))
		a.advance(3*time.Second).completeOrder(engine.OrderLoad, nil, loadedModel("m1"))
		Expect(takeAction[residency.Ready](a)).To(Equal(residency.Ready{Target: m1, Waited: 3 * time.Second}))
		Expect(countActions[residency.Ready](a)).To(BeZero())
		Expect(a.s.Stats()).To(Equal(residency.Stats{Loads: 1, LoadTime: 3 * time.Second, IdleAccelerators: 3 * time.Second}))
		Expect(countActions[residency.ReleasePermit](a)).To(Equal(1))
		Expect(a.s.IsReady(m1)).To(BeTrue())
		Expect(a.s.PredictedWait(m1, a.now)).To(BeZero())
	})

	// Guards against a load that waits for ever for an unresponsive coordinator, and against one that bypasses the
	// coordinator's queue.
	It("loads without a permit after 250 ms unless the permit request is queued", func() {
		for _, queued := range []bool{false, true} {
			a := startedAgent(residency.Options{}, 10*gib, 1, "m1")
			a.requestLoad(m1, time.Minute)
			a.completeWrite(5, nil)
			a.advance(249 * time.Millisecond).step(residency.Tick{})
			Expect(countActions[residency.SendOrder](a)).To(BeZero())
			if queued {
				a.step(residency.PermitQueued{ID: takeAction[residency.RequestPermit](a).Request.ID})
			}
			a.advance(time.Millisecond).step(residency.Tick{})
			Expect(countActions[residency.SendOrder](a) == 1).To(Equal(!queued))
		}
	})

	// Guards against an order before a listing was fetched after the previous order, and against an order that reuses a
	// refused fencing number.
	It("fetches a listing and uses a much larger fencing number after a refusal of the number", func() {
		a := startedAgent(residency.Options{}, 10*gib, 1, "m1")
		a.prepareLoad(m1, 5)
		o := takeAction[residency.SendOrder](a).Order
		a.step(residency.OrderDone{Order: o, Err: engine.ErrStaleFence})
		a.advance(time.Second).step(residency.Tick{}) // long enough for a load without a permit
		Expect(countActions[residency.SendOrder](a)).To(BeZero())
		a.answerListing()
		a.issuePermit()
		Expect(takeAction[residency.SendOrder](a).Order.Fence).To(BeNumerically(">", o.Fence+1<<39))
	})

	// Guards against a refusal without the VMs that have a grant, which routers use as hints.
	It("refuses with the holders when the ceiling is reached", func() {
		a := configuredAgent(residency.Options{}, 10*gib, 1, "m1")
		a.readObjects(&grant.Object{Ceiling: 1, Stamp: config.Stamp{Version: 1, Digest: "d"}, Grants: []grant.Grant{{VM: "vm2"}}}, "m1")
		a.requestLoad(m1, time.Minute)
		f := takeAction[residency.LoadFailed](a)
		Expect(f.Code).To(Equal(wire.CodeNoReplica))
		Expect(f.Holders).To(Equal([]string{"vm2"}))
		Expect(countActions[residency.WriteObject](a)).To(BeZero())
	})
})

var _ = Describe("unknown outcomes", func() {
	// Guards against memory or a grant that is freed while a load with an unknown outcome may still take effect.
	It("keeps memory and grant of a load with an unknown outcome until a listing 30 s later", func() {
		a := startedAgent(residency.Options{}, 10*gib, 1, "m1", "m2")
		a.prepareLoad(m1, 5)
		a.completeOrder(engine.OrderLoad, engine.ErrUnknown)
		a.step(residency.Drain{})
		a.answerListingAfter(29 * time.Second)
		Expect(a.s.MemoryReserved()).To(Equal(modelSize))
		Expect(countActions[residency.WriteObject](a)).To(BeZero())
		a.answerListingAfter(2 * time.Second)
		Expect(a.s.MemoryReserved()).To(BeZero())
		Expect(countActions[residency.WriteObject](a)).To(Equal(1))
	})

	// Guards against an order resolved by a listing that was fetched before the order ended.
	It("ignores a listing older than the order", func() {
		a := startedAgent(residency.Options{}, 10*gib, 1, "m1")
		a.load("m1", 5, loadedModel("m1"))
		a.advance(11 * time.Second).step(residency.Tick{})
		Expect(countActions[residency.FetchListing](a)).To(Equal(1))
		a.step(residency.Drain{})
		o := takeAction[residency.SendOrder](a).Order
		a.step(residency.OrderDone{Order: o})
		a.answerListing() // empty, but fetched before the order
		Expect(a.s.MemoryReserved()).To(Equal(modelSize))
		a.answerListing()
		Expect(a.s.MemoryReserved()).To(BeZero())
	})

	// Guards against a load while a release with an unknown outcome may still take effect and remove the grant.
	It("does not load after a release with a lost reply before the release is resolved", func() {
		a := startedAgent(residency.Options{}, 10*gib, 1, "m1")
		a.load("m1", 5, loadedModel("m1"))
		a.step(residency.EngineLost{})
		a.answerListing() // the engine restarted empty
		a.step(residency.Configured{Document: document(2, gib, 1, "m1")})
		a.requestLoad(m1, time.Minute) // does not fit any more, so the grant is released
		Expect(takeAction[residency.LoadFailed](a).Code).To(Equal(wire.CodeNoMemory))
		a.step(residency.Tick{})
		w := a.completeWrite(0, store.ErrUnknown)
		a.step(residency.Configured{Document: document(3, 10*gib, 1, "m1")})
		a.requestLoad(m1, time.Minute)
		read := takeAction[residency.ReadObject](a)
		granted := grant.Object{Ceiling: 1, Grants: []grant.Grant{{VM: "vm1", Incarnation: "new"}}}
		a.step(residency.ObjectRead{Key: read.Key, Version: w.Expect, Value: granted.Encode()})
		Expect(countActions[residency.RequestPermit](a)).To(BeZero())
		Expect(a.s.GrantedModels()).To(Equal([]string{"m1"}))
		retry := a.completeWrite(9, nil) // resolves the first release, because at most one of the two writes succeeds
		Expect(retry.Expect).To(Equal(w.Expect))
		o, err := grant.Decode(a.completeWrite(10, nil).Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Holders()).To(Equal([]string{"vm1"}))
		Expect(countActions[residency.RequestPermit](a)).To(Equal(1))
	})
})
