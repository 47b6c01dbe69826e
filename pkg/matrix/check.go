package matrix

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// leaveGrace is the time in which an upstream whose VM is listed as leaving may still admit requests.
	leaveGrace = 5 * time.Second
	// spreadTimeout is the time in which an accepted configuration must become active, and a quarantine known, in all
	// processes.
	spreadTimeout = 8 * time.Second
)

// Violation is a violated invariant. The invariants are:
//
//	I1   no more replicas of a model are loaded than the configuration allows
//	I2   no upstream uses more memory than the limit
//	I3   a request is answered, and refused no later than its deadline
//	I4   a complete answer has exactly the bytes that the model or service produces for the request
//	I5   a request reported as not run has not run and does not run later
//	I6   a call with an idempotency key runs at most once
//	I7   an upstream whose VM is leaving admits no new requests
//	I8   a planned stop interrupts no request
//	I9   an accepted configuration becomes active in all processes, and none returns to an older one
//	I10  a request that crashes upstreams is quarantined
type Violation struct {
	Invariant string // I1 to I10
	Text      string
	At        time.Duration // virtual time since the start
}

// Error returns the invariant, the time and the details of the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s violated at %.3f s: %s", v.Invariant, v.At.Seconds(), v.Text)
}

// checker checks the invariants. It observes the upstreams and the callers, not the processes' view of them.
type checker struct {
	w              *World
	firstViolation error
	// runsOfKey counts the calls that agents sent to their upstreams, by idempotency key. runsOfRequest is the set of ids
	// of the calls that upstreams started.
	runsOfKey     map[string]int
	runsOfRequest map[string]bool
	// notRun is the set of requests without a key that were reported to their caller as not run.
	notRun map[string]bool
	// ceilings is the number of replicas that the accepted configuration allows, by model.
	ceilings  map[string]int
	leavingAt map[string]time.Time
	// mustFinish maps each request that was in progress at a stopping process to the name of the process.
	mustFinish map[string]string
	// memoryChanged reports whether a load started or a ceiling changed, so that I1 and I2 have to be checked.
	memoryChanged bool
	// crashes is the times of the upstream crashes that a request caused, by the request's body.
	crashes map[string][]time.Time
	// faultInjected reports whether a fault was injected, which may interrupt any request.
	faultInjected   bool
	acceptedAt      time.Time
	acceptedVersion uint64
	// disturbedUntil is the end of the last fault, which may delay the spread of a configuration or quarantine.
	disturbedUntil time.Time
}

func newChecker(w *World) *checker {
	return &checker{w: w, runsOfKey: map[string]int{}, runsOfRequest: map[string]bool{}, notRun: map[string]bool{},
		ceilings: map[string]int{}, leavingAt: map[string]time.Time{}, mustFinish: map[string]string{}, crashes: map[string][]time.Time{}}
}

func (c *checker) fail(invariant, format string, args ...any) {
	if c.firstViolation == nil {
		c.firstViolation = &Violation{Invariant: invariant, Text: fmt.Sprintf(format, args...), At: c.w.now.Sub(startTime)}
	}
}

// checkState checks the invariants that concern the state after an event.
func (c *checker) checkState() error {
	if c.memoryChanged {
		c.memoryChanged = false
		c.checkReplicas()
		c.checkMemory()
	}
	c.checkConfigurations()
	return c.firstViolation
}

// checkReplicas checks I1. Replicas that are being loaded count.
func (c *checker) checkReplicas() {
	count := map[string]int{}
	for _, a := range c.w.agents {
		if a.reclaimed {
			continue
		}
		for t := range a.up.occupied() {
			if t.Adapter == "" {
				count[t.Model]++
			}
		}
	}
	for model, n := range count {
		if limit := c.ceilings[model]; n > limit {
			c.fail("I1", "%d replicas of %s are loaded, %d are allowed", n, model, limit)
		}
	}
}

// checkMemory checks I2.
func (c *checker) checkMemory() {
	for _, a := range c.w.agents {
		if used := a.up.usedMemory(); !a.reclaimed && used > memoryLimit {
			c.fail("I2", "%s uses %d, the limit is %d", a.vm, used, memoryLimit)
		}
	}
}

