package soak

import (
	"fmt"
	"time"
)

const (
	// stableWindow is the time without a disturbance after which a process counts as in touch.
	stableWindow = 4 * time.Second
	// crashesKnown is the number of crashes after which a request is refused, maxLateCrashes the number of its arrivals
	// later than stableWindow after that.
	crashesKnown, maxLateCrashes = 3, 3
	// turnedAwayDelay is the time after which a router has to heed a Retry-After, maxTurnedAway the number of requests that
	// may reach the upstream all the same.
	turnedAwayDelay = 500 * time.Millisecond
	maxTurnedAway   = 2
	// deadlineSlack is the time by which a deadline may exceed the caller's. More than maxLongDeadlines, and more than
	// maxLongDeadlineShare of all that are compared, break the rule.
	deadlineSlack        = 500 * time.Millisecond
	maxLongDeadlines     = 20
	maxLongDeadlineShare = 0.2
)

// turnedAway is an answer with a Retry-After.
type turnedAway struct {
	runner string
	entry  int
	at     time.Time
	after  time.Duration
}

// deadlines counts the deadlines that upstreams are handed.
type deadlines struct {
	long, repeats int
	example       string
}

// recordSender records which entry a request is sent to, the time that its caller waits, and what it crashes runners with.
func (c *checker) recordSender(id string, entry int, timeout time.Duration, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	s.entry, s.timeout, s.cause, s.sent = entry, timeout, cause, time.Now()
}

// recordArrival records the arrival of a request at a runner.
func (c *checker) recordArrival(id, runner string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countRepeat(id, at)
	a := arrival{runner: runner, at: at, entry: -1}
	if s := c.requests[id]; s != nil {
		a.entry, a.cause = s.entry, s.cause
		if s.ended {
			c.lateArrivals++
		}
		if c.disturbedAt != nil {
			a.entryDisturbed = c.disturbedAt(s.entry)
		}
	}
	c.arrivals = append(c.arrivals, a)
	c.limits.arrive(id, runner, at)
}

func (c *checker) recordTurnedAway(id, runner string, at time.Time, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.requests[id]; s != nil {
		c.turnedAway = append(c.turnedAway, turnedAway{runner: runner, entry: s.entry, at: at, after: after})
	}
}

// checkTurnedAway checks that a router sends nothing to a runner that wants nothing from it.
func (c *checker) checkTurnedAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	worst, detail := maxTurnedAway, ""
	for _, t := range c.turnedAway {
		n := 0
		for _, a := range c.arrivals {
			if a.runner == t.runner && a.entry == t.entry && a.at.After(t.at.Add(turnedAwayDelay)) && a.at.Before(t.at.Add(t.after)) && a.entryDisturbed.Before(t.at) {
				n++
			}
		}
		if n > worst {
			worst, detail = n, fmt.Sprintf("retry after: %d requests reached %s from entry %d within the %s that it had asked for at %s", n, t.runner, t.entry, t.after, t.at.Format("15:04:05.000"))
		}
	}
	if detail != "" {
		c.recordViolationLocked("budget", detail)
	}
}

// recordDeadline records the time that a request leaves a runner, which begins when the runner reads it. Streams
// and those of entries out of touch do not count.
func (c *checker) recordDeadline(id string, at time.Time, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	if s == nil || s.timeout == 0 || serviceOf(s.kind) == "llm" || c.disturbedAt != nil && c.disturbedAt(s.entry).After(at.Add(-stableWindow)) {
		return
	}
	end := at.Add(left)
	late := !s.firstAt.IsZero() && at.After(s.firstAt.Add(deadlineSlack))
	if late {
		c.deadlines.repeats++
	}
	if left < 0 || left > s.timeout+deadlineSlack || late && end.After(s.firstEnd.Add(deadlineSlack)) && end.After(s.sent.Add(s.timeout+deadlineSlack)) {
		c.deadlines.long++
		c.deadlines.example = fmt.Sprintf("%s with %s after %s of %s", id, left, at.Sub(s.sent), s.timeout)
	}
	if s.firstAt.IsZero() {
		s.firstAt, s.firstEnd = at, end
	}
}

func (c *checker) checkDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.deadlines; d.long > maxLongDeadlines && float64(d.long) > maxLongDeadlineShare*float64(d.long+d.repeats) {
		c.recordViolationLocked("budget", fmt.Sprintf("deadline: %d requests were handed on with more time than was left, the last one %s", d.long, d.example))
	}
}

// checkCrashing checks that what has crashed runners is not sent to them again and again.
func (c *checker) checkCrashing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cause, crashes := range c.crashes {
		late := 0
		for _, a := range c.arrivals {
			if len(crashes) >= crashesKnown && a.cause == cause && a.at.After(crashes[crashesKnown-1].Add(stableWindow)) && a.entryDisturbed.Before(a.at.Add(-stableWindow)) {
				late++
			}
		}
		if late > maxLateCrashes {
			c.recordViolationLocked("budget", fmt.Sprintf("crashing: %s reached runners %d times later than %s after its third crash", cause, late, stableWindow))
		}
	}
}
