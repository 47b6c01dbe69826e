//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// poisonPath is the path of the request that crashes each runner that begins to run it, poisonInterval the time after which
	// its caller sends it again, and poisons how often it comes.
	poisonPath     = "/puxa403/2f/poison"
	poisonInterval = 6 * time.Second
	poisons        = 14
	// crashedTime is the time after which a runner that it has crashed is back, under a new id.
	crashedTime = 2 * time.Second
	// plainIDLength is the length of a plain runner's first id.
	plainIDLength = 10
	// stableWindow is the stableWindowMs of the deployment.
	stableWindow = 4 * time.Second
	// maxLateRetries is the number of retries that may reach runners later than that after the third crash.
	maxLateRetries = 3
)

// crashingRequest plays a request that crashes each runner that begins to run it and that its caller sends again every six
// seconds. The caller's entry gets no other request meanwhile; other callers post loans at a second entry. Without the trouble
// the request crashes no runner. BUSY=1 adds a loan each second at the first entry.
func crashingRequest(w *world) error {
	halves, machines, err := startPlainWorld(w, 2)
	if err != nil {
		return err
	}
	m, other := machines[0], machines[1]
	time.Sleep(time.Second)
	lost := w.postLoans(other, "e", 100*time.Millisecond)
	if os.Getenv("BUSY") == "1" {
		w.postLoans(m, "d", time.Second)
	}
	var third time.Time
	crashes, late := 0, 0
	for n := range poisons {
		id := fmt.Sprintf("f%03d", n)
		w.note("client sends POST %s, id %s", poisonPath, id)
		a := call(m.front, clientRequest{method: http.MethodPost, path: poisonPath, id: id, deadline: 1200 * time.Millisecond, body: "loan 4711"})
		w.note("client got for %s: status %d, complete %t, err %v, %q", id, a.status, a.complete, a.err, strings.TrimSpace(string(a.body[:min(60, len(a.body))])))
		if r := arrivedAt(halves, id); r != nil {
			now := time.Now()
			if !third.IsZero() && now.Sub(third) > stableWindow {
				late++
			}
			if w.trouble {
				crashes++
				w.note("it has reached and crashed %s, crash %d", r.id, crashes)
				if crashes == 3 {
					third = now
				}
				if err := r.comeBack(crashedTime); err != nil {
					return err
				}
			}
		}
		time.Sleep(poisonInterval - crashedTime)
		if late > maxLateRetries {
			break
		}
	}
	w.note("%d crashes; it has reached runners in %d retries later than stableWindowMs after the third; %d loans of others were lost with them", crashes, late, lost.Load())
	if late > maxLateRetries {
		w.breakRule("BUDGET", "the request has reached and crashed runners in %d retries later than stableWindowMs after it had crashed the third", late)
	}
	return nil
}

// postLoans posts loans at intervals until the end of the case and counts those that were neither answered nor refused.
func (w *world) postLoans(m *machine, prefix string, interval time.Duration) *atomic.Int64 {
	lost := &atomic.Int64{}
	go func() {
		for i := 0; ; i++ {
			go func() {
				id := fmt.Sprintf("%s%04d", prefix, i)
				a := call(m.front, clientRequest{method: http.MethodPost, path: "/puxa403/2f", id: id, deadline: 1200 * time.Millisecond, body: "loan " + id})
				if !a.complete || a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
					lost.Add(1)
					w.note("client of %s got for %s: status %d, complete %t, err %v", m.name, id, a.status, a.complete, a.err)
				}
			}()
			time.Sleep(interval)
		}
	}()
	return lost
}

// arrivedAt returns the runner that has begun to run the request; nil if none has.
func arrivedAt(halves <-chan half, id string) *plainRunner {
	timeout := time.After(200 * time.Millisecond)
	for {
		select {
		case h := <-halves:
			if h.id == id {
				return h.runner
			}
		case <-timeout:
			return nil
		}
	}
}

// comeBack starts a runner that has crashed under a new id. The platform removes its earlier entry after three heartbeats.
func (r *plainRunner) comeBack(after time.Duration) error {
	<-r.process.done
	earlier := r.id
	time.AfterFunc(registration, func() { r.w.store.remove("servers", earlier) })
	time.Sleep(after)
	r.starts++
	r.id = fmt.Sprintf("%s%d", earlier[:plainIDLength], r.starts)
	return r.start()
}
