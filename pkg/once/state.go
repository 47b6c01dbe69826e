package once

import (
	"sort"
	"time"
)

// Limits bound the table of one process.
type Limits struct {
	Entries     int
	AnswerBytes int // for one answer
	TableBytes  int // for all answers
}

// DefaultLimits returns the limits that the daemon uses.
func DefaultLimits() Limits {
	return Limits{Entries: MaxEntries, AnswerBytes: MaxAnswerBytes, TableBytes: MaxTableBytes}
}

// State is the at-most-once state of one agent. It is a pure state machine and not safe for concurrent use.
type State struct {
	vm           string
	startMS      int64 // Unix milliseconds of the process start
	limits       Limits
	services     map[string]*service
	serviceNames []string // keys of services, sorted
	live         []string // VM ids of the service's live agents, sorted
	gone         map[string]bool
	draining     bool
	seq          uint64
	entryCount   int
	answerBytes  int
}

// service is the state of the key slots of one service.
type service struct {
	name string
	// wasRead reports whether this process has read the object. stamped reports whether a write of this process was
	// confirmed: writes of an earlier process on this VM expect an older version, so they can no longer take effect. A
	// read does not guarantee that, because it may be stale.
	wasRead bool
	stamped bool
	version uint64
	owners  Owners
	slots   [Slots]slotState
	pending *pending
	// reading reports whether a read is outstanding; retryAt is the earliest time of a store call after a failure.
	reading        bool
	retryAt        time.Time
	claimableSince [Slots]time.Time // since when the slot has been claimable; zero if it is not
	plan           *plan            // nil if the members have changed
	excessSince    time.Time        // since when this process owns more than its fair share; zero if it does not
}

// slotState is the state of one slot in this process.
type slotState struct {
	owned     bool
	releasing bool
	floorMS   int64
	highestMS int64 // latest issue time admitted, in Unix milliseconds
	running   int   // number of running calls
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

// OwnedSlots returns the number of slots of the service that this process owns, and for which it decides on calls.
func (s *State) OwnedSlots(serviceName string) int {
	svc := s.services[serviceName]
	if svc == nil {
		return 0
	}
	return svc.ownedCount()
}

// MayExit reports whether no slot is owned and no write is unresolved, so that the process may exit after a drain.
func (s *State) MayExit() bool {
	for _, svc := range s.services {
		if svc.pending != nil || svc.ownedCount() > 0 {
			return false
		}
	}
	return true
}

// Len returns the number of keys in the table and the total size of their answers in bytes.
func (s *State) Len() (keys, bytes int) { return s.entryCount, s.answerBytes }

func (svc *service) ownedCount() int {
	n := 0
	for i := range svc.slots {
		if svc.slots[i].owned {
			n++
		}
	}
	return n
}

// finished returns the entries whose calls have ended, the earliest issue time first.
func (s *State) finished() []*entry {
	var out []*entry
	for _, name := range s.serviceNames {
		svc := s.services[name]
		for i := range svc.slots {
			for _, e := range svc.slots[i].entries {
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

// own starts admission for a slot. The floor covers calls that an earlier process on this VM may have admitted, whose
// issue times are at most ClockAllowance after the start of this process.
func (s *State) own(svc *service, slot int) {
	floor := max(svc.owners.Slots[slot].FloorMS, s.startMS+ClockAllowance.Milliseconds())
	svc.slots[slot] = slotState{owned: true, floorMS: floor, entries: map[id]*entry{}}
}

// disown removes the state of a slot. Running calls continue, but their results are no longer recorded.
func (s *State) disown(svc *service, slot int) {
	for _, e := range svc.slots[slot].entries {
		s.removeEntry(e)
	}
	svc.slots[slot] = slotState{}
}
