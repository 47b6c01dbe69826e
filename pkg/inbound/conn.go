package inbound

import (
	"container/list"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// conn is an accepted connection. It counts the bytes of heads.
type conn struct {
	*net.TCPConn
	listener *Listener
	address  netip.Addr
	// inHead is set while the connection has no request. headStart is the time of the first byte of the next head in Unix
	// nanoseconds, 0 before it.
	inHead    atomic.Bool
	headBytes atomic.Int64
	headStart atomic.Int64

	// Guarded by the listener's lock.
	since   time.Time     // start of the time without a request
	waiting *list.List    // the listener's list that contains the connection; nil during a request
	element *list.Element // in waiting
	removed bool
}

// Read reads and, while the connection has no request, checks the size of the head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n <= 0 || !c.inHead.Load() {
		return n, err
	}
	if c.headStart.Load() == 0 {
		c.headStart.Store(time.Now().UnixNano())
	}
	limit := c.listener.limits.Load().HeaderBytes
	if limit > 0 && c.headBytes.Add(int64(n)) > int64(limit+headSlack) {
		c.listener.count(CauseHeadSize)
		c.reject(http.StatusRequestHeaderFieldsTooLarge)
		return 0, io.EOF
	}
	return n, err
}

// Write writes within the listener's bound on clients that do not read.
func (c *conn) Write(p []byte) (int, error) {
	if stall := c.listener.options.WriteStall; stall > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(stall))
	}
	return c.TCPConn.Write(p)
}

// reject answers a head that is refused, so that a client of good faith can tell why. Nothing has run.
func (c *conn) reject(status int) {
	_ = c.SetWriteDeadline(time.Now().Add(rejectTimeout))
	text := http.StatusText(status)
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, text, len(text), text)
}

// overdue returns the limit that the connection is past, or "". The caller holds the listener's lock.
func (c *conn) overdue(now time.Time, l *Limits, idle bool) string {
	start := c.headStart.Load()
	switch {
	case !c.inHead.Load():
	case start != 0 && l.HeaderTimeout > 0 && now.Sub(time.Unix(0, start)) >= l.HeaderTimeout:
		return CauseHeadTime
	case start == 0 && idle && l.IdleTimeout > 0 && now.Sub(c.since) >= l.IdleTimeout:
		return CauseIdle
	}
	return ""
}

// Close closes the connection and releases its place and its memory.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
