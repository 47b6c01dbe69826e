package agent

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// OutputRetention is how long an output is kept after its last stream was lost (design page, section 4.6).
	OutputRetention = 10 * time.Second
	// expireMargin is the time between two ticks: a waiting request that would expire before the next tick is refused
	// now, so that its refusal is not sent after the deadline.
	expireMargin = tickInterval
	// maxEngineResumes bounds how often one call is resumed at the upstream on a new connection.
	maxEngineResumes = 3
	// maxRuns bounds how often this agent starts an idempotent call. A second crash quarantines its request anyway.
	maxRuns = 2
)

// phase is the progress of a job.
type phase uint8

const (
	queued     phase = iota
	running          // the call has been sent to the upstream
	unresolved       // the connection to the upstream was lost; a listing shows whether the call can be resumed
	ended
)

// job is one execution of a request, which several requests with the same key may share.
type job struct {
	id             string // id of the request that created the job
	open           *wire.Open
	deadline       time.Time
	fingerprint    uint64
	keyed          bool
	call           once.Call
	phase          phase
	run            int // number of starts
	resumes        int
	maybeDelivered bool      // a part of the answer may have reached a router
	mayHaveRun     bool      // an earlier run may have executed
	countedReady   bool      // the quarantine state counts the job as ready to run
	epoch          string    // of the upstream process that has the call
	resolvingCheck uint64    // number of the first listing requested after the connection was lost
	unresolvedAt   time.Time // when the connection to the upstream was lost
	countedInUse   bool      // the residency state counts the target as in use
	stopping       bool      // the call was stopped
	attached       map[string]*attachment
	// idleSince is when the last stream was lost or the job ended, whichever is later.
	idleSince time.Time
}

// attachment connects one request to a job.
type attachment struct {
	request string
	attempt uint32
	stream  uint64 // 0 if the connection was lost
	job     *job
}

// sortedJobs returns the jobs in the order of their ids, since the order of a map is not deterministic.
func (c *Core) sortedJobs() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		out = append(out, c.jobs[id])
	}
	return out
}

// startQueued starts queued calls while the upstream has slots.
func (c *Core) startQueued() {
	mayStart := func(id string) bool { j := c.jobs[id]; return j != nil && c.quarantine.MayStart(j.fingerprint) }
	for {
		id, ok := c.queue.Next(c.now, mayStart)
		if !ok {
			return
		}
		c.startCall(c.jobs[id])
	}
}

// startCall starts a job's call. It records the fingerprint before the call is sent, so that a crash can be attributed.
func (c *Core) startCall(j *job) {
	c.unmarkReady(j)
	c.quarantine.Begin(j.fingerprint)
	j.phase, j.epoch = running, c.epoch
	j.run++
	j.resumes = 0
	c.emit(StartCall{Job: j.id, Run: j.run, Call: j.engineCall(), KeepAnswer: j.keyed, Continue: j.maybeDelivered})
}

func (j *job) engineCall() engine.Call {
	o := j.open
	return engine.Call{RequestID: o.Request, Target: o.Target, Method: o.Method, Path: o.Path, Header: o.Header, Body: o.Body,
		Priority: o.Priority, Prefix: o.Prefix, Traceparent: o.Traceparent}
}

// handleAnswerStarted records that a part of the answer may reach a router.
func (c *Core) handleAnswerStarted(ev AnswerStarted) {
	if j := c.jobs[ev.Job]; j != nil && j.run == ev.Run {
		j.maybeDelivered = true
	}
}

// handleCallEnded handles the end of a call at the upstream.
func (c *Core) handleCallEnded(ev CallEnded) {
	j := c.jobs[ev.Job]
	if j == nil || j.run != ev.Run || j.phase != running {
		return
	}
	j.maybeDelivered = j.maybeDelivered || ev.Received
	switch {
	case ev.Err == nil:
		c.endCall(j, true)
		c.finishJob(j, ev.Answer, nil)
	case j.resumes == 0 && (errors.Is(ev.Err, engine.ErrNotStarted) || errors.Is(ev.Err, engine.ErrRefused)):
		c.endCall(j, false)
		c.refuseNotRun(j, wire.CodeUpstreamDown, ev.Err.Error())
		c.checkEngine() // the upstream may have a new process with nothing loaded
	case j.stopping:
		c.endCall(j, false)
		c.finishJob(j, nil, unknownRefusal(wire.CodeExpired, "the request was cancelled or its deadline passed"))
	case !c.servesModels() && errors.Is(ev.Err, engine.ErrDied):
		c.handleDroppedCall(j)
	default:
		// A listing that was started earlier may show the upstream as it was before the connection was lost.
		j.phase, j.mayHaveRun, j.resolvingCheck, j.unresolvedAt = unresolved, true, c.lastCheck+1, c.now
		c.checkEngine()
	}
}

// handleDroppedCall handles a call that a plain service dropped without a complete answer. The listing of a plain
// service has no epoch that would show whether its process ended.
func (c *Core) handleDroppedCall(j *job) {
	c.quarantine.RecordCallCrash(c.now, j.fingerprint)
	c.queue.Done(c.now, j.id, false)
	c.retryOrRefuse(j)
	c.refuseQuarantined()
}

