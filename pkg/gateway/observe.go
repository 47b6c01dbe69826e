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

// countPrefix counts the prompt tokens of the last attempt that were expected to be cached and not, and its detour.
func (c *callerRequest) countPrefix() {
	c.g.scope.Counter("prompt_tokens_cached_total").Inc(int64(c.decision.Cached))
	c.g.scope.Counter("prompt_tokens_uncached_total").Inc(int64(c.timing.uncached))
	if c.decision.Detour > 0 {
		c.g.scope.Timer("prompt_detour_seconds").Record(c.decision.Detour)
	}
}
