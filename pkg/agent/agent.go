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
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
	"github.com/hibiscuscross/hibiscuscross/pkg/ring"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// tickInterval is the time between two Tick events. While work is pending, the residency state machine needs one
	// every 100 ms.
	tickInterval = 100 * time.Millisecond
	// eventRingSize and storeRingSize bound the events queued for the core and the queued store calls. A producer blocks
	// on a full event ring, so that a slow core slows down the streams that send events.
	eventRingSize = 1024
	storeRingSize = 256
	// storeWorkers is the number of concurrent store calls. At most one call per key is in progress.
	storeWorkers = 4
)

// Dependencies are the components that an Agent uses.
type Dependencies struct {
	Listener  transport.Listener
	Transport transport.Transport
	Engine    engine.Engine
	Store     store.Store
	VMs       vmlist.Lister // nil if there is no VM list
	Scope     tally.Scope
	Tracer    trace.Tracer
	Log       *log.Logger
	// Memory is the account of the process's memory; nil for that of a process with 512 MB.
	Memory *membudget.Account
	// OnReady is called once the agent has a configuration and serves requests. It may be nil.
	OnReady func()
}

// Agent runs a Core, executes its actions and serves the streams of routers and other agents.
type Agent struct {
	deps       Dependencies
	core       *Core // used by the core's goroutine only
	engine     engine.Engine
	tracer     trace.Tracer
	metrics    *metrics
	memory     *membudget.Account
	events     *ring.Ring[Event]
	storeCalls *ring.Ring[Action]
	checks     *ring.Ring[uint64]
	pool       *transport.Pool
	watcher    *watch.Watcher
	snapshot   atomic.Pointer[snapshot]
	nextStream atomic.Uint64
	ctx        context.Context
	wg         sync.WaitGroup
	drained    chan struct{}

	// Used by the core's goroutine only:
	jobs          map[string]*jobState
	calls         map[callKey]context.CancelFunc
	pendingEvents []Event
	ready         bool

	mu             sync.Mutex
	streams        map[uint64]*requestStream
	conns          map[string]transport.Conn // connections that peers opened, by address
	permitRequests map[string]context.CancelFunc
	permitWaiters  map[string]chan struct{} // requests to this agent as the load coordinator; closed when the permit is issued
}

// snapshot is the part of the core's state that other goroutines may read.
type snapshot struct {
	load           wire.Load
	sync           wire.Sync
	status         []byte
	config         *wire.ConfigDoc
	quarantine     []wire.QuarantineEntry
	bootstrapPeers []string // to query at startup
	ticksToStatus  int
}

// jobState is the Agent's state of a job.
type jobState struct {
	output   *output
	carrier  propagation.MapCarrier
	waitSpan trace.Span // "load" until the target is ready, then "queue" until the call starts
}

// startWaitSpan ends the current wait span of a job and starts the next one.
func (a *Agent) startWaitSpan(j *jobState, name string) {
	j.waitSpan.End()
	_, j.waitSpan = a.tracer.Start(j.parentContext(a.ctx), name)
}

// parentContext returns ctx with the span context of the request's traceparent.
func (j *jobState) parentContext(ctx context.Context) context.Context {
	return propagation.TraceContext{}.Extract(ctx, j.carrier)
}

// New returns an agent with the options o.
func New(o Options, d Dependencies) *Agent {
	a := &Agent{
		deps: d, core: NewCore(o), engine: d.Engine, tracer: d.Tracer, metrics: newMetrics(d.Scope),
		events: ring.New[Event](eventRingSize), storeCalls: ring.New[Action](storeRingSize), checks: ring.New[uint64](1),
		pool: transport.NewPool(d.Transport), drained: make(chan struct{}),
		jobs: map[string]*jobState{}, calls: map[callKey]context.CancelFunc{},
		streams: map[uint64]*requestStream{}, conns: map[string]transport.Conn{}, permitRequests: map[string]context.CancelFunc{},
		permitWaiters: map[string]chan struct{}{},
	}
	if a.memory = d.Memory; a.memory == nil {
		a.memory = membudget.NewAccount(membudget.ForMemory(defaultMemory))
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(o.Incarnation))
	a.watcher = watch.New(d.Store, d.VMs, watch.Options{Seed: seed.Sum64()})
	a.snapshot.Store(&snapshot{})
	return a
}

// Run serves until ctx ends, and returns when all its goroutines have ended. It must be called once only.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	a.ctx = ctx
	for range storeWorkers {
		a.spawn(a.storeLoop)
	}
	a.spawn(a.livenessLoop)
	a.spawn(a.watchLoop)
	a.spawn(a.coreLoop)
	err := a.acceptLoop(ctx)
	cancel()
	a.pool.Close()
	a.closeConns()
	a.wg.Wait()
	return err
}

// spawn runs f on a goroutine that Run waits for.
func (a *Agent) spawn(f func(context.Context)) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		f(a.ctx)
	}()
}

// Drain makes the agent refuse new requests and finish the running ones. If the VM is leaving, the agent also unloads
// its models and releases its grants; otherwise the next process on the VM takes them over. The channel of Drained
// reports the end. The error is that of ctx.
func (a *Agent) Drain(ctx context.Context, leaving bool) error {
	return a.events.Push(ctx, Drain{Leaving: leaving})
}

