package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// metrics are the router's counters. Crossing bytes left the router's region.
type metrics struct {
	outcomes    map[wire.Outcome]tally.Counter
	dropped     map[stream.Verdict]tally.Counter
	duration    tally.Histogram
	firstByte   tally.Histogram
	attempts    tally.Counter
	resumes     tally.Counter
	retries     tally.Counter
	budgetSpent tally.Counter
	deadPaths   tally.Counter
	crossRegion tally.Counter
}

// buckets cover the first token's target of 0.7 s and cold starts of minutes.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

func newMetrics(s tally.Scope) metrics {
	m := metrics{
		outcomes: map[wire.Outcome]tally.Counter{}, dropped: map[stream.Verdict]tally.Counter{},
		duration:    s.Histogram("request_duration", buckets),
		firstByte:   s.Histogram("first_byte_duration", buckets),
		attempts:    s.Counter("attempts"),
		resumes:     s.Counter("resumes"),
		retries:     s.Counter("retries"),
		budgetSpent: s.Counter("retry_budget_spent"),
		deadPaths:   s.Counter("dead_paths"),
		crossRegion: s.Counter("cross_region_bytes"),
	}
	for _, o := range []wire.Outcome{wire.OutcomeDone, wire.OutcomeNotRun, wire.OutcomeUnknown} {
		m.outcomes[o] = s.Tagged(map[string]string{"outcome": o.String()}).Counter("requests")
	}
	for v := stream.Crossed; v <= stream.Corrupt; v++ {
		m.dropped[v] = s.Tagged(map[string]string{"verdict": v.String()}).Counter("frames_rejected")
	}
	return m
}

func (m *metrics) finished(res Result, d time.Duration) {
	if c := m.outcomes[res.Outcome]; c != nil {
		c.Inc(1)
	}
	m.duration.RecordDuration(d)
}

func (m *metrics) judged(v stream.Verdict) {
	if c := m.dropped[v]; c != nil {
		c.Inc(1)
	}
}
