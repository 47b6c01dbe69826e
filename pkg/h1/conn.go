// Package h1 sends requests to upstreams over HTTP/1.1. In contrast to net/http's transport it never sends a request
// twice and says whether a byte of a request has left.
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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// dialTimeout bounds the set-up of a connection: some ten round trips between regions. An upstream that accepts no
	// connection within it is tried elsewhere.
	dialTimeout = 300 * time.Millisecond
	// unacked is how long sent bytes may stay unacknowledged before the connection counts as dead.
	unacked = 2 * time.Second
	// probeIdle, probeInterval and probeCount detect within two seconds that the far end of a silent connection is gone.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// defaultIdle is how long an idle connection is kept if the upstream does not say; idleMargin is kept clear of what
	// it says, so that a request does not cross the close.
	defaultIdle = 2 * time.Second
	// writtenGrace is the time in which the writing goroutine tells that it is done: the answer can overtake it.
	writtenGrace = 5 * time.Millisecond
	idleMargin   = 700 * time.Millisecond
)

// ErrNotConnected means that no connection was established, so nothing was sent.
var ErrNotConnected = errors.New("upstream not connected")

// Request is a request to an upstream.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Conn is a connection to an upstream that carries one request at a time.
type Conn struct {
	net.Conn
	pool    *Pool
	address string
	br      *bufio.Reader
	written chan error // result of the write of the current request
	idle    chan error // result of the read while idle
	idleAt  time.Time
	keepFor time.Duration
	// Reused says that the connection has carried a request before.
	Reused bool
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var serr error
			err := raw.Control(func(fd uintptr) {
				serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
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

// Send starts to send a request. The answer may be read before all of the request is written.
func (c *Conn) Send(r *Request) {
	c.written = make(chan error, 1)
	raw := r.encode()
	go func(done chan<- error) {
		_, err := c.Write(raw)
		done <- err
	}(c.written)
}

// Release returns the connection to the pool after the whole answer was read, or closes it if it cannot carry another
// request: the upstream closes it, bytes are left over, or the request is not written in full.
func (c *Conn) Release(resp *http.Response) {
	if !c.isWritten() || resp.Close || c.br.Buffered() > 0 || resp.ContentLength < 0 && !isChunked(resp) {
		_ = c.Close()
		return
	}
	c.keepFor = keepTime(resp.Header)
	if c.keepFor <= 0 {
		_ = c.Close()
		return
	}
	c.pool.put(c)
}

// isWritten reports whether the request was written in full.
func (c *Conn) isWritten() bool {
	select {
	case err := <-c.written:
		return err == nil
	default:
	}
	grace := time.NewTimer(writtenGrace)
	defer grace.Stop()
	select {
	case err := <-c.written:
		return err == nil
	case <-grace.C:
		return false
	}
}

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

func keepTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(value); ok && err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle - idleMargin
}

// watchIdle reads while the connection is idle: an end or a byte without a request makes it unusable.
func (c *Conn) watchIdle() {
	c.idle = make(chan error, 1)
	_ = c.SetReadDeadline(time.Time{})
	go func(done chan<- error) {
		_, err := c.br.Peek(1)
		done <- err
	}(c.idle)
}

// wake ends the read of an idle connection and reports whether the connection is usable.
func (c *Conn) wake() bool {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	err := <-c.idle
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.br.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}
