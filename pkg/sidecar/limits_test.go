package sidecar

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

var _ = Describe("limit on loads from the weight store", func() {
	now := time.Unix(1000, 0)

	// All upstreams together may begin rate x window x factor + 3 loads in any window, also when all want to at once and
	// when there are more upstreams than loads.
	DescribeTable("holds over all upstreams when each uses its share",
		func(rate float64, upstreams int) {
			window, factor, step := 5*time.Second, 1.1, 100*time.Millisecond
			limits := make([]*fetchLimit, upstreams)
			for i := range limits {
				limits[i] = newFetchLimit(window, factor)
			}
			var begun []time.Time
			for at := now; at.Sub(now) < 120*time.Second; at = at.Add(step) {
				for i, f := range limits {
					if f.allowed(at, rate, i, upstreams) {
						f.begin(at)
						begun = append(begun, at)
					}
				}
			}
			Expect(len(begun)).To(BeNumerically(">=", upstreams)) // everyone has a turn
			for i, first := range begun {
				in := 0
				for _, at := range begun[i:] {
					if at.Sub(first) <= window {
						in++
					}
				}
				Expect(float64(in)).To(BeNumerically("<=", rate*window.Seconds()*factor+fetchSpare))
			}
		},
		Entry("vanstops", 1.6, 9),
		Entry("vanstops with more runners than loads", 1.6, 18),
		Entry("decals", 2.1, 9),
		Entry("vanstops grown", 10.0, 49),
		Entry("decals grown", 15.0, 53),
		Entry("a large fleet", 1.6, 60),
	)
})

// A fetch that took four times as long as expected was reported as about to end, and callers were held for it until they
// left (vanstops-grown, trouble-1).
var _ = Describe("rest of an order", func() {
	It("grows with the time that it takes beyond its expected end", func() {
		begun := time.Unix(1000, 0)
		u := underWay{begun: begun, ends: begun.Add(10 * time.Second)}
		Expect(u.rest(begun.Add(4 * time.Second))).To(Equal(6 * time.Second))
		Expect(u.rest(begun.Add(20 * time.Second))).To(Equal(4 * time.Second))
	})
})

var _ = Describe("messages to routers", func() {
	DescribeTable("are due",
		func(age time.Duration, news, load, near, want bool) {
			Expect(due(age, news, load, near)).To(Equal(want))
		},
		Entry("news at once", time.Duration(0), true, false, false, true),
		Entry("load soon in the region", 300*time.Millisecond, false, true, true, true),
		Entry("load not soon elsewhere", 300*time.Millisecond, false, true, false, false),
		Entry("no news in the region", 600*time.Millisecond, false, false, true, true),
		Entry("no news elsewhere", 1600*time.Millisecond, false, false, false, true),
		Entry("too early", 100*time.Millisecond, false, true, true, false),
	)
})

var _ = Describe("routers", func() {
	now := time.Unix(1000, 0)
	from := netip.MustParseAddrPort("10.0.0.1:7")

	It("adds up what the live routers ask for", func() {
		r := newRouters(time.Now())
		r.take(now, from, &peer.Demand{Router: "a", Here: []peer.LoadRequest{{Model: "m", Waiting: 2}},
			Held: []peer.Held{{Model: "h", Before: 2, Running: 1, Rate: 1, Adapters: map[string]int{"x": 1}}}})
		r.take(now, from, &peer.Demand{Router: "b", Here: []peer.LoadRequest{{Model: "m", Waiting: 1}, {Model: "m", Adapter: "x", Waiting: 1}},
			Held: []peer.Held{{Model: "h", Before: 1, Running: 3, Rate: 2, Adapters: map[string]int{"x": 2, "y": 1}}}})
		d := r.demand(now)
		Expect(d.Models).To(Equal(map[string]int{"m": 3}))
		Expect(d.Adapters).To(Equal(map[placement.Adapter]int{{Model: "m", Name: "x"}: 1}))
		Expect(d.Rate).To(Equal(map[string]float64{"h": 3}))
		Expect(d.Held).To(Equal(map[string]placement.Held{"h": {Before: 1, Running: 4, Adapters: map[string]int{"x": 3, "y": 1}}}))
		Expect(r.live(now)).To(Equal([]string{"a", "b"}))
	})

	It("forgets routers that are silent or leave", func() {
		r := newRouters(time.Now())
		r.take(now, from, &peer.Demand{Router: "a"})
		r.take(now, from, &peer.Demand{Router: "b"})
		r.take(now, from, &peer.Demand{Router: "b", Leaving: true})
		Expect(r.live(now)).To(Equal([]string{"a"}))
		Expect(r.live(now.Add(5 * time.Second))).To(BeEmpty())
	})
})
