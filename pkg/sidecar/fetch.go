package sidecar

import (
	"math"
	"time"
)

// fetchAllowance is the number of loads that the limit of the weight store allows beyond its rate.
const fetchAllowance = 3

// fetchLimiter is one upstream's share of the limit on loads that begin at the weight store.
type fetchLimiter struct {
	window    time.Duration
	factor    float64
	startedAt []time.Time
}

func newFetchLimiter(window time.Duration, factor float64) *fetchLimiter {
	return &fetchLimiter{window: window, factor: factor}
}

// allowed reports whether a load may begin now. The limit of rate loads a second is shared by upstreams in equal parts;
// position is this one's place among them. If there are more upstreams than loads in a window, they take turns in groups
// of half the limit: a window then meets two groups at the most.
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
	for _, at := range f.startedAt {
		if now.Sub(at) <= f.window {
			recent++
		}
	}
	return recent < share
}

func (f *fetchLimiter) recordStart(now time.Time) {
	f.startedAt = append(f.startedAt, now)
	if len(f.startedAt) > maxRecordedFetches {
		f.startedAt = f.startedAt[1:]
	}
}

// maxRecordedFetches bounds the loads that are remembered; an engine begins at most one a second.
const maxRecordedFetches = 64
