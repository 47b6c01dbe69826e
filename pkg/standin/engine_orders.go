package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

// residentTarget is a target that is loaded or loading.
type residentTarget struct {
	bytes   int64
	loading bool
	users   int // calls that are waiting or running
}

// Reasons for refusing an order. A refused order has no effect.
var (
	errOvercommit    = errors.New("memory capacity exceeded")
	errBusy          = errors.New("target is loading or in use")
	errBaseNotLoaded = errors.New("base model is not loaded")
	errStaleFence    = errors.New("old fencing number")
	errUnknownKind   = errors.New("unknown kind of order")
)

func orderStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, errStaleFence):
		return http.StatusPreconditionFailed
	case errors.Is(err, errOvercommit):
		return http.StatusInsufficientStorage
	case errors.Is(err, errBusy):
		return http.StatusConflict
	case errors.Is(err, errBaseNotLoaded):
		return http.StatusNotFound
	case errors.Is(err, errUnknownKind):
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// serveOrder executes an order. A delayed order is executed even if its client has disconnected; a load in progress
// continues for OrderLinger after its client has disconnected.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	epochCtx, delay := e.epochCtx, time.Duration(e.faults.OrderDelayMS)*time.Millisecond
	e.mu.Unlock()
	if wait(epochCtx, min(delay, engine.OrderDropDelay)) != nil || delay > engine.OrderDropDelay {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(epochCtx)
	defer cancel()
	stop := context.AfterFunc(r.Context(), func() {
		if wait(ctx, e.options.OrderLinger) == nil {
			cancel()
		}
	})
	defer stop()
	err := e.orderWithHeartbeats(ctx, w, o)
	e.mu.Lock()
	lose := e.faults.LoseOrders > 0
	if lose {
		e.faults.LoseOrders--
	}
	e.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), orderStatus(err))
	}
}

// orderWithHeartbeats executes the order and meanwhile sends a 102 status as heartbeat each LivenessInterval.
func (e *Engine) orderWithHeartbeats(ctx context.Context, w http.ResponseWriter, o engine.Order) error {
	done := make(chan error, 1)
	go func() { done <- e.Order(ctx, o) }()
	heartbeat := time.NewTicker(engine.LivenessInterval)
	defer heartbeat.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-heartbeat.C:
			w.WriteHeader(http.StatusProcessing)
		}
	}
}

// Order executes an order and returns when it has taken effect.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	e.mu.Lock()
	if err := e.checkFence(o.Fence); err != nil {
		e.mu.Unlock()
		return err
	}
	switch o.Kind {
	case engine.OrderLoad:
		err := e.beginLoad(o.Target)
		epochCtx := e.epochCtx
		e.mu.Unlock()
		if errors.Is(err, errLoaded) {
			return nil
		}
		if err != nil {
			return err
		}
		return e.finishLoad(epochCtx, o.Target, e.fetch(ctx, o.Target))
	case engine.OrderUnload:
		defer e.mu.Unlock()
		return e.unload(o.Target)
	}
	e.mu.Unlock()
	return errUnknownKind
}

// checkFence compares the fencing number with the highest one received for any target. An order that arrives after a
// newer one is stale.
func (e *Engine) checkFence(fence uint64) error {
	if fence > e.highestFence {
		e.highestFence = fence
		return nil
	}
	e.counts.StaleFences++
	if e.options.EnforceFence {
		return fmt.Errorf("%w: %d is not above %d", errStaleFence, fence, e.highestFence)
	}
	return nil
}

// errLoaded is returned by beginLoad for a target that is loaded already. Such an order succeeds.
var errLoaded = errors.New("already loaded")

// beginLoad checks that the target can be loaded and reserves its memory.
func (e *Engine) beginLoad(t engine.Target) error {
	if r := e.resident[t]; r != nil {
		if r.loading {
			return errBusy
		}
		return errLoaded
	}
	if t.Adapter != "" {
		if base := e.resident[engine.Target{Model: t.Model}]; base == nil || base.loading {
			return errBaseNotLoaded
		}
	}
	size := e.targetBytes(t)
	if e.usedBytes()+size > e.options.MemoryBytes {
		e.counts.Overcommits++
		return fmt.Errorf("%w: %d used, %d more, capacity %d", errOvercommit, e.usedBytes(), size, e.options.MemoryBytes)
	}
	e.add(t, &residentTarget{bytes: size, loading: true})
	return nil
}

