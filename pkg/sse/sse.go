// Package sse splits a text/event-stream into whole events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// maxEvent bounds one event in bytes; an event holds a few tokens. Some hundred streams at a time read such an event on a VM
// with 184 MB.
const maxEvent = 64 << 10

// ErrPartial means that the stream ended in the middle of an event.
var ErrPartial = errors.New("stream ended within an event")

// Event is one event with its bytes as received, the blank line included.
type Event struct {
	Raw []byte
	ID  string
}

// Reader reads events.
type Reader struct{ r *bufio.Reader }

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 8<<10)} }

// Next returns the next event. At the regular end of the stream it returns io.EOF, and ErrPartial if the stream ended
// within an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEvent {
			return Event{}, fault.Newf(fault.StepStream, "", "event exceeds %d bytes", maxEvent)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) > 0 {
			return Event{}, ErrPartial
		}
		if err != nil {
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
	}
}
