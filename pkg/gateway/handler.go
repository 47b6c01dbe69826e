package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// defaultWait is the time that a request may take if neither the caller nor the route says.
	defaultWait = 30 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// startDelay is when a caller may come back to a process that has just started: it has its configuration within about
	// 100 ms. If it has not, the store does not answer, and callers are told to come back after as long as that has lasted.
	startDelay = 250 * time.Millisecond
	// defaultBodyBytes bounds a body if the configuration does not.
	defaultBodyBytes = 4 << 20
)

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	core  *Core
	pool  *h1.Pool
	log   *eventlog.Log
	guard *guard.Guard
	scope tally.Scope
	trace trace.Tracer
	// stopping is closed when the process begins to stop; answers then ask callers to close their connections.
	stopping chan struct{}
	// work ends shortly before the process does; requests that are still open get their final answer then.
	work    context.Context
	endWork context.CancelFunc
	held    heldBytes
	started time.Time
}

// New returns a gateway.
func New(core *Core, pool *h1.Pool, log *eventlog.Log, gd *guard.Guard, scope tally.Scope, tracer trace.Tracer) *Gateway {
	work, end := context.WithCancel(context.Background())
	return &Gateway{core: core, pool: pool, log: log, guard: gd, scope: scope, trace: tracer, stopping: make(chan struct{}), work: work, endWork: end,
		held: heldBytes{total: defaultHeld}, started: time.Now()}
}

// SetBodyMemoryLimit bounds the memory of the bodies that are held at a time, in bytes. It is called before the first request.
func (g *Gateway) SetBodyMemoryLimit(bytes int64) { g.held.total = bytes }

// StartDraining makes answers ask callers to close their connections.
func (g *Gateway) StartDraining() { close(g.stopping) }

// FinishRequests gives all open requests their final answer: those that have not run are refused, the others are cut.
func (g *Gateway) FinishRequests() { g.endWork() }

// call is one caller's request on its way through the gateway.
type call struct {
	g      *Gateway
	w      http.ResponseWriter
	r      *http.Request
	meta   platform.Request
	body   []byte
	req    *dispatch.Request
	start  time.Time
	ctx    context.Context // ends at the deadline, and when the caller leaves if the work may then be cancelled
	begun  bool            // the head of the answer has been written
	lastID string          // of the last event that was forwarded
	cause  string          // of the last failed send
	last   dispatch.Decision
	config uint64 // version that the request was matched with
	// waitsFor is what the request last began to wait for.
	waitsFor dispatch.LoadRequest
	// sent says that a send has begun.
	sent bool
	// held is the memory that bodies of answers have taken, in bytes.
	held int64
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, meta: platform.DecodeRequest(r.Header), start: time.Now()}
	defer c.recovered()
	select {
	case <-g.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	cfg := g.core.config()
	if !c.readBody(cfg) {
		return
	}
	defer func() { g.held.release(c.held) }()
	if cfg == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration is known", c.startWait())
		return
	}
	c.config = cfg.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := cfg.Match(r.Host, path)
	if !ok {
		c.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	c.prepare(route)
	ctx, cancel := context.WithDeadline(c.base(), c.req.Deadline)
	defer cancel()
	defer context.AfterFunc(g.work, cancel)()
	g.core.Do(func(s *dispatch.State) { s.RecordArrival(c.start, c.req) })
	ctx, span := g.trace.Start(ctx, "request", trace.WithAttributes(
		attribute.String("id", c.meta.ID), attribute.String("route", route.Name), attribute.String("model", c.meta.Model)))
	defer span.End()
	c.ctx = ctx
	c.run()
}

// startWait returns when the caller may come back while no configuration is known: at most after a third of the time that it
// has left, which is what callers wait for.
func (c *call) startWait() time.Duration {
	after := max(startDelay, time.Since(c.g.started))
	if c.meta.Wait > 0 {
		after = min(after, (c.meta.Wait-time.Since(c.start))/3)
	}
	return max(after, 0)
}

