package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

const (
	// maxAnswerBytes bounds an answer that is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// defaultMemory is assumed in bytes if the settings have no memory limit.
	defaultMemory = 512 << 20
	// defaultConnections bounds callers' connections if the settings have no limit on descriptors.
	defaultConnections = 4096
	// firstSegment and nextSegment are the sizes in bytes of the pieces in which a body is read. Most answers fit into
	// the first.
	firstSegment = 2 << 10
	nextSegment  = 32 << 10
	// answerMemoryWait bounds the wait of an answer for its first memory. It covers the end of a stalled transfer. Later
	// pieces do not wait: endless answers that wait for each other hold their memory and delay all others.
	answerMemoryWait = 100 * time.Millisecond
	// writeDeadlineInterval is the least time between two changes of the write deadline of a stream.
	writeDeadlineInterval = time.Second
)

var errAnswerTooLong = errors.New("answer exceeds the limit")

// past is a deadline that ends pending reads and writes.
var past = time.Unix(1, 0)

// clientBounds bound what clients can take from the gateway.
type clientBounds struct {
	// memory is the account of the process's memory.
	memory *membudget.Account
	// maxConnections bounds the callers' connections.
	maxConnections int
}

func defaultClientBounds() clientBounds {
	return clientBounds{memory: membudget.NewAccount(membudget.ForMemory(defaultMemory)), maxConnections: defaultConnections}
}

// SetMemory sets the account of the process's memory. It must be called before the first request.
func (b *clientBounds) SetMemory(account *membudget.Account) { b.memory = account }

// SetBodyMemoryLimit bounds the memory of all buffered bodies, in bytes. It must be called before the first request.
func (b *clientBounds) SetBodyMemoryLimit(bytes int64) {
	b.SetMemory(membudget.NewAccount(membudget.ForHeld(bytes)))
}

// SetMaxConnections bounds the callers' connections. It must be called before NewServer.
func (b *clientBounds) SetMaxConnections(n int) { b.maxConnections = n }

// requestBounds are the state of one request within those bounds.
type requestBounds struct {
	// holder has what is reserved for the request.
	holder *membudget.Holder
	// writeDeadlineSet is when the write deadline was last set.
	writeDeadlineSet time.Time
}

// MemoryUsage returns the state of the account of the process's memory.
func (b *clientBounds) MemoryUsage() membudget.Usage {
	usage, _ := b.memory.Usage()
	return usage
}

// readAnswerBody buffers an answer's body of at most maxAnswerBytes. Memory for each piece is reserved before it is read
// and released when the answer has been written or dropped.
func (c *callerRequest) readAnswerBody(body io.Reader) (inbound.Segments, error) {
	var out inbound.Segments
	read := int64(0)
	for size := int64(firstSegment); ; size = nextSegment {
		wait := answerMemoryWait
		if read > 0 {
			wait = 0
		}
		if err := c.g.memory.ReserveAnswer(c.holder, size, wait, read <= firstSegment); err != nil {
			c.dropAnswer(out)
			return nil, fault.Wrap(err, fault.StepDispatch, "", "read body")
		}
		part, err := fill(body, make([]byte, size))
		read += int64(len(part))
		out = append(out, part)
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			c.dropAnswer(out)
			return nil, fault.Wrap(err, fault.StepDispatch, "", "read body")
		case read > maxAnswerBytes:
			c.dropAnswer(out)
			return nil, fault.Wrap(errAnswerTooLong, fault.StepDispatch, "", "read body")
		}
	}
}

// dropAnswer releases the memory of an answer that is not delivered, which a further attempt may need.
func (c *callerRequest) dropAnswer(body inbound.Segments) {
	n := int64(0)
	for _, part := range body {
		n += int64(cap(part))
	}
	c.g.memory.Release(c.holder, n)
}

// writeAnswerBody writes a buffered answer and releases the memory of what is written. A caller that does not read loses
// its connection when others need the memory, and at the latest after the idle timeout.
func (c *callerRequest) writeAnswerBody(body inbound.Segments) error {
	rc := http.NewResponseController(c.w)
	pace := membudget.NewPace(time.Now(), c.writeTimeout())
	_ = rc.SetWriteDeadline(pace.End)
	if len(body) > 1 { // a single segment stays in the buffers of the connection
		c.g.memory.StartTransfer(c.holder, func() { _ = rc.SetWriteDeadline(past) })
		defer c.g.memory.EndTransfer(c.holder)
	}
	for i, part := range body {
		if _, err := c.w.Write(part); err != nil {
			return err
		}
		n := int64(cap(part))
		body[i] = nil
		c.g.memory.Release(c.holder, n)
		if len(body) == 1 {
			return nil
		}
		pace.Advance(time.Now(), n)
		_ = rc.SetWriteDeadline(pace.End)
		if c.g.memory.Advance(c.holder, n) { // the new deadline may have replaced that of Reclaim
			_ = rc.SetWriteDeadline(past)
			return membudget.ErrFull
		}
	}
	return nil
}

// writeTimeout bounds the time in which a caller takes nothing of an answer: the time for which it may keep a connection
// without a request.
func (c *callerRequest) writeTimeout() time.Duration {
	if cfg := c.g.core.config(); cfg != nil && cfg.Limits.IdleTimeout > 0 {
		return cfg.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// extendWriteDeadline allows the caller the write timeout from now on to take what is written next.
func (c *callerRequest) extendWriteDeadline() {
	now, timeout := time.Now(), c.writeTimeout()
	if now.Sub(c.writeDeadlineSet) < min(writeDeadlineInterval, timeout/4) {
		return
	}
	c.writeDeadlineSet = now
	_ = http.NewResponseController(c.w).SetWriteDeadline(now.Add(timeout))
}

// fill reads until the buffer is full or the reader fails. In contrast to io.ReadFull it returns the reader's own
// error, so a truncated body is not mistaken for a complete one.
func fill(r io.Reader, buf []byte) ([]byte, error) {
	n := 0
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if err != nil {
			return buf[:n], err
		}
	}
	return buf, nil
}

// minStartRetryAfter is the least Retry-After of a process that has no configuration yet: it normally has one
// within about 100 ms. If the store does not answer, Retry-After grows to the time since the start of the process.
const minStartRetryAfter = 250 * time.Millisecond

// startRetryAfter returns the Retry-After while no configuration is available: at most a third of the caller's
// remaining time, which is as long as callers wait before a retry.
func (c *callerRequest) startRetryAfter() time.Duration {
	after := max(minStartRetryAfter, time.Since(c.g.started))
	if c.meta.Timeout > 0 {
		after = min(after, (c.meta.Timeout-time.Since(c.start))/3)
	}
	return max(after, 0)
}
