package agent

import (
	"context"
	"sync"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// maxOutputBytes bounds the part of an answer that is kept for a resume: about 5,000 tokens.
	maxOutputBytes = 1 << 20
	// firstOutputBytes is the part that is kept without a reservation; most answers fit into it.
	firstOutputBytes = 32 << 10
	// maxDataBytes bounds the bytes of one Data frame.
	maxDataBytes = 32 << 10
)

// output buffers the answer of a job. Its readers are the streams attached to the job. It is safe for concurrent use.
type output struct {
	lossy   bool // never block the call: without a reader, drop the oldest bytes
	mu      sync.Mutex
	head    *engine.Head
	base    uint64 // offset of buf[0] in the answer
	buf     []byte
	end     *ending
	readers map[uint64]uint64 // offset reached, by stream
	changed chan struct{}     // closed and replaced at each change
	// capacity bounds buf. It grows to maxOutputBytes as far as the account has memory; holder has what is reserved.
	capacity int
	memory   *membudget.Account // nil once the output is released
	holder   *membudget.Holder
}

// ending is the end of an output. Its refuse is nil if the answer is complete.
type ending struct{ refuse *wire.Refuse }

func newOutput(lossy bool, memory *membudget.Account) *output {
	o := &output{lossy: lossy, readers: map[uint64]uint64{}, changed: make(chan struct{}), capacity: firstOutputBytes, memory: memory}
	o.holder, _ = memory.Open("", 0) // without memory the output keeps its first part only
	return o
}

// release releases the memory of an output whose job is forgotten. Its buffer does not grow any more.
func (o *output) release() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.memory != nil {
		o.memory.Close(o.holder)
		o.memory = nil
	}
}

// grow enlarges the capacity so that n more bytes fit, as far as there is memory. The caller holds the lock.
func (o *output) grow(n int) {
	for o.memory != nil && len(o.buf)+n > o.capacity && o.capacity < maxOutputBytes {
		more := min(o.capacity, maxOutputBytes-o.capacity)
		if o.memory.Reserve(o.holder, int64(more), 0) != nil {
			return
		}
		o.capacity += more
	}
}

func (o *output) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// setHead sets the head once. The head of a later run is the same, or no longer matters.
func (o *output) setHead(h engine.Head) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.head == nil {
		o.head = &h
		o.notify()
	}
}

// length returns the bytes of the answer so far and whether a head or bytes have been received.
func (o *output) length() (n uint64, started bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n = o.base + uint64(len(o.buf))
	return n, o.head != nil || n > 0
}

// allBytes returns a copy of all bytes so far, or false if some have been dropped.
func (o *output) allBytes() ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]byte{}, o.buf...), o.base == 0
}

// append adds bytes. While the buffer is full, it blocks until the slowest reader has made progress, which limits the
// call to the speed of that reader.
func (o *output) append(ctx context.Context, b []byte) error {
	for {
		o.mu.Lock()
		if o.makeSpace(len(b)) {
			o.buf = append(o.buf, b...)
			o.notify()
			o.mu.Unlock()
			return nil
		}
		changed := o.changed
		o.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// makeSpace drops bytes that all readers have read until n more fit, and reports whether they do.
func (o *output) makeSpace(n int) bool {
	o.grow(n)
	excess := len(o.buf) + n - o.capacity
	if excess <= 0 {
		return true
	}
	if len(o.readers) == 0 && !o.lossy {
		return false
	}
	drop := uint64(min(excess, len(o.buf)))
	for _, pos := range o.readers {
		if pos < o.base+drop {
			return false
		}
	}
	o.buf = append([]byte(nil), o.buf[drop:]...)
	o.base += drop
	return true
}

// finish ends the output.
func (o *output) finish(refuse *wire.Refuse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.end == nil {
		o.end = &ending{refuse: refuse}
		o.notify()
	}
}

// errDropped is returned when bytes of an answer are no longer kept.
var errDropped = fault.New(fault.StepStream, "", "the answer from the offset on is no longer kept")

// part is the next part of an output for a reader.
type part struct {
	head    *engine.Head
	bytes   []byte
	end     *ending // nil while more bytes may follow
	changed <-chan struct{}
}

// read returns the part that follows offset, copied into buf, and records the reader's progress.
func (o *output) read(stream, offset uint64, buf []byte) (part, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	length := o.base + uint64(len(o.buf))
	if offset < o.base || offset > length {
		return part{}, errDropped
	}
	if old, ok := o.readers[stream]; !ok || old != offset {
		o.readers[stream] = offset
		if len(o.buf) >= o.capacity/2 {
			o.notify() // append may be blocked on a full buffer
		}
	}
	n := copy(buf, o.buf[offset-o.base:])
	p := part{head: o.head, bytes: buf[:n], changed: o.changed}
	if offset+uint64(n) == length {
		p.end = o.end
	}
	return p, nil
}

func (o *output) removeReader(stream uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.readers, stream)
	o.notify()
}
