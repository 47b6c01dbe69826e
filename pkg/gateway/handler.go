package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
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
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/keyview"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
	"github.com/hibiscuscross/hibiscuscross/pkg/sse"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route sets a time.
	defaultTimeout = 30 * time.Second
)

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	core  *Core
	pool  *h1.Pool
	log   *eventlog.Log
	guard *guard.Guard
	scope tally.Scope
	trace trace.Tracer
	// draining is closed when the process starts to shut down; answers then ask callers to close their connections.
	draining chan struct{}
	// requestsCtx is cancelled shortly before the process exits; open requests then get their final answer.
	requestsCtx context.Context
	endRequests context.CancelFunc
	clientBounds
	started time.Time
	quotas  *Quotas  // nil if quotas are not observed
	habits  sync.Map // of the services' streams, *sse.Habit by name
	limits  *Limits
	// failsWithoutID has the names of the services whose latest failure did not name its request.
	failsWithoutID sync.Map
}

// New returns a gateway that sends requests over the connections of pool.
func New(core *Core, pool *h1.Pool, log *eventlog.Log, gd *guard.Guard, scope tally.Scope, tracer trace.Tracer) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	return &Gateway{core: core, pool: pool, log: log, guard: gd, scope: scope, trace: tracer, draining: make(chan struct{}), requestsCtx: ctx, endRequests: cancel,
		clientBounds: defaultClientBounds(), started: time.Now(), limits: NewLimits("", core, log, scope)}
}

// StartDraining makes all further answers ask callers to close their connections.
func (g *Gateway) StartDraining() { close(g.draining) }

// FinishRequests ends all open requests: those that have not run are refused, the others are aborted.
func (g *Gateway) FinishRequests() { g.endRequests() }

// callerRequest is the state of one caller's request in the gateway.
type callerRequest struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	meta        platform.Request
	body        inbound.Segments
	req         *dispatch.Request
	start       time.Time
	ctx         context.Context // ends at the deadline, and when the caller disconnects if the request may then be cancelled
	headWritten bool            // reports whether the head of the answer has been written
	headStatus  int             // status of a stream whose head has been written
	lastEventID string          // id of the last forwarded event
	events      *sse.Sequence   // the events of a stream
	cause       string          // of the last failed attempt
	decision    dispatch.Decision
	config      uint64 // version of the configuration that the request was matched with
	// waitingFor is the load request that this request last started to wait for.
	waitingFor dispatch.LoadRequest
	// attempted reports whether an attempt has started.
	attempted bool
	timing    timing
	// tenant is the tenant of the request's key; nil if there is none.
	tenant *catalog.Tenant
	// public reports whether the request needs no key, and removeKey whether its Authorization header is not forwarded.
	public, removeKey bool
	// unauthorized is why the last attempt was not sent, if that was because of the key.
	unauthorized keyview.Refusal
	// viewAge is the age of the view that the key was last checked with; negative if it was not proven.
	viewAge time.Duration
	// prompt is the request for an admission of the current attempt; nil if there is none.
	prompt      *promptAsk
	promptStats promptStats
	quota       requestQuota
	limit       requestLimit
	requestBounds
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &callerRequest{g: g, w: w, r: r, meta: platform.DecodeRequest(r.Header), start: time.Now()}
	defer c.recoverPanic()
	select {
	case <-g.draining:
		w.Header().Set("Connection", "close")
	default:
	}
	cfg := g.core.config()
	route, matched := c.match(cfg)
	defer c.releaseMemory()
	if !c.admit(route) || !c.readBody(cfg) {
		return
	}
	if cfg == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration is known", c.startRetryAfter())
		return
	}
	c.config = cfg.Version
	if !matched {
		c.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	c.prepare(route)
	ctx, cancel := context.WithDeadline(c.baseContext(), c.req.Deadline)
	defer cancel()
	defer context.AfterFunc(g.requestsCtx, cancel)()
	ctx, span := g.trace.Start(ctx, "request", trace.WithAttributes(
		attribute.String("id", c.meta.ID), attribute.String("route", route.Name), attribute.String("model", c.meta.Model)))
	defer span.End()
	c.ctx = ctx
	c.run()
}

