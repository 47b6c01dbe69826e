package router

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// queryTimeout bounds reading a peer's query and replying to it.
const queryTimeout = time.Second

// connect returns the pooled connection to an agent. Agents send their queries over the connections that routers dial,
// because routers have no address that peers can dial.
func (r *Router) connect(ctx context.Context, addr string) (transport.Conn, error) {
	conn, err := r.pool.Get(ctx, addr)
	if err != nil || r.opts.Reply == nil {
		return conn, err
	}
	if _, served := r.servedConns.LoadOrStore(conn, struct{}{}); !served {
		go r.serveQueries(conn)
	}
	return conn, nil
}

// serveQueries replies to the agent's queries one at a time until the connection ends.
func (r *Router) serveQueries(conn transport.Conn) {
	defer r.servedConns.Delete(conn)
	for {
		st, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		r.replyToQuery(st)
	}
}

func (r *Router) replyToQuery(st transport.Stream) {
	defer st.Reset()
	deadline := time.Now().Add(queryTimeout)
	_ = st.SetReadDeadline(deadline)
	_ = st.SetWriteDeadline(deadline)
	m, err := wire.NewReader(st).Next()
	if err != nil {
		return
	}
	if reply := r.opts.Reply(m); reply != nil && wire.Write(st, reply) == nil {
		_ = st.CloseWrite()
		var end [1]byte
		_, _ = st.Read(end[:]) // a reset before the peer has closed its side could overtake the reply
	}
}

// Query sends one message to a peer on a new stream and returns the reply.
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
	reply, err := wire.NewReader(st).Next()
	if err != nil {
		pool.Discard(addr, conn) // the path may be dead
	}
	return reply, err
}
