package agent

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// acceptLoop accepts peers' connections until ctx ends.
func (a *Agent) acceptLoop(ctx context.Context) error {
	for {
		conn, err := a.deps.Listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		a.spawn(func(ctx context.Context) { a.serveConn(ctx, conn) })
	}
}

func (a *Agent) serveConn(ctx context.Context, conn transport.Conn) {
	addr := conn.RemoteAddr()
	if !a.memory.ReserveConnection(sessionBytes) {
		a.metrics.countMemoryRefusal("session")
		_ = conn.Close()
		return
	}
	defer a.memory.ReleaseConnection(sessionBytes)
	a.mu.Lock()
	a.conns[addr] = conn
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.conns[addr] == conn {
			delete(a.conns, addr)
		}
	}()
	for {
		st, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		a.spawn(func(ctx context.Context) { a.serveStream(ctx, addr, st) })
	}
}

func (a *Agent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
}

// serveStream serves a stream according to its first frame.
func (a *Agent) serveStream(ctx context.Context, peer string, st transport.Stream) {
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	_ = st.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	holder, err := a.memory.Open(peer, streamMemoryWait)
	defer a.memory.Close(holder)
	if err != nil {
		a.metrics.countMemoryRefusal("stream")
		st.Reset()
		return
	}
	rd := wire.NewReader(&trackedStream{Stream: st, memory: a.memory, holder: holder})
	first, err := a.readFirst(st, rd, holder)
	if err != nil {
		if errors.Is(err, membudget.ErrFull) {
			a.metrics.countMemoryRefusal("stream")
		}
		st.Reset()
		return
	}
	_ = st.SetReadDeadline(time.Time{})
	switch m := first.(type) {
	case *wire.Open:
		a.serveRequest(ctx, peer, st, rd, m)
	case *wire.LoadPermitRequest:
		a.servePermitRequest(ctx, st, rd, m)
	default:
		a.serveQuery(ctx, st, first)
	}
}

// serveQuery replies to a query that consists of one frame.
func (a *Agent) serveQuery(ctx context.Context, st transport.Stream, m wire.Message) {
	snap := a.snapshot.Load()
	var reply wire.Message
	switch m := m.(type) {
	case *wire.ConfigGet:
		reply = &wire.ConfigDoc{}
		if snap.config != nil && snap.config.Version > m.Have {
			reply = snap.config
		}
	case *wire.QuarantineGet:
		reply = &wire.QuarantineList{Entries: snap.quarantine}
		_ = a.events.Push(ctx, QuarantineReceived{Entries: m.Entries})
	case *wire.ObjectsGet:
		reply = &wire.ObjectsList{Objects: a.watcher.Snapshot()}
	case *wire.StatusGet:
		reply = &wire.Status{JSON: snap.status}
	default:
		st.Reset()
		return
	}
	_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
	if wire.Write(st, reply) != nil {
		st.Reset()
		return
	}
	_ = st.CloseWrite()
}

// executePeer executes the actions that send messages to other processes. Each query runs on its own goroutine with a
// timeout; the state machines limit their number.
func (a *Agent) executePeer(act Action) {
	switch act := act.(type) {
	case QueryConfig:
		a.spawn(func(ctx context.Context) {
			ev := ConfigReply{Peer: act.Peer}
			if m, err := a.query(ctx, act.Peer, &wire.ConfigGet{Have: act.Have}); err == nil {
				ev.Doc, _ = m.(*wire.ConfigDoc)
			}
			_ = a.events.Push(ctx, ev)
		})
	case ExchangeQuarantine:
		a.spawn(func(ctx context.Context) {
			m, err := a.query(ctx, act.Peer, &wire.QuarantineGet{Entries: act.Entries})
			if list, ok := m.(*wire.QuarantineList); err == nil && ok {
				_ = a.events.Push(ctx, QuarantineReceived{Entries: list.Entries})
			}
		})
	case RequestPermit:
		a.requestPermit(act)
	case ReleasePermit:
		a.mu.Lock()
		cancel := a.permitRequests[act.ID]
		delete(a.permitRequests, act.ID)
		a.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case IssuePermit:
		a.mu.Lock()
		issued := a.permitWaiters[act.ID]
		delete(a.permitWaiters, act.ID)
		a.mu.Unlock()
		if issued != nil {
			close(issued)
		}
	}
}

