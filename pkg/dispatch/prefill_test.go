package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
)

var (
	liveRoute   = catalog.Route{Name: "live", Kind: catalog.Streaming, MaxAttempts: 1, Target: 500 * time.Millisecond, MaxEventGap: 150 * time.Millisecond, Priority: 2}
	urgentRoute = catalog.Route{Name: "urgent", Kind: catalog.Streaming, MaxAttempts: 1, Target: 500 * time.Millisecond, MaxEventGap: 150 * time.Millisecond}
)

// promptOf returns a request with a prompt of its own of the given size.
func promptOf(route *catalog.Route, at time.Time, id string, tokens int) *dispatch.Request {
	parts := []prompt.Part{{ID: id, Tokens: tokens}}
	r := &dispatch.Request{
		ID: id, Route: route, Service: "llm", Model: "a", Parts: parts, Chain: prompt.Chain("a", "", parts), TokensOut: 100, Deadline: at.Add(12 * time.Second),
	}
	if route.Target > 0 {
		r.EventTarget = at.Add(route.Target)
	}
	return r
}

var _ = Describe("prompts for one engine", func() {
	var s *dispatch.State
	BeforeEach(func() {
		s = newState()
		add(s, upstream{id: "u1", models: []string{"a"}})
	})
	send := func(r *dispatch.Request) int {
		tokens := s.Uncached("u1", r)
		s.RecordStart("u1", r)
		return tokens
	}

	It("wait for each other if together they would delay the events of running streams", func() {
		first, second := promptOf(&liveRoute, now, "p1", 600), promptOf(&liveRoute, now, "p2", 600)
		Expect(s.Decide(now, first).Action).To(Equal(dispatch.Send))
		tokens := send(first)
		d := s.Decide(now, second)
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(d.WaitCause).To(Equal(dispatch.WaitPrefill))
		s.RecordFirstEvent("u1", first, tokens)
		Expect(s.Decide(now, second).Action).To(Equal(dispatch.Send))
	})

	// Guards against a wait that makes the waiting request itself late.
	It("are sent while their first event can still be on time", func() {
		send(promptOf(&liveRoute, now, "p1", 600))
		second := promptOf(&liveRoute, now, "p2", 600)
		until := s.Decide(now, second).Until
		Expect(until).To(BeTemporally("<", now.Add(250*time.Millisecond)))
		Expect(s.Decide(until, second).Action).To(Equal(dispatch.Send))
	})

	It("are sent together if the route allows long pauses or has no target", func() {
		for _, change := range []func(*catalog.Route){
			func(r *catalog.Route) { r.MaxEventGap = 400 * time.Millisecond }, func(r *catalog.Route) { r.Target = 0 },
		} {
			route := liveRoute
			change(&route)
			send(promptOf(&route, now, "p1", 600))
			Expect(s.Decide(now, promptOf(&route, now, "p2", 600)).Action).To(Equal(dispatch.Send))
		}
	})

	It("go to another engine with room", func() {
		add(s, upstream{id: "u2", models: []string{"a"}})
		send(promptOf(&liveRoute, now, "p1", 600))
		Expect(s.Decide(now, promptOf(&liveRoute, now, "p2", 600)).Upstream.ID).To(Equal("u2"))
	})

	// Guards against a less urgent prompt that takes the room for which a more urgent one waits.
	It("wait behind more urgent ones", func() {
		first, urgent, common := promptOf(&urgentRoute, now, "p1", 700), promptOf(&urgentRoute, now, "p2", 600), promptOf(&liveRoute, now, "p3", 600)
		tokens := send(first)
		Expect(s.Decide(now, urgent).Action).To(Equal(dispatch.Wait))
		s.AddPendingPrompt(urgent)
		s.RecordFirstEvent("u1", first, tokens)
		Expect(s.Decide(now, common).Action).To(Equal(dispatch.Wait))
		Expect(s.Decide(now, urgent).Action).To(Equal(dispatch.Send))
		s.RemovePendingPrompt(urgent)
		Expect(s.HasPendingPrompts()).To(BeFalse())
		Expect(s.Decide(now, common).Action).To(Equal(dispatch.Send))
	})
})

// simulatedEngine generates streams and processes prompts in pieces between their tokens.
type simulatedEngine struct {
	prompts       []simulatedPrompt
	sinceEvent    int
	lastEvent     time.Time
	longestPause  time.Duration
	lastFirst     time.Duration // latest first event since the arrival of its request
	stepsPerEvent int
}

type simulatedPrompt struct {
	r         *dispatch.Request
	uncached  int
	remaining int
}

// step runs one step and returns its duration.
func (e *simulatedEngine) step(at time.Time, s *dispatch.State) time.Duration {
	const pieceTokens, tokensPerMS, emptyStep = 1024, 38.1, 4430 * time.Microsecond
	left := pieceTokens
	for len(e.prompts) > 0 && left > 0 {
		p := &e.prompts[0]
		n := min(left, p.remaining)
		left, p.remaining = left-n, p.remaining-n
		if p.remaining == 0 {
			s.RecordFirstEvent("u1", p.r, p.uncached)
			e.lastFirst = max(e.lastFirst, at.Sub(p.r.EventTarget.Add(-p.r.Route.Target)))
			e.prompts = e.prompts[1:]
		}
	}
	took := emptyStep + time.Duration(float64(pieceTokens-left)/tokensPerMS*float64(time.Millisecond))
	if e.sinceEvent++; e.sinceEvent == e.stepsPerEvent {
		end := at.Add(took)
		e.longestPause, e.lastEvent, e.sinceEvent = max(e.longestPause, end.Sub(e.lastEvent)), end, 0
	}
	return took
}

// Replays the load that made streams late on traitvif-easels, quiet-1: up to 13 prompts of some 600 tokens arrived at an
// engine within an event of its running streams, ten or more of which paused for 175 to 190 ms at the same moment.
var _ = Describe("a burst of prompts at an engine with running streams", func() {
	It("delays no event beyond the longest pause and no first event beyond its target", func() {
		s := newState()
		add(s, upstream{id: "u1", models: []string{"a"}})
		e := &simulatedEngine{lastEvent: now, stepsPerEvent: 6}
		var waiting []*dispatch.Request
		for i := range 12 {
			waiting = append(waiting, promptOf(&liveRoute, now, string(rune('a'+i)), 600))
		}
		for at := now; at.Before(now.Add(600 * time.Millisecond)); {
			var still []*dispatch.Request
			for _, r := range waiting {
				if d := s.Decide(at, r); d.Action != dispatch.Send {
					still = append(still, r)
					continue
				}
				e.prompts = append(e.prompts, simulatedPrompt{r: r, uncached: s.Uncached("u1", r), remaining: 600})
				s.RecordStart("u1", r)
			}
			waiting = still
			at = at.Add(e.step(at, s))
		}
		Expect(waiting).To(BeEmpty())
		Expect(e.longestPause).To(BeNumerically("<=", liveRoute.MaxEventGap))
		Expect(e.lastFirst).To(BeNumerically("<=", liveRoute.Target))
	})
})
