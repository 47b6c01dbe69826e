package fetchturn

import "time"

const (
	// lateOrder bounds how long an order without an answer counts as in progress while the engine's report shows nothing:
	// engines carry out such orders at most 12 s later.
	lateOrder = 13 * time.Second
	// endedRetention is how long a sidecar repeats the end of its last fetch, so that lost messages do not hide it.
	endedRetention = 2 * time.Second
)

// Tracker follows the fetch of one engine from the order to the end of the load. Until the engine's report shows
// otherwise, an order whose answer was lost counts as a fetch in progress.
type Tracker struct {
	current *trackedFetch
	ended   *Ended
	endedAt time.Time
}

type trackedFetch struct {
	model, instance string
	orders          uint64 // accepted orders that the order names
	started         time.Time
	confirmed       bool
	unanswered      bool // an answer to the order was lost
}

// Order records that an order to fetch the model is about to be sent. The order names the instance and its number of
// accepted orders.
func (t *Tracker) Order(now time.Time, model, instance string, orders uint64) {
	if c := t.current; c != nil && c.model == model && c.instance == instance && c.orders == orders {
		return // the engine carries out at most one of the two
	}
	t.current, t.ended = &trackedFetch{model: model, instance: instance, orders: orders, started: now}, nil
}

// Accepted records that the engine has accepted an order for the model. An unconfirmed order for another model that
// names the same number of accepted orders can then no longer be carried out.
func (t *Tracker) Accepted(now time.Time, model string, orders uint64) {
	switch c := t.current; {
	case c == nil || c.orders != orders:
	case c.model == model:
		c.confirmed, c.started = true, now
	case !c.confirmed:
		t.current = nil
	}
}

// Unanswered records that the answer to the order that was recorded last was lost.
func (t *Tracker) Unanswered() {
	if t.current != nil {
		t.current.unanswered = true
	}
}

// Rejected records that the engine has rejected the order that was recorded last. If the answer to the same order was
// lost before, the engine may have rejected the second one because it carries out the first.
func (t *Tracker) Rejected() {
	if c := t.current; c != nil && !c.confirmed && !c.unanswered {
		t.current = nil
	}
}

// Report records the engine's report: its instance, its number of accepted orders, whether it executes an order, and
// whether it has the model of the fetch loaded.
func (t *Tracker) Report(now time.Time, instance string, orders uint64, busy bool, loaded func(string) bool) {
	c := t.current
	if c == nil {
		return
	}
	accepted := c.confirmed || orders > c.orders
	switch {
	case instance != c.instance:
		t.end(now, false)
	case accepted && busy:
		c.confirmed = true
	case accepted:
		t.end(now, loaded(c.model))
	case !c.confirmed && now.Sub(c.started) > lateOrder:
		t.current = nil
	}
}

// InstanceEnded records that the engine's process has ended, and with it the fetch. A confirmed fetch has no other bound:
// while the engine is down, no report shows its end.
func (t *Tracker) InstanceEnded(now time.Time) {
	if t.current != nil {
		t.end(now, false)
	}
}

func (t *Tracker) end(now time.Time, loaded bool) {
	c := t.current
	t.ended, t.endedAt, t.current = &Ended{Model: c.model, DurationMS: now.Sub(c.started).Milliseconds(), Loaded: loaded}, now, nil
}

// State returns the fetch in progress and the one that ended last; nil if there is none.
func (t *Tracker) State(now time.Time) (*Fetch, *Ended) {
	var fetch *Fetch
	if c := t.current; c != nil {
		fetch = &Fetch{Model: c.model, AgeMS: now.Sub(c.started).Milliseconds(), Unconfirmed: !c.confirmed}
	}
	if t.ended != nil && now.Sub(t.endedAt) > endedRetention {
		t.ended = nil
	}
	return fetch, t.ended
}
