package retrylimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/retrylimit"
)

func TestRetryLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry limit")
}

var start = time.Unix(1000, 0)

var limit = retrylimit.Limit{Ratio: 0.2, Burst: 40, Window: 10 * time.Second}

var _ = Describe("quota", func() {
	take := func(q *retrylimit.Quota, now time.Time, burst float64) int {
		n := 0
		for q.Take(now, burst) {
			n++
		}
		return n
	}

	// Guards against a restarted router that sends retries for requests and a burst that its predecessor has used.
	It("has no tokens at first", func() {
		Expect(take(retrylimit.NewQuota(limit), start, 40)).To(BeZero())
	})

	// Guards against a router at which retries are never allowed again after the burst has been used.
	It("earns tokens with requests and stores some for a sudden failure", func() {
		q := retrylimit.NewQuota(limit)
		for i := range 200 {
			q.RecordRequest(start.Add(time.Duration(i)*50*time.Millisecond), 10)
		}
		end := start.Add(limit.Window)
		Expect(take(q, end, 10)).To(Equal(14)) // half of the burst and a twentieth of 195 to 200 requests
		for range 20 {
			q.RecordRequest(end, 10)
		}
		Expect(take(q, end, 10)).To(BeNumerically("~", 3, 1))
	})

	It("earns half of its burst within a window without requests", func() {
		q := retrylimit.NewQuota(limit)
		q.HasRoom(start, 10)
		Expect(take(q, start.Add(limit.Window), 10)).To(Equal(5))
		Expect(take(q, start.Add(2*limit.Window), 10)).To(Equal(5))
	})

	// Guards against routers that keep larger parts when others have joined.
	It("drops tokens beyond a smaller part of the burst", func() {
		q := retrylimit.NewQuota(limit)
		q.HasRoom(start, 40)
		Expect(take(q, start.Add(limit.Window), 4)).To(Equal(2))
	})

	It("uses a window of ten seconds if the limit names none", func() {
		q := retrylimit.NewQuota(retrylimit.Limit{Burst: 10})
		q.HasRoom(start, 10)
		Expect(take(q, start.Add(10*time.Second), 10)).To(Equal(5))
	})
})

var _ = Describe("share of the burst", func() {
	var s *retrylimit.Share
	BeforeEach(func() { s = retrylimit.NewShare(limit) })

	// Guards against a started router that takes a part before the others have reduced theirs.
	It("is empty until the others have learnt of the router", func() {
		s.RecordRouters(start, 4, true)
		Expect(s.Burst(start.Add(3 * time.Second))).To(BeZero())
		Expect(s.Burst(start.Add(5 * time.Second))).To(BeEquivalentTo(10))
	})

	// Guards against a router that started behind a partition and counts only the routers on its side.
	It("is empty while most agents have not reported", func() {
		s.RecordRouters(start, 1, false)
		Expect(s.Burst(start.Add(time.Minute))).To(BeZero())
	})

	// Guards against larger parts for the time in which an agent knows only some of the routers.
	It("does not grow when fewer routers are reported", func() {
		s.RecordRouters(start, 4, true)
		s.RecordRouters(start.Add(time.Second), 1, true)
		s.RecordRouters(start.Add(2*time.Second), 2, true)
		Expect(s.Burst(start.Add(time.Minute))).To(BeEquivalentTo(10))
		s.RecordRouters(start.Add(10*time.Minute), 2, true)
		Expect(s.Burst(start.Add(11 * time.Minute))).To(BeEquivalentTo(20))
	})

	It("shrinks at once when more routers are reported", func() {
		s.RecordRouters(start, 4, true)
		s.RecordRouters(start.Add(10*time.Second), 8, true)
		Expect(s.Burst(start.Add(10 * time.Second))).To(BeEquivalentTo(5))
	})
})

// Guards against a request that is recorded with a time before the first one, as after a wait: it ended with a panic.
var _ = It("a request before the first one counts", func() {
	q := retrylimit.NewQuota(retrylimit.Limit{Ratio: 0.2, Burst: 10, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	q.RecordRequest(now, 1)
	q.RecordRequest(now.Add(-3*time.Second), 1)
	Expect(q.Usage(now, 1).Requests).To(Equal(2))
})
