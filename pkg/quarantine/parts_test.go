package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

var _ = Describe("prompt parts that crash upstreams", func() {
	const common, faulty, rare = 1, 2, 3
	var a, b *quarantine.Reports
	at := time.Unix(1000, 0)
	// crash records that the upstream ended while a request with the parts had no event.
	crash := func(r *quarantine.Reports, now time.Time, upstream string, parts ...uint64) {
		r.RecordInterrupted(quarantine.Interruption{Fingerprint: uint64(now.UnixNano()), Parts: parts, Upstream: upstream, SentAt: now, At: now})
		r.RecordUpstreamEnd(now.Add(50*time.Millisecond), upstream)
	}
	refused := func(r *quarantine.Reports, now time.Time, part uint64) bool {
		return r.CrashingPart(now, []uint64{part}) >= 0
	}
	share := func(from, to *quarantine.Reports, now time.Time) { to.Merge(now, from.ReportsAfter(now, 0)) }
	BeforeEach(func() {
		a, b = quarantine.NewReports("a", at), quarantine.NewReports("b", at)
	})

	// Guards against requests, no two alike, that share a part and crash one upstream after the other.
	It("are refused after two crashes that different routers saw", func() {
		crash(a, at, "u1", common, faulty)
		a.RecordAnswered(at.Add(time.Second), []uint64{common})
		crash(b, at.Add(2*time.Second), "u2", common, faulty)
		b.RecordAnswered(at.Add(3*time.Second), []uint64{common})
		now := at.Add(4 * time.Second)
		share(a, b, now)
		share(b, a, now)
		now = now.Add(time.Second)
		for _, r := range []*quarantine.Reports{a, b} {
			Expect(refused(r, now, faulty)).To(BeTrue())
			Expect(refused(r, now, common)).To(BeFalse())
		}
	})

	// Guards against refusing sound requests that waited at crashing upstreams and share a part that others answer.
	It("are cleared by an event of a request with the part at any router", func() {
		crash(a, at, "u1", rare)
		crash(a, at.Add(time.Second), "u2", rare)
		now := at.Add(3 * time.Second)
		Expect(refused(a, now, rare)).To(BeTrue())
		share(a, b, now)
		b.RecordAnswered(now, []uint64{rare})
		share(b, a, now)
		Expect(refused(a, now, rare)).To(BeFalse())
		Expect(refused(b, now, rare)).To(BeFalse())
	})

	It("need more crashes if requests with the part have been answered before", func() {
		a.RecordAnswered(at, []uint64{rare})
		for i := range 4 {
			Expect(refused(a, at.Add(time.Duration(i)*3*time.Second), rare)).To(BeFalse())
			crash(a, at.Add(time.Duration(i)*3*time.Second), fmt.Sprintf("u%d", i), rare)
		}
		Expect(refused(a, at.Add(11*time.Second), rare)).To(BeTrue())
	})

	// Guards against one loss of power, which ends many upstreams at once, counting as many crashes.
	It("are not suspected more for upstreams that end at the same moment", func() {
		for i := range 6 {
			crash(a, at.Add(time.Duration(i)*15*time.Millisecond), fmt.Sprintf("u%d", i), rare)
		}
		Expect(refused(a, at.Add(2*time.Second), rare)).To(BeFalse())
	})

	// Guards against refusing the parts that all requests share after a loss of all upstreams, of which routers learn at
	// different times.
	It("are not suspected for a loss of all upstreams if they have been answered before", func() {
		a.RecordAnswered(at, []uint64{common})
		for i := range 9 {
			crash(a, at.Add(time.Duration(i)*500*time.Millisecond), fmt.Sprintf("u%d", i), common)
		}
		Expect(refused(a, at.Add(6*time.Second), common)).To(BeFalse())
	})

	It("are suspected more for a crash of a restarted process with the same id", func() {
		for i := range 2 {
			now := at.Add(time.Duration(i) * time.Second)
			a.RecordInterrupted(quarantine.Interruption{Fingerprint: 1, Parts: []uint64{faulty}, Upstream: "u1", UpstreamStartedUnixMS: now.UnixMilli(), SentAt: now, At: now})
			a.RecordUpstreamEnd(now, "u1")
		}
		Expect(refused(a, at.Add(3*time.Second), faulty)).To(BeTrue())
	})

	It("are not suspected more for one crash that several routers report", func() {
		crash(a, at, "u1", rare)
		crash(b, at.Add(time.Second), "u1", rare)
		share(b, a, at.Add(time.Second))
		Expect(refused(a, at.Add(3*time.Second), rare)).To(BeFalse())
	})

	// Guards against taking lost paths for crashes.
	It("are not suspected for upstreams that only accept no connection", func() {
		for i := range 4 {
			now := at.Add(time.Duration(i) * time.Second)
			a.RecordInterrupted(quarantine.Interruption{Fingerprint: 9, Parts: []uint64{rare}, Upstream: fmt.Sprintf("u%d", i), SentAt: now, At: now})
			a.RecordUnreachable(now, fmt.Sprintf("u%d", i))
		}
		Expect(refused(a, at.Add(6*time.Second), rare)).To(BeFalse())
	})

	// Guards against refusing all requests of a caller because no sound one was answered between the crashes.
	It("are told apart by their positions if nothing else does", func() {
		for i := range 2 {
			now := at.Add(time.Duration(i) * time.Second)
			a.RecordInterrupted(quarantine.Interruption{Fingerprint: 1, Parts: []uint64{common, faulty}, Upstream: fmt.Sprintf("u%d", i), SentAt: now, At: now})
			a.RecordInterrupted(quarantine.Interruption{Fingerprint: 2, Parts: []uint64{common, rare + uint64(i)}, Upstream: fmt.Sprintf("u%d", i), SentAt: now, At: now})
			a.RecordUpstreamEnd(now, fmt.Sprintf("u%d", i))
		}
		now := at.Add(3 * time.Second)
		Expect(refused(a, now, faulty)).To(BeTrue())
		Expect(refused(a, now, common)).To(BeFalse())
	})

	// Guards against refusing parts that were present in crashes which another part explains.
	It("are not refused once another part explains the crashes", func() {
		for i := range 2 { // both parts were present; the routers cannot tell them apart yet
			crash(a, at.Add(time.Duration(i)*time.Second), fmt.Sprintf("u%d", i), common, faulty)
			crash(b, at.Add(time.Duration(i)*time.Second), fmt.Sprintf("u%d", i), common, rare)
		}
		share(b, a, at.Add(2*time.Second))
		now := at.Add(4 * time.Second)
		Expect(refused(a, now, rare)).To(BeFalse())
		crash(a, now, "u3", common, faulty)
		now = now.Add(2 * time.Second)
		Expect(refused(a, now, faulty)).To(BeTrue())
		Expect(refused(a, now, rare)).To(BeFalse())
	})

	It("are tried again after a while", func() {
		crash(a, at, "u1", faulty)
		crash(a, at.Add(time.Second), "u2", faulty)
		Expect(refused(a, at.Add(40*time.Second), faulty)).To(BeTrue())
		later := at.Add(time.Minute)
		Expect(refused(a, later, faulty)).To(BeFalse())
		crash(a, later, "u3", faulty)
		Expect(refused(a, later.Add(55*time.Second), faulty)).To(BeTrue(), "one more crash is enough, for longer")
	})

	// Guards against evidence that expires while callers still come back: a fifth retry after the third crash followed
	// within six minutes.
	It("are tried once more some minutes after the third crash, and not again for long", func() {
		for i := range 3 {
			crash(a, at.Add(time.Duration(i)*time.Second), fmt.Sprintf("u%d", i), faulty)
		}
		Expect(refused(a, at.Add(4*time.Minute), faulty)).To(BeTrue())
		trial := at.Add(6 * time.Minute)
		Expect(refused(a, trial, faulty)).To(BeFalse())
		crash(a, trial, "u3", faulty)
		Expect(refused(a, trial.Add(2*time.Second), faulty)).To(BeTrue())
		Expect(refused(a, trial.Add(50*time.Minute), faulty)).To(BeTrue())
	})

	// Guards against memory that grows with the parts that callers make up.
	It("are bounded in number", func() {
		for i := range uint64(5000) {
			crash(a, at.Add(time.Duration(i)*time.Second), "u1", 10+i)
		}
		Expect(len(a.ReportsAfter(at.Add(5000*time.Second), 0))).To(BeNumerically("<=", quarantine.MaxReports))
		crash(a, at.Add(5001*time.Second), "u2", faulty)
		crash(a, at.Add(5002*time.Second), "u3", faulty)
		Expect(refused(a, at.Add(5004*time.Second), faulty)).To(BeTrue())
	})
})
