package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// Guards against orders that use memory or an adapter slot which an unanswered order may still take, and against
// evictions for a reservation that ends by itself.
var _ = Describe("reservation for unanswered orders", func() {
	adapterX := placement.Adapter{Model: "a", Name: "x"}

	It("delays a load and evicts nothing", func() {
		v := view()
		v.Demand.Models["b"] = 1
		v.Reserved.MemoryMB = 20
		_, _, ok := placement.Plan(v)
		Expect(ok).To(BeTrue(), "60 MB are free for 40 MB")
		v.Reserved.MemoryMB = 40
		_, _, ok = placement.Plan(v)
		Expect(ok).To(BeFalse())
		Expect(v.AvailableMemory().FreeMB).To(BeNumerically("==", 20))
		v.Self.Models = loaded("a", "c")
		o, _, _ := placement.Plan(v)
		Expect(o.Unload).To(BeTrue(), "20 MB would be too little without the reservation, too")
	})

	It("delays the load of an adapter and evicts nothing", func() {
		v := view()
		v.Self.Models[0].Adapters = []string{"y"}
		v.Demand.Adapters[adapterX] = 1
		for _, r := range []placement.Reserved{{AdapterSlots: 1}, {MemoryMB: 60}} {
			v.Reserved = r
			_, _, ok := placement.Plan(v)
			Expect(ok).To(BeFalse())
		}
		v.Reserved = placement.Reserved{MemoryMB: 40}
		o, _, _ := placement.Plan(v)
		Expect(o).To(Equal(placement.Order{Model: "a", Adapter: "x"}))
	})
})
