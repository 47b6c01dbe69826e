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
	// readyProtection is the time for which a target is not unloaded after Ready, so that the waiting requests can
	// start.
	readyProtection = time.Second
	// retryAfterMemory and retryAfterReplica are hints for callers; memory and grants become free within seconds.
	retryAfterMemory  = 2 * time.Second
	retryAfterReplica = time.Second
)

// plan makes the decisions that the current state calls for.
func (s *State) plan(now time.Time) {
	s.reserveAdapters()
	s.cancelPermitRequests(now)
	s.planStore(now)
	for _, w := range s.waitingTargets() {
		if w.t.waiting {
			s.advance(now, w.m, w.t)
		}
	}
	s.planRequiredUnloads(now)
	s.planExcessUnloads(now)
	s.planIdleUnloads(now)
	s.sendUnloads(now)
	s.planListing(now)
}

type waitingTarget struct {
	m *model
	t *target
}

// waitingTargets returns the targets that requests wait for, the earliest deadline first.
func (s *State) waitingTargets() []waitingTarget {
	var ws []waitingTarget
	for _, m := range s.sortedModels() {
		for _, t := range m.targets() {
			if t.waiting {
				ws = append(ws, waitingTarget{m, t})
			}
		}
	}
	slices.SortStableFunc(ws, func(a, b waitingTarget) int {
		return cmp.Compare(a.t.firstDeadline.UnixNano(), b.t.firstDeadline.UnixNano())
	})
	return ws
}

// advance takes the next step for one target that requests wait for.
func (s *State) advance(now time.Time, m *model, t *target) {
	switch {
	case s.usable(m, t):
		s.reportReady(now, m, t)
	case now.After(t.lastDeadline):
		s.fail(m, t, wire.CodeExpired, "the deadline passed while the model was being loaded", 0)
	case s.refuseUnloadable(m, t):
	case m.base.phase == resident && !m.base.mustUnload:
		if t != m.base && !s.listing.stale {
			s.loadAdapter(now, m, t)
		}
	default:
		s.loadBase(now, m, t)
	}
}

// reportReady emits Ready for the waiting requests and protects the target from being unloaded before they start.
func (s *State) reportReady(now time.Time, m *model, t *target) {
	r := Ready{Target: t.id}
	if t.waiting {
		r.Waited = now.Sub(t.waitingSince)
	}
	t.waiting, t.protectedUntil = false, now.Add(readyProtection)
	m.base.protectedUntil = t.protectedUntil
	s.emit(r)
}

