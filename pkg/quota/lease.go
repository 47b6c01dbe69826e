package quota

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// LeaseTime is how long a holder may grant after the start of the write that renewed its lease. It is as long as two
	// renewals, so that one lost answer of the store does not end the lease.
	LeaseTime = 2 * time.Second
	// renewInterval is the time between two renewals: about 63 writes per minute for each shard. A write without an answer
	// leaves time for two more.
	renewInterval = 950 * time.Millisecond
	// earlyRenewInterval is that time while a tenant has used much of what may be granted between two renewals. A burst of
	// a whole limit takes six early renewals.
	earlyRenewInterval = 100 * time.Millisecond
	// retryInterval is the time after a failed write until the next one; each further failure doubles it up to
	// maxRetryInterval. failedReadInterval is the least time after a failed read until the next one.
	retryInterval, maxRetryInterval = 100 * time.Millisecond, 1600 * time.Millisecond
	failedReadInterval              = time.Second
	// takeOverDelay is how long an object must not have changed before another process takes over. The margin covers
	// clocks that run at different rates.
	takeOverDelay = LeaseTime + LeaseTime/50
	// rankDelay is the additional delay of each further candidate, so that they do not write at the same moment.
	rankDelay = 100 * time.Millisecond
	// WriteTimeout bounds one write of a lease. The store answers within some milliseconds.
	WriteTimeout = 350 * time.Millisecond
	// Candidates is the number of processes that follow a shard's object closely, and Reserves the number of those that
	// follow it rarely, in case the candidates' processes have ended while their upstreams are still listed.
	Candidates, Reserves = 2, 3
	// candidateInterval, reserveInterval and alertInterval are the times between two reads of the objects: of a candidate,
	// of a reserve, and of either after a read has shown that the object has not changed for alertAfter.
	candidateInterval = time.Second
	reserveInterval   = 4 * time.Second
	alertInterval     = 250 * time.Millisecond
	alertAfter        = 1050 * time.Millisecond
)

// LeaseSpec is the content of a shard's lease object.
type LeaseSpec struct {
	// Node is the VM and Process the process that wrote the object.
	Node    string `json:"node"`
	Process uint64 `json:"process"`
	// Seq counts the writes of the process, since the store ignores a write that changes nothing.
	Seq uint64 `json:"seq"`
	// Era is that of the store at the write. One before that of the object means that the object comes from a copy.
	Era   uint64 `json:"era,omitempty"`
	State State  `json:"state"`
}

// Stored is a lease object as read from the store. Revision is 0 if there is none. Era rises when the store is restored from
// an earlier copy; revisions of a later era are larger.
type Stored struct {
	Revision, Era uint64
	Spec          LeaseSpec
}

// LeaseWrite is a conditional write of a lease object. It succeeds only if the object has the revision Expect; 0 creates
// the object.
type LeaseWrite struct {
	Expect uint64
	Spec   LeaseSpec
	era    uint64 // that of the object with the revision Expect
	start  boottime.Instant
	mark   Mark
}

// Lease decides when a process reads and writes the lease object of one shard, and whether it may grant. It is not safe
// for concurrent use. At most one write is in progress at a time.
type Lease struct {
	shard   int
	node    string
	process uint64
	window  time.Duration
	seq     uint64

	stored Stored
	read   bool             // the object has been read
	readAt boottime.Instant // last successful read
	// failedAt is the time of the last failed read.
	failedAt boottime.Instant
	sinceAt  boottime.Instant // when the stored revision was first known

	holder  *Holder
	until   boottime.Instant // end of the lease
	writing bool
	nextAt  boottime.Instant // earliest time of the next write
	retryIn time.Duration    // delay after the next failed write; 0 for the least
	wroteAt boottime.Instant // start of the last confirmed write
	// unresolved are the writes whose outcome is not known, by their number.
	unresolved map[uint64]LeaseWrite
	released   bool

	// restoredAt is when the last restore of the store became known; 0 if there was none. What was granted since the copy is
	// known to the process only that held the shard last. It writes its state again from resumeAt on. Unless that has been
	// seen, all others wait for a window, after which no earlier grant counts.
	restoredAt, resumeAt boottime.Instant
	resumed              bool // the state has been written since the restore
}

