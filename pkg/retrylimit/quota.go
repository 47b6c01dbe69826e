// Package retrylimit divides the voted limit on retries among the routers. It is pure: the caller passes the time.
//
// What a process has sent is known to that process only, so nothing may depend on remembering it: processes restart at
// any time. Each retry therefore uses a token that the process has earned since its start, and the number of tokens that
// all processes can have or earn within a window is at most the limit.
package retrylimit

import "time"

// Limit bounds the retries of all routers to a service: within any Window, they are at most Ratio of the requests plus
// Burst.
type Limit struct {
	Ratio, Burst float64
	Window       time.Duration
}

// defaultWindow applies if the settings name no window.
const defaultWindow = 10 * time.Second

func (l Limit) withDefaults() Limit {
	if l.Window <= 0 {
		l.Window = defaultWindow
	}
	return l
}

const (
	// storedRatio is the part of Ratio that a router may have in store from requests of the last window. The remaining
	// part is earned with each request. Both together are at most Ratio of the requests in a window or in the one before.
	storedRatio = 0.25
	// storedBurst is the part of a router's burst that it may have in store. The remaining part is earned evenly over a
	// window.
	storedBurst = 0.5
	// requestBuckets is the resolution with which requests leave the window.
	requestBuckets = 40
)

// Usage is what a router has counted of the requests within the window, and its tokens for retries.
type Usage struct {
	Requests         int
	Tokens, Capacity float64
}

// Quota is one router's part of the limit for a service. It is not safe for concurrent use.
type Quota struct {
	limit Limit
	// epoch is the time of the first call. Buckets are numbered by the time since then, which steps of the wall clock do
	// not change.
	epoch     time.Time
	requests  counter
	tokens    float64
	updatedAt time.Time
}

// NewQuota returns a quota without any tokens.
func NewQuota(l Limit) *Quota { return &Quota{limit: l.withDefaults()} }

// RecordRequest counts a new request. The argument burst is the router's part of the burst.
func (q *Quota) RecordRequest(now time.Time, burst float64) {
	q.requests.add(q.bucket(now))
	q.tokens += (1 - storedRatio) * q.limit.Ratio
	q.update(now, burst)
}

// Usage returns the router's usage.
func (q *Quota) Usage(now time.Time, burst float64) Usage {
	q.update(now, burst)
	return Usage{Requests: q.windowRequests(now), Tokens: q.tokens, Capacity: q.capacity(now, burst)}
}

// HasRoom reports whether a retry is allowed.
func (q *Quota) HasRoom(now time.Time, burst float64) bool {
	q.update(now, burst)
	return q.tokens >= 1
}

// Take uses a token for a retry that is about to be sent, and reports whether there is one.
func (q *Quota) Take(now time.Time, burst float64) bool {
	if !q.HasRoom(now, burst) {
		return false
	}
	q.tokens--
	return true
}

// update adds the tokens that were earned since the last update and drops those beyond the capacity.
func (q *Quota) update(now time.Time, burst float64) {
	if elapsed := now.Sub(q.updatedAt); !q.updatedAt.IsZero() && elapsed > 0 {
		q.tokens += (1 - storedBurst) * burst * float64(elapsed) / float64(q.limit.Window)
	}
	q.updatedAt = now
	q.tokens = min(q.tokens, q.capacity(now, burst))
}

// capacity returns the largest number of tokens that the router may have in store.
func (q *Quota) capacity(now time.Time, burst float64) float64 {
	return storedBurst*burst + storedRatio*q.limit.Ratio*float64(q.windowRequests(now))
}

// windowRequests returns the number of requests within the window less up to one bucket.
func (q *Quota) windowRequests(now time.Time) int { return q.requests.sum(q.bucket(now)) }

// bucket returns the number of the current bucket. A time before the first call counts as that of the first.
func (q *Quota) bucket(now time.Time) int64 {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	return int64(max(0, now.Sub(q.epoch)) / (q.limit.Window / requestBuckets))
}

// counter counts the events of the last requestBuckets buckets in a ring.
type counter struct {
	buckets [requestBuckets]int
	last    int64 // number of the latest bucket
	total   int
}

// advance drops the buckets that are no longer among the last ones when bucket is the latest.
func (c *counter) advance(bucket int64) {
	for n := max(c.last+1, bucket-requestBuckets+1); n <= bucket; n++ {
		c.total -= c.buckets[n%requestBuckets]
		c.buckets[n%requestBuckets] = 0
	}
	c.last = max(c.last, bucket)
}

func (c *counter) add(bucket int64) {
	c.advance(bucket)
	c.buckets[bucket%requestBuckets]++
	c.total++
}

func (c *counter) sum(bucket int64) int {
	c.advance(bucket)
	return c.total
}
