package policybench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/policybench"
)

var _ = Describe("queues", func() {
	// Guards against disciplines that are compared on different requests, requests that the simulation loses, results that
	// are not reproducible, a priority without effect on the queue, and streams that started in time but count as late.
	DescribeTable("account for each request, reproducibly", func(t policybench.InTimeCondition) {
		first := policybench.SimulateQueue(policybench.DisciplineAdmission, t, 2, 1, 10*time.Minute)
		Expect(policybench.SimulateQueue(policybench.DisciplineAdmission, t, 2, 1, 10*time.Minute)).To(Equal(first))
		Expect(first.Wasted == 0).To(Equal(t == policybench.InTimeStarted))
		Expect(first.Classes[0].Share()).To(BeNumerically(">", first.Classes[2].Share()))
		for _, d := range []policybench.Discipline{policybench.DisciplineFirstCome, policybench.DisciplineFirstComeExpire} {
			r := policybench.SimulateQueue(d, t, 2, 1, 10*time.Minute)
			Expect(r.Total().Requests).To(Equal(first.Total().Requests))
			Expect(r.Busy).To(BeNumerically(">=", r.Wasted))
			Expect(r.Refused).To(BeZero())
		}
	}, Entry("of complete answers", policybench.InTimeComplete), Entry("of streams", policybench.InTimeStarted))
})

var _ = Describe("fleets", func() {
	run := func(f policybench.Fleet) policybench.FleetResult {
		f.Load, f.Lag = 0.7, time.Second
		return policybench.SimulateFleet(f, 1, 5*time.Minute)
	}
	routing := policybench.Fleet{Chooser: policybench.ChooseRouting, Retries: policybench.RetryNone}

	// Guards against choosers that are compared on different requests, requests that the simulation loses, and settings of
	// a case without effect on the router.
	It("account for each request, reproducibly", func() {
		first := run(routing)
		Expect(run(routing)).To(Equal(first))
		for _, f := range []policybench.Fleet{routing, {Chooser: policybench.ChooseRandom}, {Chooser: policybench.ChooseLeastOutstanding}, {Chooser: policybench.ChooseRouting, NoLocality: true}} {
			r := run(f)
			Expect([]int{r.Requests, len(r.Waits), r.Attempts}).To(Equal([]int{first.Requests, first.Requests, first.Requests}))
		}
		noLocality := routing
		noLocality.NoLocality = true
		Expect(run(noLocality).CrossRegionBytes).To(BeNumerically(">", first.CrossRegionBytes))
		noAffinity := routing
		noAffinity.NoAffinity = true
		Expect(run(noAffinity).HitShare()).NotTo(Equal(first.HitShare()))
	})

	// Guards against a retry rule without effect on the router, and against retries that lose or duplicate requests.
	It("retry by their rule", func() {
		attempts := map[policybench.RetryRule]int{}
		for _, rule := range []policybench.RetryRule{policybench.RetryNone, policybench.RetryBudget, policybench.RetryUnlimited} {
			r := run(policybench.Fleet{Chooser: policybench.ChooseRouting, Retries: rule, Refusing: 3})
			Expect(r.Waits).To(HaveLen(r.Requests))
			Expect(r.Served).To(BeNumerically("<=", r.Requests))
			attempts[rule] = r.Attempts
		}
		Expect(attempts[policybench.RetryNone]).To(BeNumerically("<", attempts[policybench.RetryBudget]))
		Expect(attempts[policybench.RetryBudget]).To(BeNumerically("<", attempts[policybench.RetryUnlimited]))
	})
})
