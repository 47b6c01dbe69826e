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
	// expireMargin is the time between two ticks: a waiting request that would expire before the next one is refused now,
	// so that its refusal does not come after the deadline.
	expireMargin = tickInterval
	// maxEngineResumes bounds how often one call is continued at the upstream on a new connection.
	maxEngineResumes = 3
	// maxRuns bounds how often an idempotent call is started here. A second crash convicts it anyway.
	maxRuns = 2
)

// phase is the progress of a job.
type phase uint8

const (
	queued     phase = iota
	running          // the call has been sent to the upstream
	unresolved       // the connection to the upstream was lost; a listing decides
	ended
)

// job is one execution of a request, which several requests with the same key may share.
type job struct {
	id           string
	open         *wire.Open
	deadline     time.Time
	fp           uint64
	keyed        bool
	call         once.Call
	phase        phase
	run          int // counts the starts
	resumes      int
	sent         bool      // a part of the answer may have reached a router
	began        bool      // an earlier run may have had an effect
	waits        bool      // counted by the quarantine decision as ready to run
	epoch        string    // of the upstream process that has the call
	check        uint64    // number of the first listing that tells what became of a lost connection
	unresolvedAt time.Time // when the connection to the upstream was lost
	counted      bool      // the residency decision counts the target as in use
	stopping     bool      // the call was stopped
	attached     map[string]*attachment
	// lostAt is when the last stream was lost or the job ended, whichever is later.
	lostAt time.Time
}

// attachment is one request's interest in a job.
type attachment struct {
	request string
	attempt uint32
	stream  uint64 // 0 if the connection was lost
	job     *job
}

// ordered returns the jobs in the order of their ids, since the order of a map is not deterministic.
func (c *Core) ordered() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		out = append(out, c.jobs[id])
	}
	return out
}

// pump starts calls while the upstream has slots.
func (c *Core) pump() {
	may := func(id string) bool { j := c.jobs[id]; return j != nil && c.blocklist.MayStart(j.fp) }
	for {
		id, ok := c.queue.Next(c.now, may)
		if !ok {
			return
		}
		c.start(c.jobs[id])
	}
}

// start records the fingerprint before the call is sent.
func (c *Core) start(j *job) {
	c.unready(j)
	c.blocklist.Begin(j.fp)
	j.phase, j.epoch = running, c.epoch
	j.run++
	j.resumes = 0
	c.emit(StartCall{Job: j.id, Run: j.run, Call: j.engineCall(), KeepAnswer: j.keyed, Continue: j.sent})
}

func (j *job) engineCall() engine.Call {
	o := j.open
	return engine.Call{RequestID: o.Request, Target: o.Target, Method: o.Method, Path: o.Path, Header: o.Header, Body: o.Body,
		Priority: o.Priority, Prefix: o.Prefix, Traceparent: o.Traceparent}
}

// callBegan records that a part of the answer may reach a router.
func (c *Core) callBegan(ev AnswerStarted) {
	if j := c.jobs[ev.Job]; j != nil && j.run == ev.Run {
		j.sent = true
	}
}

// callEnded handles the end of a call at the upstream.
func (c *Core) callEnded(ev CallEnded) {
	j := c.jobs[ev.Job]
	if j == nil || j.run != ev.Run || j.phase != running {
		return
	}
	j.sent = j.sent || ev.Received
	switch {
	case ev.Err == nil:
		c.leaveUpstream(j, true)
		c.finish(j, ev.Answer, nil)
	case j.resumes == 0 && (errors.Is(ev.Err, engine.ErrNotStarted) || errors.Is(ev.Err, engine.ErrRefused)):
		c.leaveUpstream(j, false)
		c.notRun(j, wire.CodeUpstreamDown, ev.Err.Error())
		c.check() // the upstream may have a new process that holds nothing
	case j.stopping:
		c.leaveUpstream(j, false)
		c.finish(j, nil, refuseUnknown(wire.CodeExpired, "the request was cancelled or its deadline passed"))
	case !c.models() && errors.Is(ev.Err, engine.ErrDied):
		c.dropped(j)
	default:
		// A listing that was begun earlier may show the upstream as it was before the loss.
		j.phase, j.began, j.check, j.unresolvedAt = unresolved, true, c.checks+1, c.now
		c.check()
	}
}

// dropped handles a call that a plain service dropped without a whole answer. Its listing has no epoch that would tell
// whether the service ended.
func (c *Core) dropped(j *job) {
	c.blocklist.RecordCallCrash(c.now, j.fp)
	c.queue.Done(c.now, j.id, false)
	c.lost(j)
	c.refuseConvicted()
}

