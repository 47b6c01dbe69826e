package policybench_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/policybench"
)

func TestPolicybench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policybench")
}

var _ = Describe("simulations", func() {
	d := policybench.Deployments()[0]
	w := config.Weights{ColdStart: 0.01, IdleAccelerator: 1}

	// Guards against policies that are compared on different workloads, results that are not reproducible, and idle time
	// that is not counted.
	It("give each policy the same requests, reproducibly", func() {
		never := policybench.SimulateIdle(d, &idle.Never{}, w, 1, 24*time.Hour)
		fixed := policybench.SimulateIdle(d, &idle.Fixed{}, w, 1, 24*time.Hour)
		cost := policybench.SimulateIdle(d, &idle.Cost{}, w, 1, 24*time.Hour)
		Expect(policybench.SimulateIdle(d, &idle.Cost{}, w, 1, 24*time.Hour)).To(Equal(cost))
		total := func(r policybench.IdleResult) int { return len(r.Waits) + r.Misses }
		Expect([]int{total(fixed), total(cost)}).To(Equal([]int{total(never), total(never)}))
		Expect(fixed.IdleHours).To(BeNumerically("<", cost.IdleHours))
		Expect(cost.IdleHours).To(BeNumerically("<", never.IdleHours))
		Expect(never.ColdStarts).To(BeNumerically("<", cost.ColdStarts))
	})

	// Guards against a load order that loses loads, and a store whose speed grows with the number of concurrent loads.
	It("complete every load with each load order", func() {
		byDeadline := policybench.SimulateLoads(d, policybench.OrderDeadline, 1, time.Hour)
		for _, o := range []policybench.LoadOrder{policybench.OrderFirstCome, policybench.OrderAllAtOnce} {
			r := policybench.SimulateLoads(d, o, 1, time.Hour)
			Expect(r.Waits).To(HaveLen(len(byDeadline.Waits)))
			Expect(r.Share()).To(And(BeNumerically(">", 0.5), BeNumerically("<=", 1)))
		}
	})
})
