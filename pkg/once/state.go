package once

import (
	"sort"
	"time"
)

// Limits bound the table of one process.
type Limits struct {
	Entries     int
	AnswerBytes int // of one answer
	TableBytes  int // of all answers
}

// DefaultLimits returns the limits of the daemon.
func DefaultLimits() Limits {
	return Limits{Entries: MaxEntries, AnswerBytes: MaxAnswerBytes, TableBytes: MaxTableBytes}
}

// State is the at-most-once state of one agent. It is a pure state machine and not safe for concurrent use.
type State struct {
	vm       string
	startMS  int64 // Unix milliseconds of the process start
	limits   Limits
	services map[string]*service
	names    []string // of services, sorted
	live     []string // VM ids of the service's live agents, sorted
	gone     map[string]bool
	draining bool
	seq      uint64
	count    int
	bytes    int
}

// service is the state of one service's slots.
type service struct {
	name string
	// read says that the object has been read since the start. stamped says that a write of this process was confirmed:
	// a write that an earlier process on this VM sent expects an older version, so it can no longer take effect. A read
	// proves nothing of the kind, since it may be stale.
	read    bool
	stamped bool
	version uint64
	owners  Owners
	held    [Slots]held
	pending *pending
	// reading says that a read is out; retryAt is when the next store call may be made after a failure.
	reading   bool
	retryAt   time.Time
	freeSince [Slots]time.Time // since when the slot has been seen claimable; zero if it is not
	plan      *plan            // nil if the members have changed
	excess    time.Time        // since when more than the fair share has been held; zero if not
}

// held is what this process knows of one slot.
type held struct {
	held      bool
	releasing bool
	floorMS   int64
	highestMS int64 // highest issue time accepted
	running   int
	entries   map[id]*entry
}

// New returns the state of the agent on a VM whose process started at start.
func New(vm string, start time.Time, limits Limits) *State {
	return &State{vm: vm, startMS: start.UnixMilli(), limits: limits, services: map[string]*service{}, gone: map[string]bool{}}
}

// OwnerOf returns the VM id of the slot's owner as last read, or "" if there is none.
func (s *State) OwnerOf(serviceName string, slot uint32) string {
	if svc := s.services[serviceName]; svc != nil && slot < Slots {
		return svc.owners.Slots[slot].Owner
	}
	return ""
}

// Held returns how many slots of the service this process admits calls for.
func (s *State) Held(serviceName string) int {
	svc := s.services[serviceName]
	if svc == nil {
		return 0
	}
	return svc.heldCount()
}

// MayExit reports whether no slot is held and no write is unsettled, so that the process may end after a drain.
func (s *State) MayExit() bool {
	for _, svc := range s.services {
		if svc.pending != nil || svc.heldCount() > 0 {
			return false
		}
	}
	return true
}

// Len returns the number of keys in the table and the bytes of their answers.
func (s *State) Len() (keys, bytes int) { return s.count, s.bytes }

func (v *service) heldCount() int {
	n := 0
	for i := range v.held {
		if v.held[i].held {
			n++
		}
	}
	return n
}

// finished returns the finished entries, the earliest issued first.
func (s *State) finished() []*entry {
	var out []*entry
	for _, name := range s.names {
		svc := s.services[name]
		for i := range svc.held {
			for _, e := range svc.held[i].entries {
				if e.progress != running {
					out = append(out, e)
				}
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].issuedMS != out[j].issuedMS {
			return out[i].issuedMS < out[j].issuedMS
		}
		return out[i].seq < out[j].seq
	})
	return out
}

// hold begins to admit calls for a slot. The floor covers calls that an earlier process on this VM may have admitted,
// up to its clock allowance after this process started.
func (s *State) hold(svc *service, slot int) {
	floor := max(svc.owners.Slots[slot].FloorMS, s.startMS+ClockAllowance.Milliseconds())
	svc.held[slot] = held{held: true, floorMS: floor, entries: map[id]*entry{}}
}

// drop forgets a slot. Calls that run go on; their results are no longer recorded.
func (s *State) drop(svc *service, slot int) {
	for _, e := range svc.held[slot].entries {
		s.remove(e)
	}
	svc.held[slot] = held{}
}
