package gateway

import (
	"errors"
	"io"
	"sync"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// maxAnswerBytes bounds an answer that is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// defaultBodyMemory bounds the memory of all buffered bodies in bytes if the process has no memory limit.
	defaultBodyMemory = 64 << 20
	// firstSegment and nextSegment are the sizes in bytes of the pieces in which a body is read. Most answers fit into
	// the first.
	firstSegment = 2 << 10
	nextSegment  = 32 << 10
)

// Errors for bodies that exceed a bound.
var (
	errAnswerTooLong = errors.New("answer exceeds the limit")
	errMemoryUsedUp  = errors.New("memory for bodies is used up")
)

// memoryBudget bounds the memory of all buffered bodies. A body may reserve at most as much as is free, so endless
// bodies leave memory for those of common size: n of them reserve n/(n+1) of the memory.
type memoryBudget struct {
	mu          sync.Mutex
	limit, used int64
}

// reserve reserves n bytes for a body that has reserved some already. It returns false if they exceed the body's share.
func (b *memoryBudget) reserve(reserved, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reserved+n > b.limit-b.used {
		return false
	}
	b.used += n
	return true
}

func (b *memoryBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// segments is a body, split into the pieces in which it was read.
type segments [][]byte

func (s segments) len() int64 {
	n := int64(0)
	for _, part := range s {
		n += int64(len(part))
	}
	return n
}

// writeTo writes the body in order.
func (s segments) writeTo(w io.Writer) error {
	for _, part := range s {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// readAnswerBody buffers an answer's body of at most maxAnswerBytes within the memory budget. The reserved memory is
// released when the request ends.
func (c *callerRequest) readAnswerBody(body io.Reader) (segments, error) {
	var out segments
	read, reserved := int64(0), int64(0)
	for size := int64(firstSegment); ; size = nextSegment {
		if !c.g.bodyMemory.reserve(reserved, size) {
			return nil, fault.Wrap(errMemoryUsedUp, fault.StepDispatch, "", "read body")
		}
		c.reservedBytes += size
		reserved += size
		part, err := fill(body, make([]byte, size))
		read += int64(len(part))
		out = append(out, part)
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, fault.Wrap(err, fault.StepDispatch, "", "read body")
		case read > maxAnswerBytes:
			return nil, fault.Wrap(errAnswerTooLong, fault.StepDispatch, "", "read body")
		}
	}
}

// fill reads until the buffer is full or the reader fails. In contrast to io.ReadFull it returns the reader's own
// error, so a truncated body is not mistaken for a complete one.
func fill(r io.Reader, buf []byte) ([]byte, error) {
	n := 0
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if err != nil {
			return buf[:n], err
		}
	}
	return buf, nil
}
