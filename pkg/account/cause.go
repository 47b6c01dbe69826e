package account

import (
	"strings"
	"time"
)

// Cause is why a request was not answered on time.
type Cause string

// Causes. OnTime is that of requests that were answered on time.
const (
	OnTime          Cause = "on time"
	ForModel        Cause = "late: waited for a model"
	ForAdapter      Cause = "late: waited for an adapter"
	ForReports      Cause = "late: waited for reports after a start"
	ForPrefill      Cause = "late: waited for other prompts"
	AfterFailure    Cause = "late: an earlier attempt failed"
	ExpectedQueue   Cause = "late: accepted although the first event was expected late"
	EngineQueue     Cause = "late: queue or prefill took longer than expected"
	ShortPause      Cause = "late: pause, other prompts"
	LongPause       Cause = "late: pause, preempted or resumed"
	RefusedModel    Cause = "refused: no replica in time"
	RefusedQueue    Cause = "refused: queue too long"
	RefusedOther    Cause = "refused: other"
	UpstreamFailed  Cause = "failed: error of the upstream"
	Truncated       Cause = "failed: stream cut with its upstream"
	Unknown         Cause = "failed: may have run"
	CallerLeft      Cause = "caller left"
	PlainSlow       Cause = "late: plain service"
	NotAttributable Cause = "not attributable"
)

// longPause separates a pause while the engine processes prompts of others from one in which the stream did not run:
// an engine that preempts a request processes its prompt and its output again, behind more urgent requests.
const longPause = time.Second

// CauseOf returns why the request was not answered on time.
func CauseOf(r Record) Cause {
	switch r.Outcome {
	case "done":
		if r.Status >= 400 {
			return UpstreamFailed
		}
		return lateCause(r)
	case "refused":
		return refusalCause(r)
	case "cut":
		return Truncated
	case "caller_left":
		return CallerLeft
	}
	return NotAttributable
}

func refusalCause(r Record) Cause {
	switch {
	case r.Status == 502 || r.Status == 504:
		return Unknown
	case strings.HasSuffix(r.Reason, "model cannot be loaded in time"), strings.HasSuffix(r.Reason, "model is not loaded"):
		return RefusedModel
	case strings.HasSuffix(r.Reason, "first event is expected too late"), strings.HasSuffix(r.Reason, "engines are processing other prompts"):
		return RefusedQueue
	}
	return RefusedOther
}

// lateCause returns the cause of the lateness of a complete answer, or OnTime.
func lateCause(r Record) Cause {
	arrived := r.FirstEvent
	if arrived < 0 {
		arrived = r.Took
	}
	switch {
	case r.Target > 0 && arrived > r.Target:
		return lateStart(r, arrived)
	case r.MaxGap > 0 && r.Pause > r.MaxGap && (r.Pause > longPause || r.Runs > 1):
		return LongPause
	case r.MaxGap > 0 && r.Pause > r.MaxGap:
		return ShortPause
	}
	return OnTime
}

// lateStart returns the largest part of the time until an answer or first event that arrived late.
func lateStart(r Record, arrived time.Duration) Cause {
	if r.FirstEvent < 0 {
		if r.Attempts > 1 {
			return AfterFailure
		}
		return PlainSlow
	}
	parts := []struct {
		cause Cause
		took  time.Duration
	}{
		{ForModel, r.ForModel}, {ForAdapter, r.ForAdapter}, {ForReports, r.ForReports}, {ForPrefill, r.ForPrefill},
		{AfterFailure, r.Sent - r.ForModel - r.ForAdapter - r.ForReports - r.ForPrefill}, {EngineQueue, arrived - r.Sent},
	}
	longest := parts[0]
	for _, p := range parts {
		if p.took > longest.took {
			longest = p
		}
	}
	if longest.cause == EngineQueue && r.Sent+r.Expected > r.Target {
		return ExpectedQueue
	}
	return longest.cause
}
