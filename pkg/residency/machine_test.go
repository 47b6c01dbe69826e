package residency_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

var names = []string{"m1", "m2", "m3"}

func newWorld(seed uint64, trust bool) *world {
	w := &world{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), trust: trust, faulty: true, objects: map[string]store.Object{}}
	w.publish(map[string]int{"m1": 1, "m2": 2, "m3": 1}, "first")
	for range 3 {
		w.addVM()
	}
	return w
}

// publish puts a configuration in force; agents learn of it up to 20 s later.
func (w *world) publish(limits map[string]int, digest string) {
	version := uint64(1)
	if w.doc != nil {
		version = w.doc.Version + 1
	}
	w.doc = document(version, 18*gib, 0, names...)
	w.doc.Digest = digest
	w.doc.Config.Weights = config.Weights{ColdStart: 0.001, IdleAccelerator: 1}
	for i := range w.doc.Config.Models {
		w.doc.Config.Models[i].MaxReplicas = limits[w.doc.Config.Models[i].Name]
	}
	w.limits = limits
	for _, n := range w.vms {
		n.send(w.upTo(20*time.Second), residency.Configured{Document: w.doc})
	}
}

// change votes a new limit for one model as the operators' tool does: it lowers the ceiling, waits for the holders
// beyond it, and publishes then. Several changes may race for the next version.
func (w *world) change(model string, replicas int) {
	next := w.doc.Version + 1
	w.changes++
	stamp := config.Stamp{Version: next, Digest: fmt.Sprint("change ", w.changes)}
	limits := maps.Clone(w.limits)
	limits[model] = replicas
	var try func()
	try = func() {
		if w.doc.Version+1 != next {
			return
		}
		o := w.objects[grant.Key(model)]
		obj, _ := grant.Decode(o.Value) // an absent object is empty
		if replicas < w.limits[model] {
			ceiling := replicas
			if o.Version != store.MustNotExist {
				ceiling = min(replicas, obj.Ceiling) // raised only after the publication
			}
			if lowered, changed := grant.SetCeiling(obj, ceiling, stamp); changed {
				_, _ = w.put(grant.Key(model), lowered.Encode(), o.Version)
				obj = lowered
			}
		}
		if replicas < w.limits[model] && obj.Excess() > 0 {
			w.after(time.Second, try)
			return
		}
		w.publish(limits, stamp.Digest)
	}
	try()
}

func (n *node) want(t engine.Target) {
	n.open[t]++
	n.send(0, residency.LoadRequested{Target: t, Deadline: n.w.now.Add(n.w.upTo(20 * time.Second))})
}

// disturb does one random thing.
func (w *world) disturb(t *rapid.T) {
	n := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
	model := rapid.SampledFrom(names).Draw(t, "model")
	switch k := rapid.IntRange(0, 30).Draw(t, "what"); {
	case k < 12:
		n.want(engine.Target{Model: model})
	case k < 17:
		n.want(engine.Target{Model: model, Adapter: model + "-a"})
	case k < 19:
		n.crash()
	case k < 21:
		n.start()
	case k < 22:
		n.paused = w.now.Add(w.upTo(90 * time.Second))
	case k < 24:
		w.setOutage(!w.outage)
	case k < 26:
		w.change(model, rapid.IntRange(0, 2).Draw(t, "replicas"))
	case k < 27:
		w.kill(n)
		w.addVM()
	case k < 28:
		n.send(0, residency.Drain{})
	default:
		w.announce()
	}
}

// settle ends the faults and lets everything that is on the way arrive.
func (w *world) settle() {
	w.faulty = false
	w.setOutage(false)
	for range 100 {
		w.run(2 * time.Second)
		w.announce()
	}
}

func checkWorld(t *rapid.T, w *world) {
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		w.disturb(t)
		w.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		if w.broken != "" {
			t.Fatalf("limit broken: %s", w.broken)
		}
	}
	w.settle()
	w.checkLive(t)
}

// checkLive finds wedged agents: without faults, a wanted model gets ready or refused, and a drained VM becomes empty.
func (w *world) checkLive(t *rapid.T) {
	w.addVM()
	w.run(5 * time.Second)
	for _, n := range w.vms {
		n.want(m2)
	}
	w.run(30 * time.Second)
	for _, n := range w.vms {
		if n.open[m2] != 0 {
			t.Fatalf("%s neither served nor refused a request", n.vm)
		}
		n.send(0, residency.Drain{})
	}
	w.run(time.Minute)
	for _, n := range w.vms {
		if !n.state.Drained() || n.state.MemoryBooked() != 0 || len(n.occupied()) != 0 {
			t.Fatalf("%s is not empty after draining: engine %v, agent %+v", n.vm, n.occupied(), n.state.Status(w.now))
		}
	}
	for key, o := range w.objects {
		obj, _ := grant.Decode(o.Value)
		for _, n := range w.vms {
			if _, i := obj.Find(n.vm); i >= 0 {
				t.Fatalf("%s still has a grant of the drained %s", key, n.vm)
			}
		}
	}
	if w.broken != "" {
		t.Fatalf("limit broken: %s", w.broken)
	}
}

// Guards against more replicas than the ceiling, overcommitted memory and wedged agents under lost and late messages,
// pauses, restarts, engine crashes, VM loss and changes of limits, at engines that ignore fencing numbers; and against
// a run in which nothing is loaded.
func TestLimitsWithoutFencing(t *testing.T) { checkRuns(t, false) }

// Guards against the same where the engine refuses old fencing numbers and the agent relies on it.
func TestLimitsWithFencing(t *testing.T) { checkRuns(t, true) }

func checkRuns(t *testing.T, trust bool) {
	runs, loads, ready := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), trust)
		checkWorld(t, w)
		runs, loads, ready = runs+1, loads+w.loads, ready+w.ready
	})
	if loads < 2*runs || ready < 2*runs {
		t.Fatalf("%d loads and %d requests served in %d runs", loads, ready, runs)
	}
}
