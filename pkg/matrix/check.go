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
	// leaveLimit is the time after which a leaving upstream gets no new work, once the list shows it.
	leaveLimit = 5 * time.Second
	// spreadLimit is the time in which an accepted configuration is in force everywhere.
	spreadLimit = 8 * time.Second
)

// Violation is a broken invariant.
type Violation struct {
	Invariant string // I1 to I10
	Text      string
	At        time.Duration // virtual time since the start
}

// Error formats the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s violated at %.3f s: %s", v.Invariant, v.At.Seconds(), v.Text)
}

// checker watches the invariants. It sees what happens at the upstreams and at the callers, not what processes believe.
type checker struct {
	w     *World
	first error
	// runs counts calls that reached an upstream, by idempotency key and by request id.
	runsOfKey     map[string]int
	runsOfRequest map[string]bool
	// notRun holds keys and requests for which a caller was told that they did not run.
	notRun map[string]bool
	// ceilings are the replicas allowed by the configuration in force.
	ceilings  map[string]int
	leavingAt map[string]time.Time
	// mustFinish holds the requests that a stopping process had, with its name.
	mustFinish map[string]string
	// loaded says that an upstream began a load or a ceiling changed, so that I1 and I2 have to be checked.
	loaded bool
	// crashes holds the times of the upstream crashes that a request caused, by its body.
	crashes map[string][]time.Time
	// spoiled says that a fault was injected, so that a request may be cut by it.
	spoiled   bool
	published time.Time
	version   uint64
	// disturbed is the end of the last fault that keeps a configuration from spreading.
	disturbed time.Time
}

func newChecker(w *World) *checker {
	return &checker{w: w, runsOfKey: map[string]int{}, runsOfRequest: map[string]bool{}, notRun: map[string]bool{},
		ceilings: map[string]int{}, leavingAt: map[string]time.Time{}, mustFinish: map[string]string{}, crashes: map[string][]time.Time{}}
}

func (c *checker) fail(invariant, format string, args ...any) {
	if c.first == nil {
		c.first = &Violation{Invariant: invariant, Text: fmt.Sprintf(format, args...), At: c.w.now.Sub(epoch)}
	}
}

// now checks the state after an event.
func (c *checker) now() error {
	if c.loaded {
		c.loaded = false
		c.replicas()
		c.memory()
	}
	c.configurations()
	return c.first
}

// replicas checks I1. Loads in flight count.
func (c *checker) replicas() {
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

// memory checks I2.
func (c *checker) memory() {
	for _, a := range c.w.agents {
		if used := a.up.used(); !a.reclaimed && used > memoryLimit {
			c.fail("I2", "%s uses %d, the limit is %d", a.vm, used, memoryLimit)
		}
	}
}

// configurations checks I9: no process goes back, and after the limit all that run have the accepted version.
func (c *checker) configurations() {
	for _, a := range c.w.agents {
		if a.alive && !c.w.now.Before(a.pausedTill.Add(spreadLimit)) {
			c.configuration(a.process, a.core.Sync().ConfigVersion)
		}
	}
	for _, r := range c.w.routers {
		if r.alive && !c.w.now.Before(r.pausedTill.Add(spreadLimit)) {
			v := r.conf.Version()
			if c.w.broken.RevertConfiguration && c.w.now.Sub(epoch) > 40*time.Second {
				v = 1
			}
			c.configuration(r.process, v)
		}
	}
}

func (c *checker) configuration(p *process, v uint64) {
	if v < p.version {
		c.fail("I9", "%s went back from version %d to %d", p.name, p.version, v)
	}
	p.version = v
	due := c.w.now.Sub(c.published) > spreadLimit && c.w.now.Sub(c.disturbed) > spreadLimit && c.w.now.Sub(p.startedAt) > spreadLimit
	if v < c.version && due {
		c.fail("I9", "%s has version %d, version %d was accepted %s ago", p.name, v, c.version, c.w.now.Sub(c.published))
	}
}

// objectChanged follows the configuration in force.
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
		w.check.fail("I9", "config/current does not hold a document: %v", err)
		return
	}
	w.note("configuration %d accepted", e.Version)
	w.check.version, w.check.published = e.Version, w.now
	w.check.loaded = true
	w.check.ceilings = map[string]int{}
	for _, m := range d.Config.Models {
		w.check.ceilings[m.Name] = m.MaxReplicas
	}
}

// ran records a call that an upstream began.
func (w *World) ran(u *upstream, call engine.Call) {
	id := call.RequestID
	w.check.runsOfRequest[id] = true
	if w.check.notRun[id] {
		w.check.fail("I5", "request %s ran at %s after its caller was told that it did not", id, u.vm)
	}
}

