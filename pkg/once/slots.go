package once

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// retryDelay is the delay before the next store call for a service after a failure.
	retryDelay = time.Second
	// claimStagger is the time that an agent waits for each higher-ranked agent before it claims a claimable slot. The
	// other agents receive a claim with their next watch call, up to WatchMinInterval later.
	claimStagger = store.WatchMinInterval + 2*time.Second
	// balanceDelay is how long an excess of slots must last before one is handed over. It is longer than a read of
	// the VM list and a watch call together, so that a short difference between the agents' views moves no slots.
	balanceDelay = 15 * time.Second
)

// Event is an input to State.Step.
type Event interface{ isEvent() }

// Services carries the names of the services in this agent's group that have non-idempotent calls.
type Services struct{ Names []string }

// Members carries the VM ids of the group's live agents, this one included, and of the VMs confirmed gone.
type Members struct {
	Live []string
	Gone []string
}

// OwnersRead is the result of a ReadOwners action, or a change that the watch delivered. Version 0 means that the
// object does not exist.
type OwnersRead struct {
	Service string
	Version uint64
	Owners  Owners
	Err     error
}

// OwnersWritten is the result of a WriteOwners action. Err is nil or one of package store's errors.
type OwnersWritten struct {
	Service string
	Expect  uint64 // of the WriteOwners action
	Version uint64
	Err     error
}

// Drain is the event that the process is to end: all slots are handed over and none is claimed.
type Drain struct{}

// Tick triggers time-dependent decisions. One Tick per second suffices.
type Tick struct{}

func (Services) isEvent()      {}
func (Members) isEvent()       {}
func (OwnersRead) isEvent()    {}
func (OwnersWritten) isEvent() {}
func (Drain) isEvent()         {}
func (Tick) isEvent()          {}

// Action is an output of State.Step for the agent to execute.
type Action interface{ isAction() }

// ReadOwners reads owners/<service>; the agent reports OwnersRead.
type ReadOwners struct{ Service string }

// WriteOwners writes owners/<service> if its version is Expect; the agent reports OwnersWritten.
type WriteOwners struct {
	Service string
	Owners  Owners
	Expect  uint64
}

func (ReadOwners) isAction()  {}
func (WriteOwners) isAction() {}

// pending is a write whose outcome is unknown. While it is pending, no other write for the service is sent.
type pending struct {
	owners   Owners
	expect   uint64
	released []int
	inFlight bool
	// unresolved reports whether a write sent earlier may still take effect while the object has version expect.
	unresolved bool
	readBack   bool // the object has been read since the write was last sent
}

// Step applies an event and returns the store calls to make.
func (s *State) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Services:
		s.setServices(ev.Names)
	case Members:
		s.setMembers(ev)
	case OwnersRead:
		s.applyOwners(now, ev)
	case OwnersWritten:
		s.applyWriteResult(now, ev)
	case Drain:
		s.draining = true
	}
	var out []Action
	for _, name := range s.serviceNames {
		out = append(out, s.nextCall(now, s.services[name])...)
	}
	return out
}

func (s *State) setMembers(ev Members) {
	s.gone = map[string]bool{}
	for _, vm := range ev.Gone {
		s.gone[vm] = true
	}
	live := slices.Sorted(slices.Values(ev.Live))
	if slices.Equal(live, s.live) {
		return
	}
	s.live = live
	for _, svc := range s.services {
		svc.plan = nil
	}
}

// setServices adds services. A service removed from the configuration keeps its slots until the process drains, because
// its calls may still run.
func (s *State) setServices(names []string) {
	for _, name := range names {
		if s.services[name] == nil {
			s.services[name] = &service{name: name}
			s.serviceNames = append(s.serviceNames, name)
		}
	}
	slices.Sort(s.serviceNames)
}

func (s *State) applyOwners(now time.Time, ev OwnersRead) {
	svc := s.services[ev.Service]
	if svc == nil {
		return
	}
	svc.reading = false
	if ev.Err != nil {
		svc.retryAt = now.Add(retryDelay)
		return
	}
	svc.wasRead = true
	if ev.Version >= svc.version {
		svc.version, svc.owners = ev.Version, ev.Owners
	}
	if p := svc.pending; p != nil && !p.inFlight {
		p.readBack = true
		if svc.version > p.expect {
			s.resolvePending(svc)
		}
	}
	s.syncSlots(svc)
}

func (s *State) applyWriteResult(now time.Time, ev OwnersWritten) {
	svc := s.services[ev.Service]
	if svc == nil || svc.pending == nil || svc.pending.expect != ev.Expect {
		return
	}
	p := svc.pending
	p.inFlight, p.readBack = false, false
	switch {
	case ev.Err == nil:
		svc.stamped = true
		if ev.Version >= svc.version {
			svc.version, svc.owners = ev.Version, p.owners
		}
		s.resolvePending(svc)
	case errors.Is(ev.Err, store.ErrUnavailable) && !p.unresolved:
		s.resolvePending(svc)
		svc.retryAt = now.Add(retryDelay)
	case svc.version > p.expect:
		s.resolvePending(svc) // the watch has already delivered a newer object
	default:
		// After a conflict the object is newer than expect, and after a lost reply it may be, so it is read back.
		p.unresolved = true
		svc.retryAt = now
		if !errors.Is(ev.Err, store.ErrConflict) {
			svc.retryAt = now.Add(retryDelay / 4)
		}
	}
	s.syncSlots(svc)
}

// resolvePending removes the pending write after the object has changed or the write is known not to have been
// received.
func (s *State) resolvePending(svc *service) {
	released := svc.pending.released
	svc.pending = nil
	for _, slot := range released {
		if svc.owners.Slots[slot].Owner == s.vm {
			svc.slots[slot].releasing = false // the handover had no effect
		}
	}
}

// syncSlots updates the slots that this process owns from the object as last read.
func (s *State) syncSlots(svc *service) {
	for i := range svc.slots {
		mine := svc.owners.Slots[i].Owner == s.vm && svc.stamped
		switch {
		case mine && !svc.slots[i].owned:
			s.own(svc, i)
		case !mine && svc.slots[i].owned:
			s.disown(svc, i)
		}
	}
}

// nextCall returns the next store call for a service, if one is due.
func (s *State) nextCall(now time.Time, svc *service) []Action {
	s.updateTimers(now, svc)
	if svc.reading || now.Before(svc.retryAt) {
		return nil
	}
	if p := svc.pending; p != nil {
		return s.nextPendingCall(svc, p)
	}
	if !svc.wasRead {
		svc.reading = true
		return []Action{ReadOwners{Service: svc.name}}
	}
	next, released, changed := s.nextOwners(now, svc)
	if !changed {
		return nil
	}
	svc.pending = &pending{owners: next, expect: svc.version, released: released, inFlight: true}
	return []Action{WriteOwners{Service: svc.name, Owners: next, Expect: svc.version}}
}

// nextPendingCall returns a read of the object after a write with an unknown outcome, and then the same write if the
// object is unchanged: only a newer version guarantees that the earlier write can no longer take effect.
func (s *State) nextPendingCall(svc *service, p *pending) []Action {
	if p.inFlight {
		return nil
	}
	if !p.readBack {
		svc.reading = true
		return []Action{ReadOwners{Service: svc.name}}
	}
	p.inFlight, p.readBack = true, false
	return []Action{WriteOwners{Service: svc.name, Owners: p.owners, Expect: p.expect}}
}
