package dispatch

import (
	"math"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// Upstreams of a service differ in speed: of 56 engines of one deployment a quarter worked at half the speed of the
// others, and got as many prompts as they. The times that decisions expect are therefore learned for each upstream, as
// ratios to the defaults below (docs/design/engine-speed.md).

const (
	// defaultTokensPerMS is the number of prompt tokens that an engine processes per millisecond, unless observed
	// otherwise.
	defaultTokensPerMS = 38.7
	// defaultInterval is the time between two events of a stream at an engine without other requests, and
	// defaultRunningTime the time that each running request adds to it and to the time to the first event.
	defaultInterval    = 25 * time.Millisecond
	defaultRunningTime = 1500 * time.Microsecond
	// defaultQueueTime is the wait for each request ahead in an engine's queue: the prefill of a long prompt.
	defaultQueueTime = 150 * time.Millisecond
	// defaultEventSteps is the number of generation steps that an event spans.
	defaultEventSteps = 8
	// defaultScaleOutTime is the expected time to the first event above which another replica of the model is requested.
	defaultScaleOutTime = 350 * time.Millisecond
	// defaultPlainTime is the time of an answer of a service without an engine. plainOutstandingTime is added for each
	// outstanding request there, and plainQueueTime for each that exceeds the upstream's slots.
	defaultPlainTime     = 40 * time.Millisecond
	plainOutstandingTime = 4 * time.Millisecond
	plainQueueTime       = 40 * time.Millisecond
)

const (
	// profileInterval is the time for which the figures of an upstream are used before they are derived again.
	profileInterval = 250 * time.Millisecond
	// slowRatio is the ratio of an engine's prefill time to the service's mean from which it is slow, and notSlowRatio the
	// one below which it no longer is. With one threshold prefixes would move with each change of the estimate. The next
	// levels lie at twice the ratio each.
	slowRatio, notSlowRatio, maxSlowness = 1.35, 1.15, 3
	// minKnown is the confidence from which an estimate is rather observed than assumed.
	minKnown = 0.5
	// maxSeenRatio bounds the ratio of the prefill with which cached prefixes are recognised to that of the intervals between
	// events: an engine without a cache seems to process prompts slowly, but its steps take no longer.
	maxSeenRatio = 1.1
	// minRoomRatio bounds from below the ratio of the prefill time with which the room for prompts is determined: too
	// much room delays all streams of the engine, too little only the prompt.
	minRoomRatio = 0.8
	// minObservedTokens is the size of a prompt from which the time to its first event says something of the speed of
	// its processing. maxUncertainShare is the largest share of it that may be cached although it probably is not, and
	// probablyCached the largest share of the shared parts that may not be cached although they probably are.
	minObservedTokens = 400
	maxUncertainShare = 0.25
	probablyCached    = 0.6
	// minObservedShare is the least expected prefill time in relation to the interval between events for the same
	// purpose, and fullObservedShare the one from which an observation has its full weight.
	minObservedShare, fullObservedShare = 0.5, 2
	// minPrefillRatio is the ratio to the default below which an observed prefill time is inconsistent: the prompt was
	// cached after all.
	minPrefillRatio = 0.25
	// maxQueueReportAge is the age up to which a report of the queue tells what a request sent then found there.
	maxQueueReportAge = 300 * time.Millisecond
)

// profile is the figures of an upstream that decisions use.
type profile struct {
	at time.Time // when the figures were derived
	// started is the start of the instance that the figures are of.
	started int64
	// nsPerToken is the prefill time of a prompt token in ns, prefillRatio its ratio to the default.
	nsPerToken, prefillRatio float64
	// seenRatio is the ratio with which first events show whether a prefix was cached.
	seenRatio float64
	// slowness is 0 for engines of usual speed, and k for those about 2^k times as slow.
	slowness int
	// intervalRatio is the ratio of the interval between events to the default.
	intervalRatio float64
	// intervalKnown reports whether that ratio is rather observed than assumed.
	intervalKnown bool
	// lifetime is the time after which half of the cached parts that are not used again are expected to be evicted.
	lifetime  time.Duration
	queueTime time.Duration
	// plainRatio is the ratio of the time of a plain answer to the service's mean, plainExcess the difference from it.
	plainRatio  float64
	plainExcess time.Duration
}

// serviceSpeed is what is learned of a service as a whole.
type serviceSpeed struct {
	at       time.Time // when the priors were derived
	priors   [speed.Kinds]float64
	observed speed.Speeds // of quantities that do not depend on the upstream
	// eventSteps is the number of steps that an event spans, and scaleOutTime the expected time to the first event above
	// which another replica is requested.
	eventSteps   float64
	scaleOutTime time.Duration
	// tokensPerEvent is the number of tokens that a request asks for over that of its events. It exceeds eventSteps where
	// streams end early. It is 0 while it is assumed rather than observed.
	tokensPerEvent float64
}

// serviceSpeed returns the service's figures, derived at most every profileInterval.
func (s *State) serviceSpeed(now time.Time, service string) *serviceSpeed {
	v := s.serviceSpeeds[service]
	if v == nil {
		v = &serviceSpeed{}
		s.serviceSpeeds[service] = v
	}
	if !v.at.IsZero() && now.Sub(v.at) < profileInterval {
		return v
	}
	v.at = now
	var means [speed.Kinds]speed.Mean
	for _, m := range s.Fleet.Members(now, service) {
		stats := s.upstreamStats(m.ID)
		for kind := range means {
			means[kind].Add(now, stats.speeds.Estimate(now, speed.Kind(kind)))
		}
	}
	for kind := range means {
		v.priors[kind] = means[kind].Log2()
	}
	v.tokensPerEvent = 0
	if v.observed.Estimate(now, speed.EventSteps).Confidence(now) > minKnown {
		v.tokensPerEvent = defaultEventSteps * math.Exp2(v.observed.Log2(now, speed.EventSteps, 0))
	}
	v.eventSteps = defaultEventSteps * v.observed.Ratio(now, speed.EventSteps, 0)
	v.scaleOutTime = time.Duration(defaultScaleOutTime.Seconds() * speed.Ratio(speed.Prefill, v.priors[speed.Prefill]) * float64(time.Second))
	return v
}

// profile returns the figures of the upstream, derived at most every profileInterval.
func (s *State) profile(now time.Time, m *fleet.Member, stats *upstreamStats) *profile {
	p := &stats.profile
	if p.started != m.StartedUnixMS {
		if p.started != 0 {
			stats.forget()
		}
		p.started = m.StartedUnixMS
	} else if !p.at.IsZero() && now.Sub(p.at) < profileInterval {
		return p
	}
	p.at = now
	priors := &s.serviceSpeed(now, m.Service).priors
	// An engine with slow steps probably processes prompts as slowly. Intervals are observed more often than prefills.
	steps := stats.speeds.Estimate(now, speed.Interval)
	prior := priors[speed.Prefill] + steps.Confidence(now)*(steps.Log2-priors[speed.Interval])
	p.prefillRatio = speed.Ratio(speed.Prefill, speed.Damp(stats.speeds.Log2(now, speed.Prefill, prior), priors[speed.Prefill]))
	p.seenRatio = min(p.prefillRatio, maxSeenRatio*speed.Ratio(speed.Prefill, prior))
	p.nsPerToken = p.prefillRatio * float64(time.Millisecond) / defaultTokensPerMS
	if level := slowness(p.slowness, p.prefillRatio/speed.Ratio(speed.Prefill, priors[speed.Prefill])); level != p.slowness {
		p.slowness = level
		s.speedChanges = append(s.speedChanges, m.ID)
	}
	p.intervalRatio = speed.Ratio(speed.Interval, speed.Damp(stats.speeds.Log2(now, speed.Interval, priors[speed.Interval]), priors[speed.Interval]))
	p.intervalKnown = steps.Confidence(now) > minKnown
	p.lifetime = s.lifetime(now, m, stats)
	p.queueTime = time.Duration(stats.speeds.Ratio(now, speed.Queue, priors[speed.Queue]) * float64(defaultQueueTime))
	mean := speed.Ratio(speed.Plain, priors[speed.Plain])
	p.plainRatio = stats.speeds.Ratio(now, speed.Plain, priors[speed.Plain]) / mean
	p.plainExcess = time.Duration((p.plainRatio - 1) * mean * float64(defaultPlainTime))
	return p
}

// slowness returns the level of slowness for the ratio of an engine's prefill time to the service's mean, given the last
// level.
func slowness(level int, ratio float64) int {
	for level < maxSlowness && ratio > math.Ldexp(slowRatio, level) {
		level++
	}
	for level > 0 && ratio < math.Ldexp(notSlowRatio, level-1) {
		level--
	}
	return level
}

// weightedRank returns the rank of the upstream for the key. An engine that is twice as slow ranks first half as often
// (weighted rendezvous hashing), and the others keep their order.
func weightedRank(key, id string, slowness int) float64 {
	u := float64(placement.Rank(key, id)) / (1 << 64)
	for range slowness {
		u *= u
	}
	return u
}

// SpeedChange is the learned speed of an upstream whose level of slowness has changed.
type SpeedChange struct {
	Upstream string
	// Slowness is 0 for usual speed, and k for about 2^k times slower than the service's mean.
	Slowness int
	// Prefill and Interval are the ratios of its times to the defaults, and Confidence that of the prefill, from 0 to 1.
	Prefill, Interval, Confidence float64
}

// maxSpeedChanges bounds the changes that wait to be taken.
const maxSpeedChanges = 256

// TakeSpeedChanges returns the upstreams whose level of slowness has changed since the last call.
func (s *State) TakeSpeedChanges(now time.Time) []SpeedChange {
	var out []SpeedChange
	for _, id := range s.speedChanges[:min(len(s.speedChanges), maxSpeedChanges)] {
		if stats := s.stats[id]; stats != nil {
			p := &stats.profile
			out = append(out, SpeedChange{Upstream: id, Slowness: p.slowness, Prefill: p.prefillRatio, Interval: p.intervalRatio,
				Confidence: stats.speeds.Estimate(now, speed.Prefill).Confidence(now)})
		}
	}
	s.speedChanges = nil
	return out
}

// forget drops what was learned of an earlier instance. Attempts that are still open there are counted until they end.
func (stats *upstreamStats) forget() {
	stats.speeds = speed.Speeds{}
	stats.profile = profile{}
	stats.cache = prompt.NewCache(upstreamCacheTokens)
	stats.keeps = 0
}

// prefillTime returns the time to process the tokens.
func (p *profile) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * p.nsPerToken)
}

