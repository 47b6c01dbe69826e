package dispatch_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

var _ = Describe("retry decision", func() {
	var s *dispatch.State
	BeforeEach(func() {
		s = newState()
		add(s, upstream{id: "u1", plainService: true})
		add(s, upstream{id: "u2", plainService: true})
	})
	after := func(route *catalog.Route, outcomes ...dispatch.Outcome) dispatch.RetryDecision {
		r := request(route, "plain", "")
		var decision dispatch.RetryDecision
		for i, o := range outcomes {
			id := fmt.Sprintf("u%d", i+1)
			s.RecordStart(id, r)
			s.RecordEnd(now, id, r, o)
			decision = s.DecideRetry(now, r, o)
		}
		return decision
	}

	DescribeTable("after an unsuccessful attempt",
		func(route *catalog.Route, o dispatch.Outcome, retry bool, status int) {
			decision := after(route, o)
			Expect(decision.Retry).To(Equal(retry))
			if !retry {
				Expect(decision.Status).To(Equal(status))
			}
		},
		Entry("an idempotent request is retried after an interrupted answer", &getRoute, dispatch.Interrupted, true, 0),
		Entry("an idempotent request is retried after a failure", &getRoute, dispatch.Failed, true, 0),
		// Guards against retries that execute a non-idempotent request twice, such as a loan.
		Entry("a non-idempotent request is not retried after an interrupted answer", &postRoute, dispatch.Interrupted, false, http.StatusBadGateway),
		Entry("a non-idempotent request gets the upstream's error", &postRoute, dispatch.Failed, false, 0),
		Entry("a non-idempotent request is retried if it has not run", &postRoute, dispatch.NotRun, true, 0),
		Entry("a non-idempotent request is retried if nothing was sent", &postRoute, dispatch.NotConnected, true, 0),
		Entry("a stream that must not run twice is not retried", &chatRoute, dispatch.Interrupted, false, http.StatusBadGateway),
		Entry("a resumable stream is resumed", &reportRoute, dispatch.Interrupted, true, 0),
		Entry("a resumable stream is resumed when its upstream is unresponsive", &reportRoute, dispatch.Unresponsive, true, 0),
		// Guards against a 503, which guarantees that the request has not run, for one that may have run.
		Entry("a cancelled attempt is not answered with 503", &getRoute, dispatch.Cancelled, false, http.StatusBadGateway),
		Entry("an answer that ended at the deadline is one that came too late", &getRoute, dispatch.TimedOut, false, http.StatusGatewayTimeout),
		Entry("an attempt that never started is answered with 503", &postRoute, dispatch.Expired, false, http.StatusServiceUnavailable),
	)

	It("does not guarantee that a request has not run after a run and a refusal", func() {
		r := request(&getRoute, "plain", "")
		r.Route = &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1}
		s.RecordStart("u1", r)
		s.RecordEnd(now, "u1", r, dispatch.Interrupted)
		s.RecordStart("u2", r)
		s.RecordEnd(now, "u2", r, dispatch.NotRun)
		Expect(s.DecideRetry(now, r, dispatch.NotRun).Status).To(Equal(http.StatusBadGateway))
	})

	It("uses no more attempts than the route allows", func() {
		Expect(after(&getRoute, dispatch.Interrupted, dispatch.Interrupted).Retry).To(BeFalse())
	})

	// Guards against refusals at the limit on retries, and against its use, by requests of which nothing was sent.
	DescribeTable("does not count an attempt of which nothing was sent as a retry", func(o dispatch.Outcome) {
		setRouters(s, 10)
		for range 50 { // uses the limit up
			r := request(&getRoute, "plain", "")
			s.RecordStart("u1", r)
			s.RecordEnd(now, "u1", r, dispatch.Failed)
			_ = s.Decide(now, r)
		}
		Expect(after(&getRoute, dispatch.Failed).Retry).To(BeFalse())
		Expect(after(&getRoute, o).Retry).To(BeTrue())
	},
		Entry("no connection", dispatch.NotConnected),
		Entry("a refused connection", dispatch.NotListening),
		Entry("no proof of the instance", dispatch.Unproven),
	)

	// Guards against a router that uses more than its share of the retry limit, which all routers share.
	It("stops retrying at the router's share of the limit", func() {
		setRouters(s, 10)
		retries := func(at time.Time) (n int) {
			for range 50 {
				r := request(&getRoute, "plain", "")
				r.Deadline = at.Add(6 * time.Second)
				s.RecordStart("u1", r)
				s.RecordEnd(at, "u1", r, dispatch.Failed)
				if s.DecideRetry(at, r, dispatch.Failed).Retry && s.Decide(at, r).Action == dispatch.Send {
					n++
				}
			}
			return n
		}
		Expect(retries(now) + retries(now.Add(10*time.Second))).To(Equal(4))
	})
})
