package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

// maxLateCost bounds the cost of an answer that is expected to end after the deadline.
const maxLateCost = 2 * time.Second

// comparison is what the candidates for a request are compared with.
type comparison struct {
	now      time.Time
	r        *Request
	isEngine bool
	slots    int // of an engine
	// shareAhead is the share of an engine's queue that is served before the request.
	shareAhead float64
	// eventSteps is the number of steps that an event spans.
	eventSteps float64
	// tokensPerEvent is the number of tokens that a request asks for over that of its events; 0 if unknown.
	tokensPerEvent float64
	// tokens is the size of the prompt, and shared that of the parts that other requests share.
	tokens, shared int
}

// candidate is an upstream that may get the request.
type candidate struct {
	m       *fleet.Member
	stats   *upstreamStats
	profile *profile
	// preference is 1 for the upstream at which all routers prefer to have the request's prefix, and less for the second.
	preference float64
	// firstHit is the probability that the upstream has the shared parts cached through other routers.
	firstHit float64
	// uncached and cached are the prompt tokens that the upstream is expected to process and to have cached.
	uncached, cached int
	// cost is the expected time from the start of an attempt to the first byte of the answer, plus surcharges for possible
	// failures, and rank the time by which the candidates are ordered. It includes what the request costs others there.
	cost, rank time.Duration
	// last is the expected time to the last event; 0 if unknown.
	last time.Duration
}

func (s *State) newComparison(now time.Time, r *Request) comparison {
	service := s.serviceSpeed(now, r.Service)
	c := comparison{now: now, r: r, eventSteps: service.eventSteps, tokensPerEvent: service.tokensPerEvent, tokens: promptTokens(r)}
	_, c.shared = r.sharedPrefix()
	if engine := s.engine(r.Service); engine != nil {
		c.isEngine, c.slots, c.shareAhead = true, engine.Slots, s.shareAhead(now, r)
	}
	return c
}

// choose returns the candidate with the least rank, the time that its prefill takes longer than where most of the prompt
// is expected to be cached, and whether the request is to wait for room there. If that engine has no room for the prompt,
// the best one with room is chosen unless it is much slower.
func (s *State) choose(now time.Time, r *Request, members []*fleet.Member) (chosen *candidate, detour time.Duration, mustWait bool) {
	c := s.newComparison(now, r)
	s.scratch = s.scratch[:0]
	for _, m := range members {
		stats := s.upstreamStats(m.ID)
		s.scratch = append(s.scratch, candidate{m: m, stats: stats, profile: s.profile(now, m, stats)})
	}
	first := s.rankByPrefix(&c, s.scratch)
	var best, open, warmest *candidate
	for i := range s.scratch {
		o := &s.scratch[i]
		s.estimate(&c, o, i == first)
		if best == nil || o.rank < best.rank {
			best = o
		}
		if warmest == nil || o.cached > warmest.cached {
			warmest = o
		}
		if (open == nil || o.rank < open.rank) && s.hasPrefillRoom(&c, o) {
			open = o
		}
	}
	chosen = best
	switch {
	case best == open || !now.Before(s.prefillWaitEnd(r, best.cost)):
	case open != nil && open.rank <= best.rank+affinityBonus:
		chosen = open
	default:
		mustWait = true
	}
	r.firstHit, r.firstHitAt = chosen.firstHit, ""
	if chosen.firstHit > 0 {
		r.firstHitAt = chosen.m.ID
	}
	detour = max(0, chosen.profile.prefillTime(chosen.uncached)-warmest.profile.prefillTime(warmest.uncached))
	return chosen, detour, mustWait
}

