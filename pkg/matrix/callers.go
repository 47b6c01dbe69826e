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
	// answerMargin is the tolerance for answers that reach the caller after their deadline. The network latency between
	// router and caller is about 1 ms.
	answerMargin = 50 * time.Millisecond
	// maxRetries is how often a caller retries a request.
	maxRetries   = 4
	poisonMarker = "poison"
)

// callers sends requests and records their results.
type callers struct {
	w        *World
	requests []*callerRequest
	next     int
}

// callerRequest is a request of a caller with all the caller's attempts.
type callerRequest struct {
	id       string
	kind     wire.Kind
	target   engine.Target
	body     string
	keyed    bool
	key      string
	streamed bool
	poison   bool
	attempts []*callerAttempt
	done     bool
}

// callerAttempt is one attempt of a caller to get a request answered by a router.
type callerAttempt struct {
	request    *callerRequest
	id         string
	router     string
	sentAt     time.Time
	deadline   time.Time
	answered   bool
	routerDied bool // the router ended before it answered
	abandoned  bool // the caller closed the connection before the answer arrived
	first      bool
	result     router.Result
	body       string
}

func newCallers(w *World) *callers { return &callers{w: w} }

// schedule plans the requests of a run: for models, an adapter, idempotent lookups and non-idempotent loans.
func (c *callers) schedule() {
	for at := startRequests; at < endRequests; at += requestInterval {
		c.w.after(at, c.submitRandom)
	}
	c.w.after(55*time.Second, func() {
		c.submit(&callerRequest{kind: wire.KindModel, target: allTargets[0], body: poisonMarker, streamed: true, poison: true})
	})
}

func (c *callers) submitRandom() {
	req := &callerRequest{kind: wire.KindModel, streamed: c.w.rng.IntN(2) == 0}
	switch c.w.rng.IntN(6) {
	case 0:
		req.target = allTargets[0]
	case 1:
		req.target = allTargets[1]
	case 2:
		req.target = allTargets[2]
	case 3:
		req.kind, req.streamed = wire.KindPlain, false
	default:
		req.kind, req.streamed, req.keyed, req.key = wire.KindPlain, false, true, c.newKey()
	}
	c.submit(req)
}

// newKey returns a UUID of version 7 with the virtual time. The caller's clock differs from it by up to 1 s.
func (c *callers) newKey() string {
	var b [16]byte
	ms := uint64(c.w.now.Add(c.w.between(-time.Second, time.Second)).UnixMilli())
	binary.BigEndian.PutUint64(b[:8], ms<<16|c.w.rng.Uint64()&0xfff)
	binary.BigEndian.PutUint64(b[8:], c.w.rng.Uint64())
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return uuid.UUID(b).String()
}

func (c *callers) submit(req *callerRequest) {
	c.next++
	req.id = fmt.Sprintf("order%d", c.next)
	if req.body == "" {
		req.body = "body of " + req.id
	}
	c.requests = append(c.requests, req)
	c.send(req)
}

// pickRouter returns the router that the load balancer chooses for a request, or nil if none is available.
func (c *callers) pickRouter() *routerNode {
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

func (c *callers) send(req *callerRequest) {
	r := c.pickRouter()
	if r == nil {
		c.w.after(time.Second, func() { c.send(req) })
		return
	}
	now := c.w.now
	attempt := &callerAttempt{request: req, id: fmt.Sprintf("%s/%d", req.id, len(req.attempts)+1), router: r.name, sentAt: now, first: len(req.attempts) == 0,
		deadline: now.Add(c.w.between(2*time.Second, 8*time.Second))}
	req.attempts = append(req.attempts, attempt)
	routerReq := c.routerRequest(r, attempt)
	onDone := func(res router.Result, body string) { c.recordAnswer(attempt, res, body) }
	onRouterDied := func() {
		if attempt.abandoned {
			return
		}
		attempt.routerDied = true
		c.w.check.checkPlannedStop(attempt)
		c.scheduleRetry(req)
	}
	var x *exchange
	r.deliver(latency, func() { x = r.serve(routerReq, req.streamed, onDone, onRouterDied) })
	// A caller whose router is paused or dead abandons a keyed attempt 2 s after the deadline: it closes the connection,
	// so that no answer can reach it, and retries.
	c.w.after(attempt.deadline.Add(2*time.Second).Sub(now), func() {
		if attempt.answered || attempt.routerDied || !req.keyed {
			return
		}
		attempt.abandoned = true
		r.deliver(latency, func() {
			if x != nil {
				x.callerDisconnected()
			}
		})
		c.scheduleRetry(req)
	})
}

func (c *callers) routerRequest(r *routerNode, attempt *callerAttempt) *router.Request {
	req := attempt.request
	routerReq := &router.Request{ID: attempt.id, Kind: req.kind, Caller: "c", Service: "chat", Group: groupModels, Target: req.target, Method: "POST",
		Path: "/v1/completions", Body: []byte(req.body), Deadline: attempt.deadline, Priority: 5, NonIdempotent: req.keyed, Key: req.key, FirstSend: attempt.first}
	if req.kind == wire.KindPlain {
		routerReq.Service, routerReq.Group, routerReq.Path, routerReq.Method = "loans", groupPlain, "/lookup", "GET"
	}
	if req.keyed {
		routerReq.Path, routerReq.Method = "/loans", "POST"
	}
	routerReq.Fingerprint = hash("c", routerReq.Service, req.body)
	if c.w.defects.NoQuarantine {
		routerReq.Fingerprint = hash(attempt.id)
	}
	if m, ok := r.model(req.target.Model); ok {
		routerReq.MemoryBytes, routerReq.Ceiling = m.MemoryBytes+m.KVReserveBytes, m.MaxReplicas
	}
	return routerReq
}

func (c *callers) recordAnswer(attempt *callerAttempt, res router.Result, body string) {
	if attempt.abandoned {
		return
	}
	attempt.answered, attempt.result, attempt.body = true, res, body
	c.w.check.checkAnswer(attempt)
	req := attempt.request
	if res.Outcome == wire.OutcomeDone {
		req.done = true
		return
	}
	if req.keyed || req.poison {
		c.scheduleRetry(req)
	}
}

// allNotRun reports whether every attempt with the key got the outcome not-run, so that the key must not run any more.
func (c *callers) allNotRun(key string) bool {
	for _, req := range c.requests {
		if req.key != key {
			continue
		}
		for _, attempt := range req.attempts {
			if !attempt.answered || attempt.result.Outcome != wire.OutcomeNotRun {
				return false
			}
		}
		return true
	}
	return false
}

// scheduleRetry retries the request after a random delay, unless it is done or was retried too often.
func (c *callers) scheduleRetry(req *callerRequest) {
	if req.done || len(req.attempts) > maxRetries {
		return
	}
	c.w.after(c.w.between(100*time.Millisecond, 4*time.Second), func() {
		if !req.done {
			c.send(req)
		}
	})
}

// answerOf returns the complete answer to a call, without the prefix that the caller has already received.
func answerOf(plain bool, call engine.Call) string {
	if plain {
		return "result of " + string(call.Body)
	}
	answer := modelAnswer(string(call.Body))
	return strings.TrimPrefix(answer, string(call.Prefix))
}

// modelAnswer returns a model's complete answer. It depends on the body only, so that any upstream can continue it.
func modelAnswer(body string) string {
	var b strings.Builder
	for i := range 20 {
		fmt.Fprintf(&b, "%s:%d ", body, i)
	}
	return b.String()
}
