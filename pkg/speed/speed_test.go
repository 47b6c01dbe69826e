package speed_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

var now = time.Unix(1000, 0)

func observed(ratio float64, n int) *speed.Speeds {
	u := &speed.Speeds{}
	for range n {
		u.Observe(now, speed.Prefill, ratio, 1)
	}
	return u
}

// Guards against decisions on a handful of answers, on one that took unusually long, and on old ones.
func TestEstimatesNeedRecentEvidence(t *testing.T) {
	g := NewWithT(t)
	ratio := func(u *speed.Speeds, after time.Duration) float64 { return u.Ratio(now.Add(after), speed.Prefill, 0) }
	g.Expect(ratio(&speed.Speeds{}, 0)).To(Equal(1.0))
	g.Expect(ratio(observed(2, 1), 0)).To(BeNumerically("<", 1.25))
	g.Expect(ratio(observed(2, 30), 0)).To(BeNumerically("~", 1.7, 0.15))
	g.Expect(ratio(observed(2, 30), 10*speed.HalfLife)).To(BeNumerically("<", 1.02))
	u := observed(1, 10)
	u.Observe(now, speed.Prefill, 1000, 1)
	u.Observe(now, speed.Prefill, math.Inf(1), 1)
	u.Observe(now, speed.Prefill, math.NaN(), 1)
	u.Observe(now, speed.Prefill, -1, 1)
	g.Expect(ratio(u, 0)).To(BeNumerically("~", 1, 0.1))
}

// Guards against one router that determines the estimate of all, in either direction, and against one that is ignored
// although it is the only one.
func TestPooledEstimatesBoundEachRouter(t *testing.T) {
	pooled := func(ratios ...float64) speed.PooledEstimate {
		var routers []*speed.Observed
		for _, r := range ratios {
			n := 3
			if r != 1 {
				n = 1000
			}
			routers = append(routers, observed(r, n).Observed(now, "u", 1))
		}
		return speed.Pool(routers).Estimates[speed.Prefill]
	}
	g := NewWithT(t)
	g.Expect(pooled(1, 1, 1, 1, 1.0/8).Log2).To(BeNumerically("~", 0, 0.3))
	g.Expect(pooled(1, 1, 1, 1, 30).Log2).To(BeNumerically("~", 0, 0.3))
	g.Expect(pooled(4).Log2).To(BeNumerically("~", 2, 0.3))
	g.Expect(speed.Pool(nil)).To(BeNil())
}

// Guards against a message that says something else than the observations, and a pooled estimate that never ages.
func TestMessagesCarryTheEstimates(t *testing.T) {
	g := NewWithT(t)
	var messages []*speed.Observed
	for range 20 {
		m := observed(2, 2).Observed(now, "u", 1)
		g.Expect(m.Valid()).To(BeTrue())
		messages = append(messages, m)
	}
	var other speed.Speeds
	summary := speed.Pool(messages)
	g.Expect(summary.Valid()).To(BeTrue())
	other.ApplySummary(now, summary)
	g.Expect(other.Ratio(now, speed.Prefill, 0)).To(BeNumerically("~", 1.9, 0.2))
	g.Expect(other.Ratio(now.Add(10*speed.HalfLife), speed.Prefill, 0)).To(BeNumerically("<", 1.05))
	other.ApplySummary(now, nil)
	g.Expect(other.Ratio(now, speed.Prefill, 0)).To(Equal(1.0))
	g.Expect((&speed.Speeds{}).Observed(now, "u", 1)).To(BeNil())
}

// Guards against an interval that is taken from a stream's pauses, or from events that arrived together.
func TestUsualInterval(t *testing.T) {
	g := NewWithT(t)
	var e speed.Events
	g.Expect(e.Interval()).To(BeZero())
	at := now
	for i, ms := range []int{0, 30, 300, 0, 30, 31, 200, 30, 32} {
		at = at.Add(time.Duration(ms) * time.Millisecond)
		g.Expect(e.Record(at)).To(Equal(i == 8))
	}
	g.Expect(e.First()).To(Equal(now))
	g.Expect(e.Interval()).To(Equal(30 * time.Millisecond))
}
