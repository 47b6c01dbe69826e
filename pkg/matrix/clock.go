// Package matrix implements the fault matrix, a deterministic simulation test: it runs the decision code of routers,
// agents and operators in virtual time against small fakes of their interfaces, injects a fault at a step, and checks
// every invariant after each event.
package matrix

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// clock runs events in the order of their virtual time. Events with equal times run in the order in which they were
// scheduled, so that a run depends on its seed only.
type clock struct {
	now   time.Time
	rng   *rand.Rand
	queue eventQueue
	seq   uint64
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// startTime is the start of virtual time. It is not the zero time, because the decision code treats that as unset.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClock(seed uint64) *clock {
	return &clock{now: startTime, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// after schedules do to run after d.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(max(0, d)), seq: c.seq, do: do})
}

// between returns a random duration of at least lo and less than hi.
func (c *clock) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.rng.Int64N(int64(hi-lo)))
}

// next runs the next event and reports whether there was one up to end.
func (c *clock) next(end time.Time) bool {
	if len(c.queue) == 0 || c.queue[0].at.After(end) {
		c.now = end
		return false
	}
	ev := heap.Pop(&c.queue).(event)
	c.now = ev.at
	ev.do()
	return true
}
