package sse

import "sync"

const (
	// maxGaps is the number of streams with gaps after which a service's numbers are taken to have gaps.
	maxGaps = 8
	// streamsPerGap is the number of complete streams that make up for one with a gap.
	streamsPerGap = 64
)

// Habit is what is known of how the numbers of a service's events grow: by the same step from event to event. A service
// of which this proves wrong loses few streams. It is safe for concurrent use.
type Habit struct {
	mu       sync.Mutex
	step     int64
	gaps     int
	complete int
}

// Step returns the largest step in the last complete stream; 0 if there was none.
func (h *Habit) Step() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.step
}

// RecordGap records a stream with a larger step than before and reports whether that is a fault.
func (h *Habit) RecordGap() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gaps >= maxGaps {
		return false
	}
	h.gaps++
	return true
}

// RecordComplete records a complete stream and the largest step in it.
func (h *Habit) RecordComplete(step int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.step = step
	if h.complete++; h.complete%streamsPerGap == 0 && h.gaps > 0 {
		h.gaps--
	}
}
