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

// Start starts the request. Quarantined reports that the request has crashed upstreams.
type Start struct{ Quarantined bool }

// Chosen is the result of a Choose action. Code is the reason if no upstream was chosen.
type Chosen struct {
	Choice routing.Choice
	Code   wire.Code
}

// Opened is the event that the Open frame was written.
type Opened struct{}

// AttemptLost is the event that the upstream could not be reached or that its path is dead. MaybeSent reports that the
// Open frame may have arrived.
type AttemptLost struct {
	MaybeSent bool
	Reason    string
}

// Expired is the event that the request has to be refused now to meet its deadline.
type Expired struct{}

// CallerDisconnected is the event that the caller no longer waits for the answer.
type CallerDisconnected struct{}

func (Start) isEvent()              {}
func (Chosen) isEvent()             {}
func (Opened) isEvent()             {}
func (AttemptLost) isEvent()        {}
func (Expired) isEvent()            {}
func (CallerDisconnected) isEvent() {}

// ActionKind is the kind of an action that the runtime executes next.
type ActionKind uint8

// Kinds of actions.
const (
	// Receive waits for the next frame.
	Receive ActionKind = iota
	// Choose picks an upstream by Action.Criteria. If Action.Retry is set, the retry budget has to allow it.
	Choose
	// Open connects to Action.Upstream and writes Action.Open. Action.NewConn requires a new connection from a new
	// local port.
	Open
	// Finish ends the request with Action.Result. If Action.Cancel is set, a Cancel frame is sent to the agent.
	Finish
)

// Action is the output of Core.Step. It is small because one is returned for each frame.
type Action struct {
	Kind     ActionKind
	Criteria *routing.Criteria
	Retry    bool
	Upstream *routing.Upstream
	Open     *wire.Open
	NewConn  bool
	Result   Result
	Cancel   bool
	// EndMarkerLost reports that the answer is complete but for its end marker.
	EndMarkerLost bool
}

// Progress is the state of the answer's delivery to the caller.
type Progress interface {
	// Started reports whether the caller has received a part of the answer.
	Started() bool
	// Prefix returns the text delivered so far. NotContinuable reports that another upstream cannot continue the
	// answer; textComplete that only the end marker is missing.
	Prefix() (text []byte, notContinuable, textComplete bool)
	// Restart discards the bytes that were not delivered; the next ones come from another run.
	Restart()
}

// maxTotalResumes bounds the resumes of a request whose agent sends heartbeats but never the missing bytes.
const maxTotalResumes = 16

// Core is the state machine of one request. It is pure and not safe for concurrent use.
type Core struct {
	req           *Request
	refuseAt      time.Time
	assembly      *stream.Assembly
	progress      Progress
	upstream      routing.Upstream
	epoch         uint64
	exclude       []string
	hints         []string
	prefix        []byte
	resume        bool
	coldStart     bool // the upstream was asked to load the target
	frameReceived bool // a frame arrived in this attempt
	headReceived  bool // a head arrived in this run
	resumesInRow  int  // consecutive resumes without a frame
	totalResumes  int  // all resumes of the request
	crashes       int
	lostBefore    bool
	// mayHaveRun reports that an attempt may have run: it was lost after it was sent, or an agent reported so.
	mayHaveRun bool
	// awaitingReply reports that an attempt was sent and has no final reply yet.
	awaitingReply bool
	lastRefusal   wire.Refuse
}

// NewCore returns the state machine of a request that arrived at now.
func NewCore(req *Request, p Progress, now time.Time) *Core {
	return &Core{req: req, refuseAt: req.refuseAt(now), assembly: stream.NewAssembly(req.ID), progress: p}
}

// RefuseAt returns when Expired is due unless the answer has started.
func (c *Core) RefuseAt() time.Time { return c.refuseAt }

// Step handles an event and returns the next action.
func (c *Core) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Start:
		if ev.Quarantined {
			c.setRefusal(wire.CodeQuarantined, "the request has crashed upstreams")
			return c.finish(false)
		}
		return c.choose(now, false)
	case Chosen:
		return c.chosen(now, ev)
	case Opened:
		c.awaitingReply = true
		return Action{Kind: Receive}
	case AttemptLost:
		return c.lost(now, ev)
	case Expired:
		return c.expired()
	case CallerDisconnected:
		c.setRefusal(wire.CodeExpired, "the caller closed the connection")
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
			c.lastRefusal.Reason = fmt.Sprintf("%s after %s: %s", reasonOf(ev.Code), c.lastRefusal.Code, c.lastRefusal.Reason)
			c.lastRefusal.Code = ev.Code
		} else if c.lastRefusal.Code == "" { // otherwise an agent's refusal is kept, which is more specific
			c.setRefusal(ev.Code, reasonOf(ev.Code))
		}
		return c.finish(false)
	}
	c.upstream, c.epoch, c.coldStart = ev.Choice.Upstream, ev.Choice.Epoch, ev.Choice.AcquireGrant
	c.resumesInRow, c.resume, c.awaitingReply = 0, false, false
	c.assembly.Restart()
	return c.open(now, false)
}

