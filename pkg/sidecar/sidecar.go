// Package sidecar runs beside a model engine. It is the only process that orders the engine to load or unload, and it
// tells the routers what the engine holds. What to order is decided by package placement.
package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// idlePoll, busyPoll and adapterPoll are the times between two reads of the engine's report: while nothing is under
	// way, while it carries out an order, and while an adapter is loaded, which takes some milliseconds.
	idlePoll    = 150 * time.Millisecond
	busyPoll    = 50 * time.Millisecond
	adapterPoll = 6 * time.Millisecond
	// reportTimeout bounds one read of the report.
	reportTimeout = 400 * time.Millisecond
	// demandsSize bounds the messages that wait to be taken in.
	demandsSize = 256
)

// Engine is the model engine beside the process.
type Engine interface {
	Report(ctx context.Context) (platform.Report, error)
	Instance(ctx context.Context, path string) (string, error)
	Order(ctx context.Context, o placement.Order, instance string, seen uint64, holder string, token uint64) (platform.OrderResult, error)
}

// Settings are the process's own.
type Settings struct {
	Node, Address, Region, Zone, Service string
	// LoadWindow and LoadFactor bound the loads from the weight store over all upstreams.
	LoadWindow time.Duration
	LoadFactor float64
	// Parallel is the number of loads that the weight store serves at full speed.
	Parallel int
}

type received struct {
	from   netip.AddrPort
	demand *peer.Demand
}

// Agent is the process's state. Run is its only duty that changes what it decides on; the others hand over through
// bounded queues or the guarded fields.
type Agent struct {
	set     Settings
	engine  Engine
	socket  *peer.Socket
	log     *eventlog.Log
	guard   *guard.Guard
	demands chan received

	mu     sync.Mutex
	config *catalog.Config
	list   upstreams
	token  uint64

	routers *routers
	fetches *fetchLimit
	report  platform.Report
	order   *underWay
	asked   incarnation // what the engine has told of itself
	sent    *peer.State
	version uint32 // of the holdings in report
	engaged bool   // the engine answered its last report
}

// underWay is an order that the engine carries out.
type underWay struct {
	order       placement.Order
	begun, ends time.Time // ends is expected
}

// overdueShare is the share of the time since its begin that an order which takes longer than expected is taken to need
// still.
const overdueShare = 0.2

// rest returns how long the order is expected to take still.
func (u *underWay) rest(now time.Time) time.Duration {
	return max(u.ends.Sub(now), time.Duration(overdueShare*float64(now.Sub(u.begun))))
}

// New returns an agent.
func New(set Settings, engine Engine, socket *peer.Socket, log *eventlog.Log, g *guard.Guard) *Agent {
	return &Agent{
		set: set, engine: engine, socket: socket, log: log, guard: g, demands: make(chan received, demandsSize),
		version: uint32(time.Now().UnixMilli()), routers: newRouters(time.Now()), fetches: newFetchLimit(set.LoadWindow, set.LoadFactor),
	}
}

// SetToken gives the agent its fencing token. It orders nothing before.
func (a *Agent) SetToken(token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.token = token
}

// Receive takes the routers' messages until ctx ends.
func (a *Agent) Receive(ctx context.Context) error {
	return a.socket.Receive(ctx, func(from netip.AddrPort, m peer.Message) {
		if m.Demand == nil {
			return
		}
		select {
		case a.demands <- received{from: from, demand: m.Demand}:
		default:
			a.log.Request("message dropped, too many wait", "from", from.String())
		}
	}, func(from netip.AddrPort, err error) {
		a.log.Request("message not received", "from", from.String(), "err", err)
	})
}

// Run reads the engine's report, gives orders and reports to the routers until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.demands:
			a.take(r)
		case <-timer.C:
		}
		a.drain()
		pause := idlePoll
		a.guard.Do("round", func() {
			a.round(ctx)
			pause = a.pause()
		})
		timer.Reset(pause)
	}
}

func (a *Agent) take(r received) {
	a.guard.Try("router's message", func() { a.routers.take(time.Now(), r.from, r.demand) })
}

func (a *Agent) drain() {
	for {
		select {
		case r := <-a.demands:
			a.take(r)
		default:
			return
		}
	}
}

func (a *Agent) pause() time.Duration {
	switch {
	case len(a.report.LoadingAdapters) > 0 || len(a.routers.demand(time.Now()).Adapters) > 0:
		return adapterPoll
	case a.report.Busy || a.order != nil:
		return busyPoll
	}
	return idlePoll
}

// round reads the report, gives the orders that follow from it and tells the routers.
func (a *Agent) round(ctx context.Context) {
	for range maxOrdersPerRound {
		if !a.read(ctx) {
			return
		}
		if !a.act(ctx) {
			break
		}
	}
	a.publish()
}

// maxOrdersPerRound bounds the orders between two messages to the routers: the adapters that an engine loads at a time,
// and a model.
const maxOrdersPerRound = 6

func (a *Agent) read(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := a.engine.Report(call)
	if err != nil {
		if a.engaged {
			a.log.State("engine does not report", "err", err)
		}
		a.engaged = false
		return false
	}
	if !a.engaged {
		a.log.State("engine reports", "born", r.Upstream.Born, "models", len(r.Upstream.Models), "orders", r.Upstream.Orders)
	}
	a.engaged = true
	a.identify(ctx, &r.Upstream)
	a.report = r
	if a.order != nil && !r.Busy {
		a.order = nil
	}
	return true
}

// act gives the next order and reports whether another one may follow at once.
func (a *Agent) act(ctx context.Context) bool {
	now := time.Now()
	view, token, ok := a.view(now)
	if !ok {
		return false
	}
	o, reason, ok := placement.Plan(view)
	if !ok {
		return false
	}
	tier := a.report.Upstream.Tier(o.Model)
	if !o.Unload && o.Adapter == "" && tier == catalog.TierStore {
		a.fetches.begin(now)
	}
	result, err := a.engine.Order(ctx, o, a.report.Upstream.ID, a.report.Upstream.Orders, a.set.Node, token)
	a.log.State("order", "upstream", a.report.Upstream.ID, "unload", o.Unload, "model", o.Model, "adapter", o.Adapter, "reason", string(reason),
		"seen", a.report.Upstream.Orders, "tier", int(tier), "token", token, "result", result.String(), "err", err)
	if result != platform.OrderAccepted {
		return false
	}
	if o.Adapter == "" {
		expected := time.Duration(0)
		if !o.Unload {
			expected = view.Engine.Models[o.Model].LoadTime(tier)
		}
		a.order = &underWay{order: o, begun: now, ends: now.Add(expected)}
	}
	return true
}

// view returns what the next order is decided on; false while the agent may not order.
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
	all, known := a.list.with(a.report.Upstream)
	return placement.View{
		Self: a.report.Upstream, Busy: a.report.Busy, Coming: a.report.LoadingAdapters, Engine: *engine, Upstreams: all,
		Stable: a.list.settled(now, a.report.Upstream.ID), Demand: a.routers.demand(now),
		FetchAllowed: known && a.fetches.allowed(now, engine.LoadsPerSecond, position(all), len(all)), Parallel: a.set.Parallel,
	}, a.token, true
}
