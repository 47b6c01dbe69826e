package router

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// maxBufferedBytes bounds an answer that is held until it is whole. A longer one is given on as it arrives.
	maxBufferedBytes = 1 << 20
	// maxKeptBytes bounds the part of a stream that is kept so that another upstream can continue it. It holds about
	// 5,000 tokens.
	maxKeptBytes = 1 << 20
)

// answer gives an answer to the sink: server-sent events one by one, anything else when it is whole. It keeps what was
// given, so that another upstream can continue it.
type answer struct {
	sink     Sink
	head     engine.Head
	events   bool // the answer is server-sent events
	given    bool // the sink has the head
	hold     []byte
	done     []byte // the end mark, held until the answer is known to be whole
	kept     []byte // events given to the sink
	overflow bool   // kept is incomplete
	// rewrite is set when another upstream continues the stream.
	rewrite *rewriter
	model   bool // a model's stream; events of plain services have no known shape
	usage   bool // the caller asked for a usage event
}

func newAnswer(req *Request, sink Sink) *answer {
	return &answer{sink: sink, model: req.Kind == wire.KindModel, usage: bytes.Contains(req.Body, []byte(`"include_usage"`))}
}

// Started reports whether the sink has bytes of the body.
func (a *answer) Started() bool { return a.given }

// Restart drops what the sink does not have.
func (a *answer) Restart() {
	a.hold, a.done = a.hold[:0], nil
	if a.given && a.events {
		a.rewrite = newRewriter(a.kept)
	}
}

// Prefix returns the text given so far and whether another upstream can continue it.
func (a *answer) Prefix() (text []byte, stuck, complete bool) {
	switch {
	case !a.given:
		return nil, false, false
	case !a.events || a.overflow || !a.model:
		return nil, true, false
	}
	t, finished, ok := textOf(a.kept)
	if !ok || finished && a.usage {
		return nil, true, false
	}
	return prefixOf(t, a.kept), false, finished
}

func (a *answer) onHead(h engine.Head) error {
	events := h.Status == http.StatusOK && isEventStream(h)
	if a.given {
		if !events || !a.events {
			return errContinued
		}
		return nil
	}
	a.head, a.events = h, events
	return nil
}

var errContinued = fault.New(fault.StepStream, "", "the upstream that continues the answer does not stream it")

func isEventStream(h engine.Head) bool {
	for _, f := range h.Header {
		if strings.EqualFold(f.Name, "Content-Type") {
			return strings.HasPrefix(f.Value, "text/event-stream")
		}
	}
	return false
}

// giveHead gives the head to the sink once.
func (a *answer) giveHead(whole bool) error {
	if a.given {
		return nil
	}
	a.given = true
	return a.sink.Head(a.head, whole)
}

// onData takes the next bytes of the body.
func (a *answer) onData(b []byte) error {
	if a.events {
		return a.onEvents(b)
	}
	if a.given {
		return a.sink.Data(b)
	}
	a.hold = append(a.hold, b...)
	if len(a.hold) <= maxBufferedBytes {
		return nil
	}
	return a.giveHeld(false)
}

func (a *answer) giveHeld(whole bool) error {
	if err := a.giveHead(whole); err != nil {
		return err
	}
	b := a.hold
	a.hold = nil
	return a.sink.Data(b)
}

// onEvents gives on whole events only, so that the sink never has a part of one when another upstream continues.
func (a *answer) onEvents(b []byte) error {
	if len(a.hold) > 0 || !bytes.HasSuffix(b, eventEnd) {
		a.hold = append(a.hold, b...)
		n := endOfEvents(a.hold)
		if n == 0 {
			if len(a.hold) > maxBufferedBytes {
				return fault.New(fault.StepStream, "", "an event of the answer is larger than 1 MiB")
			}
			return nil
		}
		whole := a.hold[:n]
		err := a.giveEvents(whole)
		a.hold = append(a.hold[:0], a.hold[n:]...)
		return err
	}
	return a.giveEvents(b)
}

var eventEnd = []byte("\n\n")

// endOfEvents returns the length of the whole events at the start of b.
func endOfEvents(b []byte) int {
	n := bytes.LastIndex(b, eventEnd) + len(eventEnd)
	if n < len(eventEnd) {
		n = 0
	}
	if m := bytes.LastIndex(b, []byte("\r\n\r\n")); m >= 0 && m+4 > n {
		n = m + 4
	}
	return n
}

func (a *answer) giveEvents(b []byte) error {
	if i := doneMark(b); i >= 0 {
		a.done = append([]byte(nil), b[i:]...)
		b = b[:i]
	}
	if a.rewrite != nil {
		b = a.rewrite.events(b)
	}
	if len(b) == 0 {
		return nil
	}
	if err := a.giveHead(false); err != nil {
		return err
	}
	a.keep(b)
	return a.sink.Data(b)
}

func (a *answer) keep(b []byte) {
	if len(a.kept)+len(b) > maxKeptBytes {
		a.overflow, a.kept = true, nil
	}
	if !a.overflow {
		a.kept = append(a.kept, b...)
	}
}

// finish gives the rest of a whole answer to the sink. MarkLost says that the text is complete and only the end mark was
// lost with its upstream.
func (a *answer) finish(markLost bool) error {
	if !a.events && !a.given {
		return a.giveHeld(true)
	}
	if err := a.giveHead(false); err != nil {
		return err
	}
	rest := append(a.hold, a.done...)
	if markLost {
		rest = doneEvent
	}
	if len(rest) == 0 {
		return nil
	}
	return a.sink.Data(rest)
}