func (c *Core) open(now time.Time, newConn bool) Action {
	r := c.req
	to := c.upstream
	c.frameReceived, c.headReceived = false, c.headReceived && c.resume
	return Action{Kind: Open, Upstream: &to, NewConn: newConn, Open: &wire.Open{
		Request: r.ID, Attempt: c.assembly.Attempt(), Kind: r.Kind, Caller: r.Caller, Service: r.Service, Target: r.Target,
		Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body, TimeoutMS: agentTimeout(c.refuseAt, now),
		Priority: r.Priority, NonIdempotent: r.NonIdempotent, Key: r.Key, FirstSend: r.FirstSend && !c.lostBefore,
		Fingerprint: r.Fingerprint, Resume: c.resume, Offset: c.assembly.Offset(), Prefix: c.prefix, Slot: slotOf(r),
		Epoch: c.epoch,
	}}
}

func (c *Core) lost(now time.Time, ev AttemptLost) Action {
	sent := c.awaitingReply || ev.MaybeSent
	if sent {
		c.lostBefore, c.mayHaveRun = true, true
	}
	if c.frameReceived && c.totalResumes < maxTotalResumes {
		c.resumesInRow = 0
	}
	c.setRefusal(wire.CodePeerLost, ev.Reason)
	_, notContinuable, textComplete := c.progress.Prefix()
	if textComplete {
		return Action{Kind: Finish, EndMarkerLost: true, Result: Result{Outcome: wire.OutcomeDone}}
	}
	return c.applyRetryDecision(now, routing.AttemptResult{MaybeSent: sent, Lost: true, NotContinuable: notContinuable})
}

// ApplyRefusal handles the agent's refusal.
func (c *Core) ApplyRefusal(now time.Time, m *wire.Refuse) Action {
	if c.assembly.Check(m.Request, m.Attempt) != stream.Accepted {
		return Action{Kind: Receive}
	}
	c.lastRefusal, c.awaitingReply = *m, false
	if m.Outcome != wire.OutcomeNotRun {
		c.mayHaveRun = true
	}
	if m.Outcome != wire.OutcomeNotRun && m.Code == wire.CodeUpstreamDown {
		c.crashes++
	}
	_, notContinuable, textComplete := c.progress.Prefix()
	if textComplete {
		return Action{Kind: Finish, EndMarkerLost: true, Result: Result{Outcome: wire.OutcomeDone}}
	}
	return c.applyRetryDecision(now, routing.AttemptResult{MaybeSent: true, Outcome: m.Outcome, Code: m.Code, NotContinuable: notContinuable})
}

// applyRetryDecision decides whether the request is retried and returns the action for it.
func (c *Core) applyRetryDecision(now time.Time, result routing.AttemptResult) Action {
	result.ColdStart = c.coldStart
	result.NonIdempotent, result.Resumes, result.Crashes, result.LostBefore = c.req.NonIdempotent, c.resumesInRow, c.crashes, c.lostBefore
	if !now.Before(c.refuseAt) && !c.progress.Started() {
		return c.expired()
	}
	switch routing.DecideRetry(result) {
	case routing.Resume:
		c.resumesInRow++
		c.totalResumes++
		c.resume = true
		c.assembly.BeginAttempt()
		return c.open(now, true)
	case routing.OtherUpstream:
		c.exclude = append(c.exclude, c.upstream.VM)
		c.hints = slices.Clone(c.lastRefusal.Holders)
		c.prefix, _, _ = c.progress.Prefix()
		c.progress.Restart()
		return c.choose(now, true)
	case routing.Redirect:
		c.exclude = append(c.exclude, c.upstream.VM)
		c.hints = slices.Clone(c.lastRefusal.Holders)
		if len(c.hints) > 0 && !slices.Contains(c.exclude, c.hints[0]) {
			return c.choose(now, true)
		}
	}
	return c.finish(false)
}

func (c *Core) expired() Action {
	if c.awaitingReply {
		c.mayHaveRun = true
	}
	c.setRefusal(wire.CodeExpired, "the deadline passed before the answer began")
	return c.finish(!c.req.NonIdempotent)
}

// setRefusal replaces the refusal for the caller with one of the router itself. finish sets its final outcome.
func (c *Core) setRefusal(code wire.Code, reason string) {
	c.lastRefusal = wire.Refuse{Outcome: wire.OutcomeUnknown, Code: code, Reason: reason}
}

// finish returns the refusal. The outcome is not-run only if that is confirmed: no attempt may have run, and for a
// keyed call either the owner confirmed it, or the caller asserts that it never sent the key before and no attempt is
// unanswered.
func (c *Core) finish(cancel bool) Action {
	outcome := wire.OutcomeNotRun
	switch {
	case c.mayHaveRun && !c.ownerConfirmedNotRun():
		outcome = wire.OutcomeUnknown
	case c.req.NonIdempotent && !c.ownerConfirmedNotRun() && (c.awaitingReply || !c.req.FirstSend):
		outcome = wire.OutcomeUnknown
	}
	c.lastRefusal.Request, c.lastRefusal.Outcome = c.req.ID, outcome
	last := c.lastRefusal
	return Action{Kind: Finish, Cancel: cancel, Result: Result{Outcome: outcome, Refusal: &last}}
}

// ownerConfirmedNotRun reports whether the owner of a keyed call's slot confirmed that the call did not run. An agent
// that is not the owner can confirm that for its own attempt only.
func (c *Core) ownerConfirmedNotRun() bool {
	return c.req.NonIdempotent && c.lastRefusal.Outcome == wire.OutcomeNotRun && c.lastRefusal.Request == c.req.ID &&
		c.lastRefusal.Code != wire.CodeNotOwner
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
