package soak

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// warmUp is the time for the processes to become ready.
	warmUp = 10 * time.Second
	// settle is the time after the last disturbance until service must be back, and calmFor how long it is measured then.
	settle  = 6 * time.Second
	calmFor = 2 * time.Second
	// servedAgain is the share of requests that must be served in the calm end.
	servedAgain = 0.9
	maxGap      = 1200 * time.Millisecond
	minLast     = 300 * time.Millisecond
	maxLast     = 2500 * time.Millisecond
)

// Result is what one run has found.
type Result struct {
	Seed       uint64
	Violations []string
	Events     []string
	Outcomes   map[string]int
	Sent       int
	Served     int
}

// Run plays one seed.
func Run(opt Options) (Result, error) {
	w, err := build(opt)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return Result{}, fmt.Errorf("start of seed %d: %w", opt.Seed, err)
	}
	res := Result{Seed: opt.Seed}
	rotation := newRotation(w)
	if !rotation.waitAll(warmUp) {
		res.Violations = []string{fmt.Sprintf("start: not all entries are ready after %s", warmUp)}
		return res, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	calm := make(chan struct{})
	var wg sync.WaitGroup
	s := &stats{}
	go rotation.run(ctx)
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.newCaller(n, s).run(ctx, rotation.in, calm)
		}()
	}
	res.Events = w.disturb()
	time.Sleep(settle)
	close(calm)
	time.Sleep(calmFor)
	cancel()
	wg.Wait()
	res.Violations, res.Outcomes, res.Sent, res.Served = w.check.violated, w.check.outcomes, s.asked, s.served
	if float64(s.served) < servedAgain*float64(s.asked) || s.asked == 0 {
		res.Violations = append(res.Violations, fmt.Sprintf("recover: %d of %d requests served after the last disturbance", s.served, s.asked))
	}
	sort.Strings(res.Violations)
	return res, nil
}

// disturb begins faults at random times until the time is over and undoes them; they overlap and come in series. It
// returns what happened.
func (w *world) disturb() []string {
	var mu sync.Mutex
	var events []string
	var wg sync.WaitGroup
	busy := map[string]bool{} // one fault of a kind at a time, and one that ends or pauses processes or runners
	begin := time.Now()
	for time.Since(begin) < w.opt.FaultPeriod {
		f, pick := faults[w.rnd.IntN(len(faults))], w.rnd.IntN(1<<16)
		lasts := minLast + time.Duration(w.rnd.Int64N(int64(maxLast-minLast)))
		gap := time.Duration(w.rnd.Int64N(int64(maxGap)))
		mu.Lock()
		taken := busy[group(f.name)]
		busy[group(f.name)] = true
		mu.Unlock()
		if !taken {
			wg.Add(1)
			go func() {
				defer wg.Done()
				at := time.Since(begin)
				what, undo := f.run(w, pick, lasts)
				if undo != nil {
					time.Sleep(lasts)
					undo()
				}
				mu.Lock()
				defer mu.Unlock()
				busy[group(f.name)] = false
				events = append(events, fmt.Sprintf("%6.2f s to %6.2f s %s %s", at.Seconds(), time.Since(begin).Seconds(), f.name, what))
			}()
		}
		time.Sleep(gap)
	}
	wg.Wait()
	sort.Strings(events)
	return events
}

// group returns the name under which faults that would undo each other exclude each other.
func group(name string) string {
	switch name {
	case "kill a process", "kill all processes", "pause a process", "stop a process":
		return "processes"
	case "crash a runner", "drain a runner":
		return "runners"
	}
	return name
}

// rotation plays the platform's balancer: it asks each entry once a second and takes it out after two misses.
type rotation struct {
	w      *world
	mu     sync.Mutex
	misses []int
}

func newRotation(w *world) *rotation { return &rotation{w: w, misses: make([]int, entries)} }

func (r *rotation) run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.ask()
		}
	}
}

func (r *rotation) ask() bool {
	all := true
	for i := range entries {
		ok := r.w.ready(i)
		r.mu.Lock()
		r.misses[i]++
		if ok {
			r.misses[i] = 0
		}
		r.mu.Unlock()
		all = all && ok
	}
	return all
}

func (r *rotation) in(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses[i] < 2
}

func (r *rotation) waitAll(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r.ask() {
			return true
		}
	}
	return false
}
