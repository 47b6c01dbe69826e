package matrix

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	requestInterval = 250 * time.Millisecond
	// answerSlack is how late after its deadline an answer may reach the caller. The callers are about 1 ms away.
	answerSlack = 50 * time.Millisecond
	// maxResends is how often a caller sends a request again.
	maxResends = 4
	poisonMark = "poison"
)

// callers sends requests and records what became of them.
type callers struct {
	w      *World
	orders []*order
	next   int
}

// order is what a caller wants, with all sends of it.
type order struct {
	id       string
	kind     wire.Kind
	target   engine.Target
	body     string
	keyed    bool
	key      string
	streamed bool
	poison   bool
	sends    []*send
	settled  bool
}

// send is one request of an order.
type send struct {
	order    *order
	id       string
	router   string
	at       time.Time
	deadline time.Time
	answered bool
	lost     bool // the router died
	gaveUp   bool // the caller closed the connection
	first    bool
	result   router.Result
	body     string
}

func newCallers(w *World) *callers { return &callers{w: w} }

// schedule plans the requests of a run: models, an adapter, idempotent lookups and loans that must not repeat.
func (c *callers) schedule() {
	for at := startRequests; at < endRequests; at += requestInterval {
		c.w.after(at, c.order)
	}
	c.w.after(55*time.Second, func() {
		c.submit(&order{kind: wire.KindModel, target: allTargets[0], body: poisonMark, streamed: true, poison: true})
	})
}

func (c *callers) order() {
	o := &order{kind: wire.KindModel, streamed: c.w.rng.IntN(2) == 0}
	switch c.w.rng.IntN(6) {
	case 0:
		o.target = allTargets[0]
	case 1:
		o.target = allTargets[1]
	case 2:
		o.target = allTargets[2]
	case 3:
		o.kind, o.streamed = wire.KindPlain, false
	default:
		o.kind, o.streamed, o.keyed, o.key = wire.KindPlain, false, true, c.newKey()
	}
	c.submit(o)
}

// newKey makes a UUID of version 7 with the virtual time. The caller's clock is up to 1 s off.
func (c *callers) newKey() string {
	var b [16]byte
	ms := uint64(c.w.now.Add(c.w.between(-time.Second, time.Second)).UnixMilli())
	binary.BigEndian.PutUint64(b[:8], ms<<16|c.w.rng.Uint64()&0xfff)
	binary.BigEndian.PutUint64(b[8:], c.w.rng.Uint64())
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return uuid.UUID(b).String()
}

func (c *callers) submit(o *order) {
	c.next++
	o.id = fmt.Sprintf("order%d", c.next)
	if o.body == "" {
		o.body = "body of " + o.id
	}
	c.orders = append(c.orders, o)
	c.send(o)
}

// pick returns the router that the balancer sends a request to.
func (c *callers) pick() *routerNode {
	var live []*routerNode
	for _, r := range c.w.routers {
		if r.alive && !r.stopping && r.conf.Current() != nil {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[c.w.rng.IntN(len(live))]
}

func (c *callers) send(o *order) {
	r := c.pick()
	if r == nil {
		c.w.after(time.Second, func() { c.send(o) })
		return
	}
	now := c.w.now
	s := &send{order: o, id: fmt.Sprintf("%s/%d", o.id, len(o.sends)+1), router: r.name, at: now, first: len(o.sends) == 0,
		deadline: now.Add(c.w.between(2*time.Second, 8*time.Second))}
	o.sends = append(o.sends, s)
	req := c.request(r, s)
	done := func(res router.Result, body string) { c.done(s, res, body) }
	lost := func() {
		if s.gaveUp {
			return
		}
		s.lost = true
		c.w.check.cut(s)
		c.again(o)
	}
	var x *exchange
	r.deliver(latency, func() { x = r.serve(req, o.streamed, done, lost) })
	// A caller whose router is paused or dead gives up a while after the deadline: it closes the connection, so that no
	// answer reaches it any more, and sends again elsewhere.
	c.w.after(s.deadline.Add(2*time.Second).Sub(now), func() {
		if s.answered || s.lost || !o.keyed {
			return
		}
		s.gaveUp = true
		r.deliver(latency, func() {
			if x != nil {
				x.gone()
			}
		})
		c.again(o)
	})
}

func (c *callers) request(r *routerNode, s *send) *router.Request {
	o := s.order
	req := &router.Request{ID: s.id, Kind: o.kind, Caller: "c", Service: "chat", Group: groupModels, Target: o.target, Method: "POST",
		Path: "/v1/completions", Body: []byte(o.body), Deadline: s.deadline, Priority: 5, NonIdempotent: o.keyed, Key: o.key, FirstSend: s.first}
	if o.kind == wire.KindPlain {
		req.Service, req.Group, req.Path, req.Method = "loans", groupPlain, "/lookup", "GET"
	}
	if o.keyed {
		req.Path, req.Method = "/loans", "POST"
	}
	req.Fingerprint = hash("c", req.Service, o.body)
	if c.w.broken.NoQuarantine {
		req.Fingerprint = hash(s.id)
	}
	if m, ok := r.model(o.target.Model); ok {
		req.MemoryBytes, req.Ceiling = m.MemoryBytes+m.KVReserveBytes, m.MaxReplicas
	}
	return req
}

func (c *callers) done(s *send, res router.Result, body string) {
	if s.gaveUp {
		return
	}
	s.answered, s.result, s.body = true, res, body
	c.w.check.answered(s)
	o := s.order
	if res.Outcome == wire.OutcomeDone {
		o.settled = true
		return
	}
	if o.keyed || o.poison {
		c.again(o)
	}
}

// toldNotRun reports whether every send of a key has been answered as not run, so that it must not run any more.
func (c *callers) toldNotRun(key string) bool {
	for _, o := range c.orders {
		if o.key != key {
			continue
		}
		for _, s := range o.sends {
			if !s.answered || s.result.Outcome != wire.OutcomeNotRun {
				return false
			}
		}
		return true
	}
	return false
}

// again sends the order again after a while.
func (c *callers) again(o *order) {
	if o.settled || len(o.sends) > maxResends {
		return
	}
	c.w.after(c.w.between(100*time.Millisecond, 4*time.Second), func() {
		if !o.settled {
			c.send(o)
		}
	})
}

// answerOf returns the whole answer to a call. A prefix is the part that the caller has already.
func answerOf(plain bool, call engine.Call) string {
	if plain {
		return "result of " + string(call.Body)
	}
	whole := modelAnswer(string(call.Body))
	return strings.TrimPrefix(whole, string(call.Prefix))
}

// modelAnswer is deterministic, so that any upstream continues an answer in the same way.
func modelAnswer(body string) string {
	var b strings.Builder
	for i := range 20 {
		fmt.Fprintf(&b, "%s:%d ", body, i)
	}
	return b.String()
}
