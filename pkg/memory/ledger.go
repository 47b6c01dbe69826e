// Package memory keeps the ledger of an upstream's memory. Memory is reserved before a load order is sent and released
// only after the engine confirmed that the target is gone, so that loads in progress and unknown outcomes count.
package memory

import (
	"cmp"
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

// Ledger records the memory reserved on one upstream, in bytes. The zero value has the limit 0.
type Ledger struct {
	limit    int64
	reserved int64
	entries  map[engine.Target]int64
}

// Limit returns the smaller of the engine's capacity and the configured limit per upstream, in bytes. A configured
// limit of 0 or less allows no loads.
func Limit(capacity, configured int64) int64 { return max(0, min(capacity, configured)) }

// SetLimit sets the limit. Entries stay reserved; after a decrease, Excess returns how much has to be unloaded.
func (l *Ledger) SetLimit(bytes int64) { l.limit = max(0, bytes) }

// Limit returns the limit in bytes.
func (l *Ledger) Limit() int64 { return l.limit }

// Reserved returns the sum of all entries in bytes.
func (l *Ledger) Reserved() int64 { return l.reserved }

// Free returns the unreserved memory below the limit in bytes; it is never negative.
func (l *Ledger) Free() int64 { return max(0, l.limit-l.reserved) }

// Excess returns by how many bytes the entries exceed the limit; it is 0 unless the limit was lowered or ForceReserve
// exceeded it.
func (l *Ledger) Excess() int64 { return max(0, l.reserved-l.limit) }

// Entry returns the bytes reserved for a target, or 0 if there is no entry.
func (l *Ledger) Entry(t engine.Target) int64 { return l.entries[t] }

// Reserve reserves memory for a target that is about to be loaded and reports whether enough was available. It succeeds
// without a change if the target has an entry already, and refuses negative sizes.
func (l *Ledger) Reserve(t engine.Target, bytes int64) bool {
	if _, ok := l.entries[t]; ok {
		return true
	}
	if bytes < 0 || bytes > l.limit-l.reserved {
		return false
	}
	l.set(t, bytes)
	return true
}

// ForceReserve reserves memory for a target that is or may be loaded already, even beyond the limit. It never makes an
// entry smaller.
func (l *Ledger) ForceReserve(t engine.Target, bytes int64) {
	if old, ok := l.entries[t]; !ok || bytes > old {
		l.set(t, max(0, bytes))
	}
}

func (l *Ledger) set(t engine.Target, bytes int64) {
	if l.entries == nil {
		l.entries = map[engine.Target]int64{}
	}
	l.reserved += bytes - l.entries[t]
	l.entries[t] = bytes
}

// Release removes the entry of a target that the engine confirmed to be gone, or whose load is confirmed to have had no
// effect.
func (l *Ledger) Release(t engine.Target) {
	l.reserved -= l.entries[t]
	delete(l.entries, t)
}

// Candidate is an idle target that may be unloaded.
type Candidate struct {
	Target engine.Target
	// Bytes is the memory that unloading the target frees, including targets that have to be unloaded with it.
	Bytes int64
	// Value is the expected cost of unloading the target now. The candidate with the lowest value is unloaded first.
	Value float64
}

// Evict returns the candidates to unload so that at least need bytes become free, the lowest value first, and reports
// whether that is possible. It omits candidates that larger ones chosen later make unnecessary, and does not change its
// argument.
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
	// Unnecessary candidates are removed from the choice, the most valuable first.
	for i := len(chosen) - 1; i >= 0; i-- {
		if sum-chosen[i].Bytes >= need {
			sum -= chosen[i].Bytes
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}