// Drained returns a channel that is closed when a draining agent has finished its work and released its key slots, or
// has waited for the release until handoverTimeout.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

// Status returns the agent's status as JSON, at most 1 s old.
func (a *Agent) Status() json.RawMessage { return a.snapshot.Load().status }

// coreLoop steps the core and executes its actions. No other goroutine steps the core.
func (a *Agent) coreLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	a.step(Tick{})
	for {
		select {
		case ev := <-a.events.Items():
			a.step(ev)
		case <-ticker.C:
			a.step(Tick{})
			a.refreshStatus()
		case <-ctx.Done():
			return
		}
	}
}

// step applies an event, and then the events that its actions queue.
func (a *Agent) step(ev Event) {
	a.pendingEvents = append(a.pendingEvents, ev)
	for len(a.pendingEvents) > 0 {
		next := a.pendingEvents[0]
		a.pendingEvents = a.pendingEvents[1:]
		if end, ok := next.(CallEnded); ok {
			delete(a.calls, callKey{end.Job, end.Run})
		}
		for _, act := range a.core.Step(time.Now(), next) {
			a.execute(act)
		}
	}
	a.publishSnapshot()
}

// queueEvent queues an event that results from an action. It is called on the core's goroutine.
func (a *Agent) queueEvent(ev Event) { a.pendingEvents = append(a.pendingEvents, ev) }

// publishSnapshot makes the load and the versions visible to the streams. Larger parts are replaced only when they
// change.
func (a *Agent) publishSnapshot() {
	old := a.snapshot.Load()
	next := *old
	next.load, next.sync = a.core.Load(), a.core.Sync()
	if next.sync.QuarantineHash != old.sync.QuarantineHash {
		next.quarantine = a.core.quarantine.Entries()
	}
	if d := a.core.config.Current(); d != nil && (old.config == nil || old.config.Version != d.Version) {
		next.config = &wire.ConfigDoc{Version: d.Version, Digest: d.Digest, Document: d.Raw}
	}
	next.bootstrapPeers = a.core.bootstrapPeers
	if next.load != old.load || next.sync != old.sync || next.config != old.config || !slices.Equal(next.bootstrapPeers, old.bootstrapPeers) {
		a.snapshot.Store(&next)
	}
}

// statusTicks is the number of ticks between two updates of the status.
const statusTicks = 10

// refreshStatus updates the gauges and the status, and reports readiness and the end of a drain.
func (a *Agent) refreshStatus() {
	next := *a.snapshot.Load()
	if next.ticksToStatus--; next.ticksToStatus < 0 {
		next.ticksToStatus = statusTicks
		s := a.core.Status()
		next.status, _ = json.Marshal(s) // cannot fail: all fields can be encoded
		a.metrics.updateGauges(s)
	}
	a.snapshot.Store(&next)
	if !a.ready && a.core.kind != "" {
		a.ready = true
		if a.deps.OnReady != nil {
			a.deps.OnReady()
		}
	}
	if a.core.IsDrained() {
		select {
		case <-a.drained:
		default:
			a.deps.Log.Info("drained")
			close(a.drained)
		}
	}
}

// execute executes one action. It never blocks.
func (a *Agent) execute(act Action) {
	switch act := act.(type) {
	case Attach:
		a.attach(act)
	case RefuseStream:
		a.metrics.countRefusal(act.Refuse)
		a.deliverDecision(act.Stream, decision{refuse: act.Refuse})
	case AnswerStream:
		a.metrics.countOutcome(wire.OutcomeDone)
		a.deliverDecision(act.Stream, decision{answer: &act})
	case DropStream:
		a.dropStream(act.Stream)
	case TargetReady:
		if j := a.jobs[act.Job]; j != nil {
			a.startWaitSpan(j, "queue")
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
		if j := a.jobs[act.Job]; j != nil {
			j.output.release()
		}
		delete(a.jobs, act.Job)
	default:
		a.executeExternal(act)
	}
}

func (a *Agent) attach(act Attach) {
	j := a.jobs[act.Job]
	if j == nil {
		j = &jobState{output: newOutput(act.Open.NonIdempotent, a.memory), carrier: propagation.MapCarrier{"traceparent": act.Open.Traceparent}}
		_, j.waitSpan = a.tracer.Start(j.parentContext(a.ctx), "load")
		a.jobs[act.Job] = j
	}
	a.deliverDecision(act.Stream, decision{attach: &act, output: j.output})
}

func (a *Agent) endJob(act EndJob) {
	j := a.jobs[act.Job]
	j.waitSpan.End()
	j.output.finish(act.Refuse)
	if act.Refuse != nil {
		a.metrics.countRefusal(act.Refuse)
		return
	}
	a.metrics.countOutcome(wire.OutcomeDone)
}

// deliverDecision passes the core's decision to a stream. There is exactly one for each stream.
func (a *Agent) deliverDecision(stream uint64, d decision) {
	a.mu.Lock()
	r := a.streams[stream]
	a.mu.Unlock()
	if r != nil {
		r.decisions <- d
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

// isEOF reports whether a stream ended between two frames.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }
