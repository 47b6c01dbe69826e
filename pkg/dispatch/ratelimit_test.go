package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

// rateLimits are limits by upstream.
type rateLimits struct {
	limits  map[string]dispatch.RateLimit
	ahead   []string
	refused int
}

func (f *rateLimits) Any() bool { return len(f.limits) > 0 }

func (f *rateLimits) Limit(i upstreamlimit.Instance) (dispatch.RateLimit, bool) {
	l, ok := f.limits[i.ID]
	return l, ok
}

func (f *rateLimits) WantAhead(i upstreamlimit.Instance) { f.ahead = append(f.ahead, i.ID) }

func (f *rateLimits) RetryIn(upstreamlimit.Instance, float64) time.Duration {
	f.refused++
	return 3 * time.Second
}

// Guards against requests beyond the rate that an upstream takes from all routers, and against an upstream that is taken
// for a dead one because of it.
var _ = Describe("an upstream that takes a limited rate", func() {
	var s *dispatch.State
	var f *rateLimits
	BeforeEach(func() {
		s, f = newState(), &rateLimits{limits: map[string]dispatch.RateLimit{}}
		s.RateLimits = f
	})
	plain := func() *dispatch.Request {
		r := request(&getRoute, "plain", "")
		r.Deadline = now.Add(6 * time.Second)
		return r
	}

	Context("of a plain service", func() {
		BeforeEach(func() {
			add(s, upstream{id: "u1", plainService: true})
			f.limits["u1"] = dispatch.RateLimit{Wait: time.Second}
		})

		It("gets no request without a token while another one serves it, and is asked for one ahead", func() {
			add(s, upstream{id: "u2", plainService: true})
			for range 20 {
				s.RecordStart("u2", request(&getRoute, "plain", ""))
			}
			Expect(s.Decide(now, plain()).Upstream.ID).To(Equal("u2"))
			Expect(f.ahead).To(ConsistOf("u1"))
		})

		It("gets a request for which the router has a token", func() {
			add(s, upstream{id: "u2", plainService: true})
			for range 20 {
				s.RecordStart("u2", request(&getRoute, "plain", ""))
			}
			f.limits["u1"] = dispatch.RateLimit{Ready: true}
			Expect(s.Decide(now, plain()).Upstream.ID).To(Equal("u1"))
			f.limits["u1"] = dispatch.RateLimit{}
			r := plain()
			r.RateToken = "u1"
			Expect(s.Decide(now, r).Upstream.ID).To(Equal("u1"))
		})

		It("is waited for if no other one serves the request", func() {
			d := s.Decide(now, plain())
			Expect(d.Action).To(Equal(dispatch.Wait))
			Expect(d.WaitCause).To(Equal(dispatch.WaitRate))
			Expect(d.Upstream.ID).To(Equal("u1"))
		})

		It("is waited for no longer than half of the time that is left", func() {
			r := plain()
			Expect(s.Decide(now, r).Action).To(Equal(dispatch.Wait))
			f.limits["u1"] = dispatch.RateLimit{Wait: time.Hour} // of a further request; this one has its place
			Expect(s.Decide(now.Add(2900*time.Millisecond), r).Action).To(Equal(dispatch.Wait))
			Expect(s.Decide(now.Add(3100*time.Millisecond), r).Action).To(Equal(dispatch.Refuse))
		})

		It("makes a caller come back that it can't serve in time, within a third of the time left", func() {
			f.limits["u1"] = dispatch.RateLimit{Wait: 4 * time.Second}
			d := s.Decide(now, plain())
			Expect(d.Action).To(Equal(dispatch.Refuse))
			Expect(d.RetryAfter).To(Equal(2 * time.Second))
			Expect(f.refused).To(Equal(1))
		})

		It("is passed over for one that gives a token sooner", func() {
			add(s, upstream{id: "u2", plainService: true})
			f.limits["u2"] = dispatch.RateLimit{Wait: 100 * time.Millisecond}
			Expect(s.Decide(now, plain()).Upstream.ID).To(Equal("u2"))
		})

		It("gets a retry with a token only", func() {
			add(s, upstream{id: "u2", plainService: true})
			f.limits["u1"] = dispatch.RateLimit{Ready: true}
			r := plain()
			s.RecordArrival(now, r)
			Expect(s.Decide(now, r).Action).To(Equal(dispatch.Send))
			f.limits["u1"] = dispatch.RateLimit{Wait: 500 * time.Millisecond}
			s.RecordStart("u2", r)
			s.RecordEnd(now, "u2", r, dispatch.Interrupted)
			d := s.Decide(now, r)
			Expect(d.WaitCause).To(Equal(dispatch.WaitRate))
			Expect(d.Upstream.ID).To(Equal("u1"))
		})

		It("is not confirmed for a request without a token", func() {
			Expect(s.ConfirmSend(now, plain(), "u1")).To(BeFalse())
			r := plain()
			r.RateToken = "u1"
			Expect(s.ConfirmSend(now, r, "u1")).To(BeTrue())
		})
	})

	Context("of a service with models", func() {
		BeforeEach(func() {
			add(s, upstream{id: "e1", models: []string{"a"}})
			add(s, upstream{id: "e2", onDisk: []string{"a"}, free: 100})
		})

		// Guards against a model that stays on the upstream in need only.
		It("has its model loaded elsewhere while requests wait", func() {
			f.limits["e1"] = dispatch.RateLimit{Wait: 500 * time.Millisecond}
			r := request(&reportRoute, "llm", "a")
			r.Deadline = now.Add(6 * time.Second)
			Expect(s.Decide(now, r).WaitCause).To(Equal(dispatch.WaitRate))
			Expect(s.LoadRequests(now)).To(HaveKey(HaveField("Upstream", "e2")))
		})

		It("is left for another one that loads the model in time", func() {
			f.limits["e1"] = dispatch.RateLimit{Wait: time.Minute}
			r := request(&reportRoute, "llm", "a")
			r.Deadline = now.Add(6 * time.Second)
			d := s.Decide(now, r)
			Expect(d.WaitCause).To(Equal(dispatch.WaitModel))
			Expect(d.LoadRequest.Upstream).To(Equal("e2"))
		})
	})

	Context("without a sidecar", func() {
		It("has the same holder at all routers, and an engine its own sidecar", func() {
			Expect(s.LimitHolder(now, "u1")).To(BeEmpty())
			other := newState()
			for _, st := range []*dispatch.State{s, other} {
				add(st, upstream{id: "u1", plainService: true})
			}
			for _, id := range []string{"e1", "e2", "e3"} {
				add(s, upstream{id: id})
			}
			for _, id := range []string{"e3", "e1", "e2"} {
				add(other, upstream{id: id})
			}
			Expect(s.LimitHolder(now, "u1")).To(Equal(other.LimitHolder(now, "u1")))
			Expect(s.LimitHolder(now, "u1")).To(BeElementOf(s.Fleet.Get("e1").Address, s.Fleet.Get("e2").Address, s.Fleet.Get("e3").Address))
			Expect(s.LimitHolder(now, "e2")).To(Equal(s.Fleet.Get("e2").Address))
		})
	})
})

var _ dispatch.RateLimits = &rateLimits{}