// add, remove and updateIdleSeconds maintain the sums over loaded targets. updateIdleSeconds has to be called before
// each change of the loaded targets or their users.
func (e *Engine) add(t engine.Target, r *residentTarget) {
	e.updateIdleSeconds()
	e.resident[t] = r
	if t.Adapter == "" {
		e.options.ReplicaCounter.change(t.Model, 1)
	}
}

func (e *Engine) remove(t engine.Target) {
	e.updateIdleSeconds()
	delete(e.resident, t)
	if t.Adapter == "" {
		e.options.ReplicaCounter.change(t.Model, -1)
	}
}

func (e *Engine) updateIdleSeconds() {
	now := time.Now()
	passed := now.Sub(e.idleUpdated).Seconds()
	e.idleUpdated = now
	for t, r := range e.resident {
		if t.Adapter == "" && !r.loading && r.users == 0 && !e.modelInUse(t.Model) {
			e.counts.IdleSeconds += passed * float64(max(1, e.options.Models[t.Model].Accelerators))
		}
	}
}

// modelInUse reports whether the model or one of its adapters has calls.
func (e *Engine) modelInUse(model string) bool {
	for t, r := range e.resident {
		if t.Model == model && r.users > 0 {
			return true
		}
	}
	return false
}

// finishLoad marks a target as loaded, or removes it if err reports that the load failed.
func (e *Engine) finishLoad(epochCtx context.Context, t engine.Target, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epochCtx.Err() != nil {
		return epochCtx.Err() // a new epoch has started; nothing to undo
	}
	if err != nil {
		e.remove(t)
		return err
	}
	e.updateIdleSeconds()
	e.resident[t].loading = false
	e.counts.Loads++
	return nil
}

// fetch simulates loading the target's checkpoint: it waits for the load time that its size and tier determine.
func (e *Engine) fetch(ctx context.Context, t engine.Target) error {
	if t.Adapter != "" {
		return e.options.Weights.FetchAdapter(ctx, t.Adapter)
	}
	size := e.targetBytes(t)
	switch e.options.Models[t.Model].Tier {
	case engine.TierMemory:
		return wait(ctx, loadTime(size, e.options.MemorySpeed))
	case engine.TierDisk:
		return wait(ctx, loadTime(size, e.options.DiskSpeed))
	}
	return e.options.Weights.FetchModel(ctx, t.Model, size)
}

func loadTime(bytes, speed int64) time.Duration {
	return time.Duration(float64(bytes) / float64(speed) * float64(time.Second))
}

func (e *Engine) targetBytes(t engine.Target) int64 {
	if t.Adapter != "" {
		if a, ok := e.options.Adapters[t.Adapter]; ok {
			return a.MemoryBytes
		}
		return e.options.DefaultAdapterBytes
	}
	if m, ok := e.options.Models[t.Model]; ok {
		return m.MemoryBytes
	}
	return e.options.DefaultModelBytes
}

func (e *Engine) usedBytes() int64 {
	var sum int64
	for _, r := range e.resident {
		sum += r.bytes
	}
	return sum
}

// Preload loads a target immediately, without an order.
func (e *Engine) Preload(t engine.Target) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.beginLoad(t); err != nil {
		return err
	}
	e.resident[t].loading = false
	return nil
}

// unload removes a target and, if it is a model, its adapters. It returns errBusy if any of them is loading or in use.
func (e *Engine) unload(t engine.Target) error {
	var remove []engine.Target
	for other, r := range e.resident {
		if other != t && (t.Adapter != "" || other.Model != t.Model) {
			continue
		}
		if r.loading || r.users > 0 {
			return errBusy
		}
		remove = append(remove, other)
	}
	for _, other := range remove {
		e.remove(other)
		e.counts.Unloads++
	}
	return nil
}

// Listing returns the engine's state and its loaded and loading targets, sorted by target.
func (e *Engine) Listing() engine.Listing {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := engine.Listing{
		Epoch: e.epoch, MemoryBytes: e.options.MemoryBytes, Slots: e.options.Slots,
		Running: e.runningCalls, EnforceFence: e.options.EnforceFence, Tiers: map[string]engine.Tier{},
	}
	for t, r := range e.resident {
		l.Resident = append(l.Resident, engine.Resident{Target: t, MemoryBytes: r.bytes, Loading: r.loading})
	}
	sort.Slice(l.Resident, func(i, j int) bool {
		a, b := l.Resident[i].Target, l.Resident[j].Target
		return a.Model < b.Model || a.Model == b.Model && a.Adapter < b.Adapter
	})
	for name, m := range e.options.Models {
		if m.Tier != "" {
			l.Tiers[name] = m.Tier
		}
	}
	return l
}
