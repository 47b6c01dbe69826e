package soak

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// readyTimeout bounds the time until all entries are ready.
	readyTimeout = 10 * time.Second
	// recoveryTime is the time after the last fault until requests must be served again. measureTime is how long the
	// share of served requests is measured after that.
	recoveryTime = 6 * time.Second
	measureTime  = 2 * time.Second
	// minServedShare is the minimum share of requests that must be served after the recovery time.
	minServedShare   = 0.9
	maxFaultInterval = 1200 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// Result is the result of one run.
type Result struct {
	Seed       uint64
	Violations []string       // broken guarantees, with time and rule
	Events     []string       // injected faults
	Outcomes   map[string]int // number of requests by kind and outcome
	RetryUse   []string       // worst window of each service against the limit on retries
	// LateArrivals is the number of requests that reached a runner after their callers had an answer.
	LateArrivals int
	// LongDeadlines is the number of requests that left a runner more time than their callers had.
	LongDeadlines int
	Sent          int // requests sent after the recovery time
	Served        int // those of Sent that were answered with status 200
}

// Run starts the processes, injects the faults that the seed selects and checks the outcome.
func Run(opt Options) (Result, error) {
	disruptions, err := disruptionsOf(opt.Scenario)
	if err != nil {
		return Result{}, err
	}
	w, err := newWorld(opt)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return Result{}, fmt.Errorf("start processes for seed %d: %w", opt.Seed, err)
	}
	res := Result{Seed: opt.Seed}
	lb := newBalancer(w)
	if !lb.waitAllReady(readyTimeout) {
		res.Violations = []string{fmt.Sprintf("start: not all entries are ready after %s", readyTimeout)}
		return res, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	recovered := make(chan struct{})
	var wg sync.WaitGroup
	s := &stats{}
	go lb.run(ctx)
	for n := range w.shape.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.newCaller(n, lb.inRotation, s).run(ctx, recovered)
		}()
	}
	switch {
	case opt.KillEntries:
		res.Events = w.killEntries()
	case opt.RemoveEngines:
		res.Events = w.removeEngines()
	case opt.WithdrawKeys:
		res.Events = w.withdrawKeys()
	case opt.RepeatCrashingRequest:
		res.Events = w.repeatCrashingRequest()
	case opt.LimitEngines:
		res.Events = w.limitEngines()
	default:
		res.Events = w.injectFaults(disruptions)
	}
	time.Sleep(recoveryTime)
	close(recovered)
	time.Sleep(measureTime)
	cancel()
	wg.Wait()
	for _, u := range w.check.checkRetryLimit(w.shape.Retries) {
		res.RetryUse = append(res.RetryUse, fmt.Sprintf("%s: %d repeats, %.0f allowed for %d requests", u.Service, u.Repeats, u.Allowed, u.Requests))
	}
	res.LateArrivals, res.LongDeadlines = w.check.lateArrivals, w.check.deadlines.long
	w.check.checkTurnedAway()
	w.check.checkDeadlines()
	w.check.checkCrashing()
	res.Violations, res.Outcomes, res.Sent, res.Served = w.check.violations, w.check.outcomes, s.sent, s.served
	if float64(s.served) < minServedShare*float64(s.sent) || s.sent == 0 {
		res.Violations = append(res.Violations, fmt.Sprintf("recover: %d of %d requests served after the last disturbance", s.served, s.sent))
	}
	sort.Strings(res.Violations)
	return res, w.check.writeStreams(opt.Dir)
}

// injectFaults injects the faults at random intervals for the fault period and undoes each one after a random duration. It
// returns a description of each fault.
func (w *world) injectFaults(faults []fault) []string {
	var mu sync.Mutex
	var events []string
	var wg sync.WaitGroup
	active := map[string]bool{} // by exclusion group, whether a fault is active
	start := time.Now()
	for time.Since(start) < w.options.FaultPeriod {
		f, pick := faults[w.random.IntN(len(faults))], w.random.IntN(1<<16)
		duration := minFaultDuration + time.Duration(w.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		interval := time.Duration(w.random.Int64N(int64(maxFaultInterval)))
		mu.Lock()
		conflicts := active[exclusionGroup(f.name)]
		active[exclusionGroup(f.name)] = true
		mu.Unlock()
		if !conflicts {
			wg.Add(1)
			go func() {
				defer wg.Done()
				startedAfter := time.Since(start)
				detail, undo := f.inject(w, pick, duration)
				if undo != nil {
					time.Sleep(duration)
					undo()
				}
				mu.Lock()
				defer mu.Unlock()
				active[exclusionGroup(f.name)] = false
				events = append(events, fmt.Sprintf("%6.2f s to %6.2f s %s %s", startedAfter.Seconds(), time.Since(start).Seconds(), f.name, detail))
			}()
		}
		time.Sleep(interval)
	}
	wg.Wait()
	sort.Strings(events)
	return events
}

// exclusionGroup returns the group of a fault. Faults of one group are never active together, because they would undo
// each other.
func exclusionGroup(name string) string {
	switch name {
	case "kill a process", "kill all processes", "pause a process", "stop a process", "restarts", "entry-ends", "sidecars":
		return "processes"
	case "crash a runner", "drain a runner", "steps", "freeze", "hold", "crashing", "reused-address", "reused-plain-address":
		return "runners"
	}
	return name
}

// minFailedProbes is the number of failed probes after which an entry leaves the rotation.
const minFailedProbes = 2

// balancer stands in for the platform's load balancer: it probes each entry once a second and takes it out of rotation
// after two failed probes.
type balancer struct {
	world        *world
	mu           sync.Mutex
	failedProbes []int
}

func newBalancer(w *world) *balancer {
	b := &balancer{world: w, failedProbes: make([]int, w.shape.allEntries())}
	for i := w.shape.Entries; i < len(b.failedProbes); i++ {
		b.failedProbes[i] = minFailedProbes
	}
	return b
}

func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.probe()
		}
	}
}

// probe probes each entry once and reports whether all are ready but those that are added later.
func (b *balancer) probe() bool {
	allReady := true
	for i := range b.failedProbes {
		ready := b.world.isReady(i)
		b.mu.Lock()
		b.failedProbes[i]++
		if ready {
			b.failedProbes[i] = 0
		}
		b.mu.Unlock()
		allReady = allReady && (ready || i >= b.world.shape.Entries)
	}
	return allReady
}

// inRotation reports whether the balancer sends new connections to entry i.
func (b *balancer) inRotation(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedProbes[i] < minFailedProbes
}

// waitAllReady probes until all entries are ready and reports whether that happened within the timeout.
func (b *balancer) waitAllReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if b.probe() {
			return true
		}
	}
	return false
}