// dispatched records a call that an agent sends to its upstream.
func (w *World) dispatched(a *agentNode, o *wire.Open) {
	c := w.check
	w.note("%s dispatches %s", a.vm, o.Request)
	if o.Path == "/loans" {
		c.runsOfKey[o.Key]++
		if c.runsOfKey[o.Key] > 1 {
			c.fail("I6", "key %s ran twice, at last at %s", o.Key, a.vm)
		}
		if w.callers.toldNotRun(o.Key) {
			c.fail("I5", "key %s ran at %s after its caller was told that it did not", o.Key, a.vm)
		}
	}
}

// crashed records that a request ended an upstream, and checks I10: a request that was convicted by its second crash is
// refused everywhere from the time in which all processes hear of it.
func (c *checker) crashed(body string) {
	times := append(c.crashes[body], c.w.now)
	c.crashes[body] = times
	if len(times) > 2 && c.w.now.Sub(times[1]) > spreadLimit && c.w.now.Sub(c.disturbed) > spreadLimit {
		c.fail("I10", "request %q ended an upstream %s after its second crash", body, c.w.now.Sub(times[1]))
	}
}

// leaving records that a VM is shown as leaving from now on, after the list's lag.
func (c *checker) leaving(vm string) { c.leavingAt[vm] = c.w.now }

// admitted checks I7 when an agent takes a request into its queue.
func (c *checker) admitted(a *agentNode, o *wire.Open) {
	at, ok := c.leavingAt[a.vm]
	if ok && !o.Resume && c.w.now.Sub(at) > c.w.vms.lag+leaveLimit {
		c.fail("I7", "%s took request %s %.1f s after it began to leave", a.vm, o.Request, c.w.now.Sub(at).Seconds())
	}
}

// stopping records a planned stop and the requests that it must not cut.
func (c *checker) stopping(name string) {
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

// disturb records a fault, which may excuse a process from some checks.
func (c *checker) disturb(f Fault, subject string) {
	c.disturbed = c.w.now
	switch f {
	case FaultStoreDown, FaultStoreSlow, FaultStale:
		c.disturbed = c.w.now.Add(outageTime)
	case FaultPause:
		c.disturbed = c.w.now.Add(pauseTime)
	}
	c.spoiled = true
	c.w.note("disturbed by %s at %s", f, subject)
}

// cut checks I8: without a fault, a request that a stopping process had is answered in full, unless its own deadline
// ended it.
func (c *checker) cut(s *send) {
	if r := s.result.Refusal; r != nil && r.Code == wire.CodeExpired && s.deadline.Sub(c.w.now) < answerSlack {
		return
	}
	if name, ok := c.mustFinish[s.id]; ok && !c.spoiled && !s.order.poison {
		c.fail("I8", "%s was cut by the planned stop of %s", s.id, name)
	}
}

// answered checks I3, I4, I5 and I8 for one answer.
func (c *checker) answered(s *send) {
	o := s.order
	c.w.note("%s at %s: %s %v", s.id, s.router, s.result.Outcome, s.result.Refusal)
	if s.result.Outcome == wire.OutcomeDone {
		want := modelAnswer(o.body)
		if o.kind == wire.KindPlain {
			want = "result of " + o.body
		}
		if s.body != want {
			c.fail("I4", "%s got %q instead of %q", s.id, s.body, want)
		}
	}
	if s.result.Outcome == wire.OutcomeNotRun {
		c.toldNotRun(s)
	}
	if s.result.Outcome == wire.OutcomeUnknown {
		c.cut(s)
	}
	if late := c.w.now.Sub(s.deadline); s.result.Outcome != wire.OutcomeDone && late > answerSlack && !c.excused(s) && !o.streamed {
		c.fail("I3", "%s was refused %s after its deadline", s.id, late)
	}
}

// toldNotRun checks I5. For a keyed call the refusal speaks of the key, for another one of the request.
func (c *checker) toldNotRun(s *send) {
	if s.order.keyed {
		if c.runsOfKey[s.order.key] > 0 {
			c.fail("I5", "%s was told that key %s did not run, but it did", s.id, s.order.key)
		}
		// A later send of the same key is a new request to run it; only earlier sends must not run any more.
		return
	}
	if c.runsOfRequest[s.id] {
		c.fail("I5", "%s was told that it did not run, but it did", s.id)
	}
	c.notRun[s.id] = true
}

// excused says that the router was paused or ended while it had the request.
func (c *checker) excused(s *send) bool {
	r := c.w.routerOf(s.router)
	return s.lost || s.gaveUp && r != nil && r.pausedTill.After(s.at) || r == nil || !r.alive || r.pausedTill.After(s.at)
}

// end checks at the end of the run that nothing was left waiting.
func (c *checker) end() error {
	for _, o := range c.w.callers.orders {
		for _, s := range o.sends {
			if !s.answered && !c.excused(s) {
				c.fail("I3", "%s to %s was never answered", s.id, s.router)
			}
		}
	}
	return c.first
}

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p + "\x00")
	}
	return d.Sum64()
}
