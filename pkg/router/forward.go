// Package router implements the process on an entry VM that forwards callers' requests to the agents beside upstreams.
package router

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Sink receives an answer.
type Sink interface {
	// Head is called once, before the first Data.
	Head(h engine.Head) error
	// Data receives the next bytes of the body.
	Data(b []byte) error
}

// Result is how a request ended. Refusal is nil if Outcome is done.
type Result struct {
	Outcome wire.Outcome
	Refusal *wire.Refuse
}

// Forwarder forwards requests to agents.
type Forwarder struct {
	pool *transport.Pool
	addr string
}

// NewForwarder returns a forwarder to the agent at addr.
func NewForwarder(pool *transport.Pool, addr string) *Forwarder {
	return &Forwarder{pool: pool, addr: addr}
}

// Forward sends the request and copies the answer to the sink. An error comes from the sink or the path.
func (f *Forwarder) Forward(ctx context.Context, o *wire.Open, sink Sink) (Result, error) {
	conn, err := f.pool.Get(ctx, f.addr)
	if err != nil {
		return Result{Outcome: wire.OutcomeNotRun}, err
	}
	st, err := conn.OpenStream(ctx)
	if err != nil {
		return Result{Outcome: wire.OutcomeNotRun}, err
	}
	defer st.Reset()
	if err := wire.Write(st, o); err != nil {
		return Result{Outcome: wire.OutcomeUnknown}, err
	}
	return receive(ctx, st, sink)
}

// silenceLimit is three missed pings.
const silenceLimit = 1500 * time.Millisecond

func receive(_ context.Context, st transport.Stream, sink Sink) (Result, error) {
	r := wire.NewReader(st)
	for {
		if err := st.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return Result{Outcome: wire.OutcomeUnknown}, fault.Wrap(err, fault.StepStream, "", "set deadline")
		}
		m, err := r.Next()
		if err != nil {
			return Result{Outcome: wire.OutcomeUnknown}, fault.Wrap(err, fault.StepStream, "", "read frame")
		}
		switch m := m.(type) {
		case *wire.Head:
			err = sink.Head(engine.Head{Status: m.Status, Header: m.Header})
		case *wire.Data:
			err = sink.Data(m.Bytes)
		case *wire.End:
			return Result{Outcome: m.Outcome}, nil
		case *wire.Refuse:
			return Result{Outcome: m.Outcome, Refusal: m}, nil
		}
		if err != nil {
			return Result{Outcome: wire.OutcomeUnknown}, err
		}
	}
}