// match returns the request's route.
func (c *callerRequest) match(cfg *catalog.Config) (*catalog.Route, bool) {
	if cfg == nil {
		return nil, false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	return cfg.Match(c.r.Host, path)
}

// recoverPanic answers the request after a panic. It reports a possible run if an attempt has started.
func (c *callerRequest) recoverPanic() {
	p := recover()
	switch {
	case p == nil:
		return
	case p == http.ErrAbortHandler: // net/http compares it in the same way
		panic(p)
	}
	c.g.guard.RecordPanic("request", p)
	switch {
	case c.headWritten:
		c.abort("unexpected error")
	case c.attempted:
		c.refuse(http.StatusBadGateway, "unexpected error", 0)
	default:
		c.refuse(http.StatusServiceUnavailable, "unexpected error", refusalRetryAfter)
	}
}

// baseContext returns the parent context of the attempts: that of the caller's connection, unless the request is
// non-idempotent and must not be cancelled once it has started.
func (c *callerRequest) baseContext() context.Context {
	if c.req.Route.Kind == catalog.NonIdempotent {
		return context.WithoutCancel(c.r.Context())
	}
	return c.r.Context()
}

func (c *callerRequest) prepare(route *catalog.Route) {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if c.meta.Timeout > 0 {
		timeout = min(timeout, c.meta.Timeout)
	}
	c.req = &dispatch.Request{
		ID: c.meta.ID, Route: route, Service: route.PickService(rand.Float64()), Model: c.meta.Model, Adapter: c.meta.Adapter,
		Parts: c.meta.Prefix, Chain: prompt.Chain(c.meta.Model, c.meta.Adapter, c.meta.Prefix), TokensOut: c.meta.TokensOut,
		Deadline: c.start.Add(timeout), Fingerprint: c.fingerprint(),
	}
	if eventTimeout := route.EventTimeout(); eventTimeout > 0 {
		c.req.EventDeadline = c.start.Add(eventTimeout)
	}
	if route.Kind == catalog.Streaming && route.Target > 0 {
		c.req.EventTarget = c.start.Add(route.Target)
	}
	c.lastEventID = c.meta.LastEvent
	c.events = sse.NewSequence(c.g.habit(c.req.Service), c.callersLast())
	c.setTenant()
}

func (c *callerRequest) fingerprint() uint64 {
	d := xxhash.New()
	caller, _, _ := strings.Cut(c.r.RemoteAddr, ":")
	_, _ = d.WriteString(caller + "\x00" + c.r.Host + c.r.RequestURI + "\x00")
	_, _ = c.body.WriteTo(d)
	return d.Sum64()
}

// run executes decisions and attempts until the request has its final answer.
func (c *callerRequest) run() {
	defer c.endPrompt(dispatch.Expired) // of a request that ends between the admission and the attempt
	defer c.refundQuota()
	defer c.dropLimit()
	if !c.awaitQuota() {
		return
	}
	// Requests beyond the quota, however many, earn no retries. The time is that of the call: requests end their wait for
	// the quota in another order than they arrive, and arrivals are counted in order.
	c.g.core.Do(func(s *dispatch.State) { s.RecordArrival(time.Now(), c.req) })
	for c.readmit() {
		if !c.awaitQuota() {
			return
		}
		c.prepareLimit()
		d, changed := c.g.core.decide(c.req)
		c.decision = d
		c.holdLimit(d)
		switch d.Action {
		case dispatch.Refuse:
			c.finishRefused(d)
			return
		case dispatch.Wait:
			c.parkQuota(d)
			if !c.wait(d, changed) {
				return
			}
		case dispatch.Send:
			if c.send(d, changed) {
				return
			}
		}
	}
}

// send makes one attempt at the chosen upstream and reports whether the request has ended.
func (c *callerRequest) send(d dispatch.Decision, changed <-chan struct{}) bool {
	c.limit.lapsed = false
	if c.g.limits.Any() && !c.takeLimit(d.Upstream) { // another request has taken the token
		return false
	}
	switch c.admitPrompt(d, changed) {
	case promptDecideAgain:
		return false
	case promptRequestEnded:
		return true
	}
	if !c.quotaHeld() { // the wait for the admission can outlast the tokens
		if !c.awaitQuota() {
			return true
		}
		if c.confirmSend(d) != promptSend { // the upstream may have left during the wait
			c.endPrompt(dispatch.Expired)
			return false
		}
	}
	outcome, answer := c.attempt(d)
	switch {
	case c.settleQuota(outcome), c.limit.lapsed:
		return false
	case outcome == dispatch.Done:
		c.deliver(answer)
		return true
	case c.unauthorized != keyview.Accepted:
		c.finishUnauthorized(c.unauthorized)
		return true
	}
	var retry dispatch.RetryDecision
	c.g.core.Do(func(s *dispatch.State) { retry = s.DecideRetry(time.Now(), c.req, outcome) })
	c.g.log.Request("send failed", "id", c.meta.ID, "upstream", d.Upstream.ID, "outcome", outcome.String(), "cause", c.cause,
		"retry", retry.Retry, "reason", retry.Reason, "runs", c.req.PossibleRuns(), "sends", c.req.Attempts(), "cost_ms", d.Cost.Milliseconds(), "report_age_ms", d.AgeMS(),
		"window_requests", retry.Quota.Requests, "retry_tokens", int(retry.Quota.Tokens), "retry_capacity", int(retry.Quota.Capacity), "routers", retry.Routers)
	if retry.Retry && c.headWritten && !c.events.CanResume() {
		retry = dispatch.RetryDecision{Reason: "events without ids cannot be resumed"}
	}
	if !retry.Retry {
		c.finishFailed(retry, answer)
		return true
	}
	if answer != nil {
		c.dropAnswer(answer.body) // a further attempt may need its memory
	}
	return false
}

// wait blocks until the fleet changes. It returns false if the request has ended meanwhile.
func (c *callerRequest) wait(d dispatch.Decision, changed <-chan struct{}) bool {
	if d.WaitCause == dispatch.WaitPrefill {
		defer c.g.core.Do(func(s *dispatch.State) { s.RemovePendingPrompt(c.req) })
	}
	if d.LoadRequest != nil {
		c.logWait(d)
		c.g.core.Do(func(s *dispatch.State) { s.AddWaiting(*d.LoadRequest, 1) })
		defer c.g.core.Do(func(s *dispatch.State) { s.AddWaiting(*d.LoadRequest, -1) })
	}
	started := time.Now()
	defer func() { c.timing.waited[d.WaitCause] += time.Since(started) }()
	timer := time.NewTimer(time.Until(d.Until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case t := <-c.limit.result:
		c.applyLimitToken(t)
	case <-c.r.Context().Done():
		c.finish("caller_left", 0, "reason", d.Reason)
		panic(http.ErrAbortHandler)
	case <-c.ctx.Done():
		c.finishRefused(dispatch.Decision{Reason: "time is up while waiting: " + d.Reason})
		return false
	}
	return true
}

// logWait logs that the request starts to wait, once for each load request.
func (c *callerRequest) logWait(d dispatch.Decision) {
	if c.waitingFor == *d.LoadRequest {
		return
	}
	c.waitingFor = *d.LoadRequest
	c.g.log.Request("waiting", "id", c.meta.ID, "model", d.LoadRequest.Model, "adapter", d.LoadRequest.Name, "upstream", d.LoadRequest.Upstream,
		"reason", d.Reason, "expected_ms", d.Cost.Milliseconds(), "left_ms", time.Until(c.req.Deadline).Milliseconds())
}
