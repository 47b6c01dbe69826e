// Package eventlog writes structured log lines without delaying the caller. Lines pass a bounded ring to one writer, and
// a budget per second bounds their volume; what is left out is counted and reported.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hibiscuscross/hibiscuscross/pkg/ring"
)

const (
	// ringSize bounds the lines that wait to be written: about two seconds of the budget.
	ringSize = 512
	// linesPerSecond is the budget of request lines. At some 20 us a line it is below 1% of a core.
	linesPerSecond = 250
)

type line struct {
	msg string
	kv  []any
}

// Log writes lines. Its methods are safe for concurrent use and never block.
type Log struct {
	out     *log.Logger
	ring    *ring.Ring[line]
	left    atomic.Int64 // of this second's budget
	omitted atomic.Uint64
}

// New returns a log that writes logfmt lines to w with the role and the VM on each.
func New(w io.Writer, role, vm string) *Log {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter})
	e := &Log{out: l.With("role", role, "vm", vm), ring: ring.New[line](ringSize)}
	e.left.Store(linesPerSecond)
	return e
}

// Request writes a line about a decision on a request if the budget allows it. The values must not change afterwards.
func (l *Log) Request(msg string, kv ...any) {
	if l.left.Add(-1) < 0 {
		l.omitted.Add(1)
		return
	}
	l.State(msg, kv...)
}

// State writes a line about a change of what the process believes. Such lines are rare and not counted.
func (l *Log) State(msg string, kv ...any) {
	if !l.ring.TryPush(line{msg: msg, kv: kv}) {
		l.omitted.Add(1)
	}
}

// Run writes lines until ctx ends, and then those that still wait.
func (l *Log) Run(ctx context.Context) {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case e := <-l.ring.Items():
			l.out.Info(e.msg, e.kv...)
		case <-second.C:
			l.left.Store(linesPerSecond)
			if n := l.omitted.Swap(0); n > 0 {
				l.out.Info("log lines omitted", "count", n)
			}
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case e := <-l.ring.Items():
			l.out.Info(e.msg, e.kv...)
		default:
			return
		}
	}
}
