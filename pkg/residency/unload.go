package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/memory"
)

// planLeaving marks what has to go as soon as no request uses it: models without a grant, all of them while draining,
// and adapters that the configuration no longer has.
func (s *State) planLeaving(now time.Time) {
	if s.doc == nil {
		return
	}
	for _, m := range s.sorted() {
		if m.used() == 0 && (!s.entitled(m) || s.drain && !m.wanted() && !now.Before(m.base.protected)) {
			m.base.unload = m.base.phase != absent
		}
		for _, t := range m.targets()[1:] {
			if _, known := s.size(m, t); !known && t.phase != absent && t.inUse == 0 {
				t.unload = true
			}
		}
	}
}

// planExcess unloads idle targets after the limit fell. Loads with an unknown outcome do not make others leave.
func (s *State) planExcess(now time.Time) {
	if s.doc == nil || !s.listing.have {
		return
	}
	over := s.ledger.Reserved() - s.ledger.Limit() - s.leavingBytes()
	for _, m := range s.models {
		over -= s.ledger.Entry(reserveKey(m))
		for _, t := range m.targets() {
			if t.phase == doubtful && !t.unload && !m.base.unload {
				over -= s.ledger.Entry(t.id)
			}
		}
	}
	if over <= 0 {
		return
	}
	candidates := s.candidates(now, nil, true)
	chosen, ok := memory.Evict(over, candidates)
	if !ok {
		chosen = candidates
	}
	s.mark(chosen)
}

// planIdle marks idle models whose unload the policy decides. Adapters hold no accelerators and leave with their base
// or for lack of memory.
func (s *State) planIdle(now time.Time) {
	if s.doc == nil || s.listing.suspect {
		return
	}
	for _, m := range s.sorted() {
		if s.isIdle(now, m) && s.o.Policy.ShouldUnload(&m.base.arrivals, now.Sub(m.base.lastUse), s.prices(m)) {
			m.base.unload = true
			s.stats.IdleUnloads++
		}
	}
}

// isIdle says that the base is loaded and that no request uses or awaits it or one of its adapters.
func (s *State) isIdle(now time.Time, m *model) bool {
	return m.base.phase == resident && !m.base.unload && m.used() == 0 && !m.wanted() && !now.Before(m.base.protected)
}

func (s *State) prices(m *model) idle.CostParams {
	return idle.CostParams{Weights: s.doc.Config.Weights, Accelerators: max(1, m.cfg.Accelerators), ColdStart: s.loadTime(m)}
}

// leavingBytes returns the memory of targets that are marked for unloading or are being unloaded.
func (s *State) leavingBytes() int64 {
	sum := int64(0)
	for _, m := range s.models {
		for _, t := range m.targets() {
			if t.phase != absent && (m.base.unload || t.unload || t.phase == unloading || m.base.phase == unloading) {
				sum += s.ledger.Entry(t.id)
			}
		}
	}
	return sum
}

// possible says that a target of the given size can be loaded now or after idle targets were unloaded.
func (s *State) possible(now time.Time, m *model, t *target, need int64) bool {
	_, ok := s.evictions(now, m, t, need)
	return ok
}

// evict marks the idle targets that make room.
func (s *State) evict(now time.Time, m *model, t *target, need int64) {
	chosen, _ := s.evictions(now, m, t, need)
	s.mark(chosen)
}

func (s *State) evictions(now time.Time, m *model, t *target, need int64) ([]memory.Candidate, bool) {
	missing := need - (s.ledger.Limit() - s.ledger.Reserved()) - s.leavingBytes()
	if missing <= 0 {
		return nil, true
	}
	if t != m.base {
		// Unloading adapters first keeps a small adapter from evicting a whole model.
		if chosen, ok := memory.Evict(missing, s.candidates(now, m, false)); ok {
			return chosen, true
		}
	}
	return memory.Evict(missing, s.candidates(now, m, true))
}

// candidates returns the idle targets that may be unloaded, except the base model keep. With bases, an idle base counts
// together with its adapters, which leave with it.
func (s *State) candidates(now time.Time, keep *model, bases bool) []memory.Candidate {
	var cs []memory.Candidate
	for _, m := range s.sorted() {
		if m.base.phase != resident || m.base.unload || m.order != nil {
			continue
		}
		if bases && m != keep && s.isIdle(now, m) {
			cs = append(cs, s.candidate(now, m))
			continue
		}
		for _, t := range m.targets()[1:] {
			if t.phase == resident && !t.unload && t.inUse == 0 && !t.wanted && !now.Before(t.protected) {
				// Loading an adapter again takes milliseconds: its value is next to nothing, the least recently used first.
				value := 1 / (1e6 + now.Sub(t.lastUse).Seconds())
				cs = append(cs, memory.Candidate{Target: t.id, Bytes: s.ledger.Entry(t.id), Value: value})
			}
		}
	}
	return cs
}

func (s *State) candidate(now time.Time, m *model) memory.Candidate {
	bytes := int64(0)
	for _, t := range m.targets() {
		bytes += s.ledger.Entry(t.id)
	}
	value := idle.UnloadCost(&m.base.arrivals, now.Sub(m.base.lastUse), s.prices(m))
	return memory.Candidate{Target: m.base.id, Bytes: bytes, Value: value / max(1, float64(bytes)/float64(1<<30))}
}

func (s *State) mark(cs []memory.Candidate) {
	for _, c := range cs {
		_, t := s.find(c.Target)
		t.unload = true
		s.stats.Evictions++
	}
}

// planUnloads sends the unload orders of marked targets: one for each model, adapters before their base.
func (s *State) planUnloads(now time.Time) {
	for _, m := range s.sorted() {
		if !s.clean(m) || now.Before(m.unloadWait) {
			continue
		}
		if t := s.nextUnload(m); t != nil {
			s.send(now, m, t, engine.OrderUnload)
		}
	}
}

// nextUnload returns the next target of a model to unload, or nil. A base waits until its adapters are gone.
func (s *State) nextUnload(m *model) *target {
	ts := m.targets()
	for _, t := range ts[1:] {
		if (t.unload || m.base.unload || t.phase == unloading) && s.mayUnload(t) && t.inUse == 0 {
			return t
		}
	}
	for _, t := range ts[1:] {
		if t.phase != absent {
			return nil
		}
	}
	if (m.base.unload || m.base.phase == unloading) && s.mayUnload(m.base) && m.used() == 0 {
		return m.base
	}
	return nil
}

// mayUnload says that an unload order settles the target. A load with an unknown outcome could take effect after the
// unload unless the engine refuses old fencing numbers.
func (s *State) mayUnload(t *target) bool {
	return t.phase == resident || t.phase == unloading || t.phase == doubtful && s.trusted()
}
