package upstreamlimit

import (
	"fmt"
	"testing"
	"time"
)

// TestSlowEngine guards against an engine in need that gets a part of its rate only, because its answers take long and it
// counts as one that stands still between them.
func TestSlowEngine(t *testing.T) {
	for _, stall := range []time.Duration{0, 3 * time.Second} {
		for _, n := range []float64{1.1, 3, 10, 60} {
			for _, service := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
				t.Run(fmt.Sprint(n, "/", service, "/", stall), func(t *testing.T) {
					t.Parallel()
					w := newWorld(1, scenario{routers: 4, sidecars: 1, sole: true, n: n, demand: 3*n + 5, skew: 0.5, loss: 0.01, late: 0.02,
						duration: 40 * time.Second, patience: time.Second,
						script: func(w *world) {
							w.engine.service, w.engine.steady = service, true
							w.after(nil, 10*time.Second, func() { w.engine.stalledUntil = w.now + stall })
						}})
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
}
