package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// world simulates routers, holders, their network and the store in virtual time. All clocks start at different instants.
type world struct {
	now    time.Duration
	rand   *rand.Rand
	events eventQueue
	seq    int
	unsent int     // one of so many requests is not sent after it has got its tokens; 0 for none
	loss   float64 // share of datagrams lost; as many are duplicated, and as many are late by up to 3 s
	// storeDown rejects all calls of the store, storeLoses executes writes without an answer.
	storeDown, storeLoses bool
	objects               [Shards]Stored
	revision, era         uint64 // the era rises with each restore of the store
	reads, writes         int
	messages              int
	procs                 []*proc
	routers, sidecars     []*proc
	used                  map[string][]use
}

type use struct {
	at     time.Duration
	amount float64
}

// proc is a process. A frozen one executes nothing; what arrives meanwhile is executed when it goes on.
type proc struct {
	w           *world
	name        string
	address     netip.AddrPort
	region      int
	offset      time.Duration
	dead        bool
	frozenUntil time.Duration
	cut         bool // no datagrams and no store
	noStore     bool
	leases      [Shards]*Lease
	balance     *Balance
	done        map[uint64]func(Result)
	timer       time.Duration // next flush
	ranks       map[int]int   // by shard; computed at the first use, when all processes exist
}

type event struct {
	at  time.Duration
	seq int
	p   *proc
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(seed uint64, routers, sidecars int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), unsent: 50, used: map[string][]use{}}
	for i := range routers + sidecars {
		p := &proc{w: w, name: fmt.Sprint("p", i), region: i % 3, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7),
			offset: time.Duration(w.rand.IntN(1_000_000)) * time.Millisecond}
		w.procs = append(w.procs, p)
		if i < routers {
			w.routers = append(w.routers, p)
		} else {
			w.sidecars = append(w.sidecars, p)
		}
	}
	for _, p := range w.procs {
		p.start()
	}
	return w
}

// start starts the process, or restarts it on the same VM.
func (p *proc) start() {
	p.dead = false
	process := p.w.rand.Uint64()
	if slices.Contains(p.w.routers, p) {
		p.balance, p.done = NewBalance(p.name, process), map[uint64]func(Result){}
		return
	}
	for i := range p.leases {
		p.leases[i] = NewLease(i, p.name, process, DefaultWindow)
	}
	p.tick(p.leases)
	p.announce(p.leases)
}

func (p *proc) clock() boottime.Instant { return boottime.Instant(p.w.now + p.offset) }

// at runs f in the process after the delay.
func (w *world) at(p *proc, delay time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + delay, seq: w.seq, p: p, run: f})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		switch {
		case e.p != nil && e.p.dead:
		case e.p != nil && e.p.frozenUntil > w.now:
			w.at(e.p, e.p.frozenUntil-w.now, e.run)
		default:
			e.run()
		}
	}
	w.now = until
}

func (w *world) send(from, to *proc, f func()) {
	w.messages++
	delay := 900 * time.Microsecond
	if from.region != to.region {
		delay = 12 * time.Millisecond
	}
	if from.cut || to.cut || w.rand.Float64() < w.loss {
		return
	}
	if w.rand.Float64() < w.loss {
		w.at(to, delay+time.Duration(w.rand.IntN(3000))*time.Millisecond, f)
	}
	if w.rand.Float64() < w.loss {
		delay += time.Duration(w.rand.IntN(3000)) * time.Millisecond
	}
	w.at(to, delay, f)
}

// tick runs the leases of a sidecar's process.
func (p *proc) tick(current [Shards]*Lease) {
	if p.leases != current {
		return // of a process that has been restarted
	}
	read := false
	for shard, l := range p.leases {
		rank := p.rank(shard)
		if wr, ok := l.Write(p.clock(), rank); ok {
			p.write(shard, l, wr)
		}
		read = read || rank < Candidates+Reserves && p.clock() >= l.NextRead(p.clock(), rank)
	}
	if read && !p.w.storeDown && !p.cut && !p.noStore {
		p.w.reads++
		objects := p.w.objects
		p.w.at(p, 4*time.Millisecond, func() {
			for shard, l := range p.leases {
				l.Read(p.clock(), objects[shard])
			}
		})
	}
	p.w.at(p, 50*time.Millisecond, func() { p.tick(current) })
}

func (p *proc) rank(shard int) int {
	if p.ranks == nil {
		p.ranks = map[int]int{}
		for shard := range Shards {
			var names []string
			for _, o := range p.w.sidecars {
				names = append(names, o.name)
			}
			p.ranks[shard] = Rank(shard, p.name, names)
		}
	}
	return p.ranks[shard]
}

