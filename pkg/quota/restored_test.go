package quota

import (
	"testing"
	"time"
)

// revisionsPerEra separates the revisions of two eras in the simulated store.
const revisionsPerEra = 1_000_000

// restore replaces the lease objects with a copy and begins a new era.
func (w *world) restore(copied [Shards]Stored, revision uint64) {
	w.era++
	w.revision = w.era*revisionsPerEra + revision%revisionsPerEra
	for i := range copied {
		copied[i].Era = w.era
		if copied[i].Revision != 0 {
			copied[i].Revision = w.era*revisionsPerEra + copied[i].Revision%revisionsPerEra
		}
	}
	w.objects = copied
}

// Guards against more than the limit in a window because the store comes back from a copy: the holder of a shard loses its
// lease with what it has granted, or another process takes the shard over while it still grants.
func TestLimitHoldsWhenStoreIsRestored(t *testing.T) {
	type state struct {
		objects  [Shards]Stored
		revision uint64
	}
	for seed := range uint64(4) {
		w := newWorld(seed, 12, 10)
		empty := state{w.objects, w.revision}
		var states []state // one for each half of a second
		tenants := testTenants(8)
		newTraffic(w, tenants, 3)
		restoreAt := 8 * time.Second
		for now := time.Duration(0); now < 60*time.Second; now += 500 * time.Millisecond {
			w.run(now)
			states = append(states, state{w.objects, w.revision})
			if now != restoreAt {
				continue
			}
			from := states[max(0, len(states)-1-w.rand.IntN(18))]
			if w.rand.IntN(4) == 0 {
				from = empty
			}
			w.storeDown = true
			w.at(nil, time.Duration(100+w.rand.IntN(1900))*time.Millisecond, func() {
				w.storeDown = false
				w.restore(from.objects, from.revision)
			})
			restoreAt += time.Duration(8+w.rand.IntN(12)) * 500 * time.Millisecond
		}
		for _, tenant := range tenants {
			if worst, limit := w.worst(tenant.Name, DefaultWindow), limitOf(tenant); worst > limit {
				t.Errorf("seed %d, %s: %.0f in a window, limit %.0f", seed, tenant.Name, worst, limit)
			}
			total, rate := 0.0, tenant.Rate
			for _, u := range w.used[tenant.Name] {
				total += u.amount
			}
			if served := total / 60 / rate; served < 0.5 {
				t.Errorf("seed %d, %s: %.2f of the rate served", seed, tenant.Name, served)
			}
		}
	}
}
