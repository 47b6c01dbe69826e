package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

var _ = Describe("an upstream of another service at the address of one that has ended", func() {
	const step = 50 * time.Millisecond
	start := time.Unix(1000, 0)

	// Guards against requests that run at another service: an upstream was taken to have the service of its predecessor at the
	// address, and what its entry said was ignored as long as its agent reported.
	DescribeTable("gets no requests for the service of its predecessor", func(restart, registration, interval time.Duration) {
		s := fleet.New()
		predecessor, u := upstreamWith("u1", "m"), upstreamWith("u2", "m")
		u.StartedUnixMS, u.Service = predecessor.StartedUnixMS+restart.Milliseconds(), "other"
		report := reportHolding("u2", "m")
		report.StartedUnixMS, report.Address = u.StartedUnixMS, u.Address
		s.Put(start, predecessor)
		for at := time.Duration(0); at < 10*time.Second; at += step {
			now := start.Add(at)
			if at >= restart && (at-restart)%interval == 0 {
				s.ApplyReport(now, report)
			}
			if at >= registration && (at-registration)%(1200*time.Millisecond) == 0 {
				s.Put(now, u)
			}
			if at == 3600*time.Millisecond {
				s.Remove(now, predecessor.ID)
			}
			for _, m := range s.Members(now, "llm") {
				Expect(m.ID).NotTo(Equal(u.ID), "%s after the start of the other", at-restart)
			}
			if at >= registration {
				Expect(s.Members(now, "other")).To(HaveLen(1))
				Expect(s.Members(now, "other")[0].Serves("m")).To(BeTrue())
			}
		}
	},
		Entry("registered with its start", 2500*time.Millisecond, 2500*time.Millisecond, 500*time.Millisecond),
		Entry("registered shortly after", 2500*time.Millisecond, 2550*time.Millisecond, 500*time.Millisecond),
		Entry("registered half an interval later", 2500*time.Millisecond, 3100*time.Millisecond, 500*time.Millisecond),
		Entry("registered an interval later, reported rarely", 2500*time.Millisecond, 3700*time.Millisecond, 1500*time.Millisecond),
		Entry("registered last, after its predecessor has lapsed", 2*time.Second, 5*time.Second, 500*time.Millisecond),
		Entry("at the address at once", 100*time.Millisecond, 700*time.Millisecond, 500*time.Millisecond),
	)
})
