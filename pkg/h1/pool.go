package h1

import (
	"bufio"
	"context"
	"sync"
	"time"
)

// maxIdlePerAddress bounds the number of idle connections to one upstream.
const maxIdlePerAddress = 16

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn // most recently used last
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns a connection to address: one that has been idle for less than maxAge, or a new one. Connections idle for
// longer stay in the pool for requests with a larger maxAge.
func (p *Pool) Get(ctx context.Context, address string, maxAge time.Duration) (*Conn, error) {
	for {
		c := p.take(address, maxAge)
		if c == nil {
			break
		}
		if c.endIdleRead() {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, pool: p, address: address, br: bufio.NewReaderSize(conn, maxHeadBytes)}, nil
}

// take removes and returns the most recently used connection, or nil if that has been idle for maxAge or longer.
func (p *Pool) take(address string, maxAge time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if age := time.Since(c.idleSince); age >= maxAge || age >= c.idleTimeout {
		return nil // the others are older; Sweep closes those past their idle timeout
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *Conn) {
	c.idleSince = time.Now()
	c.watchIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[c.address], c)
	if len(list) > maxIdlePerAddress {
		_ = list[0].Close()
		list = append([]*Conn(nil), list[1:]...)
	}
	p.idle[c.address] = list
}

// Sweep closes the connections that are past their idle timeout.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var keep []*Conn
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleTimeout {
				keep = append(keep, c)
				continue
			}
			_ = c.Close()
		}
		if len(keep) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = keep
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}
