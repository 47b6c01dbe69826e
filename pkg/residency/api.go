// Package residency decides which targets an upstream loads and unloads, under which grants and within which memory.
// It is a pure state machine: the agent feeds it events and carries out its actions.
package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// LoadRequested says that a request waits for a target until deadline. It may be repeated for the same target.
type LoadRequested struct {
	Target   engine.Target
	Deadline time.Time
}

// Use says that a request on a target began (Begin true) or ended. A target in use is not unloaded.
type Use struct {
	Target engine.Target
	Begin  bool
}

// OrderDone is the result of a SendOrder action. Err is nil or one of package engine's errors.
type OrderDone struct {
	Order engine.Order
	Err   error
}

// Listed is the result of a FetchListing action.
type Listed struct {
	Listing engine.Listing
	Err     error
}

// ObjectRead is the result of a ReadObject action, or a change seen by the watch. A nil Value with a zero Version
// says that the object does not exist.
type ObjectRead struct {
	Key     string
	Version uint64
	Value   []byte
	Err     error
}

// GrantsListed says that a listing of all keys with the prefix grants/ was read and that every object in it was reported
// as ObjectRead before. Models that were not reported have no object. It spares one read for each of them at the start.
type GrantsListed struct{}

// ObjectWritten is the result of a WriteObject action. Err is nil or one of package store's errors.
type ObjectWritten struct {
	Key     string
	Version uint64
	Err     error
}

// Configured carries a newly accepted configuration.
type Configured struct{ Document *config.Document }

// VMsSeen carries a read of the VM list that began at Began; the zero time means now. A process that was paused handles a
// read later than it began, and must not take it for a fresh one.
type VMsSeen struct {
	Began time.Time
	VMs   []vmlist.VM
}

// PlaceGiven is the load coordinator's answer to AskPlace.
type PlaceGiven struct{ ID string }

// PlaceQueued says that the load coordinator has the ask in its queue. The agent reports every sign of it; after 1.5 s
// without one, or 250 ms without a first one, the load starts under the agent's own limit.
type PlaceQueued struct{ ID string }

// Candidates carries the VM ids of the live upstreams that serve models, this one included. It decides who coordinates
// loads, who removes the grants of VMs that are gone, and how many adapters load at once.
type Candidates struct{ VMs []string }

// EngineLost says that the engine process ended. All residents are gone once a listing confirms it.
type EngineLost struct{}

// Drain says that the VM is leaving: nothing new is loaded, idle targets are unloaded, grants are released.
type Drain struct{}

// Tick lets time-dependent decisions run; the agent sends one at least every 100 ms while Busy, else every second.
type Tick struct{}

func (LoadRequested) isEvent() {}
func (Use) isEvent()           {}
func (OrderDone) isEvent()     {}
func (Listed) isEvent()        {}
func (ObjectRead) isEvent()    {}
func (GrantsListed) isEvent()  {}
func (ObjectWritten) isEvent() {}
func (Configured) isEvent()    {}
func (VMsSeen) isEvent()       {}
func (PlaceGiven) isEvent()    {}
func (PlaceQueued) isEvent()   {}
func (Candidates) isEvent()    {}
func (EngineLost) isEvent()    {}
func (Drain) isEvent()         {}
func (Tick) isEvent()          {}

// Action is an output of State.Step.
type Action interface{ isAction() }

// SendOrder asks the agent to send one order on a connection of its own and to report OrderDone.
type SendOrder struct{ Order engine.Order }

// FetchListing asks for the engine's listing; the agent reports Listed.
type FetchListing struct{}

// ReadObject asks for an object; the agent reports ObjectRead.
type ReadObject struct{ Key string }

// WriteObject asks for a conditional update; the agent reports ObjectWritten.
type WriteObject struct {
	Key    string
	Value  []byte
	Expect uint64
}

// AskPlace asks the load coordinator on VM Coordinator for a place; the agent reports PlaceGiven when it answers.
// An empty Coordinator means that this VM is the coordinator.
type AskPlace struct {
	Coordinator string
	Ask         wire.LoadPermitRequest
}

// ReturnPlace returns a place.
type ReturnPlace struct {
	Coordinator string
	ID          string
}

// Ready says that the target can be called now. Waited is how long the first of the waiting requests waited for the
// cold start, 0 if the target was ready.
type Ready struct {
	Target engine.Target
	Waited time.Duration
}

// LoadFailed says that the requests waiting for the target have to be refused (outcome not-run).
type LoadFailed struct {
	Target     engine.Target
	Code       wire.Code
	Reason     string
	RetryAfter time.Duration
	Holders    []string // VM ids that hold a grant
}

func (SendOrder) isAction()    {}
func (FetchListing) isAction() {}
func (ReadObject) isAction()   {}
func (WriteObject) isAction()  {}
func (AskPlace) isAction()     {}
func (ReturnPlace) isAction()  {}
func (Ready) isAction()        {}
func (LoadFailed) isAction()   {}
