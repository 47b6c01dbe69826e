package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	// adapterLoadTime is the expected time from an adapter's load request to its load: two messages and the load itself.
	adapterLoadTime = 40 * time.Millisecond
	// affinityBonus is the cost advantage of the upstream that ranks first for a prompt. It makes routers agree on
	// one upstream for a shared prefix that no upstream is known to have cached.
	affinityBonus = 40 * time.Millisecond
	// affinityShare is the share of the shared parts that the upstream which ranks first is taken to have cached when
	// candidates are ranked. Differences in speed outweigh affinityBonus: without the share each router sent a prefix to
	// other fast engines than the other routers, and prompts were processed again (replay of 8 routers and 14 engines at
	// 2.5 times the load: 15.6% of the requests late, 0.2% with it).
	affinityShare = 0.8
	// failureCost is the cost of an attempt that is certain to fail.
	failureCost = 800 * time.Millisecond
	// fullMemoryCost is the cost of an engine with too little free KV memory for the request: it would preempt
	// others.
	fullMemoryCost = 1500 * time.Millisecond
	// answerReserve is the part of the remaining time that predictions set aside for network hops and the end of the
	// answer.
	answerReserve = 150 * time.Millisecond
	// reportCheckInterval bounds the time until Decide is called again for a request that waits for the agents' first
	// reports.
	reportCheckInterval = 50 * time.Millisecond
	// recheckInterval bounds the time until Decide is called again for a waiting request.
	recheckInterval = 250 * time.Millisecond
	// zoneRoundTrip and regionRoundTrip are the round-trip times to another zone of the region and to another region.
	zoneRoundTrip   = 2 * time.Millisecond
	regionRoundTrip = 24 * time.Millisecond
	// overdueOrderRemaining is the assumed remaining time of an order that takes longer than expected, such as an
	// unload that waits for running requests to end.
	overdueOrderRemaining = 250 * time.Millisecond
	// retryLimitWait is the delay after which a caller whose retry exceeds the limit may come back with a new request:
	// an upstream that refuses is avoided for as long.
	retryLimitWait = initialBlock
	// reasonRetryLimit is the reason of a refusal because the routers' limit on retries is used up.
	reasonRetryLimit = "retry limit reached"
)

// Decide returns the next action for the request. A retry that is to be sent counts towards the retry limit.
func (s *State) Decide(now time.Time, r *Request) Decision {
	d := s.decide(now, r)
	if d.Action == Send && r.attempts > 0 && !s.quota(r.Service).Take(now, s.RetryShare.Burst(now)) {
		return Decision{Action: Refuse, Reason: reasonRetryLimit, RetryAfter: s.retryAfter(now, r, retryLimitWait)}
	}
	if d.WaitCause != WaitRate {
		r.rateWaitFor = ""
	}
	if d.Action == Send {
		r.sentAt, r.sentToStartedUnixMS, r.rateWaitEnd = now, d.Upstream.StartedUnixMS, time.Time{}
	}
	return d
}

func (s *State) decide(now time.Time, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return Decision{Action: Refuse, Reason: "deadline passed"}
	}
	if s.Crashes.IsQuarantined(now, r.Fingerprint) {
		return Decision{Action: Refuse, Reason: "request crashes upstreams"}
	}
	if i := s.Crashes.CrashingPart(now, r.partKeys()); i >= 0 {
		return Decision{Action: Refuse, Reason: "prompt part " + r.Parts[i].ID + " crashes upstreams"}
	}
	members := s.candidates(now, r)
	rate, limited := s.awaitRate(now, r, members)
	if limited && rate.Action == Wait {
		return rate
	}
	if d, ok := s.awaitBackoff(now, r, members); ok {
		return d
	}
	if limited {
		return rate
	}
	if len(members) == 0 {
		return s.refuseWithoutMember(now, r)
	}
	if s.engine(r.Service) == nil || r.Model == "" {
		return s.pick(now, r, members)
	}
	if s.awaitingReports(now) && !mostReported(members) {
		return Decision{Action: Wait, Reason: "no agent has reported yet", Until: now.Add(reportCheckInterval)}
	}
	confirmed := s.confirmed(now, members)
	var serving []*fleet.Member
	for _, m := range confirmed {
		if m.Serves(r.Model) && s.canServeAdapter(now, m, r) {
			serving = append(serving, m)
		}
	}
	switch {
	case len(serving) > 0:
		return s.pick(now, r, serving)
	case s.awaitingReports(now) && len(confirmed) < len(members):
		return Decision{Action: Wait, Reason: "not all agents have reported yet", Until: now.Add(reportCheckInterval)}
	}
	return s.awaitModel(now, r, confirmed)
}

