package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// SpeedRatio returns the ratio of the quantity at the upstream to its default that decisions use.
func (s *State) SpeedRatio(now time.Time, id string, kind speed.Kind) float64 {
	m := s.Fleet.Get(id)
	if kind == speed.Prefill {
		return s.profile(now, m, s.upstreamStats(id)).prefillRatio
	}
	return s.upstreamStats(id).speeds.Ratio(now, kind, s.serviceSpeed(now, m.Service).priors[kind])
}

// EventSteps returns the number of steps that an event of the service spans.
func (s *State) EventSteps(now time.Time, service string) float64 {
	return s.serviceSpeed(now, service).eventSteps
}

// Policies for cached prefixes.
const (
	PrefixNone     = prefixNone
	PrefixSent     = prefixSent
	PrefixExpected = prefixExpected
)

// SetPrefixPolicy sets the policy for cached prefixes.
func (s *State) SetPrefixPolicy(p prefixPolicy) { s.prefixes.policy = p }

// PrefixPolicy is the type of these policies.
type PrefixPolicy = prefixPolicy

// LifetimeFactor returns the factor by which observations have corrected the lifetime of cached parts at the upstream.
func (s *State) LifetimeFactor(id string) float64 { return s.upstreamStats(id).lifetimeFactor() }

// Records returns the number of upstreams of which something is recorded, and of the prompt parts recorded for all of them.
func (s *State) Records() (upstreams, parts int) {
	for id := range s.used {
		if s.stats[id] == nil {
			upstreams++
		}
	}
	for _, stats := range s.stats {
		parts += stats.cache.Parts()
	}
	return upstreams + len(s.stats), parts
}
