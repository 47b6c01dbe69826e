package once

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

// Decision is what to do with a call that carries an idempotency key.
type Decision uint8

// Decisions of State.Admit.
const (
	// Start says that the call is the first with its key. The caller of Admit reports Finish or Abort for it.
	Start Decision = iota + 1
	// Join says that a call with the key runs; its answer is this call's answer too.
	Join
	// Stored says that a call with the key is done; Verdict.Answer is its answer.
	Stored
	// Unknown says that a call with the key may have run, and that its answer is not kept.
	Unknown
	// NotOwner says that this VM does not own the slot. Verdict.Owner names the owner, if there is one.
	NotOwner
	// Releasing says that the slot is being handed over and the key has not run.
	Releasing
	// KeyInFuture says that the key was issued more than ClockAllowance ahead of the clock and has not run.
	KeyInFuture
	// KeyTooOld says that the key was issued at or below the slot's floor, so it may have run.
	KeyTooOld
	// KeyReused says that the key names another request of the same caller; this request has not run.
	KeyReused
	// TableFull says that the table holds only running calls, and the key has not run.
	TableFull
)

const (
	// ClockAllowance is the largest accepted difference between the clocks of two VMs.
	ClockAllowance = 2 * time.Second
	// MaxEntries bounds the table of one process. At 17 calls a second per upstream it covers about 16 minutes.
	MaxEntries = 16384
	// MaxAnswerBytes bounds one stored answer, body and headers. A larger one is recorded as unknown.
	MaxAnswerBytes = 64 << 10
	// MaxTableBytes bounds all stored answers of one process.
	MaxTableBytes = 16 << 20
)

// Call identifies a keyed call.
type Call struct {
	Service     string
	Caller      string
	Key         string
	Fingerprint uint64    // of the content
	Issued      time.Time // from the key, with a resolution of 1 ms
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header []engine.Header
	Body   []byte
}

// size returns the bytes that count against the bounds.
func (a Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Admission is the result of Admit.
type Admission struct {
	Decision Decision
	Answer   Answer // for Stored
	Run      string // for Join: the run id that Start was given for
	Owner    string // for NotOwner
}

// id is the identity of a key within its service.
type id struct{ caller, key string }

// progress is the progress of one entry.
type progress uint8

const (
	running progress = iota
	done
	unknown
)

// entry is the record of one key above the floor.
type entry struct {
	id          id
	slot        uint32
	service     *service
	run         string
	fingerprint uint64
	issuedMS    int64
	seq         uint64 // order of admission; breaks ties of issuedMS
	progress    progress
	answer      Answer
}

// Admit decides on a call. Run names the execution that begins if the decision is Start.
func (s *State) Admit(now time.Time, c Call, run string) Admission {
	svc := s.services[c.Service]
	slot := SlotOf(c.Caller, c.Key)
	if svc == nil || !svc.held[slot].held {
		return Admission{Decision: NotOwner, Owner: s.OwnerOf(c.Service, slot)}
	}
	h := &svc.held[slot]
	key := id{c.Caller, c.Key}
	if e := h.entries[key]; e != nil {
		return e.verdict(c)
	}
	issued := c.Issued.UnixMilli()
	switch {
	case issued <= h.floorMS:
		return Admission{Decision: KeyTooOld}
	case c.Issued.After(now.Add(ClockAllowance)):
		return Admission{Decision: KeyInFuture}
	case h.releasing || s.draining:
		return Admission{Decision: Releasing}
	case s.count >= s.limits.Entries && !s.evict():
		return Admission{Decision: TableFull}
	}
	// The eviction may have raised this slot's floor above the key.
	if issued <= h.floorMS {
		return Admission{Decision: KeyTooOld}
	}
	s.seq++
	h.entries[key] = &entry{id: key, slot: slot, service: svc, run: run, fingerprint: c.Fingerprint, issuedMS: issued, seq: s.seq}
	h.running++
	h.highestMS = max(h.highestMS, issued)
	s.count++
	return Admission{Decision: Start}
}

// verdict returns the decision on a further call with the entry's key.
func (e *entry) verdict(c Call) Admission {
	switch {
	case e.fingerprint != c.Fingerprint:
		return Admission{Decision: KeyReused}
	case e.progress == running:
		return Admission{Decision: Join, Run: e.run}
	case e.progress == done:
		return Admission{Decision: Stored, Answer: e.answer}
	}
	return Admission{Decision: Unknown}
}

// Finish records the end of a started call. A nil answer, or one that exceeds MaxAnswerBytes, is recorded as unknown.
func (s *State) Finish(c Call, a *Answer) {
	e := s.find(c)
	if e == nil || e.progress != running {
		return
	}
	e.service.held[e.slot].running--
	e.progress = unknown
	if a == nil || a.size() > s.limits.AnswerBytes {
		return
	}
	e.progress, e.answer = done, *a
	s.bytes += a.size()
	for s.bytes > s.limits.TableBytes && s.evict() {
	}
}

// Abort forgets a started call that is proved not to have begun, so that a further call with its key may run.
func (s *State) Abort(c Call) {
	e := s.find(c)
	if e == nil || e.progress != running {
		return
	}
	e.service.held[e.slot].running--
	s.remove(e)
}

func (s *State) find(c Call) *entry {
	svc := s.services[c.Service]
	if svc == nil {
		return nil
	}
	return svc.held[SlotOf(c.Caller, c.Key)].entries[id{c.Caller, c.Key}]
}

func (s *State) remove(e *entry) {
	delete(e.service.held[e.slot].entries, e.id)
	s.count--
	s.bytes -= e.answer.size()
}

// evict removes finished entries, the earliest issued first, until a sixteenth of the table is free, and raises the
// floors of their slots. Evicting many at once spreads the cost of the search. It reports whether it removed any.
func (s *State) evict() bool {
	victims := s.finished()
	keepCount, keepBytes := s.limits.Entries-max(1, s.limits.Entries/16), s.limits.TableBytes-s.limits.TableBytes/16
	removed := false
	for _, e := range victims {
		if s.count <= keepCount && s.bytes <= keepBytes {
			break
		}
		h := &e.service.held[e.slot]
		h.floorMS = max(h.floorMS, e.issuedMS)
		s.remove(e)
		removed = true
	}
	return removed
}
