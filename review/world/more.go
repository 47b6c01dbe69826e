//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// restartedSidecars: the processes beside the model runners are stopped and started in turn. One of the three runners goes
// on with a request whose connection has closed.
func restartedSidecars(w *world) int {
	w.configure("daka51")
	type place struct {
		name, ip string
		m        *runnerMachine
		cmd      *exec.Cmd
	}
	var places []*place
	for i := range 3 {
		ip := w.address()
		m := w.runner(runnerSpec{Service: "reading-aid", Listen: ip + ":8501", Engine: true, Models: []string{"daka51"}, Disk: []string{"daka51"}, Work: 40 * time.Millisecond,
			Events: 13, DiskTime: 840 * time.Millisecond, FetchTime: 6 * time.Second, PromptsPerMS: 38.7, WorksOn: i == 0})
		m.start(0)
		p := &place{name: fmt.Sprintf("side-%d", i+1), ip: ip, m: m}
		p.cmd = w.sidecar(p.name, ip, m.spec.Listen, "reading-aid")
		places = append(places, p)
	}
	e := w.entry("edge-1")
	if !e.awaitReady() {
		return 2
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	reports := w.traffic(1.8, stop, func(n int) reply {
		return w.ask("POST", "/report/2f", "daka51", "45900,52", "5c1e07a2:2520,91bd3f06:3780,ID:39600", fmt.Sprint("report ", n, strings.Repeat("p", 18000)), 17*time.Second)
	})
	time.Sleep(4 * time.Second)
	for range 4 {
		for _, p := range places {
			if w.trouble {
				w.say("%s gets SIGTERM", p.name)
				w.terminate(p.cmd)
				time.Sleep(time.Second)
				p.cmd = w.sidecar(p.name, p.ip, p.m.spec.Listen, "reading-aid")
			}
			time.Sleep(1300 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	all := reports()
	time.Sleep(2 * time.Second)
	served := 0
	for _, r := range all {
		if r.status == 200 && r.err == nil && strings.HasSuffix(r.body, " last\n\n") {
			served++
		}
	}
	first := map[string]happening{} // first arrival of each request
	twice := 0
	stops := w.noted("stops work")
	for _, h := range w.noted("arrives") {
		before, again := first[h.ID]
		if !again {
			first[h.ID] = h
			continue
		}
		for _, s := range stops {
			if s.ID == h.ID && s.Runner == before.Runner && before.Runner != h.Runner && s.At.Sub(h.At) > 400*time.Millisecond {
				twice++
				w.say("BROKEN request %s goes on at runner %s; runner %s still worked on it for %.3f s", h.ID, h.Runner, s.Runner, s.At.Sub(h.At).Seconds())
			}
		}
	}
	return verdict(w, twice > 0, "streams %d, served %d; went on at another runner while the runner before still worked on them 0.4 s later: %d", len(all), served, twice)
}

// missedVersions: the store turns one entry machine away for 9 s. Meanwhile 13 versions of a large configuration come; the last
// one moves a route to another service.
func missedVersions(w *world) int {
	const further = 1560
	w.bounds = vanstopsGrown
	version := 7
	put := func(shelf string) time.Time {
		version += 3
		c := w.config(version, further, shelf, "daka51")
		raw, err := json.Marshal(c)
		must(err)
		at := w.store.put("config", "main", c)
		w.say("version %d is acknowledged, %d bytes; shelf-check goes to %s", version, len(raw), shelf)
		return at
	}
	w.configure("daka51")
	services := map[string]string{}
	for _, service := range []string{"circulation", "circulation", "circulation", "circulation-2", "circulation-2", "circulation-2"} {
		m := w.runner(runnerSpec{Service: service, Work: 30 * time.Millisecond})
		m.start(0)
		services[m.spec.ID] = service
	}
	e := w.entry("edge-1")
	if !e.awaitReady() {
		return 2
	}
	stop := make(chan struct{})
	shelf := w.traffic(6.77, stop, func(n int) reply { return w.request("GET", fmt.Sprint("/shelf/", n), "", "", 1200*time.Millisecond) })
	time.Sleep(3 * time.Second)
	put("circulation")
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.say("the store answers the calls of edge-1 with 503")
		e.door.setBusy(true)
	}
	time.Sleep(500 * time.Millisecond)
	for range 12 {
		put("circulation")
		time.Sleep(330 * time.Millisecond)
	}
	moved := put("circulation-2")
	time.Sleep(4 * time.Second)
	e.door.setBusy(false)
	end := time.Now()
	w.say("the store serves edge-1 again")
	time.Sleep(25 * time.Second)
	close(stop)
	replies := map[string]reply{}
	for _, r := range shelf() {
		replies[r.id] = r
	}
	old, last := 0, time.Duration(0)
	judged := 0
	for _, h := range w.noted("ran") {
		sent := replies[h.ID].sent
		if !sent.After(moved.Add(4*time.Second)) || !sent.After(end.Add(4*time.Second)) {
			continue
		}
		judged++
		if services[h.Runner] == "circulation" {
			old++
			last = max(last, sent.Sub(moved))
			w.say("BROKEN request %s, sent %.3f s after the acknowledgement and %.3f s after the disruption, was run by the old service", h.ID, sent.Sub(moved).Seconds(), sent.Sub(end).Seconds())
		}
	}
	return verdict(w, old > 0, "requests sent later than 4 s after the acknowledgement and the disruption: %d; run by the old service: %d, the last one sent %.1f s after the acknowledgement", judged, old, last.Seconds())
}
