package upstreamlimit

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const engineID = "engine"

// world simulates the routers, the sidecars and one engine in virtual time.
type world struct {
	scenario
	now      time.Duration
	rand     *rand.Rand
	events   eventQueue
	seq      int
	routers  []*proc
	sidecars []*proc
	engine   engine
	messages int

	waits, refused     int
	urgent, urgentSent int
	oldest             time.Duration
	// hints are the times that refused callers were told to come back after.
	hints []time.Duration
}

// scenario is one deployment with its faults.
type scenario struct {
	routers, sidecars int
	n                 float64 // named; changes are in script
	demand            float64 // requests per second of all callers
	skew              float64 // share of the requests that arrive at the first tenth of the routers
	loss              float64 // share of messages lost; as many are doubled, and as many are late by up to 3 s
	late              float64 // share of requests that reach the engine up to half a second later
	duration          time.Duration
	patience          time.Duration
	sole              bool // the first sidecar is beside the engine
	faults            faults
	sameClock         bool
	hooks             hooks
	script            func(w *world)
}

// engine records arrivals and names a limit.
type engine struct {
	instance Instance
	n        float64 // 0 or more if named, else -1
	service  time.Duration
	steady   bool    // all answers take the time service; without it, it is their mean
	early    float64 // share of answers that say what held when the request arrived
	// stalledUntil is when the engine goes on; until then its kernel keeps what arrives.
	stalledUntil time.Duration
	history      []naming
	arrivals     []arrival
}

type naming struct {
	at time.Duration
	n  float64
}

type arrival struct {
	at    time.Duration
	bound bool // the router had passed on a naming half a second before
}

// proc is a process. A frozen one executes nothing; what arrives meanwhile is executed when it goes on.
type proc struct {
	w           *world
	name        string
	index       int
	region      int
	offset      time.Duration
	generation  int
	dead        bool
	frozenUntil time.Duration
	cut         bool // no messages between routers and holders
	holder      *Holder
	balance     *Balance
	boundAt     time.Duration // when the router had first passed on a naming; 0 if it has not
	done        map[uint64]func(*Token)
	asked       map[uint64]time.Duration // when requests for tokens were sent
	timer       time.Duration
	lastServed  time.Duration
	gap         time.Duration // longest time without a request that was sent
	list        int           // offset of its list of sidecars: which one ranks first
}

func newWorld(seed uint64, s scenario) *world {
	w := &world{scenario: s, rand: rand.New(rand.NewPCG(seed, 1))}
	w.engine = engine{n: -1, instance: Instance{ID: engineID, StartedUnixMS: 1000}, service: 50 * time.Millisecond, early: 0.5}
	for i := range s.sidecars + s.routers {
		p := &proc{w: w, name: fmt.Sprint("p", i), index: i, region: i % 3, offset: time.Hour}
		if !s.sameClock {
			p.offset += time.Duration(w.rand.IntN(1_000_000)) * time.Millisecond
		}
		if i < s.sidecars {
			w.sidecars = append(w.sidecars, p)
		} else {
			w.routers = append(w.routers, p)
		}
		p.start()
	}
	w.name(s.n)
	w.after(nil, 0, w.demandNext)
	if s.faults.every > 0 {
		w.after(nil, 5*time.Second, w.fault)
	}
	if s.script != nil {
		s.script(w)
	}
	return w
}

// name lets the engine name n from now on; below 0 it names nothing. An engine that stands still changes nothing.
func (w *world) name(n float64) {
	if w.engine.stalledUntil > w.now {
		w.after(nil, w.engine.stalledUntil-w.now+10*time.Millisecond, func() { w.name(n) })
		return
	}
	w.engine.n = n
	w.engine.history = append(w.engine.history, naming{w.now, n})
}

// start starts the process or restarts it; it has forgotten everything.
func (p *proc) start() {
	p.generation++
	p.dead, p.boundAt, p.timer = false, 0, 0
	process := p.w.rand.Uint64()
	if p.index < p.w.sidecars0() {
		p.holder = NewHolder(p.clock(), process)
		p.holder.hooks = p.w.hooks
		if p.w.sole && p.index == 0 {
			p.holder.SetInstance(p.clock(), p.w.engine.instance)
		}
		p.report()
		return
	}
	p.balance, p.done, p.asked = NewBalance(p.name, process), map[uint64]func(*Token){}, map[uint64]time.Duration{}
	p.balance.hooks = p.w.hooks
	p.lastServed = p.w.now
	p.w.after(p, 100*time.Millisecond, func() { p.balance.SetRouters(p.clock(), p.w.scenario.routers) })
}

func (w *world) sidecars0() int { return w.scenario.sidecars }

func (p *proc) clock() boottime.Instant { return boottime.Instant(p.w.now + p.offset) }

// holderOf returns the sidecar that the router's list ranks first.
func (p *proc) holderOf() *proc {
	if len(p.w.sidecars) == 0 {
		return nil
	}
	if p.w.sole {
		return p.w.sidecars[0]
	}
	return p.w.sidecars[p.list%len(p.w.sidecars)]
}

