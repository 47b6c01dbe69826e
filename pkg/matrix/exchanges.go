package matrix

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// exchange is one request at a router.
type exchange struct {
	r      *routerNode
	req    *router.Request
	core   *router.Core
	out    *simAnswer
	to     routing.Upstream
	count  bool
	st     *simStream
	conn   *conn
	opened int // grows with each attempt, so that earlier time-outs are ignored
	heard  time.Time
	over   bool
	done   func(router.Result, string)
	lost   func()
}

// simAnswer is the answer as the caller has it. A streamed answer is given on at once, another one when it is whole.
type simAnswer struct {
	streamed bool
	hold     []byte
	given    []byte
}

func (a *simAnswer) Started() bool { return len(a.given) > 0 }

func (a *simAnswer) Prefix() (text []byte, stuck, complete bool) { return a.given, false, false }

func (a *simAnswer) Restart() { a.hold = nil }

func (a *simAnswer) data(b []byte) {
	if a.streamed {
		a.given = append(a.given, b...)
		return
	}
	a.hold = append(a.hold, b...)
}

// whole returns the answer once it is whole.
func (a *simAnswer) whole() string { return string(a.given) + string(a.hold) }

// serve forwards a request. Lost is called if the router dies before it has answered.
func (r *routerNode) serve(req *router.Request, streamed bool, done func(router.Result, string), lost func()) *exchange {
	now := r.w.now
	r.budget.RecordRequest(now)
	x := &exchange{r: r, req: req, out: &simAnswer{streamed: streamed}, done: done, lost: lost}
	x.core = router.NewCore(req, x.out, now)
	r.active[x] = true
	r.order = append(r.order, x)
	if !r.w.broken.NoDeadline {
		r.deliver(x.core.RefuseAt().Sub(now), func() {
			if !x.over && !x.out.Started() {
				x.do(x.core.Step(r.w.now, router.Expired{}))
			}
		})
	}
	x.do(x.core.Step(now, router.Start{Quarantined: r.blocklist.IsQuarantined(req.Fingerprint)}))
	return x
}

// gone says that the caller has closed its connection.
func (x *exchange) gone() {
	if !x.over {
		x.do(x.core.Step(x.r.w.now, router.CallerDisconnected{}))
	}
}

func (x *exchange) callerLost() {
	if !x.over {
		x.over = true
		x.lost()
	}
}

func (x *exchange) do(a router.Action) {
	for !x.over {
		switch a.Kind {
		case router.Receive:
			return
		case router.Choose:
			a = x.core.Step(x.r.w.now, x.choose(a))
		case router.Open:
			x.open(a)
			return
		case router.Finish:
			x.finish(a)
			return
		}
	}
}

func (x *exchange) choose(a router.Action) router.Chosen {
	r := x.r
	r.w.reached(StepRoute, r.name)
	c, code := r.state.Choose(r.w.now, *a.Criteria)
	if code == "" && a.Retry && !r.budget.AllowRetry(r.w.now) {
		return router.Chosen{Code: wire.CodeBudget}
	}
	return router.Chosen{Choice: c, Code: code}
}

func (x *exchange) finish(a router.Action) {
	x.over = true
	x.leave(a.Cancel)
	delete(x.r.active, x)
	body := ""
	if a.Result.Outcome == wire.OutcomeDone {
		body = x.out.whole()
	}
	x.done(a.Result, body)
}

// leave ends the current attempt.
func (x *exchange) leave(cancel bool) {
	if x.st != nil {
		if cancel {
			x.st.cancel()
		} else {
			x.st.reset()
		}
		x.st = nil
	}
	if x.count {
		x.count = false
		x.r.state.End(x.to.VM)
	}
}

