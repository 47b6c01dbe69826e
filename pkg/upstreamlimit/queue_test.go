package upstreamlimit

import (
	"container/heap"
	"time"
)

type event struct {
	at         time.Duration
	seq        int
	p          *proc
	generation int
	run        func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after runs f in the process after the delay, if it has not been restarted meanwhile.
func (w *world) after(p *proc, delay time.Duration, f func()) {
	w.seq++
	e := &event{at: w.now + delay, seq: w.seq, p: p, run: f}
	if p != nil {
		e.generation = p.generation
	}
	heap.Push(&w.events, e)
}

func (w *world) run() {
	for len(w.events) > 0 && w.events[0].at <= w.duration {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		switch p := e.p; {
		case p == nil:
			e.run()
		case p.dead || p.generation != e.generation:
		case p.frozenUntil > w.now:
			w.seq++
			heap.Push(&w.events, &event{at: p.frozenUntil, seq: w.seq, p: p, generation: e.generation, run: e.run})
		default:
			e.run()
		}
	}
	w.now = w.duration
}

// delay returns the time of a message from one process to another.
func (w *world) delay(sameRegion bool) time.Duration {
	if sameRegion {
		return 900 * time.Microsecond
	}
	return 12 * time.Millisecond
}

// send delivers a message, or loses it, or delivers it twice or late; also to a process that has been restarted meanwhile.
func (w *world) send(from, to *proc, f func()) {
	w.messages++
	if from.cut || to.cut || w.rand.Float64() < w.loss {
		return
	}
	deliver := func(delay time.Duration) {
		w.after(nil, delay, func() {
			if !to.dead {
				w.after(to, 0, f)
			}
		})
	}
	delay := w.delay(from.region == to.region)
	if w.rand.Float64() < w.loss {
		deliver(delay + time.Duration(w.rand.IntN(3000))*time.Millisecond)
	}
	if w.rand.Float64() < w.loss {
		delay += time.Duration(w.rand.IntN(3000)) * time.Millisecond
	}
	deliver(delay)
}

// report announces the limits to all routers.
func (p *proc) report() {
	if list := p.holder.Announcements(p.clock()); len(list) > 0 {
		for _, r := range p.w.routers {
			p.w.send(p, r, func() {
				for _, n := range list {
					r.balance.Announced(r.clock(), n)
				}
			})
		}
	}
	p.w.after(p, 500*time.Millisecond, p.report)
}