// NewLease returns the lease of a shard that the process on the node does not hold. A window of 0 stands for DefaultWindow.
func NewLease(shard int, node string, process uint64, window time.Duration) *Lease {
	if window <= 0 {
		window = DefaultWindow
	}
	return &Lease{shard: shard, node: node, process: process, window: window, unresolved: map[uint64]LeaseWrite{}}
}

// Holder returns the holder, or nil if the process may not grant now.
func (l *Lease) Holder(now boottime.Instant) *Holder {
	if l.holder == nil || now >= l.until || l.released {
		return nil
	}
	return l.holder
}

// Epoch returns the epoch of the lease and its remaining time, which is not positive if the process does not hold it.
func (l *Lease) Epoch(now boottime.Instant) (uint64, time.Duration) {
	if h := l.Holder(now); h != nil {
		return h.epoch, l.until.Sub(now)
	}
	return 0, 0
}

// Read records the object as returned by a read that has just ended. The write that a read shows may have started after
// the read, so the object counts as unchanged from the end of the read on. Reads may be stale: a revision that is lower
// than the known one is ignored, and a take-over succeeds only if the revision is the current one.
func (l *Lease) Read(now boottime.Instant, s Stored) {
	l.readAt = now
	switch {
	case l.read && s.Era > l.stored.Era, !l.read && s.Spec.Era != 0 && s.Spec.Era < s.Era:
		l.restore(now, s)
	case l.read && s.Revision <= l.stored.Revision:
	default:
		if s.Spec.Node != l.node || s.Spec.Process != l.process {
			l.holder = nil // another process has taken over
		}
		l.resumed = true
		l.record(now, s)
	}
}

// restore records the object of a restored store. The longer a holder's lease has ended, the later it resumes: a process
// that has lost the shard without knowing so comes after the one that has taken it over.
func (l *Lease) restore(now boottime.Instant, s Stored) {
	l.restoredAt, l.resumed = now, false
	l.resumeAt = now.Add(max(0, now.Sub(l.until)))
	l.nextAt, l.retryIn = now, 0
	clear(l.unresolved)
	l.record(now, s)
}

// ReadFailed records that a read has failed.
func (l *Lease) ReadFailed(now boottime.Instant) { l.failedAt = now }

func (l *Lease) record(at boottime.Instant, s Stored) {
	l.read, l.stored, l.sinceAt = true, s, at
}

// NeedsFirstRead reports whether the process has not read the object yet. It reads it once whatever its rank: an earlier
// process of the VM may have held the lease, which it takes back at once.
func (l *Lease) NeedsFirstRead(now boottime.Instant) bool {
	return !l.read && (l.failedAt == 0 || now.Sub(l.failedAt) >= failedReadInterval)
}

// NextRead returns when the object is to be read next by the process that ranks at the place, counted from 0.
func (l *Lease) NextRead(now boottime.Instant, rank int) boottime.Instant {
	interval := candidateInterval
	switch {
	case l.Holder(now) != nil || rank >= Candidates+Reserves:
		return now.Add(reserveInterval) // the caller asks again, with the rank of then
	case !l.read, l.readAt.Sub(l.sinceAt) >= alertAfter:
		interval = alertInterval
	case rank >= Candidates:
		interval = reserveInterval
	}
	if l.failedAt > l.readAt {
		return l.failedAt.Add(max(interval, failedReadInterval))
	}
	return l.readAt.Add(interval)
}

// Write returns the write to start now, if there is one. rank is the place of the process among the candidates for the
// shard.
func (l *Lease) Write(now boottime.Instant, rank int) (LeaseWrite, bool) {
	if l.writing || l.released || now < l.nextAt {
		return LeaseWrite{}, false
	}
	if l.restoredAt != 0 && !l.resumed && l.holder != nil {
		if now < l.resumeAt {
			return LeaseWrite{}, false
		}
		return l.renewal(now, l.holder, false), true
	}
	if h := l.Holder(now); h != nil {
		age := now.Sub(l.wroteAt)
		if age < renewInterval && !(h.NeedsWrite() && age >= earlyRenewInterval) {
			return LeaseWrite{}, false
		}
		return l.renewal(now, h, false), true
	}
	if !l.read || rank >= Candidates+Reserves && l.stored.Spec.Node != l.node {
		return LeaseWrite{}, false
	}
	if l.restoredAt != 0 && !l.resumed && now.Sub(l.restoredAt) < newWindow(l.window).length+takeOverDelay {
		return LeaseWrite{}, false
	}
	unchanged := now.Sub(l.sinceAt)
	wait := takeOverDelay + time.Duration(rank)*rankDelay
	switch {
	case l.stored.Spec.Node == l.node:
		wait = 0 // an earlier process of this VM, which has ended, or this one, whose lease has expired
	case l.stored.Revision == 0 || l.stored.Spec.State.Released:
		wait = time.Duration(rank) * rankDelay
	}
	if unchanged < wait || wait >= takeOverDelay && l.readAt.Sub(l.sinceAt) < takeOverDelay/2 { // no read has confirmed it
		return LeaseWrite{}, false
	}
	return l.begin(LeaseWrite{Expect: l.stored.Revision, start: now, Spec: LeaseSpec{State: l.stored.Spec.State.inherit(unchanged, l.window)}}), true
}

