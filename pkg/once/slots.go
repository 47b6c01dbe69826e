package once

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// retryDelay is the time between two store calls for one service after a failure.
	retryDelay = time.Second
	// claimStep is the time by which an agent leaves a claimable slot to each agent that ranks before it. The others see
	// the change with their next watch call, up to WatchMinInterval later.
	claimStep = store.WatchMinInterval + 2*time.Second
	// balanceDelay is how long an excess of slots must last before one is handed over. It is longer than a read of
	// the VM list and a watch take together, so that a short difference between the agents' views moves nothing.
	balanceDelay = 15 * time.Second
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Services names the services of this agent's group that have non-idempotent calls.
type Services struct{ Names []string }

// Members carries the VM ids of the group's live agents, this one included, and the VMs proved gone.
type Members struct {
	Live []string
	Gone []string
}

// OwnersRead is the result of a Read action, or a change seen by the watch. Version 0 says that the object does not exist.
type OwnersRead struct {
	Service string
	Version uint64
	Owners  Owners
	Err     error
}

// OwnersWritten is the result of a Write action. Err is nil or one of package store's errors.
type OwnersWritten struct {
	Service string
	Expect  uint64 // of the Write
	Version uint64
	Err     error
}

// Drain hands over all slots and claims none.
type Drain struct{}

// Tick lets time-dependent decisions run. One a second suffices.
type Tick struct{}

func (Services) isEvent()      {}
func (Members) isEvent()       {}
func (OwnersRead) isEvent()    {}
func (OwnersWritten) isEvent() {}
func (Drain) isEvent()         {}
func (Tick) isEvent()          {}

// Action is an output of State.Step.
type Action interface{ isAction() }

// ReadOwners asks for owners/<service>; the agent reports Seen.
type ReadOwners struct{ Service string }

// WriteOwners asks for a conditional update of owners/<service>; the agent reports Written.
type WriteOwners struct {
	Service string
	Owners  Owners
	Expect  uint64
}

func (ReadOwners) isAction()  {}
func (WriteOwners) isAction() {}

// pending is a write whose outcome is not known yet. While it is pending, no other write of the service is sent.
type pending struct {
	owners   Owners
	expect   uint64
	released []int
	inFlight bool
	// uncertain says that a send of this write may still take effect as long as the object has version expect.
	uncertain bool
	readBack  bool // the object has been read since the last send
}

// Step applies an event and returns the store calls to make.
func (s *State) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Services:
		s.setServices(ev.Names)
	case Members:
		s.setMembers(ev)
	case OwnersRead:
		s.seen(now, ev)
	case OwnersWritten:
		s.written(now, ev)
	case Drain:
		s.draining = true
	}
	var out []Action
	for _, name := range s.names {
		out = append(out, s.decide(now, s.services[name])...)
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

// setServices adds services. A service that leaves the configuration keeps its slots until the process drains, since
// its calls may still run.
func (s *State) setServices(names []string) {
	for _, name := range names {
		if s.services[name] == nil {
			s.services[name] = &service{name: name}
			s.names = append(s.names, name)
		}
	}
	slices.Sort(s.names)
}

func (s *State) seen(now time.Time, ev OwnersRead) {
	svc := s.services[ev.Service]
	if svc == nil {
		return
	}
	svc.reading = false
	if ev.Err != nil {
		svc.retryAt = now.Add(retryDelay)
		return
	}
	svc.read = true
	if ev.Version >= svc.version {
		svc.version, svc.owners = ev.Version, ev.Owners
	}
	if p := svc.pending; p != nil && !p.inFlight {
		p.readBack = true
		if svc.version > p.expect {
			s.settle(svc)
		}
	}
	s.adopt(svc)
}

func (s *State) written(now time.Time, ev OwnersWritten) {
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
		s.settle(svc)
	case errors.Is(ev.Err, store.ErrUnavailable) && !p.uncertain:
		s.settle(svc)
		svc.retryAt = now.Add(retryDelay)
	case svc.version > p.expect:
		s.settle(svc) // the watch has shown a newer object already
	default:
		// After a conflict the object is newer than expect; after a lost answer it may be. Both are read back.
		p.uncertain = true
		svc.retryAt = now
		if !errors.Is(ev.Err, store.ErrConflict) {
			svc.retryAt = now.Add(retryDelay / 4)
		}
	}
	s.adopt(svc)
}

// settle ends the pending write: the object has changed since, or the write is known not to have been received.
func (s *State) settle(svc *service) {
	released := svc.pending.released
	svc.pending = nil
	for _, slot := range released {
		if svc.owners.Slots[slot].Owner == s.vm {
			svc.held[slot].releasing = false // the handover did not take effect
		}
	}
}

// adopt makes the held slots agree with the object as last read.
func (s *State) adopt(svc *service) {
	for i := range svc.held {
		mine := svc.owners.Slots[i].Owner == s.vm && svc.stamped
		switch {
		case mine && !svc.held[i].held:
			s.hold(svc, i)
		case !mine && svc.held[i].held:
			s.drop(svc, i)
		}
	}
}

// decide returns the next store call for a service, if one is due.
func (s *State) decide(now time.Time, svc *service) []Action {
	s.track(now, svc)
	if svc.reading || now.Before(svc.retryAt) {
		return nil
	}
	if p := svc.pending; p != nil {
		return s.decidePending(svc, p)
	}
	if !svc.read {
		svc.reading = true
		return []Action{ReadOwners{Service: svc.name}}
	}
	next, released, changed := s.next(now, svc)
	if !changed {
		return nil
	}
	svc.pending = &pending{owners: next, expect: svc.version, released: released, inFlight: true}
	return []Action{WriteOwners{Service: svc.name, Owners: next, Expect: svc.version}}
}

// decidePending reads back a write of uncertain outcome, and sends it again if the object is unchanged: only a newer
// version proves that the earlier send can no longer take effect.
func (s *State) decidePending(svc *service, p *pending) []Action {
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
