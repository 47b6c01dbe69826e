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

var modelNames = []string{"m1", "m2", "m3"}

func newWorld(seed uint64, trust bool) *world {
	w := &world{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), trustFence: trust, faulty: true, objects: map[string]store.Object{}}
	w.publish(map[string]int{"m1": 1, "m2": 2, "m3": 1}, "first")
	for range 3 {
		w.addVM()
	}
	return w
}

// publish activates a configuration; agents receive it up to 20 s later.
func (w *world) publish(limits map[string]int, digest string) {
	version := uint64(1)
	if w.doc != nil {
		version = w.doc.Version + 1
	}
	w.doc = document(version, 18*gib, 0, modelNames...)
	w.doc.Digest = digest
	w.doc.Config.Weights = config.Weights{ColdStart: 0.001, IdleAccelerator: 1}
	for i := range w.doc.Config.Models {
		w.doc.Config.Models[i].MaxReplicas = limits[w.doc.Config.Models[i].Name]
	}
	w.limits = limits
	for _, n := range w.vms {
		n.send(w.randomUpTo(20*time.Second), residency.Configured{Document: w.doc})
	}
}

// changeLimit sets a new replica limit for one model as the operators' tool does: it lowers the ceiling, waits until
// the VMs with grants beyond it have released them, and then publishes. Several changes may race for the next version.
func (w *world) changeLimit(model string, replicas int) {
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
				ceiling = min(replicas, obj.Ceiling) // the ceiling is raised only after the publication
			}
			if lowered, changed := grant.SetCeiling(obj, ceiling, stamp); changed {
				_, _ = w.put(grant.Key(model), lowered.Encode(), o.Version)
				obj = lowered
			}
		}
		if replicas < w.limits[model] && obj.Excess() > 0 {
			w.schedule(time.Second, try)
			return
		}
		w.publish(limits, stamp.Digest)
	}
	try()
}

func (n *node) requestLoad(t engine.Target) {
	n.waiting[t]++
	n.send(0, residency.LoadRequested{Target: t, Deadline: n.w.now.Add(n.w.randomUpTo(20 * time.Second))})
}

// randomStep sends a random request or causes a random fault or change.
func (w *world) randomStep(t *rapid.T) {
	n := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
	model := rapid.SampledFrom(modelNames).Draw(t, "model")
	switch k := rapid.IntRange(0, 30).Draw(t, "what"); {
	case k < 12:
		n.requestLoad(engine.Target{Model: model})
	case k < 17:
		n.requestLoad(engine.Target{Model: model, Adapter: model + "-a"})
	case k < 19:
		n.restartEngine()
	case k < 21:
		n.startAgent()
	case k < 22:
		n.pausedUntil = w.now.Add(w.randomUpTo(90 * time.Second))
	case k < 24:
		w.setOutage(!w.outage)
	case k < 26:
		w.changeLimit(model, rapid.IntRange(0, 2).Draw(t, "replicas"))
	case k < 27:
		w.reclaimVM(n)
		w.addVM()
	case k < 28:
		n.send(0, residency.Drain{})
	default:
		w.announceMembers()
	}
}

// endFaults ends the faults and runs long enough for all pending messages to arrive.
func (w *world) endFaults() {
	w.faulty = false
	w.setOutage(false)
	for range 100 {
		w.run(2 * time.Second)
		w.announceMembers()
	}
}

func checkRun(t *rapid.T, w *world) {
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		w.randomStep(t)
		w.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		if w.violation != "" {
			t.Fatalf("limit exceeded: %s", w.violation)
		}
	}
	w.endFaults()
	w.checkLiveness(t)
}

// checkLiveness fails the test if an agent is stuck: without faults, every request is served or refused, and a drained
// VM ends up without targets and grants.
func (w *world) checkLiveness(t *rapid.T) {
	w.addVM()
	w.run(5 * time.Second)
	for _, n := range w.vms {
		n.requestLoad(m2)
	}
	w.run(30 * time.Second)
	for _, n := range w.vms {
		if n.waiting[m2] != 0 {
			t.Fatalf("%s neither served nor refused a request", n.vm)
		}
		n.send(0, residency.Drain{})
	}
	w.run(time.Minute)
	for _, n := range w.vms {
		if !n.state.IsDrained() || n.state.MemoryReserved() != 0 || len(n.loadedOrLoading()) != 0 {
			t.Fatalf("%s is not empty after draining: engine %v, agent %+v", n.vm, n.loadedOrLoading(), n.state.Status(w.now))
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
	if w.violation != "" {
		t.Fatalf("limit exceeded: %s", w.violation)
	}
}

// Guards against more replicas than the ceiling, overcommitted memory and stuck agents under lost and delayed messages,
// pauses, restarts, engine crashes, VM loss and changed limits, at engines that ignore fencing numbers; and against
// runs in which nothing is loaded.
func TestLimitsWithoutFencing(t *testing.T) { checkRuns(t, false) }

// Guards against the same failures at engines that refuse stale fencing numbers, where the agent relies on the refusal.
func TestLimitsWithFencing(t *testing.T) { checkRuns(t, true) }

func checkRuns(t *testing.T, trust bool) {
	runs, loads, ready := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), trust)
		checkRun(t, w)
		runs, loads, ready = runs+1, loads+w.loads, ready+w.served
	})
	if loads < 2*runs || ready < 2*runs {
		t.Fatalf("%d loads and %d requests served in %d runs", loads, ready, runs)
	}
}
