package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// metrics holds the router's counters and histograms. crossRegion counts bytes received from other regions.
type metrics struct {
	outcomes    map[wire.Outcome]tally.Counter
	rejected    map[stream.Verdict]tally.Counter
	duration    tally.Histogram
	firstByte   tally.Histogram
	attempts    tally.Counter
	resumes     tally.Counter
	retries     tally.Counter
	budgetSpent tally.Counter
	deadPaths   tally.Counter
	crossRegion tally.Counter
}

// buckets range from 1 ms to over 2 minutes: from well below the target of 0.7 s for the first token up to cold starts.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

func newMetrics(s tally.Scope) metrics {
	m := metrics{
		outcomes: map[wire.Outcome]tally.Counter{}, rejected: map[stream.Verdict]tally.Counter{},
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
		m.rejected[v] = s.Tagged(map[string]string{"verdict": v.String()}).Counter("frames_rejected")
	}
	return m
}

func (m *metrics) recordResult(res Result, d time.Duration) {
	if c := m.outcomes[res.Outcome]; c != nil {
		c.Inc(1)
	}
	m.duration.RecordDuration(d)
}

func (m *metrics) recordVerdict(v stream.Verdict) {
	if c := m.rejected[v]; c != nil {
		c.Inc(1)
	}
}
