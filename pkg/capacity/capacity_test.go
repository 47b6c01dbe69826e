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
	// Guards against slopes that the largest size alone decides, and against residuals that hide a bent curve.
	It("finds a line and shows what is none", func() {
		f := NewFit([]Point{{10, 25}, {100, 205}, {1000, 2005}})
		Expect(f.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(f.Intercept).To(BeNumerically("~", 5, 1e-9))
		Expect(f.WorstResidual()).To(BeNumerically("<", 1e-9))
		Expect(NewFit([]Point{{10, 100}, {100, 10000}, {1000, 1000000}}).WorstResidual()).To(BeNumerically(">", linear))
	})

	// Guards against an interval of the gossip comparison from the wrong percentile.
	It("gives half of the ages below the median", func() {
		Expect(percentile(map[int]int{1: 5, 2: 4, 9: 1}, 0.5)).To(Equal(1))
		Expect(percentile(map[int]int{1: 5, 2: 4, 9: 1}, 0.95)).To(Equal(9))
	})

	// Guards against samples that the real decoders refuse, and series without three sizes for their slope.
	It("measures every series at its smallest size", func() {
		for _, s := range append(AllSeries(), gossipSeries()...) {
			Expect(len(s.Sizes)).To(BeNumerically(">=", 3), s.ID)
			if s.Unit == "B" || s.Unit == "calls" {
				Expect(s.Measure(s.Sizes[0])).To(BeNumerically(">", 0), s.ID)
			}
		}
	})
})
