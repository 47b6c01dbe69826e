package fetchturn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	// wantValidity is how long a request's wants count without a repetition.
	wantValidity = 1600 * time.Millisecond
	// turnReserve is added to the validity of a turn at the coordinator, for the message and the order.
	turnReserve = 500 * time.Millisecond
	// maxTurnHold is how long an upstream may hold a turn without starting the fetch, for example while it unloads a model
	// with running requests. unusedPause is the time without turns for it after that.
	maxTurnHold = 6 * time.Second
	unusedPause = 3 * time.Second
	// announcementTimeout is how long a fetch counts as in progress without an announcement: a sidecar is restarted in
	// less.
	announcementTimeout = 3500 * time.Millisecond
	// startDelay is the time after which a new coordinator has received an announcement of each fetch in progress.
	startDelay = 700 * time.Millisecond
	// maxRoundGap is the time between two rounds of a coordinator after which it has been suspended. A round beside an
	// engine that does not answer takes 0.8 s.
	maxRoundGap = 1500 * time.Millisecond
	// maxPreloads bounds the fetches in progress of models that no request waits for.
	maxPreloads = 2
	// urgentDemand is the weighted number of requests above which a model may be fetched although the store may not have
	// room. A model that is requested less loses little by a wait, while its fetch could delay one that is requested often.
	urgentDemand = 2
	// probePart is the part of a fetch after which another one may start to find out whether the store has room. The
	// overlap is long enough to show in the duration of the first, and costs it at most that much time.
	probePart = 0.65
	// minSecondCopyRate is the rate in requests per second from which a model with one copy gets a second one.
	minSecondCopyRate = 1
	// offerValidity is how long an offer counts, and offerInterval the time between two offers of a model. Each goes to
	// the next upstream by rank, since the earlier ones may have no room.
	offerValidity = 2 * time.Second
	offerInterval = 1500 * time.Millisecond
	// offerRetention is how long the last offer of a model is remembered. Offers of several models alternate as their demand
	// changes.
	offerRetention = time.Minute
	// heardRetention is how long the number of an upstream's last message is remembered.
	heardRetention = time.Minute
	// unaskedDelay is the time after which a model that requests wait for and no upstream asks for is offered: the list of
	// upstreams, which names the copies, may be as old.
	unaskedDelay = 3 * time.Second
	// copyKnownAfter is the time after a fetch within which the routers know the new copy.
	copyKnownAfter = 5 * time.Second
)

// Queue is the state of a coordinator: the wanted fetches, the turns given and the fetches in progress. It addresses
// rare models that are all fetched at once and keep the store from a model that many requests need.
type Queue struct {
	// Estimator estimates the store's concurrency from the announced fetches.
	Estimator Estimator
	// unprovenLimit bounds the fetches at a time while no fetch has shown the store's concurrency.
	unprovenLimit int
	notBefore     time.Time
	calledAt      time.Time
	asks          map[string]*ask    // by upstream
	turns         map[string]*turn   // by upstream
	running       map[string]*active // by upstream
	pausedUntil   map[string]time.Time
	endedAt       map[string]time.Time // last end of a fetch by model
	offers        map[string]*offer    // by model
	heard         map[string]heard     // last message by upstream
	unaskedSince  map[string]time.Time // by model
}

type heard struct {
	seq uint64
	at  time.Time
}

type ask struct {
	seq   uint64
	at    time.Time
	wants []placement.Want
}

type turn struct {
	model            string
	demand           float64 // when the turn was given
	givenAt, renewed time.Time
}

// active is a fetch in progress.
type active struct {
	model       string
	demand      float64 // when its turn was given
	startedAt   time.Time
	announcedAt time.Time
	confirmed   bool
}

type offer struct {
	at     time.Time
	number int
}

// Inputs is what a coordinator knows besides the requests of the sidecars.
type Inputs struct {
	// Self is the id of the coordinator's upstream, and Models the models of its service.
	Self   string
	Models map[string]catalog.Model
	// Demand is the weighted number of requests that wait for each model or were refused within the last seconds.
	Demand map[string]float64
	// Rates is the rate in requests per second over all routers of each model whose only copy is loaded at one upstream.
	Rates     map[string]float64
	Upstreams []catalog.Upstream
}

// NewQueue returns the queue of a coordinator that starts now.
func NewQueue(now time.Time, unprovenLimit int) *Queue {
	return &Queue{
		unprovenLimit: max(1, unprovenLimit), notBefore: now.Add(startDelay), asks: map[string]*ask{}, turns: map[string]*turn{}, running: map[string]*active{},
		pausedUntil: map[string]time.Time{}, endedAt: map[string]time.Time{}, offers: map[string]*offer{}, heard: map[string]heard{}, unaskedSince: map[string]time.Time{},
	}
}

// Delay keeps the queue from giving turns until a sidecar that has become the coordinator has received announcements.
func (q *Queue) Delay(now time.Time) { q.notBefore = now.Add(startDelay) }

