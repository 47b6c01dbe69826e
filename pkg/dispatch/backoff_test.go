package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

// Guards against requests to an upstream that has asked for none for a while, also as a last resort: they keep it
// overloaded, and each of them is rejected.
var _ = Describe("an upstream that requests backoff", func() {
	const backoff = 2 * time.Second
	var s *dispatch.State
	BeforeEach(func() {
		s = newState()
		add(s, upstream{id: "u1", plainService: true})
		s.Fleet.RecordBackoff("u1", now.Add(backoff))
	})
	decide := func(at time.Time, deadline time.Duration) dispatch.Decision {
		r := request(&getRoute, "plain", "")
		r.Deadline = at.Add(deadline)
		return s.Decide(at, r)
	}

	It("gets none while another one serves them", func() {
		add(s, upstream{id: "u2", plainService: true})
		for range 20 {
			s.RecordStart("u2", request(&getRoute, "plain", ""))
		}
		Expect(decide(now, time.Second).Upstream.ID).To(Equal("u2"))
	})

	It("is waited for by requests that have the time", func() {
		d := decide(now, 6*time.Second)
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(d.Until).To(BeTemporally(">=", now.Add(backoff)))
		Expect(decide(now.Add(backoff), 6*time.Second).Action).To(Equal(dispatch.Send))
	})

	It("makes others come back after the backoff", func() {
		d := decide(now, 2100*time.Millisecond)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(BeNumerically(">", 0))
	})

	// Guards against requests that all arrive at the end of the backoff and overload the upstream again.
	It("gets the requests that waited one after the other", func() {
		ends := map[time.Time]bool{}
		for i := range uint64(8) {
			r := request(&getRoute, "plain", "")
			r.Fingerprint = i * 100
			ends[s.Decide(now, r).Until] = true
		}
		Expect(ends).To(HaveLen(8))
	})

	It("gets requests again after a restart", func() {
		u := s.Fleet.Get("u1").Upstream
		u.StartedUnixMS = 5
		s.Fleet.Put(now, u)
		u.StartedUnixMS = 6
		s.Fleet.RecordBackoff("u1", now.Add(backoff))
		s.Fleet.Put(now, u)
		Expect(decide(now, time.Second).Action).To(Equal(dispatch.Send))
	})

	It("is left for another one if that loads the model sooner", func() {
		add(s, upstream{id: "e1", models: []string{"a"}})
		s.Fleet.RecordBackoff("e1", now.Add(backoff))
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).WaitCause).To(Equal(dispatch.WaitBackoff))
		add(s, upstream{id: "e2", onDisk: []string{"a"}, free: 100})
		d := s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(d.LoadRequest).NotTo(BeNil())
		Expect(d.LoadRequest.Upstream).To(Equal("e2"))
	})
})
