package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

var _ = Describe("silent upstreams", func() {
	var s *dispatch.State
	later := now.Add(time.Second)
	silence := func(id string) {
		for range 3 {
			s.Fleet.RecordProbe(later, id)
		}
	}
	BeforeEach(func() {
		s = newState()
		add(s, upstream{id: "u1", models: []string{"a"}})
		add(s, upstream{id: "u2", onDisk: []string{"a"}, free: 50})
	})

	// Requests went to a frozen machine, or waited there for an adapter, for three seconds (decals, trouble-2).
	It("do not get requests that another upstream can take", func() {
		add(s, upstream{id: "u3", models: []string{"a"}, queued: 3})
		silence("u1")
		d := s.Decide(later, request(&chatRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Send))
		Expect(d.Upstream.ID).To(Equal("u3"))
	})

	It("have their models loaded elsewhere", func() {
		silence("u1")
		d := s.Decide(later, request(&chatRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(d.LoadRequest.Upstream).To(Equal("u2"))
	})

	It("get requests again when they report", func() {
		silence("u1")
		s.Fleet.RecordHeartbeat(later, "u1")
		Expect(s.Decide(later, request(&chatRoute, "llm", "a")).Upstream.ID).To(Equal("u1"))
	})

	// All agents can be gone while the upstreams serve.
	It("get requests if all are silent, until a connection fails", func() {
		silence("u1")
		silence("u2")
		Expect(s.Decide(later, request(&chatRoute, "llm", "a")).Upstream.ID).To(Equal("u1"))
		r := request(&chatRoute, "llm", "a")
		s.RecordStart("u1", r)
		s.RecordEnd(later, "u1", r, dispatch.NotConnected)
		d := s.Decide(later, request(&chatRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Refuse))
		// Callers were told to wait until a load at an upstream out of reach would end (own day frozen-engines, seed 22).
		Expect(d.RetryAfter).To(BeZero())
		s.Fleet.RecordHeartbeat(later, "u1")
		Expect(s.Decide(later.Add(time.Second), request(&chatRoute, "llm", "a")).Upstream.ID).To(Equal("u1"))
	})

	It("are asked while requests run there or wait for them", func() {
		Expect(s.Quiet(later)).To(BeEmpty())
		s.RecordStart("u1", request(&chatRoute, "llm", "a"))
		Expect(s.Quiet(later)).To(HaveLen(1))
		s.AddWaiting(dispatch.LoadRequest{Upstream: "u2"}, 1)
		Expect(s.Quiet(later)).To(HaveLen(2))
	})

	It("pass no crash reports on", func() {
		relays := s.Relays(later)
		Expect(relays).To(ConsistOf("u1:1", "u2:1"))
		silence("u1")
		Expect(s.Relays(later)).To(Equal([]string{"u2:1"}))
		add(s, upstream{id: "u3"})
		add(s, upstream{id: "u4"})
		add(s, upstream{id: "u5"})
		Expect(s.Relays(later)).To(HaveLen(3))
	})

	It("make the router ask all others", func() {
		add(s, upstream{id: "u3"})
		s.RecordStart("u1", request(&chatRoute, "llm", "a"))
		silence("u1")
		Expect(s.Quiet(later)).To(HaveLen(2), "the silent one is asked once a second")
		Expect(s.Quiet(later.Add(time.Second))).To(HaveLen(3))
	})
})
