package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// limitSpan is the span in which arrivals are counted, and limitSettle the time from the first naming of a limit to the
	// first such span.
	limitSpan   = 4 * time.Second
	limitSettle = 4 * time.Second
	// limitLag is how long after an entry has passed on an answer that names a limit its requests count.
	limitLag = 500 * time.Millisecond
	// limitFactor and limitExtra are what may arrive beyond a limit.
	limitFactor, limitExtra = 1.5, 5
	// minLimit and maxLimit are the limits that runners name, in requests per second over all entries.
	minLimit, maxLimit = 0.8, 3.0
	// limitedTime is how long a runner names a limit.
	limitedTime = 12 * time.Second
	// limitFaultAt is when, after the first naming, one process is killed and started again.
	limitFaultAt = 6 * time.Second
	// limitOutage is how long all sidecars are away, and limitPause how long a process stands still.
	limitOutage, limitPause = 5 * time.Second, 2 * time.Second
	// minLimitedShare is the part of its limit that a limited runner gets at least while others serve the same: it is not
	// starved.
	minLimitedShare = 0.1
)

// limitPeriod is a time in which a runner names a limit.
type limitPeriod struct {
	runner   string
	perS     float64
	named    time.Time // first answer; zero before it
	ended    time.Time // zero while it lasts
	arrivals []time.Time
	all      []time.Time // arrivals from limitSettle on, of whatever entry
	total    int
	faultAt  time.Time // when a process was disturbed; zero until then
	calm     int       // arrivals before that
}

// rateLimits records which limits runners name and which entries have passed them on.
type rateLimits struct {
	mu      sync.Mutex
	periods []*limitPeriod
	active  map[string]*limitPeriod // by runner
	entries map[string]int          // by request
	// knownSince is when each entry has first passed on an answer that names the runner's limit, by runner and entry.
	knownSince map[string]map[int]time.Time
}

func newRateLimits() *rateLimits {
	return &rateLimits{active: map[string]*limitPeriod{}, entries: map[string]int{}, knownSince: map[string]map[int]time.Time{}}
}

// recordEntry records to which entry a request is sent.
func (c *checker) recordEntry(id string, entry int) {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.limits.entries[id] = entry
}

// recordLimit records that an entry has passed on an answer that names a limit.
func (c *checker) recordLimit(entry int, h http.Header, at time.Time) {
	if standin.Limit(h) != "" {
		c.limits.learn(entry, standin.Stamp(h), at)
	}
}

func (l *rateLimits) learn(entry int, runner string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[runner] == nil {
		return
	}
	if l.knownSince[runner] == nil {
		l.knownSince[runner] = map[int]time.Time{}
	}
	if _, known := l.knownSince[runner][entry]; !known {
		l.knownSince[runner][entry] = at
	}
}

// forget excuses an entry that is disturbed until it has passed on a limit again.
func (l *rateLimits) forget(entry int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entries := range l.knownSince {
		delete(entries, entry)
	}
}