// flush sends what is due, hands out tokens and sets a timer.
func (p *proc) flush() {
	now := p.clock()
	for _, r := range p.balance.Results(now) {
		if done := p.done[r.ID]; done != nil {
			delete(p.done, r.ID)
			done(r.Token)
		}
	}
	for _, m := range p.balance.Messages(now) {
		if _, repeat := p.asked[m.Seq]; !repeat {
			p.asked[m.Seq] = p.w.now
		}
		to := p.holderOf()
		if to == nil {
			continue
		}
		p.w.send(p, to, func() {
			if to.holderOf() != to {
				to.holder.Forget(engineID) // its own list names another one
				return
			}
			to.deliver(to.holder.Handle(to.clock(), m, p.w.sole))
			to.schedule()
		})
	}
	p.wake(max(time.Millisecond, p.balance.Next(now).Sub(now)), p.flush)
}

// wake runs f once after the delay; a later call replaces a timer that would run later.
func (p *proc) wake(delay time.Duration, f func()) {
	at := p.w.now + delay
	if p.timer > p.w.now && p.timer <= at {
		return
	}
	p.timer = at
	p.w.after(p, delay, func() {
		if p.timer <= p.w.now && p.timer == at || p.timer < p.w.now {
			p.timer = 0
			f()
		}
	})
}

func (p *proc) deliver(list []Outgoing) {
	for _, o := range list {
		for _, r := range p.w.routers {
			if r.name == o.Router {
				p.w.send(p, r, func() {
					if r.balance.Apply(r.clock(), o.Grant) {
						r.flush()
					}
				})
				break
			}
		}
	}
}

func (p *proc) schedule() {
	p.wake(max(time.Millisecond, p.holder.Next(p.clock()).Sub(p.clock())), func() {
		p.deliver(p.holder.Due(p.clock()))
		p.schedule()
	})
}

// demandNext lets a request arrive at a router, by a Poisson process.
func (w *world) demandNext() {
	w.after(nil, time.Duration(w.rand.ExpFloat64()/w.demand*float64(time.Second)), w.demandNext)
	n := len(w.routers)
	if w.rand.Float64() < w.skew {
		n = max(1, n/10)
	}
	p := w.routers[w.rand.IntN(n)]
	if p.dead {
		return
	}
	w.after(p, 0, func() { p.request(w.rand.IntN(3)) })
}

func (p *proc) request(priority int) {
	w := p.w
	w.waits++
	use := func(t *Token) { p.use(t, priority) }
	if priority == 0 {
		w.urgent++
	}
	if t := p.balance.Take(p.clock(), w.engine.instance); t != nil {
		use(t)
		p.flush()
		return
	}
	id := p.balance.Wait(p.clock(), w.engine.instance, priority)
	p.done[id] = use
	w.after(p, w.patience, func() {
		if p.done[id] != nil {
			delete(p.done, id)
			p.balance.Cancel(p.clock(), id)
			w.hints = append(w.hints, p.balance.RetryIn(p.clock(), w.engine.instance, w.rand.Float64()))
			w.refused++
		}
	})
	p.flush()
}

// use sends a request some milliseconds after it has got its token.
func (p *proc) use(t *Token, priority int) {
	w := p.w
	w.after(p, time.Duration(w.rand.IntN(5))*time.Millisecond, func() {
		if !t.Valid(p.clock()) {
			p.balance.Refund(p.clock(), t)
			return
		}
		p.balance.Sent(p.clock(), t)
		if priority == 0 {
			w.urgentSent++
		}
		if t.seq != 0 {
			w.oldest = max(w.oldest, w.now-p.asked[t.seq])
		}
		p.gap = max(p.gap, w.now-p.lastServed)
		p.lastServed = w.now
		delay := w.delay(p.region == 0)
		if w.rand.Float64() < w.late {
			delay += time.Duration(w.rand.IntN(500)) * time.Millisecond
		}
		sentAt := p.clock()
		var arrive func()
		arrive = func() {
			e := &w.engine
			if e.stalledUntil > w.now {
				w.after(nil, e.stalledUntil-w.now, arrive)
				return
			}
			i, generation := e.instance, p.generation
			e.arrivals = append(e.arrivals, arrival{w.now, p.boundAt > 0 && w.now-p.boundAt >= 500*time.Millisecond})
			n := e.n
			early := w.rand.Float64() < e.early
			took := e.service
			if !e.steady {
				took = time.Duration(w.rand.ExpFloat64() * float64(e.service))
			}
			w.after(nil, took, func() {
				if !early {
					n = e.n
				}
				w.after(p, w.delay(p.region == 0), func() {
					if p.generation == generation && e.instance == i {
						p.answer(i, n, sentAt)
					}
				})
			})
		}
		w.after(nil, delay, arrive)
	})
}

// answer passes on an answer of the engine.
func (p *proc) answer(i Instance, n float64, sentAt boottime.Instant) {
	if n < 0 {
		p.balance.Observe(p.clock(), i, Absent, 0, sentAt)
	} else {
		p.balance.Observe(p.clock(), i, Named, n, sentAt)
		if p.boundAt == 0 {
			p.boundAt = p.w.now
		}
	}
	p.flush()
}
