package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var now = time.Unix(1000, 0)

// upstream returns the upstream named "<region><zone>-<n>", such as "a1-0".
func upstream(vm string) routing.Upstream {
	return routing.Upstream{VM: vm, Addr: vm + ":1", Region: vm[:1], Zone: vm[1:2], Group: "g", MemoryBytes: 100}
}

func upstreams(vms ...string) (out []routing.Upstream) {
	for _, vm := range vms {
		out = append(out, upstream(vm))
	}
	return out
}

func holders(vms ...string) map[string]grant.Object {
	var o grant.Object
	for _, vm := range vms {
		o.Grants = append(o.Grants, grant.Grant{VM: vm})
	}
	return map[string]grant.Object{"m": o}
}

func newState(seed uint64, v routing.View) *routing.State {
	s := routing.NewState("a", "1", rand.New(rand.NewPCG(seed, 0)))
	s.SetView(v)
	return s
}

func modelCriteria() routing.Criteria {
	return routing.Criteria{Kind: wire.KindModel, Group: "g", Target: engine.Target{Model: "m"}, MemoryBytes: 50, Ceiling: 3, Remaining: 4 * time.Second}
}

var _ = Describe("choice for a model", func() {
	// Guards against requests that leave the zone or region while a nearer holder can serve them.
	DescribeTable("prefers near holders", func(want string, vms ...string) {
		s := newState(1, routing.View{Upstreams: upstreams("a1-0", "a2-0", "b1-0"), Grants: holders(vms...)})
		c, code := s.Choose(now, modelCriteria())
		Expect(code).To(BeEmpty())
		Expect(c.Upstream.VM).To(Equal(want))
		Expect(c.AcquireGrant).To(BeFalse())
	},
		Entry("zone", "a1-0", "b1-0", "a2-0", "a1-0"),
		Entry("region", "a2-0", "b1-0", "a2-0"),
		Entry("elsewhere", "b1-0", "b1-0"),
	)

	// Guards against a burst at many routers that causes loads at several upstreams.
	It("sends the cold starts of all routers to one upstream, the one with the cheapest cached copy first", func() {
		all := upstreams("a1-0", "a2-0", "b1-0", "b1-1")
		coldStarts := map[string]int{}
		for i := range 20 {
			s := routing.NewState([]string{"a", "b"}[i%2], "1", rand.New(rand.NewPCG(uint64(i), 0)))
			s.SetView(routing.View{Upstreams: all})
			c, _ := s.Choose(now, modelCriteria())
			Expect(c.AcquireGrant).To(BeTrue())
			coldStarts[c.Upstream.VM]++
		}
		Expect(coldStarts).To(HaveLen(1))
		for i := range all {
			if coldStarts[all[i].VM] == 0 {
				all[i].Tiers = map[string]engine.Tier{"m": engine.TierDisk}
				c, _ := newState(1, routing.View{Upstreams: all}).Choose(now, modelCriteria())
				Expect(c.Upstream.VM).To(Equal(all[i].VM))
				break
			}
		}
	})

	// Guards against new work on leaving, excluded or unreachable upstreams (invariant I7).
	DescribeTable("leaves out", func(change func(v *routing.View, criteria *routing.Criteria, s *routing.State)) {
		v := routing.View{Upstreams: upstreams("a1-0", "a1-1"), Grants: holders("a1-0", "a1-1")}
		criteria := modelCriteria()
		change(&v, &criteria, nil)
		s := newState(1, v)
		change(&v, &criteria, s)
		for range 20 {
			c, _ := s.Choose(now, criteria)
			Expect(c.Upstream.VM).To(Equal("a1-1"))
		}
	},
		Entry("a VM that is leaving according to the VM list", func(v *routing.View, _ *routing.Criteria, _ *routing.State) { v.Upstreams[0].Draining = true }),
		Entry("an agent that reports that it is draining", func(_ *routing.View, _ *routing.Criteria, s *routing.State) {
			if s != nil {
				s.ApplyLoad("a1-0", wire.Load{Draining: true}, now)
			}
		}),
		Entry("a VM that failed the request", func(_ *routing.View, criteria *routing.Criteria, _ *routing.State) {
			criteria.Exclude = []string{"a1-0"}
		}),
		Entry("a VM that could not be reached", func(_ *routing.View, _ *routing.Criteria, s *routing.State) {
			if s != nil {
				s.RecordUnreachable("a1-0", now)
			}
		}),
	)

	// Guards against an upstream that is still avoided after its path has been replaced.
	It("returns to an upstream that reports again", func() {
		s := newState(1, routing.View{Upstreams: upstreams("a1-0", "a2-0"), Grants: holders("a1-0", "a2-0")})
		s.RecordUnreachable("a1-0", now)
		c, _ := s.Choose(now, modelCriteria())
		Expect(c.Upstream.VM).To(Equal("a2-0"))
		s.ApplyLoad("a1-0", wire.Load{}, now)
		c, _ = s.Choose(now, modelCriteria())
		Expect(c.Upstream.VM).To(Equal("a1-0"))
	})

	// Guards against a request that is refused because it was the one to find out that an upstream is still gone, and the
	// retry budget was spent.
	It("does not return to an unreachable upstream with a request that could not be retried", func() {
		s := newState(1, routing.View{Upstreams: upstreams("a1-0", "a2-0"), Grants: holders("a1-0", "a2-0")})
		s.RecordUnreachable("a1-0", now)
		later, c := now.Add(time.Minute), modelCriteria()
		c.NoRetry = true
		chosen, _ := s.Choose(later, c)
		Expect(chosen.Upstream.VM).To(Equal("a2-0"))
		c.NoRetry = false
		chosen, _ = s.Choose(later, c)
		Expect(chosen.Upstream.VM).To(Equal("a1-0"))
		c.NoRetry, c.Exclude = true, []string{"a2-0"}
		chosen, _ = s.Choose(later, c)
		Expect(chosen.Upstream.VM).To(Equal("a1-0"))
	})

	// Guards against all routers choosing the one upstream that looked idle, and against load being ignored: the
	// router's own count decides, and a reported queue breaks ties until it is 1 s old.
	It("chooses the less loaded of two", func() {
		s := newState(1, routing.View{Upstreams: upstreams("a1-0", "a1-1"), Grants: holders("a1-0", "a1-1")})
		s.ApplyLoad("a1-0", wire.Load{Running: 9, Queued: 1}, now)
		c, _ := s.Choose(now, modelCriteria())
		Expect(c.Upstream.VM).To(Equal("a1-1"))
		s.Begin("a1-1")
		c, _ = s.Choose(now, modelCriteria())
		Expect(c.Upstream.VM).To(Equal("a1-0"))
	})

	// Guards against an upstream that refuses at once: it never has outstanding requests, so it would attract all
	// others.
	DescribeTable("leaves out an upstream that has just refused", func(code wire.Code) {
		s := newState(1, routing.View{Upstreams: upstreams("a1-0", "a1-1"), Grants: holders("a1-0", "a1-1")})
		for range 3 {
			s.Begin("a1-1")
		}
		if code == wire.CodeQueueFull {
			s.End("a1-1")
			s.End("a1-1")
			s.End("a1-1")
		}
		s.RecordRefusal("a1-0", code, now)
		c, _ := s.Choose(now, modelCriteria())
		Expect(c.Upstream.VM).To(Equal("a1-1"))
		s.Begin("a1-1")
		c, _ = s.Choose(now.Add(3*time.Second), modelCriteria())
		Expect(c.Upstream.VM).To(Equal("a1-0"))
	},
		Entry("because its upstream is down, although it has fewer requests", wire.CodeUpstreamDown),
		Entry("because its queue is full, at an equal number of requests", wire.CodeQueueFull))

	// Guards against prefix affinity that piles requests on a full upstream.
	It("returns to the upstream with the prefix while its queue allows it", func() {
		criteria := modelCriteria()
		criteria.PrefixHash = 7
		s := newState(3, routing.View{Upstreams: upstreams("a1-0", "a1-1", "a1-2"), Grants: holders("a1-0", "a1-1", "a1-2")})
		first, _ := s.Choose(now, criteria)
		for range 20 {
			c, _ := s.Choose(now, criteria)
			Expect(c.Upstream.VM).To(Equal(first.Upstream.VM))
		}
		s.ApplyLoad(first.Upstream.VM, wire.Load{Queued: 5}, now)
		c, _ := s.Choose(now, criteria)
		Expect(c.Upstream.VM).NotTo(Equal(first.Upstream.VM))
	})

	// Guards against waiting at busy holders while replicas are below the ceiling, and against replicas beyond it
	// (invariant I1).
	DescribeTable("asks for one more replica", func(ceiling int, predictedMS uint32, acquireGrant bool) {
		s := newState(1, routing.View{Upstreams: upstreams("a1-0", "a1-1"), Grants: holders("a1-0")})
		s.ApplyLoad("a1-0", wire.Load{PredictedWaitMS: predictedMS}, now)
		criteria := modelCriteria()
		criteria.Ceiling = ceiling
		c, _ := s.Choose(now, criteria)
		Expect(c.AcquireGrant).To(Equal(acquireGrant))
	},
		Entry("when the wait exceeds half of the deadline", 2, uint32(2001), true),
		Entry("not when the wait is half of the deadline", 2, uint32(2000), false),
		Entry("not at the ceiling", 1, uint32(2001), false),
	)

	// Guards against a lagging view that lacks the holders named by an agent.
	It("follows hints", func() {
		criteria := modelCriteria()
		criteria.Exclude, criteria.Hints = []string{"a1-0"}, []string{"b1-0"}
		c, _ := newState(1, routing.View{Upstreams: upstreams("a1-0", "a1-1", "b1-0"), Grants: holders("a1-0")}).Choose(now, criteria)
		Expect(c.Upstream.VM).To(Equal("b1-0"))
	})
})

