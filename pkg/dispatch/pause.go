package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

// pauseSpread is the share of a pause over which the requests that wait for its end are spread.
const pauseSpread = 0.25

// awaitPause decides on a request that only upstreams can serve which want no requests for a while: those of a plain
// service, or those that have the model loaded. It returns false if another upstream can serve the request.
func (s *State) awaitPause(now time.Time, r *Request, candidates []*fleet.Member) (Decision, bool) {
	isEngine := s.engine(r.Service) != nil && r.Model != ""
	canServe := func(m *fleet.Member) bool { return !isEngine || m.Serves(r.Model) }
	for _, m := range candidates {
		if canServe(m) {
			return Decision{}, false
		}
	}
	var end time.Time
	for _, m := range s.Fleet.Members(now, r.Service) {
		if until := m.PausedUntil(); now.Before(until) && !r.tried[m.ID] && canServe(m) && (end.IsZero() || until.Before(end)) {
			end = until
		}
	}
	pause := end.Sub(now)
	spread := time.Duration(float64(r.Fingerprint%1024) / 1024 * pauseSpread * float64(pause))
	switch {
	case end.IsZero(), isEngine && len(candidates) > 0 && pause > s.engine(r.Service).Models[r.Model].DiskTime:
		return Decision{}, false // a load at another upstream is faster
	case pause+spread+answerReserve > r.waitLimit(now):
		return Decision{Action: Refuse, Reason: "all upstreams want no requests for a while", RetryAfter: s.retryAfter(now, r, pause)}, true
	}
	return Decision{Action: Wait, WaitCause: WaitPause, Reason: "all upstreams want no requests for a while", Until: end.Add(spread)}, true
}
