package dispatch

import (
	"math"
	"time"
)

// rate is an exponentially decaying rate of events.
type rate struct {
	value float64 // events per second at the time in last
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

// priorities is the number of priorities that engines distinguish; 0 is the most urgent.
const priorities = 10

// perPriority stores a value for each priority.
type perPriority[T any] [priorities]T

// modelRate is the arrival rate of the requests for a model.
type modelRate struct {
	all        rate
	byPriority perPriority[rate]
}

// shareUpTo returns the share of the requests whose priority is rank or more urgent; 1 if there are none.
func (m *modelRate) shareUpTo(now time.Time, rank int) float64 {
	sum, upToRank := 0.0, 0.0
	for i := range m.byPriority {
		v := m.byPriority[i].at(now)
		sum += v
		if i <= rank {
			upToRank += v
		}
	}
	if sum == 0 {
		return 1
	}
	return upToRank / sum
}
