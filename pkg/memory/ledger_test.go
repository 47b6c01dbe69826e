package memory_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/memory"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memory")
}

func target(name string) engine.Target { return engine.Target{Model: name} }

var _ = Describe("ledger", func() {
	// Guards against a limit that ignores the engine's capacity or the configured limit.
	DescribeTable("limit", func(capacity, configured, want int64) {
		Expect(memory.Limit(capacity, configured)).To(Equal(want))
	},
		Entry("capacity is smaller", int64(10), int64(20), int64(10)),
		Entry("configured limit is smaller", int64(20), int64(10), int64(10)),
		Entry("no configured limit", int64(20), int64(0), int64(0)),
		Entry("nonsense", int64(-5), int64(10), int64(0)),
	)

	// Guards against overcommitment by a size that overflows, is negative, or fits only after an unconfirmed unload.
	It("refuses a reservation that does not fit", func() {
		var l memory.Ledger
		l.SetLimit(10)
		Expect(l.Reserve(target("a"), 6)).To(BeTrue())
		Expect(l.Reserve(target("b"), 5)).To(BeFalse())
		Expect(l.Reserve(target("b"), 1<<62+(1<<62-1))).To(BeFalse())
		Expect(l.Reserve(target("b"), -1)).To(BeFalse())
		Expect(l.Reserved()).To(Equal(int64(6)))
		l.Release(target("a"))
		Expect(l.Reserve(target("b"), 5)).To(BeTrue())
	})

	// Guards against entries that are lost or reduced when they exceed the limit.
	It("keeps entries that exceed the limit", func() {
		var l memory.Ledger
		l.SetLimit(10)
		l.Reserve(target("a"), 6)
		l.ForceReserve(target("b"), 7)
		l.ForceReserve(target("b"), 3)
		Expect([]int64{l.Reserved(), l.Excess(), l.Free()}).To(Equal([]int64{13, 3, 0}))
	})
})

var _ = Describe("eviction", func() {
	cs := []memory.Candidate{
		{Target: target("cheap"), Bytes: 1, Value: 1}, {Target: target("big"), Bytes: 8, Value: 2},
		{Target: target("dear"), Bytes: 4, Value: 3},
	}
	names := func(need int64) (out []string) {
		chosen, _ := memory.Evict(need, cs)
		for _, c := range chosen {
			out = append(out, c.Target.Model)
		}
		return out
	}
	// Guards against unloading more than needed, and against unloading anything when all candidates do not suffice.
	DescribeTable("chooses by value", func(need int64, want []string) {
		Expect(names(need)).To(Equal(want))
		_, ok := memory.Evict(need, cs)
		Expect(ok).To(Equal(need <= 13))
	},
		Entry("nothing needed", int64(0), nil),
		Entry("the cheapest suffices", int64(1), []string{"cheap"}),
		Entry("a later candidate makes the first unnecessary", int64(8), []string{"big"}),
		Entry("all", int64(13), []string{"cheap", "big", "dear"}),
		Entry("too much", int64(14), nil),
	)
})
