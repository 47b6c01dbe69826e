package policybench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/policybench"
)

var _ = Describe("queues", func() {
	// Guards against disciplines compared on different requests, requests that are lost by the simulation, results that
	// no second run gives, and a priority that does not reach the queue.
	It("account for each request, every time", func() {
		own := policybench.SimulateQueue(policybench.DisciplineAdmission, 2, 1, 10*time.Minute)
		Expect(policybench.SimulateQueue(policybench.DisciplineAdmission, 2, 1, 10*time.Minute)).To(Equal(own))
		Expect(own.Classes[0].Share()).To(BeNumerically(">", own.Classes[2].Share()))
		for _, d := range []policybench.Discipline{policybench.DisciplineFirstCome, policybench.DisciplineFirstComeExpire} {
			r := policybench.SimulateQueue(d, 2, 1, 10*time.Minute)
			Expect(r.Total().Requests).To(Equal(own.Total().Requests))
			Expect(r.Busy).To(BeNumerically(">=", r.Wasted))
			Expect(r.Refused).To(BeZero())
		}
	})
})
