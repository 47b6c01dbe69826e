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
	// storeTimeout bounds one store call. The store replies within milliseconds; a longer wait means an outage.
	storeTimeout = 3 * time.Second
	// orderTimeout bounds one order. A fetch from the weight store takes minutes at most.
	orderTimeout = 10 * time.Minute
	// listingTimeout bounds one listing.
	listingTimeout = 2 * time.Second
	// livenessInterval is the time between two listings for liveness.
	livenessInterval = time.Second
)

// executeExternal executes the actions that concern the store, the upstream's orders and other processes.
func (a *Agent) executeExternal(act Action) {
	switch act := act.(type) {
	case ReadObject:
		if !a.storeCalls.TryPush(act) {
			a.queueEvent(ObjectRead{Key: act.Key, Err: store.ErrUnavailable})
		}
	case WriteObject:
		if !a.storeCalls.TryPush(act) {
			a.queueEvent(ObjectWritten{Key: act.Key, Expect: act.Expect, Err: store.ErrUnavailable})
		}
	case CheckEngine:
		a.checks.TryPush(act.Number) // never full: one check is in progress at a time
	case ResidencyAction:
		a.executeResidency(act.Action)
	case RecordColdStart:
		a.metrics.recordColdStart(act.Waited)
	case LogChange:
		a.logChange(act)
	default:
		a.executePeer(act)
	}
}

// logChange writes a log line for a change of state.
func (a *Agent) logChange(act LogChange) {
	if act.Err != nil {
		a.deps.Log.Warn(act.Message, "err", act.Err)
		return
	}
	a.deps.Log.Info(act.Message)
}

// storeLoop executes queued store calls, one at a time.
func (a *Agent) storeLoop(ctx context.Context) {
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
		v, err := a.deps.Store.Put(ctx, act.Key, act.Value, act.Expect)
		return ObjectWritten{Key: act.Key, Value: act.Value, Expect: act.Expect, Version: v, Err: err}
	case ReadObject:
		o, err := a.deps.Store.Get(ctx, act.Key)
		return ObjectRead{Key: act.Key, Object: o, Err: err, Document: decodeConfig(o)}
	}
	return Tick{}
}

// executeResidency executes an order or a listing. An order runs on its own goroutine, since a load takes long; at most
// one order per model is in progress.
func (a *Agent) executeResidency(act residency.Action) {
	switch act := act.(type) {
	case residency.SendOrder:
		a.spawn(func(ctx context.Context) { a.executeOrder(ctx, act.Order) })
	case residency.FetchListing:
		a.spawn(func(ctx context.Context) {
			l, err := a.listing(ctx)
			_ = a.events.Push(ctx, Listed{Listing: l, Err: err})
		})
	}
}

func (a *Agent) executeOrder(ctx context.Context, o engine.Order) {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	orderCtx, span := a.tracer.Start(orderCtx, string(o.Kind))
	defer span.End()
	span.SetAttributes(attribute.String("model", o.Target.Model), attribute.String("adapter", o.Target.Adapter))
	err := a.engine.Order(orderCtx, o)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	a.metrics.countOrder(o, err)
	_ = a.events.Push(ctx, OrderDone{Order: o, Err: err})
}

func (a *Agent) listing(ctx context.Context) (engine.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	return a.engine.Listing(ctx)
}

// livenessLoop reads the listing periodically and when the core requests it.
func (a *Agent) livenessLoop(ctx context.Context) {
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

// watchLoop watches the store and the VM list, and queries peers for the store's objects if the store is unreachable at
// startup.
func (a *Agent) watchLoop(ctx context.Context) {
	a.spawn(func(ctx context.Context) { _ = a.watcher.Run(ctx) })
	a.spawn(func(ctx context.Context) {
		a.watcher.BootstrapFromPeers(ctx, func() []string { return a.snapshot.Load().bootstrapPeers }, a.query)
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

// decodeConfig decodes config/current outside the core's goroutine, because a document with 10,000 adapters takes more
// than 100 ms of CPU time. It returns nil for other objects, and for a malformed document, which the core reports.
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

// eventOf returns the core's event for an update of the watch, or nil. A failed read of the VM list is ignored, because
// it confirms nothing about any VM.
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
