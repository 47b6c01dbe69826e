package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// Guards against a constant for the number of loads that the weight store serves at full speed: 4 was wrong on the
// larger sites, where six concurrent loads took 30 s each instead of 10 (vanstops-large, trouble-1).
var _ = Describe("the number of loads that the weight store serves at full speed", func() {
	const fullSpeedTime = 6 * time.Second
	var s *dispatch.State
	id := func(i int) string { return fmt.Sprintf("u%d", i) }
	report := func(at time.Time, i int, residents []catalog.Resident, order *placement.Order) {
		r := &peer.Report{Order: order, OrderRemainingMS: 100}
		r.SetUpstream(catalog.Upstream{ID: id(i), Models: residents}, 1)
		s.ApplyReport(at, r)
	}
	// fetch lets n upstreams fetch concurrently from a store that serves storeConcurrency loads at full speed, and
	// returns the time at which the fetches end.
	fetch := func(at time.Time, n, storeConcurrency int) time.Time {
		for i := range n {
			report(at, i, nil, &placement.Order{Model: "a"})
		}
		end := at.Add(fullSpeedTime * time.Duration(max(n, storeConcurrency)) / time.Duration(storeConcurrency))
		for i := range n {
			report(end, i, []catalog.Resident{{Model: "a"}}, nil)
		}
		return end
	}
	BeforeEach(func() {
		s = newState()
		for i := range 8 {
			s.Fleet.Put(now, catalog.Upstream{ID: id(i), Service: "llm", Address: id(i) + ":1"})
		}
	})

	DescribeTable("is estimated from fetches",
		func(storeConcurrency int, rounds []int, want int) {
			at := now
			for _, n := range rounds {
				at = fetch(at, n, storeConcurrency)
			}
			Expect(s.FetchConcurrency(at)).To(Equal(want))
		},
		Entry("unknown before the first fetch", 2, nil, 0),
		Entry("unknown while no fetch is slow", 4, []int{2, 4}, 0),
		Entry("two, with four concurrent fetches", 2, []int{4}, 2),
		Entry("one, with three concurrent fetches", 1, []int{3}, 1),
		Entry("six, over several rounds", 6, []int{8, 6, 6, 8}, 6),
	)

	It("is estimated before slow fetches have ended", func() {
		for i := range 4 {
			report(now, i, nil, &placement.Order{Model: "a"})
		}
		Expect(s.FetchConcurrency(now.Add(7 * time.Second))).To(BeZero())
		Expect(s.FetchConcurrency(now.Add(9 * time.Second))).To(BeNumerically("<", 4))
	})

	It("ignores fetches that were aborted", func() {
		report(now, 0, nil, &placement.Order{Model: "a"})
		Expect(s.Fetching(now)).To(Equal([]string{"a"}))
		report(now.Add(20*time.Second), 0, nil, nil)
		Expect(s.Fetching(now.Add(20 * time.Second))).To(BeEmpty())
		Expect(s.FetchConcurrency(now.Add(20 * time.Second))).To(BeZero())
	})
})
