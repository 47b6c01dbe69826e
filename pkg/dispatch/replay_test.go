package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// replayEngine processes prompts in pieces between the tokens of its streams, and caches prompt parts.
type replayEngine struct {
	up       catalog.Upstream
	slowdown float64
	prompts  []*replayRun // being processed, in order of arrival
	streams  []*replayRun
	cache    *prompt.Cache
	next     time.Time
	pending  []*replayRun // first events that arrive with the end of the step
}

// replayRun is one request and its attempt.
type replayRun struct {
	r                    *dispatch.Request
	router               *replayRouter
	arrived, last        time.Time
	engine               *replayEngine
	uncached             int
	left, generated      int
	events               speed.Events
	passed               bool
	firstAfter, maxPause time.Duration
}

type replayRouter struct{ state *dispatch.State }

// replay plays requests against simulated engines with several routers that exchange messages through their agents.
type replay struct {
	rng      *rand.Rand
	now      time.Time
	routers  []*replayRouter
	engines  []*replayEngine
	waiting  []*replayRun
	learning bool
	lie      func(router int, o *speed.Observed) *speed.Observed // alters what a router sends
	done     []*replayRun
	refused  int
	// processed is the number of prompt tokens that the engines processed.
	processed int
}

const (
	replayTokensPerMS = 44.2
	replayStep        = 3400 * time.Microsecond
	replayPiece       = 1024
	replayEventTokens = 8
)

func newReplay(routers, engines, kvTokens int, learning bool) *replay {
	p := &replay{rng: rand.New(rand.NewPCG(1, 2)), now: now, learning: learning}
	for i := range engines {
		e := &replayEngine{slowdown: 1, cache: prompt.NewCache(kvTokens), next: now}
		e.up = catalog.Upstream{ID: fmt.Sprintf("u%02d", i), Service: "llm", Address: fmt.Sprintf("u%02d:1", i), Zone: "z1", Slots: 64, StartedUnixMS: 1, Models: []catalog.Resident{{Model: "a"}}}
		p.engines = append(p.engines, e)
	}
	for range routers {
		r := &replayRouter{state: newState()}
		for _, e := range p.engines {
			r.state.Fleet.Put(now, e.up)
		}
		p.routers = append(p.routers, r)
	}
	p.report()
	return p
}

// report sends each router's observations to the agents, and the agents' reports to all routers.
func (p *replay) report() {
	for _, e := range p.engines {
		var observed []*speed.Observed
		for i, r := range p.routers {
			if o := r.state.ObservedSpeed(p.now, e.up.ID); o != nil && p.learning {
				if p.lie != nil {
					o = p.lie(i, o)
				}
				observed = append(observed, o)
			}
		}
		for _, r := range p.routers {
			report := &peer.Report{Running: len(e.streams) + len(e.prompts), KVUsed: e.used(), KVTotal: 265_000, Routers: len(p.routers), Speed: speed.Pool(observed)}
			report.SetUpstream(e.up, 1)
			r.state.ApplyReport(p.now, report)
		}
	}
}

// add makes a request arrive at the router.
func (p *replay) add(router int, route *catalog.Route, parts []prompt.Part, tokensOut int) *replayRun {
	r := &dispatch.Request{
		ID: "r", Route: route, Service: "llm", Model: "a", Parts: parts, Chain: prompt.Chain("a", "", parts), TokensOut: tokensOut,
		Deadline: p.now.Add(20 * time.Second), EventTarget: p.now.Add(route.Target), Fingerprint: p.rng.Uint64(),
	}
	run := &replayRun{r: r, router: p.routers[router], arrived: p.now}
	run.router.state.RecordArrival(p.now, r)
	p.waiting = append(p.waiting, run)
	p.decide()
	return run
}

// decide decides again on the requests that wait.
func (p *replay) decide() {
	p.waiting = slices.DeleteFunc(p.waiting, func(run *replayRun) bool {
		d := run.router.state.Decide(p.now, run.r)
		switch d.Action {
		case dispatch.Refuse:
			p.refused++
			return true
		case dispatch.Wait:
			return false
		}
		for _, e := range p.engines {
			if e.up.ID == d.Upstream.ID {
				run.engine = e
			}
		}
		e, id := run.engine, run.engine.up.ID
		run.uncached = run.router.state.Uncached(id, run.r)
		run.router.state.RecordStart(id, run.r)
		for _, part := range run.r.Parts {
			run.left += part.Tokens
		}
		run.left -= e.cache.CachedTokens(run.r.Chain, run.r.Parts)
		p.processed += run.left
		e.cache.RecordSent(p.now, run.r.Chain, run.r.Parts)
		if len(e.prompts)+len(e.streams) == 0 {
			e.next = p.now
		}
		e.prompts = append(e.prompts, run)
		return true
	})
}

// used returns the KV memory of the engine's requests in tokens.
func (e *replayEngine) used() int {
	n := 0
	for _, run := range slices.Concat(e.prompts, e.streams) {
		for _, p := range run.r.Parts {
			n += p.Tokens
		}
	}
	return n
}

// step runs one step of the engine, which ends at e.next.
func (p *replay) step(e *replayEngine) {
	for _, run := range slices.Concat(e.pending, e.streams) {
		p.generate(run)
	}
	e.streams = append(e.streams, e.pending...)
	e.streams = slices.DeleteFunc(e.streams, func(run *replayRun) bool { return run.generated >= run.r.TokensOut })
	e.pending = nil
	left := replayPiece
	for len(e.prompts) > 0 && left > 0 {
		first := e.prompts[0]
		n := min(left, first.left)
		left, first.left = left-n, first.left-n
		if first.left == 0 {
			e.pending, e.prompts = append(e.pending, first), e.prompts[1:]
		}
	}
	took := replayStep.Seconds()*(1+float64(len(e.streams))/40) + float64(replayPiece-left)/replayTokensPerMS/1000
	e.next = p.now.Add(time.Duration(took * e.slowdown * float64(time.Second)))
}

// generate generates one token of the stream.
func (p *replay) generate(run *replayRun) {
	state, id := run.router.state, run.engine.up.ID
	if run.generated++; run.generated%replayEventTokens != 0 && run.generated < run.r.TokensOut {
		return
	}
	if run.last.IsZero() {
		run.firstAfter = p.now.Sub(run.arrived)
		state.RecordFirstEvent(id, run.r, run.uncached)
	} else {
		run.maxPause = max(run.maxPause, p.now.Sub(run.last))
	}
	run.last = p.now
	if run.events.Record(p.now) && p.learning {
		run.passed = true
		state.RecordEvents(p.now, id, run.r, &run.events)
	}
	if run.generated < run.r.TokensOut {
		return
	}
	if p.learning {
		if !run.passed {
			state.RecordEvents(p.now, id, run.r, &run.events)
		}
		state.RecordStreamEnd(p.now, run.r, run.events.Count())
	}
	state.RecordEnd(p.now, id, run.r, dispatch.Done)
	p.done = append(p.done, run)
}

// run plays for the given time. arrive is called every millisecond.
func (p *replay) run(d time.Duration, arrive func()) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(time.Millisecond) {
		ms := p.now.Sub(now).Milliseconds()
		if ms%500 == 0 {
			p.report()
		}
		if ms%5 == 0 && len(p.waiting) > 0 {
			p.decide()
		}
		if arrive != nil {
			arrive()
		}
		for _, e := range p.engines {
			for !e.next.After(p.now) && len(e.prompts)+len(e.streams)+len(e.pending) > 0 {
				at := p.now
				p.now = e.next
				p.step(e)
				p.now = at
			}
		}
	}
}
