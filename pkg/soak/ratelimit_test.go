package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the check of the rates that runners name", func() {
	var c *checker
	var start time.Time
	// arrivals records n arrivals through the entry, evenly within span from the offset on.
	arrivals := func(entry, n int, offset, span time.Duration) {
		c.recordEntry("r", entry)
		for i := range n {
			c.limits.arrive("r", "a", start.Add(offset+time.Duration(i)*span/time.Duration(n)))
		}
	}
	BeforeEach(func() {
		c, start = newChecker(Shape{}), time.Now()
	})

	DescribeTable("counts what arrives in any 4 s through entries that know the limit",
		func(n int, learned, offset time.Duration, broken bool) {
			end := c.limits.begin("a", 1)
			arrivals(0, 1, 0, time.Second)
			c.limits.learn(1, "a", start.Add(learned))
			arrivals(1, n, offset, 3900*time.Millisecond)
			end(start.Add(12 * time.Second))
			c.checkLimits()
			if broken {
				Expect(c.violations).To(ConsistOf(ContainSubstring("limit: 12 requests arrived at runner a in 4s, which named 1.00 per second: 11.0 allowed")))
			} else {
				Expect(c.violations).To(BeEmpty())
			}
		},
		Entry("what is allowed", 11, time.Duration(0), 5*time.Second, false),
		Entry("one more", 12, time.Duration(0), 5*time.Second, true),
		Entry("one more before the limit has settled", 12, time.Duration(0), 50*time.Millisecond, false),
		Entry("one more through an entry that has just learned the limit", 12, 8500*time.Millisecond, 5*time.Second, false),
	)

	It("excuses an entry that was disturbed until it has learned the limit again", func() {
		end := c.limits.begin("a", 1)
		arrivals(0, 1, 0, time.Second)
		c.limits.learn(1, "a", start)
		c.limits.forget(1)
		arrivals(1, 12, 5*time.Second, 3*time.Second)
		end(start.Add(12 * time.Second))
		c.checkLimits()
		Expect(c.violations).To(BeEmpty())
	})

	It("finds a runner that gets no requests", func() {
		end := c.limits.begin("a", 1)
		arrivals(0, 1, 0, time.Second)
		end(start.Add(20 * time.Second))
		c.checkLimits()
		Expect(c.violations).To(ConsistOf(ContainSubstring("starved: 1 requests arrived at runner a in 20.0 s")))
	})
})
