package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// freshConn is the longest idle time of a connection that carries a request which must not be repeated: an
	// upstream or a device on the path that has dropped it would leave the outcome unknown.
	freshConn = 500 * time.Millisecond
	// warmConn is that time for all other requests.
	warmConn = 10 * time.Second
)

// answer is a whole answer of an upstream; nil body and streamed for one that was forwarded as it arrived.
type answer struct {
	status   int
	header   http.Header
	body     segments
	streamed bool
}

// send sends the request to the upstream of the decision and takes its answer.
func (c *call) send(d dispatch.Decision) (dispatch.Outcome, *answer) {
	id := d.Upstream.ID
	c.sent = true
	_, span := c.g.trace.Start(c.ctx, "send", trace.WithAttributes(attribute.String("upstream", id), attribute.String("zone", d.Upstream.Zone)))
	defer span.End()
	tokens := 0
	c.g.core.Do(func(s *dispatch.State) {
		tokens = s.Uncached(id, c.req)
		s.RecordStart(id, c.req)
	})
	read := false
	first := func() {
		if !read {
			read = true
			c.g.core.Do(func(s *dispatch.State) { s.RecordFirstEvent(id, c.req, tokens) })
		}
	}
	outcome := dispatch.Interrupted // unless the exchange returns
	defer func() {
		first()
		span.SetAttributes(attribute.String("outcome", outcome.String()))
		c.g.core.Do(func(s *dispatch.State) { s.RecordEnd(time.Now(), id, c.req, outcome) })
	}()
	outcome, a := c.exchange(d, first)
	return outcome, a
}

func (c *call) exchange(d dispatch.Decision, first func()) (dispatch.Outcome, *answer) {
	conn, err := c.g.pool.Get(c.ctx, d.Upstream.Address, c.maxIdle())
	if err != nil {
		c.cause = err.Error()
		if c.ctx.Err() != nil {
			return dispatch.Expired, nil
		}
		return dispatch.NotConnected, nil
	}
	stop := context.AfterFunc(c.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	ended := func() bool { return !stop() }
	var silent atomic.Bool
	forget := func() {}
	if c.req.Route.Retryable() {
		forget = c.g.core.onSilence(d.Upstream.ID, func() {
			silent.Store(true)
			_ = conn.SetDeadline(time.Unix(1, 0))
		})
		defer forget()
	}
	conn.Send(c.upstreamRequest(d.Upstream.ID))
	resp, err := conn.ReadHead(c.r.Method)
	if err != nil {
		_ = conn.Close()
		return c.broken(ended(), silent.Load(), err), nil
	}
	first()
	outcome, a, err := c.take(resp, d.Upstream.ID)
	if ended() || err != nil {
		_ = conn.Close()
		if err == nil && outcome == dispatch.Done {
			return outcome, a
		}
		return c.broken(c.ctx.Err() != nil, silent.Load(), err), a
	}
	forget() // before the connection can carry another request
	if outcome == dispatch.Interrupted || silent.Load() {
		_ = conn.Close()
		return outcome, a
	}
	conn.Release(resp)
	return outcome, a
}

func (c *call) broken(ended, silent bool, err error) dispatch.Outcome {
	if err != nil {
		c.cause = err.Error()
	}
	switch {
	case ended:
		return dispatch.Cancelled
	case silent:
		return dispatch.Unresponsive
	}
	return dispatch.Interrupted
}

func (c *call) maxIdle() time.Duration {
	if c.req.Route.Retryable() {
		return warmConn
	}
	return freshConn
}

func (c *call) upstreamRequest(instance string) *h1.Request {
	priority := c.req.Route.Priority
	if c.req.Route.Kind != catalog.Streaming {
		priority = -1
	}
	return &h1.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Body: c.body,
		Header: platform.UpstreamHeader(c.r.Header, platform.Attempt{
			Instance: instance, Wait: time.Until(c.req.Deadline), Priority: priority, LastEvent: c.lastID,
		}),
	}
}

// take judges the head of an answer and takes the body: a stream is forwarded, all else is read in full.
func (c *call) take(resp *http.Response, upstream string) (dispatch.Outcome, *answer, error) {
	head := platform.DecodeAnswer(resp.StatusCode, resp.Header)
	success := resp.StatusCode/100 == 2
	switch {
	case head.ID != "" && head.ID != c.meta.ID, success && head.ID == "" && c.meta.ID != "":
		c.cause = fmt.Sprintf("answer belongs to request %q", head.ID)
		return dispatch.Interrupted, nil, nil
	case success && !head.Signed, head.Encoded:
		c.cause = "answer is not signed or is encoded"
		return dispatch.Interrupted, nil, nil
	case success && c.req.Route.Kind == catalog.Streaming:
		return c.forward(resp, upstream)
	}
	body, err := c.hold(resp.Body)
	if err != nil {
		return dispatch.Interrupted, nil, err
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	switch {
	case head.WrongInstance:
		c.cause = "wrong instance or model not loaded"
		return dispatch.Absent, nil, nil
	case head.NotRun:
		c.cause = "upstream refused with status " + strconv.Itoa(resp.StatusCode)
		return dispatch.NotRun, nil, nil
	case promises(resp.StatusCode):
		c.cause = "upstream answered with status " + strconv.Itoa(resp.StatusCode) + " and no proof"
		return dispatch.Interrupted, nil, nil
	case resp.StatusCode >= 500:
		c.cause = "upstream answered with status " + strconv.Itoa(resp.StatusCode)
		return dispatch.Failed, a, nil
	}
	return dispatch.Done, a, nil
}

// promises reports whether callers take the status as proof that the request has not run.
func promises(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// deliver gives a whole answer to the caller.
func (c *call) deliver(a *answer) {
	if a.streamed {
		c.finish("done", a.status)
		return
	}
	c.begun = true
	platform.CopyAnswerHeader(c.w.Header(), a.header)
	c.w.Header().Set("Content-Length", strconv.FormatInt(a.body.len(), 10))
	c.w.WriteHeader(a.status)
	if err := a.body.writeTo(c.w); err != nil {
		c.finish("caller_left", a.status, "err", err)
		return
	}
	c.finish("done", a.status)
}