func (x *exchange) open(a router.Action) {
	r := x.r
	r.w.note("%s opens %s attempt %d at %s", r.name, a.Open.Request, a.Open.Attempt, a.Upstream.VM)
	x.leave(false)
	if a.NewConn {
		delete(r.conns, x.to.VM)
	}
	x.to, x.count = *a.Upstream, true
	r.state.Begin(x.to.VM)
	x.opened++
	attempt := x.opened
	a.Open.Sync = r.sync()
	use := func(c *conn) {
		if x.over || x.opened != attempt {
			return
		}
		if c == nil {
			r.state.RecordUnreachable(x.to.VM, r.w.now)
			x.do(x.core.Step(r.w.now, router.AttemptLost{Reason: "dial failed"}))
			return
		}
		r.conns[x.to.VM] = c
		x.conn, x.heard = c, r.w.now
		x.st = c.open(a.Open, func(m wire.Message) { x.receive(attempt, m) })
		x.watch(attempt)
		x.do(x.core.Step(r.w.now, router.Opened{}))
	}
	if c := r.conns[x.to.VM]; c != nil && c.usable() {
		use(c)
		return
	}
	r.dial(r.w.agentAt(a.Upstream.Addr), use)
}

// watch declares the path dead after stream.SilenceLimit without a frame.
func (x *exchange) watch(attempt int) {
	x.r.deliver(stream.LivenessTimeout-x.r.w.now.Sub(x.heard), func() {
		if x.over || x.opened != attempt {
			return
		}
		if x.r.w.now.Sub(x.heard) < stream.LivenessTimeout {
			x.watch(attempt)
			return
		}
		x.r.state.RecordUnreachable(x.to.VM, x.r.w.now)
		x.do(x.core.Step(x.r.w.now, router.AttemptLost{MaybeSent: true, Reason: "path silent"}))
	})
}

// receive handles a frame of an attempt; nil says that the stream ended by a failure.
func (x *exchange) receive(attempt int, m wire.Message) {
	if x.over || x.opened != attempt {
		return
	}
	now := x.r.w.now
	x.heard = now
	switch m := m.(type) {
	case nil:
		if x.conn != nil && x.conn.dropped {
			delete(x.r.conns, x.to.VM)
		}
		x.do(x.core.Step(now, router.AttemptLost{MaybeSent: true, Reason: "stream ended"}))
	case *wire.Accept:
		x.core.RecordHeartbeat()
		x.report(m.Load, m.Sync)
	case *wire.Ping:
		x.core.RecordHeartbeat()
		x.report(m.Load, m.Sync)
	case *wire.Head:
		x.core.ApplyHead(m)
	case *wire.Data:
		x.data(now, m)
	case *wire.End:
		x.report(m.Load, m.Sync)
		a, _ := x.core.ApplyEnd(now, m)
		x.do(a)
	case *wire.Refuse:
		x.report(m.Load, m.Sync)
		x.r.state.RecordRefusal(x.to.VM, m.Code, now)
		if x.r.w.broken.ClaimNotRun && m.Outcome == wire.OutcomeUnknown {
			m.Outcome = wire.OutcomeNotRun
		}
		x.do(x.core.ApplyRefusal(now, m))
	}
}

func (x *exchange) data(now time.Time, m *wire.Data) {
	if x.r.w.broken.AcceptAnyFrame {
		x.out.data(m.Bytes)
	}
	fresh, a, _ := x.core.ApplyData(now, m)
	if !x.r.w.broken.AcceptAnyFrame {
		x.out.data(fresh)
	}
	if len(fresh) > 0 {
		x.r.w.reached(StepStream, x.to.VM)
	}
	x.do(a)
}

func (x *exchange) report(l wire.Load, s wire.Sync) {
	r := x.r
	r.state.ApplyLoad(x.to.VM, l, r.w.now)
	if l.Draining && !r.w.broken.IgnoreLeaving {
		r.members.RecordDraining(x.to.VM)
		r.publish()
	}
	if s.ConfigVersion > r.conf.Version() {
		r.config(confsync.VersionAnnounced{Peer: x.to.Addr, Version: s.ConfigVersion})
	}
	if s.QuarantineHash != r.blocklist.Hash() && r.w.now.Sub(r.heardAt) >= exchangeInterval {
		r.heardAt = r.w.now
		r.w.exchangeQuarantine(r.process, x.to.Addr, r.blocklist.Entries(), func(entries []wire.QuarantineEntry) {
			r.deliver(0, func() { r.blocklist.Merge(entries) })
		})
	}
}
