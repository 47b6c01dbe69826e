package agent

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/ring"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// tickInterval is the time between two Tick events; the residency decision needs one each 100 ms while it is busy.
	tickInterval = 100 * time.Millisecond
	// eventRing and callRing bound what waits for the core and for the store. A full ring makes its producer wait, so
	// that a slow core limits the streams that feed it.
	eventRing = 1024
	storeRing = 256
	// storeWorkers is how many store calls run at once. The decisions have at most one out for each key.
	storeWorkers = 4
)

// Parts are what an agent works with.
type Parts struct {
	Listener  transport.Listener
	Transport transport.Transport
	Engine    engine.Engine
	Store     store.Store
	VMs       vmlist.Lister // nil for none
	Scope     tally.Scope
	Tracer    trace.Tracer
	Log       *log.Logger
	// OnReady is called once the agent has a configuration and serves. It may be nil.
	OnReady func()
}

// Agent runs the duties around a Core.
type Agent struct {
	parts      Parts
	core       *Core // used by the core's goroutine only
	engine     engine.Engine
	tracer     trace.Tracer
	metrics    *metrics
	events     *ring.Ring[Event]
	storeCalls *ring.Ring[Action]
	checks     *ring.Ring[uint64]
	pool       *transport.Pool
	watcher    *watch.Watcher
	info       atomic.Pointer[snapshot]
	nextStream atomic.Uint64
	ctx        context.Context
	wg         sync.WaitGroup
	drained    chan struct{}

	// The core's goroutine only:
	jobs    map[string]*jobState
	calls   map[callKey]context.CancelFunc
	pending []Event
	ready   bool

	mu      sync.Mutex
	streams map[uint64]*requestStream
	conns   map[string]transport.Conn // of peers that dialed, by address
	asks    map[string]context.CancelFunc
	places  map[string]chan struct{} // asks to this agent as the load coordinator
}

// snapshot is what other goroutines may know of the core.
type snapshot struct {
	load      wire.Load
	sync      wire.Sync
	status    []byte
	config    *wire.ConfigDoc
	entries   []wire.QuarantineEntry
	peers     []string // to ask at the start
	statusAge int
}

// jobState is the runtime's side of a job.
type jobState struct {
	output  *output
	carrier propagation.MapCarrier
	waiting trace.Span // "load" until the target is ready, then "queue" until the call starts
}

// wait ends the span of the wait so far and begins the next one.
func (a *Agent) wait(j *jobState, name string) {
	j.waiting.End()
	_, j.waiting = a.tracer.Start(j.parent(a.ctx), name)
}

// parent returns ctx with the span context of the request's traceparent.
func (j *jobState) parent(ctx context.Context) context.Context {
	return propagation.TraceContext{}.Extract(ctx, j.carrier)
}

// New returns an agent with the options o.
func New(o Options, p Parts) *Agent {
	a := &Agent{
		parts: p, core: NewCore(o), engine: p.Engine, tracer: p.Tracer, metrics: newMetrics(p.Scope),
		events: ring.New[Event](eventRing), storeCalls: ring.New[Action](storeRing), checks: ring.New[uint64](1),
		pool: transport.NewPool(p.Transport), drained: make(chan struct{}),
		jobs: map[string]*jobState{}, calls: map[callKey]context.CancelFunc{},
		streams: map[uint64]*requestStream{}, conns: map[string]transport.Conn{}, asks: map[string]context.CancelFunc{},
		places: map[string]chan struct{}{},
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(o.Incarnation))
	a.watcher = watch.New(p.Store, p.VMs, watch.Options{Seed: seed.Sum64()})
	a.info.Store(&snapshot{})
	return a
}

// Run serves until ctx ends, and returns when all its goroutines have ended. Run it once.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	a.ctx = ctx
	for range storeWorkers {
		a.goDo(a.storeDuty)
	}
	a.goDo(a.livenessDuty)
	a.goDo(a.watchDuty)
	a.goDo(a.coreDuty)
	err := a.acceptDuty(ctx)
	cancel()
	a.pool.Close()
	a.closeConns()
	a.wg.Wait()
	return err
}

func (a *Agent) goDo(duty func(context.Context)) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		duty(a.ctx)
	}()
}

// Drain makes the agent refuse new work and finish what runs. If the VM is leaving, it also unloads and releases its
// grants; otherwise the next process on the VM keeps them. Drained tells the end. The error is ctx's.
func (a *Agent) Drain(ctx context.Context, leaving bool) error {
	return a.events.Push(ctx, Drain{Leaving: leaving})
}

// Drained is closed when a draining agent has finished its work and handed over its key slots.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

// Status returns the agent's status as JSON, at most 1 s old.
func (a *Agent) Status() json.RawMessage { return a.info.Load().status }

