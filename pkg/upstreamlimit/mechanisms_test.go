package upstreamlimit

import (
	"testing"
	"time"
)

// TestMechanisms shows what each mechanism is for: the run is sound with it and not without it.
func TestMechanisms(t *testing.T) {
	belowLimit := func(w *world, m measure) bool { return m.worst <= 1 }
	servedMost := func(w *world, m measure) bool { return m.part >= 0.85 }
	base := scenario{routers: 27, sidecars: 1, sole: true, n: 20, demand: 60, skew: 0.5, loss: 0.01, duration: 22 * time.Second, patience: time.Second}
	each := func(every time.Duration, f func(w *world)) func(w *world) {
		var again func(w *world)
		again = func(w *world) { w.after(nil, every, func() { f(w); again(w) }) }
		return again
	}
	for name, c := range map[string]struct {
		without hooks
		change  func(s *scenario)
		sound   func(w *world, m measure) bool
	}{
		"bucket empty at the start": {hooks{fullStart: true}, func(s *scenario) {
			s.script = each(1500*time.Millisecond, func(w *world) { w.sidecars[0].restart(10 * time.Millisecond) })
		}, belowLimit},
		"end of tokens": {hooks{noEnd: true}, func(s *scenario) {
			s.script = each(2*time.Second, func(w *world) {
				for _, r := range w.routers {
					r.frozenUntil = w.now + time.Second
				}
			})
		}, func(w *world, m measure) bool { return m.oldest < Validity }},
		"each request once": {hooks{noRepeatCheck: true}, func(s *scenario) { s.loss = 0.1 }, func(w *world, m measure) bool { return m.part >= 0.95 }},
		"slots": {hooks{noSlots: true}, func(s *scenario) {
			s.script = func(w *world) { w.after(nil, 5*time.Second, func() { w.sidecars[0].dead = true }) }
		}, belowLimit},
		"sends without a holder": {hooks{noFallback: true}, func(s *scenario) {
			s.script = func(w *world) { w.after(nil, 5*time.Second, func() { w.sidecars[0].dead = true }) }
		}, func(w *world, m measure) bool { return m.part > 0.2 }},
		"turns":      {hooks{noTurns: true}, func(s *scenario) { s.skew = 0; s.demand = 200 }, func(w *world, m measure) bool { return m.gap < 8*time.Second }},
		"priorities": {hooks{noPriority: true}, func(s *scenario) { s.skew, s.demand = 0, 50 }, func(w *world, m measure) bool { return m.urgent > 0.8 }},
		"order of facts": {hooks{noOrder: true}, func(s *scenario) {
			s.n, s.demand = 200, 300
			s.script = func(w *world) {
				w.engine.service, w.engine.early = 2*time.Second, 1
				each(12*time.Second, func(w *world) {
					w.name(2)
					w.after(nil, 9*time.Second, func() { w.name(w.n) })
				})(w)
			}
		}, belowLimit},
		"slow end": {hooks{noRamp: true}, func(s *scenario) {
			s.demand, s.duration = 400, 17*time.Second
			s.script = func(w *world) { w.after(nil, 15*time.Second, func() { w.name(-1) }) }
		}, func(w *world, m measure) bool { return w.between(15*time.Second, 17*time.Second) < 200 }},
		"few tokens while the engine stands still": {hooks{noStall: true}, func(s *scenario) {
			s.script = func(w *world) {
				w.after(nil, 10*time.Second, func() { w.engine.stalledUntil = w.now + 6*time.Second })
			}
		}, belowLimit},
		"few slots while the VM may stand still": {hooks{noStall: true}, func(s *scenario) {
			s.demand, s.skew = 350, 0
			s.script = func(w *world) {
				w.after(nil, 10*time.Second, func() {
					w.engine.stalledUntil = w.now + 8*time.Second
					w.sidecars[0].frozenUntil = w.engine.stalledUntil
				})
			}
		}, belowLimit},
		"returned tokens": {hooks{noReturn: true}, func(s *scenario) { s.patience = 40 * time.Millisecond }, servedMost},
		"debt": {hooks{noSpent: true}, func(s *scenario) {
			s.demand = 400
			s.script = each(400*time.Millisecond, func(w *world) { w.routers[w.rand.IntN(len(w.routers))].restart(0) })
		}, func(w *world, m measure) bool { return m.part <= 1.05 }},
		"slow start after a take-over": {hooks{noSlowStart: true}, func(s *scenario) {
			s.sole, s.sidecars, s.n, s.demand = false, 3, 100, 300
			s.script = func(w *world) {
				w.after(nil, 15*time.Second, func() {
					next := func(p *proc, later time.Duration) { w.after(nil, later, func() { p.list++ }) }
					next(w.sidecars[0], 4*time.Second)
					next(w.sidecars[1], 0)
					for i, r := range w.routers {
						next(r, time.Duration(i%2)*4*time.Second)
					}
				})
			}
		}, belowLimit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := base
			c.change(&s)
			with := newWorld(1, s)
			with.run()
			if m := with.measure(); !c.sound(with, m) {
				t.Errorf("%s with it: %s", name, m)
			} else {
				t.Log(name, "with it:", m)
			}
			s.hooks = c.without
			without := newWorld(1, s)
			without.run()
			if m := without.measure(); c.sound(without, m) {
				t.Errorf("%s sound without it: %s", name, m)
			} else {
				t.Log(name, "without:", m)
			}
		})
	}
}

func (w *world) between(from, until time.Duration) int {
	n := 0
	for _, a := range w.engine.arrivals {
		if a.at >= from && a.at < until {
			n++
		}
	}
	return n
}
