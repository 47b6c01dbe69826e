package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

// Guards against each message of an agent repeating all reports of all routers, which took 270 of 282 MB of the agents'
// messages on one day of decals-grown (scale-2).
var _ = Describe("relay of crash reports", func() {
	var relay *quarantine.Relay
	var a, b *quarantine.Reports
	at := time.Unix(1000, 0)
	crash := func(r *quarantine.Reports, fp uint64, upstream string) {
		r.RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: upstream, SentAt: at, At: at})
		r.RecordUpstreamEnd(at, upstream)
	}
	BeforeEach(func() {
		relay = quarantine.NewRelay(500)
		a, b = quarantine.NewReports("a", at), quarantine.NewReports("b", at)
	})

	It("sends each report until the router has acknowledged it", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.ReportsAfter(at, relay.LastSeq("a")))
		got, next := relay.ReportsFrom(0)
		Expect(got).To(HaveLen(1))
		got, _ = relay.ReportsFrom(0)
		Expect(got).To(HaveLen(1), "the message may have been lost")
		got, same := relay.ReportsFrom(next)
		Expect(got).To(BeEmpty())
		Expect(same).To(Equal(next))
		crash(b, 7, "u2")
		relay.Add(at, b.ReportsAfter(at, relay.LastSeq("b")))
		got, _ = relay.ReportsFrom(next)
		Expect(got).To(HaveLen(1))
	})

	It("is sent each report until it has received it", func() {
		crash(a, 7, "u1")
		Expect(a.ReportsAfter(at, relay.LastSeq("a"))).To(HaveLen(1))
		relay.Add(at, a.ReportsAfter(at, relay.LastSeq("a")))
		Expect(a.ReportsAfter(at, relay.LastSeq("a"))).To(BeEmpty())
		crash(a, 7, "u2")
		Expect(a.ReportsAfter(at, relay.LastSeq("a"))).To(HaveLen(1))
	})

	// Guards against losing the reports of a restarted router whose clock has been set back.
	It("is sent the reports of a process that numbers them lower than the previous process", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.ReportsAfter(at, relay.LastSeq("a")))
		restarted := quarantine.NewReports("a", at.Add(-time.Hour))
		crash(restarted, 7, "u2")
		Expect(restarted.ReportsAfter(at, relay.LastSeq("a"))).To(HaveLen(1))
	})

	It("sends all reports to a router that has the numbers of an earlier relay", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.ReportsAfter(at, 0))
		got, _ := relay.ReportsFrom(900)
		Expect(got).To(HaveLen(1))
		got, _ = relay.ReportsFrom(3)
		Expect(got).To(HaveLen(1))
	})

	It("splits reports that do not fit into one message", func() {
		for i := range 300 {
			crash(a, uint64(i), "u1")
		}
		for range 5 {
			relay.Add(at, a.ReportsAfter(at, relay.LastSeq("a")))
		}
		got, next := relay.ReportsFrom(0)
		Expect(len(got)).To(BeNumerically("<", 300))
		remaining, _ := relay.ReportsFrom(next)
		Expect(len(got) + len(remaining)).To(Equal(300))
	})

	It("drops expired reports", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.ReportsAfter(at, 0))
		next := relay.NextNumber()
		relay.Add(at.Add(time.Minute), nil)
		got, _ := relay.ReportsFrom(0)
		Expect(got).To(BeEmpty())
		Expect(relay.NextNumber()).To(Equal(next))
	})
})
