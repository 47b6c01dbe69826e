package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

var _ = Describe("the admission of prompts beside other decisions", func() {
	route := catalog.Route{Name: "long", Kind: catalog.Streaming, MaxAttempts: 2, Target: 3 * time.Second, MaxEventGap: 500 * time.Millisecond, Priority: 2}
	var s *dispatch.State
	report := func(at time.Time, id string) {
		r := &peer.Report{AskAbove: 1200}
		r.SetUpstream(catalog.Upstream{ID: id, Service: "llm", Address: id + ":1", Models: []catalog.Resident{{Model: "a"}}}, 2)
		s.Fleet.ApplyReport(at, r)
	}
	BeforeEach(func() {
		s = newState()
		for _, id := range []string{"u1", "u2"} {
			add(s, upstream{id: id, models: []string{"a"}})
			report(now, id)
		}
	})

	// Guards against a router that asks a sidecar which is known to be gone while its engine replies: each prompt waited
	// for two unanswered requests.
	It("does not ask an unresponsive sidecar", func() {
		at := now
		for i := range 6 {
			at = now.Add(time.Duration(400+100*i) * time.Millisecond)
			for _, id := range []string{"u1", "u2"} {
				s.Fleet.RecordProbe(at, id)
				s.Fleet.RecordHeartbeat(at, id, 0)
			}
		}
		Expect(s.Fleet.Get("u1").IsAgentUnresponsive()).To(BeTrue())
		Expect(s.Decide(at, promptOf(&route, at, "p1", 9000)).Prompt).To(BeNil())
	})

	// Guards against a router that sends all prompts of a burst to one engine, since those that wait for an admission were
	// not counted before the next report.
	It("counts its own prompts that wait for an admission", func() {
		chosen := map[string]int{}
		for i := range 10 {
			d := s.Decide(now, promptOf(&route, now, "p"+string(rune('a'+i)), 9000))
			chosen[d.Upstream.ID]++
			s.AddPromptWait(d.Upstream.ID, 1, 9000)
		}
		Expect(chosen).To(Equal(map[string]int{"u1": 5, "u2": 5}))
	})

	// Guards against waits between the decision and the send that count as a slow engine.
	It("does not count a wait before the send as prefill", func() {
		for i := range 30 {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			report(at, "u1")
			r := promptOf(&route, at, "q"+string(rune('a'+i)), 9000)
			s.Decide(at, r)
			tokens := s.Uncached("u1", r)
			s.RecordStart("u1", r)
			s.RecordSent(at.Add(700*time.Millisecond), r)
			first := at.Add(700*time.Millisecond + 257*time.Millisecond)
			var events speed.Events
			for k := range 9 {
				events.Record(first.Add(time.Duration(k) * 25 * time.Millisecond))
			}
			s.RecordFirstEvent("u1", r, tokens)
			s.RecordEvents(first.Add(200*time.Millisecond), "u1", r, &events)
			s.RecordEnd(first.Add(300*time.Millisecond), "u1", r, dispatch.Done)
		}
		Expect(s.SpeedRatio(now.Add(4*time.Second), "u1", speed.Prefill)).To(BeNumerically("<", 1.5))
	})
})
