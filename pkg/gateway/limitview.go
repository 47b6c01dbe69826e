package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

// Any implements dispatch.RateLimits.
func (l *Limits) Any() bool { return l.limited.Load() > 0 }

// Limit implements dispatch.RateLimits.
func (l *Limits) Limit(i upstreamlimit.Instance) (dispatch.RateLimit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known[i.ID]
	if k == nil {
		return dispatch.RateLimit{}, false
	}
	now := boottime.Now()
	limit, ok := l.balance.Limit(now, i)
	if !ok {
		return dispatch.RateLimit{}, false
	}
	if (k.ready == nil || !k.ready.Valid(now)) && limit.Waiting == 0 {
		if t := l.balance.Take(now, i); t != nil && !t.Free {
			k.ready, k.readyAt = t, now
		}
	}
	return dispatch.RateLimit{Ready: k.ready != nil && k.ready.Valid(now), Wait: limit.Wait}, true
}

// WantAhead implements dispatch.RateLimits. It waits behind the requests that only this upstream can serve.
func (l *Limits) WantAhead(i upstreamlimit.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.known[i.ID]; k != nil && k.ahead == 0 && k.ready == nil {
		k.ahead = l.balance.Wait(boottime.Now(), i, upstreamlimit.Priorities-1)
		l.notify()
	}
}

// RetryIn implements dispatch.RateLimits.
func (l *Limits) RetryIn(i upstreamlimit.Instance, share float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scope.Counter("limit_refusals_total").Inc(1)
	l.notify()
	return l.balance.RetryIn(boottime.Now(), i, share)
}

// limitSummaryInterval is the time between two log lines on the tokens of a router.
const limitSummaryInterval = 10 * time.Second

// stateLine is a line of the log that is written without the lock.
type stateLine struct {
	message string
	fields  []any
}

// review forgets the upstreams without a limit and returns the lines on what has changed. The caller holds the lock.
func (l *Limits) review(now boottime.Instant) []stateLine {
	var lines []stateLine
	for id, k := range l.known {
		limit, ok := l.balance.Limit(now, k.instance)
		switch {
		case !ok && k.ready != nil, !ok && k.ahead != 0: // ends with its result
		case !ok:
			delete(l.known, id)
			lines = append(lines, stateLine{"limit of upstream has ended", []any{"upstream", id, "before_per_s", k.perS}})
		case limit.N != k.perS || limit.Silent != k.silent:
			if limit.Silent != k.silent || k.perS == 0 {
				lines = append(lines, stateLine{"limit of upstream in force", []any{"upstream", id, "per_s", limit.N, "before_per_s", k.perS, "holder_answers", !limit.Silent, "waiting", limit.Waiting}})
			}
			k.perS, k.silent = limit.N, limit.Silent
		}
	}
	l.limited.Store(int32(len(l.known)))
	if s := l.balance.Stats(); now.Sub(l.summaryAt) >= limitSummaryInterval && (len(l.known) > 0 || s.Received != l.summary.Received) {
		last := l.summary
		lines = append(lines, stateLine{"upstream limits", []any{"upstreams", len(l.known), "requests", s.Requests - last.Requests, "repeated", s.Repeated - last.Repeated,
			"received", s.Received - last.Received, "expired", s.Expired - last.Expired, "returned", s.Returned - last.Returned,
			"slots", s.Slots - last.Slots, "ahead_used", l.aheadUsed}})
		l.summary, l.summaryAt, l.aheadUsed = s, now, 0
	}
	return lines
}

// count updates the metrics. The caller holds the lock.
func (l *Limits) count() {
	now, last := l.balance.Stats(), l.counted
	l.counted = now
	for name, n := range map[string]uint64{
		"requests": now.Requests - last.Requests, "repeated": now.Repeated - last.Repeated, "received": now.Received - last.Received,
		"expired": now.Expired - last.Expired, "returned": now.Returned - last.Returned, "slots": now.Slots - last.Slots,
	} {
		if n > 0 {
			l.scope.Tagged(map[string]string{"kind": name}).Counter("limit_tokens_total").Inc(int64(n))
		}
	}
	l.scope.Gauge("upstreams_with_limit").Update(float64(len(l.known)))
}