var _ = Describe("choice for a keyed call", func() {
	// Guards against a keyed call that is sent to an agent that does not own its slot (invariant I6).
	DescribeTable("chooses the slot's owner only", func(change func(criteria *routing.Criteria, u []routing.Upstream), vm string, code wire.Code) {
		var o once.Owners
		o.Slots[5] = once.Slot{Owner: "a1-1", Epoch: 3}
		u := upstreams("a1-0", "a1-1")
		criteria := routing.Criteria{Kind: wire.KindPlain, Service: "s", Group: "g", NonIdempotent: true, Slot: 5, FirstSend: true}
		change(&criteria, u)
		c, got := newState(1, routing.View{Upstreams: u, Owners: map[string]once.Owners{"s": o}}).Choose(now, criteria)
		Expect(got).To(Equal(code))
		Expect(c.Upstream.VM).To(Equal(vm))
	},
		Entry("live", func(*routing.Criteria, []routing.Upstream) {}, "a1-1", wire.Code("")),
		Entry("failed", func(criteria *routing.Criteria, _ []routing.Upstream) { criteria.Exclude = []string{"a1-1"} }, "", wire.CodeUpstreamDown),
		Entry("draining, first send", func(_ *routing.Criteria, u []routing.Upstream) { u[1].Draining = true }, "", wire.CodeDraining),
		Entry("draining, retry", func(criteria *routing.Criteria, u []routing.Upstream) {
			u[1].Draining, criteria.FirstSend = true, false
		}, "a1-1", wire.Code("")),
		Entry("gone from the list", func(_ *routing.Criteria, u []routing.Upstream) { u[1].VM = "a1-2" }, "", wire.CodeUpstreamDown),
	)
})