// canServeAdapter reports whether the upstream has the request's adapter loaded or an agent that can order its load.
func (s *State) canServeAdapter(now time.Time, m *fleet.Member, r *Request) bool {
	return r.Adapter == "" || !m.IsAgentUnresponsive() || m.HoldsAdapter(r.Model, r.Adapter) || s.isReporting(now, m)
}

// candidates returns the upstreams that may get the request. Those that have requested backoff may not. Upstreams
// blocked after failures are included only if no other upstream can serve the request.
func (s *State) candidates(now time.Time, r *Request) []*fleet.Member {
	var open, blocked []*fleet.Member
	members := s.Fleet.Members(now, r.Service)
	tryAll := s.tryAll(now, r.Service, members)
	for _, m := range members {
		switch {
		case r.tried[m.ID], m.IsUnresponsive(now) && !tryAll, now.Before(m.BackoffUntil()), s.exceedsRate(r, m):
		case now.Before(s.upstreamStats(m.ID).blockedUntil):
			blocked = append(blocked, m)
		default:
			open = append(open, m)
		}
	}
	if r.Model != "" {
		// A blocked upstream that has the model loaded is better than unblocked ones without it.
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

// refuseWithoutMember returns the refusal of a request for which no upstream is available.
func (s *State) refuseWithoutMember(now time.Time, r *Request) Decision {
	if len(r.tried) == 0 && s.Fleet.Len() == 0 {
		return Decision{Action: Refuse, Reason: "no upstream is known", RetryAfter: time.Second}
	}
	if s.partitioned(now, r.Service) {
		// The caller's next attempt goes to another router, so RetryAfter stays 0.
		return Decision{Action: Refuse, Reason: "no upstream is within reach", TryOtherRouter: true}
	}
	return Decision{Action: Refuse, Reason: "no upstream is left to try", RetryAfter: s.retryAfter(now, r, 500*time.Millisecond)}
}

// retryAfter returns the wait plus up to half of it, so that callers refused at the same moment do not all come back
// at once. It is at most a third of the time until the deadline.
func (s *State) retryAfter(now time.Time, r *Request, wait time.Duration) time.Duration {
	spread := float64(r.Fingerprint%1024) / 1024
	after := wait + time.Duration(spread*float64(wait)/2)
	return min(after, r.Deadline.Sub(now)/3)
}

// pick returns the decision to use the candidate with the least expected time to the first byte.
func (s *State) pick(now time.Time, r *Request, members []*fleet.Member) Decision {
	members, rejected, ok := s.accepting(now, r, members)
	if !ok {
		return rejected
	}
	chosen, detour, mustWait := s.choose(now, r, members)
	best, bestCost := chosen.m, chosen.cost
	d := Decision{Cost: bestCost, Age: -time.Second, Cached: chosen.cached, Detour: detour, Last: chosen.last}
	if !best.ReportedAt.IsZero() {
		d.Age = now.Sub(best.ReportedAt)
	}
	if excess := bestCost + answerReserve - r.waitLimit(now); excess > 0 && r.attempts == 0 && r.Model != "" && s.engine(r.Service) != nil {
		s.scaleOut(now, r)
		s.recordRefusal(now, r.Model)
		d.Action, d.Reason, d.RetryAfter = Refuse, "first event is expected too late", s.retryAfter(now, r, s.retryAfterOverload(now, r, excess, bestCost))
		return d
	}
	if r.Adapter != "" && !best.HoldsAdapter(r.Model, r.Adapter) {
		d.Action, d.WaitCause, d.Reason, d.Until = Wait, WaitAdapter, "adapter is not loaded", now.Add(recheckInterval)
		d.LoadRequest = s.requestLoad(now, best.ID, r.Model, r.Adapter)
		return d
	}
	if mustWait {
		d.Action, d.WaitCause, d.Reason, d.Until = Wait, WaitPrefill, "engine is processing other prompts", s.prefillWaitEnd(r, bestCost)
		return d
	}
	d.Action, d.Reason = Send, "least expected time"
	d.Upstream = &UpstreamRef{ID: best.ID, Address: best.Address, Zone: best.Zone, StartedUnixMS: best.StartedUnixMS}
	d.Prompt = s.promptAsk(now, r, best)
	if r.Model != "" && s.engine(r.Service) != nil && bestCost > s.serviceSpeed(now, r.Service).scaleOutTime {
		s.scaleOut(now, r)
	}
	return d
}

// retryAfterOverload returns when an overloaded model is expected to accept requests again. A queue that is only
// slightly too long stays so while requests arrive faster than they are served, so callers wait for half of it to
// drain, or until the load in progress is complete.
func (s *State) retryAfterOverload(now time.Time, r *Request, excess, queueTime time.Duration) time.Duration {
	after := max(excess, queueTime/2)
	if m := s.loadInProgress(now, r); m != nil {
		after = max(after, m.OrderUntil.Sub(now))
	}
	return after
}

// shareAhead returns the share of an engine's queue that is served before the request. Engines admit by priority, but
// their reports do not break their queues down by priority, so the model's arrival rates by priority are used instead.
// This overestimates the share for urgent requests, since less urgent ones stay in the queue longer.
func (s *State) shareAhead(now time.Time, r *Request) float64 {
	if arrivals := s.rates[r.Model]; arrivals != nil {
		return arrivals.shareUpTo(now, r.priority())
	}
	return 1
}

// orderRemaining returns how long the upstream's engine is expected to refuse other orders.
func orderRemaining(now time.Time, m *fleet.Member) time.Duration {
	if m.Order == nil {
		return 0
	}
	return max(overdueOrderRemaining, m.OrderUntil.Sub(now))
}

// roundTrip returns the expected round-trip time to a zone.
func (s *State) roundTrip(zone string) time.Duration {
	switch {
	case zone == s.settings.Zone:
		return 0
	case s.settings.ZoneRegion[zone] == s.settings.ZoneRegion[s.settings.Zone]:
		return zoneRoundTrip
	}
	return regionRoundTrip
}

// requestLoad records and returns a request to load the model or adapter at the upstream.
func (s *State) requestLoad(now time.Time, upstream, model, adapter string) *LoadRequest {
	loadReq := LoadRequest{Upstream: upstream, Adapter: placement.Adapter{Model: model, Name: adapter}}
	s.requestedUntil[loadReq] = now.Add(loadRequestTTL)
	return &loadReq
}

// awaitModel decides on a request whose model no candidate has loaded. It waits for the load at the assigned upstream
// if the load is expected to be complete in time; otherwise it is refused, but the load is requested all the same.
func (s *State) awaitModel(now time.Time, r *Request, members []*fleet.Member) Decision {
	spec, known := s.engine(r.Service).Models[r.Model]
	if !known {
		return Decision{Action: Refuse, Reason: "model is not configured"}
	}
	assigned, ok := s.assignment(now, r, members, spec)
	if (!ok || assigned.fetch) && s.mayHaveUnreportedCopies(now, r.Service) {
		return Decision{Action: Wait, Reason: "not all agents have reported yet", Until: now.Add(reportCheckInterval)}
	}
	if !ok {
		return Decision{Action: Refuse, Reason: "model has no home", RetryAfter: s.retryAfter(now, r, time.Second)}
	}
	d := Decision{Action: Wait, WaitCause: WaitModel, Reason: "model is not loaded", Cost: assigned.wait, Until: now.Add(recheckInterval)}
	d.LoadRequest = s.requestLoad(now, assigned.upstream, r.Model, "")
	if assigned.wait+answerReserve > r.waitLimit(now) {
		s.recordRefusal(now, r.Model)
		d.Action, d.Reason, d.RetryAfter = Refuse, "model cannot be loaded in time", s.retryAfter(now, r, assigned.wait)
	}
	return d
}
