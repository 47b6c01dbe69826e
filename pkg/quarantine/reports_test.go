package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

var _ = Describe("crash reports of routers", func() {
	var a, b *quarantine.Reports
	at := time.Unix(1000, 0)
	crash := func(r *quarantine.Reports, fp uint64, upstream string) {
		r.RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: upstream, SentAt: at, At: at})
		r.RecordUpstreamEnd(at.Add(time.Second), upstream)
	}
	BeforeEach(func() {
		a, b = quarantine.NewReports("a", at), quarantine.NewReports("b", at)
	})

	// Guards against a caller's retries arriving at other routers, each of which lets the request crash three
	// upstreams.
	It("counts the crashes that other routers have reported", func() {
		crash(a, 7, "u1")
		crash(a, 7, "u2")
		crash(b, 7, "u3")
		Expect(a.IsQuarantined(at, 7)).To(BeFalse())
		a.Merge(at, b.ReportsAfter(at, 0))
		a.Merge(at, b.ReportsAfter(at, 0)) // the same report twice counts once
		Expect(a.IsQuarantined(at, 7)).To(BeTrue())
		Expect(a.IsQuarantined(at, 8)).To(BeFalse())
	})

	// Guards against taking answers that are lost while the upstream keeps running for crashes.
	It("does not count interrupted attempts at upstreams that keep running", func() {
		for range 5 {
			a.RecordInterrupted(quarantine.Interruption{Fingerprint: 7, Upstream: "u1", SentAt: at, At: at})
		}
		Expect(a.IsQuarantined(at, 7)).To(BeFalse())
	})

	It("does not count an end of the upstream long after the attempt", func() {
		for _, u := range []string{"u1", "u2", "u3"} {
			a.RecordInterrupted(quarantine.Interruption{Fingerprint: 7, Upstream: u, SentAt: at, At: at})
			a.RecordUpstreamEnd(at.Add(10*time.Second), u)
		}
		Expect(a.IsQuarantined(at.Add(10*time.Second), 7)).To(BeFalse())
	})

	It("sends no more reports than fit into a message", func() {
		for i := range 200 {
			crash(a, uint64(i), "u1")
		}
		Expect(len(a.ReportsAfter(at, 0))).To(BeNumerically("<=", quarantine.MaxReports))
	})

	// Guards against decisions that take longer the more crashes have been reported: each decision on a request asks.
	It("finds the crashes of a request without going through all reports", func() {
		perCall := func(reports int) float64 {
			r := quarantine.NewReports("a", at)
			for i := range reports {
				r.Merge(at, []quarantine.Report{{Fingerprint: uint64(100 + i), Reporter: "b", Seq: uint64(i)}})
			}
			least := time.Minute // of several measurements, since others may use the processor meanwhile
			for range 5 {
				start := time.Now()
				for range 20_000 {
					r.IsQuarantined(at, 7)
				}
				least = min(least, time.Since(start))
			}
			return least.Seconds()
		}
		few := perCall(10)
		Expect(perCall(4000)).To(BeNumerically("<", 50*few+0.05))
	})
})
