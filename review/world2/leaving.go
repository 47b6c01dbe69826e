//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainDelay is the drainMs of the deployment, and serveOn the time for which a runner that has left serves on.
const (
	drainDelay = 2500 * time.Millisecond
	serveOn    = 8 * time.Second
)

// leftAgain plays a model runner that crashes and starts again at its address under a new id, and that leaves two seconds later
// without a report of it: its entry is removed, and it serves on. Without the trouble it leaves without having crashed before.
// No request may reach it later than drainMs after its entry was removed.
func leftAgain(w *world) error {
	const service = "huvo11a"
	n, err := newNetwork(5)
	if err != nil {
		return err
	}
	w.store.put("config", "main", engineConfig(service))
	var mu sync.Mutex
	var leaver *engine
	var removed time.Time
	onRun := func(e *engine, r *http.Request) {
		mu.Lock()
		late := time.Duration(0)
		if e == leaver && !removed.IsZero() {
			late = time.Since(removed)
		}
		mu.Unlock()
		id := r.Header.Get(headers.ID)
		w.note("runner %s runs %s %s, id %s, %d ms after it has left", e.id, r.Method, r.RequestURI, id, late.Milliseconds())
		if late > drainDelay {
			w.breakRule("DRAIN", "request %s reaches %s %d ms after the removal of its entry", id, e.id, late.Milliseconds())
		}
	}
	newEngine := func(id, address string) *engine {
		return &engine{w: w, id: id, service: service, address: address, events: countedEvents(10), onRun: onRun}
	}
	var engines []*engine
	for i := range 4 { // one of four that crashes or leaves is a share of 0.25
		port, err := freePort(n.ip(i + 2))
		if err != nil {
			return err
		}
		e := newEngine(fmt.Sprintf("i-%da", i+1), fmt.Sprintf("%s:%d", n.ip(i+2), port))
		if err := e.start(0); err != nil {
			return err
		}
		if err := w.startSide(n, i+2, service, e.address); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	m, err := w.startEntry("edge-lagos-ikeja-1", n.ip(1), n.peerPort)
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			clients.Go(func() {
				id := fmt.Sprintf("%06x", 0xc00000+i)
				a := prompt(m, "/lohu930/2f", id)
				w.note("client got for %s: status %d, %d events, complete %t, err %v, after %d ms", id, a.status, len(eventIDs(a.body)), a.complete, a.err, a.took.Milliseconds())
			})
		}
	})
	time.Sleep(time.Second)
	e := engines[0]
	if w.trouble {
		e.end()
		w.note("runner %s has crashed", e.id)
		time.Sleep(300 * time.Millisecond)
		e = newEngine("i-1b", e.address)
		if err := e.start(0); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	leaver = e
	mu.Unlock()
	e.leave()
	mu.Lock()
	removed = time.Now()
	mu.Unlock()
	w.note("the entry of %s is removed", e.id)
	time.Sleep(serveOn)
	close(stop)
	clients.Wait()
	return nil
}
