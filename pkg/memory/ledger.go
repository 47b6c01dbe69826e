// Package memory keeps the ledger of an upstream's memory. An entry is booked before a load order is sent and freed
// only after the engine confirmed that the target is gone, so that loads in flight and unknown outcomes count.
package memory

import (
	"cmp"
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

// Ledger is the memory of one upstream, all figures in bytes. The zero value has the limit 0.
type Ledger struct {
	limit   int64
	booked  int64
	entries map[engine.Target]int64
}

// Limit returns the smaller of the engine's capacity and the configured limit per upstream, bytes. A configured limit
// of 0 or less allows nothing.
func Limit(capacity, configured int64) int64 { return max(0, min(capacity, configured)) }

// SetLimit changes the limit. Entries stay booked; Excess says how much has to be unloaded after a decrease.
func (l *Ledger) SetLimit(bytes int64) { l.limit = max(0, bytes) }

// Limit returns the limit, bytes.
func (l *Ledger) Limit() int64 { return l.limit }

// Reserved returns the sum of all entries, bytes.
func (l *Ledger) Reserved() int64 { return l.booked }

// Free returns what is left below the limit, bytes; it is never negative.
func (l *Ledger) Free() int64 { return max(0, l.limit-l.booked) }

// Excess returns by how much the entries exceed the limit, bytes; it is 0 unless the limit fell or Force was needed.
func (l *Ledger) Excess() int64 { return max(0, l.booked-l.limit) }

// Entry returns the bytes booked for a target, 0 for none.
func (l *Ledger) Entry(t engine.Target) int64 { return l.entries[t] }

// Reserve books a target that is about to be loaded and reports whether there was room. Booking a target again changes
// nothing and succeeds. Negative sizes are refused.
func (l *Ledger) Reserve(t engine.Target, bytes int64) bool {
	if _, ok := l.entries[t]; ok {
		return true
	}
	if bytes < 0 || bytes > l.limit-l.booked {
		return false
	}
	l.set(t, bytes)
	return true
}

// ForceReserve books what the engine holds or may hold already, even beyond the limit. An entry never shrinks by it.
func (l *Ledger) ForceReserve(t engine.Target, bytes int64) {
	if old, ok := l.entries[t]; !ok || bytes > old {
		l.set(t, max(0, bytes))
	}
}

func (l *Ledger) set(t engine.Target, bytes int64) {
	if l.entries == nil {
		l.entries = map[engine.Target]int64{}
	}
	l.booked += bytes - l.entries[t]
	l.entries[t] = bytes
}

// Release removes the entry of a target that the engine confirmed to be gone, or whose load was proved not to have taken
// effect.
func (l *Ledger) Release(t engine.Target) {
	l.booked -= l.entries[t]
	delete(l.entries, t)
}

// Candidate is an idle target that may be unloaded.
type Candidate struct {
	Target engine.Target
	// Bytes is what unloading the target frees, including what has to be unloaded with it.
	Bytes int64
	// Value is the expected cost of unloading the target now. The lowest goes first.
	Value float64
}

// Evict returns the candidates to unload so that at least need bytes become free, the lowest value first, and reports
// whether that is possible. Candidates that turn out unnecessary after larger ones were chosen are left out. It does
// not change its argument.
func Evict(need int64, candidates []Candidate) ([]Candidate, bool) {
	if need <= 0 {
		return nil, true
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Value, b.Value), cmp.Compare(a.Target.Model, b.Target.Model), cmp.Compare(a.Target.Adapter, b.Target.Adapter))
	})
	var chosen []Candidate
	sum := int64(0)
	for _, c := range sorted {
		if sum >= need {
			break
		}
		chosen = append(chosen, c)
		sum += c.Bytes
	}
	if sum < need {
		return nil, false
	}
	// The most valuable ones are dropped first from the choice.
	for i := len(chosen) - 1; i >= 0; i-- {
		if sum-chosen[i].Bytes >= need {
			sum -= chosen[i].Bytes
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}
