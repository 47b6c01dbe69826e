// Package router implements the process on an entry VM that forwards callers' requests to the agents beside upstreams.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Options are a router's settings. Zero values mean the stated defaults.
type Options struct {
	Region string
	Zone   string
	// Seed seeds the random choices.
	Seed uint64
	// LivenessTimeout is the time without a frame after which a path counts as dead; default stream.LivenessTimeout.
	LivenessTimeout time.Duration
	// Scope receives the metrics; default none.
	Scope tally.Scope
	// Tracer creates the spans; default none.
	Tracer trace.Tracer
	// Sync returns the configuration version and the quarantine hash for messages to agents. It is called for each
	// attempt.
	Sync func() wire.Sync
	// OnSync is called with an agent's Sync if it differs from this router's. It must not block.
	OnSync func(addr string, s wire.Sync)
	// Reply returns the reply to an agent's query; if nil, queries are not served.
	Reply func(m wire.Message) wire.Message
	// IsQuarantined reports whether a request with the fingerprint is refused; default never.
	IsQuarantined func(fingerprint uint64) bool
	// OnDraining is called when an agent announces that it is draining. It must not block.
	OnDraining func(vm string)
}

// Router forwards requests. It is safe for concurrent use.
type Router struct {
	opts        Options
	pool        *transport.Pool
	metrics     metrics
	servedConns sync.Map   // connections whose queries are served
	mu          sync.Mutex // guards state and budget
	state       *routing.State
	budget      routing.Budget
}

// New returns a router without upstreams that connects through pool.
func New(pool *transport.Pool, o Options) *Router {
	if o.LivenessTimeout == 0 {
		o.LivenessTimeout = stream.LivenessTimeout
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if o.Sync == nil {
		o.Sync = func() wire.Sync { return wire.Sync{} }
	}
	if o.IsQuarantined == nil {
		o.IsQuarantined = func(uint64) bool { return false }
	}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	return &Router{opts: o, pool: pool, metrics: newMetrics(o.Scope), state: routing.NewState(o.Region, o.Zone, random)}
}

// SetView replaces the router's view of upstreams, grants and slot owners. V must not be changed afterwards.
func (r *Router) SetView(v routing.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetView(v)
}

// Serve forwards one request and delivers the answer to the sink. It returns before the request's deadline unless the
// answer has started. The returned error is the sink's.
func (r *Router) Serve(ctx context.Context, req *Request, sink Sink) (Result, error) {
	now := time.Now()
	r.mu.Lock()
	r.budget.RecordRequest(now)
	r.mu.Unlock()
	out := newAnswer(req, sink)
	x := &exchange{router: r, req: req, answer: out, core: NewCore(req, out, now), start: now}
	defer x.endAttempt()
	res, err := x.run(ctx)
	r.metrics.recordResult(res, time.Since(now))
	return res, err
}

// choose executes a Choose action.
func (r *Router) choose(a Action) Chosen {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	criteria, further := *a.Criteria, r.budget.Remaining(now)
	if a.Retry {
		further--
	}
	criteria.NoRetry = further <= 0
	c, code := r.state.Choose(now, criteria)
	if code == "" && a.Retry {
		if !r.budget.AllowRetry(now) {
			r.metrics.budgetSpent.Inc(1)
			return Chosen{Code: wire.CodeBudget}
		}
		r.metrics.retries.Inc(1)
	}
	return Chosen{Choice: c, Code: code}
}

// applyReport handles the load and the versions in an agent's message.
func (r *Router) applyReport(to routing.Upstream, l wire.Load, s wire.Sync) {
	r.mu.Lock()
	draining := r.state.ApplyLoad(to.VM, l, time.Now())
	r.mu.Unlock()
	if draining && r.opts.OnDraining != nil {
		r.opts.OnDraining(to.VM)
	}
	if r.opts.OnSync != nil && s != r.opts.Sync() {
		r.opts.OnSync(to.Addr, s)
	}
}

func (r *Router) begin(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Begin(vm)
}

func (r *Router) end(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.End(vm)
}

func (r *Router) recordUnreachable(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordUnreachable(vm, time.Now())
}

func (r *Router) recordRefusal(vm string, code wire.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordRefusal(vm, code, time.Now())
}

func (r *Router) isCrossRegion(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.CrossRegion(vm)
}

// Counts returns a summary of the routing state for operators.
func (r *Router) Counts() routing.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Counts()
}