// checkConfigurations checks I9: no process returns to an older version, and after spreadTimeout all running processes
// have the accepted version.
func (c *checker) checkConfigurations() {
	for _, a := range c.w.agents {
		if a.alive && !c.w.now.Before(a.pausedUntil.Add(spreadTimeout)) {
			c.checkConfiguration(a.process, a.core.Sync().ConfigVersion)
		}
	}
	for _, r := range c.w.routers {
		if r.alive && !c.w.now.Before(r.pausedUntil.Add(spreadTimeout)) {
			v := r.conf.Version()
			if c.w.defects.RevertConfiguration && c.w.now.Sub(startTime) > 40*time.Second {
				v = 1
			}
			c.checkConfiguration(r.process, v)
		}
	}
}

func (c *checker) checkConfiguration(p *process, v uint64) {
	if v < p.checkedVersion {
		c.fail("I9", "%s returned from version %d to %d", p.name, p.checkedVersion, v)
	}
	p.checkedVersion = v
	due := c.w.now.Sub(c.acceptedAt) > spreadTimeout && c.w.now.Sub(c.disturbedUntil) > spreadTimeout && c.w.now.Sub(p.startedAt) > spreadTimeout
	if v < c.acceptedVersion && due {
		c.fail("I9", "%s has version %d, version %d was accepted %s ago", p.name, v, c.acceptedVersion, c.w.now.Sub(c.acceptedAt))
	}
}

// objectChanged records an accepted configuration.
func (w *World) objectChanged(o store.Object) {
	if o.Key != store.KeyConfig {
		return
	}
	e, err := config.DecodeEnvelope(o.Value)
	if err != nil {
		w.check.fail("I9", "config/current does not decode: %v", err)
		return
	}
	d, err := e.Document()
	if err != nil {
		w.check.fail("I9", "config/current does not contain a document: %v", err)
		return
	}
	w.logf("configuration %d accepted", e.Version)
	w.check.acceptedVersion, w.check.acceptedAt = e.Version, w.now
	w.check.memoryChanged = true
	w.check.ceilings = map[string]int{}
	for _, m := range d.Config.Models {
		w.check.ceilings[m.Name] = m.MaxReplicas
	}
}

// recordRun records a call that an upstream started, and checks I5.
func (w *World) recordRun(u *upstream, call engine.Call) {
	id := call.RequestID
	w.check.runsOfRequest[id] = true
	if w.check.notRun[id] {
		w.check.fail("I5", "request %s ran at %s after it was reported as not run", id, u.vm)
	}
}

// recordDispatch records a call that an agent sends to its upstream, and checks I5 and I6 for its key.
func (w *World) recordDispatch(a *agentNode, o *wire.Open) {
	c := w.check
	w.logf("%s dispatches %s", a.vm, o.Request)
	if o.Path == "/loans" {
		c.runsOfKey[o.Key]++
		if c.runsOfKey[o.Key] > 1 {
			c.fail("I6", "key %s ran again at %s", o.Key, a.vm)
		}
		if w.callers.allNotRun(o.Key) {
			c.fail("I5", "key %s ran at %s after it was reported as not run", o.Key, a.vm)
		}
	}
}

// recordCrash records that a request crashed an upstream, and checks I10: the second crash quarantines a request, and
// after spreadTimeout all processes refuse it.
func (c *checker) recordCrash(body string) {
	times := append(c.crashes[body], c.w.now)
	c.crashes[body] = times
	if len(times) > 2 && c.w.now.Sub(times[1]) > spreadTimeout && c.w.now.Sub(c.disturbedUntil) > spreadTimeout {
		c.fail("I10", "request %q crashed an upstream %s after its second crash", body, c.w.now.Sub(times[1]))
	}
}

// recordLeaving records that a VM is leaving. Readers of the VM list see it after the list's lag.
func (c *checker) recordLeaving(vm string) { c.leavingAt[vm] = c.w.now }

// checkAdmission checks I7 when an agent accepts a request.
func (c *checker) checkAdmission(a *agentNode, o *wire.Open) {
	at, ok := c.leavingAt[a.vm]
	if ok && !o.Resume && c.w.now.Sub(at) > c.w.vms.lag+leaveGrace {
		c.fail("I7", "%s admitted request %s %.1f s after its VM started to leave", a.vm, o.Request, c.w.now.Sub(at).Seconds())
	}
}

