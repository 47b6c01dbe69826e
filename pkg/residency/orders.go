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
	// refusedBackoff is the time without another load order after the engine refused one.
	refusedBackoff = 5 * time.Second
	// unloadBackoff is the time without another unload order after the engine refused one.
	unloadBackoff = 2 * time.Second
	// fenceJump is added to the fencing number after the engine refused it as old. Numbers follow the clock in
	// nanoseconds, so this covers a clock that was set back by 18 minutes.
	fenceJump = 1 << 40
	// speedWeight is the weight of the newest load in the observed speed.
	speedWeight = 0.3
)

// clean says that no order is outstanding and that a listing was fetched after the last one ended.
func (s *State) clean(m *model) bool {
	return m.order == nil && s.listing.have && !s.listing.suspect && s.listing.seq > m.touched
}

// send sends one order. The fencing number grows with each order and, as it follows the clock, over restarts.
func (s *State) send(now time.Time, m *model, t *target, kind engine.OrderKind) {
	s.seq++
	s.fence = max(s.fence+1, uint64(max(0, now.UnixNano())))
	m.order = &engine.Order{Kind: kind, Target: t.id, Fence: s.fence}
	m.orderAt, m.touched = now, s.seq
	if t.phase == doubtful {
		t.doubt = t.since
	}
	t.since = now
	if t.phase = unloading; kind == engine.OrderLoad {
		t.phase = loading
	}
	s.emit(SendOrder{Order: *m.order})
}

func (s *State) orderDone(now time.Time, ev OrderDone) {
	m, t := s.find(ev.Order.Target)
	if t == nil || m.order == nil || m.order.Fence != ev.Order.Fence {
		return
	}
	s.seq++
	m.order, m.touched = nil, s.seq
	s.listing.wanted = true
	if errors.Is(ev.Err, engine.ErrStaleFence) {
		s.fence += fenceJump
	}
	if ev.Err != nil && !noEffect(ev.Err) {
		s.stats.UnknownOrders++
	}
	if ev.Order.Kind == engine.OrderLoad {
		s.loadDone(now, m, t, ev.Err)
		return
	}
	s.unloadDone(now, m, t, ev.Err)
}

// noEffect says that the error proves that the order did nothing.
func noEffect(err error) bool {
	return errors.Is(err, engine.ErrStaleFence) || errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrNotStarted)
}

func (s *State) loadDone(now time.Time, m *model, t *target, err error) {
	s.endAsk(t)
	switch {
	case err == nil:
		s.loaded(now, t)
		s.observe(now, m, t)
		if t == m.base {
			s.stats.Loads++
			s.stats.LoadTime += now.Sub(m.orderAt)
		}
	case noEffect(err):
		s.gone(now, t)
		if errors.Is(err, engine.ErrStaleFence) {
			return
		}
		m.notBefore = later(m.notBefore, now.Add(refusedBackoff))
		s.failAll(m, wire.CodeUpstreamDown, "load order had no effect: "+err.Error(), refusedBackoff)
	default:
		t.phase, t.since = doubtful, now
	}
}

func (s *State) unloadDone(now time.Time, m *model, t *target, err error) {
	switch {
	case err == nil:
	case !t.doubt.IsZero():
		// Without an acknowledgement the earlier load is not settled either.
		t.phase, t.since = doubtful, now
	case noEffect(err):
		t.phase, t.unload = resident, false
		if !errors.Is(err, engine.ErrStaleFence) {
			m.unloadWait = now.Add(unloadBackoff)
		}
	case !s.trusted():
		// The order may still arrive and unload what is loaded next.
		m.notBefore = later(m.notBefore, now.Add(engine.OrderSettle))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// trusted says that the engine refuses old fencing numbers, so that an acknowledged order proves that no earlier one
// can take effect.
func (s *State) trusted() bool { return s.o.TrustFence && s.listing.last.EnforceFence }

// observe updates the load speed of the tier from which a base model was loaded.
func (s *State) observe(now time.Time, m *model, t *target) {
	took := now.Sub(m.orderAt).Seconds()
	if t != m.base || took <= 0 || m.cfg.MemoryBytes <= 0 {
		return
	}
	tier := s.tier(m)
	s.speeds[tier] += speedWeight * (float64(m.cfg.MemoryBytes)/took - s.speeds[tier])
}

// askPlace asks the load coordinator for a place for the load of a base model.
func (s *State) askPlace(now time.Time, m *model) {
	t := m.base
	s.asks++
	t.ask = fmt.Sprintf("%s/%s/%d", s.o.VM, s.o.Incarnation, s.asks)
	t.coordinator = s.coordinator()
	s.asker.Ask(now, t.ask, t.coordinator == "")
	ask := wire.LoadPermitRequest{ID: t.ask, VM: s.o.VM, Model: m.name, Bytes: m.cfg.MemoryBytes, TimeoutMS: m.firstDeadline().Sub(now).Milliseconds()}
	s.emit(AskPlace{Coordinator: t.coordinator, Ask: ask})
}

func (s *State) coordinator() string {
	if vm := loadplan.CoordinatorOf(s.peers); vm != s.o.VM {
		return vm
	}
	return ""
}

// firstDeadline returns the earliest deadline of the requests that wait for the base or one of its adapters.
func (m *model) firstDeadline() time.Time {
	var first time.Time
	for _, t := range m.targets() {
		if t.wanted && (first.IsZero() || t.first.Before(first)) {
			first = t.first
		}
	}
	return first
}

func (s *State) placeGiven(id string) {
	if !s.asker.RecordIssued(id) {
		s.emit(ReturnPlace{Coordinator: s.coordinator(), ID: id})
	}
}

// endAsk returns the place of a load, or withdraws its ask.
func (s *State) endAsk(t *target) {
	if t.ask == "" {
		return
	}
	s.asker.End(t.ask)
	s.emit(ReturnPlace{Coordinator: t.coordinator, ID: t.ask})
	t.ask, t.coordinator = "", ""
}