// interval returns the time between two events with the given number of running requests at the default speed.
func interval(running int) time.Duration {
	return defaultInterval + time.Duration(running)*defaultRunningTime
}

// runningTime returns the time that the running requests add to the time to the first event. The default interval is
// left out: it is the same at all upstreams.
func (p *profile) runningTime(running int) time.Duration {
	return time.Duration(p.intervalRatio*float64(interval(running))) - defaultInterval
}

// attemptView is what was known of the upstream when an attempt started there.
type attemptView struct {
	upstream  string
	started   int64
	sentAt    time.Time
	roundTrip time.Duration
	// tokens are the prompt tokens to process until the first event: the request's own that were not expected to be cached
	// and those ahead of it. uncertain of them may be cached, as other routers send the same parts.
	tokens, uncertain int
	// shared is the number of tokens of the shared parts, expected what the router's own prompts let expect to be cached
	// of them. first reports whether the upstream ranks first for them, seenBefore whether (1) the router had seen them.
	shared     int
	expected   expectation
	first      bool
	seenBefore int
	// queued is the number of requests ahead in the engine's queue; -1 if unknown.
	queued float64
	// slotsTaken reports whether all slots were taken.
	slotsTaken bool
}

// recordView records what is known of the upstream at the start of an attempt.
func (s *State) recordView(id string, r *Request, uncached int) {
	r.view = attemptView{upstream: id, sentAt: r.sentAt}
	m := s.Fleet.Get(id)
	if m == nil || r.sentAt.IsZero() {
		r.view.sentAt = time.Time{}
		return
	}
	stats, v := s.upstreamStats(id), &r.view
	v.started, v.roundTrip = m.StartedUnixMS, s.roundTrip(m.Zone)
	v.tokens = uncached
	for _, n := range stats.prefill[:r.priority()+1] {
		v.tokens += n
	}
	stats.speeds.RecordSent(r.sentAt, uncached)
	if len(r.Parts) > 0 {
		_, v.shared = r.sharedPrefix()
		v.uncertain = uncached - r.Parts[len(r.Parts)-1].Tokens
		v.expected = s.expected(r.sentAt, r, stats, v.shared, 0)
		v.first, v.seenBefore = id == r.firstHitAt, r.seenBefore
	}
	v.queued = -1
	if r.sentAt.Sub(m.ReportedAt) <= maxQueueReportAge {
		v.queued = float64(m.Load.Queued) * s.shareAhead(r.sentAt, r)
	}
	if engine := s.engine(r.Service); engine != nil {
		v.slotsTaken = engine.Slots > 0 && max(stats.outstanding, m.Load.Running) >= engine.Slots
	} else {
		v.slotsTaken = stats.outstanding >= m.Slots
	}
}

