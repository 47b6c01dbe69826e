package agent

import (
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// check asks for a listing, which tells whether the upstream process still is the one that had the calls.
func (c *Core) check() {
	if !c.checking {
		c.checking = true
		c.checks++
		c.emit(CheckEngine{Number: c.checks})
	}
}

func (c *Core) hasUnresolved() bool {
	for _, j := range c.jobs {
		if j.phase == unresolved {
			return true
		}
	}
	return false
}

// maxPast bounds the earlier epochs that are remembered. Listings last a few seconds at most.
const maxPast = 16

// errPastEpoch says that a listing was read before the upstream's process was replaced.
var errPastEpoch = fault.New(fault.StepOrder, "", "listing of an upstream process that has ended")

// isPast reports whether an epoch is known to have ended. Listings run side by side, so an older one may arrive last.
func (c *Core) isPast(epoch string) bool { return slices.Contains(c.past, epoch) }

// engineSeen handles a listing: a new epoch proves that the upstream process ended with all calls that it had.
func (c *Core) engineSeen(l engine.Listing, err error, number uint64) {
	if err == nil && c.isPast(l.Epoch) {
		return
	}
	if err != nil {
		if !c.engineDown {
			c.engineDown = true
			c.emit(LogChange{Message: "upstream unreachable", Err: err})
		}
		return
	}
	if c.engineDown {
		c.engineDown = false
		c.emit(LogChange{Message: "upstream reachable"})
	}
	if l.Slots > 0 {
		c.queue.SetSlots(l.Slots)
	}
	c.tiers, c.capacity = l.Tiers, l.MemoryBytes
	if c.epoch != "" && l.Epoch != c.epoch {
		c.past = append(c.past, c.epoch)
		c.past = c.past[max(0, len(c.past)-maxPast):]
		c.epoch = l.Epoch
		c.engineDied()
		return
	}
	c.epoch = l.Epoch
	for _, j := range c.ordered() {
		switch {
		case j.phase == unresolved && number >= j.check:
			c.reconnect(j)
		case j.phase == unresolved:
			c.check()
		}
	}
}

// reconnect continues a call whose connection was lost while the upstream lives. A non-idempotent call is not sent a
// second time, not even as a resume, because the upstream may take it for a new call.
func (c *Core) reconnect(j *job) {
	if j.open.NonIdempotent || !c.models() || j.epoch == "" || j.resumes >= maxEngineResumes {
		c.leaveUpstream(j, false)
		c.finish(j, nil, refuseUnknown(wire.CodeUpstreamDown, "the connection to the upstream was lost"))
		return
	}
	j.resumes++
	j.phase = running
	c.emit(ResumeCall{Job: j.id, Run: j.run, Call: j.engineCall()})
}

// engineDied makes suspects of all calls that the upstream had, and runs the ones again that may be.
func (c *Core) engineDied() {
	c.emit(LogChange{Message: "upstream process ended"})
	c.blocklist.RecordCrash(c.now)
	c.residency(residency.EngineLost{}) // the targets of the calls that run again are cold now
	for _, j := range c.ordered() {
		if j.phase != running && j.phase != unresolved {
			continue
		}
		c.emit(StopCall{Job: j.id, Run: j.run})
		c.leaveUpstream(j, false)
		c.lost(j)
	}
	c.refuseConvicted()
}

// lost decides what becomes of a call whose upstream ended.
func (c *Core) lost(j *job) {
	switch {
	case c.blocklist.IsQuarantined(j.fp):
		c.finish(j, nil, refuseUnknown(wire.CodeQuarantined, "the request has crashed upstreams"))
	case j.open.NonIdempotent || j.run >= maxRuns || j.stopping || j.sent && !j.continuable():
		c.finish(j, nil, refuseUnknown(wire.CodeUpstreamDown, "the upstream ended during the call"))
	default:
		c.requeue(j)
	}
}

// continuable reports whether the upstream can continue the answer after the bytes given on. A job that itself continues
// another upstream's text cannot name both parts.
func (j *job) continuable() bool { return j.open.Kind == wire.KindModel && len(j.open.Prefix) == 0 }

// requeue queues a call again.
func (c *Core) requeue(j *job) {
	j.phase, j.began = queued, true
	c.queue.Requeue(c.now, c.admissionRequest(j), !c.targetReady(j))
	c.want(j)
}
