package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Start begins the request. Quarantined says that the request has crashed upstreams.
type Start struct{ Quarantined bool }

// Chosen is the result of a Choose action. A code says why there is no upstream.
type Chosen struct {
	Choice routing.Choice
	Code   wire.Code
}

// Opened says that the Open frame was written.
type Opened struct{}

// AttemptLost says that the upstream could not be reached or that its path is dead. Sent says that the Open frame may have
// arrived.
type AttemptLost struct {
	MaybeSent bool
	Reason    string
}

// Expired says that the request has to be refused now because of its deadline.
type Expired struct{}

// CallerDisconnected says that nobody waits for the answer.
type CallerDisconnected struct{}

func (Start) isEvent()              {}
func (Chosen) isEvent()             {}
func (Opened) isEvent()             {}
func (AttemptLost) isEvent()        {}
func (Expired) isEvent()            {}
func (CallerDisconnected) isEvent() {}

// ActionKind is what the runtime does next.
type ActionKind uint8

// Kinds of actions.
const (
	// Receive waits for the next frame.
	Receive ActionKind = iota
	// Choose asks for an upstream with Action.Ask. It needs a place in the retry budget if Action.Retry is set.
	Choose
	// Open connects to Action.To and writes Action.Open. Action.Fresh asks for a new connection from a new local port.
	Open
	// Finish ends the request with Action.Result. Action.Cancel asks the agent to stop.
	Finish
)

// Action is the output of Core.Step. It is small, because one is returned for each frame.
type Action struct {
	Kind     ActionKind
	Criteria *routing.Criteria
	Retry    bool
	Upstream *routing.Upstream
	Open     *wire.Open
	NewConn  bool
	Result   Result
	Cancel   bool
	// EndMarkerLost says that the answer is whole but for its end mark.
	EndMarkerLost bool
}

// Progress is what the runtime knows of the answer given so far.
type Progress interface {
	// Started says that the caller has bytes of the answer.
	Started() bool
	// Prefix returns the text given so far. Stuck says that another upstream cannot continue the answer; complete says
	// that nothing but the end mark is missing.
	Prefix() (text []byte, stuck, complete bool)
	// Restart drops what the caller does not have; the next bytes come from another run.
	Restart()
}

// maxTotalResumes bounds the resumes of a request whose agent answers but never sends the missing bytes.
const maxTotalResumes = 16

// Core decides the course of one request. It is pure and not safe for concurrent use.
type Core struct {
	req      *Request
	refuseAt time.Time
	asm      *stream.Assembly
	progress Progress
	to       routing.Upstream
	epoch    uint64
	exclude  []string
	hints    []string
	prefix   []byte
	resume   bool
	cold     bool // the upstream was asked to load the target
	heard    bool // a frame arrived in this attempt
	headSeen bool // in this run
	resumes  int  // in a row without a sign of life
	total    int  // resumes of the request
	crashes  int
	everLost bool
	// mayRun says that an attempt may have run: it was lost after it was sent, or an agent said so.
	mayRun bool
	// sent says that an attempt has left and was not answered.
	sent bool
	last wire.Refuse
}

// NewCore returns the core of a request that arrived at now.
func NewCore(req *Request, p Progress, now time.Time) *Core {
	return &Core{req: req, refuseAt: req.refuseAt(now), asm: stream.NewAssembly(req.ID), progress: p}
}

// RefuseAt returns when Expired is due if the answer has not begun.
func (c *Core) RefuseAt() time.Time { return c.refuseAt }

// Step handles an event and returns what to do next.
func (c *Core) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Start:
		if ev.Quarantined {
			c.refuse(wire.CodeQuarantined, "the request has crashed upstreams")
			return c.finish(false)
		}
		return c.choose(now, false)
	case Chosen:
		return c.chosen(now, ev)
	case Opened:
		c.sent = true
		return Action{Kind: Receive}
	case AttemptLost:
		return c.lost(now, ev)
	case Expired:
		return c.expired()
	case CallerDisconnected:
		c.refuse(wire.CodeExpired, "the caller closed the connection")
		return c.finish(!c.req.NonIdempotent)
	}
	return Action{Kind: Receive}
}

func (c *Core) choose(now time.Time, retry bool) Action {
	r := c.req
	return Action{Kind: Choose, Retry: retry, Criteria: &routing.Criteria{
		Kind: r.Kind, Service: r.Service, Group: r.Group, Target: r.Target, MemoryBytes: r.MemoryBytes,
		Ceiling: r.Ceiling, Remaining: c.refuseAt.Sub(now), PrefixHash: r.PrefixHash, NonIdempotent: r.NonIdempotent,
		FirstSend: r.FirstSend, Slot: slotOf(r), Exclude: c.exclude, Hints: c.hints,
	}}
}

func (c *Core) chosen(now time.Time, ev Chosen) Action {
	if ev.Code != "" {
		if ev.Code == wire.CodeBudget {
			c.last.Reason = fmt.Sprintf("%s after %s: %s", reasonOf(ev.Code), c.last.Code, c.last.Reason)
			c.last.Code = ev.Code
		} else if c.last.Code == "" {
			c.refuse(ev.Code, reasonOf(ev.Code))
		}
		return c.finish(false)
	}
	c.to, c.epoch, c.cold = ev.Choice.Upstream, ev.Choice.Epoch, ev.Choice.AcquireGrant
	c.resumes, c.resume, c.sent = 0, false, false
	c.asm.Restart()
	return c.open(now, false)
}

