package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
)

const (
	// defaultPlainTokens is what a request without a number of tokens counts as if the tenant does not say.
	defaultPlainTokens = 200
	// maxQuotaAmount bounds the amount of a request, since the number of tokens comes from the caller.
	maxQuotaAmount = 1e9
	// minQuotaReserve is the least time before a request's deadline at which a wait for a quota holder ends, so that the
	// caller still gets the refusal; the wait takes half to three quarters of the remaining time.
	minQuotaReserve = 150 * time.Millisecond
	// quotaRetryAfter is the mean Retry-After while no quota holder answers: a take-over takes about 2 s.
	quotaRetryAfter = time.Second
	// minHold is the validity that the tokens of a request must have left for another attempt.
	minHold = 20 * time.Millisecond
)

// Quotas keeps the limits of tenants at a router. Package quota decides.
type Quotas struct {
	socket *peer.Socket
	log    *eventlog.Log
	scope  tally.Scope
	wake   chan struct{}

	mu       sync.Mutex // guards the fields below
	balance  *quota.Balance
	waiting  map[uint64]chan quota.Result
	expired  map[string]float64 // as counted last
	returned map[string]float64
}

// NewQuotas returns the quotas of the router.
func NewQuotas(router string, socket *peer.Socket, log *eventlog.Log, scope tally.Scope) *Quotas {
	return &Quotas{socket: socket, log: log, scope: scope, wake: make(chan struct{}, 1), balance: quota.NewBalance(router, quota.NewProcess()),
		waiting: map[uint64]chan quota.Result{}, expired: map[string]float64{}, returned: map[string]float64{}}
}

// SetQuotas makes the gateway observe the quotas. It must be called before the first request.
func (g *Gateway) SetQuotas(q *Quotas) { g.quotas = q }

// SetQuotas passes the holders' announcements and grants to the quotas. It must be called before Run.
func (p *Peers) SetQuotas(q *Quotas) { p.quotas = q }

// Run sends repeats and requests that are due until ctx ends. It sleeps while no request of a limited tenant arrives.
func (q *Quotas) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.wake:
		case <-timer.C:
		}
		timer.Reset(q.flush())
	}
}

// flush sends the messages that are due and returns the time until the next ones.
func (q *Quotas) flush() time.Duration {
	q.mu.Lock()
	now := boottime.Now()
	out := q.balance.Messages(now)
	next := q.balance.Next(now).Sub(now)
	q.count()
	q.mu.Unlock()
	for _, m := range out {
		if err := q.socket.Send(m.To, peer.Message{QuotaRequest: m.Request}); err != nil {
			q.log.Request("message not sent", "err", err)
		}
	}
	return next
}

// notify sends what is due from the request's own goroutine, to save a switch, and makes Run compute its next time.
func (q *Quotas) notify() {
	q.flush()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// count updates the metrics of tokens that were not used. The caller holds the lock.
func (q *Quotas) count() {
	stats := q.balance.Stats()
	for metric, c := range map[string]struct{ now, last map[string]float64 }{
		"quota_expired_total": {stats.Expired, q.expired}, "quota_returned_total": {stats.Returned, q.returned},
	} {
		for tenant, amount := range c.now {
			if amount > c.last[tenant] {
				q.scope.Tagged(map[string]string{"tenant": tenant}).Counter(metric).Inc(int64(amount - c.last[tenant]))
				c.last[tenant] = amount
			}
		}
	}
}

// applyAnnouncements records the holders that a report names. The report came from the address.
func (q *Quotas) applyAnnouncements(from netip.AddrPort, all []quota.Announcement) {
	if q == nil || len(all) == 0 {
		return
	}
	changed := false
	for _, a := range all {
		q.mu.Lock()
		isNew := q.balance.SetHolder(boottime.Now(), a.Shard, a.Epoch, from)
		q.mu.Unlock()
		if isNew {
			changed = true
			q.log.State("quota holder changed", "shard", a.Shard, "epoch", a.Epoch, "address", from.String(), "left_ms", a.RemainingMS)
			q.scope.Tagged(map[string]string{"shard": strconv.Itoa(a.Shard)}).Gauge("quota_epoch").Update(float64(a.Epoch))
		}
	}
	if changed {
		q.notify()
	}
}

// applyGrant ends the waits that a holder's answer decides.
func (q *Quotas) applyGrant(from netip.AddrPort, g *quota.Grant) {
	if q == nil {
		return
	}
	q.mu.Lock()
	for _, r := range q.balance.Apply(boottime.Now(), from, g) {
		if ch := q.waiting[r.ID]; ch != nil {
			delete(q.waiting, r.ID)
			ch <- r // has room for the only result
		}
	}
	q.mu.Unlock()
	q.notify()
}

// take gives a request tokens of the balance, or else starts a wait and returns its id and the channel of its result.
func (q *Quotas) take(t quota.Tenant, amount float64, priority int, maxWait time.Duration) (*quota.Hold, uint64, <-chan quota.Result) {
	defer q.notify()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if h := q.balance.Take(now, t, amount); h != nil {
		return h, 0, nil
	}
	id, ch := q.balance.Wait(now, t, amount, priority, maxWait), make(chan quota.Result, 1)
	q.waiting[id] = ch
	return nil, id, ch
}

// cancel ends a wait. It reports whether the holder has said that the tokens are not there.
func (q *Quotas) cancel(id uint64, ch <-chan quota.Result) (overLimit bool) {
	defer q.notify()
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case r := <-ch: // the result has come meanwhile
		if r.Hold != nil {
			q.balance.Refund(boottime.Now(), r.Hold)
		}
		return r.Hold == nil
	default:
	}
	delete(q.waiting, id)
	return q.balance.Cancel(boottime.Now(), id)
}

