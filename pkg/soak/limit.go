package soak

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// rejectShare is the share of requests that runners reject while the limit on retries is tested.
	rejectShare = 0.9
	// killInterval is the time between two kills of all entries.
	killInterval = 3 * time.Second
)

// serviceOf returns the service that requests of the kind are sent to.
func serviceOf(kind string) string {
	if kind == "report" || kind == "chat" {
		return "llm"
	}
	return "loans"
}

// countRepeat counts an arrival at a runner if it is not the request's first. The caller holds the lock.
func (c *checker) countRepeat(id string, at time.Time) {
	s := c.requests[id]
	switch {
	case s == nil: // recordRun reports it
	case s.arrived:
		c.repeatTimes[serviceOf(s.kind)] = append(c.repeatTimes[serviceOf(s.kind)], at)
	default:
		s.arrived = true
	}
}

// retryUse is the window in which the retries of a service were nearest to their limit, or furthest above it.
type retryUse struct {
	Service  string
	Repeats  int
	Allowed  float64
	Requests int
}

// checkRetryLimit checks that the arrivals beyond the first of each request stay within the limit on retries in each
// window. The requests are counted in the window, the one before it or the one half a window before it. It returns the worst window of each service.
func (c *checker) checkRetryLimit(l standin.RetryLimit) []retryUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	var uses []retryUse
	for _, service := range slices.Sorted(maps.Keys(c.repeatTimes)) {
		repeats := c.repeatTimes[service]
		sort.Slice(repeats, func(i, j int) bool { return repeats[i].Before(repeats[j]) })
		requests := c.requestTimes[service]
		worst := retryUse{Service: service}
		for _, start := range repeats {
			n := max(countWithin(requests, start, l.Window), countWithin(requests, start.Add(-l.Window), l.Window), countWithin(requests, start.Add(-l.Window/2), l.Window))
			allowed := l.Ratio*float64(n) + l.Burst
			if got := countWithin(repeats, start, l.Window); worst.Allowed == 0 || float64(got)/allowed > float64(worst.Repeats)/worst.Allowed {
				worst.Repeats, worst.Allowed, worst.Requests = got, allowed, n
			}
		}
		if float64(worst.Repeats) > worst.Allowed {
			c.recordViolationLocked("budget", fmt.Sprintf("%d repeats arrived at %s within %s for %d requests, %.0f allowed", worst.Repeats, service, l.Window, worst.Requests, worst.Allowed))
		}
		uses = append(uses, worst)
	}
	return uses
}

// countWithin returns the number of the sorted times within the window from start.
func countWithin(times []time.Time, start time.Time, window time.Duration) int {
	before := func(end time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(end) })
	}
	return before(start.Add(window)) - before(start)
}

// killEntries kills all entries again and again while most requests are rejected.
func (w *world) killEntries() []string {
	for _, r := range w.runners {
		r.SetRejectShare(rejectShare)
	}
	var events []string
	for start := time.Now(); time.Since(start) < w.options.FaultPeriod; {
		time.Sleep(killInterval)
		for _, p := range w.entries() {
			p.kill()
			w.restartProcess(p)
		}
		events = append(events, fmt.Sprintf("%6.2f s kill all entries", time.Since(start).Seconds()))
	}
	for _, r := range w.runners {
		r.SetRejectShare(0)
	}
	return events
}
