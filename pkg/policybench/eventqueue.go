package policybench

import (
	"container/heap"
	"time"
)

// eventQueue runs functions in the order of virtual time. Functions of the same time run in the order of scheduling.
type eventQueue struct {
	now   time.Duration // virtual time since epoch
	seq   uint64
	items eventHeap
}

type queuedEvent struct {
	at  time.Duration
	seq uint64
	do  func()
}

// at schedules a function. A time in the past counts as now.
func (q *eventQueue) at(t time.Duration, do func()) {
	q.seq++
	heap.Push(&q.items, queuedEvent{at: max(t, q.now), seq: q.seq, do: do})
}

func (q *eventQueue) after(d time.Duration, do func()) { q.at(q.now+d, do) }

// every schedules a function at each multiple of the interval from now, up to the end.
func (q *eventQueue) every(interval, end time.Duration, do func()) {
	if q.now+interval <= end {
		q.after(interval, func() {
			do()
			q.every(interval, end, do)
		})
	}
}

// run runs all scheduled functions, including those that they schedule.
func (q *eventQueue) run() {
	for len(q.items) > 0 {
		item := heap.Pop(&q.items).(queuedEvent)
		q.now = item.at
		item.do()
	}
}

// time returns the virtual time as a time.Time, as the policies expect it.
func (q *eventQueue) time() time.Time { return epoch.Add(q.now) }

type eventHeap []queuedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(queuedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
