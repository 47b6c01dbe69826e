package paired_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/paired"
)

func TestPaired(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "paired")
}

var _ = Describe("pairs", func() {
	It("give the mean difference with its standard error and interval", func() {
		s := paired.Compare([]float64{1, 2, 3, 4}, []float64{2, 4, 3, 6})
		Expect(s.Pairs).To(Equal(4))
		Expect(s.Mean).To(BeNumerically("~", 1.25, 1e-9))
		Expect(s.StdErr).To(BeNumerically("~", 0.478714, 1e-6))
		Expect(s.Low).To(BeNumerically("~", 1.25-3.182446*0.478714, 1e-5)) // t of 3 degrees of freedom at 0.975
		Expect(s.High).To(BeNumerically("~", 1.25+3.182446*0.478714, 1e-5))
	})

	// Guards against a single play that looks like a result.
	It("of one play or none have no interval", func() {
		for _, s := range []paired.Summary{paired.Summarize(nil), paired.Compare([]float64{1}, []float64{3})} {
			Expect(math.IsInf(s.Low, -1)).To(BeTrue())
			Expect(math.IsInf(s.High, 1)).To(BeTrue())
		}
	})

	// Guards against a difference between days that hides the difference between variants.
	It("do not depend on the spread between the conditions", func() {
		s := paired.Compare([]float64{0.2, 0.9, 0.5}, []float64{0.21, 0.91, 0.51})
		Expect(s.Low).To(BeNumerically(">", 0))
	})
})
