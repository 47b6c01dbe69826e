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
	// maxBufferedBytes bounds an answer that is buffered until it is complete. A longer one is streamed.
	maxBufferedBytes = 1 << 20
	// maxRetainedBytes bounds the delivered part of a stream that is retained so that another upstream can continue it:
	// about 5,000 tokens.
	maxRetainedBytes = 1 << 20
)

// answer delivers an upstream's answer to the sink: server-sent events one by one, anything else once it is complete.
// It retains the delivered events, so that another upstream can continue the stream.
type answer struct {
	sink        Sink
	head        engine.Head
	eventStream bool // the answer consists of server-sent events
	delivered   bool // the sink has received the head
	buffered    []byte
	endMarker   []byte // the end marker, withheld until the answer is known to be complete
	retained    []byte // events delivered to the sink
	overflow    bool   // retained exceeded its limit and was dropped
	// rewriter is set while another upstream continues the stream.
	rewriter       *rewriter
	modelStream    bool // a model's stream; events of plain services have no known format
	usageRequested bool // the caller asked for a usage event
}

func newAnswer(req *Request, sink Sink) *answer {
	return &answer{sink: sink, modelStream: req.Kind == wire.KindModel, usageRequested: bytes.Contains(req.Body, []byte(`"include_usage"`))}
}

// Started reports whether the sink has received a part of the answer.
func (a *answer) Started() bool { return a.delivered }

// Restart discards the bytes that were not delivered.
func (a *answer) Restart() {
	a.buffered, a.endMarker = a.buffered[:0], nil
	if a.delivered && a.eventStream {
		a.rewriter = newRewriter(a.retained)
	}
}

// Prefix returns the text delivered so far. See Progress.
func (a *answer) Prefix() (text []byte, notContinuable, textComplete bool) {
	switch {
	case !a.delivered:
		return nil, false, false
	case !a.eventStream || a.overflow || !a.modelStream:
		return nil, true, false
	}
	output, finished, ok := extractText(a.retained)
	if !ok || finished && a.usageRequested {
		return nil, true, false
	}
	return continuationPrefix(output, a.retained), false, finished
}

func (a *answer) onHead(h engine.Head) error {
	events := h.Status == http.StatusOK && isEventStream(h)
	if a.delivered {
		if !events || !a.eventStream {
			return errNotStreamed
		}
		return nil
	}
	a.head, a.eventStream = h, events
	return nil
}

var errNotStreamed = fault.New(fault.StepStream, "", "the upstream that continues the answer does not stream it")

func isEventStream(h engine.Head) bool {
	for _, f := range h.Header {
		if strings.EqualFold(f.Name, "Content-Type") {
			return strings.HasPrefix(f.Value, "text/event-stream")
		}
	}
	return false
}

// deliverHead sends the head to the sink unless that has been done.
func (a *answer) deliverHead(complete bool) error {
	if a.delivered {
		return nil
	}
	a.delivered = true
	return a.sink.Head(a.head, complete)
}

// onData handles the next bytes of the body.
func (a *answer) onData(b []byte) error {
	if a.eventStream {
		return a.onEvents(b)
	}
	if a.delivered {
		return a.sink.Data(b)
	}
	a.buffered = append(a.buffered, b...)
	if len(a.buffered) <= maxBufferedBytes {
		return nil
	}
	return a.deliverBuffered(false)
}

func (a *answer) deliverBuffered(complete bool) error {
	if err := a.deliverHead(complete); err != nil {
		return err
	}
	b := a.buffered
	a.buffered = nil
	return a.sink.Data(b)
}

// onEvents delivers complete events only, so that the sink never has a partial event when another upstream takes over.
func (a *answer) onEvents(b []byte) error {
	if len(a.buffered) > 0 || !bytes.HasSuffix(b, eventEnd) {
		a.buffered = append(a.buffered, b...)
		n := completeEventsLen(a.buffered)
		if n == 0 {
			if len(a.buffered) > maxBufferedBytes {
				return fault.New(fault.StepStream, "", "an event of the answer is larger than 1 MiB")
			}
			return nil
		}
		complete := a.buffered[:n]
		err := a.deliverEvents(complete)
		a.buffered = append(a.buffered[:0], a.buffered[n:]...)
		return err
	}
	return a.deliverEvents(b)
}

var eventEnd = []byte("\n\n")

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	n := bytes.LastIndex(b, eventEnd) + len(eventEnd)
	if n < len(eventEnd) {
		n = 0
	}
	if m := bytes.LastIndex(b, []byte("\r\n\r\n")); m >= 0 && m+4 > n {
		n = m + 4
	}
	return n
}

func (a *answer) deliverEvents(b []byte) error {
	if i := endMarkerIndex(b); i >= 0 {
		a.endMarker = append([]byte(nil), b[i:]...)
		b = b[:i]
	}
	if a.rewriter != nil {
		b = a.rewriter.events(b)
	}
	if len(b) == 0 {
		return nil
	}
	if err := a.deliverHead(false); err != nil {
		return err
	}
	a.retain(b)
	return a.sink.Data(b)
}

func (a *answer) retain(b []byte) {
	if len(a.retained)+len(b) > maxRetainedBytes {
		a.overflow, a.retained = true, nil
	}
	if !a.overflow {
		a.retained = append(a.retained, b...)
	}
}

// finish delivers the rest of a complete answer. If endMarkerLost is set, the text is complete and only the end marker
// was lost with its upstream.
func (a *answer) finish(endMarkerLost bool) error {
	if !a.eventStream && !a.delivered {
		return a.deliverBuffered(true)
	}
	if err := a.deliverHead(false); err != nil {
		return err
	}
	remaining := append(a.buffered, a.endMarker...)
	if endMarkerLost {
		remaining = endMarkerEvent
	}
	if len(remaining) == 0 {
		return nil
	}
	return a.sink.Data(remaining)
}
