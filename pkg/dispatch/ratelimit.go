package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

// An upstream in need names how many requests per second it takes from all routers together. A request is sent there with
// a token only. See docs/design/upstream-limit.md.

// RateLimit is what the router knows of the rate that an upstream takes.
type RateLimit struct {
	// Ready reports whether the router has a token that no request holds.
	Ready bool
	// Wait is the expected time until a further request gets one.
	Wait time.Duration
}

// RateLimits are the rates that upstreams take, and the router's tokens.
type RateLimits interface {
	// Any reports whether an upstream has a limit.
	Any() bool
	// Limit returns the limit of an instance; ok is false if it has none.
	Limit(i upstreamlimit.Instance) (l RateLimit, ok bool)
	// WantAhead asks for a token for the next request that chooses the instance.
	WantAhead(i upstreamlimit.Instance)
	// RetryIn returns when a refused caller may come back, and counts it; share, from 0 to 1, spreads callers out.
	RetryIn(i upstreamlimit.Instance, share float64) time.Duration
}

// reasonRateLimit is the reason of a wait or a refusal because upstreams take no more requests now.
const reasonRateLimit = "all upstreams get as many requests as they take"

func instanceOf(m *fleet.Member) upstreamlimit.Instance {
	return upstreamlimit.Instance{ID: m.ID, StartedUnixMS: m.StartedUnixMS}
}

// rateLimit returns the limit of the upstream; ok is false if it has none.
func (s *State) rateLimit(m *fleet.Member) (l RateLimit, ok bool) {
	if s.RateLimits == nil || !s.RateLimits.Any() {
		return RateLimit{}, false
	}
	return s.RateLimits.Limit(instanceOf(m))
}

// exceedsRate reports whether the upstream takes no further request now.
func (s *State) exceedsRate(r *Request, m *fleet.Member) bool {
	l, limited := s.rateLimit(m)
	return limited && !l.Ready && r.RateToken != m.ID
}

// awaitRate decides on a request that only upstreams can serve for which there is no token. It returns false if another
// upstream can serve the request; a token is then asked for ahead, so that the limited ones get their part.
func (s *State) awaitRate(now time.Time, r *Request, candidates []*fleet.Member) (Decision, bool) {
	if s.RateLimits == nil || !s.RateLimits.Any() {
		return Decision{}, false
	}
	isEngine := s.engine(r.Service) != nil && r.Model != ""
	canServe := func(m *fleet.Member) bool { return !isEngine || m.Serves(r.Model) }
	served := slices.ContainsFunc(candidates, canServe)
	var best *fleet.Member
	var wait time.Duration
	var exceeded []*fleet.Member
	for _, m := range s.Fleet.Members(now, r.Service) {
		if !canServe(m) || r.tried[m.ID] || m.IsUnresponsive(now) || now.Before(m.BackoffUntil()) || !s.exceedsRate(r, m) {
			continue
		}
		if exceeded = append(exceeded, m); served {
			continue
		}
		if l, _ := s.rateLimit(m); best == nil || l.Wait < wait {
			best, wait = m, l.Wait
		}
	}
	if served {
		s.wantAhead(now, r, slices.DeleteFunc(slices.Clone(candidates), func(m *fleet.Member) bool { return !canServe(m) }), exceeded)
	}
	if best == nil {
		return Decision{}, false
	}
	if isEngine {
		s.scaleOut(now, r)
	}
	if r.rateWaitFor == best.ID {
		wait = 0 // its place in the queue is kept
	}
	if r.rateWaitEnd.IsZero() {
		r.rateWaitEnd = now.Add(r.rateWait(now))
	}
	if now.Add(wait).Before(r.rateWaitEnd) {
		r.rateWaitFor = best.ID
		return Decision{Action: Wait, WaitCause: WaitRate, Reason: reasonRateLimit, Cost: wait, Age: -time.Second,
			Until:    minTime(r.rateWaitEnd, now.Add(recheckInterval)),
			Upstream: &UpstreamRef{ID: best.ID, Address: best.Address, Zone: best.Zone, StartedUnixMS: best.StartedUnixMS}}, true
	}
	if isEngine {
		s.recordRefusal(now, r.Model)
		if m, load := s.nearest(now, candidates, s.engine(r.Service).Models[r.Model]); m != nil && load+answerReserve <= r.waitLimit(now) {
			return Decision{}, false // a load at another upstream is faster
		}
	}
	share := float64(r.Fingerprint%1024) / 1024
	after := min(s.RateLimits.RetryIn(instanceOf(best), share), r.Deadline.Sub(now)/3)
	return Decision{Action: Refuse, Reason: reasonRateLimit, RetryAfter: after, Age: -time.Second}, true
}

// wantAhead asks for a token ahead if the request would have gone to an upstream without one.
func (s *State) wantAhead(now time.Time, r *Request, candidates, exceeded []*fleet.Member) {
	if len(exceeded) == 0 {
		return
	}
	if chosen, _, _ := s.choose(now, r, append(candidates, exceeded...)); slices.Contains(exceeded, chosen.m) {
		s.RateLimits.WantAhead(instanceOf(chosen.m))
	}
}

// rateWait returns how long the request may wait for a token: half of the time until its answer is due, since a refused
// caller can come back. One that may have run can't be refused.
func (r *Request) rateWait(now time.Time) time.Duration {
	limit := r.waitLimit(now)
	if r.possibleRuns > 0 {
		return limit - answerReserve
	}
	if r.EventTarget.After(now) {
		limit = min(limit, r.EventTarget.Sub(now))
	}
	return min(limit/2, limit-answerReserve)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// LimitHolder returns the address of the upstream beside which the sidecar grants the tokens for the upstream; empty if
// there is none. It is the upstream itself if it is a model engine.
func (s *State) LimitHolder(now time.Time, id string) string {
	m := s.Fleet.Get(id)
	if m == nil {
		return ""
	}
	if s.engine(m.Service) != nil {
		return m.Address
	}
	var addresses []string
	for service := range s.services() {
		for _, e := range s.Fleet.Members(now, service) {
			addresses = append(addresses, e.Address)
		}
	}
	return upstreamlimit.First(id, addresses)
}
