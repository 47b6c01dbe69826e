package h1

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// writeGrace bounds the wait for the writing goroutine to report its result, which the answer can overtake.
const writeGrace = 5 * time.Millisecond

// requestWrite is the write of a request, which goes on while the answer is read.
type requestWrite struct {
	done chan struct{}
	err  error // valid when done is closed
}

func startWrite(c net.Conn, raw net.Buffers) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, w.err = raw.WriteTo(c)
	}()
	return w
}

// isComplete reports whether the request has been written in full.
func (w *requestWrite) isComplete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
	}
	grace := time.NewTimer(writeGrace)
	defer grace.Stop()
	select {
	case <-w.done:
		return w.err == nil
	case <-grace.C:
		return false
	}
}

// abandon ends the write if it still goes on. It returns the error with which the connection failed before the peer closed
// it, or nil if there is none. EPIPE is the error of a connection that fails after that.
func (w *requestWrite) abandon(c net.Conn) error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails on a closed connection, on which the write ends too
	<-w.done
	if errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) {
		return nil
	}
	return w.err
}
