package agent

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// acceptDuty accepts peers' connections until ctx ends.
func (a *Agent) acceptDuty(ctx context.Context) error {
	for {
		conn, err := a.parts.Listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		a.goDo(func(ctx context.Context) { a.serveConn(ctx, conn) })
	}
}

func (a *Agent) serveConn(ctx context.Context, conn transport.Conn) {
	addr := conn.RemoteAddr()
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
		a.goDo(func(ctx context.Context) { a.serveStream(ctx, addr, st) })
	}
}

func (a *Agent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
}

// serveStream serves what the first frame of a stream asks for.
func (a *Agent) serveStream(ctx context.Context, peer string, st transport.Stream) {
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	_ = st.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	rd := wire.NewReader(st)
	first, err := rd.Next()
	if err != nil {
		st.Reset()
		return
	}
	_ = st.SetReadDeadline(time.Time{})
	switch m := first.(type) {
	case *wire.Open:
		a.serveRequest(ctx, peer, st, rd, m)
	case *wire.LoadPermitRequest:
		a.servePlace(ctx, st, rd, m)
	default:
		a.serveQuestion(ctx, st, first)
	}
}

// serveQuestion answers a question of one frame.
func (a *Agent) serveQuestion(ctx context.Context, st transport.Stream, m wire.Message) {
	info := a.info.Load()
	var answer wire.Message
	switch m := m.(type) {
	case *wire.ConfigGet:
		answer = &wire.ConfigDoc{}
		if info.config != nil && info.config.Version > m.Have {
			answer = info.config
		}
	case *wire.QuarantineGet:
		answer = &wire.QuarantineList{Entries: info.entries}
		_ = a.events.Push(ctx, QuarantineReceived{Entries: m.Entries})
	case *wire.ObjectsGet:
		answer = &wire.ObjectsList{Objects: a.watcher.Snapshot()}
	case *wire.StatusGet:
		answer = &wire.Status{JSON: info.status}
	default:
		st.Reset()
		return
	}
	_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
	if wire.Write(st, answer) != nil {
		st.Reset()
		return
	}
	_ = st.CloseWrite()
}

// doPeers carries out the actions that ask other processes. Each question has a goroutine of its own, bounded in time;
// the decisions limit their number.
func (a *Agent) doPeers(act Action) {
	switch act := act.(type) {
	case QueryConfig:
		a.goDo(func(ctx context.Context) {
			ev := ConfigReply{Peer: act.Peer}
			if m, err := a.ask(ctx, act.Peer, &wire.ConfigGet{Have: act.Have}); err == nil {
				ev.Doc, _ = m.(*wire.ConfigDoc)
			}
			_ = a.events.Push(ctx, ev)
		})
	case ExchangeQuarantine:
		a.goDo(func(ctx context.Context) {
			m, err := a.ask(ctx, act.Peer, &wire.QuarantineGet{Entries: act.Entries})
			if list, ok := m.(*wire.QuarantineList); err == nil && ok {
				_ = a.events.Push(ctx, QuarantineReceived{Entries: list.Entries})
			}
		})
	case RequestPermit:
		a.askPlace(act)
	case ReleasePermit:
		a.mu.Lock()
		end := a.asks[act.ID]
		delete(a.asks, act.ID)
		a.mu.Unlock()
		if end != nil {
			end()
		}
	case IssuePermit:
		a.mu.Lock()
		given := a.places[act.ID]
		delete(a.places, act.ID)
		a.mu.Unlock()
		if given != nil {
			close(given)
		}
	}
}

// dial returns the connection that the peer opened, or one of the pool. A router does not listen, so that it can be
// reached only on its own connection.
func (a *Agent) dial(ctx context.Context, peer string) (transport.Conn, error) {
	a.mu.Lock()
	conn := a.conns[peer]
	a.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	return a.pool.Get(ctx, peer)
}

// ask sends a question to a peer and returns its answer.
func (a *Agent) ask(ctx context.Context, peer string, question wire.Message) (wire.Message, error) {
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
	if err := wire.Write(st, question); err != nil {
		return nil, err
	}
	m, err := wire.NewReader(st).Next()
	return m, fault.Wrap(err, fault.StepTransport, peer, "read answer")
}

// askPlace asks a load coordinator and keeps the stream until the place is returned.
func (a *Agent) askPlace(act RequestPermit) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.mu.Lock()
	if old := a.asks[act.Request.ID]; old != nil {
		old()
	}
	a.asks[act.Request.ID] = cancel
	a.mu.Unlock()
	a.goDo(func(context.Context) {
		defer cancel()
		conn, err := a.dial(ctx, act.Addr)
		if err != nil {
			return
		}
		st, err := conn.OpenStream(ctx)
		if err != nil {
			return
		}
		a.holdPlace(ctx, st, act.Request)
	})
}

// holdPlace reports the coordinator's signs until the ask is withdrawn, and then returns the place.
func (a *Agent) holdPlace(ctx context.Context, st transport.Stream, ask wire.LoadPermitRequest) {
	defer st.Reset()
	_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
	if wire.Write(st, &ask) != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
		_ = wire.Write(st, &wire.LoadPermitRelease{ID: ask.ID})
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
			_ = a.events.Push(a.ctx, PermitQueued{ID: ask.ID})
		case *wire.LoadPermit:
			_ = a.events.Push(a.ctx, PermitIssued{ID: ask.ID})
		}
	}
}

// servePlace serves an ask to this agent as the load coordinator: signs of life until the place is given, and then the
// wait for its return. A place whose stream was lost stays taken until the coordinator forgets it, because the load may
// go on.
func (a *Agent) servePlace(ctx context.Context, st transport.Stream, rd *wire.Reader, ask *wire.LoadPermitRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	given := make(chan struct{})
	a.mu.Lock()
	a.places[ask.ID] = given
	a.mu.Unlock()
	if a.events.Push(ctx, PermitRequested{Request: *ask}) != nil {
		return
	}
	a.goDo(func(context.Context) {
		defer cancel()
		if m, err := rd.Next(); err == nil {
			if done, ok := m.(*wire.LoadPermitRelease); ok && done.ID == ask.ID {
				_ = a.events.Push(a.ctx, PermitReleased{ID: ask.ID})
			}
		}
	})
	a.signPlace(ctx, st, given, ask.ID)
	st.Reset()
}

func (a *Agent) signPlace(ctx context.Context, st transport.Stream, given chan struct{}, id string) {
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	for sign := wire.Message(a.ping()); ; sign = a.ping() {
		_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
		if wire.Write(st, sign) != nil {
			break
		}
		select {
		case <-given:
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
	waiting := a.places[id] == given
	if waiting {
		delete(a.places, id)
	}
	a.mu.Unlock()
	if waiting {
		_ = a.events.Push(a.ctx, PermitReleased{ID: id})
	}
}
