package sidecar

import (
	"math"
	"time"
)

// fetchSpare is the number of loads that the limit of the weight store allows beyond its rate.
const fetchSpare = 3

// fetchLimit is one upstream's share of the limit on loads that begin at the weight store.
type fetchLimit struct {
	window time.Duration
	factor float64
	begun  []time.Time
}

func newFetchLimit(window time.Duration, factor float64) *fetchLimit {
	return &fetchLimit{window: window, factor: factor}
}

// allowed reports whether a load may begin now. The limit of rate loads a second is shared by upstreams in equal parts;
// position is this one's place among them. If there are more upstreams than loads in a window, they take turns in groups
// of half the limit: a window then meets two groups at the most.
func (f *fetchLimit) allowed(now time.Time, rate float64, position, upstreams int) bool {
	limit := rate*f.window.Seconds()*f.factor + fetchSpare
	share := int(limit) / max(1, upstreams)
	if share < 1 {
		share = 1
		groups := int64(math.Ceil(float64(upstreams) / max(1, math.Floor(limit/2))))
		if turn := now.UnixNano() / int64(2*f.window) % groups; turn != int64(position)%groups {
			return false
		}
	}
	recent := 0
	for _, at := range f.begun {
		if now.Sub(at) <= f.window {
			recent++
		}
	}
	return recent < share
}

func (f *fetchLimit) begin(now time.Time) {
	f.begun = append(f.begun, now)
	if len(f.begun) > maxBegun {
		f.begun = f.begun[1:]
	}
}

// maxBegun bounds the loads that are remembered; an engine begins at most one a second.
const maxBegun = 64
