// Package admission decides which waiting request an upstream serves next, and which requests are refused because they
// cannot be served before their deadline.
package admission

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// AgeStep is the waiting time that raises a request by one priority class. The classes are 0 to 9, so a request
	// of the lowest class precedes a new one of the highest after 20 s.
	AgeStep = 2 * time.Second
	// minRetryAfter is the shortest Retry-After, because the header has a resolution of 1 s.
	minRetryAfter = time.Second
	// smoothing is the weight of a new sample in the observed means.
	smoothing = 0.1
)

// Limits bound the queue.
type Limits struct {
	Count int // requests
	Bytes int // of their bodies
}

// DefaultLimits returns the limits of the daemon. The bytes leave most of the 128 MB budget of a process free.
func DefaultLimits() Limits { return Limits{Count: 1024, Bytes: 48 << 20} }

// Request is a request that asks to be served.
type Request struct {
	ID       string
	Target   engine.Target // empty for a plain service
	Priority int           // larger is more urgent
	Deadline time.Time
	Bytes    int
}

// Refusal says why a request was not queued. It has not run.
type Refusal struct {
	Code       wire.Code // queue_full, too_late or expired
	Reason     string
	RetryAfter time.Duration
}

// waiting is a queued request.
type waiting struct {
	Request
	since time.Time
	seq   uint64
	cold  bool          // the target is not loaded
	load  time.Duration // predicted time until the target is loaded
}

// Queue is the queue of one upstream. It is a pure state machine and not safe for concurrent use.
type Queue struct {
	limits  Limits
	slots   int
	running map[string]time.Time // start by request id
	items   map[string]*waiting
	bytes   int
	seq     uint64
	service mean // of the time of a call
}

// mean is an exponentially weighted mean.
type mean struct {
	value   time.Duration
	samples int
}

func (m *mean) add(d time.Duration) {
	if m.samples++; m.samples == 1 {
		m.value = d
		return
	}
	m.value += time.Duration(smoothing * float64(d-m.value))
}

// New returns an empty queue of an upstream that runs up to slots calls at once.
func New(limits Limits, slots int) *Queue {
	return &Queue{limits: limits, slots: max(1, slots), running: map[string]time.Time{}, items: map[string]*waiting{}}
}

// SetSlots changes how many calls run at once. Values below 1 count as 1.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// Offer queues a request, or says why not. A cold request, whose target is predicted to be loaded after load, waits for
// Warm before it can be served; it takes no place before the ones whose targets are loaded.
func (q *Queue) Offer(now time.Time, r Request, cold bool, load time.Duration) *Refusal {
	if !now.Before(r.Deadline) {
		return &Refusal{Code: wire.CodeExpired, Reason: "the deadline has passed"}
	}
	w := &waiting{Request: r, since: now, seq: q.seq + 1, cold: cold, load: load}
	wait := q.predict(now, w)
	if len(q.items) >= q.limits.Count || q.bytes+r.Bytes > q.limits.Bytes {
		return &Refusal{Code: wire.CodeQueueFull, Reason: "the queue is full", RetryAfter: max(minRetryAfter, wait)}
	}
	if now.Add(wait).After(r.Deadline) {
		return &Refusal{Code: wire.CodeTooLate, Reason: "the predicted wait of " + wait.Round(time.Millisecond).String() + " exceeds the deadline", RetryAfter: max(minRetryAfter, wait)}
	}
	q.seq++
	q.items[r.ID] = w
	q.bytes += r.Bytes
	return nil
}

// Requeue queues a request again whose call ended without effect, without the checks of Offer: at most as many
// requests as the upstream has slots exceed the bounds thereby.
func (q *Queue) Requeue(now time.Time, r Request, cold bool) {
	q.seq++
	q.items[r.ID] = &waiting{Request: r, since: now, seq: q.seq, cold: cold}
	q.bytes += r.Bytes
}

