//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// streamTokens is the number of tokens of each stream of the case.
const streamTokens = 24

// configDelay is the configMs of the deployment.
const configDelay = 2500 * time.Millisecond

// tokenBatches returns the ids of the events of a stream whose events hold the numbers of tokens in turn. The id of an event is
// the number of the stream's tokens up to its end, so ids increase, and a stream can be resumed behind any event.
func tokenBatches(sizes ...int) []int {
	var ids []int
	for n, i := 0, 0; n < streamTokens; i++ {
		n = min(streamTokens, n+sizes[i%len(sizes)])
		ids = append(ids, n)
	}
	return ids
}

// unevenEvents plays model runners whose events hold several tokens, at times more and at times fewer. Without the trouble each
// event holds one token. The runners are sound and end each stream as complete. In both cases the entry gets a SIGHUP before.
func unevenEvents(w *world) error {
	const service = "huvo11a"
	n, err := newNetwork(3)
	if err != nil {
		return err
	}
	w.store.put("config", "main", engineConfig(service))
	ids := tokenBatches(1)
	if w.trouble {
		ids = tokenBatches(1, 1, 3, 2)
	}
	w.note("ids of the events of each stream: %v", ids)
	onRun := func(e *engine, r *http.Request) {
		w.note("runner %s runs %s %s, id %s", e.id, r.Method, r.RequestURI, r.Header.Get(headers.ID))
	}
	for i := range 2 {
		port, err := freePort(n.ip(i + 2))
		if err != nil {
			return err
		}
		e := &engine{w: w, id: fmt.Sprintf("i-%da", i+1), service: service, address: fmt.Sprintf("%s:%d", n.ip(i+2), port), onRun: onRun,
			events: func(string) []int { return ids }}
		if err := e.start(0); err != nil {
			return err
		}
		if err := w.startSide(n, i+2, service, e.address); err != nil {
			return err
		}
	}
	m, err := w.startEntry("edge-lagos-ikeja-1", n.ip(1), n.peerPort)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // of calm, more than stableWindowMs
	if err := m.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return cannotRun("SIGHUP: %v", err)
	}
	reloaded := time.Now()
	w.note("SIGHUP to the entry, whose settings file is unchanged")
	var clients sync.WaitGroup
	var mu sync.Mutex
	cut, planned, total := 0, 0, 0
	for i := range 60 {
		clients.Go(func() {
			id, sent := fmt.Sprintf("%06x", 0xb00000+i), time.Now()
			a := prompt(m, "/lohu930/2f", id)
			got := eventIDs(a.body)
			w.note("client got for %s: status %d, events %v, complete %t, err %v, after %d ms", id, a.status, got, a.complete, a.err, a.took.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			total++
			if a.status == http.StatusOK && (!a.complete || !slices.Equal(got, ids)) {
				cut++
				if sent.Sub(reloaded) <= configDelay {
					planned++
				}
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	w.note("%d of %d streams of sound runners were cut, %d of them sent within configMs of the SIGHUP", cut, total, planned)
	if planned > 0 {
		w.breakRule("LOST", "%d streams that sound runners ran to their end were closed without a complete answer around planned work", planned)
	}
	if cut > 3 {
		w.breakRule("LOST", "%d of %d streams that sound runners ran to their end were closed without an answer", cut, total)
	}
	return nil
}