func (q *Quotas) refund(h *quota.Hold) {
	q.mu.Lock()
	q.balance.Refund(boottime.Now(), h)
	q.mu.Unlock()
	q.notify()
}

// requestQuota is a request's part of its tenant's quota.
type requestQuota struct {
	hold *quota.Hold
	// sent reports that an attempt has been sent with the hold. It may have run until the attempt proves the contrary.
	sent bool
	// admitted reports that the request has had a hold and has not been sent since. It need not have one while it waits
	// for an upstream; needed reports that it has to get one again before the next decision.
	admitted, needed bool
	waited           time.Duration
}

// limited reports whether the request counts towards a quota.
func (c *callerRequest) limited() bool {
	return c.g.quotas != nil && c.tenant != nil && c.tenant.Limited()
}

// quotaAmount returns what the request counts as.
func (c *callerRequest) quotaAmount() (amount, small float64) {
	if c.tenant.Unit != catalog.QuotaTokens {
		return 1, 1
	}
	small = c.tenant.PlainTokens
	if small <= 0 {
		small = defaultPlainTokens
	}
	if amount = float64(max(0, c.meta.TokensIn)) + float64(max(0, c.meta.TokensOut)); amount <= 0 {
		amount = small
	}
	return min(amount, maxQuotaAmount), small
}

// awaitQuota makes sure, before a decision on the request, that it is within its tenant's quota. It waits for tokens as
// long as the request's target and deadline allow. It returns false if the request has ended.
func (c *callerRequest) awaitQuota() bool {
	if !c.limited() || c.quota.admitted && !c.quota.needed {
		return true
	}
	c.quota.needed = false
	c.refundQuota() // too little of its validity is left
	amount, small := c.quotaAmount()
	start, q := time.Now(), c.g.quotas
	maxWait := c.quotaMaxWait(start)
	hold, id, result := q.take(quota.Tenant{Name: c.tenant.Name, Rate: c.tenant.Rate, Burst: c.tenant.Burst, Small: small, Config: c.config},
		amount, c.quotaPriority(), maxWait)
	if hold == nil {
		defer func() { c.quota.waited += time.Since(start) }()
		q.scope.Tagged(map[string]string{"tenant": c.tenant.Name}).Counter("quota_waits_total").Inc(1)
		r, ok := c.awaitGrant(start, id, result)
		if !ok {
			return false
		}
		if r.Hold == nil {
			c.refuseQuota(http.StatusTooManyRequests, "quota of the tenant is used up", r.RetryIn)
			return false
		}
		hold = r.Hold
	}
	c.quota.hold, c.quota.sent, c.quota.admitted = hold, false, true
	return true
}

// awaitGrant waits for the result of a wait for tokens.
func (c *callerRequest) awaitGrant(start time.Time, id uint64, result <-chan quota.Result) (quota.Result, bool) {
	left := c.quotaLimit().Sub(start)
	timer := time.NewTimer(max(left/2, left-max(left/4, minQuotaReserve)))
	defer timer.Stop()
	select {
	case r := <-result:
		return r, true
	case <-timer.C:
	case <-c.ctx.Done():
	case <-c.r.Context().Done():
		c.g.quotas.cancel(id, result)
		c.finish("caller_left", 0, "reason", "waiting for the quota of the tenant")
		panic(http.ErrAbortHandler)
	}
	if c.g.quotas.cancel(id, result) {
		c.refuseQuota(http.StatusTooManyRequests, "quota of the tenant is used up", quotaRetryAfter)
	} else {
		c.refuseQuota(http.StatusServiceUnavailable, "no quota holder answers", quotaRetryAfter)
	}
	return quota.Result{}, false
}

