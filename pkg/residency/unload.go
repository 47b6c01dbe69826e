package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/memory"
)

// planRequiredUnloads marks targets for unloading that no request uses and that may not stay loaded: models without a
// grant, all models while draining, and adapters that are no longer in the configuration.
func (s *State) planRequiredUnloads(now time.Time) {
	if s.doc == nil {
		return
	}
	for _, m := range s.sortedModels() {
		if m.inUse() == 0 && (!s.mayServe(m) || s.draining && !m.hasWaiting() && !now.Before(m.base.protectedUntil)) {
			m.base.mustUnload = m.base.phase != absent
		}
		for _, t := range m.targets()[1:] {
			// An order without an answer can load an adapter after its base model has been unloaded.
			orphaned := m.base.phase == absent && t.phase == resident
			if _, configured := s.size(m, t); (orphaned || !configured && t.phase != absent) && t.inUse == 0 {
				t.mustUnload = true
			}
		}
	}
}

// planExcessUnloads marks idle targets for unloading while more than the limit is reserved, as after the limit was
// lowered. Memory reserved for loads with an unknown outcome does not cause unloads.
func (s *State) planExcessUnloads(now time.Time) {
	if s.doc == nil || !s.listing.received {
		return
	}
	excess := s.ledger.Reserved() - s.ledger.Limit() - s.unloadingBytes()
	for _, m := range s.models {
		excess -= s.ledger.Entry(reserveKey(m))
		for _, t := range m.targets() {
			if t.phase == unresolved && !t.mustUnload && !m.base.mustUnload {
				excess -= s.ledger.Entry(t.id)
			}
		}
	}
	if excess <= 0 {
		return
	}
	candidates := s.candidates(now, nil, true)
	chosen, ok := memory.Evict(excess, candidates)
	if !ok {
		chosen = candidates
	}
	s.markForUnload(chosen)
}

// planIdleUnloads marks idle models for unloading if the policy decides so. Adapters occupy no accelerators; they are
// unloaded with their base or to free memory.
func (s *State) planIdleUnloads(now time.Time) {
	if s.doc == nil || s.listing.stale {
		return
	}
	for _, m := range s.sortedModels() {
		if s.isIdle(now, m) && s.opts.Policy.ShouldUnload(&m.base.arrivals, now.Sub(m.base.lastUse), s.costParams(m)) {
			m.base.mustUnload = true
			s.stats.IdleUnloads++
		}
	}
}

// isIdle reports whether the base is loaded and no request uses or waits for it or one of its adapters.
func (s *State) isIdle(now time.Time, m *model) bool {
	return m.base.phase == resident && !m.base.mustUnload && m.inUse() == 0 && !m.hasWaiting() && !now.Before(m.base.protectedUntil)
}

func (s *State) costParams(m *model) idle.CostParams {
	return idle.CostParams{Weights: s.doc.Config.Weights, Accelerators: max(1, m.cfg.Accelerators), ColdStart: s.loadTime(m)}
}

// unloadingBytes returns the memory, in bytes, of targets that are marked for unloading or being unloaded.
func (s *State) unloadingBytes() int64 {
	sum := int64(0)
	for _, m := range s.models {
		for _, t := range m.targets() {
			if t.phase != absent && (m.base.mustUnload || t.mustUnload || t.phase == unloading || m.base.phase == unloading) {
				sum += s.ledger.Entry(t.id)
			}
		}
	}
	return sum
}

// canFit reports whether a target that needs the given bytes can be loaded now or after unloading idle targets.
func (s *State) canFit(now time.Time, m *model, t *target, need int64) bool {
	_, ok := s.evictions(now, m, t, need)
	return ok
}

// evict marks idle targets for unloading so that the given bytes become available for t.
func (s *State) evict(now time.Time, m *model, t *target, need int64) {
	chosen, _ := s.evictions(now, m, t, need)
	s.markForUnload(chosen)
}

// evictions returns the idle targets to unload for t and reports whether they free enough memory.
func (s *State) evictions(now time.Time, m *model, t *target, need int64) ([]memory.Candidate, bool) {
	missing := need - (s.ledger.Limit() - s.ledger.Reserved()) - s.unloadingBytes()
	if missing <= 0 {
		return nil, true
	}
	if t != m.base {
		// Trying adapters first keeps a small adapter from evicting a whole model.
		if chosen, ok := memory.Evict(missing, s.candidates(now, m, false)); ok {
			return chosen, true
		}
	}
	return memory.Evict(missing, s.candidates(now, m, true))
}

// candidates returns the idle targets that may be unloaded, except the base model keep. With includeBases, an idle base
// is one candidate together with its adapters, which are unloaded with it.
func (s *State) candidates(now time.Time, keep *model, includeBases bool) []memory.Candidate {
	var cs []memory.Candidate
	for _, m := range s.sortedModels() {
		if m.base.phase != resident || m.base.mustUnload || m.order != nil {
			continue
		}
		if includeBases && m != keep && s.isIdle(now, m) {
			cs = append(cs, s.baseCandidate(now, m))
			continue
		}
		for _, t := range m.targets()[1:] {
			if t.phase == resident && !t.mustUnload && t.inUse == 0 && !t.waiting && !now.Before(t.protectedUntil) {
				// Reloading an adapter takes milliseconds, so its value is close to 0 and only orders adapters by last
				// use.
				value := 1 / (1e6 + now.Sub(t.lastUse).Seconds())
				cs = append(cs, memory.Candidate{Target: t.id, Bytes: s.ledger.Entry(t.id), Value: value})
			}
		}
	}
	return cs
}

func (s *State) baseCandidate(now time.Time, m *model) memory.Candidate {
	bytes := int64(0)
	for _, t := range m.targets() {
		bytes += s.ledger.Entry(t.id)
	}
	value := idle.UnloadCost(&m.base.arrivals, now.Sub(m.base.lastUse), s.costParams(m))
	return memory.Candidate{Target: m.base.id, Bytes: bytes, Value: value / max(1, float64(bytes)/float64(1<<30))}
}

func (s *State) markForUnload(cs []memory.Candidate) {
	for _, c := range cs {
		_, t := s.find(c.Target)
		t.mustUnload = true
		s.stats.Evictions++
	}
}

// sendUnloads sends the unload orders for marked targets, one per model at a time and adapters before their base.
func (s *State) sendUnloads(now time.Time) {
	for _, m := range s.sortedModels() {
		if !s.listedSinceOrder(m) || now.Before(m.unloadNotBefore) {
			continue
		}
		if t := s.nextUnload(m); t != nil {
			s.sendOrder(now, m, t, engine.OrderUnload)
		}
	}
}

// nextUnload returns the next target of a model to unload, or nil. A base is unloaded after its adapters.
func (s *State) nextUnload(m *model) *target {
	ts := m.targets()
	for _, t := range ts[1:] {
		if (t.mustUnload || m.base.mustUnload || t.phase == unloading) && s.mayUnload(t) && t.inUse == 0 {
			return t
		}
	}
	for _, t := range ts[1:] {
		if t.phase != absent {
			return nil
		}
	}
	if (m.base.mustUnload || m.base.phase == unloading) && s.mayUnload(m.base) && m.inUse() == 0 {
		return m.base
	}
	return nil
}

// mayUnload reports whether an unload order would resolve the target. A load with an unknown outcome could take effect
// after the unload unless the engine refuses stale fencing numbers.
func (s *State) mayUnload(t *target) bool {
	return t.phase == resident || t.phase == unloading || t.phase == unresolved && s.fenceTrusted()
}