// dial returns the connection that the peer opened, or else one from the pool. A router does not listen, so it can only
// be reached on the connection that it opened.
func (a *Agent) dial(ctx context.Context, peer string) (transport.Conn, error) {
	a.mu.Lock()
	conn := a.conns[peer]
	a.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	return a.pool.Get(ctx, peer)
}

// query sends a query to a peer and returns its reply.
func (a *Agent) query(ctx context.Context, peer string, query wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
	defer cancel()
	conn, err := a.dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	st, err := conn.OpenStream(ctx)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, st.Reset)()
	defer st.Reset()
	if err := wire.Write(st, query); err != nil {
		return nil, err
	}
	m, err := wire.NewReader(st).Next()
	return m, fault.Wrap(err, fault.StepTransport, peer, "read reply")
}

// requestPermit requests a load permit from a coordinator. The stream stays open until the permit is released.
func (a *Agent) requestPermit(act RequestPermit) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.mu.Lock()
	if cancelPrevious := a.permitRequests[act.Request.ID]; cancelPrevious != nil {
		cancelPrevious()
	}
	a.permitRequests[act.Request.ID] = cancel
	a.mu.Unlock()
	a.spawn(func(context.Context) {
		defer cancel()
		conn, err := a.dial(ctx, act.Addr)
		if err != nil {
			return
		}
		st, err := conn.OpenStream(ctx)
		if err != nil {
			return
		}
		a.followPermitRequest(ctx, st, act.Request)
	})
}

// followPermitRequest sends a permit request and reports the coordinator's frames until ctx ends, and then withdraws
// the request or releases its permit.
func (a *Agent) followPermitRequest(ctx context.Context, st transport.Stream, req wire.LoadPermitRequest) {
	defer st.Reset()
	_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
	if wire.Write(st, &req) != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
		_ = wire.Write(st, &wire.LoadPermitRelease{ID: req.ID})
		_ = st.CloseWrite()
		_ = st.SetReadDeadline(time.Now().Add(time.Second)) // ends the loop below
	})
	defer stop()
	rd := wire.NewReader(st)
	for {
		m, err := rd.Next()
		if err != nil {
			return
		}
		switch m.(type) {
		case *wire.Ping:
			_ = a.events.Push(a.ctx, PermitQueued{ID: req.ID})
		case *wire.LoadPermit:
			_ = a.events.Push(a.ctx, PermitIssued{ID: req.ID})
		}
	}
}

// servePermitRequest serves a request to this agent as the load coordinator: it sends heartbeats until the permit is
// issued, and then waits for its release. A permit whose stream was lost stays issued until the coordinator expires it,
// because the load may continue.
func (a *Agent) servePermitRequest(ctx context.Context, st transport.Stream, rd *wire.Reader, req *wire.LoadPermitRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	issued := make(chan struct{})
	a.mu.Lock()
	a.permitWaiters[req.ID] = issued
	a.mu.Unlock()
	if a.events.Push(ctx, PermitRequested{Request: *req}) != nil {
		return
	}
	a.spawn(func(context.Context) {
		defer cancel()
		if m, err := rd.Next(); err == nil {
			if done, ok := m.(*wire.LoadPermitRelease); ok && done.ID == req.ID {
				_ = a.events.Push(a.ctx, PermitReleased{ID: req.ID})
			}
		}
	})
	a.sendPermit(ctx, st, issued, req.ID)
	st.Reset()
}

// sendPermit sends heartbeats until the permit is issued, and then the permit. If the stream ends earlier, it withdraws
// the request.
func (a *Agent) sendPermit(ctx context.Context, st transport.Stream, issued chan struct{}, id string) {
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	for heartbeat := wire.Message(a.ping()); ; heartbeat = a.ping() {
		_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
		if wire.Write(st, heartbeat) != nil {
			break
		}
		select {
		case <-issued:
			_ = wire.Write(st, &wire.LoadPermit{ID: id})
			<-ctx.Done()
			return
		case <-ping.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	a.mu.Lock()
	waiting := a.permitWaiters[id] == issued
	if waiting {
		delete(a.permitWaiters, id)
	}
	a.mu.Unlock()
	if waiting {
		_ = a.events.Push(a.ctx, PermitReleased{ID: id})
	}
}
