package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
)

// Guards against late streams whose request line does not say whether they waited before or after they were sent, or
// paused: 122 of 881 were late although their first events came in time.
var _ = Describe("the times of a request line", func() {
	It("separate waits by cause, the first event and the longest pause", func() {
		start := time.Unix(1000, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		var t timing
		t.waited[dispatch.WaitModel] = 400 * time.Millisecond
		t.recordSend(at(420), 700)
		for _, ms := range []int{500, 520, 700, 710} {
			t.recordEvent(at(ms))
		}
		t.recordSend(at(720), 90) // a resumed stream keeps the times of its first attempt
		Expect(t.fields(start, &catalog.Route{Target: 500 * time.Millisecond, MaxEventGap: 150 * time.Millisecond}, 2)).To(Equal([]any{
			"priority", 2, "target_ms", int64(500), "gap_ms", int64(150), "reports_ms", int64(0), "model_ms", int64(400), "adapter_ms", int64(0), "prefill_ms", int64(0), "backoff_ms", int64(0), "limit_ms", int64(0),
			"sent_ms", int64(420), "uncached", 700, "first_ms", int64(500), "pause_ms", int64(180), "pause_at_ms", int64(700),
		}))
	})

	It("are -1 where they do not apply", func() {
		var t timing
		Expect(t.fields(time.Unix(1000, 0), &catalog.Route{}, 0)).To(ContainElements("first_ms", int64(-1), "sent_ms"))
	})
})

// Guards against requests that wait for room at an engine until their time is up although there is room again.
var _ = Describe("a first event", func() {
	It("wakes the requests that wait for room at the engine, and no others", func() {
		start := time.Unix(1000, 0)
		state := dispatch.New(dispatch.Settings{Zone: "z1"})
		state.SetConfig(catalog.NewConfig(1, nil, []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Models: map[string]catalog.Model{"a": {Name: "a"}}, Slots: 64}}}, catalog.Limits{}))
		state.Fleet.Put(start, catalog.Upstream{ID: "u1", Service: "llm", Address: "u1:1", Zone: "z1", Models: []catalog.Resident{{Model: "a"}}})
		core := NewCore(state)
		route := &catalog.Route{Kind: catalog.Streaming, MaxAttempts: 1, Target: time.Minute, MaxEventGap: 150 * time.Millisecond}
		newRequest := func(id string) *dispatch.Request {
			return &dispatch.Request{ID: id, Route: route, Service: "llm", Model: "a", Parts: []prompt.Part{{ID: id, Tokens: 600}}, Chain: prompt.Chain("a", "", []prompt.Part{{ID: id, Tokens: 600}}),
				Deadline: time.Now().Add(time.Hour), EventTarget: time.Now().Add(time.Minute)}
		}
		first, second := newRequest("p1"), newRequest("p2")
		d, changed := core.decide(first)
		Expect(d.Action).To(Equal(dispatch.Send))
		core.Do(func(s *dispatch.State) { s.RecordStart("u1", first) })
		core.recordFirstEvent("u1", first, 0)
		Expect(changed).NotTo(BeClosed())
		d, changed = core.decide(second)
		Expect(d.WaitCause).To(Equal(dispatch.WaitPrefill))
		core.recordFirstEvent("u1", first, 600)
		Expect(changed).To(BeClosed())
		core.Do(func(s *dispatch.State) { s.RemovePendingPrompt(second) })
		d, _ = core.decide(second)
		Expect(d.Action).To(Equal(dispatch.Send))
	})
})
