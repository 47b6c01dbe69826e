package gateway

import (
	"errors"
	"io"
	"sync"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// maxAnswer bounds an answer that is held back until it is whole, in bytes.
	maxAnswer = 8 << 20
	// defaultHeld bounds the bodies that are held at a time if the process has no memory limit, in bytes.
	defaultHeld = 64 << 20
	// firstSegment and nextSegment are the sizes in bytes in which a body is read: most answers fit into the first.
	firstSegment = 2 << 10
	nextSegment  = 32 << 10
)

// Errors of bodies that exceed a bound.
var (
	errAnswerTooLong = errors.New("answer exceeds the limit")
	errMemoryUsedUp  = errors.New("memory for bodies is used up")
)

// heldBytes bounds the memory of the bodies that are held at a time. A body may take at most as much as is free, so that
// bodies without end leave room for those of common size: n of them take n/(n+1) of the memory.
type heldBytes struct {
	mu          sync.Mutex
	total, used int64
}

// take reserves more bytes for a body that holds some already. It returns false if they exceed the body's share.
func (h *heldBytes) take(holds, more int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if holds+more > h.total-h.used {
		return false
	}
	h.used += more
	return true
}

func (h *heldBytes) release(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used -= n
}

// segments is a body in the pieces in which it was read.
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

// hold reads an answer's body of at most maxAnswer bytes within the memory for bodies. What it reserves is released when
// the call ends.
func (c *call) hold(body io.Reader) (segments, error) {
	var out segments
	read, reserved := int64(0), int64(0)
	for size := int64(firstSegment); ; size = nextSegment {
		if !c.g.held.take(reserved, size) {
			return nil, fault.Wrap(errMemoryUsedUp, fault.StepDispatch, "", "read body")
		}
		c.held += size
		reserved += size
		part, err := fill(body, make([]byte, size))
		read += int64(len(part))
		out = append(out, part)
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, fault.Wrap(err, fault.StepDispatch, "", "read body")
		case read > maxAnswer:
			return nil, fault.Wrap(errAnswerTooLong, fault.StepDispatch, "", "read body")
		}
	}
}

// fill reads until the buffer is full or the reader fails. In contrast to io.ReadFull it returns the reader's own error: a
// body that is cut short must not be taken for one that has ended.
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
