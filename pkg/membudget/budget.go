// Package membudget keeps the account of the memory that a process holds for others: the bodies of requests and answers,
// requests in progress and connections with their buffers. Budget decides and takes the time as an argument; Account
// makes it safe for concurrent use and lets reservations wait.
package membudget

import (
	"slices"
	"time"
)

// Limits are the sections of the account in bytes.
type Limits struct {
	// Connections bounds what connections take, Held what holders have reserved.
	Connections, Held int64
	// Large bounds, within Held, what holders have reserved beyond Common bytes each. The rest of Held is the guaranteed
	// part: it serves requests of common size, whatever large ones hold.
	Large, Common int64
	// Answers is the part of Held that only the first parts of answers may take.
	Answers int64
	// Request is the memory of a request in progress besides its bodies.
	Request int64
}

const (
	// connectionShare and heldShare are shares of the process's memory. The other half is for the program and its own
	// state, for garbage that has not been collected yet, and for the buffers of connections to upstreams.
	connectionShare, heldShare = 0.25, 0.25
	// largeShare is the share of Held that holders may reserve beyond Common.
	largeShare = 0.5
	// answersShare is the inverse of the share of Held for the first parts of answers, 34 KiB each: 132 with 144 MB.
	answersShare = 8
	// maxCommon bounds Common. Bodies of ordinary requests have up to 110,000 bytes.
	maxCommon = 128 << 10
	// guaranteedHolders is the number of holders whose common bytes fit into the guaranteed part.
	guaranteedHolders = 128
	// requestBytes is what a request in progress takes besides its bodies: the connection to the upstream with its read
	// buffer (16 KiB) and the kernel's (32 KiB at most), goroutines and headers.
	requestBytes = 48 << 10
	// addressShare is the share of the large section that one client address may hold once half of the section is in use.
	// All callers may come from one address, so it does not apply before.
	addressShare = 0.75
)

// ForMemory returns the limits of a process that has the given memory in bytes.
func ForMemory(bytes int64) Limits {
	l := ForHeld(int64(heldShare * float64(bytes)))
	l.Connections, l.Request, l.Answers = int64(connectionShare*float64(bytes)), requestBytes, l.Held/answersShare
	return l
}

// ForHeld returns limits for holders alone.
func ForHeld(bytes int64) Limits {
	large := int64(largeShare * float64(bytes))
	return Limits{Held: bytes, Large: large, Common: min(maxCommon, (bytes-large)/guaranteedHolders)}
}

const (
	// stallGrace is how long a transfer may make no progress before its memory can be reclaimed for others. Ordinary
	// clients are milliseconds away; on a link of 10 Mbit/s 100 of them that send 55 kB each take 4 s together.
	stallGrace = time.Second
	// MinRate is the least rate of a transfer in bytes per second. 200 clients that share a link of 10 Mbit/s get 6,000
	// each.
	MinRate = 4 << 10
)

// Pace decides whether a transfer is fast enough. Bytes that were transferred extend its end at the least rate, up to the
// grace period from now, so that neither a fast start nor single bytes keep a transfer alive that has stopped.
type Pace struct {
	Grace time.Duration
	// End is the time at which the transfer is too slow.
	End time.Time
}

// NewPace returns the pace of a transfer that starts now.
func NewPace(now time.Time, grace time.Duration) Pace { return Pace{Grace: grace, End: now.Add(grace)} }

// Advance records n transferred bytes.
func (p *Pace) Advance(now time.Time, n int64) {
	end := p.End.Add(time.Duration(n) * time.Second / MinRate)
	if latest := now.Add(p.Grace); end.After(latest) {
		end = latest
	}
	p.End = end
}

// Holder is one request with what is reserved for it.
type Holder struct {
	address   string
	bytes     int64
	base      int64 // part of bytes that is not for bodies
	pace      Pace
	end       func() // ends the transfer in progress; nil if there is none that may be ended
	ended     bool   // end was called
	answering bool   // the reservation is for the first part of an answer
	waiting   bool   // the transfer waits for memory, not for its peer
}

// large returns what a holder has beyond the common size if it has reserved bytes.
func (b *Budget) large(h *Holder, bytes int64) int64 { return max(0, bytes-h.base-b.limits.Common) }

// Budget is the pure account. It is not safe for concurrent use.
type Budget struct {
	limits                         Limits
	connections, held, largeHeld   int64
	endedHeld, endedLarge          int64 // parts of held and largeHeld whose holders have been ended
	largeByAddress                 map[string]int64
	transfers                      map[*Holder]struct{} // holders whose transfer may be ended
	peakConnections, peakHeldBytes int64
}

// NewBudget returns an empty account.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, largeByAddress: map[string]int64{}, transfers: map[*Holder]struct{}{}}
}

// ReserveConnection reserves memory for a connection.
func (b *Budget) ReserveConnection(n int64) bool {
	if b.connections+n > b.limits.Connections {
		return false
	}
	b.connections += n
	b.peakConnections = max(b.peakConnections, b.connections)
	return true
}

