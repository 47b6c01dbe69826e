package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

var _ = Describe("an engine whose sidecar admits prompts", func() {
	route := catalog.Route{Name: "long", Kind: catalog.Streaming, MaxAttempts: 2, Target: 3 * time.Second, MaxEventGap: 500 * time.Millisecond, Priority: 2}
	var s *dispatch.State
	report := func(id string, inProgress, waiting, askAbove int) {
		r := &peer.Report{PromptTokens: inProgress, PromptTokensWaiting: waiting, AskAbove: askAbove}
		r.SetUpstream(catalog.Upstream{ID: id, Service: "llm", Address: id + ":1", Models: []catalog.Resident{{Model: "a"}}}, 2)
		s.Fleet.ApplyReport(now, r)
	}
	BeforeEach(func() {
		s = newState()
		for _, id := range []string{"u1", "u2"} {
			add(s, upstream{id: id, models: []string{"a"}})
			report(id, 0, 0, 1200)
		}
	})

	It("is asked for long prompts, which wait for the target less the prefill", func() {
		d := s.Decide(now, promptOf(&route, now, "p1", 9000))
		Expect(d.Action).To(Equal(dispatch.Send))
		Expect(d.Prompt.Tokens).To(Equal(9000))
		Expect(d.Prompt.Spare).To(BeNumerically("~", 2700*time.Millisecond, 30*time.Millisecond))
		Expect(d.Prompt.Due).To(Equal(3 * time.Second))
		Expect(s.Decide(now, promptOf(&route, now, "p2", 1200)).Prompt).To(BeNil())
		noTarget := route
		noTarget.Target = 0
		Expect(s.Decide(now, promptOf(&noTarget, now, "p3", 9000)).Prompt.Spare).To(BeZero())
	})

	// Guards against two rules that hold back the same prompt, and against none while the sidecar does not report.
	It("replaces the router's own rule while its report is fresh", func() {
		first := promptOf(&route, now, "p1", 9000)
		s.RecordStart("u1", first)
		s.RecordStart("u2", first)
		Expect(s.Decide(now, promptOf(&route, now, "p2", 9000)).Action).To(Equal(dispatch.Send))
		Expect(s.Decide(now, promptOf(&route, now, "p3", 800)).Action).To(Equal(dispatch.Send))
		report("u1", 0, 0, 0)
		report("u2", 0, 0, 0)
		Expect(s.Decide(now, promptOf(&route, now, "p4", 9000)).WaitCause).To(Equal(dispatch.WaitPrefill))
	})

	// Guards against routers that choose an engine which is processing the prompts of others.
	It("is avoided for the prompts of all routers, until they have been processed", func() {
		for _, waiting := range []int{0, 9000} {
			report("u1", 9000-waiting, waiting, 1200)
			report("u2", 500, 0, 1200)
			Expect(s.Decide(now, promptOf(&route, now, "p1", 9000)).Upstream.ID).To(Equal("u2"))
			report("u1", 500, 0, 1200)
			report("u2", 9000-waiting, waiting, 1200)
			Expect(s.Decide(now, promptOf(&route, now, "p1", 9000)).Upstream.ID).To(Equal("u1"))
		}
		near := s.Decide(now, promptOf(&route, now, "p2", 9000)).Cost
		report("u1", 9000, 0, 1200)
		Expect(s.Decide(now.Add(300*time.Millisecond), promptOf(&route, now, "p2", 9000)).Cost).To(BeNumerically("<=", near))
	})

	// Guards against a router that sends all prompts of a burst to one engine before its next report.
	It("is avoided for the router's own prompts that it has not reported", func() {
		first := promptOf(&route, now, "p1", 9000)
		chosen := s.Decide(now, first).Upstream.ID
		s.RecordStart(chosen, first)
		report(map[string]string{"u1": "u2", "u2": "u1"}[chosen], 2000, 0, 1200)
		Expect(s.Decide(now, promptOf(&route, now, "p2", 9000)).Upstream.ID).NotTo(Equal(chosen))
	})

	It("is avoided after it has rejected a prompt, which is refused if all have", func() {
		r := promptOf(&route, now, "p1", 9000)
		first := s.Decide(now, r).Upstream.ID
		s.RecordPromptRejected(now, first, r, 4*time.Second)
		second := s.Decide(now, r).Upstream.ID
		Expect(second).NotTo(Equal(first))
		s.RecordPromptRejected(now, second, r, 3*time.Second)
		d := s.Decide(now, r)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(BeNumerically(">=", 3*time.Second))
	})

	// Guards against refusals of requests that have little time to spare, although no engine is overloaded.
	It("gets a prompt without an admission if all would admit it soon, but too late", func() {
		r := promptOf(&route, now, "p1", 9000)
		s.RecordPromptRejected(now, "u1", r, 450*time.Millisecond)
		s.RecordPromptRejected(now, "u2", r, 300*time.Millisecond)
		d := s.Decide(now, r)
		Expect([]any{d.Action, d.Upstream.ID, d.Prompt.Spare}).To(Equal([]any{dispatch.Send, "u2", time.Duration(0)}))
	})

	// Guards against a request that is sent after its wait to an engine that drains or has unloaded the model.
	It("is checked again after the wait", func() {
		r := promptOf(&route, now, "p1", 9000)
		Expect(s.ConfirmSend(now, r, "u1")).To(BeTrue())
		Expect(s.ConfirmSend(r.Deadline, r, "u1")).To(BeFalse())
		s.Fleet.RecordMissing("u1", "a", "")
		Expect(s.ConfirmSend(now, r, "u1")).To(BeFalse())
		s.Fleet.RecordLeaving("u2")
		Expect(s.ConfirmSend(now, r, "u2")).To(BeFalse())
	})
})
