// Package admission decides which queued request an upstream serves next, and refuses requests that cannot be served
// before their deadline.
package admission

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// AgeStep is the waiting time that raises a request by one priority class. The classes are 0 to 9, so after 20 s a
	// request of the lowest class precedes a new one of the highest.
	AgeStep = 2 * time.Second
	// minRetryAfter is the shortest Retry-After, because the header has a resolution of 1 s.
	minRetryAfter = time.Second
	// smoothing is the weight of a new sample in an exponentially weighted mean.
	smoothing = 0.1
)

// Limits are the bounds of a queue.
type Limits struct {
	Count int // number of queued requests
	Bytes int // total size of their bodies
}

// DefaultLimits returns the limits of the daemon. The byte limit leaves most of a process's 128 MB memory budget free.
func DefaultLimits() Limits { return Limits{Count: 1024, Bytes: 48 << 20} }

// Request is a request to be queued.
type Request struct {
	ID       string
	Target   engine.Target // empty for a plain service
	Priority int           // larger is more urgent
	Deadline time.Time
	Bytes    int
}

// Refusal is the reason why a request was not queued. The request has not run.
type Refusal struct {
	Code       wire.Code // queue_full, too_late or expired
	Reason     string
	RetryAfter time.Duration
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	Request
	since        time.Time
	seq          uint64
	cold         bool          // the target is not loaded
	expectedLoad time.Duration // predicted time until the target is loaded
}

// Queue is the request queue of one upstream. It is a pure state machine and not safe for concurrent use.
type Queue struct {
	limits      Limits
	slots       int
	running     map[string]time.Time // start by request id
	queued      map[string]*queuedRequest
	bytes       int
	seq         uint64
	serviceTime mean // mean duration of a call
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
	return &Queue{limits: limits, slots: max(1, slots), running: map[string]time.Time{}, queued: map[string]*queuedRequest{}}
}

// SetSlots changes how many calls run at once. Values below 1 count as 1.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// Offer queues a request or returns the reason for refusing it. A cold request, whose target is predicted to be loaded
// after expectedLoad, is not served before TargetLoaded. It does not delay requests whose targets are loaded.
func (q *Queue) Offer(now time.Time, r Request, cold bool, expectedLoad time.Duration) *Refusal {
	if !now.Before(r.Deadline) {
		return &Refusal{Code: wire.CodeExpired, Reason: "the deadline has passed"}
	}
	item := &queuedRequest{Request: r, since: now, seq: q.seq + 1, cold: cold, expectedLoad: expectedLoad}
	wait := q.predict(now, item)
	if len(q.queued) >= q.limits.Count || q.bytes+r.Bytes > q.limits.Bytes {
		return &Refusal{Code: wire.CodeQueueFull, Reason: "the queue is full", RetryAfter: max(minRetryAfter, wait)}
	}
	if now.Add(wait).After(r.Deadline) {
		return &Refusal{Code: wire.CodeTooLate, Reason: "the predicted wait of " + wait.Round(time.Millisecond).String() + " exceeds the deadline", RetryAfter: max(minRetryAfter, wait)}
	}
	q.seq++
	q.queued[r.ID] = item
	q.bytes += r.Bytes
	return nil
}

// Requeue returns a request whose call ended without effect to the queue. It skips the checks of Offer, so the queue
// can exceed its limits by at most as many requests as the upstream has slots.
func (q *Queue) Requeue(now time.Time, r Request, cold bool) {
	q.seq++
	q.queued[r.ID] = &queuedRequest{Request: r, since: now, seq: q.seq, cold: cold}
	q.bytes += r.Bytes
}

// TargetLoaded records that a target is loaded and returns the ids of the requests that waited for it, in the order of
// arrival.
func (q *Queue) TargetLoaded(t engine.Target) []string {
	ids := q.coldIDs(t)
	for _, id := range ids {
		q.queued[id].cold = false
	}
	return ids
}