var _ = Describe("retries", func() {
	// Guards against a second run of a non-idempotent call (invariant I6), endless resumes, a truncated answer that
	// starts over from the beginning, and a request that crashes one upstream after the other.
	DescribeTable("are decided by", func(result routing.AttemptResult, want routing.RetryDecision) {
		Expect(routing.DecideRetry(result)).To(Equal(want))
	},
		Entry("path lost", routing.AttemptResult{MaybeSent: true, Lost: true}, routing.Resume),
		Entry("path lost, keyed", routing.AttemptResult{MaybeSent: true, Lost: true, NonIdempotent: true}, routing.Resume),
		Entry("resume failed", routing.AttemptResult{MaybeSent: true, Lost: true, Resumes: 1}, routing.OtherUpstream),
		Entry("resume failed, keyed", routing.AttemptResult{MaybeSent: true, Lost: true, Resumes: 1, NonIdempotent: true}, routing.ReturnRefusal),
		Entry("resume failed, part of the answer delivered", routing.AttemptResult{MaybeSent: true, Lost: true, Resumes: 1, NotContinuable: true}, routing.ReturnRefusal),
		Entry("dial failed", routing.AttemptResult{Lost: true}, routing.OtherUpstream),
		Entry("dial failed, keyed", routing.AttemptResult{Lost: true, NonIdempotent: true}, routing.ReturnRefusal),
		Entry("no replica", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeNoReplica}, routing.OtherUpstream),
		Entry("engine died", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeUnknown, Code: wire.CodeUpstreamDown, Crashes: 1}, routing.OtherUpstream),
		Entry("two engines died", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeUnknown, Code: wire.CodeUpstreamDown, Crashes: 2}, routing.ReturnRefusal),
		Entry("engine died, keyed", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeUnknown, Code: wire.CodeUpstreamDown, NonIdempotent: true}, routing.ReturnRefusal),
		Entry("queue full, keyed", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeQueueFull, NonIdempotent: true}, routing.ReturnRefusal),
		Entry("not the owner", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeNotOwner, NonIdempotent: true}, routing.Redirect),
		Entry("not the owner after a lost attempt", routing.AttemptResult{MaybeSent: true, LostBefore: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeNotOwner, NonIdempotent: true}, routing.ReturnRefusal),
		Entry("too late at a holder", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeTooLate}, routing.OtherUpstream),
		Entry("too late for a load", routing.AttemptResult{MaybeSent: true, ColdStart: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeTooLate}, routing.ReturnRefusal),
		Entry("expired", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeExpired}, routing.ReturnRefusal),
		Entry("quarantined", routing.AttemptResult{MaybeSent: true, Outcome: wire.OutcomeNotRun, Code: wire.CodeQuarantined}, routing.ReturnRefusal),
	)

	// Guards against retries that multiply an overload, and against a router with few requests that can never retry.
	DescribeTable("stay within the budget", func(requests, allowed int) {
		var b routing.Budget
		for range requests {
			b.RecordRequest(now)
		}
		got := 0
		for b.AllowRetry(now.Add(9 * time.Second)) {
			got++
		}
		Expect(got).To(Equal(allowed))
		Expect(b.AllowRetry(now.Add(30 * time.Second))).To(BeTrue())
	},
		Entry(nil, 0, 3), Entry(nil, 30, 3), Entry(nil, 100, 10), Entry(nil, 1000, 100),
	)
})

// Guards against a choice that depends on map order or on anything else but the seed.
func TestChoiceIsDeterministic(t *testing.T) {
	run := func() (out []string) {
		var vms []string
		for i := range 50 {
			vms = append(vms, fmt.Sprintf("a1-%d", i))
		}
		s := newState(9, routing.View{Upstreams: upstreams(vms...), Grants: holders(vms...)})
		for range 100 {
			c, _ := s.Choose(now, modelCriteria())
			s.Begin(c.Upstream.VM)
			out = append(out, c.Upstream.VM)
		}
		return out
	}
	a, b := run(), run()
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("choice %d: %s and %s", i, a[i], b[i])
		}
	}
}
