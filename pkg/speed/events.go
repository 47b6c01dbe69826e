package speed

import (
	"slices"
	"time"
)

// maxIntervals is the number of intervals between the first events of a stream that are observed. They show the speed
// of the engine less than a second after the first event.
const maxIntervals = 8

// Events records the times of the first events of a stream. The zero value is ready for use.
type Events struct {
	first, last time.Time
	count       int
	intervals   [maxIntervals]time.Duration
}

// Record records an event and reports whether the observation is now complete.
func (e *Events) Record(now time.Time) bool {
	e.count++
	switch n := e.count - 2; {
	case n < 0:
		e.first = now
	case n < maxIntervals:
		e.intervals[n] = now.Sub(e.last)
	}
	e.last = now
	return e.count == maxIntervals+1
}

// First returns the time of the first event; zero if there was none.
func (e *Events) First() time.Time { return e.first }

// Count returns the number of events.
func (e *Events) Count() int { return e.count }

// minIntervals is the number of intervals from which the usual one is determined.
const minIntervals = 3

// Interval returns the lower quartile of the observed intervals: prompts of others lengthen some of them. It returns 0
// if there were too few.
func (e *Events) Interval() time.Duration {
	n := min(e.count-1, maxIntervals)
	if n < minIntervals {
		return 0
	}
	sorted := e.intervals
	slices.Sort(sorted[:n])
	return sorted[(n-1)/4]
}
