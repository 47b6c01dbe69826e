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
	r     *Router
	req   *Request
	out   *answer
	core  *Core
	start time.Time
	// The current attempt: its upstream, connection, stream and span. Counted says that the upstream counts it.
	to      routing.Upstream
	counted bool
	conn    transport.Conn
	st      transport.Stream
	span    trace.Span
	far     bool // the upstream is in another region
}

// run carries out the core's actions until the request ends.
func (x *exchange) run(ctx context.Context) (Result, error) {
	dialCtx, cancel := context.WithDeadline(ctx, x.core.RefuseAt())
	defer cancel()
	a := x.core.Step(time.Now(), Start{Quarantined: x.r.opts.IsQuarantined(x.req.Fingerprint)})
	for {
		var err error
		switch a.Kind {
		case Choose:
			chosen := x.r.choose(a)
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
	if err := x.out.finish(a.EndMarkerLost); err != nil {
		return Result{Outcome: wire.OutcomeUnknown}, err
	}
	return a.Result, nil
}

// cancelTimeout bounds the time in which an agent ends a cancelled stream.
const cancelTimeout = time.Second

// cancel tells the agent that nobody waits for the answer. A reset right away could overtake the Cancel frame, so the
// stream is read until the agent ends it.
func (x *exchange) cancel(wanted bool) {
	if !wanted || x.st == nil {
		return
	}
	st, id := x.st, x.req.ID
	x.st = nil
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

// leave ends the current attempt.
func (x *exchange) leave() {
	if x.st != nil {
		x.st.Reset()
		x.st = nil
	}
	if x.counted {
		x.r.end(x.to.VM)
		x.counted = false
	}
	if x.span != nil {
		x.span.End()
		x.span = nil
	}
}

// open carries out an Open action. A fresh one replaces the connection, because the old one's path is dead.
func (x *exchange) open(ctx, dialCtx context.Context, a Action) Action {
	old := x.conn
	x.leave()
	if a.NewConn && old != nil {
		x.r.metrics.resumes.Inc(1)
		x.r.pool.Discard(x.to.Addr, old)
		_ = old.Close()
	}
	x.to, x.far = *a.Upstream, x.r.isFar(a.Upstream.VM)
	x.r.metrics.attempts.Inc(1)
	x.r.begin(x.to.VM)
	x.counted = true
	a.Open.Traceparent = x.trace(ctx, a)
	a.Open.Sync = x.r.opts.Sync()
	if x.out.Started() {
		// The deadline bounds the beginning of the answer only.
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
	case dialCtx.Err() != nil && !x.out.Started():
		if sent {
			x.core.Step(time.Now(), Opened{})
		}
		return x.core.Step(time.Now(), Expired{})
	}
	x.span.RecordError(err)
	x.r.unreachable(x.to.VM)
	return x.core.Step(time.Now(), AttemptLost{MaybeSent: sent, Reason: err.Error()})
}

// resumeTimeout bounds the connection of a resume after the answer began.
const resumeTimeout = time.Second

// send connects and writes the Open frame. Sent says that the frame may have arrived.
func (x *exchange) send(ctx context.Context, o *wire.Open) (sent bool, err error) {
	if x.conn, err = x.r.connect(ctx, x.to.Addr); err != nil {
		return false, err
	}
	if x.st, err = x.conn.OpenStream(ctx); err != nil {
		x.r.pool.Discard(x.to.Addr, x.conn)
		return false, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = x.st.SetWriteDeadline(deadline)
	}
	return true, wire.Write(x.st, o)
}

// trace starts the attempt's span and returns its traceparent.
func (x *exchange) trace(ctx context.Context, a Action) string {
	ctx, x.span = x.r.opts.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
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

// rearmInterval is the least time between two settings of the read deadline, which is too costly for each token. A dead
// path is noticed earlier by at most this time.
const rearmInterval = 100 * time.Millisecond

// receive reads frames until the attempt ends. The error is the sink's.
func (x *exchange) receive(ctx context.Context) (Action, error) {
	st := x.st
	stop := context.AfterFunc(ctx, func() { _ = st.SetReadDeadline(time.Now()) })
	defer stop()
	frames := wire.NewReader(st)
	var armed time.Time
	begun := x.out.Started()
	for {
		now := time.Now()
		if now.Sub(armed) >= min(rearmInterval, x.r.opts.LivenessTimeout/10) || begun != x.out.Started() {
			begun = x.out.Started()
			armed = now
			_ = st.SetReadDeadline(x.readDeadline(now, begun))
			if ctx.Err() != nil {
				return x.core.Step(now, CallerDisconnected{}), nil
			}
		}
		m, err := frames.Next()
		now = time.Now()
		if err != nil {
			return x.readFailed(ctx, now, err), nil
		}
		a, err := x.frame(now, m)
		if err != nil || a.Kind != Receive {
			return a, err
		}
	}
}

// readDeadline is when the path is dead, or before that the request's deadline if the answer has not begun.
func (x *exchange) readDeadline(now time.Time, begun bool) time.Time {
	dead := now.Add(x.r.opts.LivenessTimeout)
	if !begun && x.core.RefuseAt().Before(dead) {
		return x.core.RefuseAt()
	}
	return dead
}

func (x *exchange) readFailed(ctx context.Context, now time.Time, err error) Action {
	switch {
	case ctx.Err() != nil:
		return x.core.Step(now, CallerDisconnected{})
	case !x.out.Started() && !now.Before(x.core.RefuseAt()):
		return x.core.Step(now, Expired{})
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		err = fault.New(fault.StepStream, x.to.Addr, "the agent closed the stream before the end of the answer")
	default:
		x.r.metrics.deadPaths.Inc(1)
		x.r.unreachable(x.to.VM) // new requests go elsewhere until the resume shows whether the agent is alive
		err = fault.Wrap(err, fault.StepStream, x.to.Addr, "read frame")
	}
	x.span.RecordError(err)
	return x.core.Step(now, AttemptLost{MaybeSent: true, Reason: err.Error()})
}

// frame handles one frame.
func (x *exchange) frame(now time.Time, m wire.Message) (Action, error) {
	switch m := m.(type) {
	case *wire.Data:
		return x.data(now, m)
	case *wire.Ping:
		x.core.RecordHeartbeat()
		x.r.report(x.to, m.Load, m.Sync)
	case *wire.Accept:
		x.core.RecordHeartbeat()
		x.r.report(x.to, m.Load, m.Sync)
	case *wire.Head:
		if x.core.ApplyHead(m) {
			if err := x.out.onHead(engine.Head{Status: m.Status, Header: m.Header}); err != nil {
				return x.core.corrupt(now, err.Error()), nil
			}
		}
	case *wire.End:
		x.r.report(x.to, m.Load, m.Sync)
		a, v := x.core.ApplyEnd(now, m)
		x.r.metrics.judged(v)
		return a, nil
	case *wire.Refuse:
		x.r.report(x.to, m.Load, m.Sync)
		x.r.refused(x.to.VM, m.Code)
		return x.core.ApplyRefusal(now, m), nil
	}
	return Action{Kind: Receive}, nil
}

func (x *exchange) data(now time.Time, m *wire.Data) (Action, error) {
	fresh, a, v := x.core.ApplyData(now, m)
	if x.far {
		x.r.metrics.crossRegion.Inc(int64(len(m.Bytes)))
	}
	if v != 0 {
		x.r.metrics.judged(v)
	}
	if len(fresh) == 0 {
		return a, nil
	}
	begun := x.out.Started()
	err := x.out.onData(fresh)
	if !begun && x.out.Started() {
		x.r.metrics.firstByte.RecordDuration(now.Sub(x.start))
	}
	return a, err
}
