package speed

import (
	"math"
	"time"
)

// Kind is a quantity that is learned.
type Kind int

// Kinds of quantities. Those before Pooled are pooled over the routers through the agent beside the upstream.
const (
	// Prefill is the time to process a prompt token.
	Prefill Kind = iota
	// Interval is the time between two events of a stream, given the number of running requests.
	Interval
	// Queue is the wait for each request ahead in an engine's queue.
	Queue
	// Plain is the time of an answer of a service without an engine.
	Plain
	// EventSteps is the number of generated tokens in an event, and thus of the steps of the engine that it spans.
	EventSteps
	Kinds
	Pooled = Plain
)

const (
	// minWeight is the weight below which a sketch counts as empty.
	minWeight = 0.05
	// priorWeight is the weight of the prior in an upstream's estimate, in observations, and servicePriorWeight that of
	// the general default in a service's.
	priorWeight, servicePriorWeight = 4, 8
	// maxRouterWeight bounds the weight of one router's observations in the pooled estimate, and maxRouterRatio its ratio
	// to the mean weight of the others, so that a router that reports wrong figures cannot move the quantile beyond those
	// of the others. fewRoutersWeight is the weight up to which that ratio may be exceeded where one or two routers report.
	maxRouterWeight, maxRouterRatio, fewRoutersWeight = 8, 1.5, 2
	// maxOwnWeight bounds the weight of the router's own observations, and maxUpstreamWeight that of an upstream in its
	// service's mean.
	maxOwnWeight, maxUpstreamWeight = 12, 8
	// MaxWeight bounds the weight of an estimate in a message: that of a thousand routers.
	MaxWeight = 1000 * maxRouterWeight
)

// quantiles are the quantiles that serve as estimates. What disturbs an observation of the prefill (prompts of other
// routers, a cached part that was evicted) makes it longer, hence the lower one.
var quantiles = [Kinds]float64{Prefill: 0.2, Interval: 0.5, Queue: 0.5, Plain: 0.5, EventSteps: 0.25}

// bounds are the least and largest binary logarithm of the ratio of each quantity to its default that decisions use.
var bounds = [Kinds][2]float64{Prefill: {-2, 4}, Interval: {-2, 4}, Queue: {-2, 2}, Plain: {-2, 4}, EventSteps: {-2, 1}}

// Estimate is an estimated ratio of a time to its default. A weight of 0 means that nothing is known.
type Estimate struct {
	// Log2 is the binary logarithm of the ratio.
	Log2 float64
	// Weight is the weight of the observations at the time At.
	Weight float64
	At     time.Time
}

// weightAt returns the weight of the estimate's observations at now.
func (e Estimate) weightAt(now time.Time) float64 {
	if e.Weight == 0 {
		return 0
	}
	return decayed(e.Weight, max(0, now.Sub(e.At)))
}

// Confidence returns the share of the estimate in a value that is combined with a prior, from 0 to 1.
func (e Estimate) Confidence(now time.Time) float64 {
	w := e.weightAt(now)
	return w / (w + priorWeight)
}

// Ratio returns the ratio of a quantity to its default, within its bounds.
func Ratio(kind Kind, log2 float64) float64 {
	return math.Exp2(min(max(log2, bounds[kind][0]), bounds[kind][1]))
}

// Speeds is what a router knows of the speed of one instance of an upstream. The zero value knows nothing.
type Speeds struct {
	own [Kinds]Sketch
	// sent is the rate of the prompt tokens that this router sent, without those expected to be cached.
	sent   Rate
	pooled [Pooled]Estimate // from the agent's last report
	// pooledSent is the rate of all routers in that report, which was received at pooledAt.
	pooledSent float64
	pooledAt   time.Time
}

// Observe adds an observation of the router's own: an observed time in relation to its default.
func (u *Speeds) Observe(now time.Time, kind Kind, ratio, weight float64) {
	u.own[kind].Add(now, ratio, weight)
}

// RecordSent records a prompt that was sent with the given number of tokens to process.
func (u *Speeds) RecordSent(now time.Time, tokens int) { u.sent.Add(now, float64(tokens)) }

// TokensPerS returns the prompt tokens per second that the routers send to the upstream to be processed: those of the
// agent's last report, or more if this router alone has sent more.
func (u *Speeds) TokensPerS(now time.Time) float64 {
	return max(u.sent.At(now), decayed(u.pooledSent, max(0, now.Sub(u.pooledAt))))
}

// Estimate returns what is known of the quantity: the pooled estimate, or the router's own where that has more weight.
func (u *Speeds) Estimate(now time.Time, kind Kind) Estimate {
	own := u.own[kind].estimate(now, quantiles[kind], maxOwnWeight)
	if kind < Pooled {
		if e := u.pooled[kind]; e.weightAt(now) > own.Weight {
			return e
		}
	}
	return own
}

// Log2 returns the binary logarithm of the ratio of the quantity to its default: the estimate combined with the prior.
func (u *Speeds) Log2(now time.Time, kind Kind, prior float64) float64 {
	e := u.Estimate(now, kind)
	c := e.Confidence(now)
	return c*e.Log2 + (1-c)*prior
}

// Ratio returns the ratio of the quantity to its default: the estimate combined with the prior, the binary logarithm of
// the service's ratio.
func (u *Speeds) Ratio(now time.Time, kind Kind, prior float64) float64 {
	return Ratio(kind, u.Log2(now, kind, prior))
}

// noise is the difference between the estimates of two equally fast upstreams under load, in octaves.
const noise = 0.4

// Damp returns the value with its difference from the mean reduced where that is no larger than the noise. Undamped
// estimates sent prompts away from upstreams that had them cached to others that only seemed faster: with engines of one
// speed 12.4% of the requests of a replay were late, 7.3% without learned speeds and 9.0% with damped ones.
func Damp(log2, mean float64) float64 {
	d := log2 - mean
	if d == 0 {
		return mean
	}
	return mean + d*d*d/(d*d+noise*noise)
}

// Mean combines the estimates of the upstreams of a service.
type Mean struct{ sum, weight float64 }

// Add adds an upstream's estimate.
func (m *Mean) Add(now time.Time, e Estimate) {
	w := min(e.weightAt(now), maxUpstreamWeight)
	m.sum, m.weight = m.sum+w*e.Log2, m.weight+w
}

// Log2 returns the binary logarithm of the service's ratio, which is 0 without estimates.
func (m *Mean) Log2() float64 { return m.sum / (m.weight + servicePriorWeight) }
