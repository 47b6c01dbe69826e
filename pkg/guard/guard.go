// Package guard keeps an unexpected error in one duty, request or message from ending the process and every stream that it
// carries.
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
	// maxPanics is the number of panics within panicWindow after which a duty is given up: its state is then taken to be
	// broken, and a process that starts anew rebuilds it from the list and the reports.
	maxPanics   = 5
	panicWindow = time.Minute
	// restartPause is the time before a duty runs again.
	restartPause = 50 * time.Millisecond
)

// ErrTooManyPanics means that a duty has panicked again and again.
var ErrTooManyPanics = errors.New("duty given up after repeated panics")

// Guard counts panics. It is safe for concurrent use.
type Guard struct {
	log *eventlog.Log

	mu     sync.Mutex
	logged map[string]bool // duties whose stack has been written
	at     map[string][]time.Time
	given  chan struct{} // closed when a duty is given up
	give   sync.Once
	total  uint64
}

// New returns a guard that writes to the log.
func New(log *eventlog.Log) *Guard {
	return &Guard{log: log, logged: map[string]bool{}, at: map[string][]time.Time{}, given: make(chan struct{})}
}

// Total returns the number of panics so far.
func (g *Guard) Total() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}

// Do runs a step of a duty and reports whether it has panicked. A duty whose steps panic again and again is given up.
func (g *Guard) Do(name string, step func()) (panicked bool) {
	defer func() {
		if p := recover(); p != nil {
			panicked = true
			g.count(name, p, true)
		}
	}()
	step()
	return false
}

// Try handles a message of another process. However many of them panic, nothing is given up: whoever sends them could end
// one process after the other.
func (g *Guard) Try(name string, handle func()) {
	defer func() {
		if p := recover(); p != nil {
			g.RecordPanic(name, p)
		}
	}()
	handle()
}

// RecordPanic counts a panic in a request that was recovered.
func (g *Guard) RecordPanic(name string, p any) { g.count(name, p, false) }

// count counts a panic. The stack is written once for each name, since a panic tends to come again.
func (g *Guard) count(name string, p any, duty bool) {
	now := time.Now()
	g.mu.Lock()
	first := !g.logged[name]
	g.logged[name] = true
	g.total++
	recent := slices.DeleteFunc(g.at[name], func(at time.Time) bool { return now.Sub(at) >= panicWindow })
	if len(recent) < maxPanics {
		recent = append(recent, now)
	}
	g.at[name] = recent
	if duty && len(recent) == maxPanics {
		g.give.Do(func() { close(g.given) })
	}
	g.mu.Unlock()
	stack := ""
	if first {
		stack = string(debug.Stack())
	}
	g.log.State("panic", "in", name, "value", p, "within_a_minute", len(recent), "stack", stack)
}

// Watch returns ErrGivenUp once something has panicked too often, and nil when ctx ends. The process then stops as it does
// when it is told to, so that the requests it carries are answered first.
func (g *Guard) Watch(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.given:
		return fault.Wrap(ErrTooManyPanics, fault.StepSettings, "", "run duties")
	}
}

// Duty returns a duty that runs again after a panic, until it returns or ctx ends.
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
			case <-time.After(restartPause):
			}
		}
	}
}
