package fetchturn

import (
	"math"
	"slices"
	"time"
)

const (
	// maxConcurrency bounds the estimate.
	maxConcurrency = 16
	// estimateLifetime is how long an observation of the store's concurrency counts. The store's capacity changes when
	// other users of the store come and go.
	estimateLifetime = 3 * time.Minute
	// slowInProgress and slowEnded are the ratios of a fetch's duration to its full-speed time above which the fetch must
	// have shared the store's bandwidth, while it is in progress and after its end. durationReserve is added for the
	// messages and polls between the load and its observation.
	slowInProgress  = 1.25
	slowEnded       = 1.1
	durationReserve = 300 * time.Millisecond
	// fullSpeedShare is the share of the full-speed time that a concurrency has to explain to be consistent with a fetch
	// that ended at full speed.
	fullSpeedShare = 0.9
	// aloneShare is the share of a fetch's duration above which the fetch counts as the only one in progress.
	aloneShare = 0.95
	// maxUnobserved is the part of a fetch that may have passed before it was known. Other fetches of that time may be
	// unknown too, so fetches that were known later prove nothing.
	maxUnobserved = time.Second
)

// Estimator estimates how many fetches the weight store serves at full speed, which no message reports. Beyond that
// number each fetch takes proportionally longer: with n fetches in progress a store that serves k at full speed loads
// min(1, k/n) of a fetch's full-speed time per unit of time. The estimate is the k that explains the durations.
type Estimator struct {
	// fetches are those in progress and the ended ones that overlap with them.
	fetches []*observed
	// proven is the largest number of fetches observed at full speed, and limit the number that slow fetches show.
	proven, limit observation
}

// observed is one fetch as far as it is known.
type observed struct {
	upstream, model      string
	start, end, observed time.Time // end is zero while in progress
	fullSpeed            time.Duration
}

// observation is a number of fetches and when it was last observed.
type observation struct {
	n  int
	at time.Time
}

// get returns the number; 0 if it is too old.
func (o observation) get(now time.Time) int {
	if now.Sub(o.at) > estimateLifetime {
		return 0
	}
	return o.n
}

// InProgress returns the models of the fetches in progress by upstream.
func (e *Estimator) InProgress() map[string]string {
	out := map[string]string{}
	for _, f := range e.fetches {
		if f.end.IsZero() {
			out[f.upstream] = f.model
		}
	}
	return out
}

// Model returns the model that the upstream is fetching; "" if there is none.
func (e *Estimator) Model(upstream string) string {
	if f := e.current(upstream); f != nil {
		return f.model
	}
	return ""
}

func (e *Estimator) current(upstream string) *observed {
	for _, f := range e.fetches {
		if f.upstream == upstream && f.end.IsZero() {
			return f
		}
	}
	return nil
}

// Begin records that the upstream has been fetching the model for the given time.
func (e *Estimator) Begin(now time.Time, upstream, model string, fullSpeed, age time.Duration) {
	if f := e.current(upstream); f != nil {
		if f.model == model {
			return
		}
		e.End(now, upstream, false)
	}
	e.fetches = append(e.fetches, &observed{upstream: upstream, model: model, start: now.Add(-age), observed: now, fullSpeed: fullSpeed})
}

// End records that the upstream's fetch has ended; done reports whether the model was loaded.
func (e *Estimator) End(now time.Time, upstream string, done bool) {
	f := e.current(upstream)
	if f == nil {
		return
	}
	f.end = now
	if done && f.reliable() {
		e.learn(now, f)
	}
	e.fetches = slices.DeleteFunc(e.fetches, func(old *observed) bool {
		return !old.end.IsZero() && !slices.ContainsFunc(e.fetches, func(f *observed) bool { return f.end.IsZero() && f.start.Before(old.end) })
	})
}

// reliable reports whether the duration of the fetch can prove something.
func (f *observed) reliable() bool {
	return f.fullSpeed > 0 && f.observed.Sub(f.start) <= maxUnobserved && (f.end.IsZero() || f.end.After(f.start))
}

