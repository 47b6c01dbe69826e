package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// maxIdleNonRetryable bounds the idle time of a connection that is reused for a request which must not be retried:
	// if an upstream or a device on the path has dropped the connection, the outcome of the request is unknown.
	maxIdleNonRetryable = 500 * time.Millisecond
	// maxIdleRetryable is that bound for all other requests.
	maxIdleRetryable = 10 * time.Second
)

// answer is a complete answer of an upstream. One that was forwarded as it arrived is streamed and has no body.
type answer struct {
	status   int
	header   http.Header
	body     inbound.Segments
	streamed bool
	// events is the number of events of a stream that its only run has brought; -1 for one that was resumed.
	events int
}

// attempt sends the request to the chosen upstream and receives its answer.
func (c *callerRequest) attempt(d dispatch.Decision) (dispatch.Outcome, *answer) {
	id := d.Upstream.ID
	c.attempted = true
	_, span := c.g.trace.Start(c.ctx, "send", trace.WithAttributes(attribute.String("upstream", id), attribute.String("zone", d.Upstream.Zone)))
	defer span.End()
	tokens := 0
	c.g.core.Do(func(s *dispatch.State) {
		tokens = s.Uncached(id, c.req)
		s.RecordStart(id, c.req)
	})
	c.timing.recordSend(time.Now(), tokens)
	headRead := false
	recordFirst := func() {
		if !headRead {
			headRead = true
			c.g.core.recordFirstEvent(id, c.req, tokens)
		}
	}
	outcome := dispatch.Interrupted // applies if the exchange panics
	defer func() {
		recordFirst()
		c.endPrompt(outcome)
		span.SetAttributes(attribute.String("outcome", outcome.String()))
		c.g.core.Do(func(s *dispatch.State) { s.RecordEnd(time.Now(), id, c.req, outcome) })
	}()
	outcome, ans := c.exchange(d, recordFirst)
	return outcome, ans
}

func (c *callerRequest) exchange(d dispatch.Decision, recordFirst func()) (dispatch.Outcome, *answer) {
	conn, err := c.connect(d)
	if err != nil {
		c.cause = err.Error()
		if c.ctx.Err() != nil {
			return dispatch.Expired, nil
		}
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return dispatch.NotListening, nil
		case errors.Is(err, errUnproven):
			return dispatch.Unproven, nil
		}
		return dispatch.NotConnected, nil
	}
	reusable := false
	defer func() {
		if !reusable { // also after a panic
			conn.Abort()
		}
	}()
	stop := context.AfterFunc(c.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	cancelled := func() bool { return !stop() }
	var unresponsive atomic.Bool
	unregister := func() {}
	if c.req.Route.Retryable() {
		unregister = c.g.core.onUnresponsive(d.Upstream.ID, func() {
			unresponsive.Store(true)
			_ = conn.SetDeadline(time.Unix(1, 0))
		})
		defer unregister()
	}
	if !c.authorizeSend() {
		c.cause = c.unauthorized.Reason()
		_ = conn.Close()
		_ = cancelled()
		return dispatch.Expired, nil
	}
	if !c.confirmLimit(d.Upstream) || !c.markQuotaSent() {
		stop()
		_ = conn.Close()
		return dispatch.Expired, nil
	}
	c.recordLimitSent()
	sentAt := time.Now()
	c.g.core.Do(func(s *dispatch.State) { s.RecordSent(sentAt, c.req) })
	conn.Send(c.upstreamRequest(d.Upstream.ID))
	resp, err := conn.ReadHead(c.r.Method)
	if err != nil {
		return c.interruptedOutcome(cancelled(), unresponsive.Load(), err), nil
	}
	recordFirst()
	witness := c.openWitness(resp, d.Upstream)
	defer witness.release()
	c.applyUpstreamState(resp, d.Upstream, sentAt)
	outcome, a, err := c.receive(resp, d.Upstream, conn.Reused)
	if err == nil && a != nil && h1.IsUnframed(resp) { // a success or a failure of the upstream's own
		_ = conn.Close() // the upstream has closed it
		c.g.core.Do(func(s *dispatch.State) { s.RecordReleased(d.Upstream.ID, c.req) })
		switch c.confirmEnd(d.Upstream, a, witness) {
		case endBrokenOff:
			outcome, c.cause = dispatch.Interrupted, "upstream ended with its answer"
		case endAtDeadline:
			outcome, c.cause = dispatch.TimedOut, "answer ended at the deadline"
		}
		c.extendWriteDeadline() // the end can follow the last event by more than the deadline set for it
	}
	if cancelled() || err != nil {
		if err == nil && outcome == dispatch.Done {
			return outcome, a
		}
		return c.interruptedOutcome(c.ctx.Err() != nil, unresponsive.Load(), err), a
	}
	unregister() // the hook must not abort the connection's next request
	if outcome == dispatch.Interrupted || outcome == dispatch.TimedOut || unresponsive.Load() {
		return outcome, a
	}
	reusable = true
	conn.Release(resp)
	return outcome, a
}

