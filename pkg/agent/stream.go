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
	// PingInterval is the time between two heartbeats in a request's stream.
	PingInterval = 500 * time.Millisecond
	// writeTimeout bounds the write of one frame. If a router reads nothing for so long, its caller has timed out.
	writeTimeout = 10 * time.Second
	// firstFrameTimeout bounds the wait for the first frame of a stream.
	firstFrameTimeout = 10 * time.Second
)

// decision is the core's decision on a request's stream. Either attach and output are set, or refuse, or answer.
type decision struct {
	attach *Attach
	output *output
	refuse *wire.Refuse
	answer *AnswerStream
}

// requestStream is the Agent's state of one request's stream.
type requestStream struct {
	id        uint64
	st        transport.Stream
	decisions chan decision // capacity 1
	drop      context.CancelFunc
	mu        sync.Mutex
	buf       []byte
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

// serveRequest serves one request's stream until it ends. The request may continue without the stream.
func (a *Agent) serveRequest(ctx context.Context, peer string, st transport.Stream, rd *wire.Reader, o *wire.Open) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &requestStream{id: a.nextStream.Add(1), st: st, decisions: make(chan decision, 1), drop: cancel}
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
	if a.awaitDecision(ctx, r) != nil || !stop() {
		st.Reset()
		return
	}
	_ = st.CloseWrite()
	_ = st.SetReadDeadline(time.Now()) // ends readCancel
}

// readCancel reads Cancel frames until the router closes its side of the stream. A router that has sent its last frame
// may close its side and continue to read, so only an error ends the stream.
func (a *Agent) readCancel(ctx context.Context, r *requestStream, rd *wire.Reader, cancel context.CancelFunc) {
	for {
		m, err := rd.Next()
		if isEOF(err) {
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

// awaitDecision sends heartbeats until the core has decided on the stream, and then executes the decision.
func (a *Agent) awaitDecision(ctx context.Context, r *requestStream) error {
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	for {
		select {
		case d := <-r.decisions:
			return a.sendDecision(ctx, r, d, ping)
		case <-ping.C:
			if err := r.write(a.ping()); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Agent) sendDecision(ctx context.Context, r *requestStream, d decision, ping *time.Ticker) error {
	snap := a.snapshot.Load()
	switch {
	case d.refuse != nil:
		d.refuse.Load, d.refuse.Sync = snap.load, snap.sync
		return r.write(d.refuse)
	case d.answer != nil:
		return a.sendStored(r, d.answer, snap)
	}
	if err := r.write(&wire.Accept{Request: d.attach.Request, Attempt: d.attach.Attempt, Load: snap.load, Sync: snap.sync}); err != nil {
		return err
	}
	defer d.output.removeReader(r.id)
	return a.sendOutput(ctx, r, d, ping)
}

// sendStored sends an answer stored with its idempotency key.
func (a *Agent) sendStored(r *requestStream, s *AnswerStream, snap *snapshot) error {
	if err := r.write(&wire.Accept{Request: s.Request, Attempt: s.Attempt, Load: snap.load, Sync: snap.sync}); err != nil {
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
	return r.write(&wire.End{Request: s.Request, Attempt: s.Attempt, Outcome: wire.OutcomeDone, Length: uint64(len(body)), Load: snap.load, Sync: snap.sync})
}

// sendOutput copies a job's output to the stream from the offset that the router has.
func (a *Agent) sendOutput(ctx context.Context, r *requestStream, d decision, ping *time.Ticker) error {
	request, attempt, offset := d.attach.Request, d.attach.Attempt, d.attach.Offset
	headSent := false
	buf := make([]byte, maxDataBytes)
	for {
		p, err := d.output.read(r.id, offset, buf)
		if err != nil {
			return r.write(a.fillRefuse(unknownRefusal(wire.CodePeerLost, err.Error()), request, attempt))
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
			ping.Reset(PingInterval) // data is a heartbeat too
		}
		if p.end != nil {
			return r.write(a.lastFrame(p.end, request, attempt, offset))
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

// lastFrame returns the last frame of an output.
func (a *Agent) lastFrame(e *ending, request string, attempt uint32, length uint64) wire.Message {
	if e.refuse != nil {
		refuse := *e.refuse
		return a.fillRefuse(&refuse, request, attempt)
	}
	snap := a.snapshot.Load()
	return &wire.End{Request: request, Attempt: attempt, Outcome: wire.OutcomeDone, Length: length, Load: snap.load, Sync: snap.sync}
}

func (a *Agent) fillRefuse(r *wire.Refuse, request string, attempt uint32) *wire.Refuse {
	snap := a.snapshot.Load()
	r.Request, r.Attempt, r.Load, r.Sync = request, attempt, snap.load, snap.sync
	return r
}

func (a *Agent) ping() *wire.Ping {
	snap := a.snapshot.Load()
	return &wire.Ping{Load: snap.load, Sync: snap.sync}
}
