//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// cases are the scripts of the review. Each returns the exit code of its run.
var cases = map[string]func(*world) int{"cut-stream": cutStream, "crashing": crashing, "hung-sidecar": hungSidecar, "gone-runner": goneRunner, "late-order": lateOrder, "restarted-sidecars": restartedSidecars, "missed-versions": missedVersions}

func verdict(w *world, broken bool, format string, args ...any) int {
	w.say("VERDICT "+format, args...)
	fmt.Printf(format+"\n", args...)
	if broken {
		return 1
	}
	return 0
}

// crashing: a request that crashes each runner that begins to run it comes again every 5 s.
func crashing(w *world) int {
	w.configure("daka51")
	var machines []*runnerMachine
	for range 3 {
		m := w.runner(runnerSpec{Service: "circulation", Work: 30 * time.Millisecond, Crashes: w.trouble})
		m.start(0)
		machines = append(machines, m)
	}
	e := w.entry("edge-1")
	if !e.awaitReady() {
		return 2
	}
	stop := make(chan struct{})
	for _, m := range machines { // a crashed runner is back after 3 s
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if !w.alive(m.cmd) {
					time.Sleep(3 * time.Second)
					m.start(0)
				}
			}
		}()
	}
	loans := w.traffic(3.16, stop, func(n int) reply {
		return w.request("POST", "/loan/2f", "", fmt.Sprint("loan ", n, strings.Repeat("b", 600)), 1200*time.Millisecond)
	})
	shelf := w.traffic(3.6, stop, func(n int) reply { return w.request("GET", fmt.Sprint("/shelf/", n), "", "", 1200*time.Millisecond) })
	time.Sleep(3 * time.Second)
	for range 19 {
		w.request("POST", "/loan/crashing", "", "the same body each time", 1200*time.Millisecond)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	all := append(loans(), shelf()...)
	crashes, later := w.noted("crashes"), 0
	for i, c := range crashes {
		w.say("crash %d at %.3f", i+1, c.At.Sub(w.start).Seconds())
		if i > 2 && c.At.Sub(crashes[2].At) > 4*time.Second {
			later++
		}
	}
	failed := 0
	for _, r := range all {
		if r.err != nil || r.status != 200 {
			failed++
		}
	}
	return verdict(w, later > 3, "crashes %d; the request reached runners %d times later than 4 s after its third crash (allowed: 3); other requests: %d, not served: %d", len(crashes), later, len(all), failed)
}