// ReleaseConnection releases the memory of a connection.
func (b *Budget) ReleaseConnection(n int64) { b.connections -= n }

// Open returns a holder for a client address and reserves the memory of a request in progress. It returns false if
// there is none.
func (b *Budget) Open(address string) (*Holder, bool) {
	h := &Holder{address: address, base: b.limits.Request}
	return h, b.Reserve(h, h.base)
}

// Reserve reserves n bytes and reports whether they are available. Common bytes may take all that is free. Large ones
// may take at most as much as is free in their section, so n holders that grow without end take n/(n+1) of it.
func (b *Budget) Reserve(h *Holder, n int64) bool {
	held, large := b.missing(h, n)
	if held > 0 || large > 0 || h.ended {
		return false
	}
	b.add(h, n)
	return true
}

// missing returns by how much n bytes for the holder exceed what is free of all and of the large section.
func (b *Budget) missing(h *Holder, n int64) (held, large int64) {
	limit := b.limits.Held
	if !h.answering {
		limit -= b.limits.Answers
	}
	held = max(0, b.held+n-limit)
	own := b.large(h, h.bytes+n)
	if more := own - b.large(h, h.bytes); more > 0 {
		large = max(0, own-(b.limits.Large-b.largeHeld))
		if b.largeHeld+more > b.limits.Large/2 {
			large = max(large, b.largeByAddress[h.address]+more-int64(addressShare*float64(b.limits.Large)))
		}
	}
	return held, large
}

func (b *Budget) add(h *Holder, n int64) {
	more := b.large(h, h.bytes+n) - b.large(h, h.bytes)
	h.bytes += n
	b.held += n
	b.largeHeld += more
	b.peakHeldBytes = max(b.peakHeldBytes, b.held)
	if h.ended {
		b.endedHeld += n
		b.endedLarge += more
	}
	if more == 0 {
		return
	}
	if b.largeByAddress[h.address] += more; b.largeByAddress[h.address] == 0 {
		delete(b.largeByAddress, h.address)
	}
}

// Release releases n bytes of the holder.
func (b *Budget) Release(h *Holder, n int64) { b.add(h, -n) }

// Close releases all that the holder has.
func (b *Budget) Close(h *Holder) {
	b.EndTransfer(h)
	b.add(h, -h.bytes)
}

// StartTransfer records that the holder waits for its peer from now on and that end ends the wait.
func (b *Budget) StartTransfer(now time.Time, h *Holder, end func()) {
	h.pace, h.end = NewPace(now, stallGrace), end
	b.transfers[h] = struct{}{}
}

// EndTransfer records that the holder no longer waits for its peer. It reports whether the transfer was ended by Reclaim.
func (b *Budget) EndTransfer(h *Holder) bool {
	delete(b.transfers, h)
	return h.ended
}

// Advance records n bytes that the holder's transfer has moved.
func (b *Budget) Advance(now time.Time, h *Holder, n int64) { h.pace.Advance(now, n) }

// Reclaim ends stalled transfers, those that free most first, until n bytes for the holder would fit. It returns the
// number of transfers that it has ended. Their memory is free when their holders have been closed.
func (b *Budget) Reclaim(now time.Time, h *Holder, n int64) int {
	held, large := b.missing(h, n)
	return b.endStalled(now, held-b.endedHeld, large-b.endedLarge)
}

// Relieve ends stalled transfers while more than three quarters of the account or of the large section are in use, so
// that the next requests need not wait for it.
func (b *Budget) Relieve(now time.Time) int {
	return b.endStalled(now, b.held-b.endedHeld-b.limits.Held*3/4, b.largeHeld-b.endedLarge-b.limits.Large*3/4)
}

// EndStalled ends one stalled transfer, whatever is free, because others need its connection.
func (b *Budget) EndStalled(now time.Time) int { return b.endStalled(now, 1, 0) }

func (b *Budget) endStalled(now time.Time, held, large int64) (ended int) {
	if held <= 0 && large <= 0 {
		return 0
	}
	var stalled []*Holder
	for h := range b.transfers {
		if !h.ended && !h.waiting && !now.Before(h.pace.End) {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(x, y *Holder) int { return int(y.bytes - x.bytes) })
	for _, h := range stalled {
		own := b.large(h, h.bytes)
		if held <= 0 && (large <= 0 || own == 0) {
			continue
		}
		h.ended = true
		b.endedHeld += h.bytes
		b.endedLarge += own
		held, large = held-h.bytes, large-own
		ended++
		h.end()
	}
	return ended
}

// Usage is the state of the account in bytes.
type Usage struct{ Connections, Held, Large, PeakConnections, PeakHeld int64 }

// Usage returns the state of the account.
func (b *Budget) Usage() Usage {
	return Usage{Connections: b.connections, Held: b.held, Large: b.largeHeld, PeakConnections: b.peakConnections, PeakHeld: b.peakHeldBytes}
}
