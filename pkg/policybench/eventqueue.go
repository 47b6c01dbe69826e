package policybench

import (
	"container/heap"
	"time"
)

// agenda runs functions in the order of virtual time, and those of the same time in the order in which they were added.
type agenda struct {
	now   time.Duration // since epoch
	seq   uint64
	items agendaHeap
}

type agendaItem struct {
	at  time.Duration
	seq uint64
	do  func()
}

// at adds a function; a time in the past counts as now.
func (a *agenda) at(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.items, agendaItem{at: max(t, a.now), seq: a.seq, do: do})
}

func (a *agenda) after(d time.Duration, do func()) { a.at(a.now+d, do) }

// every runs a function at each multiple of the interval up to the end.
func (a *agenda) every(interval, end time.Duration, do func()) {
	if a.now+interval <= end {
		a.after(interval, func() {
			do()
			a.every(interval, end, do)
		})
	}
}

// run runs everything that is on the agenda and what it adds.
func (a *agenda) run() {
	for len(a.items) > 0 {
		item := heap.Pop(&a.items).(agendaItem)
		a.now = item.at
		item.do()
	}
}

// time returns the virtual time as the decisions see it.
func (a *agenda) time() time.Time { return epoch.Add(a.now) }

type agendaHeap []agendaItem

func (h agendaHeap) Len() int { return len(h) }
func (h agendaHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h agendaHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *agendaHeap) Push(x any)   { *h = append(*h, x.(agendaItem)) }
func (h *agendaHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
