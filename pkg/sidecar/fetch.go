package sidecar

import (
	"math"
	"time"
)

// fetchAllowance is the number of loads that the weight store's limit allows in a window beyond its rate.
const fetchAllowance = 3

// fetchLimiter enforces one upstream's share of the limit on loads started from the weight store.
type fetchLimiter struct {
	window time.Duration
	factor float64
	starts []time.Time
}

func newFetchLimiter(window time.Duration, factor float64) *fetchLimiter {
	return &fetchLimiter{window: window, factor: factor}
}

// allowed reports whether a load may start now. The limit of rate loads per second is divided equally among upstreams;
// position is the index of this one. If there are more upstreams than loads per window, groups of half the limit get
// time slices of two windows each, so that any window overlaps two groups at most.
func (f *fetchLimiter) allowed(now time.Time, rate float64, position, upstreams int) bool {
	limit := rate*f.window.Seconds()*f.factor + fetchAllowance
	share := int(limit) / max(1, upstreams)
	if share < 1 {
		share = 1
		groups := int64(math.Ceil(float64(upstreams) / max(1, math.Floor(limit/2))))
		if timeSlice := now.UnixNano() / int64(2*f.window) % groups; timeSlice != int64(position)%groups {
			return false
		}
	}
	recent := 0
	for _, at := range f.starts {
		if now.Sub(at) <= f.window {
			recent++
		}
	}
	return recent < share
}

func (f *fetchLimiter) recordStart(now time.Time) {
	f.starts = append(f.starts, now)
	if len(f.starts) > maxRecordedFetches {
		f.starts = f.starts[1:]
	}
}

// maxRecordedFetches bounds the recorded start times; an engine starts at most one load per second.
const maxRecordedFetches = 64
