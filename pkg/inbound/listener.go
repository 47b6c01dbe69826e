// Package inbound bounds what clients that are not trusted can take from a process: connections, descriptors, heads and
// bodies.
package inbound

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

const (
	// receiveBuffer is the kernel's receive buffer of a connection in bytes; the kernel doubles it for its own structures.
	// Received bytes that the process has not read count toward its memory. A window of this size carries 64 Mbit/s at a
	// round trip of 2 ms, and bodies of ordinary requests need no more round trips than with TCP's slow start.
	receiveBuffer = 16 << 10
	// sendBuffer is the kernel's send buffer, so that answers which a client does not read stay in the account.
	sendBuffer = 64 << 10
	// ConnectionBytes is what a connection without a request takes at most: goroutines and buffers of net/http (24 KiB),
	// a head (16 KiB) and the kernel's receive buffer.
	ConnectionBytes = 24<<10 + 16<<10 + 2*receiveBuffer
	// minWait is how long a connection without a request is safe from being closed for a new one.
	minWait = 100 * time.Millisecond
	// addressShare is the share of the connections that one client address may have. All callers may come from one
	// address, so it is close to all.
	addressShare = 0.9
	// headSlack is what net/http may read beyond a head into its buffer.
	headSlack = 4 << 10
	// rejectTimeout bounds the write of an answer to a head that is refused.
	rejectTimeout = 50 * time.Millisecond
)

// Limits bound connections while they have no request.
type Limits struct {
	// HeaderBytes bounds a head; HeaderTimeout bounds the time from its first to its last byte; IdleTimeout bounds the
	// time between two requests. 0 means no bound.
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// Causes for which a listener closes connections.
const (
	CauseTooMany  = "too_many"
	CauseEvicted  = "evicted"
	CauseHeadSize = "head_size"
	CauseHeadTime = "head_time"
	CauseIdle     = "idle"
)

// Options are the bounds of a listener.
type Options struct {
	// Connections bounds the open connections. Account, if not nil, has to have memory for each.
	Connections int
	Account     *membudget.Account
	// Limits returns the limits on connections without a request, which may change at any time.
	Limits func() Limits
	// WriteStall bounds the time in which a client takes nothing of an answer; 0 leaves it to the handler.
	WriteStall time.Duration
}

// Listener accepts a bounded number of TCP connections. If it is full, it closes the connection that has been without a
// request for longest, or else the new one at once.
type Listener struct {
	*net.TCPListener
	options Options
	limits  atomic.Pointer[Limits]

	mu        sync.Mutex
	conns     int
	byAddress map[netip.Addr]int
	// fresh and idle are the *conn without a request, the longest first: those that have had none yet, and the others.
	fresh, idle *list.List
	closed      map[string]int
}

// Listen listens at a TCP address.
func Listen(address string, o Options) (*Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var errs error
		err := raw.Control(func(fd uintptr) { // accepted connections inherit the sizes
			errs = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer))
		})
		return errors.Join(err, errs)
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, address, "listen")
	}
	l := &Listener{TCPListener: ln.(*net.TCPListener), options: o, byAddress: map[netip.Addr]int{}, fresh: list.New(), idle: list.New(), closed: map[string]int{}}
	l.refreshLimits()
	return l, nil
}

func (l *Listener) refreshLimits() {
	limits := l.options.Limits()
	l.limits.Store(&limits)
}

// Accept returns the next connection within the bounds.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close()
	}
}

func (l *Listener) admit(tcp *net.TCPConn) *conn {
	address := netip.Addr{}
	if remote, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		address = remote.AddrPort().Addr().Unmap()
	}
	c := &conn{TCPConn: tcp, listener: l, address: address, since: time.Now()}
	c.inHead.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reserve(address) {
		if !l.evict(c.since, address) || !l.reserve(address) {
			l.closed[CauseTooMany]++
			if l.options.Account != nil {
				l.options.Account.EndStalled() // makes a place for the next one
			}
			return nil
		}
	}
	l.conns++
	l.byAddress[address]++
	l.startWaiting(c, l.fresh)
	return c
}

// reserve reserves the place and the memory of a connection. The caller holds the lock.
func (l *Listener) reserve(address netip.Addr) bool {
	if l.conns >= l.options.Connections || l.isAddressFull(address) {
		return false
	}
	return l.options.Account == nil || l.options.Account.ReserveConnection(ConnectionBytes)
}

// isAddressFull reports whether a client address has all connections that it may have. The caller holds the lock.
func (l *Listener) isAddressFull(address netip.Addr) bool {
	return float64(l.byAddress[address]+1) > max(1, addressShare*float64(l.options.Connections))
}

// evict closes the connection that has been without a request for longest. An idle one is closed only if all others are
// in use, since its client may be sending a request. For a client address at its own bound, only a connection of that
// address is closed: that of another one would make no place for it. The caller holds the lock.
func (l *Listener) evict(now time.Time, address netip.Addr) bool {
	ownOnly := l.isAddressFull(address)
	for _, waiting := range []*list.List{l.fresh, l.idle} {
		for e := waiting.Front(); e != nil && now.Sub(e.Value.(*conn).since) >= minWait; e = e.Next() {
			if c := e.Value.(*conn); !ownOnly || c.address == address {
				l.close(c, CauseEvicted)
				return true
			}
		}
	}
	return false
}

// close closes a connection without a request. The caller holds the lock.
func (l *Listener) close(c *conn, cause string) {
	l.remove(c)
	l.closed[cause]++
	if cause == CauseHeadTime {
		c.reject(http.StatusRequestTimeout)
	}
	_ = c.TCPConn.Close()
}

// startWaiting records that a connection has no request. The caller holds the lock.
func (l *Listener) startWaiting(c *conn, waiting *list.List) {
	if !c.removed && c.waiting == nil {
		c.waiting, c.element = waiting, waiting.PushBack(c)
	}
}

// stopWaiting records that a connection has a request or is closed. The caller holds the lock.
func (l *Listener) stopWaiting(c *conn) {
	if c.waiting != nil {
		c.waiting.Remove(c.element)
		c.waiting, c.element = nil, nil
	}
}

// remove releases what a connection takes. The caller holds the lock.
func (l *Listener) remove(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	l.conns--
	if l.byAddress[c.address]--; l.byAddress[c.address] == 0 {
		delete(l.byAddress, c.address)
	}
	l.stopWaiting(c)
	if l.options.Account != nil {
		l.options.Account.ReleaseConnection(ConnectionBytes)
	}
}

// RecordState records a change of a connection's state. It is the ConnState hook of the server.
func (l *Listener) RecordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stopWaiting(c)
	case http.StateIdle:
		c.headBytes.Store(0)
		c.headStart.Store(0)
		c.inHead.Store(true)
		l.mu.Lock()
		defer l.mu.Unlock()
		c.since = time.Now()
		l.startWaiting(c, l.idle)
	}
}

// Sweep closes the connections that are past a limit.
func (l *Listener) Sweep(now time.Time) {
	l.refreshLimits()
	limits := l.limits.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, waiting := range []*list.List{l.fresh, l.idle} {
		for e := waiting.Front(); e != nil; {
			c, next := e.Value.(*conn), e.Next()
			if cause := c.overdue(now, limits, waiting == l.idle); cause != "" {
				l.close(c, cause)
			}
			e = next
		}
	}
}

// TakeClosed returns the number of connections closed since the last call, by cause, and the number of open ones.
func (l *Listener) TakeClosed() (byCause map[string]int, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byCause, l.closed = l.closed, map[string]int{}
	return byCause, l.conns
}

func (l *Listener) count(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed[cause]++
}
