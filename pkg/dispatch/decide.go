package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	// prefillPerMS is the number of prompt tokens that an engine reads in a millisecond (deployment sheets: 38.7).
	prefillPerMS = 38.7
	// queuedCost is the expected wait behind one request in an engine's queue: the reading of a long prompt.
	queuedCost = 150 * time.Millisecond
	// runningCost is what one running request adds to the time to the first event.
	runningCost = 1500 * time.Microsecond
	// adapterLoad is the time to have an adapter loaded: two messages and the load itself.
	adapterLoad = 40 * time.Millisecond
	// affinity is the advantage of the upstream that ranks first for a prompt that none is known to hold, so that
	// routers agree on where a shared part is read first.
	affinity = 40 * time.Millisecond
	// failureCost is the cost of a send that is certain to fail.
	failureCost = 800 * time.Millisecond
	// memoryFull is the cost of an engine whose memory has no room for the request: it would preempt others.
	memoryFull = 1500 * time.Millisecond
	// plainCost is what an outstanding request adds at a plain service while it has free places, and plainQueued what it
	// adds beyond.
	plainCost   = 4 * time.Millisecond
	plainQueued = 40 * time.Millisecond
	// scaleOutCost is the expected time to the first event above which another copy of the model is asked for.
	scaleOutCost = 350 * time.Millisecond
	// reserve is kept of the time left for the hops and the end of the answer when a wait is predicted.
	reserve = 150 * time.Millisecond
	// reportCheck bounds the time until a request that waits for the agents' first reports is decided on again.
	reportCheck = 50 * time.Millisecond
	// recheck bounds the time until a waiting request is decided on again.
	recheck = 250 * time.Millisecond
	// zoneHop and regionHop are round trips to another zone of the region and to another region.
	zoneHop   = 2 * time.Millisecond
	regionHop = 24 * time.Millisecond
	// overdueOrder is the assumed rest of an order that takes longer than expected, such as an unload that waits for the
	// end of its runs.
	overdueOrder = 250 * time.Millisecond
)

// Decide returns what to do with the request now.
func (s *State) Decide(now time.Time, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return Decision{Action: Refuse, Reason: "deadline passed"}
	}
	for _, id := range s.Fleet.TakeEnded() {
		s.Crashes.RecordUpstreamEnd(now, id)
	}
	if s.Crashes.IsQuarantined(now, r.Fingerprint) {
		return Decision{Action: Refuse, Reason: "request crashes upstreams"}
	}
	members := s.candidates(now, r)
	if len(members) == 0 {
		return s.noMember(now, r)
	}
	if s.engine(r.Service) == nil || r.Model == "" {
		return s.pick(now, r, members)
	}
	if s.awaitsReports(now) && !reported(members) {
		return Decision{Action: Wait, Reason: "no agent has reported yet", Until: now.Add(reportCheck)}
	}
	confirmed := s.confirmed(now, members)
	var holders []*fleet.Member
	for _, m := range confirmed {
		if m.Serves(r.Model) {
			holders = append(holders, m)
		}
	}
	switch {
	case len(holders) > 0:
		return s.pick(now, r, holders)
	case s.awaitsReports(now) && len(confirmed) < len(members):
		return Decision{Action: Wait, Reason: "not all agents have reported yet", Until: now.Add(reportCheck)}
	}
	return s.awaitModel(now, r, confirmed)
}

// candidates returns the upstreams that may get the request; blocked ones only if there is no other.
func (s *State) candidates(now time.Time, r *Request) []*fleet.Member {
	var open, blocked []*fleet.Member
	members := s.Fleet.Members(now, r.Service)
	tryAll := s.tryAll(now, r.Service, members)
	for _, m := range members {
		switch {
		case r.tried[m.ID], m.IsUnresponsive(now) && !tryAll:
		case now.Before(s.track(m.ID).blockedUntil):
			blocked = append(blocked, m)
		default:
			open = append(open, m)
		}
	}
	if r.Model != "" {
		// A blocked upstream is better than none that holds the model.
		for _, m := range open {
			if m.Serves(r.Model) {
				return open
			}
		}
		return append(open, blocked...)
	}
	if len(open) > 0 {
		return open
	}
	return blocked
}

