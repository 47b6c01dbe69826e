package residency

import (
	"errors"
	"fmt"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// refusedBackoff is the delay before the next load order for a model after one had no effect.
	refusedBackoff = 5 * time.Second
	// unloadBackoff is the delay before the next unload order for a model after one had no effect.
	unloadBackoff = 2 * time.Second
	// fenceJump is added to the fencing number after the engine refused it as stale. Fencing numbers follow the clock
	// in nanoseconds, so the jump covers a clock that was set back by up to 18 minutes.
	fenceJump = 1 << 40
	// speedWeight is the weight of the newest load in the moving average of the load speed.
	speedWeight = 0.3
)

// listedSinceOrder reports whether no order is outstanding for the model and a listing was fetched after the last order
// ended.
func (s *State) listedSinceOrder(m *model) bool {
	return m.order == nil && s.listing.received && !s.listing.stale && s.listing.seq > m.lastOrderSeq
}

// sendOrder sends one order. The fencing number increases with each order, and across restarts because it follows the
// clock.
func (s *State) sendOrder(now time.Time, m *model, t *target, kind engine.OrderKind) {
	s.seq++
	s.fence = max(s.fence+1, uint64(max(0, now.UnixNano())))
	m.order = &engine.Order{Kind: kind, Target: t.id, Fence: s.fence}
	m.orderSentAt, m.lastOrderSeq = now, s.seq
	if t.phase == unresolved {
		t.unresolvedSince = t.phaseSince
	}
	t.phaseSince = now
	if t.phase = unloading; kind == engine.OrderLoad {
		t.phase = loading
	}
	s.emit(SendOrder{Order: *m.order})
}

func (s *State) applyOrderResult(now time.Time, ev OrderDone) {
	m, t := s.find(ev.Order.Target)
	if t == nil || m.order == nil || m.order.Fence != ev.Order.Fence {
		return
	}
	s.seq++
	m.order, m.lastOrderSeq = nil, s.seq
	s.listing.needed = true
	if errors.Is(ev.Err, engine.ErrStaleFence) {
		s.fence += fenceJump
	}
	if ev.Err != nil && !noEffect(ev.Err) {
		s.stats.UnknownOrders++
	}
	if ev.Order.Kind == engine.OrderLoad {
		s.applyLoadResult(now, m, t, ev.Err)
		return
	}
	s.applyUnloadResult(now, m, t, ev.Err)
}

// noEffect reports whether the error guarantees that the order had no effect.
func noEffect(err error) bool {
	return errors.Is(err, engine.ErrStaleFence) || errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrNotStarted)
}

func (s *State) applyLoadResult(now time.Time, m *model, t *target, err error) {
	s.releasePermit(t)
	switch {
	case err == nil:
		s.markResident(now, t)
		s.recordLoadSpeed(now, m, t)
		if t == m.base {
			s.stats.Loads++
			s.stats.LoadTime += now.Sub(m.orderSentAt)
		}
	case noEffect(err):
		s.markAbsent(now, t)
		if errors.Is(err, engine.ErrStaleFence) {
			return
		}
		m.loadNotBefore = latest(m.loadNotBefore, now.Add(refusedBackoff))
		s.failAll(m, wire.CodeUpstreamDown, "load order had no effect: "+err.Error(), refusedBackoff)
	default:
		t.phase, t.phaseSince = unresolved, now
	}
}

func (s *State) applyUnloadResult(now time.Time, m *model, t *target, err error) {
	switch {
	case err == nil:
	case !t.unresolvedSince.IsZero():
		// Without an acknowledgement of the unload, the earlier load stays unresolved too.
		t.phase, t.phaseSince = unresolved, now
	case noEffect(err):
		t.phase, t.mustUnload = resident, false
		if !errors.Is(err, engine.ErrStaleFence) {
			m.unloadNotBefore = now.Add(unloadBackoff)
		}
	case !s.fenceTrusted():
		// The order may still arrive and unload a model loaded in the meantime.
		m.loadNotBefore = latest(m.loadNotBefore, now.Add(engine.OrderDropDelay))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fenceTrusted reports whether the engine refuses stale fencing numbers, so that after an acknowledged order no earlier
// one can take effect.
func (s *State) fenceTrusted() bool { return s.opts.TrustFence && s.listing.last.EnforceFence }

// recordLoadSpeed updates the observed load speed of the tier from which a base model was loaded.
func (s *State) recordLoadSpeed(now time.Time, m *model, t *target) {
	seconds := now.Sub(m.orderSentAt).Seconds()
	if t != m.base || seconds <= 0 || m.cfg.MemoryBytes <= 0 {
		return
	}
	tier := s.loadTier(m)
	s.speeds[tier] += speedWeight * (float64(m.cfg.MemoryBytes)/seconds - s.speeds[tier])
}

// requestPermit requests a load permit for a base model from the load coordinator.
func (s *State) requestPermit(now time.Time, m *model) {
	t := m.base
	s.permitSeq++
	t.permitID = fmt.Sprintf("%s/%s/%d", s.opts.VM, s.opts.Incarnation, s.permitSeq)
	t.coordinator = s.coordinator()
	s.permits.RecordRequest(now, t.permitID, t.coordinator == "")
	request := wire.LoadPermitRequest{ID: t.permitID, VM: s.opts.VM, Model: m.name, Bytes: m.cfg.MemoryBytes, TimeoutMS: m.firstDeadline().Sub(now).Milliseconds()}
	s.emit(RequestPermit{Coordinator: t.coordinator, Request: request})
}

// coordinator returns the VM id of the load coordinator, or "" if it is this VM.
func (s *State) coordinator() string {
	if vm := loadplan.CoordinatorOf(s.peers); vm != s.opts.VM {
		return vm
	}
	return ""
}

// firstDeadline returns the earliest deadline of the requests that wait for the base or one of its adapters.
func (m *model) firstDeadline() time.Time {
	var first time.Time
	for _, t := range m.targets() {
		if t.waiting && (first.IsZero() || t.firstDeadline.Before(first)) {
			first = t.firstDeadline
		}
	}
	return first
}

// applyPermit records an issued load permit, or releases it at once if no load waits for it any more.
func (s *State) applyPermit(id string) {
	if !s.permits.RecordIssued(id) {
		s.emit(ReleasePermit{Coordinator: s.coordinator(), ID: id})
	}
}

// releasePermit releases the load permit of a target, or cancels its request.
func (s *State) releasePermit(t *target) {
	if t.permitID == "" {
		return
	}
	s.permits.End(t.permitID)
	s.emit(ReleasePermit{Coordinator: t.coordinator, ID: t.permitID})
	t.permitID, t.coordinator = "", ""
}
