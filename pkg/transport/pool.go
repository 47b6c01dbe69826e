package transport

import (
	"context"
	"sync"
	"time"
)

// dialTimeout bounds one dial. A round trip between regions takes about 24 ms.
const dialTimeout = time.Second

// Pool keeps at most one connection per address.
type Pool struct {
	t     Transport
	mu    sync.Mutex
	conns map[string]*entry
}

// entry is a connection, or a dial in progress that calls of Get wait for.
type entry struct {
	ready chan struct{}
	conn  Conn
	err   error
}

// NewPool returns an empty pool that dials with t.
func NewPool(t Transport) *Pool {
	return &Pool{t: t, conns: map[string]*entry{}}
}

// Get returns the pooled connection to addr or dials a new one. Concurrent calls share one dial.
func (p *Pool) Get(ctx context.Context, addr string) (Conn, error) {
	p.mu.Lock()
	e, ok := p.conns[addr]
	if ok && e.ended() {
		ok = false
	}
	if !ok {
		e = &entry{ready: make(chan struct{})}
		p.conns[addr] = e
		// The dial is shared, so it outlives the call that started it.
		go p.dial(context.WithoutCancel(ctx), addr, e)
	}
	p.mu.Unlock()
	select {
	case <-e.ready:
		return e.conn, e.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool) dial(ctx context.Context, addr string, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	e.conn, e.err = p.t.Dial(ctx, addr)
	if e.err != nil {
		p.remove(addr, e)
	}
	close(e.ready)
}

// Discard removes conn from the pool, so that the next Get dials a new one. Streams on conn continue; the connection is
// closed by its idle timeout or by the code that discards it.
func (p *Pool) Discard(addr string, conn Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.conns[addr]
	if !ok {
		return
	}
	select {
	case <-e.ready: // a dial in progress is another connection, and still writes the entry
		if e.conn == conn {
			delete(p.conns, addr)
		}
	default:
	}
}

// Close closes all pooled connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, e := range p.conns {
		delete(p.conns, addr)
		select {
		case <-e.ready:
			if e.conn != nil {
				_ = e.conn.Close()
			}
		default:
		}
	}
}

func (p *Pool) remove(addr string, e *entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == e {
		delete(p.conns, addr)
	}
}

func (e *entry) ended() bool {
	select {
	case <-e.ready:
	default:
		return false
	}
	if e.conn == nil {
		return true
	}
	select {
	case <-e.conn.Done():
		return true
	default:
		return false
	}
}
