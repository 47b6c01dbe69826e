package agent

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
)

const (
	// storeTimeout bounds one store call. The object API answers in milliseconds; a longer wait means an outage.
	storeTimeout = 3 * time.Second
	// orderTimeout bounds one order. A load from the remote tier takes minutes at most.
	orderTimeout = 10 * time.Minute
	// listingTimeout bounds one listing.
	listingTimeout = 2 * time.Second
	// livenessInterval is the time between two listings for liveness.
	livenessInterval = time.Second
)

// doOutside carries out the actions that concern the store, the upstream's orders and other processes.
func (a *Agent) doOutside(act Action) {
	switch act := act.(type) {
	case ReadObject:
		if !a.storeCalls.TryPush(act) {
			a.later(ObjectRead{Key: act.Key, Err: store.ErrUnavailable})
		}
	case WriteObject:
		if !a.storeCalls.TryPush(act) {
			a.later(ObjectWritten{Key: act.Key, Expect: act.Expect, Err: store.ErrUnavailable})
		}
	case CheckEngine:
		a.checks.TryPush(act.Number) // there is one at a time
	case ResidencyAction:
		a.residency(act.Action)
	case RecordColdStart:
		a.metrics.coldStart(act.Waited)
	case LogChange:
		a.report(act)
	default:
		a.doPeers(act)
	}
}

// report writes a log line for a change of state.
func (a *Agent) report(r LogChange) {
	if r.Err != nil {
		a.parts.Log.Warn(r.Message, "err", r.Err)
		return
	}
	a.parts.Log.Info(r.Message)
}

// storeDuty makes the store calls.
func (a *Agent) storeDuty(ctx context.Context) {
	for {
		act, err := a.storeCalls.Pop(ctx)
		if err != nil {
			return
		}
		_ = a.events.Push(ctx, a.storeCall(ctx, act))
	}
}

func (a *Agent) storeCall(ctx context.Context, act Action) Event {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch act := act.(type) {
	case WriteObject:
		v, err := a.parts.Store.Put(ctx, act.Key, act.Value, act.Expect)
		return ObjectWritten{Key: act.Key, Value: act.Value, Expect: act.Expect, Version: v, Err: err}
	case ReadObject:
		o, err := a.parts.Store.Get(ctx, act.Key)
		return ObjectRead{Key: act.Key, Object: o, Err: err, Document: decodeConfig(o)}
	}
	return Tick{}
}

// residency carries out an order or a listing. An order has its own goroutine, since a load takes long; the decision
// has at most one out for each model.
func (a *Agent) residency(act residency.Action) {
	switch act := act.(type) {
	case residency.SendOrder:
		a.goDo(func(ctx context.Context) { a.order(ctx, act.Order) })
	case residency.FetchListing:
		a.goDo(func(ctx context.Context) {
			l, err := a.listing(ctx)
			_ = a.events.Push(ctx, Listed{Listing: l, Err: err})
		})
	}
}

func (a *Agent) order(ctx context.Context, o engine.Order) {
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	octx, span := a.tracer.Start(octx, string(o.Kind))
	defer span.End()
	span.SetAttributes(attribute.String("model", o.Target.Model), attribute.String("adapter", o.Target.Adapter))
	err := a.engine.Order(octx, o)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	a.metrics.order(o, err)
	_ = a.events.Push(ctx, OrderDone{Order: o, Err: err})
}

func (a *Agent) listing(ctx context.Context) (engine.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	return a.engine.Listing(ctx)
}

// livenessDuty reads the listing regularly and when the core asks.
func (a *Agent) livenessDuty(ctx context.Context) {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	number := uint64(0)
	for {
		l, err := a.listing(ctx)
		if a.events.Push(ctx, EngineChecked{Number: number, Listing: l, Err: err}) != nil {
			return
		}
		select {
		case number = <-a.checks.Items():
		case <-ticker.C:
			number = 0
		case <-ctx.Done():
			return
		}
	}
}

// watchDuty follows the store and the VM list, and asks peers for the store's objects if it is down at the start.
func (a *Agent) watchDuty(ctx context.Context) {
	a.goDo(func(ctx context.Context) { _ = a.watcher.Run(ctx) })
	a.goDo(func(ctx context.Context) {
		a.watcher.BootstrapFromPeers(ctx, func() []string { return a.info.Load().peers }, a.ask)
	})
	for {
		u, err := a.watcher.Updates().Pop(ctx)
		if err != nil {
			return
		}
		if ev := eventOf(u); ev != nil && a.events.Push(ctx, ev) != nil {
			return
		}
	}
}

// decodeConfig decodes config/current outside the core's goroutine, because a document of 10,000 adapters takes more than
// 100 ms of CPU time. It returns nil for another object; a damaged document is left to the core, which reports it.
func decodeConfig(o store.Object) *config.Document {
	if o.Key != store.KeyConfig || o.Deleted {
		return nil
	}
	e, err := config.DecodeEnvelope(o.Value)
	if err != nil {
		return nil
	}
	d, err := e.Document()
	if err != nil {
		return nil
	}
	return d
}

// eventOf returns the core's event for an update. A failed read of the VM list proves nothing and is left out.
func eventOf(u watch.Update) Event {
	switch {
	case u.Source == watch.SourceStore && u.Err != nil:
		return StoreFailed{Err: u.Err}
	case u.Source == watch.SourceStore:
		ev := StoreChanged{Objects: u.Objects, Synced: u.Synced}
		for _, o := range u.Objects {
			if d := decodeConfig(o); d != nil {
				ev.Document = d
			}
		}
		return ev
	case u.Source == watch.SourcePeers:
		return ObjectsReceived{Objects: u.Objects}
	case u.Err != nil:
		return nil
	}
	return VMsRead{StartedAt: u.VMsAt, VMs: u.VMs}
}
