//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// countedEvents returns the ids of n events.
func countedEvents(n int) func(string) []int {
	return func(string) []int {
		out := make([]int, n)
		for i := range out {
			out[i] = i + 1
		}
		return out
	}
}

// reusedAddress plays a model runner that is gone for good, whose address a runner of another model service gets 2.5 s later.
// Without the trouble that runner gets an address of its own. No request may be run by the other service.
func reusedAddress(w *world) error {
	const first, second = "huvo11a", "wuno96b"
	n, err := newNetwork(9)
	if err != nil {
		return err
	}
	w.store.put("config", "main", engineConfig(first, second))
	var mu sync.Mutex
	runs := map[string]int{}
	onRun := func(e *engine, r *http.Request) {
		wanted := first
		if strings.HasPrefix(r.URL.Path, "/lohu931/") {
			wanted = second
		}
		id := r.Header.Get(headers.ID)
		w.note("runner %s of service %s runs %s %s, id %s", e.id, e.service, r.Method, r.RequestURI, id)
		mu.Lock()
		runs[wanted+" at "+e.service]++
		mu.Unlock()
		if wanted != e.service {
			w.breakRule("ROUTE", "request %s to a route of service %s is run by %s of service %s", id, wanted, e.id, e.service)
		}
	}
	newEngine := func(id, service string, i int) (*engine, error) {
		port, err := freePort(n.ip(i))
		return &engine{w: w, id: id, service: service, address: fmt.Sprintf("%s:%d", n.ip(i), port), events: countedEvents(10), onRun: onRun}, err
	}
	var engines []*engine
	for i, s := range []string{first, first, first, first, second, second, second} { // one of seven that is gone is a share of 0.14
		e, err := newEngine(fmt.Sprintf("i-%da", i+1), s, i+2)
		if err != nil {
			return err
		}
		if err := e.start(0); err != nil {
			return err
		}
		if err := w.startSide(n, i+2, s, e.address); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	m, err := w.startEntry("edge-lagos-ikeja-1", n.ip(1), n.peerPort)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	send := func(from, until int) {
		for i := from; i < until; i++ {
			clients.Go(func() {
				id := fmt.Sprintf("%06x", 0xa00000+i)
				a := prompt(m, fmt.Sprintf("/lohu93%d/2f", i%2), id)
				w.note("client got for %s: status %d, %d events, complete %t, err %v, after %d ms", id, a.status, len(eventIDs(a.body)), a.complete, a.err, a.took.Milliseconds())
			})
			time.Sleep(50 * time.Millisecond)
		}
	}
	send(0, 40)
	gone := engines[0]
	gone.end()
	w.note("runner %s of service %s is gone for good", gone.id, gone.service)
	time.Sleep(2500 * time.Millisecond)
	next, err := newEngine("i-8b", second, 9)
	if err != nil {
		return err
	}
	if w.trouble {
		next.address = gone.address
	}
	if err := next.start(heartbeat / 2); err != nil { // a runner writes its entry with each heartbeat
		return err
	}
	send(40, 440)
	clients.Wait()
	w.note("runs: %v", runs)
	return nil
}
