package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

var _ = Describe("silence", func() {
	var s *fleet.State
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	BeforeEach(func() {
		s = fleet.New()
		s.Put(start, holding("u1", "m"))
		s.ApplyReport(start, says("u1", "m"))
	})

	// Requests went to a frozen machine for three seconds, until its entry lapsed (decals, trouble-2).
	It("takes an upstream for silent after three questions without an answer", func() {
		Expect(s.Get("u1").Quiet(at(300))).To(BeFalse())
		Expect(s.Get("u1").Quiet(at(301))).To(BeTrue())
		Expect(s.RecordProbe(at(301), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(401), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(501), "u1")).To(BeTrue())
		Expect(s.RecordProbe(at(601), "u1")).To(BeFalse(), "it is no news")
		Expect(s.Get("u1").IsUnresponsive(at(700))).To(BeTrue())
	})

	It("counts a lost question and a late answer for nothing", func() {
		s.RecordProbe(at(301), "u1")
		s.RecordProbe(at(401), "u1")
		s.ApplyReport(at(450), says("u1", "m"))
		s.RecordProbe(at(801), "u1")
		Expect(s.Get("u1").IsUnresponsive(at(801))).To(BeFalse())
	})

	It("takes the events of a stream for a sign of life", func() {
		Expect(s.RecordHeartbeat(at(290), "u1")).To(BeFalse())
		Expect(s.Get("u1").Quiet(at(580))).To(BeFalse())
		for _, ms := range []int{600, 700, 800} {
			s.RecordProbe(at(ms), "u1")
		}
		Expect(s.RecordHeartbeat(at(900), "u1")).To(BeTrue())
		Expect(s.Get("u1").IsUnresponsive(at(900))).To(BeFalse())
	})

	// Without an end, an upstream whose agent is gone for good would get no request again.
	It("ends after a while, and begins again with three more questions", func() {
		for _, ms := range []int{301, 401, 501} {
			s.RecordProbe(at(ms), "u1")
		}
		Expect(s.Get("u1").IsUnresponsive(at(15501))).To(BeTrue())
		Expect(s.Get("u1").IsUnresponsive(at(15502))).To(BeFalse())
		Expect(s.RecordProbe(at(15600), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(15700), "u1")).To(BeFalse())
		Expect(s.RecordProbe(at(15800), "u1")).To(BeTrue())
	})

	It("is asked about less often than work", func() {
		for _, ms := range []int{301, 401, 501} {
			s.RecordProbe(at(ms), "u1")
		}
		Expect(s.Get("u1").Quiet(at(1500))).To(BeFalse())
		Expect(s.Get("u1").Quiet(at(1501))).To(BeTrue())
	})

	It("asks nothing of an upstream whose agent has never reported", func() {
		s.Put(start, holding("u2", "m"))
		Expect(s.Get("u2").Quiet(at(5000))).To(BeFalse())
	})
})
