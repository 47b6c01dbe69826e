// Package stream decides which bytes of an answer are new, whether any are missing and when the answer is whole. It
// also holds the clock that declares a path dead. It is pure: time is passed in.
package stream

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// PingInterval is the time between two signs of life in a request's stream.
	PingInterval = 500 * time.Millisecond
	// MissedPings is how many missing signs of life mean that the path is dead.
	MissedPings = 3
	// LivenessTimeout is the longest silence of a live path.
	LivenessTimeout = MissedPings * PingInterval
)

// Verdict is the judgement of one frame.
type Verdict uint8

// Verdicts.
const (
	// Accepted says that the frame belongs to the answer and was used.
	Accepted Verdict = iota
	// Crossed says that the frame belongs to another request. It is dropped.
	Crossed
	// Late says that the frame belongs to an earlier attempt. It is dropped.
	Late
	// Duplicate says that all bytes of the frame were received before. It is dropped.
	Duplicate
	// Gap says that bytes before the frame are missing. The answer is resumed at Offset.
	Gap
	// Corrupt says that the frame contradicts bytes already received. The answer cannot become whole.
	Corrupt
)

// String returns the verdict's name as used in metrics.
func (v Verdict) String() string {
	names := [...]string{"accepted", "crossed", "late", "duplicate", "gap", "corrupt"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Dropped reports whether the frame is ignored and the stream goes on.
func (v Verdict) Dropped() bool { return v == Crossed || v == Late || v == Duplicate }

// Assembly reassembles one answer. The zero value is not usable.
type Assembly struct {
	request string
	attempt uint32
	next    uint64
	whole   bool
}

// NewAssembly returns an assembly of the request's answer without an attempt.
func NewAssembly(request string) *Assembly { return &Assembly{request: request} }

// BeginAttempt starts the next attempt and returns its number, which is larger than all earlier ones. Frames of earlier
// attempts are late from now on. The attempt resumes at Offset.
func (a *Assembly) BeginAttempt() uint32 {
	a.attempt++
	return a.attempt
}

// Restart starts the next attempt of another run of the request, whose bytes are counted from 0.
func (a *Assembly) Restart() uint32 {
	a.next, a.whole = 0, false
	return a.BeginAttempt()
}

// Attempt returns the number of the current attempt; 0 before the first one.
func (a *Assembly) Attempt() uint32 { return a.attempt }

// Offset returns the number of bytes received in order, at which an attempt resumes.
func (a *Assembly) Offset() uint64 { return a.next }

// IsComplete reports whether the last byte has arrived and the end was announced.
func (a *Assembly) IsComplete() bool { return a.whole }

// Check judges a frame by request id and attempt only. Frames without these fields (pings) need no check.
func (a *Assembly) Check(request string, attempt uint32) Verdict {
	switch {
	case request != a.request:
		return Crossed
	case attempt < a.attempt:
		return Late
	case attempt > a.attempt:
		return Crossed
	}
	return Accepted
}

// ApplyData returns the bytes of the frame that were not received before. They are a part of d.Bytes.
func (a *Assembly) ApplyData(d *wire.Data) ([]byte, Verdict) {
	if v := a.Check(d.Request, d.Attempt); v != Accepted {
		return nil, v
	}
	end := d.Offset + uint64(len(d.Bytes))
	switch {
	case a.whole && end > a.next, end < d.Offset:
		return nil, Corrupt
	case d.Offset > a.next:
		return nil, Gap
	case end <= a.next:
		return nil, Duplicate
	}
	fresh := d.Bytes[a.next-d.Offset:]
	a.next = end
	return fresh, Accepted
}

// ApplyEnd judges the announced end. The answer is whole if the verdict is Accepted.
func (a *Assembly) ApplyEnd(e *wire.End) Verdict {
	if v := a.Check(e.Request, e.Attempt); v != Accepted {
		return v
	}
	switch {
	case e.Length > a.next:
		return Gap
	case e.Length < a.next:
		return Corrupt
	}
	a.whole = true
	return Accepted
}

// Liveness declares a path dead after a silence. The zero value is not usable.
type Liveness struct {
	limit time.Duration
	last  time.Time
}

// NewLiveness returns a clock that starts now and allows a silence of limit.
func NewLiveness(limit time.Duration, now time.Time) Liveness {
	return Liveness{limit: limit, last: now}
}

// RecordHeartbeat records a sign of life.
func (l *Liveness) RecordHeartbeat(now time.Time) { l.last = now }

// Deadline returns the time at which the path counts as dead unless something is heard before.
func (l *Liveness) Deadline() time.Time { return l.last.Add(l.limit) }

// Dead reports whether the path has been silent for the limit.
func (l *Liveness) Dead(now time.Time) bool { return !now.Before(l.Deadline()) }
