// Package sidecar runs beside a model engine. The sidecar is the only process that orders the engine to load or unload,
// and it reports the engine's holdings and load to the routers. Package placement decides which order comes next.
package sidecar

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// idlePollInterval is the time between two reads of the engine's report while no order is in progress,
	// busyPollInterval while the engine executes one, and adapterPollInterval while it loads an adapter, which takes
	// some milliseconds.
	idlePollInterval    = 150 * time.Millisecond
	busyPollInterval    = 50 * time.Millisecond
	adapterPollInterval = 6 * time.Millisecond
	// reportTimeout bounds one read of the report.
	reportTimeout = 400 * time.Millisecond
	// demandQueueSize is the capacity of the queue of received router messages.
	demandQueueSize = 256
)

// Engine is the model engine that the sidecar controls.
type Engine interface {
	Report(ctx context.Context) (platform.Report, error)
	Instance(ctx context.Context, path string) (string, error)
	Order(ctx context.Context, o placement.Order, instance string, acceptedOrders uint64, holder string, token uint64) (platform.OrderResult, error)
}

// Settings are the settings of a sidecar process.
type Settings struct {
	Node, Address, Region, Zone, Service string
	// ReuseAfter is how long after the end of an engine its address may be given to another service. An engine that replies
	// within this time of its predecessor is of the same service; 0 if this is not known.
	ReuseAfter time.Duration
	// LoadWindow and LoadFactor define the limit on loads from the weight store over all upstreams: in any LoadWindow,
	// the rate times LoadWindow times LoadFactor, plus fetchAllowance.
	LoadWindow time.Duration
	LoadFactor float64
	// FetchConcurrency is the number of loads that the weight store serves at full speed.
	FetchConcurrency int
	// ChecksTokens reports whether the engine refuses orders with a lower fencing token than it has accepted.
	ChecksTokens bool
	// AdmitPrompts allows the sidecar to admit prompts where the configuration calls for it.
	AdmitPrompts bool
	// PeerPort is the port at which the other sidecars receive messages; 0 if this one decides alone on its fetches.
	PeerPort int
	// Scope receives the metrics; nil for none.
	Scope tally.Scope
}

// routerMessage is a router's demand and the address that it came from.
type routerMessage struct {
	from   netip.AddrPort
	demand *peer.Demand
	size   int // encoded size in bytes
}

// Agent is the state of a sidecar process. Only the goroutine of Run changes the fields below token; other goroutines
// pass their input through the queue demands or the fields guarded by mu.
type Agent struct {
	settings Settings
	engine   Engine
	socket   *peer.Socket
	log      *eventlog.Log
	guard    *guard.Guard
	demands  chan routerMessage
	quotas   *quotas // nil unless EnableQuotas has been called

	mu     sync.Mutex // guards the fields down to recordClean
	config *catalog.Config
	// lastService is the service of the last engine that the list has named at the address; that of the settings before.
	// Only Run changes it.
	lastService string
	list        upstreamList
	token       uint64
	pending     pendingOrders
	// fences holds the running instance of the engine until the fence record for it is written, and
	// recordClean reports whether the record last written is clean.
	fences      chan engineInstance
	recordClean bool

	prompts         *promptAdmission // has its own lock
	limits          *limits          // has its own lock
	routers         *routers
	fetches         *fetchLimiter
	report          platform.Report
	order           *orderInProgress
	instance        instanceQuery
	registration    registration
	lastSent        *peer.Report
	holdingsVersion uint32 // version of the holdings in report
	// readAt is the start of the call that last read the engine's report.
	readAt          boottime.Instant
	engineReporting bool // the last read of the engine's report succeeded
	// reportedAt is when the engine's report was last read, on the clock of bootClock.
	reportedAt     time.Time
	fenced         bool // a fence record has been requested, the last one for fencedInstance
	fencedInstance engineInstance
	reserved       placement.Reserved // reservation last logged
	// endedID is the upstream whose end was last published, and endNoticesSent the number of notices of it.
	endedID        string
	endNoticesSent int
	turns          *turns
}

// orderInProgress is an order that the engine is executing.
type orderInProgress struct {
	order                  placement.Order
	startedAt, expectedEnd time.Time
}

// overdueShare estimates the remaining time of an overdue order, as a share of the time since its start.
const overdueShare = 0.2