// cutStream: runners are taken away at short notice while they send streams of which one in twenty has no length.
func cutStream(w *world) int {
	w.configure("daka51")
	var machines []*runnerMachine
	for i := range 9 {
		ip := w.address()
		m := w.runner(runnerSpec{Service: "reading-aid", Listen: ip + ":8501", Engine: true, Models: []string{"daka51"}, Disk: []string{"daka51"}, Work: 60 * time.Millisecond,
			Events: 73, UnframedEach: 20, DiskTime: 840 * time.Millisecond, FetchTime: 6 * time.Second})
		m.start(0)
		machines = append(machines, m)
		w.sidecar(fmt.Sprintf("side-%d", i+1), ip, m.spec.Listen, "reading-aid")
	}
	e := w.entry("edge-1")
	if !e.awaitReady() {
		return 2
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	chats := w.traffic(6.4, stop, func(n int) reply {
		return w.request("POST", "/chat/2f", "daka51", fmt.Sprint("question ", n, strings.Repeat("p", 1700)), 15*time.Second)
	})
	time.Sleep(6 * time.Second)
	for range 7 {
		m := busiest(w, machines)
		if w.trouble {
			w.store.put("servers", m.spec.ID, m.entry("draining", 2*time.Second))
			m.draining = true
			w.say("runner %s reports draining, remainingMs 2000", m.spec.ID)
			time.Sleep(2 * time.Second)
			w.kill(m.cmd)
			w.say("runner %s is gone", m.spec.ID)
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	all := chats()
	complete, cut, broken := 0, 0, 0
	for _, r := range all {
		switch whole := strings.HasSuffix(r.body, " last\n\n"); {
		case r.status == 200 && r.err == nil && whole:
			complete++
		case r.status == 200 && r.err == nil:
			broken++
			w.say("BROKEN %s: status 200, stamp %s, the answer ended as complete after %d of 73 events", r.id, r.stamp, strings.Count(r.body, "data:"))
		default:
			cut++
		}
	}
	return verdict(w, broken > 0, "streams %d; complete %d; refused or visibly cut %d; ended as complete before their last event: %d", len(all), complete, cut, broken)
}

// busiest returns the runner that most requests have lately reached.
func busiest(w *world, machines []*runnerMachine) *runnerMachine {
	var best *runnerMachine
	most := -1
	arrivals := w.noted("arrives")
	for _, m := range machines {
		n := 0
		for _, h := range arrivals[max(0, len(arrivals)-20):] {
			if h.Runner == m.spec.ID {
				n++
			}
		}
		if !m.draining && n > most {
			best, most = m, n
		}
	}
	return best
}

// hungSidecar: all machines lose power; the runner comes back empty, and the answer to one health check is lost.
func hungSidecar(w *world) int {
	w.configure("daka51")
	ip := w.address()
	m := w.runner(runnerSpec{Service: "reading-aid", Listen: ip + ":8501", Engine: true, Models: []string{"daka51"}, Disk: []string{"daka51"}, Work: 15 * time.Millisecond,
		Events: 13, DiskTime: 840 * time.Millisecond, FetchTime: 6 * time.Second})
	m.start(0)
	side := w.sidecar("side-1", ip, m.spec.Listen, "reading-aid")
	e := w.entry("edge-1")
	if !e.awaitReady() {
		return 2
	}
	stop := make(chan struct{})
	chats := w.traffic(3, stop, func(n int) reply {
		return w.request("POST", "/chat/2f", "daka51", fmt.Sprint("question ", n, strings.Repeat("p", 1700)), 6*time.Second)
	})
	time.Sleep(8 * time.Second)
	fault := time.Now()
	w.say("all machines lose power")
	w.kill(e.cmd)
	w.kill(side)
	w.kill(m.cmd)
	time.Sleep(1500 * time.Millisecond)
	m.spec.Models = nil // restarts empty; its disk is kept
	m.spec.LoseHealth = w.trouble
	e.start()
	side = w.sidecar("side-1", ip, m.spec.Listen, "reading-aid")
	m.start(heartbeat / 2)
	back := time.Now()
	w.say("all machines are back")
	time.Sleep(30 * time.Second)
	close(stop)
	before, beforeServed, after, afterServed := 0, 0, 0, 0
	for _, r := range chats() {
		served := r.status == 200 && r.err == nil && strings.HasSuffix(r.body, " last\n\n")
		switch {
		case r.sent.Before(fault.Add(-time.Second)):
			before++
			if served {
				beforeServed++
			}
		case r.sent.After(back.Add(12 * time.Second)):
			after++
			if served {
				afterServed++
			}
		}
	}
	if before == 0 || 4*beforeServed < before || after == 0 {
		return 2
	}
	return verdict(w, 4*afterServed < after, "served before the fault %d of %d; served of the requests sent later than 12 s after the machines were back: %d of %d; sidecar alive: %v; orders: %d",
		beforeServed, before, afterServed, after, w.alive(side), len(w.noted("order load")))
}

// goneRunner: the store leaves one machine's calls without an answer for some seconds; a runner that never reports
// draining is removed from the list 1 s later.
func goneRunner(w *world) int {
	w.configure("daka51")
	var machines []*runnerMachine
	for range 3 {
		m := w.runner(runnerSpec{Service: "circulation", Work: 30 * time.Millisecond})
		m.start(0)
		machines = append(machines, m)
	}
	for _, name := range []string{"edge-3", "edge-2"} { // the store serves them all the while
		if !w.entry(name).awaitReady() {
			return 2
		}
	}
	e := w.entry("edge-1")
	if !e.awaitReady() {
		return 2
	}
	stop := make(chan struct{})
	shelf := w.traffic(6.77, stop, func(n int) reply { return w.request("GET", fmt.Sprint("/shelf/", n), "", "", 1200*time.Millisecond) })
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.say("the store leaves the calls of edge-1 without an answer")
		e.door.setSilent(true)
		began := time.Now()
		for calls := 0; calls < 2; { // ends just after the second call for the list of runners, within 9 s
			select {
			case kind := <-e.door.calls:
				if kind == "servers" {
					calls++
				}
			case <-time.After(9*time.Second - time.Since(began)):
				calls = 2
			}
		}
		time.Sleep(200 * time.Millisecond)
		e.door.setSilent(false)
		w.say("the store answers the calls of edge-1 again, after %.1f s", time.Since(began).Seconds())
	} else {
		time.Sleep(4 * time.Second)
	}
	end := time.Now()
	time.Sleep(time.Second)
	gone := machines[0]
	removed := w.store.remove("servers", gone.spec.ID)
	w.say("the entry of runner %s is removed; it serves on for a while", gone.spec.ID)
	time.Sleep(8 * time.Second)
	close(stop)
	shelf()
	late, last := 0, time.Duration(0)
	for _, h := range w.noted("arrives") {
		if h.Runner != gone.spec.ID {
			continue
		}
		last = max(last, h.At.Sub(removed))
		if h.At.After(removed.Add(2500*time.Millisecond)) && h.At.After(end.Add(4*time.Second)) {
			late++
			w.say("BROKEN request %s reached the runner %.3f s after the store had acknowledged its removal, %.3f s after the end of the disruption", h.ID, h.At.Sub(removed).Seconds(), h.At.Sub(end).Seconds())
		}
	}
	return verdict(w, late > 0, "requests that reached the runner later than 2.5 s after its removal was acknowledged and later than 4 s after the disruption: %d; the last one came %.3f s after the removal", late, last.Seconds())
}

// lateOrder: an order gets no answer; the runner crashes and is back under its id; then the order reaches it.
func lateOrder(w *world) int {
	w.configure("daka51", "ravo48", "base15", "nymi57")
	ip := w.address()
	all := []string{"daka51", "ravo48", "base15", "nymi57"}
	m := w.runner(runnerSpec{Service: "reading-aid", Listen: ip + ":8501", Engine: true, Models: all[:2], Disk: all, Work: 15 * time.Millisecond,
		Events: 13, DiskTime: 840 * time.Millisecond, FetchTime: 6 * time.Second})
	if w.trouble {
		m.spec.LateLoad = "nymi57"
	}
	m.start(0)
	w.sidecar("side-1", ip, m.spec.Listen, "reading-aid")
	e := w.entry("edge-1")
	if !e.awaitReady() {
		return 2
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	ask := func(model string, wait time.Duration) func(int) reply {
		return func(n int) reply {
			return w.request("POST", "/chat/2f", model, fmt.Sprint("question ", model, n, strings.Repeat("p", 1700)), wait)
		}
	}
	first := w.traffic(3, stop, ask("daka51", 6*time.Second))
	time.Sleep(2 * time.Second)
	ask("base15", 3*time.Second)(0)
	time.Sleep(time.Second)
	ask("nymi57", 1200*time.Millisecond)(0)
	time.Sleep(time.Second)
	second := w.traffic(3, stop, ask("ravo48", 6*time.Second))
	for range 250 { // the runner registers when it is back
		if back := w.noted("is back under its id, empty"); len(back) > 0 {
			_, _ = fmt.Sscan(back[0].Path, &m.spec.Born)
			m.spec.Models = nil
			w.store.put("servers", m.spec.ID, m.entry("ready", 0))
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	served := 0
	replies := append(first(), second()...)
	for _, r := range replies {
		if r.status == 200 && r.err == nil {
			served++
		}
	}
	over := 0
	w.mu.Lock()
	for _, h := range w.notes {
		if strings.HasPrefix(h.What, "crashes: ordered to load more") {
			over++
		}
	}
	w.mu.Unlock()
	return verdict(w, over > 0, "orders to load more than a runner holds: %d; streams served %d of %d", over, served, len(replies))
}