// refuseConvicted removes waiting requests that have become quarantined.
func (c *Core) refuseConvicted() {
	for _, j := range c.ordered() {
		if j.phase == queued && c.blocklist.IsQuarantined(j.fp) {
			c.queue.Remove(j.id)
			c.notRun(j, wire.CodeQuarantined, "the request has crashed upstreams")
		}
	}
}

// leaveUpstream frees what a call held at the upstream.
func (c *Core) leaveUpstream(j *job, whole bool) {
	c.queue.Done(c.now, j.id, whole)
	c.blocklist.End(j.fp, whole)
	c.release(j)
}

// release ends the job's use of its target.
func (c *Core) release(j *job) {
	if j.counted {
		j.counted = false
		c.residency(residency.Use{Target: j.open.Target})
	}
}

// ready says that a waiting job lacks only a slot. Only then does a suspect keep others from starting, since the load of
// its target may take long.
func (c *Core) ready(j *job) {
	if !j.waits {
		j.waits = true
		c.blocklist.AddWaiting(j.fp)
		c.emit(TargetReady{Job: j.id})
	}
	if c.models() && !j.counted {
		j.counted = true
		c.residency(residency.Use{Target: j.open.Target, Begin: true})
	}
}

// unready is the counterpart of ready for the quarantine decision.
func (c *Core) unready(j *job) {
	if j.waits {
		j.waits = false
		c.blocklist.RemoveWaiting(j.fp)
	}
}

// notRun ends a job whose call never reached the upstream. After an earlier run the outcome is unknown.
func (c *Core) notRun(j *job, code wire.Code, reason string) {
	c.refuseJob(j, &wire.Refuse{Code: code, Reason: reason})
}

func (c *Core) refuseJob(j *job, r *wire.Refuse) {
	c.unready(j)
	c.release(j)
	r.Outcome = wire.OutcomeNotRun
	if j.began || j.sent {
		r.Outcome = wire.OutcomeUnknown
	}
	switch {
	case j.keyed && r.Outcome == wire.OutcomeNotRun:
		c.once.Abort(j.call)
	case j.keyed:
		c.once.Finish(j.call, nil)
	}
	c.end(j, r)
}

// finish ends a job whose call reached the upstream. A nil refusal says that the answer is whole.
func (c *Core) finish(j *job, answer *once.Answer, r *wire.Refuse) {
	if j.keyed {
		c.once.Finish(j.call, answer)
	}
	c.end(j, r)
}

func (c *Core) end(j *job, r *wire.Refuse) {
	j.phase, j.lostAt = ended, c.now
	c.emit(EndJob{Job: j.id, Refuse: r})
}

// expire refuses waiting requests whose deadline has passed, stops calls that nobody waits for, and forgets outputs.
func (c *Core) expire() {
	for _, id := range c.queue.Expire(c.now.Add(expireMargin)) {
		c.notRun(c.jobs[id], wire.CodeExpired, "the request cannot start before its deadline")
	}
	for _, j := range c.ordered() {
		c.expireJob(j)
	}
}

func (c *Core) expireJob(j *job) {
	abandoned := !j.watched() && c.now.Sub(j.lostAt) >= OutputRetention
	// The deadline bounds the beginning of the answer. A router that holds an answer back until it is whole cancels it.
	late := !c.now.Before(j.deadline) && !j.sent
	switch j.phase {
	case queued:
		if abandoned {
			c.withdraw(j)
		}
	case running:
		if (abandoned || late) && !j.open.NonIdempotent {
			c.stop(j)
		}
	case unresolved:
		if late || c.now.Sub(j.unresolvedAt) >= OutputRetention {
			c.leaveUpstream(j, false)
			c.finish(j, nil, refuseUnknown(wire.CodeUpstreamDown, "the upstream did not answer in time"))
		}
	case ended:
		if abandoned {
			c.forget(j)
		}
	}
}

// stop cancels a begun call at the upstream.
func (c *Core) stop(j *job) {
	if !j.stopping {
		j.stopping = true
		c.emit(StopCall{Job: j.id, Run: j.run})
	}
}

// withdraw refuses a waiting request that nobody waits for.
func (c *Core) withdraw(j *job) {
	c.queue.Remove(j.id)
	c.notRun(j, wire.CodeExpired, "the caller left")
}

func (c *Core) forget(j *job) {
	for _, request := range slices.Sorted(maps.Keys(j.attached)) {
		c.late.add(c.now, request, j.attached[request].attempt)
		delete(c.requests, request)
	}
	delete(c.jobs, j.id)
	c.emit(ForgetJob{Job: j.id})
}

// watched reports whether a stream is connected to the job.
func (j *job) watched() bool {
	for _, a := range j.attached {
		if a.stream != 0 {
			return true
		}
	}
	return false
}

func refuseUnknown(code wire.Code, reason string) *wire.Refuse {
	return &wire.Refuse{Outcome: wire.OutcomeUnknown, Code: code, Reason: reason}
}
