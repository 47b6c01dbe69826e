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

var _ = Describe("quota", func() {
	limit := retrylimit.Limit{Ratio: 0.2, Burst: 40, Window: 10 * time.Second}

	// Guards against retries that are forgotten before the window has passed, and against retries that count for ever.
	It("counts a retry until the window has passed", func() {
		q := retrylimit.NewQuota(limit)
		Expect(q.Take(start, 1)).To(BeTrue())
		Expect(q.Take(start.Add(limit.Window), 1)).To(BeFalse())
		Expect(q.Take(start.Add(limit.Window*11/10), 1)).To(BeTrue())
	})

	// Guards against requests that still count after the window, in which the limit does not count them.
	It("counts a request for no longer than the window", func() {
		q := retrylimit.NewQuota(limit)
		for range 10 {
			q.RecordRequest(start)
		}
		Expect(q.Usage(start.Add(limit.Window*9/10), 0).Limit).To(BeEquivalentTo(2))
		Expect(q.Usage(start.Add(limit.Window), 0).Limit).To(BeZero())
	})

	It("uses a window of ten seconds if the limit names none", func() {
		q := retrylimit.NewQuota(retrylimit.Limit{Burst: 1})
		Expect(q.Take(start, 1)).To(BeTrue())
		Expect(q.Take(start.Add(9*time.Second), 1)).To(BeFalse())
	})
})
