package loadgen

import (
	"fmt"
	"io"
	"math"
	"sort"
	"sync"
	"time"
)

// maxSamples is the maximum number of samples that the quantiles of a quantity use. Further samples are dropped, but
// their requests are counted.
const maxSamples = 4_000_000

// Quantiles are the quantiles of a latency in milliseconds.
type Quantiles struct {
	Samples int     `json:"samples"`
	P50     float64 `json:"p50Ms"`
	P95     float64 `json:"p95Ms"`
	P99     float64 `json:"p99Ms"`
	Max     float64 `json:"maxMs"`
}

// Report is the result of a run. Latencies are those of requests with outcome done. FirstToken covers the streamed
// model requests that were not cold starts, ColdStart those that were. Whole, of unstreamed model requests, and Plain,
// of calls of the plain service, are times to the end of the answer.
type Report struct {
	Seed          uint64             `json:"seed"`
	Sent          int                `json:"sent"`
	Seconds       float64            `json:"seconds"`
	Outcomes      map[Outcome]int    `json:"outcomes"`
	Kinds         map[Kind]int       `json:"kinds"`
	Statuses      map[int]int        `json:"statuses"`
	Failures      int                `json:"failures"`
	FirstFailures []string           `json:"firstFailures,omitempty"`
	FirstToken    Quantiles          `json:"firstToken"`
	ColdStart     Quantiles          `json:"coldStart"`
	BetweenTokens Quantiles          `json:"betweenTokens"`
	Whole         Quantiles          `json:"whole"`
	Plain         Quantiles          `json:"plain"`
	Summary       map[string]any     `json:"summary,omitempty"` // of the stand-ins, if requested
	Refusals      map[Outcome]string `json:"refusals,omitempty"`
}

// maxFailureLines is the maximum number of failures that a report describes.
const maxFailureLines = 10

// Collector summarizes results. It is safe for concurrent use.
type Collector struct {
	mu        sync.Mutex
	report    Report
	startedAt time.Time
	first     []time.Duration
	cold      []time.Duration
	gaps      []time.Duration
	plain     []time.Duration
	whole     []time.Duration
}

// NewCollector returns a collector for a run that starts now.
func NewCollector(seed uint64, now time.Time) *Collector {
	return &Collector{startedAt: now, report: Report{
		Seed: seed, Outcomes: map[Outcome]int{}, Kinds: map[Kind]int{}, Statuses: map[int]int{}, Refusals: map[Outcome]string{},
	}}
}

// Add records one result.
func (c *Collector) Add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	c.report.Outcomes[r.Outcome]++
	c.report.Kinds[r.Request.Kind]++
	c.report.Statuses[r.Status]++
	switch {
	case r.Outcome.IsFailure():
		c.report.Failures++
		if len(c.report.FirstFailures) < maxFailureLines {
			c.report.FirstFailures = append(c.report.FirstFailures, fmt.Sprintf("request %d %s %s: %s %s", r.Request.Index, r.Request.Kind, r.Request.Model, r.Outcome, r.Detail))
		}
	case r.Outcome != OutcomeDone:
		c.report.Refusals[r.Outcome] = r.Detail // the latest refusal serves as an example
	case r.Request.Kind != KindModel:
		appendSamples(&c.plain, r.First)
	case !r.Request.Stream:
		appendSamples(&c.whole, r.First)
	case r.ColdStart:
		appendSamples(&c.cold, r.First)
	default:
		appendSamples(&c.first, r.First)
	}
	if r.Outcome == OutcomeDone {
		appendSamples(&c.gaps, r.Gaps...)
	}
}

// appendSamples appends samples up to maxSamples.
func appendSamples(samples *[]time.Duration, added ...time.Duration) {
	remaining := maxSamples - len(*samples)
	*samples = append(*samples, added[:min(remaining, len(added))]...)
}

// Report returns the results so far.
func (c *Collector) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Seconds = now.Sub(c.startedAt).Seconds()
	r.FirstToken, r.ColdStart = quantiles(c.first), quantiles(c.cold)
	r.BetweenTokens, r.Whole, r.Plain = quantiles(c.gaps), quantiles(c.whole), quantiles(c.plain)
	return r
}

// quantiles returns quantiles by the nearest-rank method.
func quantiles(samples []time.Duration) Quantiles {
	n := len(samples)
	if n == 0 {
		return Quantiles{}
	}
	sorted := append([]time.Duration{}, samples...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := func(q float64) float64 {
		return float64(sorted[int(math.Ceil(q*float64(n)))-1].Microseconds()) / 1000
	}
	return Quantiles{Samples: n, P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: at(1)}
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests in %.1f s, %d failures\n", r.Seed, r.Sent, r.Seconds, r.Failures)
	for _, o := range []Outcome{OutcomeDone, OutcomeNotRun, OutcomeUnknown, OutcomeInvalid, OutcomeTruncated, OutcomeWrong, OutcomeLate, OutcomeDropped} {
		if n := r.Outcomes[o]; n > 0 {
			fmt.Fprintf(w, "  %-10s %d\n", o, n)
		}
	}
	fmt.Fprintf(w, "%-16s %9s %10s %10s %10s %10s\n", "latency, ms", "samples", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"cold start", r.ColdStart}, {"between tokens", r.BetweenTokens}, {"whole answer", r.Whole}, {"plain call", r.Plain}} {
		fmt.Fprintf(w, "%-16s %9d %10.1f %10.1f %10.1f %10.1f\n", row.name, row.q.Samples, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
	}
	for _, line := range r.FirstFailures {
		fmt.Fprintln(w, line)
	}
	for _, o := range []Outcome{OutcomeNotRun, OutcomeUnknown, OutcomeInvalid} {
		if detail := r.Refusals[o]; detail != "" {
			fmt.Fprintf(w, "example of %s: %s\n", o, detail)
		}
	}
}
