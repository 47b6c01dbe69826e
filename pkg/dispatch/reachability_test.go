package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

var _ = Describe("unresponsive upstreams", func() {
	var s *dispatch.State
	later := now.Add(time.Second)
	makeUnresponsive := func(id string) {
		for range 3 {
			s.Fleet.RecordProbe(later, id)
		}
	}
	BeforeEach(func() {
		s = newState()
		add(s, upstream{id: "u1", models: []string{"a"}})
		add(s, upstream{id: "u2", onDisk: []string{"a"}, free: 50})
	})

	// Guards against requests that go to a frozen machine, or wait there for an adapter, for three seconds (decals,
	// trouble-2).
	It("do not get requests that another upstream can take", func() {
		add(s, upstream{id: "u3", models: []string{"a"}, queued: 3})
		makeUnresponsive("u1")
		d := s.Decide(later, request(&chatRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Send))
		Expect(d.Upstream.ID).To(Equal("u3"))
	})

	It("have their models loaded at other upstreams", func() {
		makeUnresponsive("u1")
		d := s.Decide(later, request(&chatRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(d.LoadRequest.Upstream).To(Equal("u2"))
	})

	It("get requests again after a heartbeat", func() {
		makeUnresponsive("u1")
		s.Fleet.RecordHeartbeat(later, "u1", 0)
		Expect(s.Decide(later, request(&chatRoute, "llm", "a")).Upstream.ID).To(Equal("u1"))
	})

	// Guards against refusing all requests when all agents have ended but the upstreams still serve.
	It("get requests if all are unresponsive, until a connection fails", func() {
		makeUnresponsive("u1")
		makeUnresponsive("u2")
		Expect(s.Decide(later, request(&chatRoute, "llm", "a")).Upstream.ID).To(Equal("u1"))
		r := request(&chatRoute, "llm", "a")
		s.RecordStart("u1", r)
		s.RecordEnd(later, "u1", r, dispatch.NotConnected)
		d := s.Decide(later, request(&chatRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Refuse))
		// Guards against a RetryAfter derived from a load at an unreachable upstream (frozen-engines, seed 22).
		Expect(d.RetryAfter).To(BeZero())
		s.Fleet.RecordHeartbeat(later, "u1", 0)
		Expect(s.Decide(later.Add(time.Second), request(&chatRoute, "llm", "a")).Upstream.ID).To(Equal("u1"))
	})

	It("are probed while requests run there or wait for a load there", func() {
		Expect(s.MembersToProbe(later)).To(BeEmpty())
		s.RecordStart("u1", request(&chatRoute, "llm", "a"))
		Expect(s.MembersToProbe(later)).To(HaveLen(1))
		s.AddWaiting(dispatch.LoadRequest{Upstream: "u2"}, 1)
		Expect(s.MembersToProbe(later)).To(HaveLen(2))
	})

	It("do not relay crash reports", func() {
		relays := s.Relays(later)
		Expect(relays).To(ConsistOf("u1:1", "u2:1"))
		makeUnresponsive("u1")
		Expect(s.Relays(later)).To(Equal([]string{"u2:1"}))
		add(s, upstream{id: "u3"})
		add(s, upstream{id: "u4"})
		add(s, upstream{id: "u5"})
		Expect(s.Relays(later)).To(HaveLen(3))
	})

	It("make the router probe all others", func() {
		add(s, upstream{id: "u3"})
		s.RecordStart("u1", request(&chatRoute, "llm", "a"))
		makeUnresponsive("u1")
		Expect(s.MembersToProbe(later)).To(HaveLen(2), "the unresponsive one is probed once a second")
		Expect(s.MembersToProbe(later.Add(time.Second))).To(HaveLen(3))
	})

	// Guards against an engine that gets nothing while its agent restarts, and against load requests that nobody can turn
	// into orders.
	It("are distinguished from those whose agent alone is unresponsive: these serve what they hold and load nothing", func() {
		makeUnresponsive("u1")
		makeUnresponsive("u2")
		add(s, upstream{id: "u3", onDisk: []string{"b"}, free: 50})
		s.Fleet.RecordHeartbeat(later, "u1", 0)
		s.Fleet.RecordHeartbeat(later, "u2", 0)
		Expect(s.Decide(later, request(&chatRoute, "llm", "a")).Upstream.ID).To(Equal("u1"))
		adapter := request(&chatRoute, "llm", "a")
		adapter.Adapter = "x"
		Expect(s.Decide(later, adapter).LoadRequest.Upstream).To(Equal("u3"))
		Expect(s.Relays(later)).To(Equal([]string{"u3:1"}))
		s.RecordStart("u1", request(&chatRoute, "llm", "a"))
		Expect(s.MembersToProbe(later.Add(time.Second))).To(HaveLen(1), "the router is not partitioned")
	})
})