func (p *proc) write(shard int, l *Lease, wr LeaseWrite) {
	w := p.w
	w.writes++
	if w.storeDown || p.cut || p.noStore {
		w.at(p, WriteTimeout, func() { l.Failed(p.clock()) })
		return
	}
	w.at(nil, 2*time.Millisecond, func() {
		conflict := w.objects[shard].Revision != wr.Expect
		if !conflict {
			w.revision++
			w.objects[shard] = Stored{Revision: w.revision, Era: w.era, Spec: wr.Spec}
		}
		current := w.objects[shard]
		switch {
		case w.storeLoses:
			w.at(p, WriteTimeout, func() { l.Failed(p.clock()) })
		case conflict:
			w.at(p, 2*time.Millisecond, func() { l.Conflicted(p.clock(), wr, current) })
		default:
			w.at(p, 2*time.Millisecond, func() {
				if l.Written(p.clock(), wr, current.Revision) {
					p.report()
				}
			})
		}
	})
}

// announce sends the regular reports to the routers.
func (p *proc) announce(current [Shards]*Lease) {
	if p.leases == current {
		p.report()
		p.w.at(p, 500*time.Millisecond, func() { p.announce(current) })
	}
}

func (p *proc) report() {
	for shard, l := range p.leases {
		if epoch, left := l.Epoch(p.clock()); left > 0 {
			for _, r := range p.w.routers {
				p.w.send(p, r, func() {
					if r.balance.SetHolder(r.clock(), shard, epoch, p.address) {
						r.flush()
					}
				})
			}
		}
	}
}

// flush sends the messages of a router that are due, and sets a timer for the next ones.
func (p *proc) flush() {
	for _, m := range p.balance.Messages(p.clock()) {
		to := p.w.procs[int(m.To.Addr().As4()[2])<<8+int(m.To.Addr().As4()[3])]
		p.w.send(p, to, func() {
			h := to.leases[m.Request.Shard].Holder(to.clock())
			if h == nil {
				return
			}
			if g := h.Handle(to.clock(), m.Request); g != nil {
				p.w.send(to, p, func() {
					for _, r := range p.balance.Apply(p.clock(), to.address, g) {
						if done := p.done[r.ID]; done != nil {
							delete(p.done, r.ID)
							done(r)
						}
					}
					p.flush()
				})
			}
		})
	}
	if len(p.balance.waiting)+len(p.balance.sent) == 0 {
		return
	}
	balance, next := p.balance, max(time.Millisecond, p.balance.Next(p.clock()).Sub(p.clock()))
	if p.timer > p.w.now && p.timer <= p.w.now+next {
		return
	}
	p.timer = p.w.now + next
	p.w.at(p, next, func() {
		if p.balance == balance {
			p.flush()
		}
	})
}

// request simulates a request: done is called with whether it ran, after which delay, and whether it was refused with 429.
func (p *proc) request(t Tenant, amount float64, priority int, patience time.Duration, done func(ran bool, delay time.Duration, overLimit bool)) {
	w, start, balance, waits := p.w, p.w.now, p.balance, p.done
	run := func(h *Hold) {
		w.at(p, time.Duration(w.rand.IntN(5))*time.Millisecond, func() { // the decision on the upstream
			if p.balance != balance {
				return // the process has been restarted
			}
			if !h.Valid(p.clock()) || w.unsent > 0 && w.rand.IntN(w.unsent) == 0 { // expired, or no upstream takes it
				p.balance.Refund(p.clock(), h)
				p.flush()
				done(false, w.now-start, false)
				return
			}
			w.used[t.Name] = append(w.used[t.Name], use{w.now, amount})
			done(true, w.now-start, false)
		})
	}
	if h := balance.Take(p.clock(), t, amount); h != nil {
		run(h)
		p.flush()
		return
	}
	id := balance.Wait(p.clock(), t, amount, priority, patience/2)
	waits[id] = func(r Result) {
		if r.Hold == nil {
			done(false, w.now-start, true)
			return
		}
		run(r.Hold)
	}
	w.at(p, patience, func() {
		if waits[id] != nil {
			delete(waits, id)
			done(false, w.now-start, balance.Cancel(p.clock(), id))
		}
	})
	p.flush()
}

// worst returns the largest amount that a tenant used in any window.
func (w *world) worst(tenant string, window time.Duration) float64 {
	worst, sum, first := 0.0, 0.0, 0
	uses := w.used[tenant]
	for _, u := range uses {
		sum += u.amount
		for u.at-uses[first].at > window {
			sum -= uses[first].amount
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}
