package router

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Request is a caller's request after validation.
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
	// Deadline is when the answer has to begin; an answer that is not streamed has to be whole by then.
	Deadline time.Time
	// Margin is how long before the deadline a refusal is sent at the latest; 0 means 20 ms.
	Margin   time.Duration
	Priority int
	// NonIdempotent calls carry a Key. FirstSend says that the caller never sent the key before.
	NonIdempotent bool
	Key           string
	FirstSend     bool
	// Fingerprint names caller, service and content.
	Fingerprint uint64
	// PrefixHash names the beginning of the prompt; 0 for none.
	PrefixHash uint64
	// MemoryBytes is what a load of the target's base model needs; Ceiling is its voted number of replicas.
	MemoryBytes int64
	Ceiling     int
}

// Result is how a request ended. Refusal is nil if the outcome is done.
type Result struct {
	Outcome wire.Outcome
	Refusal *wire.Refuse
}

// Sink receives an answer.
type Sink interface {
	// Head is called once, before the first Data. Whole says that the whole body follows in one call of Data and that
	// the outcome is done.
	Head(h engine.Head, whole bool) error
	// Data receives the next bytes of the body. They are valid during the call only.
	Data(b []byte) error
}

const (
	// maxMargin is how long before the deadline a refusal is sent, so that it arrives in time. Callers are a few
	// milliseconds away.
	maxMargin = 20 * time.Millisecond
	// agentMargin is how much earlier the agent's deadline is than the router's. It covers one way between regions.
	agentMargin = 15 * time.Millisecond
)

// refuseAt returns when a request that arrived at now has to be refused unless its answer began.
func (r *Request) refuseAt(now time.Time) time.Time {
	margin := r.Margin
	if margin == 0 {
		margin = maxMargin
	}
	return r.Deadline.Add(-min(margin, max(0, r.Deadline.Sub(now)/5)))
}

// agentTimeout returns the time that an agent gets from now on, in ms, at least 1.
func agentTimeout(refuseAt, now time.Time) int64 {
	left := refuseAt.Sub(now)
	left -= min(agentMargin, max(0, left/5))
	return max(1, left.Milliseconds())
}
