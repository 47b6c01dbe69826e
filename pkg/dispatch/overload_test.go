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

// Requests for a model were sent into the queue of an overloaded upstream for longer than their callers wait: 59 of 108 in
// four seconds ended without an answer, and the engine read their prompts in vain (decals-grown, scale-1).
var _ = Describe("an overloaded model", func() {
	var s *dispatch.State
	decide := func(patience time.Duration) dispatch.Decision {
		r := request(&reportRoute, "llm", "a")
		r.EventDeadline, r.Deadline = now.Add(patience), now.Add(17*time.Second)
		return s.Decide(now, r)
	}
	BeforeEach(func() {
		s = newState()
		add(s, upstream{id: "u1", models: []string{"a"}, queued: 40}) // 6 s
	})

	It("refuses callers at once that leave before their turn, and tells them when the queue is short enough", func() {
		d := decide(4 * time.Second)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(BeNumerically(">=", 2*time.Second))
		Expect(d.RetryAfter).To(BeNumerically("<", 4*time.Second))
	})

	// Callers that were told to come back after some 80 ms met the same queue and were refused for good: a tenth of the worth
	// was refused twice (vanstops-large, trouble-1).
	It("tells callers that are refused for a little to come back when the queue is shorter or another copy is loaded", func() {
		d := decide(6100 * time.Millisecond)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(BeNumerically(">", 2500*time.Millisecond))
		add(s, upstream{id: "u2", order: &placement.Order{Model: "a"}, orderMS: 4500})
		Expect(decide(6100 * time.Millisecond).RetryAfter).To(BeNumerically(">=", 4500*time.Millisecond))
	})

	It("serves callers that wait for longer", func() {
		Expect(decide(10 * time.Second).Action).To(Equal(dispatch.Send))
	})

	It("goes on with a request that has been sent before", func() {
		r := request(&reportRoute, "llm", "a")
		r.EventDeadline = now.Add(4 * time.Second)
		s.RecordStart("u2", r)
		s.RecordEnd(now, "u2", r, dispatch.Interrupted)
		Expect(s.Decide(now, r).Action).To(Equal(dispatch.Send))
	})

	// Engines admit urgent requests first. Librarians' questions were refused for a queue of summaries that they would have
	// passed, while the summaries were served (vanstops-large, trouble-1: 0.70 of the credit of chats, 0.73 of digests).
	It("serves urgent requests although less urgent ones have to wait too long", func() {
		urgent, common := chatRoute, chatRoute
		urgent.Priority, common.Priority = 0, 1
		ask := func(route *catalog.Route) dispatch.Decision {
			r := request(route, "llm", "a")
			r.EventDeadline, r.Deadline = now.Add(4*time.Second), now.Add(17*time.Second)
			s.RecordArrival(now, r)
			return s.Decide(now, r)
		}
		for range 10 {
			ask(&urgent)
			ask(&common)
		}
		Expect(ask(&common).Action).To(Equal(dispatch.Refuse))
		Expect(ask(&urgent).Action).To(Equal(dispatch.Send))
	})
})

// Rates were kept for each name that a caller sent: a router's memory grew with the names.
var _ = Describe("requests for models that are not configured", func() {
	It("take no memory once they have ended", func() {
		const requests, limit = 50_000, 1 << 20 // bytes: an entry each would take some 20 MB
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