// rankByPrefix returns the index of the candidate that ranks first for the shared parts of the prompt, -1 if there are
// none, and sets the probabilities that candidates have them cached through other routers. Candidates of the router's
// region come first, since traffic to another region is paid by volume. As the first one fills up, the second one is
// preferred too, by all routers.
func (s *State) rankByPrefix(c *comparison, candidates []candidate) int {
	r := c.r
	if len(r.Chain) < 2 || s.prefixes.policy == prefixNone || !c.isEngine {
		return -1
	}
	key := r.Model + "/" + r.Adapter + "/" + r.Parts[len(r.Parts)-2].ID
	type place struct {
		index int
		local bool
		rank  float64
	}
	before := func(a, b place) bool {
		return b.index < 0 || a.local && !b.local || a.local == b.local && a.rank > b.rank
	}
	first, second := place{index: -1}, place{index: -1}
	for i := range candidates {
		m := candidates[i].m
		p := place{index: i, local: s.roundTrip(m.Zone) < regionRoundTrip, rank: weightedRank(key, m.ID, candidates[i].profile.slowness)}
		switch {
		case before(p, first):
			first, second = p, first
		case before(p, second):
			second = p
		}
	}
	if s.prefixes.policy != prefixExpected {
		return first.index
	}
	prefix, _ := r.sharedPrefix()
	r.seenBefore = s.prefixes.seen(prefix)
	hit := s.prefixes.firstHit[r.seenBefore].probability()
	candidates[first.index].preference, candidates[first.index].firstHit = 1, hit
	if full := fullness(c, &candidates[first.index]); second.index >= 0 && full > secondFrom {
		p := min(1, (full-secondFrom)/(secondFull-secondFrom))
		candidates[second.index].preference, candidates[second.index].firstHit = p, p*hit
	}
	return first.index
}

// estimate sets what the candidate is expected to cost.
func (s *State) estimate(c *comparison, o *candidate, ranksFirst bool) {
	now, r, m, stats := c.now, c.r, o.m, o.stats
	o.cost = s.roundTrip(m.Zone) + time.Duration(stats.failureRate*float64(failureCost)) + m.WarmupRemaining/4
	if !c.isEngine {
		beyondSlots := max(0, stats.outstanding-m.Slots+1)
		load := time.Duration(stats.outstanding)*plainOutstandingTime + time.Duration(beyondSlots)*plainQueueTime
		o.cost += o.profile.plainExcess + time.Duration(o.profile.plainRatio*float64(load))
		o.rank = o.cost
		return
	}
	o.cached = int(s.expected(now, r, stats, c.shared, o.firstHit).cached)
	o.uncached = c.tokens - o.cached
	tokensAhead := o.uncached + s.promptTokensAhead(now, r, m, stats)
	o.cost += o.profile.prefillTime(tokensAhead)
	running := stats.outstanding
	if m.Fresh(now) {
		running = max(running, m.Load.Running)
		o.cost += time.Duration(float64(m.Load.Queued) * c.shareAhead * float64(o.profile.queueTime))
		if m.Load.KVTotal > 0 && m.Load.KVUsed+o.uncached+r.TokensOut > m.Load.KVTotal {
			o.cost += fullMemoryCost
		}
	}
	o.cost += o.profile.runningTime(running)
	if r.Adapter != "" && !m.HoldsAdapter(r.Model, r.Adapter) {
		o.cost += adapterLoadTime + orderRemaining(now, m)
	}
	if ranksFirst && s.prefixes.policy == prefixSent {
		o.cost -= affinityBonus
	}
	o.rank = o.cost
	switch {
	case s.prefixes.policy == prefixExpected:
		o.rank += s.evictionCost(o) - time.Duration(o.preference*agreementShare*float64(o.profile.prefillTime(c.shared)))
	case ranksFirst:
		shared := max(0, o.uncached-r.Parts[len(r.Parts)-1].Tokens)
		o.rank -= o.profile.prefillTime(int(affinityShare * float64(shared)))
	}
	if o.profile.intervalKnown && c.tokensPerEvent > 0 && r.TokensOut > 0 {
		events := float64(r.TokensOut) / c.tokensPerEvent
		o.last = o.cost + time.Duration(events*o.profile.intervalRatio*float64(interval(running)))
		// What cannot finish in time is lost. The bound leaves a choice among those at which it cannot.
		o.rank += min(maxLateCost, max(0, o.last+answerReserve-r.Deadline.Sub(now)))
	}
}
