package upstreamlimit

import (
	"math"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// burstTime is the time of the rate that an unused bucket holds, beside one token. Any window then gets the rate for
	// Window + Validity + burstTime, which leaves the rest of what is allowed for what is in flight, late or unknown.
	burstTime = 250 * time.Millisecond
	// debtTime bounds the debt from requests that were sent without tokens. Those who sent them have not passed on a naming
	// for half a second yet, so that they would not count.
	debtTime = time.Second
	// rampTime is the time over which a limit ends. The rate doubles every rampStep, from one a second at least.
	rampTime, rampStep = 8 * time.Second, time.Second
	// takeOverShare is the part of the limit that a new holder of an upstream without a sidecar uses for one window. The
	// holder before it may still have all, until it and the routers that ask it know the new list.
	takeOverShare = 0.25
	// fairShare: one token of so many goes to the router that has had none for the longest time, whatever its priority.
	fairShare = 8
	// keptRequests is the number of requests of a router that are remembered; it sends a new one every 30 ms at most.
	keptRequests = 20
	// maxUnanswered bounds the times that are kept; a limit that allows more without an answer is never slowed down.
	maxUnanswered = 4096
	// countInterval is the time for which a count of the waiting requests is used.
	countInterval = 10 * time.Millisecond
)

// upstream is a holder's state of one upstream.
type upstream struct {
	instance  Instance
	fixed     bool // the sidecar knows the instance
	hooks     hooks
	createdAt boottime.Instant
	usedAt    boottime.Instant
	slowUntil boottime.Instant
	// restartedAt is when the current process became known in place of another.
	restartedAt boottime.Instant

	limited bool
	n       float64 // as named
	known   bool    // from a fact
	// namedAt is the latest time at which the upstream may have named n. What it said before afterAt is outdated.
	namedAt, afterAt boottime.Instant
	liftedAt         boottime.Instant // since when the limit ends; 0 if it does not

	level      float64
	advancedAt boottime.Instant
	// answeredAt is when a router received the latest answer that the holder knows of, at the earliest, and unanswered are
	// the times of the tokens granted since.
	answeredAt boottime.Instant
	unanswered []boottime.Instant
	routers    map[string]*asker
	answers    []*asker // those that a message is to be sent to
	turn       uint64
	counted    int
	countedAt  boottime.Instant
	// pendingUntil is the end of the latest request that waits.
	pendingUntil boottime.Instant
	backlogEnd   boottime.Instant // time at which the callers that were told to come back will have been served

	granted, returned, spent uint64
}

func (h *Holder) newUpstream(now boottime.Instant, i Instance) *upstream {
	u := &upstream{instance: i, hooks: h.hooks, createdAt: now, usedAt: now, advancedAt: now, routers: map[string]*asker{}}
	if h.hooks.fullStart {
		u.level = math.Inf(1)
	}
	return u
}

// restart begins anew with another process of the upstream. Tokens that are out stay valid; none is given before the new
// process names a limit.
func (u *upstream) restart(now boottime.Instant, i Instance) {
	u.restartedAt = now
	u.instance, u.limited, u.known, u.n, u.namedAt, u.afterAt, u.liftedAt, u.level, u.unanswered = i, false, false, 0, 0, 0, 0, 0, nil
}

// name records that the upstream named n, at the time latest at the latest and after earliest.
func (u *upstream) name(n float64, latest, earliest boottime.Instant) {
	switch {
	case latest <= u.afterAt && u.known:
		return // said before what has ended the limit or raised it
	case !u.limited || u.liftedAt != 0:
		if !u.limited {
			u.level = min(u.level, 0)
			if u.hooks.fullStart {
				u.level = math.Inf(1)
			}
		}
		u.n, u.limited, u.liftedAt = n, true, 0
	case n <= u.n:
		u.n = n
	case !u.known || earliest > u.namedAt:
		u.n, u.afterAt = n, earliest
	default:
		return // may be older than the lower one
	}
	u.known = true
	u.namedAt = max(u.namedAt, latest)
	u.level = min(u.level, u.capacity(effective(u.n)))
}

