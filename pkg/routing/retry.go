package routing

import "github.com/hibiscuscross/hibiscuscross/pkg/wire"

// RetryDecision is what to do after an attempt that ended without a complete answer.
type RetryDecision uint8

// Decisions after an attempt.
const (
	// ReturnRefusal returns the refusal to the caller.
	ReturnRefusal RetryDecision = iota
	// Resume reconnects to the same agent and continues at the offset reached.
	Resume
	// OtherUpstream runs the request at another upstream, which continues the text that the caller has.
	OtherUpstream
	// Redirect sends a keyed call that did not run to the owner named in the refusal.
	Redirect
)

// AttemptResult describes an attempt that ended without a complete answer.
type AttemptResult struct {
	NonIdempotent bool
	// MaybeSent reports that the Open frame may have reached the agent.
	MaybeSent bool
	// Lost reports that the path or the agent was lost; otherwise the agent refused with Outcome and Code.
	Lost    bool
	Outcome wire.Outcome
	Code    wire.Code
	// Resumes is the number of consecutive resumes without a new frame.
	Resumes int
	// Crashes is the number of upstreams that ended while they ran the request.
	Crashes int
	// LostBefore reports that an attempt of the request was lost after it was sent.
	LostBefore bool
	// NotContinuable reports that the caller has a part of the answer that no other upstream can continue.
	NotContinuable bool
	// ColdStart reports that the upstream was asked to load the target first.
	ColdStart bool
}

const (
	// maxResumes is the number of consecutive resumes that may fail. The first dial of a resume takes up to the
	// handshake timeout, so more of them would exceed the 2 s within which an answer has to continue.
	maxResumes = 1
	// maxCrashes is the number of upstream crashes after which a request is refused, because it may be their cause.
	maxCrashes = 2
)

// DecideRetry returns what to do after an attempt. A keyed call that may have been sent never goes to a second owner:
// it is resumed at the same one, or its outcome is unknown.
func DecideRetry(result AttemptResult) RetryDecision {
	if result.Lost {
		return decideAfterLoss(result)
	}
	if result.NonIdempotent {
		if result.Code == wire.CodeNotOwner && result.Outcome == wire.OutcomeNotRun && !result.LostBefore {
			return Redirect
		}
		return ReturnRefusal
	}
	if result.NotContinuable || !isRetryable(result.Code) || result.Crashes >= maxCrashes {
		return ReturnRefusal
	}
	if result.ColdStart && result.Code == wire.CodeTooLate {
		return ReturnRefusal // cold starts go to the cheapest cached copy first, so no other upstream loads the target sooner
	}
	return OtherUpstream
}

func decideAfterLoss(result AttemptResult) RetryDecision {
	switch {
	case result.MaybeSent && result.Resumes < maxResumes:
		return Resume
	case result.NonIdempotent, result.NotContinuable, result.Crashes >= maxCrashes:
		return ReturnRefusal
	}
	return OtherUpstream
}

// isRetryable reports whether another upstream may answer a request that was refused with the code.
func isRetryable(c wire.Code) bool {
	switch c {
	case wire.CodeNoReplica, wire.CodeNoMemory, wire.CodeQueueFull, wire.CodeTooLate, wire.CodeDraining,
		wire.CodeUpstreamDown, wire.CodeNoConfig, wire.CodeNotOwner, wire.CodeNoUpstream, wire.CodePeerLost:
		return true
	}
	return false // bad_request, quarantined, expired and key codes are the same at every upstream
}
