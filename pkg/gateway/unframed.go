package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// instanceQueryTimeout bounds the query whether an upstream still runs: connection, reply and one lost packet.
	instanceQueryTimeout = 600 * time.Millisecond
	// maxInstanceReplyBytes bounds the body of the reply. An engine's report takes some kilobytes.
	maxInstanceReplyBytes = 1 << 20
)

// isUnframed reports whether only the end of the connection marks the end of the answer, so that it cannot be told from a
// connection that the upstream's end has closed.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// isComplete reports whether an answer that ended with its connection is complete: the kernel also closes the connections
// of a process that ends, wherever its answers were. A process that replies afterwards has ended the answer itself. That
// it is leaving shows nothing, since an upstream that is removed at short notice ends whatever it is running.
func (c *callerRequest) isComplete(u *dispatch.UpstreamRef) bool {
	if c.r.Context().Err() != nil {
		return true // the caller has left
	}
	// The reply also counts for a request whose deadline has passed meanwhile, as its answer is still delivered.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), instanceQueryTimeout)
	defer cancel()
	runs, err := c.instanceRuns(ctx, u, c.checkPath())
	c.g.log.Request("answer ended with its connection", "id", c.meta.ID, "upstream", u.ID, "complete", runs, "err", err)
	return runs
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

// instanceRuns reports whether the instance of the upstream replies on a new connection. A connection that is only
// accepted shows nothing: the kernel or a device on the path accepts it for a process that has ended or is back.
func (c *callerRequest) instanceRuns(ctx context.Context, u *dispatch.UpstreamRef, checkPath string) (bool, error) {
	return instanceReplies(ctx, c.g.pool, u, platform.NewInstanceQuery(u.ID, checkPath), func(r io.Reader) ([]byte, error) {
		parts, err := c.readAnswerBody(io.LimitReader(r, maxInstanceReplyBytes))
		defer c.dropAnswer(parts)
		return bytes.Join(parts, nil), err
	})
}

// instanceReplies reports whether the instance of the upstream replies to the query on a new connection of the pool. The
// function read reads the body of the reply within a bound.
func instanceReplies(ctx context.Context, pool *h1.Pool, u *dispatch.UpstreamRef, q platform.InstanceQuery, read func(io.Reader) ([]byte, error)) (bool, error) {
	conn, err := pool.Get(ctx, u.Address, 0)
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	conn.Send(&h1.Request{Method: http.MethodGet, Target: q.Target, Host: u.Address, Header: q.Header})
	resp, err := conn.ReadHead(http.MethodGet)
	var body []byte
	if err == nil {
		body, err = read(resp.Body)
	}
	if err != nil || !stop() {
		_ = conn.Close()
		return false, errors.Join(err, ctx.Err())
	}
	conn.Release(resp)
	reply, err := q.DecodeReply(resp.StatusCode, resp.Header, body)
	return err == nil && isSameInstance(u, reply), err
}

// isSameInstance reports whether the reply is that of the instance. An id can come again after a restart; the start then
// differs.
func isSameInstance(u *dispatch.UpstreamRef, reply catalog.Instance) bool {
	return (reply.ID == "" || reply.ID == u.ID) && (reply.StartedUnixMS == 0 || u.StartedUnixMS == 0 || reply.StartedUnixMS == u.StartedUnixMS)
}
