// Package eventlog writes structured log lines without delaying the caller. Lines pass through a bounded ring to a
// single writer, and a budget per second limits their volume. Omitted lines are counted and reported.
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
	// ringSize is the maximum number of buffered lines: about two seconds of the budget.
	ringSize = 512
	// linesPerSecond is the budget of request lines. At about 20 us per line, this is below 1% of a core.
	linesPerSecond = 250
)

type line struct {
	msg string
	kv  []any
}

// Log buffers and writes log lines. Its methods are safe for concurrent use; only Run blocks.
type Log struct {
	out       *log.Logger
	ring      *ring.Ring[line]
	remaining atomic.Int64 // of this second's budget
	omitted   atomic.Uint64
}

// New returns a log that writes logfmt lines to w, each with the role and the VM.
func New(w io.Writer, role, vm string) *Log {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter})
	e := &Log{out: l.With("role", role, "vm", vm), ring: ring.New[line](ringSize)}
	e.remaining.Store(linesPerSecond)
	return e
}

// Request logs a decision on a request if the budget allows it. The values must not be modified afterwards.
func (l *Log) Request(msg string, kv ...any) {
	if l.remaining.Add(-1) < 0 {
		l.omitted.Add(1)
		return
	}
	l.State(msg, kv...)
}

// State logs a change in the process's view of the system. Such lines are rare and do not count towards the budget.
func (l *Log) State(msg string, kv ...any) {
	if !l.ring.TryPush(line{msg: msg, kv: kv}) {
		l.omitted.Add(1)
	}
}

// Run writes lines until ctx ends, and then the buffered ones.
func (l *Log) Run(ctx context.Context) {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case e := <-l.ring.Items():
			l.out.Info(e.msg, e.kv...)
		case <-second.C:
			l.remaining.Store(linesPerSecond)
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
