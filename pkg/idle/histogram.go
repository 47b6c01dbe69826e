// Package idle decides when a resident target that no request uses is unloaded.
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
	// maxWeight bounds the weight of the past, so that the histogram follows a change of the pattern within as many
	// arrivals.
	maxWeight = 128
	// priorWeight is the weight, in arrivals, of the assumption that holds before anything was observed: inter-arrival
	// times spread evenly over the logarithm of time.
	priorWeight = 2
)

// Histogram counts the inter-arrival times of one target's requests in buckets of equal logarithmic width. Its size is
// fixed. The zero value has no observations.
type Histogram struct {
	counts [Buckets]float64
	total  float64
	last   time.Time
}

// RecordArrival records an arrival. Arrivals that are not after the last one count as simultaneous.
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

// Observations returns the weight of the recorded inter-arrival times; it is at most about 128.
func (h *Histogram) Observations() float64 { return h.total }

// upper returns the upper edge of a bucket.
func upper(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(2, float64(i)/2))
}

// edges holds the lower edge of each bucket and, at the end, the upper edge of the last one, s.
var edges = func() (e [Buckets + 1]float64) {
	for i := range Buckets {
		e[i+1] = upper(i).Seconds()
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

// mass returns the weight of bucket i with the prior.
func (h *Histogram) mass(i int) float64 { return h.counts[i] + priorWeight/float64(Buckets) }

// beyond is the weight given to an inter-arrival time longer than the last edge.
const beyond = priorWeight / float64(Buckets)

// stop returns the least expected cost of holding the target idle from age on: it may be held until any later edge
// and unloaded there if no request has come. Holding costs hold per second; an arrival after the unload costs miss.
// Within a bucket, arrivals are taken as evenly spread. Age is in seconds.
func (h *Histogram) stop(age, hold, miss float64) (least float64) {
	tail := h.tail(age)
	if tail <= 0 {
		return miss
	}
	least = math.Inf(1)
	spent, survive := 0.0, tail
	for i := range Buckets {
		lo, hi := math.Max(edges[i], age), edges[i+1]
		if hi <= lo {
			continue
		}
		m := h.mass(i) * (hi - lo) / (hi - edges[i])
		// Of those that survive to lo, m arrive after half of the interval on average.
		spent += hold * (hi - lo) * (survive - m/2)
		survive -= m
		least = math.Min(least, (spent+survive*miss)/tail)
	}
	return least
}

// tail returns the weight of inter-arrival times longer than age, s.
func (h *Histogram) tail(age float64) float64 {
	sum := beyond
	for i := range Buckets {
		lo, hi := math.Max(edges[i], age), edges[i+1]
		if hi > lo {
			sum += h.mass(i) * (hi - lo) / (hi - edges[i])
		}
	}
	return sum
}

// maxWaiters bounds the requests that are expected to wait for one cold start.
const maxWaiters = 10

// waiters returns how many full cold starts the requests of one cold start are expected to wait together: the first one
// waits for the whole of it, those that follow before it ends for half of it on average.
func (h *Histogram) waiters(coldStart time.Duration) float64 {
	next := h.ArrivalProbability(0, coldStart)
	return min(maxWaiters, 1+next/(2*max(1e-9, 1-next)))
}

// ArrivalProbability returns the probability that the next request arrives within the given time, when the target has been idle for
// age.
func (h *Histogram) ArrivalProbability(age, within time.Duration) float64 {
	now := h.tail(age.Seconds())
	if now <= 0 {
		return 0
	}
	return 1 - h.tail((age+within).Seconds())/now
}
