package policybench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/policybench"
)

var _ = Describe("keyed calls", func() {
	// Guards against claim modes that are compared on different calls, a fault without effect, and agents that have not
	// claimed their key slots before the calls are counted.
	DescribeTable("reach the decision", func(c policybench.ClaimMode, whenDown float64) {
		k := policybench.Keyed{Claims: c, Agents: 3, Rate: 100}
		healthy := policybench.SimulateKeyed(k, 1, 20*time.Second)
		Expect(policybench.SimulateKeyed(k, 1, 20*time.Second)).To(Equal(healthy))
		Expect(healthy.Served).To(Equal(healthy.Calls))
		k.Outage = true
		down := policybench.SimulateKeyed(k, 1, 20*time.Second)
		Expect(down.Calls).To(Equal(healthy.Calls))
		Expect(down.FaultCalls).To(BeNumerically(">", 0))
		Expect(float64(down.FaultServed)).To(Equal(whenDown * float64(down.FaultCalls)))
	},
		Entry("with package once", policybench.ClaimOwner, 1.0),
		Entry("with a write per call", policybench.ClaimWrite, 0.0),
		Entry("with grouped claims", policybench.ClaimGrouped, 0.0),
	)

	// Guards against calls that are answered by an agent after its loss.
	It("are not answered by a lost agent", func() {
		r := policybench.SimulateKeyed(policybench.Keyed{Claims: policybench.ClaimOwner, Agents: 3, Rate: 100, LoseAgent: true}, 1, 20*time.Second)
		Expect(r.FaultServed).To(And(BeNumerically(">", 0), BeNumerically("<", r.FaultCalls)))
		Expect(r.SteadyCalls).To(BeZero())
	})
})
