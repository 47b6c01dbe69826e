package dispatch

import (
	"math"
	"time"
)

// rate is an exponentially decaying rate of events.
type rate struct {
	value float64 // events per second at last
	last  time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.at(now) + math.Ln2/rateHalfLife.Seconds()
	r.last = now
}

// at returns the rate in events per second; rates below one event in two minutes count as 0.
func (r *rate) at(now time.Time) float64 {
	v := r.value * math.Exp2(-now.Sub(r.last).Seconds()/rateHalfLife.Seconds())
	if v < 1.0/120 {
		return 0
	}
	return v
}