func (c *Core) open(now time.Time, fresh bool) Action {
	r := c.req
	to := c.to
	c.heard, c.headSeen = false, c.headSeen && c.resume
	return Action{Kind: Open, Upstream: &to, NewConn: fresh, Open: &wire.Open{
		Request: r.ID, Attempt: c.asm.Attempt(), Kind: r.Kind, Caller: r.Caller, Service: r.Service, Target: r.Target,
		Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body, TimeoutMS: agentTimeout(c.refuseAt, now),
		Priority: r.Priority, NonIdempotent: r.NonIdempotent, Key: r.Key, FirstSend: r.FirstSend && !c.everLost,
		Fingerprint: r.Fingerprint, Resume: c.resume, Offset: c.asm.Offset(), Prefix: c.prefix, Slot: slotOf(r),
		Epoch: c.epoch,
	}}
}

func (c *Core) lost(now time.Time, ev AttemptLost) Action {
	sent := c.sent || ev.MaybeSent
	if sent {
		c.everLost, c.mayRun = true, true
	}
	if c.heard && c.total < maxTotalResumes {
		c.resumes = 0
	}
	c.refuse(wire.CodePeerLost, ev.Reason)
	_, stuck, complete := c.progress.Prefix()
	if complete {
		return Action{Kind: Finish, EndMarkerLost: true, Result: Result{Outcome: wire.OutcomeDone}}
	}
	return c.next(now, routing.AttemptResult{MaybeSent: sent, Lost: true, NotContinuable: stuck})
}

// ApplyRefusal handles the agent's refusal.
func (c *Core) ApplyRefusal(now time.Time, m *wire.Refuse) Action {
	if c.asm.Check(m.Request, m.Attempt) != stream.Accepted {
		return Action{Kind: Receive}
	}
	c.last, c.sent = *m, false
	if m.Outcome != wire.OutcomeNotRun {
		c.mayRun = true
	}
	if m.Outcome != wire.OutcomeNotRun && m.Code == wire.CodeUpstreamDown {
		c.crashes++
	}
	_, stuck, complete := c.progress.Prefix()
	if complete {
		return Action{Kind: Finish, EndMarkerLost: true, Result: Result{Outcome: wire.OutcomeDone}}
	}
	return c.next(now, routing.AttemptResult{MaybeSent: true, Outcome: m.Outcome, Code: m.Code, NotContinuable: stuck})
}

// next asks the retry table and carries out its answer.
func (c *Core) next(now time.Time, e routing.AttemptResult) Action {
	e.ColdStart = c.cold
	e.NonIdempotent, e.Resumes, e.Crashes, e.LostBefore = c.req.NonIdempotent, c.resumes, c.crashes, c.everLost
	if !now.Before(c.refuseAt) && !c.progress.Started() {
		return c.expired()
	}
	switch routing.DecideRetry(e) {
	case routing.Resume:
		c.resumes++
		c.total++
		c.resume = true
		c.asm.BeginAttempt()
		return c.open(now, true)
	case routing.OtherUpstream:
		c.exclude = append(c.exclude, c.to.VM)
		c.hints = slices.Clone(c.last.Holders)
		c.prefix, _, _ = c.progress.Prefix()
		c.progress.Restart()
		return c.choose(now, true)
	case routing.Redirect:
		c.exclude = append(c.exclude, c.to.VM)
		c.hints = slices.Clone(c.last.Holders)
		if len(c.hints) > 0 && !slices.Contains(c.exclude, c.hints[0]) {
			return c.choose(now, true)
		}
	}
	return c.finish(false)
}

func (c *Core) expired() Action {
	if c.sent {
		c.mayRun = true
	}
	c.refuse(wire.CodeExpired, "the deadline passed before the answer began")
	return c.finish(!c.req.NonIdempotent)
}

// refuse notes the refusal to give to the caller. Reasons of agents are kept where they say more.
func (c *Core) refuse(code wire.Code, reason string) {
	c.last = wire.Refuse{Outcome: wire.OutcomeUnknown, Code: code, Reason: reason}
}

// finish returns the refusal. It is not-run only if that is proved: no attempt may have run, and for a keyed call the
// owner said so, or the caller vouched that this was the first send and it never left.
func (c *Core) finish(cancel bool) Action {
	outcome := wire.OutcomeNotRun
	switch {
	case c.mayRun && !c.ownerProved():
		outcome = wire.OutcomeUnknown
	case c.req.NonIdempotent && !c.ownerProved() && (c.sent || !c.req.FirstSend):
		outcome = wire.OutcomeUnknown
	}
	c.last.Request, c.last.Outcome = c.req.ID, outcome
	last := c.last
	return Action{Kind: Finish, Cancel: cancel, Result: Result{Outcome: outcome, Refusal: &last}}
}

// ownerProved reports whether the owner of a keyed call's slot said that the call did not run. An agent that is not the
// owner can speak for its own attempt only.
func (c *Core) ownerProved() bool {
	return c.req.NonIdempotent && c.last.Outcome == wire.OutcomeNotRun && c.last.Request == c.req.ID &&
		c.last.Code != wire.CodeNotOwner
}

func reasonOf(code wire.Code) string {
	switch code {
	case wire.CodeBudget:
		return "the retry budget is spent"
	case wire.CodeUpstreamDown:
		return "the owner of the key cannot be reached"
	case wire.CodeDraining:
		return "the owner of the key is leaving"
	}
	return "no upstream is eligible"
}