// coreDuty steps the core, the only goroutine that does, and carries out its actions.
func (a *Agent) coreDuty(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	a.step(Tick{})
	for {
		select {
		case ev := <-a.events.Items():
			a.step(ev)
		case <-ticker.C:
			a.step(Tick{})
			a.observe()
		case <-ctx.Done():
			return
		}
	}
}

// step applies an event and the ones that its actions cause at once.
func (a *Agent) step(ev Event) {
	a.pending = append(a.pending, ev)
	for len(a.pending) > 0 {
		next := a.pending[0]
		a.pending = a.pending[1:]
		if end, ok := next.(CallEnded); ok {
			delete(a.calls, callKey{end.Job, end.Run})
		}
		for _, act := range a.core.Step(time.Now(), next) {
			a.do(act)
		}
	}
	a.publish()
}

// later queues an event that an action causes on the core's own goroutine.
func (a *Agent) later(ev Event) { a.pending = append(a.pending, ev) }

// publish makes load and versions visible to the streams. The larger parts are renewed when they change.
func (a *Agent) publish() {
	old := a.info.Load()
	next := *old
	next.load, next.sync = a.core.Load(), a.core.Sync()
	if next.sync.QuarantineHash != old.sync.QuarantineHash {
		next.entries = a.core.blocklist.Entries()
	}
	if d := a.core.conf.Current(); d != nil && (old.config == nil || old.config.Version != d.Version) {
		next.config = &wire.ConfigDoc{Version: d.Version, Digest: d.Digest, Document: d.Raw}
	}
	next.peers = a.core.peers
	if next.load != old.load || next.sync != old.sync || next.config != old.config || !slices.Equal(next.peers, old.peers) {
		a.info.Store(&next)
	}
}

// statusTicks is how many ticks pass between two renewals of the status.
const statusTicks = 10

// observe renews the gauges and the status and reports readiness and the end of a drain.
func (a *Agent) observe() {
	next := *a.info.Load()
	if next.statusAge--; next.statusAge < 0 {
		next.statusAge = statusTicks
		s := a.core.Status()
		next.status, _ = json.Marshal(s) // has only fields that encode
		a.metrics.gauges(s)
	}
	a.info.Store(&next)
	if !a.ready && a.core.kind != "" {
		a.ready = true
		if a.parts.OnReady != nil {
			a.parts.OnReady()
		}
	}
	if a.core.IsDrained() {
		select {
		case <-a.drained:
		default:
			a.parts.Log.Info("drained")
			close(a.drained)
		}
	}
}

// do carries out one action. It never waits.
func (a *Agent) do(act Action) {
	switch act := act.(type) {
	case Attach:
		a.attach(act)
	case RefuseStream:
		a.metrics.refused(act.Refuse)
		a.decide(act.Stream, verdict{refuse: act.Refuse})
	case AnswerStream:
		a.metrics.outcome(wire.OutcomeDone)
		a.decide(act.Stream, verdict{answer: &act})
	case DropStream:
		a.dropStream(act.Stream)
	case TargetReady:
		if j := a.jobs[act.Job]; j != nil {
			a.wait(j, "queue")
		}
	case StartCall:
		a.startCall(act)
	case ResumeCall:
		a.resumeCall(act)
	case StopCall:
		a.stopCall(act)
	case EndJob:
		a.endJob(act)
	case ForgetJob:
		delete(a.jobs, act.Job)
	default:
		a.doOutside(act)
	}
}

func (a *Agent) attach(act Attach) {
	j := a.jobs[act.Job]
	if j == nil {
		j = &jobState{output: newOutput(act.Open.NonIdempotent), carrier: propagation.MapCarrier{"traceparent": act.Open.Traceparent}}
		_, j.waiting = a.tracer.Start(j.parent(a.ctx), "load")
		a.jobs[act.Job] = j
	}
	a.decide(act.Stream, verdict{attach: &act, output: j.output})
}

func (a *Agent) endJob(act EndJob) {
	j := a.jobs[act.Job]
	j.waiting.End()
	j.output.finish(act.Refuse)
	if act.Refuse != nil {
		a.metrics.refused(act.Refuse)
		return
	}
	a.metrics.outcome(wire.OutcomeDone)
}

// decide hands a verdict to a stream. The core decides once on each.
func (a *Agent) decide(stream uint64, v verdict) {
	a.mu.Lock()
	r := a.streams[stream]
	a.mu.Unlock()
	if r != nil {
		r.verdicts <- v
	}
}

func (a *Agent) dropStream(stream uint64) {
	a.mu.Lock()
	r := a.streams[stream]
	a.mu.Unlock()
	if r != nil {
		r.drop()
	}
}

func (a *Agent) addStream(r *requestStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams[r.id] = r
}

func (a *Agent) removeStream(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, id)
}

// isEnd reports whether a stream ended between two frames.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