// RecordSent records that the request is written to the upstream now. The connection, a repeated wait for an admission
// and a wait for tokens of a quota come between the start of an attempt and this, and say nothing of the engine's speed.
func (s *State) RecordSent(now time.Time, r *Request) {
	if r.sentAt = now; !r.view.sentAt.IsZero() {
		r.view.sentAt = now
	}
}

// RecordEvents records the first events of the answer to the request's current attempt, or all of an answer with few.
func (s *State) RecordEvents(now time.Time, id string, r *Request, events *speed.Events) {
	v := &r.view
	m := s.Fleet.Get(id)
	usual := events.Interval()
	if m == nil || v.upstream != id || v.sentAt.IsZero() || v.started != m.StartedUnixMS || usual <= 0 {
		return
	}
	stats := s.upstreamStats(id)
	running := stats.outstanding
	if m.Fresh(now) {
		running = max(running, m.Load.Running)
	}
	stats.speeds.Observe(now, speed.Interval, usual.Seconds()/interval(running).Seconds(), 1)
	took := events.First().Sub(v.sentAt) - v.roundTrip - usual
	s.recordSeen(now, m, r, took)
	// Tokens that are probably cached are left out: if they were not, the observation is longer, as others may be.
	tokens := v.tokens - max(0, v.uncertain)
	expected := time.Duration(float64(tokens) / defaultTokensPerMS * float64(time.Millisecond))
	switch {
	case v.queued >= 1:
		wait := took - s.profile(now, m, stats).prefillTime(v.tokens)
		stats.speeds.Observe(now, speed.Queue, max(wait.Seconds(), 0.001)/(v.queued*defaultQueueTime.Seconds()), 1)
	case v.queued != 0 || v.slotsTaken: // the wait in the queue is not the engine's speed
	case tokens < minObservedTokens:
	case float64(v.uncertain) > maxUncertainShare*float64(v.tokens) && float64(v.uncertain) > probablyCached*float64(v.shared):
	case expected.Seconds() < minObservedShare*usual.Seconds():
	default:
		if ratio := took.Seconds() / expected.Seconds(); ratio >= minPrefillRatio {
			// An observation that relies on a cached prefix counts less: an engine that does not keep it seems slow.
			certain := float64(tokens) / float64(tokens+v.shared)
			stats.speeds.Observe(now, speed.Prefill, ratio, min(1, expected.Seconds()/(fullObservedShare*usual.Seconds()))*certain)
		}
	}
}

