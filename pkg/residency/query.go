package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
)

const (
	// storeDelay is the assumed time of a store call, which acquires or stamps a grant.
	storeDelay = 20 * time.Millisecond
	// adapterDelay is the time of an adapter load (design page, section 1.2: 5 to 10 ms).
	adapterDelay = 10 * time.Millisecond
)

// IsReady says that a request on the target can begin now.
func (s *State) IsReady(id engine.Target) bool {
	m, t := s.find(id)
	return t != nil && s.usable(m, t)
}

func (s *State) usable(m *model, t *target) bool {
	if s.listing.suspect || !s.entitled(m) || m.base.phase != resident || m.base.unload {
		return false
	}
	return t.phase == resident && !t.unload
}

// PredictedWait returns how long a request on the target would wait until it can begin, without the queue before it.
// It is 0 for a target that is ready. It does not say whether the target may be loaded at all.
func (s *State) PredictedWait(id engine.Target, now time.Time) time.Duration {
	m, t := s.find(id)
	if t == nil {
		m, t = &model{name: id.Model, base: &target{}}, &target{id: id}
		if known := s.models[id.Model]; known != nil {
			m = known
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

// baseWait predicts the time until the base model is loaded.
func (s *State) baseWait(m *model, now time.Time) time.Duration {
	load := s.loadTime(m)
	switch {
	case m.base.phase == resident && !m.base.unload && !s.listing.suspect:
		return 0
	case m.base.phase == loading:
		return max(load-now.Sub(m.orderAt), load/10)
	case m.base.phase == doubtful && m.base.listedLoading:
		return load
	case m.base.phase == doubtful:
		return max(0, m.base.since.Add(engine.OrderDropDelay).Sub(now)) + load
	}
	wait := max(0, m.notBefore.Sub(now)) + load
	if m.client == nil || !m.client.MayLoad() {
		wait += storeDelay
	}
	return wait
}

// loadTime predicts how long a load of the base takes once its order was sent.
func (s *State) loadTime(m *model) time.Duration {
	return loadplan.Predict(m.cfg.MemoryBytes, s.speeds[s.tier(m)])
}

func (s *State) tier(m *model) engine.Tier {
	if t, ok := s.listing.last.Tiers[m.name]; ok && s.speeds[t] > 0 {
		return t
	}
	return engine.TierRemote
}

// Held returns the models whose grant this VM holds or may hold, sorted.
func (s *State) Held() []string {
	var names []string
	for _, m := range s.sorted() {
		if m.client.MayHaveEntry() {
			names = append(names, m.name)
		}
	}
	return names
}

// Residents returns the targets that are loaded, sorted by model and adapter.
func (s *State) Residents() []engine.Target {
	var ids []engine.Target
	for _, m := range s.sorted() {
		for _, t := range m.targets() {
			if t.phase == resident {
				ids = append(ids, t.id)
			}
		}
	}
	return ids
}

// MemoryBooked returns the memory booked for residents, loads in flight and unknown outcomes, bytes.
func (s *State) MemoryBooked() int64 { return s.ledger.Reserved() }

// MemoryLimit returns the limit in force, bytes; it is 0 before the first listing and configuration.
func (s *State) MemoryLimit() int64 { return s.ledger.Limit() }

// NeedsFastTicks says that the agent has to send a Tick every 100 ms instead of every second.
func (s *State) NeedsFastTicks() bool {
	if s.listing.suspect || !s.listing.have || s.drain {
		return true
	}
	for _, m := range s.models {
		if m.order != nil || m.wanted() || m.client.HasUnresolvedWrite() || m.base.phase != absent && m.base.phase != resident {
			return true
		}
	}
	return false
}

// Drained says that nothing is loaded and no grant is held any more.
func (s *State) Drained() bool {
	for _, m := range s.models {
		if m.client.MayHaveEntry() || !m.settledAbsent() {
			return false
		}
	}
	return true
}

// settledAbsent says that nothing of the model is loaded and no order in flight can load it.
func (m *model) settledAbsent() bool {
	if m.order != nil || m.base.phase != absent || m.base.ask != "" {
		return false
	}
	for _, t := range m.adapters {
		if t.phase != absent {
			return false
		}
	}
	return true
}