// refuseUnloadable refuses the requests for a target that cannot be loaded on this upstream and reports whether it did.
func (s *State) refuseUnloadable(m *model, t *target) bool {
	_, configured := s.size(m, t)
	switch {
	case s.doc == nil:
		s.fail(m, t, wire.CodeNoConfig, "no configuration yet", retryAfterReplica)
	case s.draining:
		s.fail(m, t, wire.CodeDraining, "the upstream is leaving", 0)
	case !m.configured:
		s.fail(m, t, wire.CodeNoReplica, "the model is not served by this group", 0)
	case !configured:
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

// prune deletes the record of a target that is neither configured nor loaded nor in use, and the record of its model if
// that is unused too.
func (s *State) prune(m *model, t *target) {
	if _, configured := s.size(m, t); configured || t.phase != absent || t.inUse > 0 {
		return
	}
	delete(m.adapters, t.id.Adapter)
	if !m.configured && !m.client.WasRead() && len(m.adapters) == 0 && m.isAbsent() && m.inUse() == 0 && !m.hasWaiting() {
		delete(s.models, m.name)
		s.byName = nil
	}
}

func (s *State) fail(m *model, t *target, code wire.Code, reason string, after time.Duration) {
	t.waiting = false
	s.emit(LoadFailed{Target: t.id, Code: code, Reason: reason, RetryAfter: after, Holders: s.otherHolders(m)})
}

func (s *State) failAll(m *model, code wire.Code, reason string, after time.Duration) {
	for _, t := range m.targets() {
		if t.waiting {
			s.fail(m, t, code, reason, after)
		}
	}
}

// loadsAllowed reports whether the state of the upstream as a whole allows loads. After startup, memory has to be
// reserved first for every load that an earlier process may have started.
func (s *State) loadsAllowed() bool {
	if s.doc == nil || !s.listing.received || s.listing.stale {
		return false
	}
	if s.earlierOrdersDropped() {
		return true
	}
	for _, m := range s.models {
		if m.configured && !m.client.WasRead() {
			return false
		}
		if _, configured := s.size(m, m.base); !configured && m.base.phase == unresolved {
			return false
		}
	}
	return true
}

// loadBase takes the next step towards loading the base model for the requests that wait for t.
func (s *State) loadBase(now time.Time, m *model, t *target) {
	if m.base.phase != absent {
		s.awaitBaseLoad(now, m, t)
		return
	}
	if !s.loadsAllowed() || !s.listedSinceOrder(m) {
		return
	}
	if now.Before(m.loadNotBefore) {
		if t.lastDeadline.Before(m.loadNotBefore) {
			s.fail(m, t, wire.CodeUpstreamDown, "an earlier order for the model is not settled", m.loadNotBefore.Sub(now))
		}
		return
	}
	need, _ := s.size(m, m.base)
	if m.base.permitID == "" && !s.canFit(now, m, m.base, need) {
		m.releaseGrant = true
		s.fail(m, t, wire.CodeNoMemory, "no memory can be freed for the model", retryAfterMemory)
		return
	}
	if !m.client.MayLoad() {
		s.acquireGrant(now, m, t)
		return
	}
	if !s.ledger.Reserve(m.base.id, need) {
		s.evict(now, m, m.base, need)
		return
	}
	if m.base.permitID == "" {
		s.requestPermit(now, m)
	}
	if s.permits.MayStart(now, m.base.permitID) {
		s.sendOrder(now, m, m.base, engine.OrderLoad)
	}
}

// awaitBaseLoad handles requests for t while an order for the base model is outstanding or unresolved.
func (s *State) awaitBaseLoad(now time.Time, m *model, t *target) {
	if m.base.phase != unresolved || m.base.listedLoading || !s.listedSinceOrder(m) {
		return
	}
	s.resolveLoad(now, m, t, m.base)
}

// resolveLoad handles requests for t while the load of pending has an unknown outcome. At an engine that refuses stale
// fencing numbers, an acknowledged unload resolves it at once. A second load would not, because both could take effect,
// one of them after a restart of the engine. At other engines, requests whose deadline passes before the load is
// resolved are refused.
func (s *State) resolveLoad(now time.Time, m *model, t, pending *target) {
	if s.fenceTrusted() {
		pending.mustUnload = true
		return
	}
	resolvedAt := pending.phaseSince.Add(engine.OrderDropDelay)
	if t.lastDeadline.Before(resolvedAt) {
		s.fail(m, t, wire.CodeUpstreamDown, "the outcome of a load order is unknown", resolvedAt.Sub(now))
	}
}

// acquireGrant writes the acquisition of a grant, or refuses the requests for t if no grant is available or the store
// does not answer.
func (s *State) acquireGrant(now time.Time, m *model, t *target) {
	present, _ := m.client.Entry()
	if m.client.HasPendingWrite() || m.reading || present {
		return
	}
	if now.Before(m.storeNotBefore) {
		s.fail(m, t, wire.CodeNoReplica, "no grant is held and the object API does not answer", m.storeNotBefore.Sub(now))
		return
	}
	if m.needRead || !m.client.IsCurrent() {
		return
	}
	if s.write(m, grant.IntentAcquire) != nil {
		s.fail(m, t, wire.CodeNoReplica, "all replicas that the ceiling allows are granted", retryAfterReplica)
	}
}

// loadAdapter takes the next step towards loading an adapter whose base model is loaded.
func (s *State) loadAdapter(now time.Time, m *model, t *target) {
	if t.phase == unresolved && !t.listedLoading && s.listedSinceOrder(m) {
		s.resolveLoad(now, m, t, t)
		return
	}
	if t.phase != absent || !s.listedSinceOrder(m) || !s.loadsAllowed() || now.Before(m.loadNotBefore) || t.mustUnload {
		return
	}
	if s.adapterLoads() >= loadplan.AdapterLoadLimit(len(s.peers)) {
		return
	}
	need, _ := s.size(m, t)
	if s.ledger.Reserve(t.id, need) {
		s.sendOrder(now, m, t, engine.OrderLoad)
		return
	}
	if !s.canFit(now, m, t, need) {
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

// cancelPermitRequests cancels loads that wait for a permit and that no request waits for or that are no longer
// allowed. No order was sent for them.
func (s *State) cancelPermitRequests(now time.Time) {
	for _, m := range s.sortedModels() {
		if m.base.permitID == "" || m.base.phase != absent {
			continue
		}
		if !m.hasWaiting() || s.draining || s.ledger.Excess() > 0 || s.doc == nil || !m.configured || !m.client.MayLoad() {
			s.releasePermit(m.base)
			s.markAbsent(now, m.base)
		}
	}
}
