// Package retrylimit divides the voted limit on retries among the routers. It is pure: the caller passes the time.
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

// bucketsPerWindow is the resolution of the sliding window: a quota loses up to one bucket of the window.
const bucketsPerWindow = 40

// Usage is what a router has counted within the window, and the number of retries that this allows.
type Usage struct {
	Requests, Retries int
	Limit             float64
}

// Quota is one router's part of the limit for a service: Ratio of the router's own requests and a part of Burst. It is
// not safe for concurrent use.
type Quota struct {
	limit Limit
	// epoch is the time of the first call. Buckets are numbered by the time since then, which steps of the wall clock do
	// not change.
	epoch             time.Time
	requests, retries counter
}

// NewQuota returns a quota without any requests.
func NewQuota(l Limit) *Quota {
	if l.Window <= 0 {
		l.Window = defaultWindow
	}
	return &Quota{limit: l}
}

// RecordRequest counts a new request.
func (q *Quota) RecordRequest(now time.Time) { q.requests.add(q.bucket(now)) }

// Usage returns the router's usage if its part of the burst is burst. Retries are counted over the window and up to one
// bucket more, requests over the window less up to one bucket, so that each window of the limit is kept.
func (q *Quota) Usage(now time.Time, burst float64) Usage {
	bucket := q.bucket(now)
	u := Usage{Requests: q.requests.sum(bucket, bucketsPerWindow), Retries: q.retries.sum(bucket, bucketsPerWindow+1)}
	u.Limit = q.limit.Ratio*float64(u.Requests) + burst
	return u
}

// HasRoom reports whether a retry is allowed if the router's part of the burst is burst.
func (q *Quota) HasRoom(now time.Time, burst float64) bool {
	u := q.Usage(now, burst)
	return float64(u.Retries+1) <= u.Limit
}

// Take counts a retry that is about to be sent if HasRoom allows it, and reports whether it does.
func (q *Quota) Take(now time.Time, burst float64) bool {
	if !q.HasRoom(now, burst) {
		return false
	}
	q.retries.add(q.bucket(now))
	return true
}

// bucket returns the number of the current bucket.
func (q *Quota) bucket(now time.Time) int64 {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	return int64(now.Sub(q.epoch) / (q.limit.Window / bucketsPerWindow))
}

// counter counts events in a ring of buckets.
type counter struct {
	buckets [bucketsPerWindow + 1]struct {
		number int64
		events int
	}
}

func (c *counter) add(bucket int64) {
	b := &c.buckets[bucket%int64(len(c.buckets))]
	if b.number != bucket {
		b.number, b.events = bucket, 0
	}
	b.events++
}

// sum returns the number of events in the last n buckets up to and including the given one.
func (c *counter) sum(bucket int64, n int64) int {
	total := 0
	for _, b := range c.buckets {
		if bucket-b.number < n {
			total += b.events
		}
	}
	return total
}
