package idle_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

func TestIdle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idle")
}

// every returns the histogram of a target with n requests at intervals of gap.
func every(gap time.Duration, n int) *idle.Histogram {
	h := &idle.Histogram{}
	for i := range n {
		h.RecordArrival(time.Unix(0, 0).Add(time.Duration(i) * gap))
	}
	return h
}

func costParams(coldStart, accelerator float64) idle.CostParams {
	return idle.CostParams{Weights: config.Weights{ColdStart: coldStart, IdleAccelerator: accelerator}, Accelerators: 1, ColdStart: 20 * time.Second}
}

// threshold returns the age at which the policy unloads, or a day.
func threshold(p idle.Policy, h *idle.Histogram, pr idle.CostParams) time.Duration {
	for age := time.Duration(0); age < 24*time.Hour; age += time.Second {
		if p.ShouldUnload(h, age, pr) {
			return age
		}
	}
	return 24 * time.Hour
}

var _ = Describe("cost policy", func() {
	cost := &idle.Cost{}

	// Guards against weights with the wrong sign or unit: without observations, keeping a target until that has cost as
	// much as one cold start (here 1 h) is within a small factor of the optimum.
	It("keeps a target for about the break-even time without observations", func() {
		t := threshold(cost, &idle.Histogram{}, costParams(0.05, 1))
		Expect(t).To(BeNumerically("~", time.Hour, 50*time.Minute))
	})

	// Guards against a policy that ignores one of the two weights.
	It("follows the weights", func() {
		h := every(10*time.Minute, 50)
		Expect(threshold(cost, h, costParams(1, 0))).To(Equal(24 * time.Hour))
		Expect(threshold(cost, h, costParams(0, 1))).To(BeZero())
		Expect(threshold(cost, h, costParams(0.01, 1))).To(BeNumerically(">", 9*time.Minute))  // a cold start costs 12 min
		Expect(threshold(cost, h, costParams(0.002, 1))).To(BeNumerically("<", 2*time.Minute)) // a cold start costs 2.4 min
	})

	// Guards against counting the wait of only one request when a whole burst waits for a cold start.
	It("keeps a target longer if more requests wait for a cold start", func() {
		burst := &idle.Histogram{}
		for i := range 100 {
			burst.RecordArrival(time.Unix(int64(i/10)*3600+int64(i%10), 0))
		}
		pr := costParams(0.01, 1)
		long := threshold(cost, burst, pr)
		pr.ColdStart, pr.Weights.ColdStart = time.Millisecond, pr.Weights.ColdStart*pr.ColdStart.Seconds()*1000
		Expect(long).To(BeNumerically(">", threshold(cost, burst, pr)))
	})

	// Guards against a policy that keeps a bursty model loaded through the gap between bursts.
	It("unloads once a burst is over", func() {
		h := &idle.Histogram{}
		at := time.Unix(0, 0)
		for range 5 {
			for range 20 {
				h.RecordArrival(at)
				at = at.Add(3 * time.Second)
			}
			at = at.Add(6 * time.Hour)
		}
		// A cold start of 1 s is shorter than the gaps, so only one request waits for it; break-even is 12 min.
		pr := costParams(0.2, 1)
		pr.ColdStart = time.Second
		Expect(threshold(cost, h, pr)).To(BeNumerically("<", 2*time.Minute))
	})
})

var _ = Describe("histogram", func() {
	// Guards against memory or weight that grows with the number of requests, in which case a new pattern is never
	// learnt.
	It("adapts to a change of the pattern", func() {
		h := every(time.Second, 5000)
		at := time.Unix(5000, 0)
		for range 300 {
			at = at.Add(time.Hour)
			h.RecordArrival(at)
		}
		Expect(h.Observations()).To(BeNumerically("<=", 129))
		Expect(h.ArrivalProbability(time.Minute, 50*time.Minute)).To(BeNumerically("<", 0.3))
		Expect(h.ArrivalProbability(30*time.Minute, time.Hour)).To(BeNumerically(">", 0.7))
	})

	// Guards against a probability outside 0 to 1 for ages beyond the last bucket and for clocks that are set back.
	It("returns probabilities between 0 and 1", func() {
		h := every(time.Minute, 10)
		h.RecordArrival(time.Unix(-100, 0))
		for _, age := range []time.Duration{0, time.Second, time.Hour, 1000 * time.Hour} {
			Expect(h.ArrivalProbability(age, time.Hour)).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
		}
	})

	// Guards against evicting the model that is about to be called.
	It("assigns a higher cost to the target whose next request is sooner", func() {
		Expect(idle.UnloadCost(every(time.Minute, 50), 30*time.Second, costParams(0.01, 1))).To(BeNumerically(">", idle.UnloadCost(every(10*time.Hour, 50), time.Minute, costParams(0.01, 1))))
	})
})

var _ = Describe("modules", func() {
	// Guards against policies missing from the registry and settings that are not checked.
	It("register with the kernel", func() {
		k := kernel.New()
		Expect(kernel.IDs(kernel.KindPolicy)).To(ContainElements(idle.CostID, idle.FixedID, idle.NeverID))
		p, err := kernel.LoadAs[idle.Policy](context.Background(), k, idle.FixedID, kernel.Settings{"keepalive": "90s"})
		Expect(err).NotTo(HaveOccurred())
		Expect(threshold(p, nil, costParams(1, 1))).To(Equal(90 * time.Second))
		for _, bad := range []string{"-1s", "soon"} {
			_, err = k.Load(context.Background(), idle.FixedID, kernel.Settings{"keepalive": bad})
			Expect(err).To(HaveOccurred())
		}
		_, err = k.Load(context.Background(), idle.CostID, kernel.Settings{"keepalive": "1s"})
		Expect(err).To(HaveOccurred())
		never, err := kernel.LoadAs[idle.Policy](context.Background(), k, idle.NeverID, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(threshold(never, nil, costParams(0, 1))).To(Equal(24 * time.Hour))
	})
})
