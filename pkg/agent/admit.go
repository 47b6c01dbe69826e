package agent

import (
	"encoding/binary"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// handleOpened decides what happens to a stream that a router opened.
func (c *Core) handleOpened(ev Opened) {
	o := ev.Open
	if a := c.requests[o.Request]; a != nil {
		c.reattach(ev, a)
		return
	}
	if c.stale.isStale(o.Request, o.Attempt) {
		c.emit(DropStream{Stream: ev.Stream})
		return
	}
	if code, reason := c.precheck(o); code != "" {
		c.refuse(ev, code, reason, unconfirmedOutcome(o))
		return
	}
	if !o.NonIdempotent {
		if o.Resume && o.Offset > 0 {
			c.refuse(ev, wire.CodePeerLost, "the answer is no longer kept", wire.OutcomeUnknown)
			return
		}
		c.enqueue(ev, &job{})
		return
	}
	c.admitKeyed(ev)
}

// precheck returns the code and reason for refusing a request before its idempotency key is checked, or "".
func (c *Core) precheck(o *wire.Open) (wire.Code, string) {
	switch {
	case o.Request == "":
		return wire.CodeBadRequest, "field request is empty"
	case o.Kind != wire.KindModel && o.Kind != wire.KindPlain:
		return wire.CodeBadRequest, "field kind is neither model nor plain"
	case o.Kind == wire.KindModel && (o.NonIdempotent || o.Target.Model == ""):
		return wire.CodeBadRequest, "a model request names a model and is idempotent"
	case c.kind == "":
		return wire.CodeNoConfig, "the agent has no configuration for its group"
	case c.servesModels() != (o.Kind == wire.KindModel):
		return wire.CodeNoUpstream, "the upstream is of another kind"
	case o.Kind == wire.KindPlain:
		return c.precheckPlain(o)
	}
	return "", ""
}

// precheckPlain checks a request for a plain service against the active configuration of this agent. The router's
// configuration may be older, but a call that must run at most once must not be accepted without a key.
func (c *Core) precheckPlain(o *wire.Open) (wire.Code, string) {
	s := c.services[o.Service]
	if s == nil {
		return wire.CodeNoUpstream, "the service is not one of the upstream's group"
	}
	u, err := url.ParseRequestURI(o.Path)
	if err != nil {
		return wire.CodeBadRequest, "field path is malformed"
	}
	call := s.Match(o.Method, u.Path)
	switch {
	case call == nil:
		return wire.CodeBadRequest, "the service has no such call"
	case call.NonIdempotent && !o.NonIdempotent:
		return wire.CodeBadRequest, "the call needs an idempotency key"
	}
	return "", ""
}

// unconfirmedOutcome returns the outcome of a refusal by an agent that cannot tell whether the key has run. It is
// confirmed not run if the caller asserts that it sends the key for the first time.
func unconfirmedOutcome(o *wire.Open) wire.Outcome {
	if o.NonIdempotent && (!o.FirstSend || o.Resume) {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeNotRun
}

// admitKeyed handles a request with an idempotency key as the at-most-once state machine decides.
func (c *Core) admitKeyed(ev Opened) {
	o := ev.Open
	key, err := uuid.Parse(o.Key)
	if err != nil || key.Version() != 7 {
		c.refuse(ev, wire.CodeBadRequest, "the idempotency key is not a UUID of version 7", wire.OutcomeNotRun)
		return
	}
	call := once.Call{Service: o.Service, Caller: o.Caller, Key: o.Key, Fingerprint: fingerprint(o), Issued: issueTime(key)}
	result := c.once.Admit(c.now, call, o.Request)
	switch result.Decision {
	case once.Start:
		c.enqueue(ev, &job{keyed: true, call: call})
	case once.Join:
		if j := c.jobs[result.Run]; j != nil {
			c.attach(ev, j)
			return
		}
		c.refuseKey(ev, once.Unknown)
	case once.Stored:
		c.emit(AnswerStream{Stream: ev.Stream, Request: o.Request, Attempt: o.Attempt, Offset: o.Offset, Answer: result.Answer})
	case once.NotOwner:
		c.refuseNotOwner(ev, result.Owner)
	default:
		c.refuseKey(ev, result.Decision)
	}
}

// refuseKey refuses a keyed request at the owner of its key slot. For the owner, a key above the floor that is not in
// the table is confirmed not run.
func (c *Core) refuseKey(ev Opened, d once.Decision) {
	switch d {
	case once.Unknown:
		c.refuse(ev, wire.CodeUpstreamDown, "an earlier send may have run and its answer is not kept", wire.OutcomeUnknown)
	case once.KeyTooOld:
		c.refuse(ev, wire.CodeKeyTooOld, "the key was issued before the owner began to record keys", unconfirmedOutcome(ev.Open))
	case once.KeyInFuture:
		c.refuse(ev, wire.CodeKeyInFuture, "the key was issued more than 2 s ahead of the clock", wire.OutcomeNotRun)
	case once.KeyReused:
		c.refuse(ev, wire.CodeBadRequest, "the idempotency key names another request", wire.OutcomeNotRun)
	case once.Releasing:
		c.refuse(ev, wire.CodeDraining, "the key slot is being handed over", wire.OutcomeNotRun)
	case once.TableFull:
		c.refuse(ev, wire.CodeQueueFull, "the table of keys is full of running calls", wire.OutcomeNotRun)
	}
}

// refuseNotOwner refuses a request so that the router tries the owner of the key slot. The outcome describes this
// attempt only, unless it resumes one that this agent may have run.
func (c *Core) refuseNotOwner(ev Opened, owner string) {
	r := &wire.Refuse{Code: wire.CodeNotOwner, Reason: "the key slot has another owner", Outcome: wire.OutcomeNotRun}
	if ev.Open.Resume {
		r.Outcome = wire.OutcomeUnknown
	}
	if owner != "" {
		r.Holders = []string{owner}
	}
	c.sendRefusal(ev.Stream, ev.Open, r)
}

// enqueue queues a new job or refuses it. A refusal is confirmed not run: this agent has not run the request, and it
// owns the key slot of a keyed one.
func (c *Core) enqueue(ev Opened, j *job) {
	o := ev.Open
	j.id, j.open, j.fingerprint = o.Request, o, fingerprint(o)
	j.deadline = c.now.Add(time.Duration(o.TimeoutMS) * time.Millisecond)
	j.attached = map[string]*attachment{}
	refuse := func(code wire.Code, reason string, retryAfter time.Duration) {
		if j.keyed {
			c.once.Abort(j.call)
		}
		c.sendRefusal(ev.Stream, o, &wire.Refuse{Code: code, Reason: reason, Outcome: wire.OutcomeNotRun, RetryAfterMS: retryAfter.Milliseconds()})
	}
	switch {
	case c.draining:
		refuse(wire.CodeDraining, "the upstream is leaving", 0)
		return
	case c.quarantine.IsQuarantined(j.fingerprint):
		refuse(wire.CodeQuarantined, "the request has crashed upstreams", 0)
		return
	}
	cold := !c.targetReady(j)
	if r := c.queue.Offer(c.now, c.admissionRequest(j), cold, c.predictedLoadWait(j, cold)); r != nil {
		refuse(r.Code, r.Reason, r.RetryAfter)
		if cold && r.Code == wire.CodeTooLate {
			// Load the target nevertheless: otherwise a target that takes longer to load than callers wait would never be
			// served. RetryAfter tells the caller when to retry.
			c.stepResidency(residency.LoadRequested{Target: o.Target, Deadline: c.now.Add(2 * r.RetryAfter)})
		}
		return
	}
	c.jobs[j.id] = j
	c.attach(ev, j)
	c.requireTarget(j)
}

func (c *Core) admissionRequest(j *job) admission.Request {
	return admission.Request{ID: j.id, Target: j.open.Target, Priority: j.open.Priority, Deadline: j.deadline, Bytes: len(j.open.Body)}
}

// attach connects a stream to a job's output.
func (c *Core) attach(ev Opened, j *job) {
	a := &attachment{request: ev.Open.Request, attempt: ev.Open.Attempt, stream: ev.Stream, job: j}
	j.attached[a.request] = a
	c.requests[a.request], c.streams[ev.Stream] = a, a
	c.emit(Attach{Stream: ev.Stream, Job: j.id, Open: j.open, Request: a.request, Attempt: a.attempt, Offset: ev.Open.Offset})
}

// reattach replaces an earlier attempt by a later one. An Open frame whose attempt is not later is stale and dropped.
func (c *Core) reattach(ev Opened, a *attachment) {
	if ev.Open.Attempt <= a.attempt {
		c.emit(DropStream{Stream: ev.Stream})
		return
	}
	if a.stream != 0 {
		delete(c.streams, a.stream)
		c.emit(DropStream{Stream: a.stream})
	}
	c.attach(ev, a.job)
}

// handleClosed handles the end of a stream. The job continues for OutputRetention.
func (c *Core) handleClosed(stream uint64) {
	a := c.streams[stream]
	if a == nil {
		return
	}
	delete(c.streams, stream)
	a.stream = 0
	a.job.idleSince = c.now
}

// handleCancelled detaches a cancelled request at once and stops its job. A started non-idempotent call continues, and
// so does a job that other requests share.
func (c *Core) handleCancelled(stream uint64) {
	a := c.streams[stream]
	if a == nil {
		return
	}
	c.handleClosed(stream)
	c.emit(DropStream{Stream: stream})
	j := a.job
	if len(j.attached) > 1 {
		return
	}
	switch {
	case j.phase == queued:
		c.withdrawJob(j)
	case j.phase == running && !j.open.NonIdempotent:
		c.stopCall(j)
	}
}

func (c *Core) refuse(ev Opened, code wire.Code, reason string, outcome wire.Outcome) {
	c.sendRefusal(ev.Stream, ev.Open, &wire.Refuse{Code: code, Reason: reason, Outcome: outcome})
}

func (c *Core) sendRefusal(stream uint64, o *wire.Open, r *wire.Refuse) {
	r.Request, r.Attempt = o.Request, o.Attempt
	c.stale.add(c.now, o.Request, o.Attempt)
	c.emit(RefuseStream{Stream: stream, Refuse: r})
}

// fingerprint returns the request's fingerprint, computed here if the router sent none.
func fingerprint(o *wire.Open) uint64 {
	if o.Fingerprint != 0 {
		return o.Fingerprint
	}
	d := xxhash.New()
	for _, s := range []string{o.Caller, o.Service, o.Method, o.Path, string(o.Body)} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}

// issueTime returns the time in a UUID of version 7: 48 bits of Unix milliseconds (RFC 9562, section 5.7).
func issueTime(key uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}