// Round detects a suspend of the coordinator. The caller calls it in each round and before it applies a message. After a
// suspend the queue keeps the fetches in progress and gives no turns until it has received announcements. Without this, a
// coordinator that went on after 7 s started a third fetch.
func (q *Queue) Round(now time.Time) {
	if !q.calledAt.IsZero() && now.Sub(q.calledAt) > maxRoundGap {
		q.Delay(now)
		for _, f := range q.running {
			f.announcedAt = now
		}
	}
	q.calledAt = now
}

// Receive records a sidecar's request and reports whether it is newer than the ones before it.
func (q *Queue) Receive(now time.Time, in Inputs, r *Request) bool {
	if r.Seq <= q.heard[r.Upstream].seq {
		return false
	}
	q.heard[r.Upstream] = heard{r.Seq, now}
	q.recordFetch(now, in, r)
	if len(r.Wants) == 0 {
		delete(q.asks, r.Upstream)
		if t := q.turns[r.Upstream]; t != nil && r.Fetch == nil && now.Sub(t.givenAt) > turnReserve {
			delete(q.turns, r.Upstream)
		}
		return true
	}
	q.asks[r.Upstream] = &ask{seq: r.Seq, at: now, wants: r.Wants}
	t := q.turns[r.Upstream]
	switch {
	case t == nil:
	case now.Sub(t.givenAt) > maxTurnHold:
		delete(q.turns, r.Upstream)
		q.pausedUntil[r.Upstream] = now.Add(unusedPause)
	case slices.ContainsFunc(r.Wants, func(w placement.Want) bool { return w.Model == t.model }):
		t.renewed = now
	default:
		delete(q.turns, r.Upstream)
	}
	return true
}

// recordFetch records the state of the sidecar's fetch.
func (q *Queue) recordFetch(now time.Time, in Inputs, r *Request) {
	f := q.running[r.Upstream]
	if r.Fetch == nil {
		switch {
		case f == nil:
		case r.Busy: // the sidecar was restarted during the fetch
			f.announcedAt = now
		default:
			done := r.Ended != nil && r.Ended.Model == f.model && r.Ended.Loaded
			end := now
			if done && r.Ended.DurationMS > 0 {
				end = f.startedAt.Add(time.Duration(r.Ended.DurationMS) * time.Millisecond)
			}
			q.end(now, end, r.Upstream, done)
		}
		return
	}
	age := time.Duration(r.Fetch.AgeMS) * time.Millisecond
	if f != nil && f.model != r.Fetch.Model {
		q.end(now, now, r.Upstream, false)
		f = nil
	}
	if f == nil {
		f = &active{model: r.Fetch.Model, startedAt: now.Add(-age), demand: in.Demand[r.Fetch.Model]}
		if t := q.turns[r.Upstream]; t != nil && t.model == f.model {
			f.demand = t.demand
		}
		delete(q.turns, r.Upstream)
		q.running[r.Upstream] = f
	}
	f.announcedAt = now
	if !r.Fetch.Unconfirmed && !f.confirmed {
		f.confirmed, f.startedAt = true, now.Add(-age)
		q.Estimator.Begin(now, r.Upstream, f.model, in.Models[f.model].FetchTime, age)
	}
}

func (q *Queue) end(now, end time.Time, upstream string, done bool) {
	q.endedAt[q.running[upstream].model] = now
	q.Estimator.End(end, upstream, done)
	delete(q.running, upstream)
}

// expire forgets what has not been repeated.
func (q *Queue) expire(now time.Time) {
	maps.DeleteFunc(q.asks, func(_ string, a *ask) bool { return now.Sub(a.at) > wantValidity })
	maps.DeleteFunc(q.turns, func(_ string, t *turn) bool { return now.Sub(t.renewed) > TurnValidity+turnReserve })
	maps.DeleteFunc(q.pausedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(q.heard, func(_ string, h heard) bool { return now.Sub(h.at) > heardRetention })
	maps.DeleteFunc(q.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) > copyKnownAfter })
	for upstream, f := range q.running {
		if now.Sub(f.announcedAt) > announcementTimeout {
			q.end(now, now, upstream, false)
		}
	}
}

// candidate is a fetch that is wanted and not in progress.
type candidate struct {
	model, upstream string
	preload         bool
	rank            uint64  // of the upstream for the model
	demand, score   float64 // score is the demand for each second of fetch time
}

