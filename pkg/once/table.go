package once

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

// Decision is the result of the check of a call that carries an idempotency key.
type Decision uint8

// Decisions of State.Admit.
const (
	// Start means that the call is the first with its key. The code that called Admit then calls Finish or Abort.
	Start Decision = iota + 1
	// Join means that a call with the key is running; its answer is the answer to this call too.
	Join
	// Stored means that a call with the key has ended; Admission.Answer is its answer.
	Stored
	// Unknown means that a call with the key may have run and that its answer is not stored.
	Unknown
	// NotOwner means that this VM does not own the slot. Admission.Owner is the owner, if there is one.
	NotOwner
	// Releasing means that the slot is being handed over and no call with the key has run.
	Releasing
	// KeyInFuture means that the key was issued more than ClockAllowance ahead of the clock and no call with it has
	// run.
	KeyInFuture
	// KeyTooOld means that the key was issued at or below the slot's floor, so that a call with it may have run.
	KeyTooOld
	// KeyReused means that the caller used the key for another request before; this request has not run.
	KeyReused
	// TableFull means that the table contains only running calls; no call with the key has run.
	TableFull
)

const (
	// ClockAllowance is the largest tolerated difference between the clocks of two VMs.
	ClockAllowance = 2 * time.Second
	// MaxEntries is the largest number of entries in the table of one process. At 17 calls a second per upstream, the
	// table covers about 16 minutes.
	MaxEntries = 16384
	// MaxAnswerBytes is the largest size of one stored answer, body and headers. A larger answer is recorded as
	// unknown.
	MaxAnswerBytes = 64 << 10
	// MaxTableBytes is the largest total size of the stored answers of one process.
	MaxTableBytes = 16 << 20
)

// Call identifies a keyed call.
type Call struct {
	Service     string
	Caller      string
	Key         string
	Fingerprint uint64    // hash of the content
	Issued      time.Time // issue time in the key, with a resolution of 1 ms
}

// Answer is a complete answer to a call.
type Answer struct {
	Status int
	Header []engine.Header
	Body   []byte
}

// size returns the bytes that count towards MaxAnswerBytes and MaxTableBytes.
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
	Run      string // for Join: the run id passed to Admit for the running call
	Owner    string // for NotOwner
}

// id identifies a key within its service.
type id struct{ caller, key string }

// progress is the state of the call of one entry.
type progress uint8

const (
	running progress = iota
	done
	unknown
)

// entry records one key above the floor.
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

// Admit decides whether a call may start. Run identifies the execution that starts if the decision is Start.
func (s *State) Admit(now time.Time, c Call, run string) Admission {
	svc := s.services[c.Service]
	slot := SlotOf(c.Caller, c.Key)
	if svc == nil || !svc.slots[slot].owned {
		return Admission{Decision: NotOwner, Owner: s.OwnerOf(c.Service, slot)}
	}
	owned := &svc.slots[slot]
	key := id{c.Caller, c.Key}
	if e := owned.entries[key]; e != nil {
		return e.admission(c)
	}
	issued := c.Issued.UnixMilli()
	switch {
	case issued <= owned.floorMS:
		return Admission{Decision: KeyTooOld}
	case c.Issued.After(now.Add(ClockAllowance)):
		return Admission{Decision: KeyInFuture}
	case owned.releasing || s.draining:
		return Admission{Decision: Releasing}
	case s.entryCount >= s.limits.Entries && !s.evict():
		return Admission{Decision: TableFull}
	}
	// The eviction may have raised this slot's floor to or above the key's issue time.
	if issued <= owned.floorMS {
		return Admission{Decision: KeyTooOld}
	}
	s.seq++
	owned.entries[key] = &entry{id: key, slot: slot, service: svc, run: run, fingerprint: c.Fingerprint, issuedMS: issued, seq: s.seq}
	owned.running++
	owned.highestMS = max(owned.highestMS, issued)
	s.entryCount++
	return Admission{Decision: Start}
}

// admission returns the decision on a further call with the entry's key.
func (e *entry) admission(c Call) Admission {
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

// Finish records the end of a started call. A nil answer, or one larger than Limits.AnswerBytes, is recorded as
// unknown.
func (s *State) Finish(c Call, a *Answer) {
	e := s.findEntry(c)
	if e == nil || e.progress != running {
		return
	}
	e.service.slots[e.slot].running--
	e.progress = unknown
	if a == nil || a.size() > s.limits.AnswerBytes {
		return
	}
	e.progress, e.answer = done, *a
	s.answerBytes += a.size()
	for s.answerBytes > s.limits.TableBytes && s.evict() {
	}
}

// Abort removes the entry of a call that is confirmed not to have run, so that a further call with its key may run.
func (s *State) Abort(c Call) {
	e := s.findEntry(c)
	if e == nil || e.progress != running {
		return
	}
	e.service.slots[e.slot].running--
	s.removeEntry(e)
}

func (s *State) findEntry(c Call) *entry {
	svc := s.services[c.Service]
	if svc == nil {
		return nil
	}
	return svc.slots[SlotOf(c.Caller, c.Key)].entries[id{c.Caller, c.Key}]
}

func (s *State) removeEntry(e *entry) {
	delete(e.service.slots[e.slot].entries, e.id)
	s.entryCount--
	s.answerBytes -= e.answer.size()
}

// evict removes finished entries, the earliest issue time first, until a sixteenth of the table is free, and raises the
// floors of their slots. It reports whether it removed any. Evicting many at once amortizes the cost of the search.
func (s *State) evict() bool {
	candidates := s.finished()
	keepCount, keepBytes := s.limits.Entries-max(1, s.limits.Entries/16), s.limits.TableBytes-s.limits.TableBytes/16
	removed := false
	for _, e := range candidates {
		if s.entryCount <= keepCount && s.answerBytes <= keepBytes {
			break
		}
		owned := &e.service.slots[e.slot]
		owned.floorMS = max(owned.floorMS, e.issuedMS)
		s.removeEntry(e)
		removed = true
	}
	return removed
}
