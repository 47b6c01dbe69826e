package dispatch

import (
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/retrylimit"
)

// maxRefusals is the number of attempts that upstreams may refuse before the request itself is refused.
const maxRefusals = 4

// RetryDecision is the decision that follows an unsuccessful attempt.
type RetryDecision struct {
	// Retry reports whether the request is to be dispatched again.
	Retry bool
	// Status is the final HTTP status if there is no retry; 0 forwards the upstream's own answer.
	Status int
	Reason string
	// Quota is the router's usage of the shared limit before the decision, and Routers the number of routers that the
	// router divides the burst of the limit by.
	Quota   retrylimit.Usage
	Routers int
}

// DecideRetry decides whether a request is retried after an attempt that ended with o. A request that may have run
// is retried only if its route is retryable. A retry after an attempt that reached an upstream needs room in the limit
// that the routers share; it is counted when it is sent, since it may wait for a model before.
func (s *State) DecideRetry(now time.Time, r *Request, o Outcome) RetryDecision {
	usage := s.quota(r.Service).Usage(now, s.RetryShare.Burst(now))
	d := s.decideRetry(now, r, o)
	d.Quota, d.Routers = usage, s.RetryShare.Routers(now)
	return d
}

func (s *State) decideRetry(now time.Time, r *Request, o Outcome) RetryDecision {
	remaining := r.Deadline.Sub(now)
	switch {
	case o == TimedOut, o == Cancelled && remaining <= 0:
		return RetryDecision{Status: http.StatusGatewayTimeout, Reason: "time is up"}
	case o == Cancelled:
		return RetryDecision{Status: http.StatusBadGateway, Reason: "cancelled"}
	case o == Expired:
		return s.finalDecision(r, o, "time is up")
	case r.possibleRuns > 0 && !r.Route.Retryable():
		return s.finalDecision(r, o, "may have run and must not be repeated")
	case r.possibleRuns >= r.Route.MaxAttempts:
		return s.finalDecision(r, o, "attempts used up")
	case remaining <= answerReserve:
		return s.finalDecision(r, o, "no time left")
	case r.attempts-r.possibleRuns >= maxRefusals:
		return s.finalDecision(r, o, "refused by several upstreams")
	case o.IsUnsent() && r.attempts == 0:
		return RetryDecision{Retry: true, Reason: "not connected"}
	case !s.quota(r.Service).HasRoom(now, s.RetryShare.Burst(now)):
		return s.finalDecision(r, o, reasonRetryLimit)
	}
	return RetryDecision{Retry: true, Reason: o.String()}
}

// finalDecision returns the decision not to retry, with the status that the caller gets.
func (s *State) finalDecision(r *Request, o Outcome, reason string) RetryDecision {
	switch {
	case o == Failed:
		return RetryDecision{Reason: reason}
	case r.possibleRuns > 0:
		return RetryDecision{Status: http.StatusBadGateway, Reason: reason}
	}
	return RetryDecision{Status: http.StatusServiceUnavailable, Reason: reason}
}
