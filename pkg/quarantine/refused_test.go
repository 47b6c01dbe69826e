package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

var _ = Describe("stored refusals", func() {
	const fp = 1<<63 + 7 // more digits than a floating-point number holds
	at := time.Unix(1000, 0)
	crash := func(r *quarantine.Reports, now time.Time, fp uint64) {
		upstream := fmt.Sprint("u", now.UnixNano())
		r.RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: upstream, SentAt: now, At: now})
		r.RecordUpstreamEnd(now, upstream)
	}
	crashThrice := func(r *quarantine.Reports) {
		for i := range 3 {
			crash(r, at.Add(time.Duration(i)*time.Second), fp)
		}
	}

	// Guards against a request that crashes three more upstreams after each restart of all processes.
	It("are known to a router that starts later", func() {
		a := quarantine.NewReports("a", at)
		crashThrice(a)
		now := at.Add(time.Minute)
		for _, own := range []bool{true, false} {
			b := quarantine.NewReports("b", now)
			b.Restore(now, a.OwnRefusals(now), own)
			Expect(b.IsQuarantined(now, fp)).To(BeTrue())
			Expect(b.IsQuarantined(now.Add(5*time.Minute), fp)).To(BeFalse(), "the trial follows the last crash, not the restart")
		}
	})

	It("do not count again the crashes that relays report as well", func() {
		a, b := quarantine.NewReports("a", at), quarantine.NewReports("b", at)
		crashThrice(a)
		now := at.Add(4 * time.Second)
		b.Restore(now, a.OwnRefusals(now), false)
		b.Merge(now, a.ReportsAfter(now, 0))
		Expect(b.IsQuarantined(at.Add(6*time.Minute), fp)).To(BeFalse())
	})

	// Guards against a write that drops what an earlier process of the router has stored.
	It("are kept by the router that has stored them, and only by it", func() {
		a := quarantine.NewReports("a", at)
		crashThrice(a)
		stored := a.OwnRefusals(at)
		restarted, other := quarantine.NewReports("a", at), quarantine.NewReports("b", at)
		restarted.Restore(at, stored, true)
		other.Restore(at, stored, false)
		Expect(restarted.OwnRefusals(at)).To(HaveLen(1))
		Expect(other.OwnRefusals(at)).To(BeEmpty())
	})

	It("are dropped, with a new version, once the request has been answered", func() {
		a := quarantine.NewReports("a", at)
		crashThrice(a)
		version := a.OwnRefusalsVersion()
		a.RecordRequestAnswered(at.Add(time.Hour), fp)
		Expect(a.OwnRefusals(at.Add(time.Hour))).To(BeEmpty())
		Expect(a.OwnRefusalsVersion()).To(BeNumerically(">", version))
	})

	It("are bounded, the latest first", func() {
		a := quarantine.NewReports("a", at)
		for i := range 400 {
			for j := range 3 {
				crash(a, at.Add(time.Duration(3*i+j)*time.Second), uint64(i))
			}
		}
		stored := a.OwnRefusals(at.Add(time.Hour))
		Expect(len(stored)).To(BeNumerically("<", 400))
		Expect(stored[0].LastUnixMS).To(BeNumerically(">", stored[1].LastUnixMS))
	})

	It("that this program has not written are passed over", func() {
		a := quarantine.NewReports("a", at)
		a.Restore(at, []quarantine.RefusedRequest{{Fingerprint: "?"}, {Fingerprint: "7"}, {Fingerprint: "8", Crashes: []quarantine.StoredCrash{{Upstream: "-"}}}}, true)
		Expect(a.OwnRefusals(at)).To(BeEmpty())
	})
})
