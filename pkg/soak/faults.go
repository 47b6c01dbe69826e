package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// fault is a disturbance that is injected and, if it returns an undo function, undone after its duration. Faults
// overlap.
type fault struct {
	name string
	// inject starts the fault on the target that pick selects.
	inject func(w *world, pick int, duration time.Duration) (detail string, undo func())
}

// faults are selected by a random index, so reordering them changes what a seed does.
var faults = []fault{
	{"kill a process", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.processes[pick%len(w.processes)]
		p.kill()
		return p.name, func() { w.restartProcess(p) }
	}},
	{"kill all processes", func(w *world, _ int, _ time.Duration) (string, func()) {
		for _, p := range w.processes {
			p.signal(syscall.SIGKILL, true)
		}
		return "all", func() { w.killAndRestart(w.processes) }
	}},
	{"pause a process", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.processes[pick%len(w.processes)]
		p.signal(syscall.SIGSTOP, false)
		return p.name, func() { p.signal(syscall.SIGCONT, false) }
	}},
	{"stop a process", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.processes[pick%len(w.processes)]
		w.stopProcess(p)
		return p.name, func() { w.restartProcess(p) }
	}},
	{"reload settings", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.processes[pick%len(w.processes)]
		p.signal(syscall.SIGHUP, false)
		return p.name, nil
	}},
	{"crash a runner", func(w *world, pick int, _ time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		end := w.startRunnerDisturbance()
		r.Crash()
		return r.label(pick, w), func() { w.restartRunner(r); end() }
	}},
	{"drain a runner", func(w *world, pick int, duration time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		return r.label(pick, w), w.drain(r, duration)
	}},
	{"lose answers of a runner", func(w *world, pick int, _ time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		end := w.startRunnerDisturbance()
		r.SetLoseAnswers(true)
		return r.label(pick, w), func() { r.SetLoseAnswers(false); end() }
	}},
	{"disturb the link to a runner", func(w *world, pick int, _ time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		mode := []Mode{Delay, BlackholeReplies, Blackhole, Pass}[pick/7%4]
		w.markAllDisturbed()
		end := w.startRunnerDisturbance()
		r.proxy.Set(mode, mode == Pass)
		r.proxy.Reset()
		return fmt.Sprintf("%s mode %d", r.label(pick, w), mode), func() { w.markAllDisturbed(); r.proxy.Set(Pass, false); end() }
	}},
	{"disturb the link to the store", func(w *world, pick int, _ time.Duration) (string, func()) {
		i := pick % len(w.processes)
		mode := []Mode{Delay, BlackholeReplies, Blackhole, Pass}[pick/7%4]
		w.processes[i].markDisturbed()
		w.storeProxies[i].Set(mode, mode == Pass)
		return fmt.Sprintf("%s mode %d", w.processes[i].name, mode), func() { w.processes[i].markDisturbed(); w.storeProxies[i].Set(Pass, false) }
	}},
	{"disturb the store", func(w *world, pick int, _ time.Duration) (string, func()) {
		f := []standin.Fault{standin.FaultDown, standin.FaultUnresponsive, standin.FaultLoseAnswers, standin.FaultSlow}[pick%4]
		w.markStoreDisturbed(false)
		w.store.SetFault(f)
		return fmt.Sprintf("fault %d", f), func() { w.store.SetFault(standin.FaultNone); w.markStoreDisturbed(true) }
	}},
	{"compact the store", func(w *world, _ int, _ time.Duration) (string, func()) {
		w.markStoreDisturbed(true)
		w.store.Compact()
		return "", nil
	}},
	{"change the configuration", func(w *world, _ int, _ time.Duration) (string, func()) {
		w.writeConfig()
		return "", nil
	}},
}

// label returns the runner's name in events.
func (r *runner) label(pick int, w *world) string {
	return fmt.Sprintf("runner %d", pick%len(w.runners))
}

func (w *world) restartProcess(p *process) {
	if err := p.start(); err != nil {
		w.check.recordViolation("process", err.Error())
	}
}

// markAllDisturbed records a disturbance of every process.
func (w *world) markAllDisturbed() {
	for _, p := range w.processes {
		p.markDisturbed()
	}
}

func (w *world) restartRunner(r *runner) {
	if err := r.Start(); err != nil {
		w.check.recordViolation("runner", err.Error())
	}
}

// drain drains the runner and checks that no request reaches it later than drainDelay, unless the store or an entry was
// disturbed meanwhile. The returned function stops the runner and starts its successor.
func (w *world) drain(r *runner, duration time.Duration) func() {
	id := r.ID()
	start := time.Now()
	r.Drain()
	time.Sleep(max(duration, drainDelay+time.Second))
	undisturbed := w.storeUndisturbedSince(start.Add(-disturbanceGrace))
	for _, p := range w.entries() {
		undisturbed = undisturbed && p.undisturbedSince(start.Add(-disturbanceGrace))
	}
	if last := w.check.lastArrival(id); undisturbed && last.After(start.Add(drainDelay)) {
		w.check.recordViolation("drain", fmt.Sprintf("runner %s received a request %s after it started draining", id, last.Sub(start)))
	}
	return func() {
		end := w.startRunnerDisturbance()
		r.Terminate()
		w.restartRunner(r)
		end()
	}
}
