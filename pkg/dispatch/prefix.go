package dispatch

import (
	"math"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

// In one deployment a quarter of all prompt tokens that engines processed were shared parts processed again: each router
// knows only its own prompts, and chose among the engines by their load. The rules below weigh the prompt tokens that an
// engine saves against the wait there and the delay for others (docs/design/prefix-cache.md).

// prefixPolicy is how cached prompt parts influence the choice of an upstream.
type prefixPolicy int

const (
	// prefixNone ignores cached parts.
	prefixNone prefixPolicy = iota
	// prefixSent takes the parts that this router sent for cached until its record of them is full, and prefers the
	// upstream that ranks first for a prefix.
	prefixSent
	// prefixExpected weighs parts by the probability that they are cached.
	prefixExpected
)

// defaultPrefixPolicy is the policy in use.
const defaultPrefixPolicy = prefixExpected

const (
	// priorFirstHit is the assumed probability that the upstream which ranks first for a prefix has it cached although
	// this router has not sent it there, and minFirstHit the least one: without a preference the routers would not agree on
	// an upstream, so that none ever has it cached.
	priorFirstHit, minFirstHit = 0.8, 0.3
	// firstHitWeight is the weight of the prior, in observations.
	firstHitWeight = 8
	// agreementShare is the advantage of the preferred upstream in relation to the prefill time of the shared parts: to
	// process them elsewhere delays others there, and takes memory from other prefixes. Without it 9.8% of the requests of
	// a replay were late (31 routers, 3 times the customer's load), 1.5% with it, 2.2% with twice as much.
	agreementShare = 0.5
	// secondFrom and secondFull are the loads of the upstream that ranks first, as shares of its slots and KV memory, from
	// which the second one is taken to get the prefix too, and at which it is preferred as much as the first.
	secondFrom, secondFull = 0.5, 0.8
	// minLifetime and maxLifetime bound the time after which a part is expected to be evicted.
	minLifetime, maxLifetime = time.Second, 10 * time.Minute
	// minFreeShare is the least share of the KV memory that is assumed to serve for cached parts.
	minFreeShare = 0.1
	// minCacheSavings is the time that a cached prefix must save for the first event to show whether it was cached.
	minCacheSavings = 40 * time.Millisecond
	// hitBelow and missAbove are the shares of the savings by which a first event that came later than with the prefix
	// cached shows that it was cached or not. In between it shows nothing.
	hitBelow, missAbove = 0.4, 0.8
	// missWeight is the weight of a miss in relation to a hit: a wait behind other routers' prompts looks like one.
	missWeight = 0.5
	// lifetimeStep is the change of an upstream's lifetime factor by a surprising observation, in octaves, and the bounds
	// of the factor.
	lifetimeStep, minLifetimeFactor, maxLifetimeFactor = 0.5, 1.0 / 16, 4.0
	// recentPrefixes bounds the prefixes of which the router remembers that they were requested.
	recentPrefixes = 4096
)

// hitRate is the share of observations in which a prefix was cached.
type hitRate struct{ hits, all float64 }

// hitRateDecay is the factor of the weight of an observation with each later one.
const hitRateDecay = 0.99

func (h *hitRate) add(hit bool) {
	h.hits, h.all = h.hits*hitRateDecay, h.all*hitRateDecay
	if hit {
		h.hits, h.all = h.hits+1, h.all+1
	} else {
		h.all += missWeight
	}
}

func (h *hitRate) probability() float64 {
	return max(minFirstHit, (h.hits+priorFirstHit*firstHitWeight)/(h.all+firstHitWeight))
}

// prefixes is what a router knows of the prefixes in its requests.
type prefixes struct {
	policy prefixPolicy
	// recent are the prefixes that were requested, in two generations: when current is full it replaces previous.
	current, previous map[uint64]struct{}
	// firstHit are the shares of hits at the upstream that ranks first, for prefixes that this router had not seen before
	// and for others.
	firstHit [2]hitRate
}

// sharedPrefix returns the hash of the prompt's shared parts, and the number of their tokens; the last part is the
// request's own.
func (r *Request) sharedPrefix() (hash uint64, tokens int) {
	n := len(r.Chain) - 1
	if n < 1 {
		return 0, 0
	}
	for _, p := range r.Parts[:n] {
		tokens += p.Tokens
	}
	return r.Chain[n-1], tokens
}

// seen returns 1 if the prefix was requested at this router before, 0 otherwise.
func (p *prefixes) seen(prefix uint64) int {
	if _, ok := p.current[prefix]; ok {
		return 1
	}
	if _, ok := p.previous[prefix]; ok {
		return 1
	}
	return 0
}

// recordRequested records that the prefix was requested.
func (p *prefixes) recordRequested(prefix uint64) {
	if p.current == nil || len(p.current) >= recentPrefixes {
		p.previous, p.current = p.current, map[uint64]struct{}{}
	}
	p.current[prefix] = struct{}{}
}

// expectation is what a router expects of the prompt's cached part at one upstream.
type expectation struct {
	cached float64 // tokens
	// own is the part of cached that follows from this router's own prompts, the last of which was sent gap ago.
	own float64
	gap time.Duration
}

// expected returns the tokens of the prompt that the upstream is expected to have cached. The argument first is the
// probability that it has the shared parts cached through other routers.
func (s *State) expected(now time.Time, r *Request, stats *upstreamStats, shared int, first float64) expectation {
	switch s.prefixes.policy {
	case prefixNone:
		return expectation{}
	case prefixSent:
		n := float64(stats.cache.CachedTokens(r.Chain, r.Parts))
		return expectation{cached: n, own: n}
	}
	lifetime := stats.profile.lifetime
	if lifetime == 0 {
		lifetime = maxLifetime
	}
	own, gap := stats.cache.ExpectedTokens(now, r.Chain, r.Parts, lifetime)
	return expectation{cached: max(own, first*float64(shared)), own: own, gap: gap}
}

// lifetime returns the time after which half of the parts that are not used again are expected to be evicted at the
// upstream: the time in which its prompts fill the KV memory that running requests leave.
func (s *State) lifetime(now time.Time, m *fleet.Member, stats *upstreamStats) time.Duration {
	total := float64(upstreamCacheTokens)
	if engine := s.engine(m.Service); engine != nil && engine.KVTokens > 0 {
		total = float64(engine.KVTokens)
	}
	free := total
	if m.Load.KVTotal > 0 {
		total = float64(m.Load.KVTotal)
		free = max(total-float64(m.Load.KVUsed), minFreeShare*total)
	}
	perS := max(stats.speeds.TokensPerS(now), 1)
	life := time.Duration(min(free/perS*stats.lifetimeFactor(), maxLifetime.Seconds()) * float64(time.Second))
	return max(life, minLifetime)
}

// lifetimeFactor returns the factor by which observations have corrected the lifetime of parts at the upstream.
func (stats *upstreamStats) lifetimeFactor() float64 {
	if stats.keeps == 0 {
		return 1
	}
	return stats.keeps
}

// fullness returns the load of the upstream as a share of its slots or KV memory, whichever is larger.
func fullness(c *comparison, o *candidate) float64 {
	full, running := 0.0, o.stats.outstanding
	if m := o.m; m.Fresh(c.now) {
		running = max(running, m.Load.Running+m.Load.Queued)
		if m.Load.KVTotal > 0 {
			full = float64(m.Load.KVUsed) / float64(m.Load.KVTotal)
		}
	}
	if c.slots > 0 {
		full = max(full, float64(running)/float64(c.slots))
	}
	return full
}

// evictionCost returns the time that the prompt costs those whose cached parts it evicts: the part of its tokens that
// displaces parts which are used again. Parts that are used often are evicted last, so this matters under pressure only.
func (s *State) evictionCost(o *candidate) time.Duration {
	load := &o.m.Load
	if load.KVTotal <= 0 {
		return 0
	}
	pressure := min(1, float64(load.KVUsed)/float64(load.KVTotal))
	reused := min(1, float64(o.stats.cache.ReusedTokens())*float64(s.routers)/float64(load.KVTotal))
	return time.Duration(pressure * reused * float64(o.profile.prefillTime(o.uncached)))
}

// recordSeen records whether the prefix of the answered request was cached, as far as the time to its first event shows
// it. The argument took is that time without the round trip and the usual interval between events.
func (s *State) recordSeen(now time.Time, m *fleet.Member, r *Request, took time.Duration) {
	v, stats := &r.view, s.upstreamStats(m.ID)
	p := s.profile(now, m, stats)
	perToken := p.seenRatio * float64(time.Millisecond) / defaultTokensPerMS
	savings := time.Duration(float64(v.shared) * perToken)
	late := took - time.Duration(float64(v.tokens-v.uncertain)*perToken)
	if v.shared == 0 || savings < minCacheSavings || v.queued != 0 || v.slotsTaken {
		return
	}
	var hit bool
	switch {
	case late < time.Duration(hitBelow*float64(savings)):
		hit, r.seen, r.seenCached = true, true, v.shared
	case late > time.Duration(missAbove*float64(savings)):
		r.seen, r.seenCached = true, 0
	default:
		return
	}
	if s.prefixes.policy != prefixExpected {
		return
	}
	known := v.expected.own / float64(v.shared)
	switch {
	case known > 0.05: // the router's own prompts put it there
		octaves := lifetimeStep * (1 - min(1, known))
		if !hit {
			octaves = -lifetimeStep * missWeight * min(1, known)
		}
		stats.keeps = min(max(stats.lifetimeFactor()*math.Exp2(octaves), minLifetimeFactor), maxLifetimeFactor)
	case v.first:
		s.prefixes.firstHit[v.seenBefore].add(hit)
	}
}

// SeenCached returns the prompt tokens that were cached as far as the first event showed it; -1 if it showed nothing.
func (r *Request) SeenCached() int {
	if !r.seen {
		return -1
	}
	return r.seenCached
}