// recovered gives the request its truthful answer after a panic: it may have run if a send has begun.
func (c *call) recovered() {
	p := recover()
	switch {
	case p == nil:
		return
	case p == http.ErrAbortHandler: // the server compares it in the same way
		panic(p)
	}
	c.g.guard.RecordPanic("request", p)
	switch {
	case c.begun:
		c.abort("unexpected error")
	case c.sent:
		c.refuse(http.StatusBadGateway, "unexpected error", 0)
	default:
		c.refuse(http.StatusServiceUnavailable, "unexpected error", refusedAgain)
	}
}

// base returns the context whose end cancels the work: that of the caller's connection, unless the work must not be
// cancelled once it has begun.
func (c *call) base() context.Context {
	if c.req.Route.Kind == catalog.NonIdempotent {
		return context.WithoutCancel(c.r.Context())
	}
	return c.r.Context()
}

func (c *call) readBody(cfg *catalog.Config) bool {
	limit := int64(defaultBodyBytes)
	if cfg != nil && cfg.Limits.BodyBytes > 0 {
		limit = int64(cfg.Limits.BodyBytes)
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // without support for deadlines the read is bounded by the server
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, "body exceeds the limit", 0)
		return false
	case err != nil:
		c.finish("caller_left", 0, "reason", "body was not received", "err", err)
		panic(http.ErrAbortHandler)
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.body = body
	return true
}

func (c *call) prepare(route *catalog.Route) {
	wait := defaultWait
	if route.Timeout > 0 {
		wait = route.Timeout
	}
	if c.meta.Wait > 0 {
		wait = min(wait, c.meta.Wait)
	}
	c.req = &dispatch.Request{
		ID: c.meta.ID, Route: route, Service: route.PickService(rand.Float64()), Model: c.meta.Model, Adapter: c.meta.Adapter,
		Parts: c.meta.Prefix, Chain: prompt.Chain(c.meta.Model, c.meta.Adapter, c.meta.Prefix), TokensOut: c.meta.TokensOut,
		Deadline: c.start.Add(wait), Fingerprint: c.fingerprint(),
	}
	if patience := route.EventTimeout(); patience > 0 {
		c.req.EventDeadline = c.start.Add(patience)
	}
	c.lastID = c.meta.LastEvent
}

