package sidecar

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

var _ = Describe("limit on loads from the weight store", func() {
	now := time.Unix(1000, 0)

	// Guards against more than rate x window x factor + 3 loads in any window over all upstreams, also when all try to
	// load at once and when there are more upstreams than loads per window.
	DescribeTable("is kept over all upstreams when each uses its share",
		func(rate float64, upstreams int) {
			window, factor, step := 5*time.Second, 1.1, 100*time.Millisecond
			limits := make([]*fetchLimiter, upstreams)
			for i := range limits {
				limits[i] = newFetchLimiter(window, factor)
			}
			var started []time.Time
			for at := now; at.Sub(now) < 120*time.Second; at = at.Add(step) {
				for i, f := range limits {
					if f.allowed(at, rate, i, upstreams) {
						f.recordStart(at)
						started = append(started, at)
					}
				}
			}
			Expect(len(started)).To(BeNumerically(">=", upstreams)) // each upstream may load
			for i, first := range started {
				inWindow := 0
				for _, at := range started[i:] {
					if at.Sub(first) <= window {
						inWindow++
					}
				}
				Expect(float64(inWindow)).To(BeNumerically("<=", rate*window.Seconds()*factor+fetchAllowance))
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

// Guards against callers that wait for a load until they disconnect: a fetch that took four times as long as expected
// was reported as about to end (vanstops-grown, trouble-1).
var _ = Describe("remaining time of an order", func() {
	It("grows with the time beyond its expected end", func() {
		startedAt := time.Unix(1000, 0)
		order := orderInProgress{startedAt: startedAt, expectedEnd: startedAt.Add(10 * time.Second)}
		Expect(order.remaining(startedAt.Add(4 * time.Second))).To(Equal(6 * time.Second))
		Expect(order.remaining(startedAt.Add(20 * time.Second))).To(Equal(4 * time.Second))
	})
})

var _ = Describe("reports to routers", func() {
	DescribeTable("are due",
		func(age time.Duration, changed, loadChanged, sameRegion, expected bool) {
			Expect(due(age, changed, loadChanged, sameRegion)).To(Equal(expected))
		},
		Entry("change at once", time.Duration(0), true, false, false, true),
		Entry("load change soon in the region", 300*time.Millisecond, false, true, true, true),
		Entry("load change later in another region", 300*time.Millisecond, false, true, false, false),
		Entry("no change in the region", 600*time.Millisecond, false, false, true, true),
		Entry("no change in another region", 1600*time.Millisecond, false, false, false, true),
		Entry("too early", 100*time.Millisecond, false, true, true, false),
	)
})

var _ = Describe("routers", func() {
	now := time.Unix(1000, 0)
	from := netip.MustParseAddrPort("10.0.0.1:7")

	It("adds up the demand of the live routers", func() {
		r := newRouters(time.Now())
		r.applyMessage(now, from, &peer.Demand{Router: "a", Here: []peer.LoadRequest{{Model: "m", Waiting: 2}},
			ModelUsage: []peer.ModelUsage{{Model: "h", HigherRanked: 2, Running: 1, Rate: 1, Adapters: map[string]int{"x": 1}}}}, 1)
		r.applyMessage(now, from, &peer.Demand{Router: "b", Here: []peer.LoadRequest{{Model: "m", Waiting: 1}, {Model: "m", Adapter: "x", Waiting: 1}},
			ModelUsage: []peer.ModelUsage{{Model: "h", HigherRanked: 1, Running: 3, Rate: 2, Adapters: map[string]int{"x": 2, "y": 1}}}}, 1)
		d := r.demand(now)
		Expect(d.Models).To(Equal(map[string]int{"m": 3}))
		Expect(d.Adapters).To(Equal(map[placement.Adapter]int{{Model: "m", Name: "x"}: 1}))
		Expect(d.Rate).To(Equal(map[string]float64{"h": 3}))
		Expect(d.ModelUsage).To(Equal(map[string]placement.ModelUsage{"h": {HigherRanked: 1, Running: 4, Adapters: map[string]int{"x": 3, "y": 1}}}))
		Expect(r.liveNames(now)).To(Equal([]string{"a", "b"}))
	})

	It("removes routers that are unresponsive or leave", func() {
		r := newRouters(time.Now())
		r.applyMessage(now, from, &peer.Demand{Router: "a"}, 1)
		r.applyMessage(now, from, &peer.Demand{Router: "b"}, 1)
		r.applyMessage(now, from, &peer.Demand{Router: "b", Leaving: true}, 1)
		Expect(r.liveNames(now)).To(Equal([]string{"a"}))
		Expect(r.liveNames(now.Add(5 * time.Second))).To(BeEmpty())
	})

	// Guards against forged messages that exhaust memory, and against one sender that takes the places of all routers.
	It("bounds what messages make it store, and has room again when routers are gone", func() {
		r := newRouters(time.Now())
		apply := func(name, ip string, size int) bool {
			d := &peer.Demand{Router: name}
			from := netip.AddrPortFrom(netip.MustParseAddr(ip), 7)
			ok := r.admit(from, d, size)
			if ok {
				r.applyMessage(now, from, d, size)
			}
			return ok
		}
		for i := range maxRoutersPerAddress {
			Expect(apply(fmt.Sprint("a", i), "10.0.0.1", 1)).To(BeTrue())
		}
		Expect(apply("a", "10.0.0.1", 1)).To(BeFalse())
		Expect(apply("a0", "10.0.0.1", 1)).To(BeTrue())
		Expect(apply("b", "10.0.0.2", 1)).To(BeTrue())
		Expect(apply("b", "10.0.0.2", maxDemandBytes)).To(BeFalse())
		Expect(r.liveNames(now.Add(5 * time.Second))).To(BeEmpty())
		Expect(apply("b", "10.0.0.2", maxDemandBytes)).To(BeTrue())
		for i := range maxAdapterUses + 1 {
			r.recordAdapterUse(now.Add(time.Duration(i)), placement.Adapter{Model: "m", Name: fmt.Sprint(i)})
		}
		Expect(len(r.adapterUsedAt)).To(BeNumerically("<", maxAdapterUses))
		Expect(r.adapterUsedAt).To(HaveKey(placement.Adapter{Model: "m", Name: fmt.Sprint(maxAdapterUses)}))
	})
})