// Release returns the write that gives the lease up, if the process holds it. It grants nothing from then on.
func (l *Lease) Release(now boottime.Instant) (LeaseWrite, bool) {
	h := l.Holder(now)
	l.released = true
	if h == nil {
		return LeaseWrite{}, false
	}
	return l.renewal(now, h, true), true
}

func (l *Lease) renewal(now boottime.Instant, h *Holder, release bool) LeaseWrite {
	state, mark := h.Snapshot(now, release)
	return l.begin(LeaseWrite{Expect: l.stored.Revision, start: now, mark: mark, Spec: LeaseSpec{State: state}})
}

func (l *Lease) begin(w LeaseWrite) LeaseWrite {
	for seq, u := range l.unresolved {
		if w.start.Sub(u.start) > LeaseTime { // its lease has ended, whatever became of it
			delete(l.unresolved, seq)
		}
	}
	l.seq++
	w.era = l.stored.Era
	w.Spec.Node, w.Spec.Process, w.Spec.Seq, w.Spec.Era = l.node, l.process, l.seq, w.era
	l.writing, l.unresolved[l.seq] = true, w
	return w
}

// Written records that the write has succeeded and that the object has the revision now. It reports whether the process
// has become the holder.
func (l *Lease) Written(now boottime.Instant, w LeaseWrite, revision uint64) bool {
	l.writing, l.retryIn = false, 0
	return l.confirm(now, w, revision)
}

// confirm applies a write that has taken effect. The lease counts from the start of the write.
func (l *Lease) confirm(now boottime.Instant, w LeaseWrite, revision uint64) bool {
	for seq := range l.unresolved {
		if seq <= w.Spec.Seq {
			delete(l.unresolved, seq)
		}
	}
	held := l.holder != nil && now < l.until && w.mark != nil
	l.record(w.start, Stored{Revision: revision, Era: w.era, Spec: w.Spec})
	l.resumed = true
	if w.Spec.State.Released {
		l.holder = nil
		return false
	}
	l.until, l.wroteAt = w.start.Add(LeaseTime), w.start
	if w.mark == nil { // the write acquired the lease
		l.holder = NewHolder(w.start, l.shard, revision, l.window, w.Spec.State)
		return now < l.until
	}
	if l.holder != nil {
		l.holder.Confirm(w.mark)
	}
	return !held && l.holder != nil && now < l.until
}

// Conflicted records that the object had another revision than the write expected, with the object as it is. It may be
// an earlier write of this process whose answer was lost. It reports whether the process has become the holder.
func (l *Lease) Conflicted(now boottime.Instant, w LeaseWrite, current Stored) bool {
	l.writing = false
	delete(l.unresolved, w.Spec.Seq)
	if w.era < current.Era {
		l.Read(now, current)
		return false
	}
	if earlier, ok := l.unresolved[current.Spec.Seq]; ok && current.Spec.Node == l.node && current.Spec.Process == l.process {
		return l.confirm(now, earlier, current.Revision)
	}
	l.holder = nil
	l.nextAt = now.Add(retryInterval)
	l.record(now, current)
	return false
}

// Failed records that the outcome of the write is not known.
func (l *Lease) Failed(now boottime.Instant) {
	l.writing = false
	l.retryIn = min(max(l.retryIn, retryInterval), maxRetryInterval)
	l.nextAt = now.Add(l.retryIn)
	l.retryIn *= 2
}