// remaining returns the expected remaining time of the order.
func (o *orderInProgress) remaining(now time.Time) time.Duration {
	return max(o.expectedEnd.Sub(now), time.Duration(overdueShare*float64(now.Sub(o.startedAt))))
}

// New returns an agent.
func New(settings Settings, engine Engine, socket *peer.Socket, log *eventlog.Log, g *guard.Guard) *Agent {
	now := time.Now()
	a := &Agent{
		pending: pendingOrders{unknownUntil: now.Add(orderLifetime)}, fences: make(chan engineInstance, 1),
		settings: settings, engine: engine, socket: socket, log: log, guard: g, demands: make(chan routerMessage, demandQueueSize),
		holdingsVersion: uint32(now.UnixMilli()), routers: newRouters(now), fetches: newFetchLimiter(settings.LoadWindow, settings.LoadFactor),
		instance: instanceQuery{replies: make(chan instanceReply, 1)}, // at most one query is in progress
		turns:    newTurns(settings), lastService: settings.Service, registration: registration{wanted: make(chan struct{}, 1)},
	}
	a.prompts = newPromptAdmission(a)
	a.limits = newLimits(a)
	return a
}

// SetToken sets the fencing token. The sidecar sends no orders before the token is set.
func (a *Agent) SetToken(token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.token = token
}

// Receive queues the routers' messages until ctx ends.
func (a *Agent) Receive(ctx context.Context) error {
	queuesCtx, stop := context.WithCancel(ctx)
	var queues sync.WaitGroup
	queues.Go(func() { a.prompts.run(queuesCtx) })
	queues.Go(func() { a.limits.run(queuesCtx) })
	defer func() { stop(); queues.Wait() }()
	return a.socket.Receive(ctx, func(from netip.AddrPort, m peer.Message) {
		if a.prompts.handle(from, m) {
			return
		}
		if m.LimitRequest != nil {
			a.guard.Try("limit request", func() { a.limits.handle(from, m.LimitRequest) })
			return
		}
		if m.QuotaRequest != nil {
			a.guard.Try("quota request", func() { a.quotas.handle(from, m.QuotaRequest) })
		}
		if m.Demand == nil {
			a.queueTurnMessage(from, m)
			return
		}
		a.quotas.recordRouter(from, m.Demand)
		select {
		case a.demands <- routerMessage{from: from, demand: m.Demand, size: m.Size}:
		default:
			a.log.Request("message dropped: queue is full", "from", from.String())
		}
	}, func(from netip.AddrPort, err error) {
		a.log.Request("message not received", "from", from.String(), "err", err)
	})
}

// Run reads the engine's report, sends orders to the engine and reports to the routers until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.demands:
			a.applyMessage(r)
			if !a.engineReporting { // the timer paces the reads, which take up to reportTimeout: turn messages must not wait for each
				continue
			}
		case r := <-a.instance.replies:
			a.applyInstanceReply(r)
		case m := <-a.turns.messages:
			if !a.applyTurnMessage(m) {
				continue
			}
		case <-timer.C:
		}
		a.applyQueuedMessages()
		pollInterval := idlePollInterval
		a.guard.Do("round", func() {
			a.round(ctx)
			a.stepTurns()
			pollInterval = a.pollInterval()
		})
		timer.Reset(pollInterval)
	}
}

func (a *Agent) applyMessage(r routerMessage) {
	a.guard.Try("router's message", func() {
		if !a.routers.admit(r.from, r.demand, r.size) {
			a.log.Request("message dropped: too many routers", "from", r.from.String())
			return
		}
		a.routers.applyMessage(time.Now(), r.from, r.demand, r.size)
	})
}

func (a *Agent) applyQueuedMessages() {
	for {
		select {
		case r := <-a.demands:
			a.applyMessage(r)
		default:
			return
		}
	}
}

func (a *Agent) pollInterval() time.Duration {
	switch {
	case len(a.report.LoadingAdapters) > 0 || len(a.routers.demand(time.Now()).Adapters) > 0:
		return adapterPollInterval
	case a.report.Busy || a.order != nil:
		return busyPollInterval
	case a.turns.requester.Turn(boottime.Now()) != "": // got from the own queue after the round
		return adapterPollInterval
	}
	return idlePollInterval
}

// round reads the engine's report, sends the orders that follow from it and reports to the routers.
func (a *Agent) round(ctx context.Context) {
	for range maxOrdersPerRound {
		if !a.readReport(ctx) {
			return
		}
		if !a.sendNextOrder(ctx) {
			break
		}
	}
	a.publish()
}

