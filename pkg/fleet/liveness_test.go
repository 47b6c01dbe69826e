package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

var _ = Describe("liveness", func() {
	var s *fleet.State
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	BeforeEach(func() {
		s = fleet.New()
		s.Put(start, upstreamWith("u1", "m"))
		s.ApplyReport(start, reportHolding("u1", "m"))
	})

	// Guards against requests that go to a frozen machine until its entry expires, which took three seconds (decals,
	// trouble-2).
	It("treats an upstream as unresponsive after three unanswered probes", func() {
		Expect(s.Get("u1").NeedsProbe(at(300))).To(BeFalse())
		Expect(s.Get("u1").NeedsProbe(at(301))).To(BeTrue())
		Expect(s.RecordProbe(at(301), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(401), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(501), "u1")).To(BeTrue())
		Expect(s.RecordProbe(at(601), "u1")).To(BeFalse(), "it is unresponsive already")
		Expect(s.Get("u1").IsUnresponsive(at(700))).To(BeTrue())
	})

	It("tolerates a lost probe and a late reply", func() {
		s.RecordProbe(at(301), "u1")
		s.RecordProbe(at(401), "u1")
		s.ApplyReport(at(450), reportHolding("u1", "m"))
		s.RecordProbe(at(801), "u1")
		Expect(s.Get("u1").IsUnresponsive(at(801))).To(BeFalse())
	})

	It("counts the events of a stream as heartbeats", func() {
		Expect(s.RecordHeartbeat(at(290), "u1", 0)).To(BeFalse())
		Expect(s.Get("u1").NeedsProbe(at(580))).To(BeFalse())
		for _, ms := range []int{600, 700, 800} {
			s.RecordProbe(at(ms), "u1")
		}
		Expect(s.RecordHeartbeat(at(900), "u1", 0)).To(BeTrue())
		Expect(s.Get("u1").IsUnresponsive(at(900))).To(BeFalse())
	})

	// Guards against an upstream whose agent has ended for good and that never gets a request again.
	It("ends after a while, and starts again after three more probes", func() {
		for _, ms := range []int{301, 401, 501} {
			s.RecordProbe(at(ms), "u1")
		}
		Expect(s.Get("u1").IsUnresponsive(at(15501))).To(BeTrue())
		Expect(s.Get("u1").IsUnresponsive(at(15502))).To(BeFalse())
		Expect(s.RecordProbe(at(15600), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(15700), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(15800), "u1")).To(BeTrue())
	})

	It("reduces the rate of probes", func() {
		for _, ms := range []int{301, 401, 501} {
			s.RecordProbe(at(ms), "u1")
		}
		Expect(s.Get("u1").NeedsProbe(at(1500))).To(BeFalse())
		Expect(s.Get("u1").NeedsProbe(at(1501))).To(BeTrue())
	})

	It("does not probe an upstream whose agent has never reported", func() {
		s.Put(start, upstreamWith("u2", "m"))
		Expect(s.Get("u2").NeedsProbe(at(5000))).To(BeFalse())
	})

	// Guards against a restart of the agent that aborts the streams of an engine that works on them (review case 3).
	It("is not unresponsive while its engine replies to queries and only its agent is unresponsive", func() {
		m := s.Get("u1")
		for _, ms := range []int{301, 401, 501} {
			Expect(m.NeedsQuery(at(ms))).To(BeFalse(), "the first probe alone is usually answered")
			s.RecordProbe(at(ms), "u1")
			if ms == 401 {
				Expect(m.NeedsQuery(at(ms))).To(BeTrue())
				Expect(s.RecordHeartbeat(at(405), "u1", 0)).To(BeFalse())
			}
		}
		Expect(m.IsAgentUnresponsive()).To(BeTrue(), "the engine's replies are not the agent's")
		Expect(m.IsUnresponsive(at(600))).To(BeFalse())
		Expect(s.TakeConfirmedUnresponsive(at(900))).To(BeEmpty())
		Expect(m.NeedsQuery(at(600))).To(BeFalse())
		s.RecordProbe(at(706), "u1")
		Expect(m.NeedsQuery(at(706))).To(BeTrue(), "the engine of an unresponsive agent is queried with each probe")
		s.ApplyReport(at(1000), reportHolding("u1", "m"))
		Expect(m.IsAgentUnresponsive()).To(BeFalse())
	})

	// Guards against a machine that freezes while its agent is unresponsive already, and against streams that stall there for
	// more than about a second.
	It("has its attempts aborted once, within 0.9 s of its last heartbeat, if neither agent nor engine replies", func() {
		var aborted []string
		for _, start := range []int{0, 5000} { // the agent is unresponsive at the second freeze
			s.RecordHeartbeat(at(start), "u1", 0)
			for ms := start + 50; ms <= start+900; ms += 100 { // the router's ticks
				if s.Get("u1").NeedsProbe(at(ms)) {
					s.RecordProbe(at(ms), "u1")
				}
				if s.Get("u1").IsUnresponsive(at(ms)) && len(aborted) == 0 {
					Expect(s.Get("u1").NeedsQuery(at(ms))).To(BeTrue(), "one lost reply must not abort attempts")
				}
				aborted = append(aborted, s.TakeConfirmedUnresponsive(at(ms))...)
			}
			Expect(s.Get("u1").IsUnresponsive(at(start + 900))).To(BeTrue())
		}
		Expect(aborted).To(Equal([]string{"u1", "u1"}))
	})

	// Guards against an abort after a reply that was late: the requests go elsewhere until it comes, the attempts stay.
	It("keeps its attempts if the engine replies shortly after it became unresponsive", func() {
		for _, ms := range []int{301, 401, 501} {
			s.RecordProbe(at(ms), "u1")
		}
		Expect(s.Get("u1").IsUnresponsive(at(501))).To(BeTrue())
		Expect(s.TakeConfirmedUnresponsive(at(800))).To(BeEmpty())
		Expect(s.RecordHeartbeat(at(800), "u1", 0)).To(BeTrue())
		Expect(s.TakeConfirmedUnresponsive(at(900))).To(BeEmpty())
	})
})
