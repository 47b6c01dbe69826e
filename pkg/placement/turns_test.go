package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

var _ = Describe("plan with turns", func() {
	var v placement.View
	BeforeEach(func() {
		v = view()
		v.Self.OnDisk = nil
		v.Upstreams[0] = v.Self
		v.Demand.Models["b"] = 1
		v.Turns = &placement.Turns{}
	})

	// Guards against fetches that an upstream starts on its own view of the queue, which is up to 1.5 s old.
	It("fetches only the model with a turn, whatever the routers have observed", func() {
		_, _, ok := placement.Plan(v)
		Expect(ok).To(BeFalse())
		v.Turns.Model = "b"
		v.Demand.Fetching, v.Demand.FetchConcurrency = []string{"x", "y"}, 1
		o, reason, ok := placement.Plan(v)
		Expect(ok).To(BeTrue())
		Expect(o).To(Equal(placement.Order{Model: "b"}))
		Expect(reason).To(Equal(placement.ReasonWaiting))
		v.FetchAllowed = false // the limit on started loads still holds
		_, _, ok = placement.Plan(v)
		Expect(ok).To(BeFalse())
	})

	It("preloads a model with a turn that no request waits for, and only into free memory or in place of a spare replica", func() {
		v.Turns.Model = "c"
		o, reason, ok := placement.Plan(v)
		Expect(ok).To(BeTrue())
		Expect(o).To(Equal(placement.Order{Model: "c"}))
		Expect(reason).To(Equal(placement.ReasonPreload))
		v.Engine.MemoryMB = 60
		_, _, ok = placement.Plan(v)
		Expect(ok).To(BeFalse())
	})

	It("does not wait for turns with models that have a cached copy", func() {
		v.Self.OnDisk = []string{"b"}
		o, _, ok := placement.Plan(v)
		Expect(ok).To(BeTrue())
		Expect(o).To(Equal(placement.Order{Model: "b"}))
	})

	// Guards against turns for models without room: they keep the store idle until they expire.
	It("wants the models that it would fetch with a turn, waiting ones first", func() {
		Expect(placement.Wants(v, 8)).To(Equal([]placement.Want{{Model: "b"}, {Model: "c", Preload: true}}))
		Expect(placement.Wants(v, 1)).To(HaveLen(1))
		v.Engine.MemoryMB = 60 // a yields to b, for which a request waits, but not to a preload
		Expect(placement.Wants(v, 8)).To(Equal([]placement.Want{{Model: "b"}}))
		v.Demand.ModelUsage = map[string]placement.ModelUsage{"a": {Running: 1}}
		Expect(placement.Wants(v, 8)).To(BeEmpty())
		v.FetchAllowed = false
		Expect(placement.Wants(v, 8)).To(BeEmpty())
	})

	It("wants a second copy of a model that it is offered", func() {
		other := catalog.Upstream{ID: "u2", Models: loaded("hot")}
		v.Engine.Models = models("a", "b", "hot")
		v.Upstreams = append(v.Upstreams, other)
		delete(v.Demand.Models, "b")
		v.Turns.Offered = "hot"
		Expect(placement.Wants(v, 8)).To(ContainElement(placement.Want{Model: "hot", Preload: true}))
	})
})
