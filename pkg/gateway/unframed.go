package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// instanceQueryTimeout bounds the query whether an upstream still runs: connection, reply and one lost packet.
const instanceQueryTimeout = 600 * time.Millisecond

// confirmEnd returns whether an answer that ended with its connection is complete: the kernel also closes the connections
// of a process that ends, wherever its answers were. A process that replies long enough afterwards has ended the answer
// itself, unless its time was up. That it is leaving shows nothing, since an upstream that is removed at short notice ends
// whatever it is running. The witness is nil if the reply names the start of the process.
func (c *callerRequest) confirmEnd(u *dispatch.UpstreamRef, a *answer, w *witness) endVerdict {
	// A caller that has only finished writing looks as one that has left, and reads on.
	if c.r.Context().Err() != nil && c.req.Route.Kind != catalog.NonIdempotent {
		return endBrokenOff // the request is cancelled
	}
	ended := time.Now()
	check := newEndCheck(a.streamed, c.req.Deadline.Sub(ended))
	if a.streamed && a.events >= 0 {
		check.id, check.events = c.meta.ID, a.events
	}
	// The reply also counts for a request whose deadline has passed meanwhile, as its answer is still delivered.
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	defer cancel()
	defer context.AfterFunc(c.g.requestsCtx, func() { time.AfterFunc(endCheckStop, cancel) })()
	o := &answerEnd{c: c, upstream: u, witness: w, ctx: ctx, at: ended}
	verdict, queries, check, err := check.run(o)
	signs := o.signs()
	c.g.log.Request("answer ended with its connection", "id", c.meta.ID, "upstream", u.ID, "complete", verdict == endComplete,
		"streamed", a.streamed, "left_ms", check.left.Milliseconds(), "queries", queries, "stalls", check.stalls, "took_ms", o.now().Milliseconds(),
		"replaced", signs.replaced, "witness_closed", signs.witnessClosed, "err", err)
	return verdict
}

// answerEnd observes the upstream after the end of its answer.
type answerEnd struct {
	c        *callerRequest
	upstream *dispatch.UpstreamRef
	witness  *witness
	ctx      context.Context
	at       time.Time
}

func (o *answerEnd) now() time.Duration { return time.Since(o.at) }

func (o *answerEnd) sleep(d time.Duration) { sleep(o.ctx, d) }

func (o *answerEnd) query(timeout time.Duration) (platform.InstanceReply, error) {
	return o.c.queryInstance(o.ctx, o.upstream, platform.NewInstanceQuery(o.upstream.ID, o.c.checkPath()), timeout)
}

func (o *answerEnd) signs() endSigns {
	return endSigns{ending: o.c.mayBeEnding(o.upstream), replaced: o.c.isReplaced(o.upstream), witnessClosed: o.witness.showsEnd()}
}

func (o *answerEnd) stops() bool { return o.ctx.Err() != nil }

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *callerRequest) mayBeEnding(u *dispatch.UpstreamRef) (ending bool) {
	c.g.core.Do(func(s *dispatch.State) { ending = s.MayBeEnding(time.Now(), u.ID) })
	return ending
}

// isReplaced reports whether the list names a later start of the upstream under its id.
func (c *callerRequest) isReplaced(u *dispatch.UpstreamRef) (replaced bool) {
	c.g.core.Do(func(s *dispatch.State) {
		m := s.Fleet.Get(u.ID)
		replaced = m != nil && m.StartedUnixMS != u.StartedUnixMS
	})
	return replaced
}

// checkPath returns the path of the health check of a plain service, and "" for model engines, whose report takes no
// slot.
func (c *callerRequest) checkPath() string {
	service := c.g.core.config().Services[c.req.Service]
	switch {
	case service.Engine != nil:
		return ""
	case service.HealthPath == "":
		return "/" // any reply shows that the instance runs
	}
	return service.HealthPath
}

// queryInstance asks the instance of the upstream for a sign of life. A connection that is only accepted shows nothing:
// the kernel or a device on the path accepts it for a process that has ended or is back.
func (c *callerRequest) queryInstance(ctx context.Context, u *dispatch.UpstreamRef, q platform.InstanceQuery, timeout time.Duration) (platform.InstanceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return queryInstance(ctx, c.g.pool, u, q)
}

// queryInstance sends the query to the instance of the upstream on a new connection, since a process that is ending may
// still serve open ones. The error is nil if the instance replies.
func queryInstance(ctx context.Context, pool *h1.Pool, u *dispatch.UpstreamRef, q platform.InstanceQuery) (platform.InstanceReply, error) {
	conn, err := pool.Get(ctx, u.Address, 0)
	if err != nil {
		return platform.InstanceReply{}, err
	}
	return queryOn(ctx, conn, u, q)
}

// queryOn sends the query to the instance of the upstream on the connection, which it closes or returns to the pool. The
// error is nil if the instance replies.
func queryOn(ctx context.Context, conn *h1.Conn, u *dispatch.UpstreamRef, q platform.InstanceQuery) (platform.InstanceReply, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	conn.Send(&h1.Request{Method: http.MethodGet, Target: q.Target, Host: u.Address, Header: q.Header})
	resp, err := conn.ReadHead(http.MethodGet)
	var body []byte
	if err == nil {
		body, err = readQueryReply(resp.Body)
	}
	isCut := errors.Is(err, errAnswerTooLong) // shows that the instance runs; a report is not decoded from it
	if err != nil && !isCut || !stop() {
		_ = conn.Close()
		return platform.InstanceReply{}, errors.Join(err, ctx.Err())
	}
	if isCut {
		_ = conn.Close()
	} else {
		conn.Release(resp)
	}
	reply, err := q.DecodeReply(resp.StatusCode, resp.Header, body)
	if err == nil && !isSameInstance(u, reply.Instance) {
		return reply, fault.Wrap(platform.ErrOtherInstance, fault.StepDispatch, u.Address, "query")
	}
	return reply, err
}

// isSameInstance reports whether the reply is that of the instance. An id can come again after a restart; the start then
// differs.
func isSameInstance(u *dispatch.UpstreamRef, reply catalog.Instance) bool {
	return (reply.ID == "" || reply.ID == u.ID) && (reply.StartedUnixMS == 0 || u.StartedUnixMS == 0 || reply.StartedUnixMS == u.StartedUnixMS)
}
