package capacity

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("the fit", func() {
	// Guards against slopes that only the largest size determines, and against residuals that hide a nonlinear quantity.
	It("fits a line whose residuals reveal a nonlinear quantity", func() {
		f := NewFit([]Point{{10, 25}, {100, 205}, {1000, 2005}})
		Expect(f.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(f.Intercept).To(BeNumerically("~", 5, 1e-9))
		Expect(f.WorstResidual()).To(BeNumerically("<", 1e-9))
		Expect(NewFit([]Point{{10, 100}, {100, 10000}, {1000, 1000000}}).WorstResidual()).To(BeNumerically(">", maxLinearResidual))
	})

	// Guards against a gossip interval that is computed from the wrong percentile of the ages.
	It("returns percentiles of ages", func() {
		Expect(percentile(map[int]int{1: 5, 2: 4, 9: 1}, 0.5)).To(Equal(1))
		Expect(percentile(map[int]int{1: 5, 2: 4, 9: 1}, 0.95)).To(Equal(9))
	})

	// Guards against samples that the decoders of the system reject, and series with fewer than three sizes.
	It("measures every series at its smallest size", func() {
		for _, s := range append(AllSeries(), gossipSeries()...) {
			Expect(len(s.Sizes)).To(BeNumerically(">=", 3), s.ID)
			if s.Unit == "B" || s.Unit == "calls" {
				Expect(s.Measure(s.Sizes[0])).To(BeNumerically(">", 0), s.ID)
			}
		}
	})
})
