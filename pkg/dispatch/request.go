// Package dispatch decides for each request at a router which upstream it is sent to, whether it waits for a model to be
// loaded, whether it is repeated after a failure, and when it is refused. It is a pure state machine; the caller passes
// the time and carries out the decisions.
package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
)

// Request is a request at the router.
type Request struct {
	ID             string
	Route          *catalog.Route
	Service        string
	Model, Adapter string
	Parts          []prompt.Part
	Chain          []uint64
	TokensOut      int
	// Deadline is when the final answer is due.
	Deadline time.Time
	// EventDeadline is when the caller leaves if nothing has arrived; zero if it waits until the deadline.
	EventDeadline time.Time
	// Fingerprint is equal for repeats of the same request by the same caller.
	Fingerprint uint64

	tried map[string]bool // upstreams that must not get the request again
	runs  int             // sends that may have run
	sends int             // sends that have reached an upstream
}

// waitLimit returns how long the request may still wait before it is sent.
func (r *Request) waitLimit(now time.Time) time.Duration {
	left := r.Deadline.Sub(now)
	if !r.EventDeadline.IsZero() {
		left = min(left, r.EventDeadline.Sub(now))
	}
	return left
}

// rank returns the priority that the engine is told: 0 is served first.
func (r *Request) rank() int { return min(max(r.Route.Priority, 0), ranks-1) }

// PossibleRuns returns the number of sends after which the request may have run.
func (r *Request) PossibleRuns() int { return r.runs }

// Attempts returns the number of sends that reached an upstream.
func (r *Request) Attempts() int { return r.sends }

func (r *Request) avoid(id string) {
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[id] = true
}

// Action is what to do with a request next.
type Action int

// Actions.
const (
	// Send sends the request to an upstream.
	Send Action = iota
	// Wait holds the request until the fleet changes or Until has passed.
	Wait
	// Refuse answers that the request has not run.
	Refuse
)

// Decision is the next action for a request and what led to it.
type Decision struct {
	Action   Action
	Upstream *UpstreamRef
	// LoadRequest is a model or adapter to ask for at Want.Upstream; nil if there is none.
	LoadRequest *LoadRequest
	// Until is when a waiting request is decided on again even if nothing changes.
	Until time.Time
	// RetryAfter is when a refused caller may find room; 0 if unknown.
	RetryAfter time.Duration
	// TryOtherRouter says that the router cannot serve the caller, but another one may.
	TryOtherRouter bool
	Reason         string
	// Cost is the expected time to the first byte of the answer, and Age the age of the upstream's report; negative if it
	// has not reported.
	Cost, Age time.Duration
}

// AgeMS returns the age of the upstream's report in milliseconds; -1 if it has not reported.
func (d Decision) AgeMS() int64 { return max(-1, d.Age.Milliseconds()) }

// UpstreamRef names an upstream to send to.
type UpstreamRef struct{ ID, Address, Zone string }

// LoadRequest is a model or adapter that a request needs at an upstream.
type LoadRequest struct {
	Upstream string
	placement.Adapter
}

// Outcome is how a send ended.
type Outcome int

// Outcomes.
const (
	// Done means that the whole answer was received.
	Done Outcome = iota
	// NotConnected means that no byte has left.
	NotConnected
	// NotRun means that the upstream refused the request and never runs it.
	NotRun
	// Absent means that the upstream refused because the model is not there or another upstream has the address.
	Absent
	// Failed means that the upstream ran the request and answered with a failure.
	Failed
	// Interrupted means that the answer did not arrive whole; the request may have run.
	Interrupted
	// Unresponsive means that the send was given up because the upstream gives no sign of life; the request may have run.
	Unresponsive
	// Cancelled means that the caller left or that the time was up after the request was sent.
	Cancelled
	// Expired means that the caller left or that the time was up before anything was sent.
	Expired
)

var outcomeNames = [...]string{"done", "not_connected", "not_run", "absent", "failed", "broken", "silent", "cancelled", "expired"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }
