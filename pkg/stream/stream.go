// Package stream decides which bytes of an answer are new, whether any are missing and when the answer is complete. It
// also tracks the liveness of a path. It is pure: the time is a parameter.
package stream

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// PingInterval is the time between two heartbeats in a request's stream.
	PingInterval = 500 * time.Millisecond
	// MissedPings is the number of missed heartbeats after which a path is dead.
	MissedPings = 3
	// LivenessTimeout is the time without a heartbeat after which a path is dead.
	LivenessTimeout = MissedPings * PingInterval
)

// Verdict is the result of checking one frame.
type Verdict uint8

// Verdicts.
const (
	// Accepted means that the frame belongs to the answer and was used.
	Accepted Verdict = iota
	// Crossed means that the frame belongs to another request or to an attempt that has not started. It is dropped.
	Crossed
	// Stale means that the frame belongs to an earlier attempt. It is dropped.
	Stale
	// Duplicate means that all bytes of the frame were received before. It is dropped.
	Duplicate
	// Gap means that bytes before the frame are missing. The answer is resumed at Offset.
	Gap
	// Corrupt means that the frame contradicts bytes already received. The answer cannot be completed.
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

// Dropped reports whether the frame is ignored and the stream continues.
func (v Verdict) Dropped() bool { return v == Crossed || v == Stale || v == Duplicate }

// Assembly reassembles one answer. The zero value is not usable.
type Assembly struct {
	request  string
	attempt  uint32
	offset   uint64
	complete bool
}

// NewAssembly returns an assembly of the request's answer that has no attempt yet.
func NewAssembly(request string) *Assembly { return &Assembly{request: request} }

// BeginAttempt starts the next attempt and returns its number, which is larger than all earlier ones. Frames of earlier
// attempts are Late from then on. The attempt resumes at Offset.
func (a *Assembly) BeginAttempt() uint32 {
	a.attempt++
	return a.attempt
}

// Restart starts the next attempt as a new run of the request, whose bytes are counted from 0.
func (a *Assembly) Restart() uint32 {
	a.offset, a.complete = 0, false
	return a.BeginAttempt()
}

// Attempt returns the number of the current attempt, or 0 before the first one.
func (a *Assembly) Attempt() uint32 { return a.attempt }

// Offset returns the number of bytes received in order, at which an attempt resumes.
func (a *Assembly) Offset() uint64 { return a.offset }

// IsComplete reports whether all bytes and the end of the answer have been received.
func (a *Assembly) IsComplete() bool { return a.complete }

// Check returns the verdict on a frame by its request id and attempt only. Frames without these fields (pings) need no
// check.
func (a *Assembly) Check(request string, attempt uint32) Verdict {
	switch {
	case request != a.request:
		return Crossed
	case attempt < a.attempt:
		return Stale
	case attempt > a.attempt:
		return Crossed
	}
	return Accepted
}

// ApplyData applies a data frame and returns its bytes that were not received before, which are a slice of d.Bytes.
func (a *Assembly) ApplyData(d *wire.Data) ([]byte, Verdict) {
	if v := a.Check(d.Request, d.Attempt); v != Accepted {
		return nil, v
	}
	end := d.Offset + uint64(len(d.Bytes))
	switch {
	case a.complete && end > a.offset, end < d.Offset:
		return nil, Corrupt
	case d.Offset > a.offset:
		return nil, Gap
	case end <= a.offset:
		return nil, Duplicate
	}
	fresh := d.Bytes[a.offset-d.Offset:]
	a.offset = end
	return fresh, Accepted
}

// ApplyEnd applies the end frame. The answer is complete if the verdict is Accepted.
func (a *Assembly) ApplyEnd(e *wire.End) Verdict {
	if v := a.Check(e.Request, e.Attempt); v != Accepted {
		return v
	}
	switch {
	case e.Length > a.offset:
		return Gap
	case e.Length < a.offset:
		return Corrupt
	}
	a.complete = true
	return Accepted
}

// Liveness tracks the heartbeats of a path. The zero value is not usable.
type Liveness struct {
	timeout       time.Duration
	lastHeartbeat time.Time
}

// NewLiveness returns the liveness of a path that is dead after timeout without a heartbeat, counted from now.
func NewLiveness(timeout time.Duration, now time.Time) Liveness {
	return Liveness{timeout: timeout, lastHeartbeat: now}
}

// RecordHeartbeat records a heartbeat.
func (l *Liveness) RecordHeartbeat(now time.Time) { l.lastHeartbeat = now }

// Deadline returns the time at which the path is dead unless a heartbeat arrives before.
func (l *Liveness) Deadline() time.Time { return l.lastHeartbeat.Add(l.timeout) }

// Dead reports whether the path has had no heartbeat for the timeout.
func (l *Liveness) Dead(now time.Time) bool { return !now.Before(l.Deadline()) }
