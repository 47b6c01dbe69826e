package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

// backoffSpread is the share of a backoff over which the requests that wait for its end are spread.
const backoffSpread = 0.25

// reasonBackoff is the reason of a wait or a refusal because upstreams have requested backoff.
const reasonBackoff = "all upstreams have requested backoff"

// awaitBackoff decides on a request that only upstreams can serve which have requested backoff: those of a plain service,
// or those that have the model loaded. It returns false if another upstream can serve the request.
func (s *State) awaitBackoff(now time.Time, r *Request, candidates []*fleet.Member) (Decision, bool) {
	isEngine := s.engine(r.Service) != nil && r.Model != ""
	canServe := func(m *fleet.Member) bool { return !isEngine || m.Serves(r.Model) }
	for _, m := range candidates {
		if canServe(m) {
			return Decision{}, false
		}
	}
	var end time.Time
	for _, m := range s.Fleet.Members(now, r.Service) {
		if until := m.BackoffUntil(); now.Before(until) && !r.tried[m.ID] && canServe(m) && (end.IsZero() || until.Before(end)) {
			end = until
		}
	}
	wait := end.Sub(now)
	spread := time.Duration(float64(r.Fingerprint%1024) / 1024 * backoffSpread * float64(wait))
	switch {
	case end.IsZero(), isEngine && len(candidates) > 0 && wait > s.engine(r.Service).Models[r.Model].DiskTime:
		return Decision{}, false // a load at another upstream is faster
	case wait+spread+answerReserve > r.waitLimit(now):
		return Decision{Action: Refuse, Reason: reasonBackoff, RetryAfter: s.retryAfter(now, r, wait)}, true
	}
	return Decision{Action: Wait, WaitCause: WaitBackoff, Reason: reasonBackoff, Until: end.Add(spread)}, true
}
