package policybench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/policybench"
)

var _ = Describe("queues", func() {
	// Guards against disciplines compared on different requests, requests that are lost by the simulation, results that
	// no second run gives, a priority that does not reach the queue, and streams that count as late although they began.
	DescribeTable("account for each request, every time", func(t policybench.InTime) {
		own := policybench.SimulateQueue(policybench.DisciplineAdmission, t, 2, 1, 10*time.Minute)
		Expect(policybench.SimulateQueue(policybench.DisciplineAdmission, t, 2, 1, 10*time.Minute)).To(Equal(own))
		Expect(own.Wasted == 0).To(Equal(t == policybench.InTimeStarted))
		Expect(own.Classes[0].Share()).To(BeNumerically(">", own.Classes[2].Share()))
		for _, d := range []policybench.Discipline{policybench.DisciplineFirstCome, policybench.DisciplineFirstComeExpire} {
			r := policybench.SimulateQueue(d, t, 2, 1, 10*time.Minute)
			Expect(r.Total().Requests).To(Equal(own.Total().Requests))
			Expect(r.Busy).To(BeNumerically(">=", r.Wasted))
			Expect(r.Refused).To(BeZero())
		}
	}, Entry("of whole answers", policybench.InTimeComplete), Entry("of streams", policybench.InTimeStarted))
})

var _ = Describe("fleets", func() {
	run := func(f policybench.Fleet) policybench.FleetResult {
		f.Load, f.Lag = 0.7, time.Second
		return policybench.SimulateFleet(f, 1, 5*time.Minute)
	}
	routing := policybench.Fleet{Chooser: policybench.ChooseRouting, Retries: policybench.RetryNone}

	// Guards against choosers compared on different requests, requests that the simulation loses, and switches of a case
	// that do not reach the router.
	It("account for each request, every time", func() {
		own := run(routing)
		Expect(run(routing)).To(Equal(own))
		for _, f := range []policybench.Fleet{routing, {Chooser: policybench.ChooseRandom}, {Chooser: policybench.ChooseLeastOutstanding}, {Chooser: policybench.ChooseRouting, NoLocality: true}} {
			r := run(f)
			Expect([]int{r.Requests, len(r.Waits), r.Attempts}).To(Equal([]int{own.Requests, own.Requests, own.Requests}))
		}
		flat := routing
		flat.NoLocality = true
		Expect(run(flat).CrossRegionBytes).To(BeNumerically(">", own.CrossRegionBytes))
		blind := routing
		blind.NoAffinity = true
		Expect(run(blind).HitShare()).NotTo(Equal(own.HitShare()))
	})

	// Guards against a retry rule that does not reach the router, and against retries that lose or repeat requests.
	It("retry as their rule says", func() {
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
