package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// fault is a disturbance: it begins, lasts and is undone. Faults overlap.
type fault struct {
	name string
	run  func(w *world, pick int, lasts time.Duration) (what string, undo func())
}

var faults = []fault{
	{"kill a process", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.nodes[pick%len(w.nodes)]
		p.kill()
		return p.name, func() { w.restart(p) }
	}},
	{"kill all processes", func(w *world, _ int, _ time.Duration) (string, func()) {
		for _, p := range w.nodes {
			p.signal(syscall.SIGKILL, true)
		}
		return "all", func() {
			for _, p := range w.nodes {
				<-p.ended()
				w.restart(p)
			}
		}
	}},
	{"pause a process", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.nodes[pick%len(w.nodes)]
		p.signal(syscall.SIGSTOP, false)
		return p.name, func() { p.signal(syscall.SIGCONT, false) }
	}},
	{"stop a process", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.nodes[pick%len(w.nodes)]
		if !p.stop(grace) {
			w.check.broken("stop", p.name+" did not end within its grace time")
		}
		return p.name, func() { w.restart(p) }
	}},
	{"reload settings", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.nodes[pick%len(w.nodes)]
		p.signal(syscall.SIGHUP, false)
		return p.name, nil
	}},
	{"crash a runner", func(w *world, pick int, _ time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		end := w.disturbRunners()
		r.Crash()
		return r.name(pick, w), func() { w.revive(r); end() }
	}},
	{"drain a runner", func(w *world, pick int, lasts time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		return r.name(pick, w), w.drain(r, lasts)
	}},
	{"lose answers of a runner", func(w *world, pick int, _ time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		end := w.disturbRunners()
		r.SetLoseAnswers(true)
		return r.name(pick, w), func() { r.SetLoseAnswers(false); end() }
	}},
	{"disturb the link to a runner", func(w *world, pick int, _ time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		mode := []Mode{Delay, BlackholeReplies, Blackhole, Pass}[pick/7%4]
		w.touchAll()
		end := w.disturbRunners()
		r.proxy.Set(mode, mode == Pass)
		r.proxy.Reset()
		return fmt.Sprintf("%s mode %d", r.name(pick, w), mode), func() { w.touchAll(); r.proxy.Set(Pass, false); end() }
	}},
	{"disturb the link to the store", func(w *world, pick int, _ time.Duration) (string, func()) {
		i := pick % len(w.nodes)
		mode := []Mode{Delay, BlackholeReplies, Blackhole, Pass}[pick/7%4]
		w.nodes[i].touch()
		w.links[i].Set(mode, mode == Pass)
		return fmt.Sprintf("%s mode %d", w.nodes[i].name, mode), func() { w.nodes[i].touch(); w.links[i].Set(Pass, false) }
	}},
	{"disturb the store", func(w *world, pick int, _ time.Duration) (string, func()) {
		f := []standin.Fault{standin.FaultDown, standin.FaultUnresponsive, standin.FaultLoseAnswers, standin.FaultSlow}[pick%4]
		w.disturbStore(false)
		w.store.SetFault(f)
		return fmt.Sprintf("fault %d", f), func() { w.store.SetFault(standin.FaultNone); w.disturbStore(true) }
	}},
	{"compact the store", func(w *world, _ int, _ time.Duration) (string, func()) {
		w.disturbStore(true)
		w.store.Compact()
		return "", nil
	}},
	{"change the configuration", func(w *world, _ int, _ time.Duration) (string, func()) {
		w.configure()
		return "", nil
	}},
}

func (r *runner) name(pick int, w *world) string {
	return fmt.Sprintf("runner %d", pick%len(w.runners))
}

func (w *world) restart(p *process) {
	if err := p.start(); err != nil {
		w.check.broken("process", err.Error())
	}
}

func (w *world) touchAll() {
	for _, p := range w.nodes {
		p.touch()
	}
}

func (w *world) revive(r *runner) {
	if err := r.Start(); err != nil {
		w.check.broken("runner", err.Error())
	}
}

// drain announces that the runner leaves and checks that no requests reach it later than the bound, unless the store or a
// process was disturbed meanwhile. The returned function ends the runner and starts its successor.
func (w *world) drain(r *runner, lasts time.Duration) func() {
	id := r.ID()
	begin := time.Now()
	r.Drain()
	time.Sleep(max(lasts, drainDelay+time.Second))
	calm := w.storeCalmSince(begin.Add(-stable))
	for _, p := range w.nodes[:entries] {
		calm = calm && p.calmSince(begin.Add(-stable))
	}
	if last := w.check.lastArrival(id); calm && last.After(begin.Add(drainDelay)) {
		w.check.broken("drain", fmt.Sprintf("runner %s got a request %s after it was draining", id, last.Sub(begin)))
	}
	return func() {
		end := w.disturbRunners()
		r.Leave()
		w.revive(r)
		end()
	}
}
