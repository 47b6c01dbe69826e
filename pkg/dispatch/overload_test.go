package dispatch_test

import (
	"runtime"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// Guards against sending requests into the queue of an overloaded upstream for longer than their callers wait: 59 of
// 108 in four seconds ended without an answer after the engine had processed their prompts (decals-grown, scale-1).
var _ = Describe("an overloaded model", func() {
	var s *dispatch.State
	decide := func(eventTimeout time.Duration) dispatch.Decision {
		r := request(&reportRoute, "llm", "a")
		r.EventDeadline, r.Deadline = now.Add(eventTimeout), now.Add(17*time.Second)
		return s.Decide(now, r)
	}
	BeforeEach(func() {
		s = newState()
		add(s, upstream{id: "u1", models: []string{"a"}, queued: 40}) // 6 s of queue
	})

	It("refuses callers that would disconnect before they are served, and returns a delay until the queue is short enough", func() {
		d := decide(4 * time.Second)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(BeNumerically(">=", 2*time.Second))
		Expect(d.RetryAfter).To(BeNumerically("<", 4*time.Second))
	})

	// Guards against a retry delay that is too short: callers sent back after some 80 ms met the same queue and were
	// refused for good, and a tenth of the worth of all requests was refused twice (vanstops-large, trouble-1).
	It("delays callers of a slightly overloaded model until the queue is shorter or another replica is loaded", func() {
		d := decide(6100 * time.Millisecond)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(BeNumerically(">", 2500*time.Millisecond))
		add(s, upstream{id: "u2", order: &placement.Order{Model: "a"}, orderMS: 4500})
		Expect(decide(6100 * time.Millisecond).RetryAfter).To(BeNumerically(">=", 4500*time.Millisecond))
	})

	It("serves callers that wait longer", func() {
		Expect(decide(10 * time.Second).Action).To(Equal(dispatch.Send))
	})

	It("retries a request that has been sent before", func() {
		r := request(&reportRoute, "llm", "a")
		r.EventDeadline = now.Add(4 * time.Second)
		s.RecordStart("u2", r)
		s.RecordEnd(now, "u2", r, dispatch.Interrupted)
		Expect(s.Decide(now, r).Action).To(Equal(dispatch.Send))
	})

	// Guards against refusing urgent requests for a queue of less urgent ones, which engines would admit after them:
	// librarians' questions were refused while summaries were served (vanstops-large, trouble-1: 0.70 of the credit
	// of chats, 0.73 of digests).
	It("serves urgent requests while less urgent ones would wait too long", func() {
		urgent, common := chatRoute, chatRoute
		urgent.Priority, common.Priority = 0, 1
		decideFor := func(route *catalog.Route) dispatch.Decision {
			r := request(route, "llm", "a")
			r.EventDeadline, r.Deadline = now.Add(4*time.Second), now.Add(17*time.Second)
			s.RecordArrival(now, r)
			return s.Decide(now, r)
		}
		for range 10 {
			decideFor(&urgent)
			decideFor(&common)
		}
		Expect(decideFor(&common).Action).To(Equal(dispatch.Refuse))
		Expect(decideFor(&urgent).Action).To(Equal(dispatch.Send))
	})
})

// Guards against a rate per name that a caller sent, with which a router's memory grows with the number of names.
var _ = Describe("requests for models that are not configured", func() {
	It("use no memory once they have ended", func() {
		const requests, limit = 50_000, 1 << 20 // bytes; an entry for each request would take some 20 MB
		s := newState()
		s.RecordArrival(now, request(&chatRoute, "llm", "none"))
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range requests {
			s.RecordArrival(now, &dispatch.Request{Route: &chatRoute, Service: "llm", Model: strconv.Itoa(i)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", limit))
		Expect(s.Decide(now, request(&chatRoute, "llm", "none")).Action).To(Equal(dispatch.Refuse))
	})
})
