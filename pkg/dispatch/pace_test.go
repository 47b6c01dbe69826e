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

// The number of loads that the weight store serves at full speed was a constant, 4, and false on the larger sites: six loads
// at a time took 30 s each in place of 10 (vanstops-large, trouble-1).
var _ = Describe("the number of loads that the weight store serves at full speed", func() {
	const full = 6 * time.Second
	var s *dispatch.State
	id := func(i int) string { return fmt.Sprintf("u%d", i) }
	report := func(at time.Time, i int, held []catalog.Resident, order *placement.Order) {
		r := &peer.State{Order: order, OrderRemainingMS: 100}
		r.SetUpstream(catalog.Upstream{ID: id(i), Models: held}, 1)
		s.ApplyReport(at, r)
	}
	// fetch lets n upstreams fetch at the same time, beside a store that serves so many at full speed, and returns the end.
	fetch := func(at time.Time, n, serves int) time.Time {
		for i := range n {
			report(at, i, nil, &placement.Order{Model: "a"})
		}
		end := at.Add(full * time.Duration(max(n, serves)) / time.Duration(serves))
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

	DescribeTable("is what fetches show",
		func(serves int, rounds []int, want int) {
			at := now
			for _, n := range rounds {
				at = fetch(at, n, serves)
			}
			Expect(s.Parallel(at)).To(Equal(want))
		},
		Entry("unknown before any", 2, nil, 0),
		Entry("unknown while none is slow", 4, []int{2, 4}, 0),
		Entry("two, seen by four at a time", 2, []int{4}, 2),
		Entry("one, seen by three at a time", 1, []int{3}, 1),
		Entry("more, seen after a while", 6, []int{8, 6, 6, 8}, 6),
	)

	It("is seen before slow fetches have ended", func() {
		for i := range 4 {
			report(now, i, nil, &placement.Order{Model: "a"})
		}
		Expect(s.Parallel(now.Add(7 * time.Second))).To(BeZero())
		Expect(s.Parallel(now.Add(9 * time.Second))).To(BeNumerically("<", 4))
	})

	It("counts no fetch that was given up", func() {
		report(now, 0, nil, &placement.Order{Model: "a"})
		Expect(s.Fetching(now)).To(Equal([]string{"a"}))
		report(now.Add(20*time.Second), 0, nil, nil)
		Expect(s.Fetching(now.Add(20 * time.Second))).To(BeEmpty())
		Expect(s.Parallel(now.Add(20 * time.Second))).To(BeZero())
	})
})