// recordPlannedStop records the requests that are in progress at a process when its planned stop begins.
func (c *checker) recordPlannedStop(name string) {
	if a := c.w.agentOf(name); a != nil {
		for _, j := range a.jobs {
			if !j.ended {
				c.mustFinish[j.open.Request] = name
			}
		}
	}
	if r := c.w.routerOf(name); r != nil {
		for x := range r.active {
			c.mustFinish[x.req.ID] = name
		}
	}
}

// recordFault records a fault and the time until which it excuses delays and interrupted requests.
func (c *checker) recordFault(f Fault, subject string) {
	c.disturbedUntil = c.w.now
	switch f {
	case FaultStoreDown, FaultStoreSlow, FaultStale:
		c.disturbedUntil = c.w.now.Add(outageTime)
	case FaultPause:
		c.disturbedUntil = c.w.now.Add(pauseTime)
	}
	c.faultInjected = true
	c.w.logf("checks relaxed for fault %s at %s", f, subject)
}

// checkPlannedStop checks I8 for a request without a complete answer: a stopping process must complete its requests,
// except those that reached their deadline. After a fault the check does not apply.
func (c *checker) checkPlannedStop(attempt *callerAttempt) {
	if r := attempt.result.Refusal; r != nil && r.Code == wire.CodeExpired && attempt.deadline.Sub(c.w.now) < answerMargin {
		return
	}
	if name, ok := c.mustFinish[attempt.id]; ok && !c.faultInjected && !attempt.request.poison {
		c.fail("I8", "%s was interrupted by the planned stop of %s", attempt.id, name)
	}
}

// checkAnswer checks I3, I4, I5 and I8 for the answer to an attempt.
func (c *checker) checkAnswer(attempt *callerAttempt) {
	req := attempt.request
	c.w.logf("%s at %s: %s %v", attempt.id, attempt.router, attempt.result.Outcome, attempt.result.Refusal)
	if attempt.result.Outcome == wire.OutcomeDone {
		want := modelAnswer(req.body)
		if req.kind == wire.KindPlain {
			want = "result of " + req.body
		}
		if attempt.body != want {
			c.fail("I4", "%s got %q instead of %q", attempt.id, attempt.body, want)
		}
	}
	if attempt.result.Outcome == wire.OutcomeNotRun {
		c.checkNotRun(attempt)
	}
	if attempt.result.Outcome == wire.OutcomeUnknown {
		c.checkPlannedStop(attempt)
	}
	if late := c.w.now.Sub(attempt.deadline); attempt.result.Outcome != wire.OutcomeDone && late > answerMargin && !c.isExcused(attempt) && !req.streamed {
		c.fail("I3", "%s was refused %s after its deadline", attempt.id, late)
	}
}

// checkNotRun checks I5 for the outcome not-run, which applies to the key of a keyed request and otherwise to the
// attempt.
func (c *checker) checkNotRun(attempt *callerAttempt) {
	if attempt.request.keyed {
		if c.runsOfKey[attempt.request.key] > 0 {
			c.fail("I5", "%s was answered that key %s did not run, but it did", attempt.id, attempt.request.key)
		}
		// A later attempt with the key asks to run it again; only the earlier attempts must not run any more.
		return
	}
	if c.runsOfRequest[attempt.id] {
		c.fail("I5", "%s was answered that it did not run, but it did", attempt.id)
	}
	c.notRun[attempt.id] = true
}

// isExcused reports whether the router was paused or ended while it processed the attempt.
func (c *checker) isExcused(attempt *callerAttempt) bool {
	r := c.w.routerOf(attempt.router)
	return attempt.routerDied || attempt.abandoned && r != nil && r.pausedUntil.After(attempt.sentAt) || r == nil || !r.alive || r.pausedUntil.After(attempt.sentAt)
}

// checkEnd checks at the end of the run that every attempt was answered (invariant I3).
func (c *checker) checkEnd() error {
	for _, req := range c.w.callers.requests {
		for _, attempt := range req.attempts {
			if !attempt.answered && !c.isExcused(attempt) {
				c.fail("I3", "%s to %s was never answered", attempt.id, attempt.router)
			}
		}
	}
	return c.firstViolation
}

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p + "\x00")
	}
	return d.Sum64()
}