func (c *call) fingerprint() uint64 {
	d := xxhash.New()
	caller, _, _ := strings.Cut(c.r.RemoteAddr, ":")
	_, _ = d.WriteString(caller + "\x00" + c.r.Host + c.r.RequestURI + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// run takes the request through decisions and sends to its final answer.
func (c *call) run() {
	for {
		d, changed := c.g.core.decide(c.req)
		c.last = d
		switch d.Action {
		case dispatch.Refuse:
			c.giveUp(d)
			return
		case dispatch.Wait:
			if !c.wait(d, changed) {
				return
			}
		case dispatch.Send:
			outcome, answer := c.send(d)
			if outcome == dispatch.Done {
				c.deliver(answer)
				return
			}
			var v dispatch.RetryDecision
			c.g.core.Do(func(s *dispatch.State) { v = s.RetryDecision(time.Now(), c.req, outcome) })
			c.g.log.Request("send failed", "id", c.meta.ID, "upstream", d.Upstream.ID, "outcome", outcome.String(), "cause", c.cause,
				"retry", v.Retry, "reason", v.Reason, "runs", c.req.PossibleRuns(), "sends", c.req.Attempts(), "cost_ms", d.Cost.Milliseconds(), "report_age_ms", d.AgeMS())
			if !v.Retry {
				c.fail(v, answer)
				return
			}
		}
	}
}

// wait holds the request until the fleet changes. It returns false if the request has ended meanwhile.
func (c *call) wait(d dispatch.Decision, changed <-chan struct{}) bool {
	if d.LoadRequest != nil {
		c.noteWait(d)
		c.g.core.Do(func(s *dispatch.State) { s.AddWaiting(*d.LoadRequest, 1) })
		defer c.g.core.Do(func(s *dispatch.State) { s.AddWaiting(*d.LoadRequest, -1) })
	}
	timer := time.NewTimer(time.Until(d.Until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.r.Context().Done():
		c.finish("caller_left", 0, "reason", d.Reason)
		panic(http.ErrAbortHandler)
	case <-c.ctx.Done():
		c.giveUp(dispatch.Decision{Reason: "time is up while waiting: " + d.Reason})
		return false
	}
	return true
}

// noteWait writes a line when the request begins to wait for something.
func (c *call) noteWait(d dispatch.Decision) {
	if c.waitsFor == *d.LoadRequest {
		return
	}
	c.waitsFor = *d.LoadRequest
	c.g.log.Request("waiting", "id", c.meta.ID, "model", d.LoadRequest.Model, "adapter", d.LoadRequest.Name, "upstream", d.LoadRequest.Upstream,
		"reason", d.Reason, "expected_ms", d.Cost.Milliseconds(), "left_ms", time.Until(c.req.Deadline).Milliseconds())
}

// giveUp ends a request that no upstream gets any more.
func (c *call) giveUp(d dispatch.Decision) {
	if d.TryOtherRouter && !c.begun {
		c.w.Header().Set("Connection", "close")
	}
	switch {
	case c.begun:
		c.abort("stream cannot go on: " + d.Reason)
	case c.req.PossibleRuns() > 0:
		c.refuse(http.StatusBadGateway, d.Reason, 0)
	default:
		c.refuse(http.StatusServiceUnavailable, d.Reason, d.RetryAfter)
	}
}

// fail ends a request after its last send.
func (c *call) fail(v dispatch.RetryDecision, a *answer) {
	switch {
	case c.r.Context().Err() != nil:
		c.finish("caller_left", 0, "reason", v.Reason)
		panic(http.ErrAbortHandler)
	case c.begun:
		c.abort(v.Reason)
	case v.Status == 0 && a != nil:
		c.deliver(a)
	case v.Status == 0:
		c.refuse(http.StatusBadGateway, v.Reason, 0)
	default:
		after := time.Duration(0)
		if v.Status == http.StatusServiceUnavailable {
			after = min(refusedAgain, time.Until(c.req.Deadline)/3)
		}
		c.refuse(v.Status, v.Reason, after)
	}
}

// refusedAgain is when a caller whose request was refused by the upstreams may come back.
const refusedAgain = 300 * time.Millisecond

// refuse gives an answer of the system's own.
func (c *call) refuse(status int, reason string, after time.Duration) {
	platform.SetRefusalHeader(c.w.Header(), c.meta.ID, after)
	http.Error(c.w, reason, status)
	c.finish("refused", status, "reason", reason, "retry_after_ms", after.Milliseconds())
}

// abort ends an answer that has begun in a way that the caller cannot take for its end.
func (c *call) abort(reason string) {
	c.finish("cut", 0, "reason", reason)
	panic(http.ErrAbortHandler)
}

func (c *call) finish(outcome string, status int, kv ...any) {
	took := time.Since(c.start)
	c.g.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_total").Inc(1)
	c.g.scope.Timer("request_seconds").Record(took)
	line := []any{"id", c.meta.ID, "outcome", outcome, "status", status, "took_ms", took.Milliseconds()}
	if c.req != nil {
		line = append(line, "route", c.req.Route.Name, "service", c.req.Service, "model", c.meta.Model, "adapter", c.meta.Adapter,
			"config", c.config, "runs", c.req.PossibleRuns(), "sends", c.req.Attempts(), "cost_ms", c.last.Cost.Milliseconds(), "report_age_ms", c.last.AgeMS())
		if c.last.Upstream != nil {
			line = append(line, "upstream", c.last.Upstream.ID)
		}
	}
	c.g.log.Request("request", append(line, kv...)...)
}