// RecordStreamEnd records a complete stream of the given number of events that was not resumed.
func (s *State) RecordStreamEnd(now time.Time, r *Request, events int) {
	if r.TokensOut <= 0 || events < minStreamEvents || s.config == nil {
		return
	}
	steps := float64(r.TokensOut) / float64(events)
	s.serviceSpeed(now, r.Service).observed.Observe(now, speed.EventSteps, steps/defaultEventSteps, 1)
}

// minStreamEvents is the number of events from which a stream shows the number of tokens in an event: the last event has
// fewer.
const minStreamEvents = 4

// recordPlain records the time of a complete plain answer.
func (s *State) recordPlain(now time.Time, id string, r *Request, stats *upstreamStats) {
	v := &r.view
	if v.upstream != id || v.sentAt.IsZero() || v.slotsTaken || s.engine(r.Service) != nil {
		return
	}
	if took := now.Sub(v.sentAt) - v.roundTrip; took > 0 {
		stats.speeds.Observe(now, speed.Plain, took.Seconds()/defaultPlainTime.Seconds(), 1)
	}
}

// ObservedSpeed returns the router's observations of the upstream for the agent beside it; nil if there are none.
func (s *State) ObservedSpeed(now time.Time, id string) *speed.Observed {
	m, stats := s.Fleet.Get(id), s.stats[id]
	if m == nil || stats == nil || s.engine(m.Service) == nil || stats.profile.started != m.StartedUnixMS {
		return nil
	}
	return stats.speeds.Observed(now, id, m.StartedUnixMS)
}