// lift records that the upstream answered without a limit to a request sent after earliest.
func (u *upstream) lift(now, earliest boottime.Instant) {
	if !u.limited || u.liftedAt != 0 || earliest <= u.namedAt || earliest == 0 {
		return
	}
	u.known, u.liftedAt, u.afterAt = true, now, earliest
}

// inForce returns the rate in force at now, 0 if there is no limit.
func (u *upstream) inForce(now boottime.Instant) float64 {
	switch {
	case !u.limited:
		return 0
	case u.liftedAt != 0:
		return ramp(u.n, now.Sub(u.liftedAt), u.hooks)
	case now < u.slowUntil:
		return effective(u.n) * takeOverShare
	}
	return effective(u.n)
}

// heard records that a router received an answer at the instant or later.
func (u *upstream) heard(at boottime.Instant) {
	if at <= u.answeredAt {
		return
	}
	u.answeredAt = at
	for len(u.unanswered) > 0 && u.unanswered[0] <= at {
		u.unanswered = u.unanswered[1:]
	}
}

// rate returns the rate at which tokens come.
func (u *upstream) rate(now boottime.Instant) float64 {
	rate := u.inForce(now)
	if float64(len(u.unanswered)) < unansweredTokens+rate*unansweredTime.Seconds() || u.hooks.noStall {
		return rate
	}
	return slow(rate)
}

// ramp returns the rate some time after the end of the limit n, and 0 once it no longer counts.
func ramp(n float64, since time.Duration, k hooks) float64 {
	if since >= rampTime || k.noRamp {
		return 0
	}
	return min(max(1, n)*math.Exp2(since.Seconds()/rampStep.Seconds()), MaxRate)
}

func (u *upstream) capacity(rate float64) float64 {
	if u.hooks.fullStart {
		return 1 + rate*Window.Seconds()
	}
	return 1 + rate*burstTime.Seconds()
}

func (u *upstream) advance(now boottime.Instant) {
	if u.liftedAt != 0 && u.inForce(now) == 0 {
		u.limited, u.liftedAt = false, 0
	}
	elapsed := now.Sub(u.advancedAt)
	if elapsed <= 0 {
		return
	}
	rate := u.rate(u.advancedAt)
	u.advancedAt = now
	u.level = min(u.level+rate*elapsed.Seconds(), u.capacity(u.inForce(now)))
}

// until returns the time until the bucket holds so many tokens.
func (u *upstream) until(now boottime.Instant, tokens float64) time.Duration {
	rate := u.rate(now)
	if tokens <= u.level || rate == 0 {
		return 0
	}
	return time.Duration(min((tokens-u.level)/rate, 3600) * float64(time.Second))
}

// wait returns the time until a further request of the router would get a token.
func (u *upstream) wait(now boottime.Instant, a *asker) time.Duration {
	return max(u.queueWait(now), u.backlogEnd.Sub(now))
}

// queueWait returns that time without the callers that were told to come back.
func (u *upstream) queueWait(now boottime.Instant) time.Duration {
	return u.until(now, float64(u.waiting(now)+1))
}

// waiting returns the number of requests that wait, as of some milliseconds ago.
func (u *upstream) waiting(now boottime.Instant) int {
	if now.Sub(u.countedAt) < countInterval && u.countedAt != 0 {
		return u.counted
	}
	u.counted, u.countedAt = 0, now
	for _, a := range u.routers {
		if a.live(now) {
			u.counted += a.wants()
		}
	}
	return u.counted
}

// answer has a message sent to the router.
func (u *upstream) answer(a *asker) {
	if !a.answer {
		a.answer = true
		u.answers = append(u.answers, a)
	}
}

// next returns the router that gets the next token: the one with the most urgent request, among several the one that has
// had none for the longest time.
func (u *upstream) next(now boottime.Instant) *asker {
	if !u.limited {
		return nil
	}
	var best *asker
	fair := u.turn%fairShare == fairShare-1 || u.hooks.noPriority
	for _, a := range u.routers {
		if !a.live(now) || a.wants() == 0 {
			continue
		}
		if best == nil || a.before(best, fair, u.hooks) {
			best = a
		}
	}
	return best
}
