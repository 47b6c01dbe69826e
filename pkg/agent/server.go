// Package agent implements the process beside an upstream. It has the last word on everything that happens there.
package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// PingInterval is the time between two signs of life in a request's stream.
const PingInterval = 500 * time.Millisecond

// Server accepts routers' connections and serves their streams.
type Server struct {
	listener transport.Listener
	engine   engine.Engine
}

// NewServer returns a server of the upstream e.
func NewServer(l transport.Listener, e engine.Engine) *Server {
	return &Server{listener: l, engine: e}
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn transport.Conn) {
	for {
		st, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go s.serveStream(ctx, st)
	}
}

func (s *Server) serveStream(ctx context.Context, st transport.Stream) {
	first, err := wire.NewReader(st).Next()
	if err != nil {
		st.Reset()
		return
	}
	open, ok := first.(*wire.Open)
	if !ok {
		st.Reset()
		return
	}
	w := &frameWriter{st: st}
	if err := s.serveRequest(ctx, open, w); err != nil {
		st.Reset()
		return
	}
	_ = st.CloseWrite()
}

// frameWriter serializes frames of one stream.
type frameWriter struct {
	mu  sync.Mutex
	st  transport.Stream
	buf []byte
}

func (w *frameWriter) write(m wire.Message) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	frame, err := wire.Append(w.buf[:0], m)
	if err != nil {
		return err
	}
	w.buf = frame
	_, err = w.st.Write(frame)
	return fault.Wrap(err, fault.StepStream, "", "write frame")
}

func (s *Server) serveRequest(ctx context.Context, o *wire.Open, w *frameWriter) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.TimeoutMS)*time.Millisecond)
	defer cancel()
	if err := w.write(&wire.Accept{Request: o.Request, Attempt: o.Attempt}); err != nil {
		return err
	}
	go pingUntil(ctx, w)
	call := engine.Call{Request: o.Request, Target: o.Target, Method: o.Method, Path: o.Path, Header: o.Header, Body: o.Body, Priority: o.Priority, Offset: o.Offset, Traceparent: o.Traceparent}
	stream, err := s.engine.Start(ctx, call)
	if err != nil {
		return w.write(refusal(o, err))
	}
	defer stream.Close()
	return copyAnswer(ctx, o, stream, w)
}

func refusal(o *wire.Open, err error) *wire.Refuse {
	outcome := wire.OutcomeUnknown
	if errors.Is(err, engine.ErrNotStarted) {
		outcome = wire.OutcomeNotRun
	}
	return &wire.Refuse{Request: o.Request, Attempt: o.Attempt, Outcome: outcome, Code: wire.CodeUpstreamDown, Reason: err.Error()}
}

func pingUntil(ctx context.Context, w *frameWriter) {
	t := time.NewTicker(PingInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if w.write(&wire.Ping{}) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func copyAnswer(ctx context.Context, o *wire.Open, stream engine.Stream, w *frameWriter) error {
	head := stream.Head()
	if err := w.write(&wire.Head{Request: o.Request, Attempt: o.Attempt, Status: head.Status, Header: head.Header}); err != nil {
		return err
	}
	offset := o.Offset
	for {
		b, err := stream.Next(ctx)
		if len(b) > 0 {
			if werr := w.write(&wire.Data{Request: o.Request, Attempt: o.Attempt, Offset: offset, Bytes: b}); werr != nil {
				return werr
			}
			offset += uint64(len(b))
		}
		if err == io.EOF {
			return w.write(&wire.End{Request: o.Request, Attempt: o.Attempt, Outcome: wire.OutcomeDone, Length: offset})
		}
		if err != nil {
			return w.write(refusal(o, err))
		}
	}
}
