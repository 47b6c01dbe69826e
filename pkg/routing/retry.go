package routing

import "github.com/hibiscuscross/hibiscuscross/pkg/wire"

// RetryDecision is what happens after an attempt ended without a whole answer.
type RetryDecision uint8

// Nexts.
const (
	// ReturnRefusal gives the refusal to the caller.
	ReturnRefusal RetryDecision = iota
	// Resume continues at the same agent on a new connection, at the offset reached.
	Resume
	// OtherUpstream runs the request at another upstream, continuing the text that the caller has.
	OtherUpstream
	// Redirect sends a keyed call that did not run to the owner named in the refusal.
	Redirect
)

// AttemptResult describes an attempt that ended without a whole answer.
type AttemptResult struct {
	NonIdempotent bool
	// MaybeSent says that the Open frame may have reached the agent.
	MaybeSent bool
	// Lost says that the path or the agent was lost; otherwise the agent refused with Outcome and Code.
	Lost    bool
	Outcome wire.Outcome
	Code    wire.Code
	// Resumes is how many resumes in a row brought no new frame.
	Resumes int
	// Crashes is how many upstreams ended while they ran the request.
	Crashes int
	// LostBefore says that an earlier attempt of the request was lost after it was sent.
	LostBefore bool
	// NotContinuable says that the caller has bytes of the answer that another upstream cannot continue.
	NotContinuable bool
	// ColdStart says that the upstream was asked to load the target first.
	ColdStart bool
}

const (
	// maxResumes is how many resumes in a row may fail. The first dial of a resume takes at most the handshake timeout,
	// so more of them would not fit into the 2 s in which an answer goes on.
	maxResumes = 1
	// maxCrashes bounds how many upstreams a request may see ending before it is refused, because it may be the cause.
	maxCrashes = 2
)

// DecideRetry is the table of what happens after an attempt. A keyed call that may have left goes to no second owner: it is
// resumed at the same one or answered as unknown.
func DecideRetry(e AttemptResult) RetryDecision {
	if e.Lost {
		return decideLost(e)
	}
	if e.NonIdempotent {
		if e.Code == wire.CodeNotOwner && e.Outcome == wire.OutcomeNotRun && !e.LostBefore {
			return Redirect
		}
		return ReturnRefusal
	}
	if e.NotContinuable || !worthElsewhere(e.Code) || e.Crashes >= maxCrashes {
		return ReturnRefusal
	}
	if e.ColdStart && e.Code == wire.CodeTooLate {
		return ReturnRefusal // the order of cold starts begins with the cheapest copy, so no other upstream loads it sooner
	}
	return OtherUpstream
}

func decideLost(e AttemptResult) RetryDecision {
	switch {
	case e.MaybeSent && e.Resumes < maxResumes:
		return Resume
	case e.NonIdempotent, e.NotContinuable, e.Crashes >= maxCrashes:
		return ReturnRefusal
	}
	return OtherUpstream
}

// worthElsewhere reports whether another upstream may answer what one refused with the code.
func worthElsewhere(c wire.Code) bool {
	switch c {
	case wire.CodeNoReplica, wire.CodeNoMemory, wire.CodeQueueFull, wire.CodeTooLate, wire.CodeDraining,
		wire.CodeUpstreamDown, wire.CodeNoConfig, wire.CodeNotOwner, wire.CodeNoUpstream, wire.CodePeerLost:
		return true
	}
	return false // bad_request, quarantined, expired and key codes hold everywhere
}
