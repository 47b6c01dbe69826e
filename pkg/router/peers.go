package router

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// questionTimeout bounds the time in which a peer's question is read and answered.
const questionTimeout = time.Second

// connect returns the pooled connection to an agent. Agents ask questions on the connections that routers dial, because
// a router has no address for peers.
func (r *Router) connect(ctx context.Context, addr string) (transport.Conn, error) {
	conn, err := r.pool.Get(ctx, addr)
	if err != nil || r.opts.Reply == nil {
		return conn, err
	}
	if _, served := r.served.LoadOrStore(conn, struct{}{}); !served {
		go r.serveConn(conn)
	}
	return conn, nil
}

// serveConn answers the agent's questions, one after the other, until the connection ends.
func (r *Router) serveConn(conn transport.Conn) {
	defer r.served.Delete(conn)
	for {
		st, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		r.answerQuestion(st)
	}
}

func (r *Router) answerQuestion(st transport.Stream) {
	defer st.Reset()
	deadline := time.Now().Add(questionTimeout)
	_ = st.SetReadDeadline(deadline)
	_ = st.SetWriteDeadline(deadline)
	m, err := wire.NewReader(st).Next()
	if err != nil {
		return
	}
	if answer := r.opts.Reply(m); answer != nil && wire.Write(st, answer) == nil {
		_ = st.CloseWrite()
		var end [1]byte
		_, _ = st.Read(end[:]) // a reset before the peer has closed its side could overtake the answer
	}
}

// Query sends one message to a peer on a stream of its own and returns the answer.
func Query(ctx context.Context, pool *transport.Pool, addr string, m wire.Message) (wire.Message, error) {
	conn, err := pool.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	st, err := conn.OpenStream(ctx)
	if err != nil {
		return nil, err
	}
	defer st.Reset()
	if deadline, ok := ctx.Deadline(); ok {
		_ = st.SetReadDeadline(deadline)
		_ = st.SetWriteDeadline(deadline)
	}
	if err := wire.Write(st, m); err != nil {
		return nil, err
	}
	if err := st.CloseWrite(); err != nil {
		return nil, err
	}
	answer, err := wire.NewReader(st).Next()
	if err != nil {
		pool.Discard(addr, conn) // the path may be dead
	}
	return answer, err
}
