package router

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Request is a validated request of a caller.
type Request struct {
	ID      string
	Kind    wire.Kind
	Caller  string
	Service string
	Group   string
	Target  engine.Target // empty for a plain service
	Method  string
	Path    string
	Header  []engine.Header
	Body    []byte
	// Deadline is when the answer has to start; an answer that is not streamed has to be complete by then.
	Deadline time.Time
	// Margin is how long before the deadline a refusal is sent at the latest; 0 means 20 ms.
	Margin   time.Duration
	Priority int
	// NonIdempotent calls carry a Key. FirstSend reports that the caller asserts that it never sent the key before.
	NonIdempotent bool
	Key           string
	FirstSend     bool
	// Fingerprint is a hash of caller, service and content.
	Fingerprint uint64
	// PrefixHash is a hash of the beginning of the prompt; 0 means none.
	PrefixHash uint64
	// MemoryBytes is the memory needed to load the target's base model; Ceiling is the limit on its replicas.
	MemoryBytes int64
	Ceiling     int
}

// Result is the outcome of a request. Refusal is nil if the outcome is done.
type Result struct {
	Outcome wire.Outcome
	Refusal *wire.Refuse
}

// Sink receives an answer.
type Sink interface {
	// Head is called once, before the first Data. Complete reports that the whole body follows in one call of Data and
	// that the outcome is done.
	Head(h engine.Head, complete bool) error
	// Data receives the next bytes of the body, which are valid during the call only.
	Data(b []byte) error
}

const (
	// maxMargin is how long before the deadline a refusal is sent, so that it arrives in time. Callers are a few
	// milliseconds away.
	maxMargin = 20 * time.Millisecond
	// agentMargin is how much earlier the agent's deadline is than the router's. It covers the one-way latency between
	// regions.
	agentMargin = 15 * time.Millisecond
)

// refuseAt returns when a request that arrived at now has to be refused unless its answer has started.
func (r *Request) refuseAt(now time.Time) time.Time {
	margin := r.Margin
	if margin == 0 {
		margin = maxMargin
	}
	return r.Deadline.Add(-min(margin, max(0, r.Deadline.Sub(now)/5)))
}

// agentTimeout returns the timeout for the agent from now on, in ms, at least 1.
func agentTimeout(refuseAt, now time.Time) int64 {
	remaining := refuseAt.Sub(now)
	remaining -= min(agentMargin, max(0, remaining/5))
	return max(1, remaining.Milliseconds())
}
