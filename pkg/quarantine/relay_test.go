package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

// Each message of an agent repeated all reports of all routers: 270 of 282 MB of the agents' messages on one day of
// decals-grown (scale-2).
var _ = Describe("relay of crash reports", func() {
	var relay *quarantine.Relay
	var a, b *quarantine.Reports
	at := time.Unix(1000, 0)
	crash := func(r *quarantine.Reports, fp uint64, upstream string) {
		r.RecordInterrupted(at, fp, upstream)
		r.RecordUpstreamEnd(at, upstream)
	}
	BeforeEach(func() {
		relay = quarantine.NewRelay(500)
		a, b = quarantine.NewReports("a", at), quarantine.NewReports("b", at)
	})

	It("passes each report on until the router has said that it has it", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.After(at, relay.LastSeq("a")))
		got, next := relay.ReportsFrom(0)
		Expect(got).To(HaveLen(1))
		got, _ = relay.ReportsFrom(0)
		Expect(got).To(HaveLen(1), "the message may have been lost")
		got, same := relay.ReportsFrom(next)
		Expect(got).To(BeEmpty())
		Expect(same).To(Equal(next))
		crash(b, 7, "u2")
		relay.Add(at, b.After(at, relay.LastSeq("b")))
		got, _ = relay.ReportsFrom(next)
		Expect(got).To(HaveLen(1))
	})

	It("is sent each report until it has it", func() {
		crash(a, 7, "u1")
		Expect(a.After(at, relay.LastSeq("a"))).To(HaveLen(1))
		relay.Add(at, a.After(at, relay.LastSeq("a")))
		Expect(a.After(at, relay.LastSeq("a"))).To(BeEmpty())
		crash(a, 7, "u2")
		Expect(a.After(at, relay.LastSeq("a"))).To(HaveLen(1))
	})

	// The clock of a router may have been set back between two of its processes.
	It("is sent the reports of a process that numbers them lower than the one before", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.After(at, relay.LastSeq("a")))
		again := quarantine.NewReports("a", at.Add(-time.Hour))
		crash(again, 7, "u2")
		Expect(again.After(at, relay.LastSeq("a"))).To(HaveLen(1))
	})

	It("gives all reports to a router that knows the numbers of an earlier relay", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.After(at, 0))
		got, _ := relay.ReportsFrom(900)
		Expect(got).To(HaveLen(1))
		got, _ = relay.ReportsFrom(3)
		Expect(got).To(HaveLen(1))
	})

	It("passes more reports than a message holds in several", func() {
		for i := range 300 {
			crash(a, uint64(i), "u1")
		}
		for range 5 {
			relay.Add(at, a.After(at, relay.LastSeq("a")))
		}
		got, next := relay.ReportsFrom(0)
		Expect(len(got)).To(BeNumerically("<", 300))
		rest, _ := relay.ReportsFrom(next)
		Expect(len(got) + len(rest)).To(Equal(300))
	})

	It("drops reports that count no longer", func() {
		crash(a, 7, "u1")
		relay.Add(at, a.After(at, 0))
		next := relay.NextNumber()
		relay.Add(at.Add(time.Minute), nil)
		got, _ := relay.ReportsFrom(0)
		Expect(got).To(BeEmpty())
		Expect(relay.NextNumber()).To(Equal(next))
	})
})