// learn updates the estimate from a fetch that has ended.
func (e *Estimator) learn(now time.Time, f *observed) {
	elapsed, full := f.end.Sub(f.start).Seconds(), f.fullSpeed.Seconds()
	loaded := e.loaded(f, f.end)
	if elapsed <= slowEnded*full+durationReserve.Seconds() {
		needed := fullSpeedShare * min(full, elapsed)
		k := 1 + slices.IndexFunc(loaded[:], func(seconds float64) bool { return seconds >= needed })
		if k >= e.proven.get(now) {
			e.proven = observation{k, now}
		}
		if limit := e.limit.get(now); limit > 0 && limit < k {
			e.limit = observation{k, now}
		}
		return
	}
	best := 0
	for i, seconds := range loaded {
		if math.Abs(seconds-full) < math.Abs(loaded[best]-full) {
			best = i
		}
	}
	if loaded[best] >= aloneShare*elapsed || e.contradicted(f, best+1) {
		return // the fetch was slow for another reason than the store's concurrency
	}
	e.proven, e.limit = observation{best + 1, now}, observation{best + 1, now}
}

// contradicted reports whether more than k fetches were observed at full speed during the fetch. The fetch is then slow
// because of its engine: a quarter of the engines of one deployment work at half speed, and VMs can be suspended.
func (e *Estimator) contradicted(f *observed, k int) bool {
	return e.proven.n > k && e.proven.at.After(f.start)
}

// loaded returns how many seconds of its full-speed time the fetch has loaded until the given time, for stores that
// serve 1, 2 and so on up to maxConcurrency fetches at full speed.
func (e *Estimator) loaded(f *observed, until time.Time) (out [maxConcurrency]float64) {
	points := []time.Time{f.start, until}
	for _, o := range e.fetches {
		for _, at := range []time.Time{o.start, o.end} {
			if at.After(f.start) && at.Before(until) {
				points = append(points, at)
			}
		}
	}
	slices.SortFunc(points, time.Time.Compare)
	for i := range len(points) - 1 {
		from, to := points[i], points[i+1]
		n := 0
		for _, o := range e.fetches {
			if !o.start.After(from) && (o.end.IsZero() || !o.end.Before(to)) {
				n++
			}
		}
		for k := range out {
			out[k] += to.Sub(from).Seconds() * min(1, float64(k+1)/float64(max(1, n)))
		}
	}
	return out
}

// Limit returns the number of fetches that the store serves at full speed; 0 while no fetch has been slow. Fetches in
// progress count as soon as they are slow.
func (e *Estimator) Limit(now time.Time) int {
	limit := e.limit.get(now)
	for _, f := range e.fetches {
		elapsed, longest := now.Sub(f.start).Seconds(), slowInProgress*f.fullSpeed.Seconds()
		if !f.end.IsZero() || !f.reliable() || elapsed <= longest+durationReserve.Seconds() {
			continue
		}
		loaded := e.loaded(f, now)
		if loaded[0] >= aloneShare*elapsed {
			continue
		}
		k := 1
		for k < maxConcurrency && loaded[k] <= longest {
			k++
		}
		if (limit == 0 || k < limit) && !e.contradicted(f, k) {
			limit = k
		}
	}
	return limit
}

// Proven returns the largest number of fetches that have been observed at full speed lately; at least 1.
func (e *Estimator) Proven(now time.Time) int {
	proven := max(1, e.proven.get(now))
	if limit := e.Limit(now); limit > 0 {
		return min(proven, limit)
	}
	return proven
}

// remaining returns the expected time until the upstream's fetch ends if the store serves k fetches at full speed.
func (e *Estimator) remaining(now time.Time, f *observed, k int) time.Duration {
	n, elapsed := len(e.InProgress()), now.Sub(f.start)
	left := f.fullSpeed.Seconds() - e.loaded(f, now)[min(max(k, 1), maxConcurrency)-1]
	left *= max(1, float64(n)/float64(max(k, 1)))
	return max(time.Duration(left*float64(time.Second)), elapsed/overdueDivisor)
}

// overdueDivisor gives the expected remaining time of a fetch that takes longer than expected, as a part of the time
// since its start.
const overdueDivisor = 10
