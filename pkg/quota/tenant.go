package quota

import (
	"math"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// tenant is the quota of one tenant at the holder.
type tenant struct {
	limit   Limit
	version uint64 // of the configuration from which limit is
	granted window
	// total is the amount granted by this holder, and confirmedTotal that of the last confirmed write of the lease. Their
	// difference stays within cap.
	total, confirmedTotal, cap float64
	// wantedCap is the largest amount that a request needs at once.
	wantedCap float64
	pending   map[pendingKey]*pending
	// level is the level of a token bucket with the rate of the limit. Requests are admitted while it is positive.
	level float64
	// demand is the amount needed per second by priority, granted or not, averaged over demandTime.
	demand     [priorities]float64
	backlog    float64 // refused amounts that were told to come back later
	advancedAt boottime.Instant

	returned                float64
	grants, waits, refusals uint64
}

// pendingKey identifies a need.
type pendingKey struct {
	router  string
	process uint64
	id      uint64
}

// pending is a need that waits for tokens.
type pending struct {
	amount          float64
	priority        int
	firstAt, seenAt boottime.Instant
}

// setLimit replaces the limit. What may be granted before the next confirmed write of the lease stays as it is.
func (t *tenant) setLimit(l Limit) { t.limit = l }

// nextCap returns what may be granted after the next write. It never shrinks: a write without an answer may have been
// stored, and what was granted since the last confirmed one must stay within the amount stored with either.
func (t *tenant) nextCap() float64 {
	return max(t.cap, capShare*t.limit.Max(), t.wantedCap)
}

// advance drops what has left the window, and the pending needs that their routers no longer name.
func (t *tenant) advance(now boottime.Instant) {
	t.granted.advance(now)
	elapsed := now.Sub(t.advancedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	t.advancedAt = now
	decay := math.Exp(-elapsed / demandTime.Seconds())
	for i := range t.demand {
		t.demand[i] *= decay
	}
	t.backlog = max(0, t.backlog-elapsed*t.limit.Rate)
	// The bucket does not fill up while the window is used up: the tenant would be served in bursts, one for each window.
	left := max(t.limit.Max()-t.granted.sum, t.limit.Rate*reserveTime.Seconds())
	t.level = min(max(t.level, t.bucketSize()), t.level+elapsed*t.limit.Rate, left)
	for key, p := range t.pending {
		if now.Sub(p.seenAt) > pendingTimeout {
			delete(t.pending, key)
		}
	}
}

// available returns what may be granted now.
func (t *tenant) available() float64 {
	return min(t.limit.Max()-t.granted.sum, t.cap-(t.total-t.confirmedTotal))
}

func (t *tenant) remove(key pendingKey) { delete(t.pending, key) }

func (t *tenant) grant(now boottime.Instant, amount float64) {
	t.granted.add(now, amount)
	t.total += amount
	t.level -= amount
}

// bucketSize returns how much may be admitted at once: what the window leaves beside a steady use of the rate, or several
// of the largest requests, so that a tenant below its limit is not held up by the sizes of its requests.
func (t *tenant) bucketSize() float64 {
	steady := t.limit.Rate * t.granted.length.Seconds()
	return max(t.limit.Max()-steady, min(maxBucketShare*t.limit.Max(), largestAtOnce*t.wantedCap))
}

// decide answers a need. It addresses a tenant that sends many times its limit. Requests are admitted in the order in
// which they come, whatever their size, so that many short requests do not use up the quota before a long one finds enough
// of it; a more urgent one may use what is still to come. A quota that is used up evenly serves the callers who came
// first: without the bucket, a burst uses up the window, and those who come seconds later are refused. Those admitted
// are served in order.
func (t *tenant) decide(now boottime.Instant, key pendingKey, n Need) Answer {
	p := t.pending[key]
	if p == nil {
		priority := min(max(n.Priority, 0), priorities-1)
		t.demand[priority] += n.Amount / demandTime.Seconds()
		if n.Amount <= t.limit.Max() {
			t.wantedCap = max(t.wantedCap, n.Amount)
		}
		if n.Amount > t.limit.Max() || t.timeUntilLevel(t.waitingAmount(), priority) > min(maxLevelWait, time.Duration(n.MaxWaitMS)*time.Millisecond) {
			return t.refuse(now, key, n)
		}
		p = &pending{amount: n.Amount, priority: priority, firstAt: now}
		t.pending[key] = p
	}
	p.seenAt = now
	ahead := t.ahead(key, p)
	needed, untilLevel := ahead+n.Amount, t.timeUntilLevel(ahead, p.priority)
	if needed <= t.available() && untilLevel == 0 {
		delete(t.pending, key)
		t.grant(now, n.Amount)
		t.grants++
		return Answer{ID: n.ID, Granted: true}
	}
	wait := max(t.timeUntil(now, needed), untilLevel)
	if wait > time.Duration(n.MaxWaitMS)*time.Millisecond {
		return t.refuse(now, key, n)
	}
	t.waits++
	return Answer{ID: n.ID, WaitMS: max(1, wait.Milliseconds())}
}

// floor returns the level above which requests of the priority are admitted: below 0 if less urgent ones come, too.
func (t *tenant) floor(priority int) float64 {
	for _, d := range t.demand[priority+1:] {
		if d > minDemand {
			return -t.limit.Rate * reserveTime.Seconds()
		}
	}
	return 0
}

// timeUntilLevel returns the time until the level admits a request of the priority after others with the amount ahead.
func (t *tenant) timeUntilLevel(ahead float64, priority int) time.Duration {
	missing := t.floor(priority) - (t.level - ahead)
	switch {
	case missing < 0:
		return 0
	case t.limit.Rate <= 0:
		return maxBacklogTime
	}
	return time.Duration(min(maxBacklogTime.Seconds(), missing/t.limit.Rate)*float64(time.Second)) + time.Millisecond
}

func (t *tenant) waitingAmount() float64 {
	sum := 0.0
	for _, p := range t.pending {
		sum += p.amount
	}
	return sum
}

// ahead returns the amounts that are granted before a need: those of more urgent ones, and of earlier ones of the same
// priority.
func (t *tenant) ahead(key pendingKey, p *pending) float64 {
	sum := 0.0
	for k, other := range t.pending {
		if k == key || other.priority > p.priority {
			continue
		}
		if other.priority < p.priority || other.firstAt < p.firstAt || other.firstAt == p.firstAt && k.less(key) {
			sum += other.amount
		}
	}
	return sum
}

func (k pendingKey) less(o pendingKey) bool {
	if k.router != o.router {
		return k.router < o.router
	}
	return k.id < o.id
}

// timeUntil returns the time until an amount is available.
func (t *tenant) timeUntil(now boottime.Instant, amount float64) time.Duration {
	wait := time.Duration(0)
	if amount > t.cap-(t.total-t.confirmedTotal) {
		wait = nextWrite
	}
	return max(wait, t.granted.timeUntil(now, t.limit.Max()-amount))
}

// refuse refuses a need. Refused callers are told to come back one after the other, at the rate of the tenant, so that
// they do not all come back at once.
func (t *tenant) refuse(now boottime.Instant, key pendingKey, n Need) Answer {
	delete(t.pending, key)
	t.refusals++
	longest := maxBacklogTime.Seconds()
	queued := time.Duration(longest * float64(time.Second))
	if t.limit.Rate > 0 {
		queued = time.Duration(min(longest, t.backlog/t.limit.Rate) * float64(time.Second))
	}
	t.backlog = min(t.backlog+n.Amount, longest*t.limit.Rate)
	wait := max(queued, t.timeUntil(now, min(t.waitingAmount()+n.Amount, t.limit.Max())))
	wait += time.Duration(key.spread() * float64(wait) / 2)
	return Answer{ID: n.ID, RetryMS: max(1, wait.Milliseconds())}
}

// spread returns a number from 0 to 1 that is independent of share.
func (k pendingKey) spread() float64 {
	_, fraction := math.Modf(k.share() * 7919)
	return fraction
}

// grantAhead grants an amount for small requests, unless requests wait or less than a quarter of the quota is left.
func (t *tenant) grantAhead(now boottime.Instant, amount float64) float64 {
	if amount <= 0 || len(t.pending) > 0 || amount > t.available() || t.granted.sum+amount > t.limit.Max()*3/4 {
		return 0
	}
	t.grant(now, amount)
	return amount
}
