// Package h1 sends requests to upstreams over HTTP/1.1. In contrast to net/http's transport it never sends a request
// twice, its errors tell whether a byte of the request may have been sent, and it takes neither a malformed head for an
// answer nor the failure of a connection for the end of one.
package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// dialTimeout bounds the set-up of a connection: some ten round trips between regions. If an upstream accepts no
	// connection in this time, the request is retried at another one.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection
	// (TCP_USER_TIMEOUT).
	ackTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect within two seconds that the peer of a connection
	// without traffic is gone.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// receiveBuffer is the kernel's receive buffer in bytes; the kernel doubles it for its own structures. Received bytes
	// that the process has not read, because the caller of a stream reads slowly, count toward its memory. An answer of
	// 100 kB from another region (24 ms) takes two more round trips than with a large buffer.
	receiveBuffer = 32 << 10
	// defaultIdleTimeout is the idle timeout of a connection if the upstream announces none.
	defaultIdleTimeout = 2 * time.Second
	// idleMargin is subtracted from the upstream's idle timeout, so that a request is not sent while the upstream closes
	// the connection.
	idleMargin = 700 * time.Millisecond
)

// ErrNotConnected is returned when no connection was established, so nothing was sent.
var ErrNotConnected = errors.New("upstream not connected")

// Request is a request to an upstream.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	// Body is the body in pieces, which are written in order and not changed.
	Body [][]byte
}

// encode returns the head and the pieces of the body, which are not copied.
func (r *Request) encode() net.Buffers {
	length := 0
	for _, part := range r.Body {
		length += len(part)
	}
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	out := make(net.Buffers, 0, 1+len(r.Body))
	return append(append(out, b.Bytes()), r.Body...)
}

// Conn is a connection to an upstream that carries one request at a time.
type Conn struct {
	net.Conn
	pool        *Pool
	address     string
	br          *bufio.Reader
	write       *requestWrite // of the current request
	idleRead    chan error    // result of the read that watches the idle connection
	idleSince   time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
	// Reused reports whether the connection has carried a request before.
	Reused bool
}

// Close closes the connection.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.release()
	}
	return c.Conn.Close()
}

// Abort resets the connection of a request that is given up. After Close the kernel would go on to deliver what has been
// written, to an upstream that does not read at the moment or is behind a partition.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a connection that is closed already
	}
	_ = c.Close()
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var serr error
			err := raw.Control(func(fd uintptr) {
				serr = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds())),
					unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer))
			})
			return errors.Join(err, serr)
		},
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fault.Wrap(errors.Join(ErrNotConnected, err), fault.StepDial, address, "connect")
	}
	return c, nil
}

// Send starts to write a request. The answer may be read before the request is written in full.
func (c *Conn) Send(r *Request) { c.write = startWrite(c.Conn, r.encode()) }

// Release returns the connection to the pool after the complete answer has been read. It closes a connection that
// cannot carry another request: the upstream closes it, unread bytes remain, or the request is not written in full.
func (c *Conn) Release(resp *http.Response) {
	if !c.write.isComplete() || resp.Close || c.br.Buffered() > 0 || IsUnframed(resp) {
		_ = c.Close()
		return
	}
	c.idleTimeout = idleTimeoutOf(resp.Header)
	if c.idleTimeout <= 0 {
		_ = c.Close()
		return
	}
	c.pool.put(c)
}

// IsOpen reports whether nothing has arrived on a connection that carries no request, neither bytes nor its end.
func (c *Conn) IsOpen() bool { return c.br.Buffered() == 0 && c.isQuiet() }

// Return returns a connection to the pool that has carried no request since Get.
func (c *Conn) Return() {
	if !c.IsOpen() {
		_ = c.Close()
		return
	}
	if c.idleTimeout <= 0 {
		c.idleTimeout = defaultIdleTimeout - idleMargin
	}
	c.pool.put(c)
}

// idleTimeoutOf returns the idle timeout that the Keep-Alive header announces, less the margin.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout - idleMargin
}

// watchIdle reads while the connection is idle: EOF or a byte that belongs to no request makes it unusable.
func (c *Conn) watchIdle() {
	c.idleRead = make(chan error, 1)
	_ = c.SetReadDeadline(time.Time{})
	go func(done chan<- error) {
		_, err := c.br.Peek(1)
		done <- err
	}(c.idleRead)
}

// endIdleRead ends the read that watches an idle connection and reports whether the connection is usable.
func (c *Conn) endIdleRead() bool {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	err := <-c.idleRead
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.br.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil && c.isQuiet()
}

// isQuiet reports whether nothing has arrived that the process has not read, neither bytes nor the end of the connection.
// The read that watches the idle connection may end by its deadline before it has seen them.
func (c *Conn) isQuiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var rerr error
	err = raw.Read(func(fd uintptr) bool {
		_, rerr = unix.Read(int(fd), make([]byte, 1)) // a connection of which it takes a byte is not used again
		return true
	})
	return err == nil && errors.Is(rerr, unix.EAGAIN)
}
