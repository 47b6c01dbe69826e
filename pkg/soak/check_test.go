package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A check that notices nothing would let every seed pass.
var _ = Describe("checks", func() {
	var c *checker
	BeforeEach(func() {
		c = newChecker()
		c.sending("1", "loan", "/loan/x", []byte("b"))
		c.sending("2", "lookup", "/lookup/x", nil)
	})
	body := func(id string) uint64 { return c.requests[id].body }

	DescribeTable("notice a broken promise",
		func(rule string, play func()) {
			play()
			Expect(c.violated).To(ContainElement(ContainSubstring(" " + rule + ":")))
		},
		Entry("a loan that runs twice", "twice", func() { c.ran("1", "a", "/loan/x", body("1")); c.ran("1", "b", "/loan/x", body("1")) }),
		Entry("a refusal after a run", "refused", func() { c.ran("1", "a", "/loan/x", body("1")); c.promise("1") }),
		Entry("a run after a refusal", "refused", func() { c.promise("1"); c.ran("1", "a", "/loan/x", body("1")) }),
		Entry("a request that nobody sent", "unasked", func() { c.ran("9", "a", "/loan/x", 0) }),
		Entry("another target", "unasked", func() { c.ran("2", "a", "/lookup/y", body("2")) }),
		Entry("another body", "unasked", func() { c.ran("2", "a", "/lookup/x", 1) }),
		Entry("too many attempts", "attempts", func() {
			for range 3 {
				c.ran("2", "a", "/lookup/x", body("2"))
			}
		}),
	)

	It("allow what the promises allow", func() {
		c.ran("2", "a", "/lookup/x", body("2"))
		c.ran("2", "b", "/lookup/x", body("2"))
		c.promise("2")
		c.ran("1", "a", "/loan/x", body("1"))
		Expect(c.violated).To(BeEmpty())
	})

	It("tell which process was disturbed", func() {
		p := &process{disturbed: time.Now().Add(-5 * time.Second)}
		Expect(p.calmSince(time.Now().Add(-stable))).To(BeTrue())
		p.touch()
		Expect(p.calmSince(time.Now().Add(-stable))).To(BeFalse())
	})
})
