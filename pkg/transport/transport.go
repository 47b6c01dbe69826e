// Package transport defines connections and streams between the system's processes, and a pool of connections.
package transport

import (
	"context"
	"io"
	"time"
)

// Stream is a bidirectional byte stream inside a connection.
type Stream interface {
	io.Reader
	io.Writer
	// CloseWrite closes the write side; the peer reads io.EOF.
	CloseWrite() error
	// Reset aborts both sides; the peer gets an error.
	Reset()
	// SetReadDeadline bounds pending and future reads.
	SetReadDeadline(t time.Time) error
	// SetWriteDeadline bounds pending and future writes.
	SetWriteDeadline(t time.Time) error
}

// Conn is a mutually authenticated connection. It is safe for concurrent use.
type Conn interface {
	// OpenStream opens a stream. It fails if the connection has ended.
	OpenStream(ctx context.Context) (Stream, error)
	// AcceptStream waits for a stream that the peer opened.
	AcceptStream(ctx context.Context) (Stream, error)
	// PeerID returns the VM id in the peer's certificate.
	PeerID() string
	// RemoteAddr returns the peer's address as "ip:port".
	RemoteAddr() string
	// LocalAddr returns the local address as "ip:port".
	LocalAddr() string
	// Done returns a channel that is closed when the connection has ended.
	Done() <-chan struct{}
	// Close closes the connection and all its streams.
	Close() error
}

// Listener accepts connections.
type Listener interface {
	Accept(ctx context.Context) (Conn, error)
	Addr() string
	Close() error
}

// Transport dials and listens. Each Dial uses a new local port, because network devices on the way may have lost the
// flow entry of the old one.
type Transport interface {
	Dial(ctx context.Context, addr string) (Conn, error)
	Listen(addr string) (Listener, error)
}
