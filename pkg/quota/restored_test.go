package quota

import (
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
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

// Guards against a restarted holder that takes its shard back with what a copy says that it has granted.
func TestRestartedHolderOfRestoredStore(t *testing.T) {
	first := NewLease(0, "a", 1, 0)
	first.Read(second, Stored{Era: 1})
	w, _ := first.Write(second, 0)
	copied := Stored{Revision: revisionsPerEra + 3, Era: 1, Spec: w.Spec}
	restarted := NewLease(0, "a", 2, 0)
	restarted.Read(2*second, copied)
	if _, ok := restarted.Write(2*second, 0); !ok {
		t.Fatal("does not take its lease back at once although the store was not restored")
	}
	copied.Revision, copied.Era = 2*revisionsPerEra+3, 2
	restarted = NewLease(0, "a", 2, 0)
	restarted.Read(2*second, copied)
	for at := 2 * second; at < 2*second+boottime.Instant(DefaultWindow); at += second / 4 {
		if _, ok := restarted.Write(at, 0); ok {
			t.Fatalf("takes over %s after its start", at.Sub(2*second))
		}
	}
	if _, ok := restarted.Write(13*second, 0); !ok {
		t.Fatal("does not take over after a window")
	}
}
