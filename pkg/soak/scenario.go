package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// mixScenario draws from all disruptions, those without a scenario of their own too.
	mixScenario = "mix"
	// planlessEnd is the time from an announced drain to the end of an upstream that does not wait until it is drained.
	planlessEnd = 300 * time.Millisecond
	// minFreeze and maxFreeze bound the time for which upstreams are frozen or reject.
	minFreeze, maxFreeze = time.Second, 8 * time.Second
	// finishInterval is the time between two ends of the connections on a path.
	finishInterval = 150 * time.Millisecond
	// causeRequest and causePart are what crashes runners.
	causeRequest, causePart = "a request", "a part of prompts"
)

// scenarios are disruptions that can be chosen by their names.
var scenarios = []fault{
	{"steps", func(w *world, pick int, duration time.Duration) (string, func()) {
		r := w.runners[pick%len(w.runners)]
		end := w.startRunnerDisturbance()
		notice := duration / 5
		switch pick / 64 % 4 {
		case 1: // a drain that is not waited for
			r.AnnounceRemoval(0)
			time.Sleep(planlessEnd)
		case 2: // a removal at short notice
			r.AnnounceRemoval(notice)
			time.Sleep(notice)
		}
		gap := time.Duration(5+pick%196) * time.Millisecond
		r.EndInSteps(gap)
		return fmt.Sprintf("%s variant %d gap %s", r.label(pick, w), pick/64%4, gap), func() { w.restartRunner(r); end() }
	}},
	{"path-fin", func(w *world, pick int, duration time.Duration) (string, func()) {
		return w.endConnections(pick, duration, (*Proxy).Finish)
	}},
	{"cut", func(w *world, pick int, _ time.Duration) (string, func()) {
		return w.garble(pick, standin.CutUnframed)
	}},
	{"garble", func(w *world, pick int, _ time.Duration) (string, func()) {
		return w.garble(pick, []standin.Garble{standin.ExtraBytes, standin.LateCopy, standin.NoAnswer, standin.EarlyRejection}[pick/16%4])
	}},
	{"freeze", func(w *world, pick int, _ time.Duration) (string, func()) {
		targets := w.someRunners(pick)
		end := w.startRunnerDisturbance()
		thaws, machines := []func(){}, []*process{}
		for i, r := range w.runners {
			if !slices.Contains(targets, r) {
				continue
			}
			thaws = append(thaws, r.Freeze())
			if i < w.shape.Engines && (pick+i)%2 == 0 { // the machine with its sidecar
				machines = append(machines, w.sidecars()[i])
				w.sidecars()[i].signal(syscall.SIGSTOP, false)
			}
		}
		time.Sleep(minFreeze + time.Duration(pick%1000)*(maxFreeze-minFreeze)/1000)
		for _, thaw := range thaws {
			thaw()
		}
		for _, p := range machines {
			p.signal(syscall.SIGCONT, false)
		}
		return fmt.Sprintf("%s and %d sidecars", w.labels(targets), len(machines)), end
	}},
	{"hold", func(w *world, pick int, _ time.Duration) (string, func()) {
		targets := w.someRunners(pick)
		w.markAllDisturbed()
		end := w.startRunnerDisturbance()
		for _, r := range targets {
			r.proxy.Set(Hold, false)
		}
		return w.labels(targets), func() {
			w.markAllDisturbed()
			for _, r := range targets {
				r.proxy.Set(Pass, false)
			}
			end()
		}
	}},
	{"restarts", func(w *world, pick int, _ time.Duration) (string, func()) {
		end := w.startRunnerDisturbance()
		for _, r := range w.runners {
			r.SetRejectShare(rejectShare)
		}
		style := []string{"one by one", "together", "by SIGHUP", "and added"}[pick%4]
		switch style {
		case "one by one":
			for _, p := range w.entries()[:w.shape.Entries] {
				w.stopProcess(p)
				w.restartProcess(p)
			}
		case "together":
			w.killAndRestart(w.entries()[:w.shape.Entries])
		case "by SIGHUP":
			for _, p := range w.entries()[:w.shape.Entries] {
				p.signal(syscall.SIGHUP, false)
			}
		default:
			w.killAndRestart(w.entries()[w.shape.Entries:])
		}
		return style, func() {
			for _, r := range w.runners {
				r.SetRejectShare(0)
			}
			end()
		}
	}},
	{"retry-after", func(w *world, pick int, _ time.Duration) (string, func()) {
		targets := w.someRunners(pick)
		end := w.startRunnerDisturbance()
		after := time.Duration(1+pick%4) * time.Second
		for _, r := range targets {
			r.SetRetryAfter(after)
		}
		return fmt.Sprintf("%s %s", w.labels(targets), after), func() {
			for _, r := range targets {
				r.SetRetryAfter(0)
			}
			end()
		}
	}},
	{"entry-ends", func(w *world, pick int, _ time.Duration) (string, func()) {
		p := w.entries()[pick%w.shape.Entries]
		how := []string{"killed", "stopped"}[pick/64%2]
		if how == "killed" {
			p.kill()
		} else {
			w.stopProcess(p)
		}
		return p.name + " " + how, func() { w.restartProcess(p) }
	}},
	{"sidecars", func(w *world, pick int, _ time.Duration) (string, func()) {
		w.killAndRestart(w.sidecars())
		return "all", nil
	}},
	{"crashing", func(w *world, pick int, duration time.Duration) (string, func()) {
		cause := []string{causeRequest, causePart}[pick%2]
		end := w.startRunnerDisturbance()
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(crashingInterval) {
			w.sendCrashing(cause, int(w.crashingSent.Add(1)))
		}
		return cause, end
	}},
	{"reject", func(w *world, pick int, _ time.Duration) (string, func()) {
		end := w.startRunnerDisturbance()
		for _, r := range w.runners {
			r.SetRejectShare(rejectShare)
		}
		time.Sleep(minFreeze + time.Duration(pick%1000)*(maxFreeze-minFreeze)/1000)
		return "all runners", func() {
			for _, r := range w.runners {
				r.SetRejectShare(0)
			}
			end()
		}
	}},
	{"unknown-stream", func(w *world, pick int, duration time.Duration) (string, func()) {
		detail, undo := w.garble(pick, standin.UnknownStream)
		reset, undoReset := w.endConnections(pick/2, duration, (*Proxy).Reset)
		return detail + ", reset " + reset, func() { undoReset(); undo() }
	}},
	{"path-rst", func(w *world, pick int, duration time.Duration) (string, func()) {
		return w.endConnections(pick, duration, (*Proxy).Reset)
	}},
	{"stray-refusal", func(w *world, pick int, _ time.Duration) (string, func()) {
		return w.garble(pick, standin.StrayRefusal)
	}},
	{"restored", restoreStore},
	{"reused-address", reuseEngineAddress},
	{"reused-plain-address", reusePlainAddress},
}

