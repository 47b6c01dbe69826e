package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

var _ = Describe("a request that crashes upstreams", func() {
	const fp = 7
	var routers []*quarantine.Reports
	at := time.Unix(1000, 0)
	BeforeEach(func() {
		routers = nil
		for i := range 3 {
			routers = append(routers, quarantine.NewReports(fmt.Sprint("edge-", i), at))
		}
	})
	// crash records at a router that an upstream ended while it ran the request.
	crash := func(router int, now time.Time, fp uint64) {
		upstream := fmt.Sprint("u", now.UnixNano())
		routers[router].RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: upstream, SentAt: now, At: now})
		routers[router].RecordUpstreamEnd(now, upstream)
	}
	share := func(now time.Time) {
		for _, from := range routers {
			for _, to := range routers {
				to.Merge(now, from.ReportsAfter(now, 0))
			}
		}
	}
	// runs returns how often the request runs within the period if its caller sends it in turn to all routers.
	runs := func(interval, period time.Duration) int {
		n := 0
		for sent := time.Duration(0); sent < period; sent += interval {
			now := at.Add(sent)
			if router := int(sent/interval) % len(routers); !routers[router].IsQuarantined(now, fp) {
				n++
				crash(router, now, fp)
			}
			share(now)
		}
		return n
	}

	// Guards against evidence that expires while the caller still comes back: the request then crashed three upstreams
	// every 30 s. Three more runs are allowed after the third crash, however long the caller goes on.
	DescribeTable("runs six times at most", func(interval, period time.Duration) {
		Expect(runs(interval, period)).To(BeNumerically("<=", 6))
	},
		Entry("if it comes every second", time.Second, 2*time.Hour),
		Entry("if it comes every 5 s", 5*time.Second, 6*time.Hour),
		Entry("if it comes more slowly than reports are sent", 40*time.Second, 30*time.Hour),
	)

	It("gets a trial some minutes after its third crash", func() {
		for i := range 3 {
			crash(0, at.Add(time.Duration(i)*time.Second), fp)
		}
		Expect(routers[0].IsQuarantined(at.Add(2*time.Minute), fp)).To(BeTrue())
		Expect(routers[0].IsQuarantined(at.Add(6*time.Minute), fp)).To(BeFalse())
		crash(0, at.Add(6*time.Minute), fp)
		Expect(routers[0].IsQuarantined(at.Add(50*time.Minute), fp)).To(BeTrue())
	})

	// Guards against refusing a common lookup that was running beside the cause of three crashes.
	It("is no longer suspected at any router once it has been answered", func() {
		crash(0, at, fp)
		crash(1, at.Add(time.Second), fp)
		share(at.Add(time.Second))
		routers[2].RecordRequestAnswered(at.Add(2*time.Second), fp)
		share(at.Add(2 * time.Second))
		share(at.Add(3 * time.Second)) // reports that arrive again after the answer do not count again
		crash(0, at.Add(4*time.Second), fp)
		share(at.Add(4 * time.Second))
		for _, r := range routers {
			Expect(r.IsQuarantined(at.Add(5*time.Second), fp)).To(BeFalse())
		}
	})

	// Guards against refusing a common lookup because many callers were sending it when one upstream ended, or because all
	// upstreams ended together.
	It("counts once each upstream that ends, and once those that end together", func() {
		for range 5 {
			for router := range routers {
				for _, upstream := range []string{"u1", "u2", "u3"} {
					routers[router].RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: upstream, UpstreamStartedUnixMS: 1, SentAt: at.Add(-10 * time.Millisecond), At: at})
				}
			}
		}
		for router := range routers {
			for _, upstream := range []string{"u1", "u2", "u3"} {
				routers[router].RecordUpstreamEnd(at.Add(time.Second), upstream)
			}
		}
		share(at.Add(time.Second))
		Expect(routers[0].IsQuarantined(at.Add(2*time.Second), fp)).To(BeFalse())
	})

	// Guards against suspecting a request that was answered elsewhere before its router learned of the upstream's end.
	It("does not count if it has been answered before the end of the upstream is known", func() {
		for i := range 3 {
			now := at.Add(time.Duration(i) * time.Second)
			routers[0].RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: fmt.Sprint("u", i), SentAt: now, At: now})
			routers[0].RecordRequestAnswered(now.Add(10*time.Millisecond), fp)
			routers[0].RecordUpstreamEnd(now.Add(500*time.Millisecond), fmt.Sprint("u", i))
		}
		Expect(routers[0].ReportsAfter(at.Add(5*time.Second), 0)).To(BeEmpty())
	})

	// Guards against refusing a common lookup that was running beside the cause of three crashes while no upstream was left to
	// answer it.
	It("does not count if it was answered shortly before, at the routers that know", func() {
		routers[0].RecordRequestAnswered(at, fp)
		for i := range 3 {
			crash(0, at.Add(time.Duration(i)*time.Second), fp)
		}
		share(at.Add(4 * time.Second))
		Expect(routers[0].IsQuarantined(at.Add(4*time.Second), fp)).To(BeFalse())
		Expect(routers[1].IsQuarantined(at.Add(4*time.Second), fp)).To(BeTrue())
		routers[0].RecordRequestAnswered(at.Add(5*time.Second), fp)
		share(at.Add(6 * time.Second))
		Expect(routers[1].IsQuarantined(at.Add(6*time.Second), fp)).To(BeFalse())

		later := at.Add(2 * time.Minute)
		share(later)
		crash(0, later, fp)
		crash(0, later.Add(time.Second), fp)
		Expect(routers[0].IsQuarantined(later.Add(time.Second), fp)).To(BeFalse())
		crash(0, later.Add(2*time.Second), fp)
		Expect(routers[0].IsQuarantined(later.Add(2*time.Second), fp)).To(BeTrue())
	})

	It("counts although many others were answered since its own answer", func() {
		routers[0].RecordRequestAnswered(at, fp)
		for i := range 5000 {
			routers[0].RecordRequestAnswered(at, uint64(100+i))
		}
		for i := range 3 {
			crash(0, at.Add(time.Duration(i)*time.Second), fp)
		}
		Expect(routers[0].IsQuarantined(at.Add(3*time.Second), fp)).To(BeTrue())
	})

	// Guards against a bound on the crashes of one request that makes a common one unsuspected for good.
	It("is refused although many upstreams ended beside it long before", func() {
		for i := range 100 {
			now := at.Add(time.Duration(i) * time.Minute)
			crash(0, now, fp)
			routers[0].RecordRequestAnswered(now.Add(time.Second), fp)
		}
		later := at.Add(5 * time.Hour)
		for i := range 3 {
			crash(0, later.Add(time.Duration(i)*time.Second), fp)
		}
		Expect(routers[0].IsQuarantined(later.Add(4*time.Second), fp)).To(BeTrue())
	})

	// Guards against memory that grows with the requests that were running during crashes, and against the loss of what is
	// known of those that are refused.
	It("is remembered while many other requests run beside one crash each", func() {
		for i := range 3 {
			crash(0, at.Add(time.Duration(i)*time.Second), fp)
		}
		for i := range 10_000 {
			crash(0, at.Add(10*time.Second+time.Duration(i)*time.Millisecond), uint64(100+i))
		}
		Expect(routers[0].IsQuarantined(at.Add(time.Minute), fp)).To(BeTrue())
	})
})
