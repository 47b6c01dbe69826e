package h1

import (
	"bufio"
	"context"
	"sync"
	"time"
)

// maxIdle bounds the idle connections to one upstream.
const maxIdle = 16

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn // most recently used last
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns a connection to address: an idle one that was used at most maxAge ago, or a new one. Older ones stay for
// requests that may use them.
func (p *Pool) Get(ctx context.Context, address string, maxAge time.Duration) (*Conn, error) {
	for {
		c := p.take(address, maxAge)
		if c == nil {
			break
		}
		if c.wake() {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, pool: p, address: address, br: bufio.NewReaderSize(conn, maxHead)}, nil
}

// take removes and returns the connection that was used last; nil if there is none that was used at most maxAge ago.
func (p *Pool) take(address string, maxAge time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if age := time.Since(c.idleAt); age >= maxAge || age >= c.keepFor {
		return nil // the others are older; Sweep closes those that are too old for all
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *Conn) {
	c.idleAt = time.Now()
	c.watchIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[c.address], c)
	if len(list) > maxIdle {
		_ = list[0].Close()
		list = append([]*Conn(nil), list[1:]...)
	}
	p.idle[c.address] = list
}

// Sweep closes idle connections that have been idle too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var keep []*Conn
		for _, c := range list {
			if time.Since(c.idleAt) < c.keepFor {
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
