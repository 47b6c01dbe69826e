// Package idle decides when to unload a resident target that no request uses.
package idle

import (
	"math"
	"time"
)

const (
	// Buckets is the number of buckets of a Histogram. With two buckets per doubling they span 1 s to about 36 h.
	Buckets = 34
	// bucketBase is the upper edge of the first bucket.
	bucketBase = time.Second
	// maxWeight bounds the total weight of past arrivals, so that the histogram adapts to a changed pattern within
	// about that many arrivals.
	maxWeight = 128
	// priorWeight is the weight, in arrivals, of the prior: inter-arrival times distributed evenly over the logarithm
	// of time.
	priorWeight = 2
)

// Histogram counts the inter-arrival times of one target's requests in buckets of equal logarithmic width. Its size is
// fixed. The zero value has no observations.
type Histogram struct {
	counts [Buckets]float64
	total  float64
	last   time.Time
}

// RecordArrival records the arrival of a request. An arrival that is not after the last one counts as simultaneous with
// it.
func (h *Histogram) RecordArrival(now time.Time) {
	if !h.last.IsZero() {
		h.add(now.Sub(h.last))
	}
	if now.After(h.last) {
		h.last = now
	}
}

func (h *Histogram) add(gap time.Duration) {
	if h.total >= maxWeight {
		for i := range h.counts {
			h.counts[i] *= 1 - 1.0/maxWeight
		}
		h.total *= 1 - 1.0/maxWeight
	}
	h.counts[bucketOf(gap)]++
	h.total++
}

// Observations returns the total weight of the recorded inter-arrival times, which is at most about 128.
func (h *Histogram) Observations() float64 { return h.total }

// upperEdge returns the upper edge of a bucket.
func upperEdge(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(2, float64(i)/2))
}

// edges contains the lower edge of each bucket and, as the last element, the upper edge of the last bucket, in seconds.
var edges = func() (e [Buckets + 1]float64) {
	for i := range Buckets {
		e[i+1] = upperEdge(i).Seconds()
	}
	return e
}()

func bucketOf(gap time.Duration) int {
	for i := range Buckets - 1 {
		if gap.Seconds() <= edges[i+1] {
			return i
		}
	}
	return Buckets - 1
}

// weight returns the weight of bucket i including the prior.
func (h *Histogram) weight(i int) float64 { return h.counts[i] + priorWeight/float64(Buckets) }

// overflowWeight is the weight of inter-arrival times longer than the last edge.
const overflowWeight = priorWeight / float64(Buckets)

// minHoldingCost returns the least expected cost of keeping the target loaded from age on, in seconds: it can be kept
// until any later edge and unloaded there if no request has arrived. Keeping it costs holdingRate per second; an
// arrival after the unload costs coldStartCost. Within a bucket, arrivals are assumed to be spread evenly.
func (h *Histogram) minHoldingCost(age, holdingRate, coldStartCost float64) (least float64) {
	total := h.tailWeight(age)
	if total <= 0 {
		return coldStartCost
	}
	least = math.Inf(1)
	spent, surviving := 0.0, total
	for i := range Buckets {
		lo, hi := math.Max(edges[i], age), edges[i+1]
		if hi <= lo {
			continue
		}
		m := h.weight(i) * (hi - lo) / (hi - edges[i])
		// Of the weight that remains at lo, m arrives in this interval, on average in its middle.
		spent += holdingRate * (hi - lo) * (surviving - m/2)
		surviving -= m
		least = math.Min(least, (spent+surviving*coldStartCost)/total)
	}
	return least
}

// tailWeight returns the weight of inter-arrival times longer than age, in seconds.
func (h *Histogram) tailWeight(age float64) float64 {
	sum := overflowWeight
	for i := range Buckets {
		lo, hi := math.Max(edges[i], age), edges[i+1]
		if hi > lo {
			sum += h.weight(i) * (hi - lo) / (hi - edges[i])
		}
	}
	return sum
}

// maxWaiters bounds the result of expectedWaiters.
const maxWaiters = 10

// expectedWaiters returns the expected total wait of the requests during one cold start, as a multiple of its duration:
// the first request waits for all of it, and each one that arrives before its end waits for half of it on average.
func (h *Histogram) expectedWaiters(coldStart time.Duration) float64 {
	p := h.ArrivalProbability(0, coldStart)
	return min(maxWaiters, 1+p/(2*max(1e-9, 1-p)))
}

// ArrivalProbability returns the probability that the next request arrives within the given time if the target has been
// idle for age.
func (h *Histogram) ArrivalProbability(age, within time.Duration) float64 {
	current := h.tailWeight(age.Seconds())
	if current <= 0 {
		return 0
	}
	return 1 - h.tailWeight((age+within).Seconds())/current
}
