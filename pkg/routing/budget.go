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

// Budget limits retries to a share of recent requests, so that retries cannot multiply an overload. The zero value is
// ready for use; it is not safe for concurrent use.
type Budget struct{ cells [budgetCells]cell }

func (b *Budget) at(now time.Time) *cell {
	index := now.UnixNano() / int64(cellWidth)
	c := &b.cells[index%budgetCells]
	if c.index != index {
		*c = cell{index: index}
	}
	return c
}

// Request counts a new request.
func (b *Budget) Request(now time.Time) { b.at(now).requests++ }

// Retry reports whether a retry is allowed, and counts it if so.
func (b *Budget) Retry(now time.Time) bool {
	current := b.at(now)
	var requests, retries int
	for _, c := range b.cells {
		if current.index-c.index < budgetCells {
			requests += c.requests
			retries += c.retries
		}
	}
	if float64(retries+1) > max(budgetFloor, budgetShare*float64(requests)) {
		return false
	}
	current.retries++
	return true
}
