package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// crashingInterval is the time between two attempts of the caller of the request that crashes runners.
	crashingInterval = 250 * time.Millisecond
	// crashingTimeout bounds an attempt.
	crashingTimeout = 1500 * time.Millisecond
	// powerLossInterval is the time between two losses of power of all processes.
	powerLossInterval = 4 * time.Second
	// maxCrashingRuns is the number of crashes before a request is refused, plus three retries.
	maxCrashingRuns = 6
)

// repeatCrashingRequest sends a request that crashes runners again and again, in turn to all entries, while all processes
// lose power several times. It checks how often the request has run.
func (w *world) repeatCrashingRequest() []string {
	var events []string
	start := time.Now()
	lastLoss := start
	for n := 0; time.Since(start) < w.options.FaultPeriod; n++ {
		w.sendCrashing(causeRequest, n)
		time.Sleep(crashingInterval)
		if time.Since(lastLoss) < powerLossInterval {
			continue
		}
		lastLoss = time.Now()
		events = append(events, fmt.Sprintf("%6.2f s kill all processes", time.Since(start).Seconds()))
		for _, p := range w.processes {
			p.signal(syscall.SIGKILL, true)
		}
		for _, p := range w.processes {
			<-p.done()
			w.restartProcess(p)
		}
		newBalancer(w).waitAllReady(readyTimeout)
	}
	if runs := w.check.runsOf(standin.CrashingPath); runs > maxCrashingRuns {
		w.check.recordViolation("budget", fmt.Sprintf("the crashing request ran %d times, %d allowed", runs, maxCrashingRuns))
	}
	return events
}

// sendCrashing sends a request that crashes runners, with a new id. If it does so as a whole, its path, caller and body are
// always the same, else only a part of its prompt is.
func (w *world) sendCrashing(cause string, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), crashingTimeout)
	defer cancel()
	path, body, kind, model, parts := "/loan"+standin.CrashingPath, "the same body", "loan", "", ""
	if cause == causePart {
		path, body, kind = fmt.Sprintf("/chat/crashing?q=%d", n), fmt.Sprint("body ", n), "chat"
		model, parts = fmt.Sprintf("m%d", n%len(modelSizes)), fmt.Sprintf("s1:400,%s:300,%x:200", standin.CrashingPart, n)
	}
	entry := n % w.shape.Entries
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.entryAddresses[entry]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the path is valid
	}
	req.Host = standin.Host
	id := fmt.Sprintf("%x-crashing-%d", w.options.Seed, n)
	standin.SetRequestHeader(req.Header, id, crashingTimeout, model, parts)
	w.check.recordSent(id, kind, path, []byte(body))
	w.check.recordSender(id, entry, crashingTimeout, cause)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(req); err == nil { // the runs are counted at the runners
		_ = resp.Body.Close()
	}
}
