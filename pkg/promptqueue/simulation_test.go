package promptqueue_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"
)

const target = 3 * time.Second // of the first event

var start = time.Unix(1_000_000, 0)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// world simulates routers, a sidecar and its engine, which processes the prompts that have arrived whole in its next
// step. A stream runs at the engine; each of its events spans eight steps.
type world struct {
	now     time.Duration
	events  events
	queue   *promptqueue.Queue // nil: routers send without asking
	speed   float64            // tokens per ms
	arrived []*simulated
	steps   int
	lastAt  time.Duration
	pause   time.Duration // longest time between two events of the stream
	oneWay  time.Duration // latency between a router and the engine's VM
	loss    float64       // share of the datagrams that are lost, and of those that arrive twice
	random  *rand.Rand
	prompts []*simulated
	asks    map[uint64]*simulated
	next    time.Time // for which admit is scheduled
}

// simulated is one prompt at a router. Its seq is its number.
type simulated struct {
	promptqueue.Prompt
	arrival, sent, first time.Duration
	rejected, done       bool
	routerEnds           bool // the router ends when it has sent the prompt
	ask                  *promptqueue.Ask
}

func newWorld(speed float64, admission bool) *world {
	w := &world{speed: speed, oneWay: 12 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2)), asks: map[uint64]*simulated{}}
	if admission {
		w.queue = promptqueue.New(promptqueue.Limits{TokensPerMS: speed, MaxPause: 500 * time.Millisecond})
	}
	w.after(0, w.step)
	return w
}

func (w *world) time() time.Time                 { return start.Add(w.now) }
func (w *world) after(d time.Duration, f func()) { heap.Push(&w.events, event{w.now + d, f}) }

// datagram delivers a message, unless it is lost.
func (w *world) datagram(f func()) {
	if w.random.Float64() >= w.loss {
		w.after(w.oneWay, f)
	}
	if w.loss < 1 && w.random.Float64() < w.loss {
		w.after(w.oneWay+30*time.Millisecond, f)
	}
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// step runs one step of the engine.
func (w *world) step() {
	tokens, prompts := 0, w.arrived
	for _, p := range prompts {
		tokens += p.Tokens
	}
	w.arrived = nil
	w.after(3400*time.Microsecond+time.Duration(float64(tokens)/w.speed*float64(time.Millisecond)), func() {
		for _, p := range prompts {
			p.first = w.now
			if w.queue != nil && !p.routerEnds {
				w.after(w.oneWay, func() {
					w.datagram(func() { w.queue.End(w.time(), p.ID, promptqueue.FirstEvent); w.admit() })
				})
			}
		}
		if w.steps++; w.steps%8 == 0 {
			w.pause, w.lastAt = max(w.pause, w.now-w.lastAt), w.now
		}
		w.step()
	})
}

// add makes a prompt arrive at a router of its own.
func (w *world) add(at time.Duration, p simulated) *simulated {
	p.arrival = at
	p.ID = promptqueue.ID{Router: string(rune('A' + len(w.prompts)%30)), Epoch: 1, Seq: uint64(len(w.prompts) + 1)}
	p.Due = target
	p.Spare = target - time.Duration(float64(p.Tokens)/w.speed*float64(time.Millisecond)) - 100*time.Millisecond
	s := &p
	w.prompts, w.asks[p.ID.Seq] = append(w.prompts, s), s
	w.after(at, func() {
		if w.queue == nil {
			w.send(s)
			return
		}
		s.ask = promptqueue.NewAsk(boottime.Instant(w.now), s.ID.Seq, 2*w.oneWay, s.Spare)
		w.poll(s)
	})
	return s
}

func (w *world) send(s *simulated) {
	s.done, s.sent = true, w.now
	w.after(w.oneWay, func() { w.arrived = append(w.arrived, s) })
}

// poll takes the next step of a prompt's request for an admission.
func (w *world) poll(s *simulated) {
	if s.done {
		return
	}
	p := s.Prompt
	p.Spare, p.Due = s.arrival+s.Spare-w.now, s.arrival+s.Due-w.now
	switch step, wait := s.ask.Next(boottime.Instant(w.now)); step {
	case promptqueue.StepTransmit:
		w.datagram(func() { w.answer(s, w.queue.Ask(w.time(), p)); w.admit() })
		w.poll(s)
	case promptqueue.StepWait:
		w.after(wait, func() { w.poll(s) })
	case promptqueue.StepRejected:
		s.done, s.rejected = true, true
	case promptqueue.StepAdmitted:
		w.send(s)
	default:
		w.datagram(func() { w.queue.Sent(w.time(), p) })
		w.send(s)
	}
}

func (w *world) answer(s *simulated, a promptqueue.Answer) {
	if a.Verdict == promptqueue.None {
		return
	}
	w.datagram(func() {
		if !s.done {
			s.ask.Apply(boottime.Instant(w.now), a)
			w.poll(s)
		}
	})
}

// admit runs the sidecar's queue and schedules its next run.
func (w *world) admit() {
	for _, p := range w.queue.Admit(w.time()) {
		w.answer(w.asks[p.ID.Seq], promptqueue.Answer{Verdict: promptqueue.Admitted})
	}
	for _, r := range w.queue.Reject(w.time()) {
		w.answer(w.asks[r.ID.Seq], promptqueue.Answer{Verdict: promptqueue.Rejected, Wait: r.Wait})
	}
	if next := w.queue.Next(); !next.IsZero() && next != w.next {
		w.next = next
		w.after(max(0, next.Sub(w.time())), w.admit)
	}
}
