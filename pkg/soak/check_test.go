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

	Describe("of the other forms of the budget", func() {
		at := time.Now()
		arrive := func(n int, from time.Time) {
			for i := range n {
				c.recordArrival("2", "a", from.Add(time.Duration(i)*time.Millisecond))
			}
		}
		BeforeEach(func() { c.recordSender("2", 0, time.Second, causePart) })

		DescribeTable("detect more than two requests within the time of a Retry-After, from half a second on",
			func(n int, from time.Duration, disturbed time.Duration, broken bool) {
				c.disturbedAt = func(int) time.Time { return at.Add(disturbed) }
				c.recordTurnedAway("2", "a", at, 2*time.Second)
				arrive(n, at.Add(from))
				c.checkTurnedAway()
				Expect(len(c.violations) > 0).To(Equal(broken))
			},
			Entry(nil, 3, time.Second, -time.Second, true),
			Entry("two", 2, time.Second, -time.Second, false),
			Entry("too soon", 9, 100*time.Millisecond, -time.Second, false),
			Entry("too late", 9, 2100*time.Millisecond, -time.Second, false),
			Entry("the entry was disturbed", 9, time.Second, 500*time.Millisecond, false),
		)

		DescribeTable("detect what crashes runners and reaches them again and again",
			func(n int, from time.Duration, broken bool) {
				for i := range crashesKnown {
					c.recordRun("2", "a", "/lookup/x", body("2"))
					c.crashes[causePart][i] = at
				}
				c.violations = nil // of too many attempts
				arrive(n, at.Add(from))
				c.checkCrashing()
				Expect(len(c.violations) > 0).To(Equal(broken))
			},
			Entry(nil, 4, stableWindow+time.Second, true),
			Entry("three trials", 3, stableWindow+time.Second, false),
			Entry("before it can be known", 9, time.Second, false),
		)

		DescribeTable("detect deadlines that are longer than what is left",
			func(n int, first, second time.Duration, broken bool) {
				c.disturbedAt = func(int) time.Time { return at.Add(-time.Hour) }
				for range n {
					c.requests["2"].firstAt = time.Time{}
					c.recordDeadline("2", c.requests["2"].sent, first)
					c.recordDeadline("2", c.requests["2"].sent.Add(600*time.Millisecond), second)
				}
				c.checkDeadlines()
				Expect(len(c.violations) > 0).To(Equal(broken))
			},
			Entry("none", 21, time.Duration(-1), 400*time.Millisecond, true),
			Entry("too long at once", 21, 1600*time.Millisecond, 400*time.Millisecond, true),
			Entry("the same once more", 21, time.Second, time.Second, true),
			Entry("few", 20, time.Second, time.Second, false),
			Entry("what is left", 21, time.Second, 400*time.Millisecond, false),
		)
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