// candidates returns the wanted fetches in the order of their turns: by demand for each second of fetch time, and models
// that no request waits for last. Of the upstreams that want a model, those at which requests wait for it come first, then
// the highest-ranked one.
func (q *Queue) candidates(now time.Time, in Inputs) []candidate {
	best := map[string]candidate{}
	for _, upstream := range slices.Sorted(maps.Keys(q.asks)) {
		if q.turns[upstream] != nil || now.Before(q.pausedUntil[upstream]) {
			continue
		}
		for _, w := range q.asks[upstream].wants {
			spec, known := in.Models[w.Model]
			if !known || q.fetchedElsewhere(w.Model, upstream) {
				continue
			}
			if f := q.running[upstream]; f != nil && f.model != w.Model {
				continue
			}
			c := candidate{model: w.Model, upstream: upstream, preload: w.Preload, rank: placement.Rank(w.Model, upstream), demand: in.Demand[w.Model]}
			c.score = c.demand / max(0.1, spec.FetchTime.Seconds())
			if other, known := best[w.Model]; !known || c.better(other) {
				best[w.Model] = c
			}
		}
	}
	return slices.SortedFunc(maps.Values(best), func(a, b candidate) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(placement.Rank(a.model, ""), placement.Rank(b.model, ""))
	})
}

// better reports whether c's upstream suits the fetch better than that of another candidate for the model.
func (c candidate) better(other candidate) bool {
	if c.preload != other.preload {
		return !c.preload
	}
	return c.rank > other.rank
}

// fetchedElsewhere reports whether another upstream fetches the model or has a turn for it.
func (q *Queue) fetchedElsewhere(model, upstream string) bool {
	for id, f := range q.running {
		if id != upstream && f.model == model {
			return true
		}
	}
	for id, t := range q.turns {
		if id != upstream && t.model == model {
			return true
		}
	}
	return false
}

// Grant gives the turns that are possible now and returns the answers to send: one to each upstream with a new turn, and
// one to the given upstream, whose request is to be answered; "" if there is none.
func (q *Queue) Grant(now time.Time, in Inputs, requester string) []Answer {
	q.expire(now)
	reason := ReasonNone
	var out []Answer
	for _, c := range q.candidates(now, in) {
		if q.turns[c.upstream] != nil || reason != ReasonNone && q.running[c.upstream] == nil {
			continue // none starts before the models ahead of it
		}
		if refusal := q.refusal(now, in, c); refusal != ReasonNone {
			reason = refusal
			continue
		}
		q.turns[c.upstream] = &turn{model: c.model, demand: c.demand, givenAt: now, renewed: q.asks[c.upstream].at}
		if c.upstream != requester {
			out = append(out, Answer{Coordinator: in.Self, Upstream: c.upstream, Seq: q.asks[c.upstream].seq, Turn: c.model})
		}
	}
	if a := q.asks[requester]; a != nil {
		answer := Answer{Coordinator: in.Self, Upstream: requester, Seq: a.seq}
		if t := q.turns[requester]; t != nil {
			answer.Turn = t.model
		} else {
			answer.Reason = q.reasonFor(now, requester, a, reason)
		}
		out = append(out, answer)
	}
	return out
}

// reasonFor returns the reason why the upstream has no turn; first is the reason why the first candidate has none.
func (q *Queue) reasonFor(now time.Time, upstream string, a *ask, first Reason) Reason {
	switch {
	case now.Before(q.pausedUntil[upstream]):
		return ReasonUnused
	case !slices.ContainsFunc(a.wants, func(w placement.Want) bool { return !q.fetchedElsewhere(w.Model, upstream) }):
		return ReasonFetching
	case first == ReasonNone:
		return ReasonBehind
	}
	return first
}

// refusal returns why the candidate's fetch may not start now; ReasonNone if it may.
func (q *Queue) refusal(now time.Time, in Inputs, c candidate) Reason {
	if now.Before(q.notBefore) {
		return ReasonStarting
	}
	if f := q.running[c.upstream]; f != nil {
		return ReasonNone // the same fetch again: the engine carries out at most one of the two orders
	}
	n, preloads, largest := 0, 0, 0.0
	count := func(demand float64) {
		n++
		if demand == 0 {
			preloads++
		}
		largest = max(largest, demand)
	}
	for _, f := range q.running {
		count(f.demand)
	}
	for _, t := range q.turns {
		count(t.demand)
	}
	switch proven := q.Estimator.Proven(now); {
	case n >= q.limit(now):
		return ReasonStoreBusy
	case c.demand == 0 && preloads >= maxPreloads:
		return ReasonPreloads
	case n < proven:
	case c.demand >= urgentDemand && (n < 2 || c.demand >= largest):
	case n == proven && (c.demand > 0 || n < 2) && q.nearEnd(now, in):
	default:
		return ReasonUnproven
	}
	return ReasonNone
}

// limit returns how many fetches may be in progress at a time.
func (q *Queue) limit(now time.Time) int {
	if limit := q.Estimator.Limit(now); limit > 0 {
		return limit
	}
	return q.unprovenLimit
}

// nearEnd reports whether a fetch is in the last part of its full-speed time.
func (q *Queue) nearEnd(now time.Time, in Inputs) bool {
	for _, f := range q.running {
		if f.confirmed && now.Sub(f.startedAt).Seconds() >= probePart*in.Models[f.model].FetchTime.Seconds() {
			return true
		}
	}
	return false
}