// quotaLimit returns when the caller disconnects if no event has arrived.
func (c *callerRequest) quotaLimit() time.Time {
	if at := c.req.EventDeadline; !at.IsZero() && at.Before(c.req.Deadline) {
		return at
	}
	return c.req.Deadline
}

// quotaMaxWait returns how long the request can wait for tokens of a quota that is used up: half of the time until its
// first event or its answer is due. The other half is left for the upstream.
func (c *callerRequest) quotaMaxWait(now time.Time) time.Duration {
	due := c.quotaLimit()
	if target := c.req.Route.Target; target > 0 && c.start.Add(target).After(now) {
		due = c.start.Add(target)
	}
	return max(0, due.Sub(now)/2)
}

// quotaPriority returns the request's rank among those of its tenant. It is the route's, since the tenant's priority is
// the same for all of them.
func (c *callerRequest) quotaPriority() int { return max(0, c.req.Route.Priority) }

// refuseQuota ends a request that gets no tokens. One that may have run is not refused: 429 and 503 guarantee that it has
// not. after is spread over a quarter so that callers with the same deadline do not come back together.
func (c *callerRequest) refuseQuota(status int, reason string, after time.Duration) {
	c.g.quotas.scope.Tagged(map[string]string{"tenant": c.tenant.Name, "status": strconv.Itoa(status)}).Counter("quota_refused_total").Inc(1)
	after = min(after, time.Until(c.req.Deadline)/3)
	after -= time.Duration(rand.Float64() * float64(after) / 4)
	if c.headWritten || c.req.PossibleRuns() > 0 {
		c.finishRefused(dispatch.Decision{Reason: reason})
		return
	}
	c.refuse(status, reason, after)
}

// quotaHeld reports whether the request may be sent now. If not, awaitQuota gets new tokens.
func (c *callerRequest) quotaHeld() bool {
	if !c.limited() || c.quota.hold != nil && c.quota.hold.Valid(boottime.Now().Add(minHold)) {
		return true
	}
	c.quota.needed = true
	return false
}

// markQuotaSent is called immediately before the request is sent and reports whether it may be.
func (c *callerRequest) markQuotaSent() bool {
	if !c.limited() {
		return true
	}
	if c.quota.hold == nil || !c.quota.hold.Valid(boottime.Now()) {
		c.quota.needed = true
		return false
	}
	c.quota.sent = true
	return true
}

// settleQuota applies the outcome of an attempt to the request's hold and reports whether the attempt was not made for
// lack of a valid hold. A request that may have run needs new tokens for each further attempt, since it may run again.
func (c *callerRequest) settleQuota(o dispatch.Outcome) (lapsed bool) {
	if !c.limited() {
		return false
	}
	lapsed = c.quota.needed && !c.quota.sent
	switch o {
	case dispatch.NotConnected, dispatch.NotListening, dispatch.Unproven, dispatch.NotRun, dispatch.Misdirected, dispatch.Expired:
		c.quota.sent = false
		c.quota.needed = c.quota.hold == nil || !c.quota.hold.Valid(boottime.Now().Add(minHold)) // before a decision on a retry
	default:
		c.quota.hold, c.quota.sent, c.quota.admitted = nil, false, false
	}
	return lapsed
}

// parkQuota returns the tokens of a request that is going to wait for a load, which takes longer than they are valid.
func (c *callerRequest) parkQuota(d dispatch.Decision) {
	if d.WaitCause != dispatch.WaitPrefill && d.WaitCause != dispatch.WaitReports {
		c.refundQuota()
	}
}

// refundQuota returns the tokens of a request that was not sent.
func (c *callerRequest) refundQuota() {
	if h := c.quota.hold; h != nil && !c.quota.sent {
		c.quota.hold = nil
		c.g.quotas.refund(h)
	}
}

// quotaFields returns the log fields of the request's quota.
func (c *callerRequest) quotaFields() []any {
	if !c.limited() {
		return nil
	}
	amount, _ := c.quotaAmount()
	return []any{"quota_amount", amount, "quota_ms", c.quota.waited.Milliseconds()}
}