// maxOrdersPerRound bounds the orders between two reports to the routers: the adapters that an engine loads
// concurrently, plus one model.
const maxOrdersPerRound = 6

func (a *Agent) readReport(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := boottime.Now()
	r, err := a.engine.Report(callCtx)
	repliedAt := boottime.Now()
	if err != nil {
		if a.engineReporting {
			a.log.State("engine report not available", "err", err)
		}
		a.engineReporting = false
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.turns.tracker.InstanceEnded(bootClock())
			a.publishEnd()
		}
		return false
	}
	if !a.engineReporting {
		a.log.State("engine report available", "born", r.Upstream.StartedUnixMS, "models", len(r.Upstream.Models), "orders", r.Upstream.Orders)
	}
	a.engineReporting, a.reportedAt = true, bootClock()
	a.identify(ctx, &r.Upstream)
	a.inheritService(&r.Upstream, sentAt, repliedAt)
	a.readAt = sentAt
	a.report = r
	a.limits.setInstance(r.Upstream.ID, r.Upstream.StartedUnixMS)
	a.limits.observeReport(r.Limit, r.LimitPerS, sentAt)
	a.requestToken()
	a.prompts.applyReport(time.Now(), r)
	a.trackFetch()
	if a.order != nil && !r.Busy {
		a.order = nil
	}
	return true
}

// sendNextOrder sends the next order, if there is one, and reports whether another one may follow at once.
func (a *Agent) sendNextOrder(ctx context.Context) bool {
	now := time.Now()
	view, token, ok := a.view(now)
	if !ok {
		return false
	}
	if view.Reserved != a.reserved {
		a.reserved = view.Reserved
		a.log.State("reserved for unanswered orders", "memory_mb", view.Reserved.MemoryMB, "adapter_slots", view.Reserved.AdapterSlots)
	}
	o, reason, ok := placement.Plan(view)
	if !ok {
		return false
	}
	tier := a.report.Upstream.Tier(o.Model)
	fetch := !o.Unload && o.Adapter == "" && tier == catalog.TierStore
	if fetch {
		if !a.beginFetch(view, o.Model) {
			return false
		}
		a.fetches.recordStart(now)
	}
	number := a.addPending(now, o, token)
	result, err := a.engine.Order(ctx, o, a.report.Upstream.ID, a.report.Upstream.Orders, a.settings.Node, token)
	a.endPending(number, result != platform.OrderUnknown || errors.Is(err, syscall.ECONNREFUSED)) // a refused connection carried nothing
	a.log.State("order", "upstream", a.report.Upstream.ID, "unload", o.Unload, "model", o.Model, "adapter", o.Adapter, "reason", string(reason),
		"seen", a.report.Upstream.Orders, "tier", int(tier), "token", token, "result", result.String(), "err", err)
	a.recordOrder(o, fetch, result)
	if result != platform.OrderAccepted {
		return false
	}
	if o.Adapter == "" {
		expected := time.Duration(0)
		if !o.Unload {
			expected = view.Engine.Models[o.Model].LoadTime(tier)
		}
		a.order = &orderInProgress{order: o, startedAt: now, expectedEnd: now.Add(expected)}
	}
	return true
}

// view returns the input for the choice of the next order and the fencing token. It returns false while the
// sidecar may not send orders.
func (a *Agent) view(now time.Time) (placement.View, uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.token == 0 || a.config == nil || a.report.Upstream.ID == "" {
		return placement.View{}, 0, false
	}
	engine := a.config.Services[a.report.Upstream.Service].Engine
	if engine == nil {
		return placement.View{}, 0, false
	}
	all, listRead := a.list.withSelf(a.report.Upstream)
	return placement.View{
		Self: a.report.Upstream, Busy: a.report.Busy, LoadingAdapters: a.report.LoadingAdapters, Engine: *engine, Upstreams: all,
		Stable: a.list.stable(now, a.report.Upstream.ID), Demand: a.routers.demand(now),
		FetchAllowed: listRead && a.fetches.allowed(now, engine.LoadsPerSecond, position(all), len(all)), FetchConcurrency: a.settings.FetchConcurrency,
		Reserved: a.pending.reserved(now, engine, &a.report.Upstream, a.token, a.settings.ChecksTokens),
		Turns:    a.turnsGranted(),
	}, a.token, true
}
