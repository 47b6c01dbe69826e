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

// Guards against requests of a plain service that run at another one, which has started at the address under the id of their
// upstream (review/13).
var _ = DescribeTable("the instance of a plain service may have been replaced", func(want bool, happens func(s *fleet.State, at func(time.Duration) time.Time)) {
	start, boot := time.Unix(1000, 0), boottime.Instant(time.Hour)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	s := fleet.New()
	s.SetReuseAfter(2 * time.Second)
	s.Put(start, upstreamWith("u1", "m"))
	happens(s, at)
	Expect(s.MayBeReplaced(at(10*time.Second), boot.Add(10*time.Second), "u1", 100)).To(Equal(want))
},
	Entry("if nothing has been sent to it: no", false, func(*fleet.State, func(time.Duration) time.Time) {}),
	Entry("if it has not answered for long, and nothing was refused: no", false, func(s *fleet.State, at func(time.Duration) time.Time) {
		s.RecordAnswer(at(0), "u1", 100)
	}),
	Entry("if it has refused since it answered, long ago", true, func(s *fleet.State, at func(time.Duration) time.Time) {
		s.RecordAnswer(at(7900*time.Millisecond), "u1", 100)
		s.RecordRefused(at(8500*time.Millisecond), "u1", 100)
	}),
	Entry("if it has refused and never answered", true, func(s *fleet.State, at func(time.Duration) time.Time) {
		s.RecordRefused(at(9990*time.Millisecond), "u1", 100)
	}),
	Entry("if it has answered within the time after which its address is reused: no", false, func(s *fleet.State, at func(time.Duration) time.Time) {
		s.RecordAnswer(at(8100*time.Millisecond), "u1", 100)
		s.RecordRefused(at(8500*time.Millisecond), "u1", 100)
	}),
	Entry("if it has answered since it refused: no", false, func(s *fleet.State, at func(time.Duration) time.Time) {
		s.RecordRefused(at(7*time.Second), "u1", 100)
		s.RecordAnswer(at(7100*time.Millisecond), "u1", 100)
	}),
	Entry("if it answered a request that was sent before it refused", true, func(s *fleet.State, at func(time.Duration) time.Time) {
		s.RecordRefused(at(7*time.Second), "u1", 100)
		s.RecordAnswer(at(6900*time.Millisecond), "u1", 100)
	}),
	Entry("if the list still names it when another one would have registered: no", false, func(s *fleet.State, at func(time.Duration) time.Time) {
		s.RecordRefused(at(5900*time.Millisecond), "u1", 100)
	}),
	Entry("if the list names a later start", true, func(s *fleet.State, at func(time.Duration) time.Time) {
		later := upstreamWith("u1", "m")
		later.StartedUnixMS = 200
		s.Put(at(time.Second), later)
	}),
	Entry("if the list does not name it", true, func(s *fleet.State, at func(time.Duration) time.Time) { s.Remove(at(time.Second), "u1") }),
	Entry("if the router stood still after the answer", true, func(s *fleet.State, at func(time.Duration) time.Time) {
		boot := boottime.Instant(time.Hour)
		s.RecordTick(at(0), boot)
		s.RecordAnswer(at(9*time.Second), "u1", 100)
		s.RecordRefused(at(9500*time.Millisecond), "u1", 100)
		s.RecordTick(at(9600*time.Millisecond), boot.Add(9600*time.Millisecond))
	}),
)
