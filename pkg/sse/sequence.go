package sse

import (
	"errors"
	"strconv"
)

// Errors for events that do not continue a stream: a piece is missing before them, has come before, or is not of it.
var (
	ErrRepeated   = errors.New("the id of the event has come before")
	ErrGap        = errors.New("events are missing before the event")
	ErrForeign    = errors.New("bytes that are no event of the stream")
	ErrUnfinished = errors.New("stream ended without an event that had begun to arrive")
)

// numbering is the kind of ids in a stream.
type numbering int

const (
	undetermined numbering = iota
	numbered               // each event has a number, and they grow
	named                  // each event has an id that is no number; their order is not checked
	nameless               // no event has an id
)

// Sequence checks the events of one stream, which may consist of several runs that each go on after the last event of the
// one before. It is not safe for concurrent use.
type Sequence struct {
	habit *Habit
	kind  numbering
	last  int64 // the highest number that was forwarded
	step  int64 // the largest step between two numbers of a run; 0 until there was one
	// run is the last number of the current run and runBegun whether there is one.
	run      int64
	runBegun bool
	// awaited reports whether the beginning of an event has arrived that has not been forwarded since.
	awaited bool
}

// NewSequence returns the sequence of a stream of which the caller has the events up to the id last; "" if none. The habit
// is that of the service that sends it.
func NewSequence(habit *Habit, last string) *Sequence {
	s := &Sequence{habit: habit}
	if last != "" {
		if n, err := strconv.ParseInt(last, 10, 64); err == nil {
			s.kind, s.last = numbered, n
		} else {
			s.kind = named
		}
	}
	return s
}

// StartRun starts the next run.
func (s *Sequence) StartRun() { s.runBegun = false }

// Add checks the next event of the run and reports whether it is to be forwarded: one that an earlier run has brought is
// not. After an error the run must not go on.
func (s *Sequence) Add(e Event) (bool, error) {
	if e.Foreign {
		return false, ErrForeign
	}
	if e.IDs == 0 && !e.Data {
		return true, nil // a comment or an event that callers ignore
	}
	kind, n := kindOf(e)
	if s.kind == undetermined && e.IDs <= 1 {
		s.kind = kind
		s.accept(n)
		return true, nil
	}
	switch {
	case kind != s.kind, e.IDs > 1:
		return false, ErrForeign
	case kind != numbered:
		s.awaited = false
		return true, nil
	case s.runBegun && n <= s.run:
		return false, ErrRepeated
	case n <= s.last:
		s.run, s.runBegun = n, true
		return false, nil
	case !s.continues(n):
		return false, ErrGap
	}
	if s.runBegun {
		s.step = max(s.step, n-s.run)
	}
	s.accept(n)
	return true, nil
}

// kindOf returns the kind of the event's id, and its number if it has one.
func kindOf(e Event) (numbering, int64) {
	n, err := strconv.ParseInt(e.ID, 10, 64)
	switch {
	case e.IDs == 0:
		return nameless, 0
	case err != nil:
		return named, 0
	}
	return numbered, n
}

// accept records an event that is forwarded.
func (s *Sequence) accept(n int64) { s.last, s.run, s.runBegun, s.awaited = n, n, true, false }

// continues reports whether the number follows the last one without a gap.
func (s *Sequence) continues(n int64) bool {
	step := s.habit.Step()
	if s.runBegun && s.step == 0 && step == 0 {
		return true // the first step shows how the numbers grow
	}
	if n-s.last <= max(1, step, s.step) {
		return true
	}
	return !s.habit.RecordGap()
}

// RecordPart records the beginning of an event that a run has brought before it was interrupted.
func (s *Sequence) RecordPart() { s.awaited = true }

// End checks the end of a run that is complete by itself.
func (s *Sequence) End() error {
	if s.awaited {
		return ErrUnfinished
	}
	if s.kind == numbered && s.step > 0 {
		s.habit.RecordComplete(s.step)
	}
	return nil
}

// CanResume reports whether another run can go on after the last event that was forwarded.
func (s *Sequence) CanResume() bool { return s.kind != nameless }
