package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

var _ = Describe("the proof that an instance is at its address", func() {
	const reuseAfter = 2 * time.Second
	start, boot := time.Unix(1000, 0), boottime.Instant(time.Hour)
	var s *fleet.State
	needsProof := func(at time.Duration) bool { return s.NeedsProof(start.Add(at), boot.Add(at), "u1", 100) }
	BeforeEach(func() {
		s = fleet.New()
		s.SetReuseAfter(reuseAfter)
		s.Put(start, upstreamWith("u1", "m"))
	})

	It("is not the entry of the list, which outlives the instance", func() {
		Expect(needsProof(0)).To(BeTrue())
	})

	It("is a report or a reply of the instance for less than the time after which its address is reused", func() {
		s.ApplyReport(start, reportHolding("u1", "m"))
		Expect(needsProof(reuseAfter - 100*time.Millisecond)).To(BeFalse())
		Expect(needsProof(reuseAfter)).To(BeTrue())
		s.RecordProof(start.Add(reuseAfter), "u1", 100)
		Expect(needsProof(reuseAfter + time.Second)).To(BeFalse())
		Expect(needsProof(2 * reuseAfter)).To(BeTrue())
	})

	// Guards against reports that look newer than what they say: an agent sends orders between the engine's reply and its report.
	It("is as old as the engine's reply to its agent", func() {
		r := reportHolding("u1", "m")
		r.AgeMS = 500
		s.ApplyReport(start, r)
		Expect(needsProof(reuseAfter - 600*time.Millisecond)).To(BeFalse())
		Expect(needsProof(reuseAfter - 500*time.Millisecond)).To(BeTrue())
	})

	It("is no reply of another instance under the id, and no event of a stream", func() {
		s.RecordProof(start, "u1", 200)
		s.RecordHeartbeat(start, "u1", 100)
		Expect(needsProof(0)).To(BeTrue())
	})

	// Guards against reports that waited in the socket of a process which stood still: they look new when they are read.
	DescribeTable("is not what the process reads after it stood still", func(clock time.Duration) {
		s.RecordTick(start, boot)
		s.ApplyReport(start, reportHolding("u1", "m"))
		const stall = 5 * time.Second
		now := start.Add(clock) // the clock does not count the time of a suspended VM
		Expect(s.NeedsProof(now, boot.Add(stall), "u1", 100)).To(BeTrue(), "before the first tick")
		s.ApplyReport(now, reportHolding("u1", "m"))
		s.RecordTick(now, boot.Add(stall))
		s.ApplyReport(now.Add(time.Millisecond), reportHolding("u1", "m"))
		Expect(s.NeedsProof(now.Add(2*time.Millisecond), boot.Add(stall), "u1", 100)).To(BeTrue(), "after the first tick")
		s.ApplyReport(now.Add(time.Second), reportHolding("u1", "m"))
		Expect(s.NeedsProof(now.Add(time.Second), boot.Add(stall), "u1", 100)).To(BeFalse(), "with a new report")
	},
		Entry("while frozen", 5*time.Second),
		Entry("while suspended", time.Duration(0)),
	)

	It("is not needed where addresses are not reused or the start is not known", func() {
		Expect(s.NeedsProof(start, boot, "u1", 0)).To(BeFalse())
		s.SetReuseAfter(0)
		Expect(needsProof(time.Hour)).To(BeFalse())
	})
})
