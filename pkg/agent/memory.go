package agent

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// sessionBytes is what a peer's session takes besides its streams: the state of QUIC and TLS and small windows.
	sessionBytes = 128 << 10
	// streamMemoryWait bounds the wait of a stream for memory. Nothing has run when it ends.
	streamMemoryWait = 2 * time.Second
	// defaultMemory is assumed in bytes if the process has no memory limit.
	defaultMemory = 512 << 20
)

// trackedStream records the bytes that a peer has sent as the progress of the stream's transfer.
type trackedStream struct {
	transport.Stream
	memory *membudget.Account
	holder *membudget.Holder
}

// Read reads from the stream.
func (t *trackedStream) Read(p []byte) (int, error) {
	n, err := t.Stream.Read(p)
	t.memory.Advance(t.holder, int64(n))
	return n, err
}

// readFirst reads the first frame of a stream. Its memory, which is the largest of a stream, is reserved before it is
// read, and a frame that stops is ended when others need its memory.
func (a *Agent) readFirst(st transport.Stream, rd *wire.Reader, holder *membudget.Holder) (wire.Message, error) {
	rd.SetReserve(func(n int) error {
		return a.memory.Reserve(holder, int64(n), streamMemoryWait)
	})
	a.memory.StartTransfer(holder, func() { _ = st.SetReadDeadline(time.Unix(1, 0)) })
	first, err := rd.Next()
	if a.memory.EndTransfer(holder) && err == nil {
		err = membudget.ErrFull
	}
	return first, err
}
