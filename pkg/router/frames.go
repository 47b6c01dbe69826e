package router

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// ApplyData handles bytes of the answer. NewBytes is the part of d.Bytes that has not been delivered.
func (c *Core) ApplyData(now time.Time, d *wire.Data) (newBytes []byte, next Action, verdict stream.Verdict) {
	if !c.headReceived && c.assembly.Check(d.Request, d.Attempt) == stream.Accepted {
		return nil, c.corrupt(now, "the agent sent bytes of the answer before its head"), stream.Corrupt
	}
	newBytes, verdict = c.assembly.ApplyData(d)
	switch verdict {
	case stream.Accepted:
		c.frameReceived = true
	case stream.Gap:
		return nil, c.lost(now, AttemptLost{MaybeSent: true, Reason: "bytes of the answer are missing"}), verdict
	case stream.Corrupt:
		return nil, c.corrupt(now, lengthMismatch), verdict
	}
	return newBytes, Action{Kind: Receive}, verdict
}

// ApplyHead handles the head of the answer and reports whether it is the first one of this run. A resumed attempt may
// send it again.
func (c *Core) ApplyHead(h *wire.Head) bool {
	if c.assembly.Check(h.Request, h.Attempt) != stream.Accepted || c.headReceived {
		return false
	}
	c.headReceived, c.frameReceived = true, true
	return true
}

// ApplyEnd handles the end of the answer. The outcome is done only if all bytes arrived.
func (c *Core) ApplyEnd(now time.Time, e *wire.End) (Action, stream.Verdict) {
	verdict := c.assembly.ApplyEnd(e)
	switch {
	case verdict.Dropped():
		return Action{Kind: Receive}, verdict
	case verdict == stream.Gap:
		return c.lost(now, AttemptLost{MaybeSent: true, Reason: "the answer is truncated"}), verdict
	case verdict == stream.Corrupt || !c.headReceived:
		return c.corrupt(now, lengthMismatch), verdict
	case e.Outcome != wire.OutcomeDone:
		return c.ApplyRefusal(now, &wire.Refuse{Request: e.Request, Attempt: e.Attempt, Outcome: e.Outcome, Code: wire.CodeUpstreamDown, Reason: "the answer ended early"}), verdict
	}
	return Action{Kind: Finish, Result: Result{Outcome: wire.OutcomeDone}}, verdict
}

// corrupt handles frames that contradict each other. A resume would yield the same frames, so they count as a refusal
// by the agent.
func (c *Core) corrupt(now time.Time, reason string) Action {
	return c.ApplyRefusal(now, &wire.Refuse{
		Request: c.req.ID, Attempt: c.assembly.Attempt(), Outcome: wire.OutcomeUnknown, Code: wire.CodePeerLost,
		Reason: reason,
	})
}

const lengthMismatch = "the agent sent a length that contradicts its frames"

// RecordHeartbeat records an Accept or a Ping in the current attempt.
func (c *Core) RecordHeartbeat() { c.frameReceived = true }

func slotOf(r *Request) uint32 {
	if !r.NonIdempotent {
		return 0
	}
	return once.SlotOf(r.Caller, r.Key)
}
