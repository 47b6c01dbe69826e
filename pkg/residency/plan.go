package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// readyProtection keeps a target from being unloaded between Ready and the begin of the requests told so.
	readyProtection = time.Second
	// retryAfterMemory and retryAfterReplica are hints for callers; memory and grants move within seconds.
	retryAfterMemory  = 2 * time.Second
	retryAfterReplica = time.Second
)

// plan makes the decisions that the current state calls for.
func (s *State) plan(now time.Time) {
	s.reserveAdapters()
	s.cancelPrepared(now)
	s.planStore(now)
	for _, w := range s.wanted() {
		if w.t.wanted {
			s.progress(now, w.m, w.t)
		}
	}
	s.planLeaving(now)
	s.planExcess(now)
	s.planIdle(now)
	s.planUnloads(now)
	s.planListing(now)
}

type wanted struct {
	m *model
	t *target
}

// wanted returns the targets that requests wait for, the earliest deadline first.
func (s *State) wanted() []wanted {
	var ws []wanted
	for _, m := range s.sorted() {
		for _, t := range m.targets() {
			if t.wanted {
				ws = append(ws, wanted{m, t})
			}
		}
	}
	slices.SortStableFunc(ws, func(a, b wanted) int { return cmp.Compare(a.t.first.UnixNano(), b.t.first.UnixNano()) })
	return ws
}

// progress takes the next step for one wanted target.
func (s *State) progress(now time.Time, m *model, t *target) {
	switch {
	case s.usable(m, t):
		s.ready(now, m, t)
	case now.After(t.last):
		s.fail(m, t, wire.CodeExpired, "the deadline passed while the model was being loaded", 0)
	case s.refused(m, t):
	case m.base.phase == resident && !m.base.unload:
		if t != m.base && !s.listing.suspect {
			s.loadAdapter(now, m, t)
		}
	default:
		s.loadBase(now, m, t)
	}
}

// ready tells the waiting requests to begin and keeps the target loaded until they have.
func (s *State) ready(now time.Time, m *model, t *target) {
	r := Ready{Target: t.id}
	if t.wanted {
		r.Waited = now.Sub(t.wantedAt)
	}
	t.wanted, t.protected = false, now.Add(readyProtection)
	m.base.protected = t.protected
	s.emit(r)
}

// refused refuses the requests of a target that can not be loaded here at all.
func (s *State) refused(m *model, t *target) bool {
	_, known := s.size(m, t)
	switch {
	case s.doc == nil:
		s.fail(m, t, wire.CodeNoConfig, "no configuration yet", retryAfterReplica)
	case s.drain:
		s.fail(m, t, wire.CodeDraining, "the upstream is leaving", 0)
	case !m.configured:
		s.fail(m, t, wire.CodeNoReplica, "the model is not served by this group", 0)
	case !known:
		s.fail(m, t, wire.CodeBadRequest, "the adapter is not in the configuration", 0)
	case m.client.IsRevoked(s.ceiling(m)):
		s.fail(m, t, wire.CodeNoReplica, "the grant is beyond the ceiling", retryAfterReplica)
	case s.listing.failures >= maxListFailures:
		s.fail(m, t, wire.CodeUpstreamDown, "the engine's listing can not be read", retryAfterReplica)
	default:
		return false
	}
	s.prune(m, t)
	return true
}

// prune forgets a target that is not configured and of which nothing is known.
func (s *State) prune(m *model, t *target) {
	if _, known := s.size(m, t); known || t.phase != absent || t.inUse > 0 {
		return
	}
	delete(m.adapters, t.id.Adapter)
	if !m.configured && !m.client.WasRead() && len(m.adapters) == 0 && m.settledAbsent() && m.used() == 0 && !m.wanted() {
		delete(s.models, m.name)
		s.byName = nil
	}
}

func (s *State) fail(m *model, t *target, code wire.Code, reason string, after time.Duration) {
	t.wanted = false
	s.emit(LoadFailed{Target: t.id, Code: code, Reason: reason, RetryAfter: after, Holders: s.holders(m)})
}

func (s *State) failAll(m *model, code wire.Code, reason string, after time.Duration) {
	for _, t := range m.targets() {
		if t.wanted {
			s.fail(m, t, code, reason, after)
		}
	}
}

// loadable says that loads are legal as far as the whole upstream is concerned. After a start, every load that an
// earlier process may have begun has to be booked first.
func (s *State) loadable() bool {
	if s.doc == nil || !s.listing.have || s.listing.suspect {
		return false
	}
	if s.startSettled() {
		return true
	}
	for _, m := range s.models {
		if m.configured && !m.client.WasRead() {
			return false
		}
		if _, known := s.size(m, m.base); !known && m.base.phase == doubtful {
			return false
		}
	}
	return true
}