// refuseQuarantined refuses waiting requests that have become quarantined.
func (c *Core) refuseQuarantined() {
	for _, j := range c.sortedJobs() {
		if j.phase == queued && c.quarantine.IsQuarantined(j.fingerprint) {
			c.queue.Remove(j.id)
			c.refuseNotRun(j, wire.CodeQuarantined, "the request has crashed upstreams")
		}
	}
}

// endCall releases the slot, the fingerprint and the target of a call that has ended at the upstream.
func (c *Core) endCall(j *job, completed bool) {
	c.queue.Done(c.now, j.id, completed)
	c.quarantine.End(j.fingerprint, completed)
	c.releaseTarget(j)
}

// releaseTarget ends the job's use of its target.
func (c *Core) releaseTarget(j *job) {
	if j.countedInUse {
		j.countedInUse = false
		c.stepResidency(residency.Use{Target: j.open.Target})
	}
}

// markReady records that a waiting job only waits for a slot. A suspect keeps other jobs from starting only from then
// on, since the load of its target may take long.
func (c *Core) markReady(j *job) {
	if !j.countedReady {
		j.countedReady = true
		c.quarantine.AddWaiting(j.fingerprint)
		c.emit(TargetReady{Job: j.id})
	}
	if c.servesModels() && !j.countedInUse {
		j.countedInUse = true
		c.stepResidency(residency.Use{Target: j.open.Target, Begin: true})
	}
}

// unmarkReady reverts the part of markReady that concerns the quarantine state.
func (c *Core) unmarkReady(j *job) {
	if j.countedReady {
		j.countedReady = false
		c.quarantine.RemoveWaiting(j.fingerprint)
	}
}

// refuseNotRun ends a job whose call never reached the upstream. After an earlier run the outcome is unknown.
func (c *Core) refuseNotRun(j *job, code wire.Code, reason string) {
	c.refuseJob(j, &wire.Refuse{Code: code, Reason: reason})
}

func (c *Core) refuseJob(j *job, r *wire.Refuse) {
	c.unmarkReady(j)
	c.releaseTarget(j)
	r.Outcome = wire.OutcomeNotRun
	if j.mayHaveRun || j.maybeDelivered {
		r.Outcome = wire.OutcomeUnknown
	}
	switch {
	case j.keyed && r.Outcome == wire.OutcomeNotRun:
		c.once.Abort(j.call)
	case j.keyed:
		c.once.Finish(j.call, nil)
	}
	c.endJob(j, r)
}

// finishJob ends a job whose call reached the upstream. The refusal is nil if the answer is complete.
func (c *Core) finishJob(j *job, answer *once.Answer, r *wire.Refuse) {
	if j.keyed {
		c.once.Finish(j.call, answer)
	}
	c.endJob(j, r)
}

func (c *Core) endJob(j *job, r *wire.Refuse) {
	j.phase, j.idleSince = ended, c.now
	c.emit(EndJob{Job: j.id, Refuse: r})
}

// expire refuses waiting requests whose deadline has passed, stops abandoned calls, and discards outputs whose
// retention has ended.
func (c *Core) expire() {
	for _, id := range c.queue.Expire(c.now.Add(expireMargin)) {
		c.refuseNotRun(c.jobs[id], wire.CodeExpired, "the request cannot start before its deadline")
	}
	for _, j := range c.sortedJobs() {
		c.expireJob(j)
	}
}

func (c *Core) expireJob(j *job) {
	abandoned := !j.hasStream() && c.now.Sub(j.idleSince) >= OutputRetention
	// The deadline bounds the start of the answer only. A router that buffers an answer until it is complete cancels the
	// request itself.
	late := !c.now.Before(j.deadline) && !j.maybeDelivered
	switch j.phase {
	case queued:
		if abandoned {
			c.withdrawJob(j)
		}
	case running:
		if (abandoned || late) && !j.open.NonIdempotent {
			c.stopCall(j)
		}
	case unresolved:
		if late || c.now.Sub(j.unresolvedAt) >= OutputRetention {
			c.endCall(j, false)
			c.finishJob(j, nil, unknownRefusal(wire.CodeUpstreamDown, "the upstream did not answer in time"))
		}
	case ended:
		if abandoned {
			c.forgetJob(j)
		}
	}
}

// stopCall cancels a running call at the upstream.
func (c *Core) stopCall(j *job) {
	if !j.stopping {
		j.stopping = true
		c.emit(StopCall{Job: j.id, Run: j.run})
	}
}

// withdrawJob refuses an abandoned request that is still queued.
func (c *Core) withdrawJob(j *job) {
	c.queue.Remove(j.id)
	c.refuseNotRun(j, wire.CodeExpired, "the caller left")
}

func (c *Core) forgetJob(j *job) {
	for _, request := range slices.Sorted(maps.Keys(j.attached)) {
		c.stale.add(c.now, request, j.attached[request].attempt)
		delete(c.requests, request)
	}
	delete(c.jobs, j.id)
	c.emit(ForgetJob{Job: j.id})
}

// hasStream reports whether a stream is connected to the job.
func (j *job) hasStream() bool {
	for _, a := range j.attached {
		if a.stream != 0 {
			return true
		}
	}
	return false
}

func unknownRefusal(code wire.Code, reason string) *wire.Refuse {
	return &wire.Refuse{Outcome: wire.OutcomeUnknown, Code: code, Reason: reason}
}
