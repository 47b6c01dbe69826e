package sidecar

import "time"

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

// allowed reports whether a load may begin now if upstreams share the limit of rate loads a second equally.
func (f *fetchLimit) allowed(now time.Time, rate float64, upstreams int) bool {
	total := rate*f.window.Seconds()*f.factor + fetchSpare
	share := total / float64(max(1, upstreams))
	window := f.window
	if share < 1 {
		window = time.Duration(float64(f.window) / max(share, 0.01))
	}
	recent := 0
	for _, at := range f.begun {
		if now.Sub(at) <= window {
			recent++
		}
	}
	return recent < max(1, int(share))
}

func (f *fetchLimit) begin(now time.Time) {
	f.begun = append(f.begun, now)
	if len(f.begun) > 64 {
		f.begun = f.begun[1:]
	}
}
