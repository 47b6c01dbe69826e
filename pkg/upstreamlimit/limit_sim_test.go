package upstreamlimit

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 1, "number of seeds that TestFaults plays")

func TestSizes(t *testing.T) {
	for _, routers := range []int{4, 27, 390} {
		for _, n := range []float64{0.2, 1.1, 10, 200} {
			t.Run(fmt.Sprint(routers, "/", n), func(t *testing.T) {
				t.Parallel()
				duration := time.Minute
				switch {
				case n > 10:
					duration = 12 * time.Second // they take as long as all others together
				case n >= 10:
					duration = 20 * time.Second
				}
				w := newWorld(1, scenario{routers: routers, sidecars: 1, sole: true, n: n, demand: 3*n + 5, skew: 0.5, loss: 0.01, late: 0.02,
					duration: duration, patience: time.Second})
				w.run()
				m := w.measure()
				t.Log(t.Name(), m)
				if m.worst > 1 {
					t.Error("above the limit")
				}
				if m.part < 0.85 {
					t.Error("too little is served")
				}
			})
		}
	}
}

// TestFaults plays faults of all kinds at random. With more than one seed it plays each kind alone too, and longer.
func TestFaults(t *testing.T) {
	kinds, duration := map[string]faults{"all": {every: time.Second, processes: true, outages: true, changes: true, lists: true, stalls: true}}, 30*time.Second
	if *seeds > 1 {
		duration = 60 * time.Second
		kinds["processes"] = faults{every: 2 * time.Second, processes: true}
		kinds["outages"] = faults{every: 15 * time.Second, outages: true}
		kinds["changes"] = faults{every: 8 * time.Second, changes: true}
		kinds["stalls"] = faults{every: 12 * time.Second, stalls: true}
		kinds["lists"] = faults{every: 8 * time.Second, lists: true}
	}
	for _, routers := range []int{4, 27, 390} {
		for _, n := range []float64{0.2, 1.1, 10, 60} {
			if routers > 100 && n > 1.1 && *seeds == 1 {
				continue // they take as long as all others together
			}
			if routers > 100 && *seeds == 1 {
				duration = 20 * time.Second
			}
			for kind, f := range kinds {
				for seed := range *seeds {
					t.Run(fmt.Sprint(routers, "/", n, "/", kind, "/", seed), func(t *testing.T) {
						t.Parallel()
						w := newWorld(uint64(seed+1), scenario{routers: routers, sidecars: 3, sole: !f.lists, n: n, demand: 3*n + 5, skew: 0.5, loss: 0.02, late: 0.02,
							duration: duration, patience: time.Second, faults: f})
						w.run()
						m := w.measure()
						t.Log(t.Name(), m)
						if m.worst > 1 {
							t.Error("above the limit")
						}
					})
				}
			}
		}
	}
}