// loadBase takes the next step towards loading the base model, on behalf of the requests that wait for t.
func (s *State) loadBase(now time.Time, m *model, t *target) {
	if m.base.phase != absent {
		s.awaitBase(now, m, t)
		return
	}
	if !s.loadable() || !s.clean(m) {
		return
	}
	if now.Before(m.notBefore) {
		if t.last.Before(m.notBefore) {
			s.fail(m, t, wire.CodeUpstreamDown, "an earlier order for the model is not settled", m.notBefore.Sub(now))
		}
		return
	}
	need, _ := s.size(m, m.base)
	if m.base.ask == "" && !s.possible(now, m, m.base, need) {
		m.giveUp = true
		s.fail(m, t, wire.CodeNoMemory, "no memory can be freed for the model", retryAfterMemory)
		return
	}
	if !m.client.MayLoad() {
		s.acquire(now, m, t)
		return
	}
	if !s.ledger.Reserve(m.base.id, need) {
		s.evict(now, m, m.base, need)
		return
	}
	if m.base.ask == "" {
		s.askPlace(now, m)
	}
	if s.asker.MayStart(now, m.base.ask) {
		s.send(now, m, m.base, engine.OrderLoad)
	}
}

// awaitBase handles requests that wait for a base in transition.
func (s *State) awaitBase(now time.Time, m *model, t *target) {
	if m.base.phase != doubtful || m.base.listedLoading || !s.clean(m) {
		return
	}
	s.awaitSettled(now, m, t, m.base)
}

// awaitSettled handles requests for t that wait for a load of unknown outcome. At an engine that refuses old fencing
// numbers, an acknowledged unload settles it at once. A second load would not do: both could take effect, one of them
// after a restart of the engine. Elsewhere, the requests whose deadline passes before it is settled are refused.
func (s *State) awaitSettled(now time.Time, m *model, t, doubt *target) {
	if s.trusted() {
		doubt.unload = true
		return
	}
	settled := doubt.since.Add(engine.OrderDropDelay)
	if t.last.Before(settled) {
		s.fail(m, t, wire.CodeUpstreamDown, "the outcome of a load order is unknown", settled.Sub(now))
	}
}

// acquire asks for a grant, or refuses if none is free or the store does not answer.
func (s *State) acquire(now time.Time, m *model, t *target) {
	present, _ := m.client.Entry()
	if m.client.HasPendingWrite() || m.reading || present {
		return
	}
	if now.Before(m.storeAfter) {
		s.fail(m, t, wire.CodeNoReplica, "no grant is held and the object API does not answer", m.storeAfter.Sub(now))
		return
	}
	if m.needRead || !m.client.IsCurrent() {
		return
	}
	if s.write(m, grant.IntentAcquire) != nil {
		s.fail(m, t, wire.CodeNoReplica, "all replicas that the ceiling allows are granted", retryAfterReplica)
	}
}

// loadAdapter takes the next step towards loading an adapter on a resident base.
func (s *State) loadAdapter(now time.Time, m *model, t *target) {
	if t.phase == doubtful && !t.listedLoading && s.clean(m) {
		s.awaitSettled(now, m, t, t)
		return
	}
	if t.phase != absent || !s.clean(m) || !s.loadable() || now.Before(m.notBefore) || t.unload {
		return
	}
	if s.adapterLoads() >= loadplan.AdapterCap(len(s.peers)) {
		return
	}
	need, _ := s.size(m, t)
	if s.ledger.Reserve(t.id, need) {
		s.send(now, m, t, engine.OrderLoad)
		return
	}
	if !s.possible(now, m, t, need) {
		s.fail(m, t, wire.CodeNoMemory, "no memory can be freed for the adapter", retryAfterMemory)
		return
	}
	s.evict(now, m, t, need)
}

// adapterLoads returns how many adapter load orders are outstanding.
func (s *State) adapterLoads() int {
	n := 0
	for _, m := range s.models {
		if m.order != nil && m.order.Kind == engine.OrderLoad && m.order.Target.Adapter != "" {
			n++
		}
	}
	return n
}

// cancelPrepared gives up loads that wait for a place and are no longer wanted or legal. No order was sent for them.
func (s *State) cancelPrepared(now time.Time) {
	for _, m := range s.sorted() {
		if m.base.ask == "" || m.base.phase != absent {
			continue
		}
		if !m.wanted() || s.drain || s.ledger.Excess() > 0 || s.doc == nil || !m.configured || !m.client.MayLoad() {
			s.endAsk(m.base)
			s.gone(now, m.base)
		}
	}
}