// requestLimit is what a request holds of an upstream's limit.
type requestLimit struct {
	token *upstreamlimit.Token // nil if there is none
	// waitID, waitAt and result are those of a wait for a token; result is nil if there is none.
	waitID uint64
	waitAt upstreamlimit.Instance
	result <-chan *upstreamlimit.Token
	// lapsed reports whether the last attempt was not made for lack of a token.
	lapsed bool
	sentAt boottime.Instant // of the last attempt
}

// instanceOf returns the instance of an upstream that a request is sent to.
func instanceOf(u *dispatch.UpstreamRef) upstreamlimit.Instance {
	return upstreamlimit.Instance{ID: u.ID, StartedUnixMS: u.StartedUnixMS}
}

// prepareLimit drops a token that has ended, before a decision.
func (c *callerRequest) prepareLimit() {
	if c.limit.token != nil && !c.limit.token.Valid(boottime.Now()) {
		c.refundLimit()
	}
}

// holdLimit makes the request wait for a token of the upstream if the decision says so, and ends another wait.
func (c *callerRequest) holdLimit(d dispatch.Decision) {
	waits := d.Action == dispatch.Wait && d.WaitCause == dispatch.WaitRate
	if !waits || instanceOf(d.Upstream) != c.limit.waitAt {
		c.endLimitWait()
	}
	if d.Action != dispatch.Send || d.Upstream.ID != c.req.RateToken {
		c.refundLimit()
	}
	if waits && c.limit.result == nil {
		c.g.scope.Counter("limit_waits_total").Inc(1)
		c.limit.waitAt = instanceOf(d.Upstream)
		c.limit.waitID, c.limit.result = c.g.limits.wait(c.limit.waitAt, c.req.Priority())
		c.g.log.Request("waiting for upstream's limit", "id", c.meta.ID, "upstream", d.Upstream.ID, "expected_ms", d.Cost.Milliseconds(), "until_ms", time.Until(d.Until).Milliseconds())
	}
}

// applyLimitToken records the token that the request has waited for.
func (c *callerRequest) applyLimitToken(t *upstreamlimit.Token) {
	c.req.RateToken, c.limit.token, c.limit.result = c.limit.waitAt.ID, t, nil
}

// takeLimit makes sure that the request holds a token if the upstream has a limit, and reports whether it may be sent.
func (c *callerRequest) takeLimit(u *dispatch.UpstreamRef) bool {
	now := boottime.Now()
	if t := c.limit.token; t != nil && c.req.RateToken == u.ID && t.Valid(now) && !t.Free {
		return true
	}
	c.refundLimit()
	t := c.g.limits.take(instanceOf(u))
	if t == nil {
		return false
	}
	if c.limit.token = t; !t.Free {
		c.req.RateToken = u.ID
	}
	return true
}

// confirmLimit is called right before the request is sent and reports whether it may be.
func (c *callerRequest) confirmLimit(u *dispatch.UpstreamRef) bool {
	c.limit.lapsed = !c.takeLimit(u)
	return !c.limit.lapsed
}

// recordLimitSent records that the request is sent now.
func (c *callerRequest) recordLimitSent() {
	c.limit.sentAt = boottime.Now()
	c.g.limits.sent(c.limit.token)
	c.req.RateToken, c.limit.token = "", nil
}

// refundLimit gives back the token of a request that is not sent with it.
func (c *callerRequest) refundLimit() {
	if c.limit.token != nil && !c.limit.token.Free {
		c.g.limits.refund(c.limit.token)
	}
	c.req.RateToken, c.limit.token = "", nil
}

func (c *callerRequest) endLimitWait() {
	if c.limit.result != nil {
		c.g.limits.cancel(c.limit.waitID, c.limit.result)
		c.limit.result = nil
	}
}

// dropLimit gives back what the request holds at its end.
func (c *callerRequest) dropLimit() {
	c.endLimitWait()
	c.refundLimit()
}
