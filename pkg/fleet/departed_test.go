package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

var _ = Describe("an upstream that was removed and is listed again", func() {
	const started = 100
	now := time.Unix(1000, 0)
	var s *fleet.State
	accepts := func(at time.Time) bool { return len(s.Members(at, "llm")) == 1 }
	put := func(at time.Time, startedUnixMS int64, draining bool) {
		u := upstreamWith("u1", "m")
		u.StartedUnixMS, u.Draining = startedUnixMS, draining
		s.Put(at, u)
	}
	BeforeEach(func() { s = fleet.New() })

	It("serves at once if it had lapsed while it lived", func() {
		put(now, started, false)
		s.Remove(now, "u1")
		put(now.Add(time.Second), started, false)
		Expect(accepts(now.Add(time.Second))).To(BeTrue())
	})

	// Guards against an upstream that never serves again, although its entry is not that of the copy.
	It("serves in a restored list once its registration would have lapsed, or its agent has reported", func() {
		put(now, started, false)
		s.Remove(now, "u1")
		s.RecordRestore(now.Add(time.Second))
		put(now.Add(time.Second), started, false)
		Expect(accepts(now.Add(4 * time.Second))).To(BeFalse())
		Expect(accepts(now.Add(5 * time.Second))).To(BeTrue())
		s.ApplyReport(now.Add(2*time.Second), reportHolding("u1", "m"))
		Expect(accepts(now.Add(2 * time.Second))).To(BeTrue())
	})

	It("does not serve if it was leaving, unless it is another instance", func() {
		put(now, started, true)
		s.Remove(now, "u1")
		s.RecordRestore(now.Add(time.Second))
		put(now.Add(time.Second), started, false)
		Expect(accepts(now.Add(time.Minute))).To(BeFalse())
		put(now.Add(2*time.Second), started+1, false)
		Expect(accepts(now.Add(2 * time.Second))).To(BeTrue())
	})

	It("serves if its instance is not known, since it may have started again", func() {
		put(now, 0, true)
		s.Remove(now, "u1")
		put(now.Add(time.Second), 0, false)
		Expect(accepts(now.Add(time.Second))).To(BeTrue())
	})
})

var _ = Describe("an upstream that leaves while the entry of its crashed predecessor is still listed", func() {
	const step = 100 * time.Millisecond
	start := time.Unix(1000, 0)

	// Guards against requests to an upstream that has left the list: its agent goes on reporting it, as the upstream serves on,
	// and was taken for the first sign of a later instance than the predecessor.
	DescribeTable("gets no requests once its entry is removed", func(restart, registration, removal time.Duration, relisted bool) {
		s := fleet.New()
		predecessor, u := upstreamWith("u1", "m"), upstreamWith("u2", "m")
		u.StartedUnixMS = predecessor.StartedUnixMS + restart.Milliseconds()
		report := reportHolding("u2", "m")
		report.StartedUnixMS, report.Address = u.StartedUnixMS, u.Address
		s.Put(start, predecessor)
		for at := time.Duration(0); at < 12*time.Second; at += step {
			now := start.Add(at)
			if at == registration {
				s.Put(now, u)
			}
			if at == removal {
				s.Remove(now, u.ID)
			}
			if relisted && at == removal+step {
				s.Sync(now, []catalog.Upstream{predecessor})
			}
			if at == 3600*time.Millisecond {
				s.Remove(now, predecessor.ID)
			}
			if at >= restart {
				s.ApplyReport(now, report)
			}
			if at >= removal {
				for _, m := range s.Members(now, "llm") {
					Expect(m.ID).NotTo(Equal(u.ID), "%s after the removal", at-removal)
				}
			}
		}
	},
		Entry("registered at its start", 300*time.Millisecond, 300*time.Millisecond, 2300*time.Millisecond, false),
		Entry("registered at its start, before a new listing", 300*time.Millisecond, 300*time.Millisecond, 2300*time.Millisecond, true),
		Entry("registered later, before a new listing", 300*time.Millisecond, 1500*time.Millisecond, 2300*time.Millisecond, true),
		Entry("back at once and gone at once", 100*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond, false),
		Entry("back late", 2*time.Second, 2*time.Second, 3*time.Second, false),
	)

	It("gets requests again once the list names it again", func() {
		s := fleet.New()
		predecessor, u := upstreamWith("u1", "m"), upstreamWith("u2", "m")
		u.StartedUnixMS++
		report := reportHolding("u2", "m")
		report.StartedUnixMS, report.Address = u.StartedUnixMS, u.Address
		s.Put(start, predecessor)
		s.Put(start, u)
		s.Remove(start, u.ID)
		Expect(s.ApplyReport(start, report)).To(BeTrue()) // the predecessor has ended
		Expect(s.Members(start, "llm")).To(BeEmpty())
		s.Put(start.Add(time.Second), u)
		Expect(s.Members(start.Add(time.Second), "llm")).To(HaveLen(1))
	})
})
