package upstreamlimit

import (
	"math"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// asker is what a holder remembers of a router for one upstream.
type asker struct {
	name     string
	process  uint64
	seenAt   boottime.Instant
	latest   uint64 // number of the latest request
	askedAt  boottime.Instant
	want     [Priorities]int
	requests []*asked // the oldest first
	turn     uint64   // of its last token
	answer   bool     // a message is to be sent
}

// asked is a request of a router with the tokens granted for it.
type asked struct {
	seq               uint64
	at                boottime.Instant
	granted, returned int
}

// router returns the router of a request, nil if there are too many.
func (u *upstream) router(now boottime.Instant, r *Request) *asker {
	a := u.routers[r.Router]
	if a == nil && len(u.routers) >= maxRouters {
		return nil
	}
	if a == nil || a.process != r.Process {
		turn := u.turn
		if a != nil {
			turn = a.turn
		}
		a = &asker{name: r.Router, process: r.Process, turn: turn}
		u.routers[r.Router] = a
	}
	a.seenAt = now
	return a
}

func (a *asker) record(seq uint64) *asked {
	for _, q := range a.requests {
		if q.seq == seq {
			return q
		}
	}
	return nil
}

// apply applies a request that has not been seen before.
func (u *upstream) apply(now boottime.Instant, a *asker, r *Request) {
	for _, ret := range r.Returned {
		if q := a.record(ret.Seq); q != nil && now.Sub(q.at) < Validity {
			n := min(max(ret.Count, 0), q.granted-q.returned)
			q.returned += n
			u.returned += uint64(n)
			u.level += float64(n)
			u.unanswered = u.unanswered[:max(0, len(u.unanswered)-n)] // was not sent, so that no answer is to come
		}
	}
	rate := u.inForce(now)
	u.level = min(u.level, u.capacity(rate))
	if spent := min(max(r.Spent, 0), maxWant); spent > 0 && !u.hooks.noSpent {
		u.spent += uint64(spent)
		u.level = max(u.level-float64(spent), min(u.level, -1-rate*debtTime.Seconds()))
	}
	if refused := min(max(r.Refused, 0), maxWant); refused > 0 && rate > 0 {
		u.backlogEnd = min(max(u.backlogEnd, now).Add(backlogTime(rate, refused)), now.Add(backlogTime(rate, math.MaxInt32)))
	}
	a.want = [Priorities]int{}
	for p, n := range r.Want {
		a.want[min(p, Priorities-1)] += min(max(n, 0), maxWant)
	}
	a.latest, a.askedAt = r.Seq, now
	if a.wants() > 0 {
		u.pendingUntil = now.Add(pendingTime)
	}
	a.requests = append(a.requests, &asked{seq: r.Seq, at: now})
	for len(a.requests) > keptRequests || now.Sub(a.requests[0].at) > 2*Validity {
		a.requests = a.requests[1:]
	}
}

func (a *asker) live(now boottime.Instant) bool { return now.Sub(a.askedAt) < pendingTime }

func (a *asker) wants() int {
	n := 0
	for _, w := range a.want {
		n += w
	}
	return n
}

func (a *asker) urgent() int {
	for p, w := range a.want {
		if w > 0 {
			return p
		}
	}
	return Priorities
}

// before reports whether a gets a token before b.
func (a *asker) before(b *asker, fair bool, k hooks) bool {
	if pa, pb := a.urgent(), b.urgent(); pa != pb && !fair {
		return pa < pb
	}
	if k.noTurns {
		return a.name < b.name
	}
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.name < b.name
}

// take gives the router a token.
func (a *asker) take(now boottime.Instant, u *upstream) {
	u.level--
	u.granted++
	if len(u.unanswered) < maxUnanswered {
		u.unanswered = append(u.unanswered, now)
	}
	u.turn++
	a.turn = u.turn
	a.want[a.urgent()]--
	a.requests[len(a.requests)-1].granted++
	u.answer(a)
}

// tokens lists the tokens that may not have arrived yet.
func (a *asker) tokens(now boottime.Instant) []Count {
	var out []Count
	for _, q := range a.requests {
		if q.granted > 0 && now.Sub(q.at) < Validity {
			out = append(out, Count{q.seq, q.granted})
		}
	}
	return out
}
