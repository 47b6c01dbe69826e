package sidecar

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// Guards against estimates of an earlier instance at the address, or of routers that are gone.
var _ = Describe("the pooled speed", func() {
	It("contains the observations of this instance by live routers only", func() {
		now := time.Unix(1000, 0)
		r := newRouters(now)
		from := netip.MustParseAddrPort("127.0.0.1:1")
		observed := func(started int64, ratio float64) *speed.Observed {
			var u speed.Speeds
			for range 5 {
				u.Observe(now, speed.Interval, ratio, 1)
			}
			return u.Observed(now, "u", started)
		}
		r.applyMessage(now, from, &peer.Demand{Router: "a", Speed: observed(2, 4)}, 0)
		r.applyMessage(now, from, &peer.Demand{Router: "b", Speed: observed(1, 1)}, 0)
		r.applyMessage(now, from, &peer.Demand{Router: "c"}, 0)
		Expect(r.pooledSpeed(now, "u", 2).Estimates[speed.Interval].Log2).To(BeNumerically("~", 2, 0.3))
		Expect(r.pooledSpeed(now, "u", 3)).To(BeNil())
		Expect(r.pooledSpeed(now.Add(routerTimeout+time.Second), "u", 2)).To(BeNil())
	})
})
