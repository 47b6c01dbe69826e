package inbound

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

// Errors of bodies that are refused. Nothing has run.
var (
	ErrTooLarge = errors.New("body exceeds the limit")
	ErrTooSlow  = errors.New("body did not arrive in time")
)

const (
	// firstPiece and nextPiece are the sizes of the pieces in which an announced body is read. Bodies of ordinary requests
	// fit into the first.
	firstPiece = 64 << 10
	nextPiece  = 256 << 10
	// firstChunkedPiece and maxChunkedPiece are those of a body without a length; each piece is twice as large as the one
	// before. At most one piece is unused, whatever the sizes of the chunks.
	firstChunkedPiece = 4 << 10
	maxChunkedPiece   = 64 << 10
	// deadlineInterval is the least time between two changes of a connection's deadline.
	deadlineInterval = 500 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read of a refused body, so that its client can read the answer before
	// the connection is closed.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
)

// MemoryWait bounds the waits of a body for memory together: twice the time after which a stalled transfer can be ended for it.
const MemoryWait = 2 * time.Second

// past is a deadline that ends pending reads and writes.
var past = time.Unix(1, 0)

// Segments is a body, split into the pieces in which it was read.
type Segments [][]byte

// Len returns the number of bytes.
func (s Segments) Len() int64 {
	n := int64(0)
	for _, part := range s {
		n += int64(len(part))
	}
	return n
}

// WriteTo writes the body in order.
func (s Segments) WriteTo(w io.Writer) (written int64, err error) {
	for _, part := range s {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// BodyLimits bound the body of one request.
type BodyLimits struct {
	Bytes int64
	// Grace is how long the body may make no progress.
	Grace time.Duration
	// MemoryWait bounds the waits for memory together; 0 means the default.
	MemoryWait time.Duration
}

// body is a body that is being read.
type body struct {
	src     io.Reader
	rc      *http.ResponseController
	account *membudget.Account
	holder  *membudget.Holder
	pace    membudget.Pace
	// waitLeft is what is left of MemoryWait.
	waitLeft time.Duration
	// deadlineSet is when the connection's read deadline was last set.
	deadlineSet time.Time
}

// ReadBody reads the body of a request. Memory for each piece is reserved before it is read and stays with the holder. A
// body that stops is ended when others need its memory, and at the latest after the grace period.
func ReadBody(w http.ResponseWriter, r *http.Request, account *membudget.Account, holder *membudget.Holder, l BodyLimits) (Segments, error) {
	switch {
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > l.Bytes:
		return nil, ErrTooLarge
	}
	rc := http.NewResponseController(w)
	b := &body{src: r.Body, rc: rc, account: account, holder: holder, pace: membudget.NewPace(time.Now(), l.Grace), waitLeft: cmp.Or(l.MemoryWait, MemoryWait)}
	account.StartTransfer(holder, func() { _ = rc.SetReadDeadline(past) })
	out, err := b.read(r.ContentLength, l.Bytes)
	if account.EndTransfer(holder) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, ErrTooSlow
	}
	_ = rc.SetReadDeadline(time.Time{}) // without support for deadlines the read is bounded by the server
	return out, err
}

// read reads a body of the announced length, or until its end if the length is negative.
func (b *body) read(announced, limit int64) (out Segments, err error) {
	total := int64(0)
	for size := pieceSize(announced, 0, 0); ; size = pieceSize(announced, total, size) {
		size = min(size, limit+1-total)
		if err := b.reserve(size); err != nil {
			return nil, err
		}
		part, err := b.fill(make([]byte, size))
		out, total = append(out, part), total+int64(len(part))
		switch {
		case total > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, fault.Wrap(err, fault.StepAdmit, "", "read body")
		}
	}
}

// reserve reserves memory for the next piece.
func (b *body) reserve(size int64) error {
	started := time.Now()
	err := b.account.Reserve(b.holder, size, max(0, b.waitLeft))
	b.waitLeft -= time.Since(started)
	return err
}

// pieceSize returns the size of the next piece after total bytes and a piece of the last size. A body that has all its
// announced bytes gets one more byte, whose read returns the end.
func pieceSize(announced, total, last int64) int64 {
	switch {
	case announced >= 0 && total == 0:
		return min(announced, firstPiece)
	case announced >= 0:
		return max(1, min(announced-total, nextPiece))
	case last == 0:
		return firstChunkedPiece
	}
	return min(2*last, maxChunkedPiece)
}

// fill reads until the buffer is full or the reader fails. In contrast to io.ReadFull it returns the reader's own
// error, so a truncated body is not mistaken for a complete one.
func (b *body) fill(buf []byte) ([]byte, error) {
	n := 0
	for n < len(buf) {
		if now := time.Now(); now.Sub(b.deadlineSet) > deadlineInterval {
			b.deadlineSet = now
			_ = b.rc.SetReadDeadline(b.pace.End)
			if b.account.Advance(b.holder, 0) { // the new deadline may have replaced that of Reclaim
				return buf[:n], ErrTooSlow
			}
		}
		m, err := b.src.Read(buf[n:])
		n += m
		b.pace.Advance(time.Now(), int64(m))
		if b.account.Advance(b.holder, int64(m)) {
			return buf[:n], ErrTooSlow
		}
		if err != nil {
			return buf[:n], err
		}
	}
	return buf, nil
}

// Discard reads the rest of the body of a request that is refused, so that its connection can carry the next one. The
// body is not kept. Its transfer is ended when others need the connection. It reports whether the body is complete.
func Discard(w http.ResponseWriter, r *http.Request, account *membudget.Account, holder *membudget.Holder, timeout time.Duration) bool {
	switch {
	case r.ContentLength == 0:
		return true
	case r.ContentLength > lingerBytes || r.Header.Get("Expect") != "":
		return false
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(timeout))
	account.StartTransfer(holder, func() { _ = rc.SetReadDeadline(past) })
	_, err := io.CopyN(discarded{account, holder}, r.Body, lingerBytes+1)
	if account.EndTransfer(holder) || !errors.Is(err, io.EOF) {
		return false
	}
	_ = rc.SetReadDeadline(time.Time{})
	return true
}

// discarded records the progress of a body that is not kept.
type discarded struct {
	account *membudget.Account
	holder  *membudget.Holder
}

// Write records the bytes.
func (d discarded) Write(p []byte) (int, error) {
	if d.account.Advance(d.holder, int64(len(p))) {
		return 0, ErrTooSlow
	}
	return len(p), nil
}

// Linger reads a bounded part of a body that was refused and was still arriving. A connection that is closed with unread
// bytes is reset, and its client may lose the answer.
func Linger(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return
	}
	_ = rc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, lingerBytes) // the client is told already; nothing depends on the rest
	_ = rc.SetReadDeadline(past)
}
