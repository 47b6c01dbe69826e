package promptqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// tenantShare is the number of prompt tokens admitted for a tenant, which decays with time.
type tenantShare struct {
	tokens float64
	at     time.Time
}

// share returns the tenant's share as of now.
func (q *Queue) share(now time.Time, tenant string) *tenantShare {
	s := q.shares[tenant]
	if s == nil {
		for name, other := range q.shares { // tenants that have sent nothing for a while
			if now.Sub(other.at) > 10*shareHalfLife {
				delete(q.shares, name)
			}
		}
		s = &tenantShare{}
		q.shares[tenant] = s
	}
	s.tokens = max(0, s.tokens*math.Exp2(-now.Sub(s.at).Seconds()/shareHalfLife.Seconds()))
	s.at = now
	return s
}

// order returns the prompts in the order of their admission: by priority; those first that have waited for half of
// their time to spare; then those of the tenant with the fewest tokens, which makes the shares max-min fair; then by the
// time until the first event is due. It addresses a tenant that sends many times its usual rate, and long prompts that
// would be passed by shorter ones until they are late.
func (q *Queue) order(now time.Time, prompts []*waitingPrompt) []*waitingPrompt {
	tokens := map[string]float64{}
	for _, w := range prompts {
		if _, ok := tokens[w.Tenant]; !ok && q.shares[w.Tenant] != nil {
			tokens[w.Tenant] = q.share(now, w.Tenant).tokens
		}
	}
	byDue := func(a, b *waitingPrompt) int { return a.arrived.Add(a.Due).Compare(b.arrived.Add(b.Due)) }
	out := slices.SortedStableFunc(slices.Values(prompts), func(a, b *waitingPrompt) int {
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		switch aFirst, bFirst := a.overdue(now), b.overdue(now); {
		case aFirst != bFirst && aFirst:
			return -1
		case aFirst != bFirst:
			return 1
		case aFirst:
			return byDue(a, b)
		}
		if c := cmp.Compare(tokens[a.Tenant], tokens[b.Tenant]); c != 0 {
			return c
		}
		return byDue(a, b)
	})
	return out
}

// expectedWait returns the expected time until the prompt, which may not be in the queue yet, is admitted.
func (q *Queue) expectedWait(now time.Time, p *waitingPrompt) time.Duration {
	prompts, wait := q.waiting, time.Duration(0)
	if !slices.Contains(prompts, p) {
		prompts = append(slices.Clip(prompts), p)
	}
	q.play(now, prompts, func(w *waitingPrompt, d time.Duration) {
		if w == p {
			wait = d
		}
	})
	return wait
}

// play plays the admissions of the prompts, which are processed at the engine's speed, and calls visit with the expected
// wait of each. Prompts that are not admitted in time delay no others.
func (q *Queue) play(now time.Time, prompts []*waitingPrompt, visit func(*waitingPrompt, time.Duration)) {
	at, busyUntil, burst := now, q.idleSince, q.burst
	for _, a := range q.admitted {
		if end := latest(a.expectedEnd, now); end.After(busyUntil) {
			busyUntil = end
		}
	}
	queued := q.load.queuedTokens(len(q.admitted))
	for _, w := range q.order(now, prompts) {
		nextAt, nextBusy, nextBurst, nextQueued := at, busyUntil, burst, queued
		if burst > 0 && (burst+queued+w.Tokens > q.limits.budget() || at.Equal(now) && !q.fitsMemory(w.Prompt)) {
			nextAt, nextBurst, nextQueued = latest(at, busyUntil.Add(eventTime)), 0, 0
			nextBusy = nextAt.Add(transit)
		}
		visit(w, max(0, nextAt.Sub(now)))
		if nextAt.After(w.expires()) {
			continue
		}
		at, burst, queued = nextAt, nextBurst+w.Tokens, nextQueued
		busyUntil = latest(nextBusy, at).Add(q.limits.prefill(w.Tokens))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
