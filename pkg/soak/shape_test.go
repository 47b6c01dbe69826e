package soak

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against seeds that lose their meaning since the default shape has changed.
var _ = Describe("shapes", func() {
	It("leave the default as it was when its seeds were recorded", func() {
		s, err := ShapeNamed("default")
		Expect(err).NotTo(HaveOccurred())
		s = s.withDefaults()
		Expect([]int{s.allEntries(), s.Engines, s.PlainServices, s.Callers, s.MaxAttempts}).To(Equal([]int{3, 4, 2, 8, 2}))
		Expect(s.Mix).To(Equal([]Kind{{"report", 12}, {"chat", 12}, {"loan", 0}, {"lookup", 0}, {"new", 0}}))
		Expect(s.Retries).To(Equal(standin.RetryLimit{Ratio: 0.2, Burst: 58, Window: 10e9}))
	})

	It("keep what a named shape says", func() {
		s, err := ShapeNamed("traitvif")
		Expect(err).NotTo(HaveOccurred())
		s = s.withDefaults()
		Expect([]int{s.Entries, s.Engines, s.PlainServices, s.MaxAttempts}).To(Equal([]int{4, 9, 3, 2}))
		Expect(s.Retries.Burst).To(Equal(54.0))
		Expect(s.retryable("report")).To(BeTrue())
		s.NotResumable = true
		Expect(s.retryable("report")).To(BeFalse())
	})

	It("are refused if unknown", func() {
		_, err := ShapeNamed("none")
		Expect(err).To(MatchError(ContainSubstring("traitvif")))
	})
})
