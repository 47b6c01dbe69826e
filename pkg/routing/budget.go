package routing

import "time"

const (
	// budgetWindow is the time over which requests and retries are counted.
	budgetWindow = 10 * time.Second
	// budgetShare is the share of recent requests that may be retries.
	budgetShare = 0.10
	// budgetFloor is how many retries are allowed however few requests there are.
	budgetFloor = 3
	budgetCells = 10
	cellWidth   = budgetWindow / budgetCells
)

type cell struct {
	index             int64 // of the cell's second since the epoch
	requests, retries int
}

// counts holds requests and retries of the last budgetWindow in cells.
type counts struct{ cells [budgetCells]cell }

func (c *counts) at(now time.Time) *cell {
	index := now.UnixNano() / int64(cellWidth)
	current := &c.cells[index%budgetCells]
	if current.index != index {
		*current = cell{index: index}
	}
	return current
}

func (c *counts) sum(now time.Time) (requests, retries int) {
	current := c.at(now)
	for _, x := range c.cells {
		if current.index-x.index < budgetCells {
			requests += x.requests
			retries += x.retries
		}
	}
	return requests, retries
}

// Budget limits retries to a share of recent requests, so that retries cannot multiply an overload. The zero value is
// ready for use; it is not safe for concurrent use.
type Budget struct{ counts }

// RecordRequest counts a new request.
func (b *Budget) RecordRequest(now time.Time) { b.at(now).requests++ }

// AllowRetry reports whether a retry is allowed, and counts it if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	requests, retries := b.sum(now)
	if float64(retries+1) > max(budgetFloor, budgetShare*float64(requests)) {
		return false
	}
	b.at(now).retries++
	return true
}

// Quota is one process's part of a limit on retries that holds over all processes: a share of the process's own requests
// and an equal part of a constant number. It is not safe for concurrent use.
type Quota struct {
	counts
	ratio, burst float64
}

// NewQuota returns a quota for the share of requests and the constant number of retries that all processes have together
// within ten seconds.
func NewQuota(ratio, burst float64) *Quota { return &Quota{ratio: ratio, burst: burst} }

// RecordRequest counts a new request.
func (q *Quota) RecordRequest(now time.Time) { q.at(now).requests++ }

// AllowRetry reports whether a retry is allowed while processes share the limit, and counts it if so.
func (q *Quota) AllowRetry(now time.Time, processes int) bool {
	requests, retries := q.sum(now)
	if float64(retries+1) > q.ratio*float64(requests)+q.burst/float64(max(1, processes)) {
		return false
	}
	q.at(now).retries++
	return true
}
