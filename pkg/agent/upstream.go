package agent

import (
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// checkEngine requests a listing, which shows whether the upstream process is still the one that had the calls.
func (c *Core) checkEngine() {
	if !c.checkInProgress {
		c.checkInProgress = true
		c.lastCheck++
		c.emit(CheckEngine{Number: c.lastCheck})
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

// maxPastEpochs bounds the number of remembered earlier epochs. A listing takes a few seconds at most, in which fewer
// processes end.
const maxPastEpochs = 16

// errPastEpoch is the error of a listing that was read before the upstream's process was replaced.
var errPastEpoch = fault.New(fault.StepOrder, "", "listing of an upstream process that has ended")

// isPast reports whether an epoch has ended. Listings are read concurrently, so an older one may arrive last.
func (c *Core) isPast(epoch string) bool { return slices.Contains(c.pastEpochs, epoch) }

// handleListing handles a listing. A new epoch confirms that the upstream process ended with all its calls.
func (c *Core) handleListing(l engine.Listing, err error, number uint64) {
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
		c.pastEpochs = append(c.pastEpochs, c.epoch)
		c.pastEpochs = c.pastEpochs[max(0, len(c.pastEpochs)-maxPastEpochs):]
		c.epoch = l.Epoch
		c.handleEngineRestart()
		return
	}
	c.epoch = l.Epoch
	for _, j := range c.sortedJobs() {
		switch {
		case j.phase == unresolved && number >= j.resolvingCheck:
			c.reconnect(j)
		case j.phase == unresolved:
			c.checkEngine()
		}
	}
}

// reconnect resumes a call whose connection was lost while the upstream process kept running. A non-idempotent call is
// not sent a second time, not even as a resume, because the upstream may treat it as a new call.
func (c *Core) reconnect(j *job) {
	if j.open.NonIdempotent || !c.servesModels() || j.epoch == "" || j.resumes >= maxEngineResumes {
		c.endCall(j, false)
		c.finishJob(j, nil, unknownRefusal(wire.CodeUpstreamDown, "the connection to the upstream was lost"))
		return
	}
	j.resumes++
	j.phase = running
	c.emit(ResumeCall{Job: j.id, Run: j.run, Call: j.engineCall()})
}

// handleEngineRestart handles the end of the upstream process: all its calls become suspects, and those that may run
// again are queued again.
func (c *Core) handleEngineRestart() {
	c.emit(LogChange{Message: "upstream process ended"})
	c.quarantine.RecordCrash(c.now)
	c.stepResidency(residency.EngineLost{}) // first, because the targets of the calls that are queued again are no longer loaded
	for _, j := range c.sortedJobs() {
		if j.phase != running && j.phase != unresolved {
			continue
		}
		c.emit(StopCall{Job: j.id, Run: j.run})
		c.endCall(j, false)
		c.retryOrRefuse(j)
	}
	c.refuseQuarantined()
}

// retryOrRefuse queues a call again whose upstream process ended, or refuses it if it must not run again.
func (c *Core) retryOrRefuse(j *job) {
	switch {
	case c.quarantine.IsQuarantined(j.fingerprint):
		c.finishJob(j, nil, unknownRefusal(wire.CodeQuarantined, "the request has crashed upstreams"))
	case j.open.NonIdempotent || j.run >= maxRuns || j.stopping || j.maybeDelivered && !j.continuable():
		c.finishJob(j, nil, unknownRefusal(wire.CodeUpstreamDown, "the upstream ended during the call"))
	default:
		c.requeue(j)
	}
}

// continuable reports whether the upstream can continue the answer after the bytes already delivered. A call has one
// prefix, so a job that itself continues another upstream's text cannot add its own output to it.
func (j *job) continuable() bool { return j.open.Kind == wire.KindModel && len(j.open.Prefix) == 0 }

// requeue queues a call for another run.
func (c *Core) requeue(j *job) {
	j.phase, j.mayHaveRun = queued, true
	c.queue.Requeue(c.now, c.admissionRequest(j), !c.targetReady(j))
	c.requireTarget(j)
}
