package router_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

func serve(r *router.Router, req *router.Request) (router.Result, *recorder) {
	rec := &recorder{}
	res, err := r.Serve(context.Background(), req, rec)
	Expect(err).NotTo(HaveOccurred())
	return res, rec
}

var _ = Describe("router", func() {
	// Guards against goroutines that outlive their request, connection or agent.
	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(before) }).WithTimeout(5 * time.Second).Should(Succeed())
		})
	})

	// Guards against an unresponsive path that stalls a stream for longer than 2 s, against a resume over the dead
	// path, and against bytes lost or repeated at the resume offset. The timeout is scaled down by
	// 5, from 1.5 s to 300 ms.
	DescribeTable("resumes an unresponsive stream from a new local port", func(keyed bool) {
		agent := newFakeAgent("vm-0", func(c *call) {
			if !c.Resume {
				c.head(plainText)
				c.data(0, "01234")
				return // unresponsive: neither data nor pings
			}
			c.answer(plainText, "0123456789")
		})
		req := modelRequest("a")
		if keyed {
			req = keyedRequest("a")
		}
		start := time.Now()
		res, rec := serve(newRouter(router.Options{}, agent), req)
		Expect(res.Outcome).To(Equal(wire.OutcomeDone))
		Expect(rec.body.String()).To(Equal("0123456789"))
		Expect(time.Since(start)).To(BeNumerically("<", 2*livenessTimeout))
		Expect(agent.calls()[1].Offset).To(Equal(uint64(5)))
		Expect(agent.calls()[1].Attempt).To(Equal(uint32(2)))
		Expect(agent.remoteAddrs()[1]).NotTo(Equal(agent.remoteAddrs()[0]))
	}, Entry("of a model", false), Entry("of a keyed call", true))

	// Guards against frames of another request or attempt, and duplicate frames, reaching the caller (invariant I4).
	It("drops crossed, stale and duplicate frames", func() {
		agent := newFakeAgent("vm-0", func(c *call) {
			c.head(plainText)
			c.data(0, "0123")
			c.data(0, "0123")
			c.send(&wire.Data{Request: "other", Attempt: c.Attempt, Offset: 4, Bytes: []byte("XXXX")})
			c.send(&wire.Data{Request: c.Request, Attempt: c.Attempt - 1, Offset: 4, Bytes: []byte("YYYY")})
			c.send(&wire.End{Request: "other", Attempt: c.Attempt, Outcome: wire.OutcomeDone, Length: 4})
			c.send(&wire.Refuse{Request: "other", Attempt: c.Attempt, Outcome: wire.OutcomeNotRun, Code: wire.CodeDraining})
			c.data(2, "234567")
			c.end(8)
		})
		res, rec := serve(newRouter(router.Options{}, agent), modelRequest("a"))
		Expect(res.Outcome).To(Equal(wire.OutcomeDone))
		Expect(rec.body.String()).To(Equal("01234567"))
	})

	// Guards against a truncated answer delivered as a complete one, however the agent fails after a part of it.
	DescribeTable("never delivers a truncated answer as complete", func(contentType string, fail func(c *call)) {
		agent := newFakeAgent("vm-0", func(c *call) { c.head(contentType); c.data(0, token("x", "a")); fail(c) })
		res, rec := serve(newRouter(router.Options{}, agent), keyedRequest("a"))
		Expect(res.Outcome).To(Equal(wire.OutcomeUnknown))
		Expect(rec.complete).To(BeFalse())
		Expect(rec.body.String()).NotTo(ContainSubstring("DONE"))
	},
		Entry("end of stream", plainText, func(c *call) { _ = c.st.CloseWrite() }),
		Entry("reset", plainText, func(c *call) { c.st.Reset() }),
		Entry("announced length is longer", plainText, func(c *call) { c.end(9999) }),
		Entry("announced length is shorter", plainText, func(c *call) { c.end(1) }),
		Entry("end marker without End frame", eventStream, func(c *call) { c.data(len(token("x", "a")), endMarker); _ = c.st.CloseWrite() }),
		Entry("refusal", eventStream, func(c *call) { c.refuse(wire.OutcomeUnknown, wire.CodeUpstreamDown) }),
	)

	// Guards against a request that fails with its agent although another agent could answer it.
	DescribeTable("retries a model request at another upstream when the agent", func(first func(c *call)) {
		a := newFakeAgent("vm-0", first)
		b := newFakeAgent("vm-1", func(c *call) { c.answer(plainText, "whole") })
		res, rec := serve(newRouter(router.Options{}, a, b), modelRequest("a"))
		Expect(res.Outcome).To(Equal(wire.OutcomeDone))
		Expect(rec.body.String()).To(Equal("whole"))
		Expect(b.calls()).To(HaveLen(1))
		Expect(b.calls()[0].Offset).To(BeZero())
		Expect(b.calls()[0].Resume).To(BeFalse())
	},
		Entry("refuses", func(c *call) { c.refuse(wire.OutcomeNotRun, wire.CodeQueueFull) }),
		Entry("loses its engine", func(c *call) { c.refuse(wire.OutcomeUnknown, wire.CodeUpstreamDown) }),
		Entry("dies before the first byte", func(c *call) { _ = c.conn.Close() }),
		Entry("dies after a part of an answer that was not delivered", func(c *call) { c.head(plainText); c.data(0, "wh"); _ = c.conn.Close() }),
	)

	// Guards against a stream that fails with its upstream, and against repeated text, a second id or a second opening
	// event where the second upstream continues.
	It("continues a stream at another upstream from the text so far", func() {
		a := newFakeAgent("vm-0", func(c *call) {
			if !c.Resume {
				c.head(eventStream)
				c.data(0, token("first", "Once ")+token("first", "upon ")+"data: {\"choi")
			}
			_ = c.st.CloseWrite()
		})
		b := newFakeAgent("vm-1", func(c *call) {
			opening := "data: {\"id\":\"second\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n"
			c.answer(eventStream, opening+token("second", "a time")+endMarker)
		})
		res, rec := serve(newRouter(router.Options{}, a, b), modelRequest("a"))
		Expect(res.Outcome).To(Equal(wire.OutcomeDone))
		Expect(rec.heads).To(Equal(1))
		Expect(string(b.calls()[0].Prefix)).To(Equal("Once upon "))
		Expect(rec.body.String()).To(Equal(token("first", "Once ") + token("first", "upon ") + token("first", "a time") + endMarker))
	})

	// Guards against a second run of a finished text of which only the end marker was lost.
	It("ends a stream whose text was complete", func() {
		finish := "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
		a := newFakeAgent("vm-0", func(c *call) { c.head(eventStream); c.data(0, token("x", "all")+finish); _ = c.st.CloseWrite() })
		b := newFakeAgent("vm-1", func(c *call) { c.answer(eventStream, token("y", "more")+endMarker) })
		res, rec := serve(newRouter(router.Options{}, a, b), modelRequest("a"))
		Expect(res.Outcome).To(Equal(wire.OutcomeDone))
		Expect(rec.body.String()).To(Equal(token("x", "all") + finish + endMarker))
		Expect(b.calls()).To(BeEmpty())
	})

	// Guards against a second run of a keyed call (invariant I6) and against an unconfirmed not-run (I5).
	DescribeTable("does not send a keyed call to a second owner when the owner", func(want wire.Outcome, firstSend bool, owner func(c *call)) {
		a := newFakeAgent("vm-0", owner)
		b := newFakeAgent("vm-1", func(c *call) { c.answer(plainText, "second run") })
		req := keyedRequest("a")
		req.FirstSend = firstSend
		res, rec := serve(newRouter(router.Options{}, a, b), req)
		Expect(res.Outcome).To(Equal(want))
		Expect(rec.heads).To(BeZero())
		Expect(b.calls()).To(BeEmpty())
	},
		Entry("dies", wire.OutcomeUnknown, true, func(c *call) { _ = c.conn.Close() }),
		Entry("is unresponsive", wire.OutcomeUnknown, true, func(*call) {}),
		Entry("loses its upstream", wire.OutcomeUnknown, true, func(c *call) { c.refuse(wire.OutcomeUnknown, wire.CodeUpstreamDown) }),
		Entry("is full", wire.OutcomeNotRun, true, func(c *call) { c.refuse(wire.OutcomeNotRun, wire.CodeQueueFull) }),
		Entry("is not the owner, after an earlier send", wire.OutcomeUnknown, false, func(c *call) { c.refuse(wire.OutcomeNotRun, wire.CodeNotOwner) }),
		Entry("is not the owner, at the first send", wire.OutcomeNotRun, true, func(c *call) { c.refuse(wire.OutcomeNotRun, wire.CodeNotOwner) }),
	)

	// Guards against a refusal that reaches the caller after the deadline or not at all (invariant I3).
	DescribeTable("refuses before the deadline when the agent", func(agent func(c *call)) {
		req := modelRequest("a")
		// The margin leaves a busy machine enough time to deliver the refusal before the deadline.
		req.Deadline, req.Margin = time.Now().Add(1500*time.Millisecond), 300*time.Millisecond
		res, _ := serve(newRouter(router.Options{}, newFakeAgent("vm-0", agent)), req)
		Expect(time.Now()).To(BeTemporally("<", req.Deadline))
		Expect(res.Outcome).To(Equal(wire.OutcomeUnknown))
		Expect(res.Refusal.Code).To(Equal(wire.CodeExpired))
	},
		Entry("only pings", func(c *call) {
			for i := 0; i < 40 && wire.Write(c.st, &wire.Ping{}) == nil; i++ {
				<-time.After(20 * time.Millisecond)
			}
		}),
		Entry("sends a partial answer", func(c *call) { c.head(plainText); c.data(0, "part") }),
	)

	// Guards against retries that multiply an overload of all agents.
	It("stops when the retry budget is spent", func() {
		busy := func(c *call) { c.refuse(wire.OutcomeNotRun, wire.CodeQueueFull) }
		a, b := newFakeAgent("vm-0", busy), newFakeAgent("vm-1", busy)
		r := newRouter(router.Options{}, a, b)
		for i := range 10 {
			res, _ := serve(r, modelRequest(fmt.Sprint(i)))
			Expect(res.Outcome).To(Equal(wire.OutcomeNotRun))
		}
		Expect(len(a.calls()) + len(b.calls())).To(Equal(10 + 3))
	})

	// Guards against an agent that continues to work for a caller that has disconnected.
	It("cancels when the caller disconnects", func() {
		cancelled := make(chan wire.Message, 1)
		agent := newFakeAgent("vm-0", func(c *call) {
			c.head(eventStream)
			m, _ := wire.NewReader(c.st).Next()
			cancelled <- m
			_ = c.st.CloseWrite()
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(agent.calls).Should(HaveLen(1))
			cancel()
		}()
		_, err := newRouter(router.Options{}, agent).Serve(ctx, modelRequest("a"), &recorder{})
		Expect(err).NotTo(HaveOccurred())
		Eventually(cancelled).Should(Receive(Equal(&wire.Cancel{Request: "a"})))
	})

	// Guards against a caller that gets the answer to another caller's request (invariant I4).
	It("delivers to many concurrent callers their own answers", func() {
		agent := newFakeAgent("vm-0", func(c *call) {
			text := "answer to " + c.Request
			c.head(eventStream)
			for i, b := range []byte(text) {
				c.data(i, string(b))
			}
			c.data(len(text), "\n\n")
			c.end(len(text) + 2)
		})
		r := newRouter(router.Options{}, agent)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				defer GinkgoRecover()
				res, rec := serve(r, modelRequest(fmt.Sprint(i)))
				Expect(res.Outcome).To(Equal(wire.OutcomeDone))
				Expect(rec.body.String()).To(Equal(fmt.Sprintf("answer to %d\n\n", i)))
			})
		}
		wg.Wait()
	})
})
