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

// Offer returns an upstream and a model that it should want to fetch although no request waits for the model there. The
// upstream decides whether it has room and asks for a turn. Offers are made for two loads: a model that many requests wait
// for and that no upstream asks for, because the one that routers have chosen is busy or has no room; and a model that is
// requested often and has one copy, after whose loss its requests would be refused until it has been fetched.
func (q *Queue) Offer(now time.Time, in Inputs) (upstream, model string, ok bool) {
	q.expire(now)
	if now.Before(q.notBefore) || len(q.running)+len(q.turns) >= q.limit(now) {
		return "", "", false
	}
	if model = q.unasked(now, in); model == "" {
		model = q.singleCopy(in)
	}
	if model == "" {
		return "", "", false
	}
	maps.DeleteFunc(q.offers, func(_ string, o *offer) bool { return now.Sub(o.at) > offerRetention })
	o := q.offers[model]
	if o == nil {
		o = &offer{}
	}
	targets := slices.DeleteFunc(slices.Clone(in.Upstreams), func(u catalog.Upstream) bool {
		return u.Draining || u.Tier(model) != catalog.TierStore || q.running[u.ID] != nil || q.turns[u.ID] != nil
	})
	if len(targets) == 0 || now.Sub(o.at) < offerInterval {
		return "", "", false
	}
	slices.SortFunc(targets, func(a, b catalog.Upstream) int {
		return cmp.Compare(placement.Rank(model, b.ID), placement.Rank(model, a.ID))
	})
	target := targets[o.number%len(targets)]
	o.at, o.number, q.offers[model] = now, o.number+1, o
	return target.ID, model, true
}

// unasked returns the model with the most demand that has no copy outside the weight store and that no upstream has asked
// for for a while; "" if there is none.
func (q *Queue) unasked(now time.Time, in Inputs) string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(in.Demand)) {
		if in.Demand[name] < urgentDemand || q.asked(name) || hasCopy(name, in) {
			delete(q.unaskedSince, name)
			continue
		}
		since, known := q.unaskedSince[name]
		if !known {
			q.unaskedSince[name] = now
			continue
		}
		if now.Sub(since) >= unaskedDelay && (best == "" || in.Demand[name] > in.Demand[best]) {
			best = name
		}
	}
	maps.DeleteFunc(q.unaskedSince, func(name string, _ time.Time) bool { return in.Demand[name] == 0 })
	return best
}

// asked reports whether an upstream wants to fetch the model, fetches it or has fetched it lately.
func (q *Queue) asked(model string) bool {
	if _, recent := q.endedAt[model]; recent || q.fetchedElsewhere(model, "") {
		return true
	}
	for _, a := range q.asks {
		if slices.ContainsFunc(a.wants, func(w placement.Want) bool { return w.Model == model }) {
			return true
		}
	}
	return false
}

func hasCopy(model string, in Inputs) bool {
	_, known := in.Models[model]
	return !known || slices.ContainsFunc(in.Upstreams, func(u catalog.Upstream) bool { return !u.Draining && u.Tier(model) != catalog.TierStore })
}

// singleCopy returns the most requested model with a single copy; "" if there is none or the store is not idle.
func (q *Queue) singleCopy(in Inputs) (model string) {
	if len(q.running)+len(q.turns)+len(q.asks) > 0 {
		return ""
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
	return model
}
