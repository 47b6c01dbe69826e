package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// busy and quiet are times between two requests at a router. With few requests most retries come from the burst.
const (
	busy  = 40 * time.Millisecond
	quiet = 400 * time.Millisecond
)

// Each spec guards against retries of all routers that exceed the voted limit within a sliding window while upstreams
// reject their requests. The comments name what made them exceed it.
var _ = Describe("the limit on retries of all routers", func() {
	var w *limitSim
	BeforeEach(func() { w = newLimitSim(1, busy) })
	expectWithinLimit := func() {
		GinkgoHelper()
		w.run()
		excess, from := w.worstExcess()
		Expect(excess).To(BeZero(), "repeats beyond the limit in the window from %v", from)
	}

	It("holds without faults", func() { expectWithinLimit() })

	// Guards against a limit that is kept by hardly ever retrying.
	It("allows half of the ratio and of the burst in each window", func() {
		expectWithinLimit()
		from := now.Add(30 * time.Second)
		Expect(countWithin(w.repeats, from)).To(BeNumerically(">", (simRatio*float64(countWithin(w.requests, from))+simBurst)/2))
	})

	// Guards against routers that cannot retry the requests that a sudden failure interrupts.
	It("allows half of the burst at once when upstreams begin to fail", func() {
		w.healthy = func(elapsed time.Duration) bool { return elapsed < 30*time.Second }
		expectWithinLimit()
		n := 0
		for _, t := range w.repeats {
			if t.Before(now.Add(31 * time.Second)) {
				n++
			}
		}
		Expect(n).To(BeNumerically(">", simBurst/2))
	})

	// A restarted router used its part of the burst again within the window.
	It("holds when routers restart", func() {
		for _, t := range []time.Duration{20, 25, 31} {
			w.at(t*time.Second, func() {
				for i := range simRouters {
					w.restart(i, false, 500*time.Millisecond)
				}
			})
		}
		expectWithinLimit()
	})

	// The routers that remained took larger parts while the retries of the killed ones still counted.
	It("holds when routers are down for a while", func() {
		w.at(22*time.Second, func() {
			for i := range simRouters - 1 {
				w.restart(i, false, 6*time.Second)
			}
		})
		expectWithinLimit()
	})

	It("holds when routers are restarted one after the other", func() {
		for i := range simRouters {
			w.at(20*time.Second+time.Duration(i)*1300*time.Millisecond, func() { w.restart(i, true, 500*time.Millisecond) })
		}
		expectWithinLimit()
	})

	Describe("with the number of routers not the same in all reports", func() {
		BeforeEach(func() {
			w = newLimitSim(1, quiet)
			w.healthy = func(elapsed time.Duration) bool { return elapsed < 30*time.Second } // routers have full stores then
		})

		// Routers took the number of routers from the report that came last.
		It("holds when agents restart", func() {
			for t := 20 * time.Second; t < 35*time.Second; t += 100 * time.Millisecond {
				w.at(t, func() { w.agents[w.rng.IntN(simAgents)] = map[string]time.Time{} })
			}
			expectWithinLimit()
		})

		It("holds when routers reach only some agents", func() {
			w.at(18*time.Second, func() { w.cut = func(router, agent int) bool { return (router < 2) != (agent < 4) } })
			expectWithinLimit()
		})

		It("holds when routers start while they reach only some agents", func() {
			w.cut = func(router, agent int) bool { return (router < 1) != (agent < 3) }
			w.at(27*time.Second, func() { w.cut = func(int, int) bool { return false } })
			expectWithinLimit()
		})

		It("holds when routers have been down", func() {
			for i := range simRouters - 1 {
				w.at(15*time.Second, func() { w.restart(i, false, 12*time.Second) })
			}
			expectWithinLimit()
		})
	})

	It("holds when routers are added and replaced", func() {
		w.at(22*time.Second, func() { w.addRouter("added-1") })
		w.at(24*time.Second, func() {
			w.stop(0, false)
			w.addRouter("replacement")
		})
		expectWithinLimit()
	})

	// Retries were counted over less than the window, so two bursts 9.1 s apart were both allowed.
	It("holds for bursts that are nearly a window apart", func() {
		w.healthy = func(elapsed time.Duration) bool {
			inBurst := func(from time.Duration) bool { return elapsed >= from && elapsed < from+900*time.Millisecond }
			return !inBurst(20050*time.Millisecond) && !inBurst(29150*time.Millisecond)
		}
		expectWithinLimit()
	})

	// Retries counted when they were decided, not when they were sent.
	It("holds when retries wait before they are sent", func() {
		w.sendDelay = func() time.Duration { // all of them are sent at the same moment, such as when a model is loaded
			elapsed := w.now.Sub(now)
			if elapsed > 20*time.Second && elapsed < 25*time.Second {
				return 25*time.Second - elapsed
			}
			return 0
		}
		expectWithinLimit()
	})

	It("holds under random faults", func() {
		for seed := range uint64(60) {
			w = newLimitSim(seed, []time.Duration{busy, quiet}[seed%2])
			w.playRandomFaults()
			w.run()
			excess, from := w.worstExcess()
			Expect(excess).To(BeZero(), "seed %d: repeats beyond the limit in the window from %v", seed, from)
		}
	})
})

// playRandomFaults schedules three to eight faults in the first 35 s.
func (w *limitSim) playRandomFaults() {
	for range 3 + w.rng.IntN(7) {
		at := time.Duration(w.rng.Int64N(int64(35 * time.Second)))
		length := time.Duration(w.rng.Int64N(int64(12 * time.Second)))
		router, agent, splitRouters, splitAgents := w.rng.IntN(simRouters), w.rng.IntN(simAgents), w.rng.IntN(simRouters), w.rng.IntN(simAgents)
		switch w.rng.IntN(7) {
		case 0:
			w.at(at, func() { w.restart(router, w.rng.IntN(2) == 0, length/4) })
		case 1:
			w.at(at, func() {
				for i := range simRouters {
					w.restart(i, false, 500*time.Millisecond)
				}
			})
		case 2:
			w.at(at, func() { w.agents[agent] = map[string]time.Time{} })
		case 3:
			w.at(at, func() { w.cut = func(r, a int) bool { return (r <= splitRouters) != (a <= splitAgents) } })
			w.at(at+length, func() { w.cut = func(int, int) bool { return false } })
		case 4:
			w.at(at, func() { w.addRouter("added-" + at.String()) })
		case 5:
			w.healthy = func(elapsed time.Duration) bool { return elapsed < at }
		case 6:
			w.at(at, func() {
				due := w.now.Add(length / 4)
				w.sendDelay = func() time.Duration { return max(0, due.Sub(w.now)) }
			})
		}
	}
}
