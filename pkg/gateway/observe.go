package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// streamObserver records the times of the first events of a stream, from which the speed of its upstream is learned. It
// takes the lock of the core twice for each stream at most, since events are frequent.
type streamObserver struct {
	c        *callerRequest
	upstream string
	// resumed reports whether the stream continues an earlier one: its upstream then processes more than the prompt.
	resumed  bool
	events   speed.Events
	recorded bool // whether the events have been passed on
}

// recordEvent records the arrival of an event.
func (o *streamObserver) recordEvent(now time.Time) {
	if o.events.Record(now) {
		o.pass(now)
	}
}

// recordEnd records the end of a complete stream.
func (o *streamObserver) recordEnd() {
	now := time.Now()
	if !o.recorded {
		o.pass(now)
	}
	if !o.resumed {
		o.c.g.core.Do(func(s *dispatch.State) { s.RecordStreamEnd(now, o.c.req, o.events.Count()) })
	}
}

func (o *streamObserver) pass(now time.Time) {
	o.recorded = true
	if !o.resumed {
		o.c.g.core.Do(func(s *dispatch.State) { s.RecordEvents(now, o.upstream, o.c.req, &o.events) })
	}
}