// applyUpstreamState applies what an answer to a request that was sent at the given time says about the upstream itself. An
// answer of another instance at the address says nothing about it.
func (c *callerRequest) applyUpstreamState(resp *http.Response, u *dispatch.UpstreamRef, sentAt time.Time) {
	head, upstream := platform.DecodeAnswer(resp.StatusCode, resp.Header), u.ID
	if head.Instance != "" && head.Instance != upstream {
		return
	}
	if !head.WrongInstance {
		c.g.core.Do(func(s *dispatch.State) { s.Fleet.RecordAnswer(sentAt, upstream, u.StartedUnixMS) })
	}
	c.g.limits.observe(instanceOf(u), head.Limit, head.LimitPerS, c.meta.ID, c.limit.sentAt)
	if head.RetryAfter > 0 {
		c.g.core.Do(func(s *dispatch.State) { s.Fleet.RecordBackoff(upstream, time.Now().Add(head.RetryAfter)) })
		c.g.log.Request("upstream requested backoff", "id", c.meta.ID, "upstream", upstream, "for_ms", head.RetryAfter.Milliseconds())
	}
	if !head.Leaving {
		return
	}
	changed := false
	c.g.core.Do(func(s *dispatch.State) { changed = s.Fleet.RecordLeaving(upstream) })
	if changed {
		c.g.log.State("upstream announced that it is leaving", "upstream", upstream, "id", c.meta.ID)
		c.g.core.Update(func(*dispatch.State) {})
	}
}

func (c *callerRequest) interruptedOutcome(cancelled, unresponsive bool, err error) dispatch.Outcome {
	if err != nil {
		c.cause = err.Error()
	}
	switch {
	case cancelled:
		return dispatch.Cancelled
	case unresponsive:
		return dispatch.Unresponsive
	}
	return dispatch.Interrupted
}

func (c *callerRequest) upstreamRequest(instance string) *h1.Request {
	priority := c.req.Priority()
	if c.req.Route.Kind != catalog.Streaming {
		priority = -1
	}
	return &h1.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Body: c.body,
		Header: platform.UpstreamHeader(c.r.Header, platform.Attempt{
			Instance: instance, Timeout: time.Until(c.req.Deadline), Priority: priority, LastEvent: c.lastEventID,
			Tenant: c.tenantName(), RemoveKey: c.removeKey,
		}),
	}
}

// receive checks the head of an answer and reads the body: a stream is forwarded, any other body is buffered in full.
// reused reports whether the connection has carried another request before.
func (c *callerRequest) receive(resp *http.Response, u *dispatch.UpstreamRef, reused bool) (dispatch.Outcome, *answer, error) {
	head := platform.DecodeAnswer(resp.StatusCode, resp.Header)
	success := resp.StatusCode/100 == 2
	c.recordIDs(head, success)
	switch {
	case !c.isAttributable(head, success, reused):
		c.cause = fmt.Sprintf("answer with status %d to request %q", resp.StatusCode, head.ID)
		return dispatch.Interrupted, nil, nil
	case success && !head.Signed, head.Encoded:
		c.cause = "answer is not signed or is encoded"
		return dispatch.Interrupted, nil, nil
	case success && !c.isContinuation(resp):
		return dispatch.Interrupted, nil, nil
	case success && c.req.Route.Kind == catalog.Streaming:
		return c.forward(resp, u)
	}
	body, err := c.readAnswerBody(resp.Body)
	if err != nil {
		return dispatch.Interrupted, nil, err
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if head.NotRun || head.WrongInstance || impliesNotRun(resp.StatusCode) {
		c.dropAnswer(body)
	}
	switch {
	case head.WrongInstance:
		c.cause = "wrong instance or model not loaded"
		return dispatch.Misdirected, nil, nil
	case head.NotRun:
		c.cause = "upstream refused with status " + strconv.Itoa(resp.StatusCode)
		return dispatch.NotRun, nil, nil
	case impliesNotRun(resp.StatusCode):
		c.cause = "upstream answered with status " + strconv.Itoa(resp.StatusCode) + " and no proof"
		return dispatch.Interrupted, nil, nil
	case resp.StatusCode >= 500:
		c.cause = "upstream answered with status " + strconv.Itoa(resp.StatusCode)
		return dispatch.Failed, a, nil
	case !c.isContinuation(resp):
		c.dropAnswer(body)
		return dispatch.Interrupted, nil, nil
	}
	return dispatch.Done, a, nil
}

// isContinuation reports whether the answer can go on with what the caller has already got: nothing, or a stream with the
// same status.
func (c *callerRequest) isContinuation(resp *http.Response) bool {
	if !c.headWritten || resp.StatusCode == c.headStatus {
		return true
	}
	c.cause = "stream was resumed with status " + strconv.Itoa(resp.StatusCode)
	return false
}

// impliesNotRun reports whether callers take the status as a confirmation that the request has not run.
func impliesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// deliver writes a complete answer to the caller.
func (c *callerRequest) deliver(a *answer) {
	if a.streamed {
		c.finish("done", a.status)
		return
	}
	c.headWritten = true
	platform.CopyAnswerHeader(c.w.Header(), a.header)
	c.w.Header().Set("Content-Length", strconv.FormatInt(a.body.Len(), 10))
	c.w.WriteHeader(a.status)
	if err := c.writeAnswerBody(a.body); err != nil {
		c.finish("caller_left", a.status, "err", err)
		return
	}
	c.finish("done", a.status)
}