// TargetFailed removes the requests that wait for a target whose load failed and returns their ids, in the order of
// arrival.
func (q *Queue) TargetFailed(t engine.Target) []string {
	ids := q.coldIDs(t)
	for _, id := range ids {
		q.Remove(id)
	}
	return ids
}

func (q *Queue) coldIDs(t engine.Target) []string {
	return q.ids(func(item *queuedRequest) bool { return item.cold && item.Target == t })
}

// ids returns the ids of the queued requests that match, in the order of arrival.
func (q *Queue) ids(match func(*queuedRequest) bool) []string {
	var found []*queuedRequest
	for _, item := range q.queued {
		if match(item) {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b *queuedRequest) int { return compareSeq(a.seq, b.seq) })
	out := make([]string, len(found))
	for i, item := range found {
		out[i] = item.ID
	}
	return out
}

// Next removes the request that is served next, among those that eligible accepts, and starts it. It reports false if
// no slot is free or no request can be served.
func (q *Queue) Next(now time.Time, eligible func(id string) bool) (string, bool) {
	if len(q.running) >= q.slots {
		return "", false
	}
	var best *queuedRequest
	for _, item := range q.queued {
		if !item.cold && now.Before(item.Deadline) && (best == nil || precedes(now, item, best)) && eligible(item.ID) {
			best = item
		}
	}
	if best == nil {
		return "", false
	}
	q.Remove(best.ID)
	q.running[best.ID] = now
	return best.ID, true
}

// Remove removes a request from the queue and reports whether it was queued.
func (q *Queue) Remove(id string) bool {
	item, ok := q.queued[id]
	if ok {
		delete(q.queued, id)
		q.bytes -= item.Bytes
	}
	return ok
}

// Done frees the slot of a running request. Only complete calls count towards the observed service time.
func (q *Queue) Done(now time.Time, id string, complete bool) {
	since, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	if complete {
		q.serviceTime.add(now.Sub(since))
	}
}

// Expire removes the queued requests whose deadlines have passed and returns their ids, in the order of arrival.
func (q *Queue) Expire(now time.Time) []string {
	ids := q.ids(func(item *queuedRequest) bool { return !now.Before(item.Deadline) })
	for _, id := range ids {
		q.Remove(id)
	}
	return ids
}

// Len returns the numbers of queued and running requests.
func (q *Queue) Len() (queued, running int) { return len(q.queued), len(q.running) }

// Slots returns how many calls run at once.
func (q *Queue) Slots() int { return q.slots }

// Predict returns the predicted wait of a new request with the priority for a loaded target.
func (q *Queue) Predict(now time.Time, priority int) time.Duration {
	return q.predict(now, &queuedRequest{Request: Request{Priority: priority, Deadline: now.Add(time.Hour)}, since: now, seq: q.seq + 1})
}

// predict estimates the time until the item starts: the requests ahead of it share the slots, and each takes the
// observed mean service time. A cold request also waits for its load, which runs in parallel.
func (q *Queue) predict(now time.Time, item *queuedRequest) time.Duration {
	ahead := 0
	for _, other := range q.queued {
		if !other.cold && precedes(now, other, item) {
			ahead++
		}
	}
	var wait time.Duration
	if excess := ahead + len(q.running) + 1 - q.slots; excess > 0 {
		wait = time.Duration(float64(q.serviceTime.value) * float64(excess) / float64(q.slots))
	}
	if item.cold {
		wait = max(wait, item.expectedLoad)
	}
	return wait
}

// precedes reports whether a is served before b: the higher class first, where waiting raises the class, then the
// earlier deadline, then the earlier arrival.
func precedes(now time.Time, a, b *queuedRequest) bool {
	if ca, cb := a.class(now), b.class(now); ca != cb {
		return ca > cb
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

func (item *queuedRequest) class(now time.Time) int {
	return item.Priority + int(now.Sub(item.since)/AgeStep)
}

func compareSeq(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}
