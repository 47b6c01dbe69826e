package h1

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// maxIdlePerAddress bounds the number of idle connections to one upstream.
	maxIdlePerAddress = 16
	// defaultMaxConns and defaultMaxIdle are the limits of a pool for which none were set.
	defaultMaxConns = 4096
	defaultMaxIdle  = 1024
)

// ErrTooManyConnections is returned when a pool has no place for a new connection, so nothing was sent.
var ErrTooManyConnections = errors.New("too many connections to upstreams")

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn // most recently used last
	// open counts the connections, idleCount those of them that are idle.
	open, idleCount   int
	maxConns, maxIdle int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*Conn{}, maxConns: defaultMaxConns, maxIdle: defaultMaxIdle}
}

// SetLimits bounds the connections, and how many of them may be idle. It must be called before the first Get.
func (p *Pool) SetLimits(conns, idle int) { p.maxConns, p.maxIdle = conns, idle }

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
	if !p.reserve() {
		return nil, fault.Wrap(errors.Join(ErrNotConnected, ErrTooManyConnections), fault.StepDial, address, "connect")
	}
	conn, err := dial(ctx, address)
	if err != nil {
		p.release()
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
	p.idleCount--
	return c
}

// reserve reserves the place of a new connection. If all are taken, it closes an idle connection for it.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxConns {
		p.closeLongestIdle()
	}
	if p.open >= p.maxConns {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeLongestIdle closes the connection that has been idle for longest. The caller holds the lock.
func (p *Pool) closeLongestIdle() {
	oldest := ""
	for address, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].idleSince.Before(p.idle[oldest][0].idleSince)) {
			oldest = address
		}
	}
	if oldest == "" {
		return
	}
	p.dropIdle(p.idle[oldest][0])
	p.idle[oldest] = append([]*Conn(nil), p.idle[oldest][1:]...)
}

// dropIdle closes an idle connection that the caller removes from the list. The caller holds the lock.
func (p *Pool) dropIdle(c *Conn) {
	p.idleCount--
	if !c.closed.Swap(true) {
		p.open--
	}
	_ = c.Conn.Close()
}

func (p *Pool) put(c *Conn) {
	c.idleSince = time.Now()
	c.watchIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[c.address], c)
	p.idleCount++
	if len(list) > maxIdlePerAddress {
		p.dropIdle(list[0])
		list = append([]*Conn(nil), list[1:]...)
	}
	p.idle[c.address] = list
	if p.idleCount > p.maxIdle {
		p.closeLongestIdle()
	}
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
			p.dropIdle(c)
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
