package dispatch

import (
	"net/http"
	"time"
)

// maxRefusals bounds the sends that upstreams may refuse before the request is refused itself.
const maxRefusals = 4

// RetryDecision is what follows from the end of a send that did not succeed.
type RetryDecision struct {
	// Retry says that the request is decided on again.
	Retry bool
	// Status is the final status if there is no retry; 0 passes the upstream's own answer on.
	Status int
	Reason string
}

// RetryDecision decides whether a request is tried again after a send that ended with o. A request that may have run is
// repeated only if its route allows it, and every repeat that reaches an upstream takes from the shared limit.
func (s *State) RetryDecision(now time.Time, r *Request, o Outcome) RetryDecision {
	left := r.Deadline.Sub(now)
	switch {
	case o == Cancelled && left <= 0:
		return RetryDecision{Status: http.StatusGatewayTimeout, Reason: "time is up"}
	case o == Cancelled:
		return RetryDecision{Status: http.StatusBadGateway, Reason: "cancelled"}
	case o == Expired:
		return s.final(r, o, "time is up")
	case r.runs > 0 && !r.Route.Retryable():
		return s.final(r, o, "may have run and must not be repeated")
	case r.runs >= r.Route.MaxAttempts:
		return s.final(r, o, "attempts used up")
	case left <= reserve:
		return s.final(r, o, "no time left")
	case r.sends-r.runs >= maxRefusals:
		return s.final(r, o, "refused by several upstreams")
	case o == NotConnected && r.sends == 0:
		return RetryDecision{Retry: true, Reason: "not connected"}
	case !s.quota(r.Service).AllowRetry(now, s.routers):
		return s.final(r, o, "retry limit reached")
	}
	return RetryDecision{Retry: true, Reason: o.String()}
}

func (s *State) final(r *Request, o Outcome, reason string) RetryDecision {
	switch {
	case o == Failed:
		return RetryDecision{Reason: reason}
	case r.runs > 0:
		return RetryDecision{Status: http.StatusBadGateway, Reason: reason}
	}
	return RetryDecision{Status: http.StatusServiceUnavailable, Reason: reason}
}
