package matrix

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// exchange is the processing of one request at a router.
type exchange struct {
	r            *routerNode
	req          *router.Request
	core         *router.Core
	out          *simAnswer
	to           routing.Upstream
	counted      bool // the attempt is counted in the routing state
	st           *simStream
	conn         *conn
	attempt      int // number of the current attempt; timeouts and frames of earlier ones are ignored
	lastFrameAt  time.Time
	ended        bool
	onDone       func(router.Result, string)
	onRouterDied func()
}

// simAnswer is the answer to the caller. A streamed answer is delivered at once, any other only when it is complete.
type simAnswer struct {
	streamed  bool
	buffered  []byte
	delivered []byte
}

func (a *simAnswer) Started() bool { return len(a.delivered) > 0 }

func (a *simAnswer) Prefix() (text []byte, notContinuable, complete bool) {
	return a.delivered, false, false
}

func (a *simAnswer) Restart() { a.buffered = nil }

func (a *simAnswer) data(b []byte) {
	if a.streamed {
		a.delivered = append(a.delivered, b...)
		return
	}
	a.buffered = append(a.buffered, b...)
}

// body returns the bytes of a complete answer.
func (a *simAnswer) body() string { return string(a.delivered) + string(a.buffered) }

// serve processes a request. It calls onDone with the result, or onRouterDied if the router ends before it answered.
func (r *routerNode) serve(req *router.Request, streamed bool, onDone func(router.Result, string), onRouterDied func()) *exchange {
	now := r.w.now
	r.budget.RecordRequest(now)
	x := &exchange{r: r, req: req, out: &simAnswer{streamed: streamed}, onDone: onDone, onRouterDied: onRouterDied}
	x.core = router.NewCore(req, x.out, now)
	r.active[x] = true
	r.exchanges = append(r.exchanges, x)
	if !r.w.defects.NoDeadline {
		r.deliver(x.core.RefuseAt().Sub(now), func() {
			if !x.ended && !x.out.Started() {
				x.do(x.core.Step(r.w.now, router.Expired{}))
			}
		})
	}
	x.do(x.core.Step(now, router.Start{Quarantined: r.blocklist.IsQuarantined(req.Fingerprint)}))
	return x
}

// callerDisconnected handles that the caller has closed its connection.
func (x *exchange) callerDisconnected() {
	if !x.ended {
		x.do(x.core.Step(x.r.w.now, router.CallerDisconnected{}))
	}
}

func (x *exchange) routerDied() {
	if !x.ended {
		x.ended = true
		x.onRouterDied()
	}
}

func (x *exchange) do(a router.Action) {
	for !x.ended {
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
	x.ended = true
	x.endAttempt(a.Cancel)
	delete(x.r.active, x)
	body := ""
	if a.Result.Outcome == wire.OutcomeDone {
		body = x.out.body()
	}
	x.onDone(a.Result, body)
}

// endAttempt ends the current attempt, if there is one, with a Cancel frame or by closing the stream.
func (x *exchange) endAttempt(cancel bool) {
	if x.st != nil {
		if cancel {
			x.st.cancel()
		} else {
			x.st.reset()
		}
		x.st = nil
	}
	if x.counted {
		x.counted = false
		x.r.state.End(x.to.VM)
	}
}

func (x *exchange) open(a router.Action) {
	r := x.r
	r.w.logf("%s opens %s attempt %d at %s", r.name, a.Open.Request, a.Open.Attempt, a.Upstream.VM)
	x.endAttempt(false)
	if a.NewConn {
		delete(r.conns, x.to.VM)
	}
	x.to, x.counted = *a.Upstream, true
	r.state.Begin(x.to.VM)
	x.attempt++
	attempt := x.attempt
	a.Open.Sync = r.sync()
	onConn := func(c *conn) {
		if x.ended || x.attempt != attempt {
			return
		}
		if c == nil {
			r.state.RecordUnreachable(x.to.VM, r.w.now)
			x.do(x.core.Step(r.w.now, router.AttemptLost{Reason: "dial failed"}))
			return
		}
		r.conns[x.to.VM] = c
		x.conn, x.lastFrameAt = c, r.w.now
		x.st = c.open(a.Open, func(m wire.Message) { x.receive(attempt, m) })
		x.watchLiveness(attempt)
		x.do(x.core.Step(r.w.now, router.Opened{}))
	}
	if c := r.conns[x.to.VM]; c != nil && c.usable() {
		onConn(c)
		return
	}
	r.dial(r.w.agentAt(a.Upstream.Addr), onConn)
}

// watchLiveness ends the attempt as lost when no frame has arrived for stream.LivenessTimeout.
func (x *exchange) watchLiveness(attempt int) {
	x.r.deliver(stream.LivenessTimeout-x.r.w.now.Sub(x.lastFrameAt), func() {
		if x.ended || x.attempt != attempt {
			return
		}
		if x.r.w.now.Sub(x.lastFrameAt) < stream.LivenessTimeout {
			x.watchLiveness(attempt)
			return
		}
		x.r.state.RecordUnreachable(x.to.VM, x.r.w.now)
		x.do(x.core.Step(x.r.w.now, router.AttemptLost{MaybeSent: true, Reason: "path silent"}))
	})
}

// receive handles a frame of an attempt. A nil frame means that the stream has failed.
func (x *exchange) receive(attempt int, m wire.Message) {
	if x.ended || x.attempt != attempt {
		return
	}
	now := x.r.w.now
	x.lastFrameAt = now
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
		if x.r.w.defects.ClaimNotRun && m.Outcome == wire.OutcomeUnknown {
			m.Outcome = wire.OutcomeNotRun
		}
		x.do(x.core.ApplyRefusal(now, m))
	}
}

func (x *exchange) data(now time.Time, m *wire.Data) {
	if x.r.w.defects.AcceptAnyFrame {
		x.out.data(m.Bytes)
	}
	fresh, a, _ := x.core.ApplyData(now, m)
	if !x.r.w.defects.AcceptAnyFrame {
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
	if l.Draining && !r.w.defects.IgnoreLeaving {
		r.members.RecordDraining(x.to.VM)
		r.publishView()
	}
	if s.ConfigVersion > r.conf.Version() {
		r.stepConfig(confsync.VersionAnnounced{Peer: x.to.Addr, Version: s.ConfigVersion})
	}
	if s.QuarantineHash != r.blocklist.Hash() && r.w.now.Sub(r.lastExchangeAt) >= quarantineExchangeInterval {
		r.lastExchangeAt = r.w.now
		r.w.exchangeQuarantine(r.process, x.to.Addr, r.blocklist.Entries(), func(entries []wire.QuarantineEntry) {
			r.deliver(0, func() { r.blocklist.Merge(entries) })
		})
	}
}
