package agent

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// PingInterval is the time between two signs of life in a request's stream.
	PingInterval = 500 * time.Millisecond
	// writeTimeout bounds one frame. A receiver that takes nothing for so long has been given up by its caller.
	writeTimeout = 10 * time.Second
	// firstFrameTimeout bounds the wait for the first frame of a stream.
	firstFrameTimeout = 10 * time.Second
)

// verdict is what the core decided on a request's stream. Exactly one field is set.
type verdict struct {
	attach *Attach
	output *output
	refuse *wire.Refuse
	answer *AnswerStream
}

// requestStream is the runtime's side of one request's stream.
type requestStream struct {
	id       uint64
	st       transport.Stream
	verdicts chan verdict // holds one
	drop     context.CancelFunc
	mu       sync.Mutex
	buf      []byte
}

// write sends one frame.
func (r *requestStream) write(m wire.Message) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	frame, err := wire.Append(r.buf[:0], m)
	if err != nil {
		return err
	}
	r.buf = frame[:0]
	if err := r.st.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fault.Wrap(err, fault.StepStream, "", "set write deadline")
	}
	_, err = r.st.Write(frame)
	return fault.Wrap(err, fault.StepStream, "", "write frame")
}

// serveRequest serves one request's stream to its end. The request itself does not end with it.
func (a *Agent) serveRequest(ctx context.Context, peer string, st transport.Stream, rd *wire.Reader, o *wire.Open) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &requestStream{id: a.nextStream.Add(1), st: st, verdicts: make(chan verdict, 1), drop: cancel}
	a.addStream(r)
	defer a.removeStream(r.id)
	if a.events.Push(ctx, Opened{Stream: r.id, Peer: peer, Open: o}) != nil {
		st.Reset()
		return
	}
	defer func() { _ = a.events.Push(a.ctx, Closed{Stream: r.id}) }()
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.readCancel(ctx, r, rd, cancel)
	}()
	if a.answer(ctx, r) != nil || !stop() {
		st.Reset()
		return
	}
	_ = st.CloseWrite()
	_ = st.SetReadDeadline(time.Now()) // ends readCancel
}

// readCancel waits for Cancel or the end of the router's side. A router that has sent its last frame may close its side
// while it reads on, so only an error ends the stream.
func (a *Agent) readCancel(ctx context.Context, r *requestStream, rd *wire.Reader, cancel context.CancelFunc) {
	for {
		m, err := rd.Next()
		if isEnd(err) {
			return
		}
		if err != nil {
			cancel()
			return
		}
		if _, ok := m.(*wire.Cancel); ok {
			_ = a.events.Push(ctx, Cancelled{Stream: r.id})
		}
	}
}

// answer sends signs of life until the core has decided, and then what it decided.
func (a *Agent) answer(ctx context.Context, r *requestStream) error {
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	for {
		select {
		case v := <-r.verdicts:
			return a.carryOut(ctx, r, v, ping)
		case <-ping.C:
			if err := r.write(a.ping()); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Agent) carryOut(ctx context.Context, r *requestStream, v verdict, ping *time.Ticker) error {
	info := a.info.Load()
	switch {
	case v.refuse != nil:
		v.refuse.Load, v.refuse.Sync = info.load, info.sync
		return r.write(v.refuse)
	case v.answer != nil:
		return a.sendStored(r, v.answer, info)
	}
	if err := r.write(&wire.Accept{Request: v.attach.Request, Attempt: v.attach.Attempt, Load: info.load, Sync: info.sync}); err != nil {
		return err
	}
	defer v.output.leave(r.id)
	return a.sendOutput(ctx, r, v, ping)
}

// sendStored sends an answer from the table of keys.
func (a *Agent) sendStored(r *requestStream, s *AnswerStream, info *snapshot) error {
	if err := r.write(&wire.Accept{Request: s.Request, Attempt: s.Attempt, Load: info.load, Sync: info.sync}); err != nil {
		return err
	}
	if err := r.write(&wire.Head{Request: s.Request, Attempt: s.Attempt, Status: s.Answer.Status, Header: s.Answer.Header}); err != nil {
		return err
	}
	body := s.Answer.Body
	for offset := min(s.Offset, uint64(len(body))); offset < uint64(len(body)); {
		n := min(maxDataBytes, uint64(len(body))-offset)
		if err := r.write(&wire.Data{Request: s.Request, Attempt: s.Attempt, Offset: offset, Bytes: body[offset : offset+n]}); err != nil {
			return err
		}
		offset += n
	}
	return r.write(&wire.End{Request: s.Request, Attempt: s.Attempt, Outcome: wire.OutcomeDone, Length: uint64(len(body)), Load: info.load, Sync: info.sync})
}

// sendOutput copies a job's output to the stream from the offset that the router has.
func (a *Agent) sendOutput(ctx context.Context, r *requestStream, v verdict, ping *time.Ticker) error {
	request, attempt, offset := v.attach.Request, v.attach.Attempt, v.attach.Offset
	headSent := false
	buf := make([]byte, maxDataBytes)
	for {
		p, err := v.output.read(r.id, offset, buf)
		if err != nil {
			return r.write(a.complete(refuseUnknown(wire.CodePeerLost, err.Error()), request, attempt))
		}
		if p.head != nil && !headSent {
			headSent = true
			if err := r.write(&wire.Head{Request: request, Attempt: attempt, Status: p.head.Status, Header: p.head.Header}); err != nil {
				return err
			}
		}
		if len(p.bytes) > 0 {
			if err := r.write(&wire.Data{Request: request, Attempt: attempt, Offset: offset, Bytes: p.bytes}); err != nil {
				return err
			}
			offset += uint64(len(p.bytes))
			ping.Reset(PingInterval) // data is a sign of life too
		}
		if p.end != nil {
			return r.write(a.ended(p.end, request, attempt, offset))
		}
		if len(p.bytes) > 0 {
			continue
		}
		select {
		case <-p.changed:
		case <-ping.C:
			err = r.write(a.ping())
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// ended returns the last frame of an output.
func (a *Agent) ended(e *ending, request string, attempt uint32, length uint64) wire.Message {
	if e.refuse != nil {
		refuse := *e.refuse
		return a.complete(&refuse, request, attempt)
	}
	info := a.info.Load()
	return &wire.End{Request: request, Attempt: attempt, Outcome: wire.OutcomeDone, Length: length, Load: info.load, Sync: info.sync}
}

func (a *Agent) complete(r *wire.Refuse, request string, attempt uint32) *wire.Refuse {
	info := a.info.Load()
	r.Request, r.Attempt, r.Load, r.Sync = request, attempt, info.load, info.sync
	return r
}

func (a *Agent) ping() *wire.Ping {
	info := a.info.Load()
	return &wire.Ping{Load: info.load, Sync: info.sync}
}
