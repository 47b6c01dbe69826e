package router

import (
	"context"
	"errors"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// exchange runs one request on its caller's goroutine.
type exchange struct {
	router *Router
	req    *Request
	answer *answer
	core   *Core
	start  time.Time
	// The current attempt: its upstream, connection, stream and span. Counted reports that the attempt is included in
	// the upstream's outstanding requests.
	upstream    routing.Upstream
	counted     bool
	conn        transport.Conn
	stream      transport.Stream
	span        trace.Span
	crossRegion bool
}

// run executes the core's actions until the request ends.
func (x *exchange) run(ctx context.Context) (Result, error) {
	dialCtx, cancel := context.WithDeadline(ctx, x.core.RefuseAt())
	defer cancel()
	a := x.core.Step(time.Now(), Start{Quarantined: x.router.opts.IsQuarantined(x.req.Fingerprint)})
	for {
		var err error
		switch a.Kind {
		case Choose:
			chosen := x.router.choose(a)
			a = x.core.Step(time.Now(), chosen)
		case Open:
			a = x.open(ctx, dialCtx, a)
		case Receive:
			a, err = x.receive(ctx)
		case Finish:
			return x.finish(a)
		}
		if err != nil {
			x.cancel(!x.req.NonIdempotent)
			return Result{Outcome: wire.OutcomeUnknown}, err
		}
	}
}

func (x *exchange) finish(a Action) (Result, error) {
	x.cancel(a.Cancel)
	if a.Result.Outcome != wire.OutcomeDone {
		return a.Result, nil
	}
	if err := x.answer.finish(a.EndMarkerLost); err != nil {
		return Result{Outcome: wire.OutcomeUnknown}, err
	}
	return a.Result, nil
}

// cancelTimeout bounds the wait for the agent to end a cancelled stream.
const cancelTimeout = time.Second

// cancel tells the agent that the answer is no longer needed, if the request may be cancelled. An immediate reset could
// overtake the Cancel frame, so the stream is read until the agent ends it.
func (x *exchange) cancel(mayCancel bool) {
	if !mayCancel || x.stream == nil {
		return
	}
	st, id := x.stream, x.req.ID
	x.stream = nil
	go func() {
		defer st.Reset()
		deadline := time.Now().Add(cancelTimeout)
		_ = st.SetWriteDeadline(deadline)
		_ = st.SetReadDeadline(deadline)
		if wire.Write(st, &wire.Cancel{Request: id}) == nil && st.CloseWrite() == nil {
			_, _ = io.Copy(io.Discard, st)
		}
	}()
}

// endAttempt ends the current attempt.
func (x *exchange) endAttempt() {
	if x.stream != nil {
		x.stream.Reset()
		x.stream = nil
	}
	if x.counted {
		x.router.end(x.upstream.VM)
		x.counted = false
	}
	if x.span != nil {
		x.span.End()
		x.span = nil
	}
}

// open executes an Open action. If NewConn is set, it replaces the connection, because the old one's path is dead.
func (x *exchange) open(ctx, dialCtx context.Context, a Action) Action {
	old := x.conn
	x.endAttempt()
	if a.NewConn && old != nil {
		x.router.metrics.resumes.Inc(1)
		x.router.pool.Discard(x.upstream.Addr, old)
		_ = old.Close()
	}
	x.upstream, x.crossRegion = *a.Upstream, x.router.isCrossRegion(a.Upstream.VM)
	x.router.metrics.attempts.Inc(1)
	x.router.begin(x.upstream.VM)
	x.counted = true
	a.Open.Traceparent = x.trace(ctx, a)
	a.Open.Sync = x.router.opts.Sync()
	if x.answer.Started() {
		// The request's deadline applies only until the answer starts.
		var cancel context.CancelFunc
		dialCtx, cancel = context.WithTimeout(ctx, resumeTimeout)
		defer cancel()
	}
	sent, err := x.send(dialCtx, a.Open)
	switch {
	case err == nil:
		return x.core.Step(time.Now(), Opened{})
	case ctx.Err() != nil:
		return x.core.Step(time.Now(), CallerDisconnected{})
	case dialCtx.Err() != nil && !x.answer.Started():
		if sent {
			x.core.Step(time.Now(), Opened{})
		}
		return x.core.Step(time.Now(), Expired{})
	}
	x.span.RecordError(err)
	x.router.recordUnreachable(x.upstream.VM)
	return x.core.Step(time.Now(), AttemptLost{MaybeSent: sent, Reason: err.Error()})
}

// resumeTimeout bounds connecting for a resume after the answer started.
const resumeTimeout = time.Second

// send connects and writes the Open frame. Sent reports whether the frame may have arrived.
func (x *exchange) send(ctx context.Context, o *wire.Open) (sent bool, err error) {
	if x.conn, err = x.router.connect(ctx, x.upstream.Addr); err != nil {
		return false, err
	}
	if x.stream, err = x.conn.OpenStream(ctx); err != nil {
		x.router.pool.Discard(x.upstream.Addr, x.conn)
		return false, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = x.stream.SetWriteDeadline(deadline)
	}
	return true, wire.Write(x.stream, o)
}

// trace starts the attempt's span and returns its traceparent.
func (x *exchange) trace(ctx context.Context, a Action) string {
	ctx, x.span = x.router.opts.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if x.span.IsRecording() {
		x.span.SetAttributes(attribute.String("vm", a.Upstream.VM), attribute.Int("attempt", int(a.Open.Attempt)),
			attribute.Bool("resume", a.Open.Resume))
	}
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// deadlineUpdateInterval is the minimum time between two updates of the read deadline, which cost too much for each
// token. A dead path is noticed earlier by at most this time.
const deadlineUpdateInterval = 100 * time.Millisecond

// receive reads frames until the attempt ends. The returned error is the sink's.
func (x *exchange) receive(ctx context.Context) (Action, error) {
	st := x.stream
	stop := context.AfterFunc(ctx, func() { _ = st.SetReadDeadline(time.Now()) })
	defer stop()
	frames := wire.NewReader(st)
	var deadlineSetAt time.Time
	started := x.answer.Started()
	for {
		now := time.Now()
		if now.Sub(deadlineSetAt) >= min(deadlineUpdateInterval, x.router.opts.LivenessTimeout/10) || started != x.answer.Started() {
			started = x.answer.Started()
			deadlineSetAt = now
			_ = st.SetReadDeadline(x.readDeadline(now, started))
			if ctx.Err() != nil {
				return x.core.Step(now, CallerDisconnected{}), nil
			}
		}
		m, err := frames.Next()
		now = time.Now()
		if err != nil {
			return x.readFailed(ctx, now, err), nil
		}
		a, err := x.handleFrame(now, m)
		if err != nil || a.Kind != Receive {
			return a, err
		}
	}
}

// readDeadline returns when the path counts as dead, or the request's deadline if that is earlier and the answer has
// not started.
func (x *exchange) readDeadline(now time.Time, started bool) time.Time {
	livenessDeadline := now.Add(x.router.opts.LivenessTimeout)
	if !started && x.core.RefuseAt().Before(livenessDeadline) {
		return x.core.RefuseAt()
	}
	return livenessDeadline
}

func (x *exchange) readFailed(ctx context.Context, now time.Time, err error) Action {
	switch {
	case ctx.Err() != nil:
		return x.core.Step(now, CallerDisconnected{})
	case !x.answer.Started() && !now.Before(x.core.RefuseAt()):
		return x.core.Step(now, Expired{})
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		err = fault.New(fault.StepStream, x.upstream.Addr, "the agent closed the stream before the end of the answer")
	default:
		x.router.metrics.deadPaths.Inc(1)
		x.router.recordUnreachable(x.upstream.VM) // prefer other upstreams until the resume shows whether the agent is alive
		err = fault.Wrap(err, fault.StepStream, x.upstream.Addr, "read frame")
	}
	x.span.RecordError(err)
	return x.core.Step(now, AttemptLost{MaybeSent: true, Reason: err.Error()})
}

func (x *exchange) handleFrame(now time.Time, m wire.Message) (Action, error) {
	switch m := m.(type) {
	case *wire.Data:
		return x.handleData(now, m)
	case *wire.Ping:
		x.core.RecordHeartbeat()
		x.router.applyReport(x.upstream, m.Load, m.Sync)
	case *wire.Accept:
		x.core.RecordHeartbeat()
		x.router.applyReport(x.upstream, m.Load, m.Sync)
	case *wire.Head:
		if x.core.ApplyHead(m) {
			if err := x.answer.onHead(engine.Head{Status: m.Status, Header: m.Header}); err != nil {
				return x.core.corrupt(now, err.Error()), nil
			}
		}
	case *wire.End:
		x.router.applyReport(x.upstream, m.Load, m.Sync)
		a, v := x.core.ApplyEnd(now, m)
		x.router.metrics.recordVerdict(v)
		return a, nil
	case *wire.Refuse:
		x.router.applyReport(x.upstream, m.Load, m.Sync)
		x.router.recordRefusal(x.upstream.VM, m.Code)
		return x.core.ApplyRefusal(now, m), nil
	}
	return Action{Kind: Receive}, nil
}

func (x *exchange) handleData(now time.Time, m *wire.Data) (Action, error) {
	newBytes, a, v := x.core.ApplyData(now, m)
	if x.crossRegion {
		x.router.metrics.crossRegion.Inc(int64(len(m.Bytes)))
	}
	if v != 0 {
		x.router.metrics.recordVerdict(v)
	}
	if len(newBytes) == 0 {
		return a, nil
	}
	started := x.answer.Started()
	err := x.answer.onData(newBytes)
	if !started && x.answer.Started() {
		x.router.metrics.firstByte.RecordDuration(now.Sub(x.start))
	}
	return a, err
}
