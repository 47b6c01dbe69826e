package gateway

import (
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// finishRefused ends a request that is not forwarded to any further upstream.
func (c *callerRequest) finishRefused(d dispatch.Decision) {
	if d.TryOtherRouter && !c.headWritten {
		c.w.Header().Set("Connection", "close")
	}
	switch {
	case c.headWritten:
		c.abort("stream cannot go on: " + d.Reason)
	case c.req.PossibleRuns() > 0:
		c.refuse(http.StatusBadGateway, d.Reason, 0)
	default:
		c.refuse(http.StatusServiceUnavailable, d.Reason, d.RetryAfter)
	}
}

// finishFailed ends a request after its last attempt.
func (c *callerRequest) finishFailed(retry dispatch.RetryDecision, ans *answer) {
	switch {
	case c.r.Context().Err() != nil:
		c.finish("caller_left", 0, "reason", retry.Reason)
		panic(http.ErrAbortHandler)
	case c.headWritten:
		c.abort(retry.Reason)
	case retry.Status == 0 && ans != nil:
		c.deliver(ans)
	case retry.Status == 0:
		c.refuse(http.StatusBadGateway, retry.Reason, 0)
	default:
		after := time.Duration(0)
		if retry.Status == http.StatusServiceUnavailable {
			after = min(refusalRetryAfter, time.Until(c.req.Deadline)/3)
		}
		c.refuse(retry.Status, retry.Reason, after)
	}
}

// refusalRetryAfter is the longest Retry-After for a request that the upstreams refused.
const refusalRetryAfter = 300 * time.Millisecond

// refuse answers with an error of the gateway itself.
func (c *callerRequest) refuse(status int, reason string, after time.Duration) {
	platform.SetRefusalHeader(c.w.Header(), c.meta.ID, after)
	c.extendWriteDeadline()
	http.Error(c.w, reason, status)
	c.finish("refused", status, "reason", reason, "retry_after_ms", after.Milliseconds())
}

// abort closes the connection of a started answer, so that the caller cannot mistake it for a complete one.
func (c *callerRequest) abort(reason string) {
	c.finish("cut", 0, "reason", reason)
	inbound.AbortAnswer(c.w, c.r)
}

func (c *callerRequest) finish(outcome string, status int, kv ...any) {
	took := time.Since(c.start)
	c.g.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_total").Inc(1)
	c.g.scope.Timer("request_seconds").Record(took)
	fields := []any{"id", c.meta.ID, "outcome", outcome, "status", status, "took_ms", took.Milliseconds()}
	fields = append(fields, c.tenantFields()...)
	if c.req != nil {
		fields = append(fields, "route", c.req.Route.Name, "service", c.req.Service, "model", c.meta.Model, "adapter", c.meta.Adapter,
			"config", c.config, "runs", c.req.PossibleRuns(), "sends", c.req.Attempts(), "cost_ms", c.decision.Cost.Milliseconds(), "report_age_ms", c.decision.AgeMS(),
			"cached", c.decision.Cached, "cached_seen", c.req.SeenCached(), "detour_ms", c.decision.Detour.Milliseconds(), "last_ms", c.decision.Last.Milliseconds())
		if c.decision.Upstream != nil {
			fields = append(fields, "upstream", c.decision.Upstream.ID)
			c.countPrefix()
		}
		fields = append(fields, c.timing.fields(c.start, c.req.Route, c.req.Priority())...)
		fields = append(fields, c.promptStats.fields()...)
		fields = append(fields, c.quotaFields()...)
	}
	c.g.log.Request("request", append(fields, kv...)...)
}
