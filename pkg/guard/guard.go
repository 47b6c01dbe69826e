// Package guard recovers panics in duties (background loops), requests and messages, so that one unexpected error does
// not end the process and every stream that it carries.
package guard

import (
	"context"
	"errors"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// maxPanics is the number of panics of a duty within panicWindow after which the process stops: its state is then
	// assumed to be corrupt, and a new process rebuilds it from the list of upstreams and their reports.
	maxPanics   = 5
	panicWindow = time.Minute
	// restartDelay is the time before a duty is restarted after a panic.
	restartDelay = 50 * time.Millisecond
)

// ErrTooManyPanics is returned when a duty has panicked too often.
var ErrTooManyPanics = errors.New("duty stopped after repeated panics")

// Guard recovers and counts panics. It is safe for concurrent use.
type Guard struct {
	log *eventlog.Log

	mu        sync.Mutex
	logged    map[string]bool // names whose stack has been logged
	recent    map[string][]time.Time
	tooMany   chan struct{} // closed when a duty has panicked too often
	closeOnce sync.Once
	total     uint64
}

// New returns a guard that logs panics to log.
func New(log *eventlog.Log) *Guard {
	return &Guard{log: log, logged: map[string]bool{}, recent: map[string][]time.Time{}, tooMany: make(chan struct{})}
}

// Total returns the number of panics so far.
func (g *Guard) Total() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}

// Do runs a step of a duty and reports whether it has panicked. If the steps of a duty panic too often, Watch returns
// an error.
func (g *Guard) Do(name string, step func()) (panicked bool) {
	defer func() {
		if p := recover(); p != nil {
			panicked = true
			g.record(name, p, true)
		}
	}()
	step()
	return false
}

// Try runs the handler of a message from another process. Its panics never stop the process, because a peer could
// otherwise end one process after another.
func (g *Guard) Try(name string, handle func()) {
	defer func() {
		if p := recover(); p != nil {
			g.RecordPanic(name, p)
		}
	}()
	handle()
}

// RecordPanic records a panic of a request that the caller has recovered. It never stops the process.
func (g *Guard) RecordPanic(name string, p any) { g.record(name, p, false) }

// record counts and logs a panic. The stack is logged only once for each name, because panics tend to recur.
func (g *Guard) record(name string, p any, duty bool) {
	now := time.Now()
	g.mu.Lock()
	first := !g.logged[name]
	g.logged[name] = true
	g.total++
	recent := slices.DeleteFunc(g.recent[name], func(at time.Time) bool { return now.Sub(at) >= panicWindow })
	if len(recent) < maxPanics {
		recent = append(recent, now)
	}
	g.recent[name] = recent
	if duty && len(recent) == maxPanics {
		g.closeOnce.Do(func() { close(g.tooMany) })
	}
	g.mu.Unlock()
	stack := ""
	if first {
		stack = string(debug.Stack())
	}
	g.log.State("panic", "in", name, "value", p, "within_a_minute", len(recent), "stack", stack)
}

// Watch returns ErrTooManyPanics once a duty has panicked too often, and nil when ctx ends. On the error the process
// shuts down gracefully, so that its open requests are answered first.
func (g *Guard) Watch(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.tooMany:
		return fault.Wrap(ErrTooManyPanics, fault.StepSettings, "", "run duties")
	}
}

// Duty returns a function that runs duty and restarts it after each panic, until it returns or ctx ends.
func (g *Guard) Duty(name string, duty func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			var err error
			if !g.Do(name, func() { err = duty(ctx) }) {
				return err
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(restartDelay):
			}
		}
	}
}
