package router

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// ApplyData handles bytes of the answer. Fresh are the bytes to give on, a part of d.Bytes.
func (c *Core) ApplyData(now time.Time, d *wire.Data) (fresh []byte, next Action, v stream.Verdict) {
	if !c.headSeen && c.asm.Check(d.Request, d.Attempt) == stream.Accepted {
		return nil, c.corrupt(now, "the agent sent bytes of the answer before its head"), stream.Corrupt
	}
	fresh, v = c.asm.ApplyData(d)
	switch v {
	case stream.Accepted:
		c.heard = true
	case stream.Gap:
		return nil, c.lost(now, AttemptLost{MaybeSent: true, Reason: "bytes of the answer are missing"}), v
	case stream.Corrupt:
		return nil, c.corrupt(now, lengthMismatch), v
	}
	return fresh, Action{Kind: Receive}, v
}

// ApplyHead reports whether the head is the first one of this run. A resumed attempt may repeat it.
func (c *Core) ApplyHead(h *wire.Head) bool {
	if c.asm.Check(h.Request, h.Attempt) != stream.Accepted || c.headSeen {
		return false
	}
	c.headSeen, c.heard = true, true
	return true
}

// ApplyEnd handles the end of the answer. The result is done only if all bytes arrived.
func (c *Core) ApplyEnd(now time.Time, e *wire.End) (Action, stream.Verdict) {
	v := c.asm.ApplyEnd(e)
	switch {
	case v.Dropped():
		return Action{Kind: Receive}, v
	case v == stream.Gap:
		return c.lost(now, AttemptLost{MaybeSent: true, Reason: "the answer is truncated"}), v
	case v == stream.Corrupt || !c.headSeen:
		return c.corrupt(now, lengthMismatch), v
	case e.Outcome != wire.OutcomeDone:
		return c.ApplyRefusal(now, &wire.Refuse{Request: e.Request, Attempt: e.Attempt, Outcome: e.Outcome, Code: wire.CodeUpstreamDown, Reason: "the answer ended early"}), v
	}
	return Action{Kind: Finish, Result: Result{Outcome: wire.OutcomeDone}}, v
}

// corrupt handles frames that contradict each other. A resume would repeat them, so it is a refusal by the agent.
func (c *Core) corrupt(now time.Time, reason string) Action {
	return c.ApplyRefusal(now, &wire.Refuse{
		Request: c.req.ID, Attempt: c.asm.Attempt(), Outcome: wire.OutcomeUnknown, Code: wire.CodePeerLost,
		Reason: reason,
	})
}

const lengthMismatch = "the agent sent a length that contradicts its frames"

// RecordHeartbeat records a sign of life, an Accept or a Ping, in the current attempt.
func (c *Core) RecordHeartbeat() { c.heard = true }

func slotOf(r *Request) uint32 {
	if !r.NonIdempotent {
		return 0
	}
	return once.SlotOf(r.Caller, r.Key)
}
