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
	if b.Remaining(now) == 0 {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

// Remaining returns the number of retries that are allowed now.
func (b *Budget) Remaining(now time.Time) int {
	requests, retries := b.sum(now)
	return max(0, int(max(minRetries, retryShare*float64(requests)))-retries)
}
