package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against checks that detect nothing: with them every seed would pass.
var _ = Describe("checks", func() {
	var c *checker
	BeforeEach(func() {
		c = newChecker(Shape{})
		c.recordSent("1", "loan", "/loan/x", []byte("b"))
		c.recordSent("2", "lookup", "/lookup/x", nil)
	})
	body := func(id string) uint64 { return c.requests[id].bodyHash }

	DescribeTable("detect a broken guarantee",
		func(rule string, act func()) {
			act()
			Expect(c.violations).To(ContainElement(ContainSubstring(" " + rule + ":")))
		},
		Entry("a loan that runs twice", "twice", func() { c.recordRun("1", "a", "/loan/x", body("1")); c.recordRun("1", "b", "/loan/x", body("1")) }),
		Entry("a refusal after a run", "refused", func() { c.recordRun("1", "a", "/loan/x", body("1")); c.recordRefusal("1") }),
		Entry("a run after a refusal", "refused", func() { c.recordRefusal("1"); c.recordRun("1", "a", "/loan/x", body("1")) }),
		Entry("a request that no caller sent", "unasked", func() { c.recordRun("9", "a", "/loan/x", 0) }),
		Entry("another target", "unasked", func() { c.recordRun("2", "a", "/lookup/y", body("2")) }),
		Entry("another body", "unasked", func() { c.recordRun("2", "a", "/lookup/x", 1) }),
		Entry("too many attempts", "attempts", func() {
			for range 3 {
				c.recordRun("2", "a", "/lookup/x", body("2"))
			}
		}),
	)

	It("detect retries beyond the limit", func() {
		at := time.Now()
		arrive := c.observer().RequestArrived
		for i := range int(standin.DefaultRetryLimit.Burst) + 2 {
			arrive("1", "a", at.Add(time.Duration(i)*100*time.Millisecond))
		}
		c.checkRetryLimit(standin.DefaultRetryLimit)
		Expect(c.violations).To(ConsistOf(ContainSubstring("budget: 59 repeats")))
	})

	// Guards against reporting permitted outcomes as violations.
	It("accept what the guarantees permit", func() {
		c.recordRun("2", "a", "/lookup/x", body("2"))
		c.recordRun("2", "b", "/lookup/x", body("2"))
		c.recordRefusal("2")
		c.recordRun("1", "a", "/loan/x", body("1"))
		Expect(c.violations).To(BeEmpty())
	})

	// Guards against reporting the effects of an injected disturbance as violations.
	It("track when a process was disturbed", func() {
		p := &process{lastDisturbed: time.Now().Add(-5 * time.Second)}
		Expect(p.undisturbedSince(time.Now().Add(-disturbanceGrace))).To(BeTrue())
		p.markDisturbed()
		Expect(p.undisturbedSince(time.Now().Add(-disturbanceGrace))).To(BeFalse())
	})
})
