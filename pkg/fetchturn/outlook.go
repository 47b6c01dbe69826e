package fetchturn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// Expected returns the time until each model in the queue is expected to be loaded: fetches in progress, turns given and
// wanted fetches in their order. Models that no request waits for come last.
func (q *Queue) Expected(now time.Time, in Inputs) []Expectation {
	q.expire(now)
	k := q.Estimator.Limit(now)
	if k == 0 {
		k = min(q.unprovenLimit, max(q.Estimator.Proven(now), len(q.running)+len(q.turns)))
	}
	var out []Expectation
	var ends []time.Duration
	add := func(model string, end time.Duration) {
		ends = append(ends, end)
		if !slices.ContainsFunc(out, func(e Expectation) bool { return e.Model == model }) && len(out) < MaxExpectations {
			out = append(out, Expectation{Model: model, MS: end.Milliseconds()})
		}
	}
	for _, upstream := range slices.Sorted(maps.Keys(q.running)) {
		f := q.running[upstream]
		remaining := max(0, in.Models[f.model].FetchTime-now.Sub(f.startedAt))
		if o := q.Estimator.current(upstream); o != nil {
			remaining = q.Estimator.remaining(now, o, k)
		}
		add(f.model, remaining)
	}
	for _, upstream := range slices.Sorted(maps.Keys(q.turns)) {
		add(q.turns[upstream].model, in.Models[q.turns[upstream].model].FetchTime)
	}
	inProgress := len(ends)
	for i, c := range q.candidates(now, in) {
		slices.Sort(ends)
		start := time.Duration(0)
		if inProgress+i >= max(1, k) {
			start = ends[inProgress+i-max(1, k)] // the end that leaves k-1 fetches in progress
		}
		add(c.model, start+in.Models[c.model].FetchTime)
	}
	return out
}

// Status is the state of a queue for logs and metrics.
type Status struct {
	InProgress, Turns, Waiting int
	// Limit is the learned concurrency of the store, 0 while unknown, and Proven the number of fetches seen at full speed.
	Limit, Proven int
	// First is the first model in the queue, and FirstDemand its weighted number of requests.
	First       string
	FirstDemand float64
}

// Status returns the state of the queue.
func (q *Queue) Status(now time.Time, in Inputs) Status {
	s := Status{InProgress: len(q.running), Turns: len(q.turns), Limit: q.Estimator.Limit(now), Proven: q.Estimator.Proven(now)}
	if candidates := q.candidates(now, in); len(candidates) > 0 {
		s.Waiting, s.First, s.FirstDemand = len(candidates), candidates[0].model, candidates[0].demand
	}
	return s
}

// Offer returns an upstream and the model of which it should want a second copy. It addresses the loss of the only copy
// of a model that is requested often, after which its requests are refused until it has been fetched again. The store
// must be idle, and the upstream decides whether it has room.
func (q *Queue) Offer(now time.Time, in Inputs) (upstream, model string, ok bool) {
	q.expire(now)
	if now.Before(q.notBefore) || len(q.running)+len(q.turns)+len(q.asks) > 0 {
		return "", "", false
	}
	best := 0.0
	for _, name := range slices.Sorted(maps.Keys(in.Rates)) {
		if _, known := in.Models[name]; !known || in.Rates[name] <= max(minSecondCopyRate, best) {
			continue
		}
		if _, recent := q.endedAt[name]; !recent {
			best, model = in.Rates[name], name
		}
	}
	if model == "" {
		return "", "", false
	}
	o := q.offers[model]
	if o == nil {
		o = &offer{}
		q.offers = map[string]*offer{model: o} // only the latest is needed
	}
	if now.Sub(o.at) < offerInterval {
		return "", "", false
	}
	targets := slices.DeleteFunc(slices.Clone(in.Upstreams), func(u catalog.Upstream) bool { return u.Draining || u.Tier(model) != catalog.TierStore })
	if len(targets) == 0 {
		return "", "", false
	}
	slices.SortFunc(targets, func(a, b catalog.Upstream) int {
		return cmp.Compare(placement.Rank(model, b.ID), placement.Rank(model, a.ID))
	})
	target := targets[o.number%len(targets)]
	o.at, o.number = now, o.number+1
	return target.ID, model, true
}
