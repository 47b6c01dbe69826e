package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
)

const (
	// storeDelay is the assumed duration of the store call that acquires or stamps a grant.
	storeDelay = 20 * time.Millisecond
	// adapterDelay is the assumed duration of an adapter load (design page, section 1.2: 5 to 10 ms).
	adapterDelay = 10 * time.Millisecond
)

// IsReady reports whether a request on the target can start now.
func (s *State) IsReady(id engine.Target) bool {
	m, t := s.find(id)
	return t != nil && s.usable(m, t)
}

func (s *State) usable(m *model, t *target) bool {
	if s.listing.stale || !s.mayServe(m) || m.base.phase != resident || m.base.mustUnload {
		return false
	}
	return t.phase == resident && !t.mustUnload
}

// PredictedWait returns how long a request on the target would wait until it can start, not counting time in the queue.
// It is 0 for a target that is ready. It does not consider whether the target may be loaded at all.
func (s *State) PredictedWait(id engine.Target, now time.Time) time.Duration {
	m, t := s.find(id)
	if t == nil {
		m, t = &model{name: id.Model, base: &target{}}, &target{id: id}
		if existing := s.models[id.Model]; existing != nil {
			m = existing
		}
	}
	if s.usable(m, t) {
		return 0
	}
	wait := s.baseWait(m, now)
	if id.Adapter != "" && t.phase != resident {
		wait += adapterDelay
	}
	return max(wait, time.Millisecond)
}

// baseWait returns the predicted time until the base model is loaded.
func (s *State) baseWait(m *model, now time.Time) time.Duration {
	load := s.loadTime(m)
	switch {
	case m.base.phase == resident && !m.base.mustUnload && !s.listing.stale:
		return 0
	case m.base.phase == loading:
		return max(load-now.Sub(m.orderSentAt), load/10)
	case m.base.phase == unresolved && m.base.listedLoading:
		return load
	case m.base.phase == unresolved:
		return max(0, m.base.phaseSince.Add(engine.OrderDropDelay).Sub(now)) + load
	}
	wait := max(0, m.loadNotBefore.Sub(now)) + load
	if m.client == nil || !m.client.MayLoad() {
		wait += storeDelay
	}
	return wait
}

// loadTime returns the predicted duration of a load order for the base model.
func (s *State) loadTime(m *model) time.Duration {
	return loadplan.Predict(m.cfg.MemoryBytes, s.speeds[s.loadTier(m)])
}

// loadTier returns the tier from which the model would be loaded, or TierStore if the listing names none with a known
// speed.
func (s *State) loadTier(m *model) engine.Tier {
	if t, ok := s.listing.last.Tiers[m.name]; ok && s.speeds[t] > 0 {
		return t
	}
	return engine.TierStore
}

// GrantedModels returns the names of the models for which this VM has or may have a grant, sorted.
func (s *State) GrantedModels() []string {
	var names []string
	for _, m := range s.sortedModels() {
		if m.client.MayHaveEntry() {
			names = append(names, m.name)
		}
	}
	return names
}

// Residents returns the targets that are loaded, sorted by model and adapter.
func (s *State) Residents() []engine.Target {
	var ids []engine.Target
	for _, m := range s.sortedModels() {
		for _, t := range m.targets() {
			if t.phase == resident {
				ids = append(ids, t.id)
			}
		}
	}
	return ids
}

// MemoryReserved returns the memory reserved for residents, loads in progress and unknown outcomes, in bytes.
func (s *State) MemoryReserved() int64 { return s.ledger.Reserved() }

// MemoryLimit returns the active memory limit in bytes; it is 0 before the first listing and configuration.
func (s *State) MemoryLimit() int64 { return s.ledger.Limit() }

// NeedsFastTicks reports whether the agent has to send a Tick every 100 ms instead of every second.
func (s *State) NeedsFastTicks() bool {
	if s.listing.stale || !s.listing.received || s.draining {
		return true
	}
	for _, m := range s.models {
		if m.order != nil || m.hasWaiting() || m.client.HasUnresolvedWrite() || m.base.phase != absent && m.base.phase != resident {
			return true
		}
	}
	return false
}

// IsDrained reports whether nothing is loaded and this VM has no grants.
func (s *State) IsDrained() bool {
	for _, m := range s.models {
		if m.client.MayHaveEntry() || !m.isAbsent() {
			return false
		}
	}
	return true
}

// isAbsent reports whether neither the base model nor an adapter is loaded and no outstanding order can load one.
func (m *model) isAbsent() bool {
	if m.order != nil || m.base.phase != absent || m.base.permitID != "" {
		return false
	}
	for _, t := range m.adapters {
		if t.phase != absent {
			return false
		}
	}
	return true
}
