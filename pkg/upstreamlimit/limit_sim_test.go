package upstreamlimit

import (
	"fmt"
	"testing"
	"time"
)

func TestSizes(t *testing.T) {
	for _, routers := range []int{4, 27, 390} {
		for _, n := range []float64{0.2, 1.1, 10, 200} {
			t.Run(fmt.Sprint(routers, "/", n), func(t *testing.T) {
				t.Parallel()
				w := newWorld(1, scenario{routers: routers, sidecars: 1, sole: true, n: n, demand: 3*n + 5, skew: 0.5, loss: 0.01, late: 0.02,
					duration: 60 * time.Second, patience: time.Second})
				w.run()
				t.Log(w.measure())
			})
		}
	}
}