// begin records that a runner names a limit from now on, and returns the function that ends it.
func (l *rateLimits) begin(runner string, perS float64) (end func(time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &limitPeriod{runner: runner, perS: perS}
	l.periods, l.active[runner] = append(l.periods, p), p
	return func(at time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		p.ended = at
		delete(l.active, runner)
		delete(l.knownSince, runner)
	}
}

// recordFault records that processes are disturbed from now on.
func (l *rateLimits) recordFault(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.active {
		p.faultAt = at
	}
}

// calmPart returns the part of the limit that arrived before processes were disturbed.
func (p *limitPeriod) calmPart() float64 {
	if p.named.IsZero() || !p.named.Before(p.faultAt) {
		return 0
	}
	return float64(p.calm) / (p.perS * p.faultAt.Sub(p.named).Seconds())
}

// arrive records the arrival of a request at a runner.
func (l *rateLimits) arrive(id, runner string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.active[runner]
	if p == nil {
		return
	}
	if p.named.IsZero() {
		p.named = at
	}
	p.total++
	if p.faultAt.IsZero() {
		p.calm++
	}
	if at.Sub(p.named) >= limitSettle {
		p.all = append(p.all, at)
	}
	since, known := l.knownSince[runner][l.entries[id]]
	if known && at.Sub(since) >= limitLag && at.Sub(p.named) >= limitSettle {
		p.arrivals = append(p.arrivals, at)
	}
}

// largest returns the most arrivals within one span.
func largest(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > limitSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (p *limitPeriod) allowed() float64 {
	return limitFactor*p.perS*limitSpan.Seconds() + limitExtra
}

// checkLimits checks that no runner got more in any span than its limit allows and that none was starved. It returns one
// line for each limit.
func (c *checker) checkLimits() []string {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	var lines []string
	for _, p := range c.limits.periods {
		got, allowed := largest(p.arrivals), p.allowed()
		lasted := p.ended.Sub(p.named).Seconds()
		lines = append(lines, fmt.Sprintf("runner %s named %.2f/s for %.1f s: %d arrivals, %.2f of the limit before the fault, in %s at most %d counted and %d in all, %.1f allowed", p.runner, p.perS, lasted, p.total, p.calmPart(), limitSpan, got, largest(p.all), allowed))
		if float64(got) > allowed {
			c.recordViolation("limit", fmt.Sprintf("%d requests arrived at runner %s in %s, which named %.2f per second: %.1f allowed", got, p.runner, limitSpan, p.perS, allowed))
		}
		if p.named.IsZero() || float64(p.total) < minLimitedShare*p.perS*lasted {
			c.recordViolation("starved", fmt.Sprintf("%d requests arrived at runner %s in %.1f s, which named %.2f per second", p.total, p.runner, lasted, p.perS))
		}
	}
	return lines
}

// limitEngines makes one engine and one plain runner name a limit, in every other round both plain runners, while a fault of
// processes is injected in each round.
func (w *world) limitEngines() []string {
	var events []string
	start := time.Now()
	for round := 0; time.Since(start) < w.options.FaultPeriod; round++ {
		limited := []*runner{w.runners[0], w.runners[w.shape.Engines]}
		if round%2 == 1 { // requests wait for tokens or are refused
			limited = append(limited, w.runners[w.shape.Engines+1])
		}
		var ends []func(time.Time)
		for _, r := range limited {
			perS := minLimit + w.random.Float64()*(maxLimit-minLimit)
			ends = append(ends, w.check.limits.begin(r.ID(), perS))
			r.SetRateLimit(perS)
		}
		time.Sleep(limitFaultAt)
		f := limitFaults[w.random.IntN(len(limitFaults))]
		events = append(events, fmt.Sprintf("%6.2f s %s", time.Since(start).Seconds(), f.name))
		w.check.limits.recordFault(time.Now())
		f.inject(w, round%w.shape.Entries)
		time.Sleep(limitedTime - limitFaultAt)
		for i, r := range limited {
			ends[i](time.Now())
			r.SetRateLimit(0)
		}
	}
	return append(events, w.check.checkLimits()...)
}

// limitFaults are what happens to processes while runners name limits.
var limitFaults = []struct {
	name   string
	inject func(w *world, entry int)
}{
	{"kill and restart the sidecar beside the limited engine", func(w *world, _ int) { w.replace(w.sidecars()[0]) }},
	{"kill and restart all sidecars", func(w *world, _ int) { w.replace(w.sidecars()...) }},
	{"kill and restart an entry", func(w *world, entry int) {
		w.replace(w.processes[entry])
		w.check.limits.forget(entry)
	}},
	{"kill all sidecars for some seconds", func(w *world, _ int) {
		for _, p := range w.sidecars() {
			p.kill()
		}
		time.Sleep(limitOutage)
		for _, p := range w.sidecars() {
			w.restartProcess(p)
		}
	}},
	{"pause an entry", func(w *world, entry int) {
		w.processes[entry].signal(syscall.SIGSTOP, false)
		time.Sleep(limitPause)
		w.processes[entry].signal(syscall.SIGCONT, false)
		w.check.limits.forget(entry)
	}},
	{"pause all sidecars", func(w *world, _ int) {
		for _, p := range w.sidecars() {
			p.signal(syscall.SIGSTOP, false)
		}
		time.Sleep(limitPause)
		for _, p := range w.sidecars() {
			p.signal(syscall.SIGCONT, false)
		}
	}},
}

// replace kills the processes and starts them again.
func (w *world) replace(all ...*process) {
	for _, p := range all {
		p.kill()
		w.restartProcess(p)
	}
}
