package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// proofTimeout bounds the wait for an engine's proof: some ten round trips between regions. The request is then sent to
// another upstream.
const proofTimeout = 400 * time.Millisecond

// errUnproven is returned when what replies at an upstream's address has not proved to be its instance.
var errUnproven = errors.New("the instance has not proved its address")

// provenConn returns a connection to the instance of the upstream. A connection that is open leads to the process that
// accepted it; a new one may lead to the next upstream at the address, so the instance has to prove itself if it has shown
// no sign of life for a while. Plain services are not asked, since their health check does not name the start; one whose
// address has refused connections gets no request on a new one until the list has had time to name another instance.
func (c *callerRequest) provenConn(u *dispatch.UpstreamRef) (*h1.Conn, error) {
	for proved := false; ; proved = true {
		conn, err := c.g.pool.Get(c.ctx, u.Address, c.maxIdle())
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.g.core.Do(func(s *dispatch.State) { s.Fleet.RecordRefused(time.Now(), u.ID, u.StartedUnixMS) })
		}
		switch {
		case err != nil || conn.Reused || proved:
			return conn, err
		case c.checkPath() != "" && c.g.core.mayBeReplaced(u):
			_ = conn.Close() // an idle connection would be taken for one that leads to the instance
			c.g.log.Request("upstream may have been replaced", "id", c.meta.ID, "upstream", u.ID, "born", u.StartedUnixMS, "address", u.Address)
			return nil, fault.Wrap(errUnproven, fault.StepDispatch, u.Address, "connect")
		case c.checkPath() != "" || !c.g.core.needsProof(u):
			return conn, nil
		}
		if err := c.proveInstance(conn, u); err != nil {
			return nil, err
		}
	}
}

// proveInstance asks for the instance's report on the connection and returns it to the pool. The error is errUnproven if
// the reply does not name the instance's id and start.
func (c *callerRequest) proveInstance(conn *h1.Conn, u *dispatch.UpstreamRef) error {
	ctx, cancel := context.WithTimeout(c.ctx, proofTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := queryOn(ctx, conn, u, platform.NewInstanceQuery(u.ID, ""))
	if err == nil && reply.StartedUnixMS == 0 {
		err = fault.New(fault.StepDispatch, u.Address, "reply does not name the start")
	}
	c.g.log.Request("instance asked to prove its address", "id", c.meta.ID, "upstream", u.ID, "born", u.StartedUnixMS, "address", u.Address,
		"replied", reply.ID, "replied_born", reply.StartedUnixMS, "took_ms", time.Since(sentAt).Milliseconds(), "err", err)
	if err != nil {
		return fault.Wrap(errors.Join(errUnproven, err), fault.StepDispatch, u.Address, "proof")
	}
	c.g.core.Do(func(s *dispatch.State) { s.Fleet.RecordProof(sentAt, u.ID, u.StartedUnixMS) })
	return nil
}

func (c *Core) mayBeReplaced(u *dispatch.UpstreamRef) (replaced bool) {
	c.Do(func(s *dispatch.State) {
		replaced = s.Fleet.MayBeReplaced(time.Now(), boottime.Now(), u.ID, u.StartedUnixMS)
	})
	return replaced
}

func (c *Core) needsProof(u *dispatch.UpstreamRef) (needed bool) {
	c.Do(func(s *dispatch.State) {
		needed = s.Fleet.NeedsProof(time.Now(), boottime.Now(), u.ID, u.StartedUnixMS)
	})
	return needed
}