// disruptionsOf returns the disruptions that a scenario draws from: the random faults for "", all for "mix", else those
// that the comma-separated list names.
func disruptionsOf(scenario string) ([]fault, error) {
	switch scenario {
	case "":
		return faults, nil
	case mixScenario:
		return slices.Concat(faults, scenarios), nil
	}
	var list []fault
	for _, name := range strings.Split(scenario, ",") {
		i := slices.IndexFunc(scenarios, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("no scenario is named %q, only %v and %s", name, ScenarioNames(), mixScenario)
		}
		list = append(list, scenarios[i])
	}
	return list, nil
}

// ScenarioNames returns the names of the disruptions that can be chosen.
func ScenarioNames() []string {
	var names []string
	for _, f := range scenarios {
		names = append(names, f.name)
	}
	return names
}

// endConnections ends all connections to some runners again and again.
func (w *world) endConnections(pick int, duration time.Duration, end func(*Proxy)) (string, func()) {
	targets := w.someRunners(pick)
	w.markAllDisturbed()
	ended := w.startRunnerDisturbance()
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(finishInterval) {
		for _, r := range targets {
			end(r.proxy)
		}
	}
	return w.labels(targets), func() { w.markAllDisturbed(); ended() }
}

// garble lets some runners send wrong bytes.
func (w *world) garble(pick int, g standin.Garble) (string, func()) {
	targets := w.someRunners(pick)
	end := w.startRunnerDisturbance()
	for _, r := range targets {
		r.SetGarble(g)
	}
	return fmt.Sprintf("%s way %d", w.labels(targets), g), func() {
		for _, r := range targets {
			r.SetGarble(standin.GarbleNone)
		}
		end()
	}
}

// someRunners returns one to all runners, as pick selects.
func (w *world) someRunners(pick int) []*runner {
	random := rand.New(rand.NewPCG(uint64(pick), 1))
	var list []*runner
	for _, i := range random.Perm(len(w.runners))[:1+random.IntN(len(w.runners))] {
		list = append(list, w.runners[i])
	}
	return list
}

func (w *world) labels(list []*runner) string {
	var numbers []int
	for i, r := range w.runners {
		if slices.Contains(list, r) {
			numbers = append(numbers, i)
		}
	}
	return fmt.Sprintf("runners %v", numbers)
}

// sidecars returns the processes beside the engines, by index of the engine.
func (w *world) sidecars() []*process { return w.processes[w.shape.allEntries():] }

func (w *world) stopProcess(p *process) {
	if !p.stop(stopGrace) {
		w.check.recordViolation("stop", p.name+" did not exit within its grace period")
	}
}

func (w *world) killAndRestart(list []*process) {
	for _, p := range list {
		p.signal(syscall.SIGKILL, true)
	}
	for _, p := range list {
		<-p.done()
		w.restartProcess(p)
	}
}
