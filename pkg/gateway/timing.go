package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

// timing records where a request spends its time. The zero value is ready for use.
type timing struct {
	// waited is the time spent waiting before the attempts, by cause.
	waited [dispatch.WaitCauses]time.Duration
	// sentAt is when the first attempt that yielded an event, or else the last attempt, started.
	sentAt time.Time
	// uncached is the number of prompt tokens of that attempt that were expected not to be in the upstream's cache.
	uncached int
	// firstAt and lastAt are the times of the first and the latest event that was forwarded.
	firstAt, lastAt time.Time
	// longestPause is the longest time between two events and pauseAt the time at which it ended.
	longestPause time.Duration
	pauseAt      time.Time
}

// recordSend records the start of an attempt.
func (t *timing) recordSend(now time.Time, uncached int) {
	if t.firstAt.IsZero() {
		t.sentAt, t.uncached = now, uncached
	}
}

// recordEvent records an event that was forwarded to the caller.
func (t *timing) recordEvent(now time.Time) {
	if t.firstAt.IsZero() {
		t.firstAt = now
	} else if pause := now.Sub(t.lastAt); pause > t.longestPause {
		t.longestPause, t.pauseAt = pause, now
	}
	t.lastAt = now
}

// fields returns the log fields of the request's times, in milliseconds since its start. A time that does not apply
// is -1.
func (t *timing) fields(start time.Time, route *catalog.Route, priority int) []any {
	since := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return at.Sub(start).Milliseconds()
	}
	return []any{
		"priority", priority, "target_ms", route.Target.Milliseconds(), "gap_ms", route.MaxEventGap.Milliseconds(),
		"reports_ms", t.waited[dispatch.WaitReports].Milliseconds(), "model_ms", t.waited[dispatch.WaitModel].Milliseconds(),
		"adapter_ms", t.waited[dispatch.WaitAdapter].Milliseconds(), "prefill_ms", t.waited[dispatch.WaitPrefill].Milliseconds(),
		"backoff_ms", t.waited[dispatch.WaitBackoff].Milliseconds(), "limit_ms", t.waited[dispatch.WaitRate].Milliseconds(), "sent_ms", since(t.sentAt), "uncached", t.uncached, "first_ms", since(t.firstAt), "pause_ms", t.longestPause.Milliseconds(), "pause_at_ms", since(t.pauseAt),
	}
}