func (s *State) noMember(now time.Time, r *Request) Decision {
	if len(r.tried) == 0 && s.Fleet.Len() == 0 {
		return Decision{Action: Refuse, Reason: "no upstream is known", RetryAfter: time.Second}
	}
	if s.cutOff(now, r.Service) {
		// The caller reaches another router at its next attempt; a wait would only cost it time.
		return Decision{Action: Refuse, Reason: "no upstream is within reach", TryOtherRouter: true}
	}
	return Decision{Action: Refuse, Reason: "no upstream is left to try", RetryAfter: s.retryAfter(now, r, 500*time.Millisecond)}
}

// retryAfter spreads callers that are refused at the same moment over half as long again as the wait.
func (s *State) retryAfter(now time.Time, r *Request, wait time.Duration) time.Duration {
	spread := float64(r.Fingerprint%1024) / 1024
	after := wait + time.Duration(spread*float64(wait)/2)
	return min(after, r.Deadline.Sub(now)/3)
}

// pick returns the candidate with the least expected time to the first byte.
func (s *State) pick(now time.Time, r *Request, members []*fleet.Member) Decision {
	var best *fleet.Member
	var bestCost time.Duration
	first := s.firstRanked(r, members)
	for _, m := range members {
		cost := s.cost(now, r, m, m.ID == first)
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	d := Decision{Cost: bestCost, Age: -time.Second}
	if !best.ReportedAt.IsZero() {
		d.Age = now.Sub(best.ReportedAt)
	}
	if late := bestCost + reserve - r.waitLimit(now); late > 0 && r.sends == 0 && r.Model != "" && s.engine(r.Service) != nil {
		s.scaleOut(now, r)
		s.noteRefused(now, r.Model)
		d.Action, d.Reason, d.RetryAfter = Refuse, "first event is expected too late", s.retryAfter(now, r, s.roomAfter(now, r, late, bestCost))
		return d
	}
	if r.Adapter != "" && !best.HoldsAdapter(r.Model, r.Adapter) {
		d.Action, d.Reason, d.Until = Wait, "adapter is not loaded", now.Add(recheck)
		d.LoadRequest = s.want(now, best.ID, r.Model, r.Adapter)
		return d
	}
	d.Action, d.Reason = Send, "least expected time"
	d.Upstream = &UpstreamRef{ID: best.ID, Address: best.Address, Zone: best.Zone}
	if r.Model != "" && bestCost > scaleOutCost && s.engine(r.Service) != nil {
		s.scaleOut(now, r)
	}
	return d
}

// roomAfter returns when an overloaded model is expected to have room. A queue that is too long by a little stays so while
// requests arrive faster than it is served: callers wait for half of it to pass, or for the copy that is being loaded.
func (s *State) roomAfter(now time.Time, r *Request, late, queue time.Duration) time.Duration {
	after := max(late, queue/2)
	if m := s.underWay(now, r); m != nil {
		after = max(after, m.OrderUntil.Sub(now))
	}
	return after
}

// firstRanked returns the member that ranks first for the shared parts of the prompt: among those of the router's region if
// there are any, since a prompt that goes to another region is paid by volume.
func (s *State) firstRanked(r *Request, members []*fleet.Member) string {
	if len(r.Chain) < 2 {
		return ""
	}
	key := r.Model + "/" + r.Adapter + "/" + r.Parts[len(r.Parts)-2].ID
	first, near := "", false
	for _, m := range members {
		local := s.hop(m.Zone) < regionHop
		if first == "" || local && !near || local == near && placement.Rank(key, m.ID) > placement.Rank(key, first) {
			first, near = m.ID, local
		}
	}
	return first
}

// cost returns the expected time from the send to the first byte of the answer, with surcharges for what may go wrong.
func (s *State) cost(now time.Time, r *Request, m *fleet.Member, first bool) time.Duration {
	t := s.track(m.ID)
	cost := s.hop(m.Zone) + time.Duration(t.failureRate*float64(failureCost)) + m.WarmupRemaining/4
	if s.engine(r.Service) == nil {
		over := max(0, t.outstanding-m.Slots+1)
		return cost + time.Duration(t.outstanding)*plainCost + time.Duration(over)*plainQueued
	}
	tokens := s.uncached(t, r)
	ahead := tokens
	for _, n := range t.prefill[:r.rank()+1] {
		ahead += n
	}
	cost += time.Duration(float64(ahead) / prefillPerMS * float64(time.Millisecond))
	running := t.outstanding
	if m.Fresh(now) {
		running = max(running, m.Load.Running)
		cost += time.Duration(float64(m.Load.Queued) * s.shareAhead(now, r) * float64(queuedCost))
		if m.Load.KVTotal > 0 && m.Load.KVUsed+tokens+r.TokensOut > m.Load.KVTotal {
			cost += memoryFull
		}
	}
	cost += time.Duration(running) * runningCost
	if r.Adapter != "" && !m.HoldsAdapter(r.Model, r.Adapter) {
		cost += adapterLoad + restOfOrder(now, m)
	}
	if first {
		cost -= affinity
	}
	return cost
}

// shareAhead returns the share of an engine's queue that is served before the request. Engines admit by priority, and their
// reports do not tell the queue's; what arrives for the model stands for it. Urgent requests wait for less of it than that,
// since the others stay in the queue for longer.
func (s *State) shareAhead(now time.Time, r *Request) float64 {
	if x := s.rates[r.Model]; x != nil {
		return x.upTo(now, r.rank())
	}
	return 1
}

// restOfOrder returns how long the upstream's engine is expected to refuse other orders.
func restOfOrder(now time.Time, m *fleet.Member) time.Duration {
	if m.Order == nil {
		return 0
	}
	return max(overdueOrder, m.OrderUntil.Sub(now))
}

func (s *State) hop(zone string) time.Duration {
	switch {
	case zone == s.settings.Zone:
		return 0
	case s.settings.ZoneRegion[zone] == s.settings.ZoneRegion[s.settings.Zone]:
		return zoneHop
	}
	return regionHop
}

func (s *State) want(now time.Time, upstream, model, adapter string) *LoadRequest {
	w := LoadRequest{Upstream: upstream, Adapter: placement.Adapter{Model: model, Name: adapter}}
	s.wants[w] = now.Add(wantFor)
	return &w
}

// awaitModel decides on a request whose model no candidate has loaded: it waits at the model's home if the load is
// expected to be complete in time. Else it is refused, and the load is asked for all the same.
func (s *State) awaitModel(now time.Time, r *Request, members []*fleet.Member) Decision {
	spec, known := s.engine(r.Service).Models[r.Model]
	if !known {
		return Decision{Action: Refuse, Reason: "model is not configured"}
	}
	h, ok := s.home(now, r, members, spec)
	if (!ok || h.fetch) && s.awaitsCopies(now, r.Service) {
		return Decision{Action: Wait, Reason: "not all agents have reported yet", Until: now.Add(reportCheck)}
	}
	if !ok {
		return Decision{Action: Refuse, Reason: "model has no home", RetryAfter: s.retryAfter(now, r, time.Second)}
	}
	d := Decision{Action: Wait, Reason: "model is not loaded", Cost: h.wait, Until: now.Add(recheck)}
	d.LoadRequest = s.want(now, h.upstream, r.Model, "")
	if h.wait+reserve > r.waitLimit(now) {
		s.noteRefused(now, r.Model)
		d.Action, d.Reason, d.RetryAfter = Refuse, "model cannot be loaded in time", s.retryAfter(now, r, h.wait)
	}
	return d
}