// TargetLoaded says that a target is loaded, and returns the ids of the requests that waited for it, in the order of arrival.
func (q *Queue) TargetLoaded(t engine.Target) []string {
	ids := q.coldIDs(t)
	for _, id := range ids {
		q.items[id].cold = false
	}
	return ids
}

// TargetFailed removes the requests that wait for a target to be loaded and returns their ids, in the order of arrival.
func (q *Queue) TargetFailed(t engine.Target) []string {
	ids := q.coldIDs(t)
	for _, id := range ids {
		q.Remove(id)
	}
	return ids
}

func (q *Queue) coldIDs(t engine.Target) []string {
	return q.ids(func(w *waiting) bool { return w.cold && w.Target == t })
}

// ids returns the ids of the waiting requests that match, in the order of arrival.
func (q *Queue) ids(match func(*waiting) bool) []string {
	var found []*waiting
	for _, w := range q.items {
		if match(w) {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *waiting) int { return compare(a.seq, b.seq) })
	out := make([]string, len(found))
	for i, w := range found {
		out[i] = w.ID
	}
	return out
}

// Next takes the request that is served next, among those that may accepts. It reports false if no slot is free or
// no request can be served.
func (q *Queue) Next(now time.Time, may func(id string) bool) (string, bool) {
	if len(q.running) >= q.slots {
		return "", false
	}
	var best *waiting
	for _, w := range q.items {
		if !w.cold && now.Before(w.Deadline) && (best == nil || before(now, w, best)) && may(w.ID) {
			best = w
		}
	}
	if best == nil {
		return "", false
	}
	q.Remove(best.ID)
	q.running[best.ID] = now
	return best.ID, true
}

// Remove takes a waiting request out of the queue and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	w, ok := q.items[id]
	if ok {
		delete(q.items, id)
		q.bytes -= w.Bytes
	}
	return ok
}

// Done frees the slot of a running request. Only whole calls count for the observed service time.
func (q *Queue) Done(now time.Time, id string, whole bool) {
	since, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	if whole {
		q.service.add(now.Sub(since))
	}
}

// Expire removes the waiting requests whose deadlines have passed and returns their ids, in the order of arrival.
func (q *Queue) Expire(now time.Time) []string {
	ids := q.ids(func(w *waiting) bool { return !now.Before(w.Deadline) })
	for _, id := range ids {
		q.Remove(id)
	}
	return ids
}

// Len returns the number of waiting requests and of running ones.
func (q *Queue) Len() (queued, running int) { return len(q.items), len(q.running) }

// Slots returns how many calls run at once.
func (q *Queue) Slots() int { return q.slots }

// Predict returns the predicted wait of a new request with the priority on a loaded target.
func (q *Queue) Predict(now time.Time, priority int) time.Duration {
	return q.predict(now, &waiting{Request: Request{Priority: priority, Deadline: now.Add(time.Hour)}, since: now, seq: q.seq + 1})
}

// predict estimates when w starts: the calls before it share the slots, each taking the observed mean service time.
// A cold request also waits for its load, which goes on beside the queue.
func (q *Queue) predict(now time.Time, w *waiting) time.Duration {
	ahead := 0
	for _, other := range q.items {
		if !other.cold && before(now, other, w) {
			ahead++
		}
	}
	var wait time.Duration
	if excess := ahead + len(q.running) + 1 - q.slots; excess > 0 {
		wait = time.Duration(float64(q.service.value) * float64(excess) / float64(q.slots))
	}
	if w.cold {
		wait = max(wait, w.load)
	}
	return wait
}

// before orders two requests: the higher class first, where waiting raises the class, then the earlier deadline, then
// the earlier arrival.
func before(now time.Time, a, b *waiting) bool {
	if ca, cb := a.class(now), b.class(now); ca != cb {
		return ca > cb
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

func (w *waiting) class(now time.Time) int {
	return w.Priority + int(now.Sub(w.since)/AgeStep)
}

func compare(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}
