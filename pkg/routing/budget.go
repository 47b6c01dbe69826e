package routing

import "time"

const (
	// budgetWindow is the time over which requests and retries are counted.
	budgetWindow = 10 * time.Second
	// retryShare is the share of recent requests that may be retries.
	retryShare = 0.10
	// minRetries is the number of retries that are allowed regardless of the number of requests.
	minRetries    = 3
	budgetBuckets = 10
	bucketWidth   = budgetWindow / budgetBuckets
)

type bucket struct {
	index             int64 // number of the bucket's second since the Unix epoch
	requests, retries int
}

// counts holds the requests and retries of the last budgetWindow in buckets.
type counts struct{ buckets [budgetBuckets]bucket }

func (c *counts) bucketAt(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketWidth)
	current := &c.buckets[index%budgetBuckets]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}

func (c *counts) sum(now time.Time) (requests, retries int) {
	current := c.bucketAt(now)
	for _, x := range c.buckets {
		if current.index-x.index < budgetBuckets {
			requests += x.requests
			retries += x.retries
		}
	}
	return requests, retries
}

// Budget limits retries to a share of recent requests, so that retries cannot multiply an overload. The zero value is
// ready to use. It is not safe for concurrent use.
type Budget struct{ counts }

// RecordRequest counts a new request.
func (b *Budget) RecordRequest(now time.Time) { b.bucketAt(now).requests++ }

// AllowRetry reports whether a retry is allowed, and counts it if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	requests, retries := b.sum(now)
	if float64(retries+1) > max(minRetries, retryShare*float64(requests)) {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

// Quota is one process's part of a limit on the retries of all processes: a share of the process's own requests and an
// equal part of a fixed number. It is not safe for concurrent use.
type Quota struct {
	counts
	ratio, burst float64
}

// NewQuota returns a quota. Within ten seconds, all processes together may retry the share ratio of their requests plus
// burst.
func NewQuota(ratio, burst float64) *Quota { return &Quota{ratio: ratio, burst: burst} }

// RecordRequest counts a new request.
func (q *Quota) RecordRequest(now time.Time) { q.bucketAt(now).requests++ }

// QuotaUsage is what a process has counted within the window, and the number of retries that this allows.
type QuotaUsage struct {
	Requests, Retries int
	Limit             float64
}

// Usage returns the process's usage while the given number of processes share the limit.
func (q *Quota) Usage(now time.Time, processes int) QuotaUsage {
	requests, retries := q.sum(now)
	return QuotaUsage{Requests: requests, Retries: retries, Limit: q.ratio*float64(requests) + q.burst/float64(max(1, processes))}
}

// AllowRetry reports whether a retry is allowed while the given number of processes share the limit, and counts it if
// so.
func (q *Quota) AllowRetry(now time.Time, processes int) bool {
	usage := q.Usage(now, processes)
	if float64(usage.Retries+1) > usage.Limit {
		return false
	}
	q.bucketAt(now).retries++
	return true
}
