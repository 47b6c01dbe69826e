// Package sse splits a text/event-stream into complete events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// maxEventBytes bounds one event, which normally contains a few tokens. On a VM with 184 MB, some hundred streams may
// buffer an event of this size at the same time.
const maxEventBytes = 64 << 10

// ErrPartial is returned when the stream ended within an event.
var ErrPartial = errors.New("stream ended within an event")

// Event is one event. Raw contains its bytes as received, including the blank line.
type Event struct {
	Raw []byte
	ID  string
	// IDs is the number of ids, which is 1 at most in a valid event, and Data reports whether the event has data.
	IDs  int
	Data bool
	// Foreign reports whether the event has lines that no event has, such as those of the head of another answer.
	Foreign bool
}

// Reader reads events from a stream.
type Reader struct {
	r *bufio.Reader
	// reserve, if not nil, is called before an event takes n bytes more than reserved.
	reserve  func(n int) error
	reserved int
	part     bool
}

// bufferBytes is the size of a reader's buffer. An event of this size needs no further memory to be reserved.
const bufferBytes = 8 << 10

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes), reserved: bufferBytes}
}

// SetReserve sets a function that is called before an event takes n bytes more than any before. Its error ends the read.
func (r *Reader) SetReserve(reserve func(n int) error) { r.reserve = reserve }

// grow reserves memory for an event of n bytes.
func (r *Reader) grow(n int) error {
	if r.reserve == nil || n <= r.reserved {
		return nil
	}
	more := max(n, 2*r.reserved) - r.reserved
	if err := r.reserve(more); err != nil {
		return err
	}
	r.reserved += more
	return nil
}

// HasPart reports whether the stream ended within an event of which at least the name of its first field had arrived.
func (r *Reader) HasPart() bool { return r.part }

// hasField reports whether the bytes begin with a field of an event, in contrast to bytes that are no event.
func hasField(raw []byte) bool {
	for _, field := range []string{"id:", "data:", "event:"} {
		if bytes.HasPrefix(raw, []byte(field)) {
			return true
		}
	}
	return false
}

// isFieldName reports whether the name can be that of a further field, such as the platform's own. Headers of answers have
// capital letters.
func isFieldName(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return true
}

// Next returns the next event. It returns io.EOF at the end of the stream, and ErrPartial if the stream ended within an
// event.
func (r *Reader) Next() (Event, error) {
	var e Event
	lineStart, unknown := 0, false
	for {
		part, err := r.r.ReadSlice('\n')
		if err := r.grow(len(e.Raw) + len(part)); err != nil {
			return Event{}, err
		}
		e.Raw = append(e.Raw, part...)
		if len(e.Raw) > maxEventBytes {
			return Event{}, fault.Newf(fault.StepStream, "", "event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		r.part = err != nil && hasField(e.Raw)
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) > 0 {
			return Event{}, ErrPartial
		}
		if err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(e.Raw[lineStart:], "\r\n")
		lineStart = len(e.Raw)
		if len(line) == 0 {
			e.Foreign = e.Foreign || unknown && !e.Data
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
			e.IDs++
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "data":
			e.Data = true
		case "", "id", "event", "retry": // a comment has no name
		default:
			unknown = true
			e.Foreign = e.Foreign || !isFieldName(name)
		}
	}
}
