// Package residency decides which targets an upstream loads and unloads, subject to the VM's grants and the memory
// limit. It is a pure state machine: the agent feeds it events and executes the actions that it returns.
package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Event is an input to State.Step.
type Event interface{ isEvent() }

// LoadRequested is the event that a request waits for Target until Deadline. It may be sent several times for a target.
type LoadRequested struct {
	Target   engine.Target
	Deadline time.Time
}

// Use is the event that a request on a target started (Begin is true) or ended. A target in use is not unloaded.
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

// ObjectRead is the result of a ReadObject action, or a change that the watch delivered. A nil Value with a zero
// Version means that the object does not exist.
type ObjectRead struct {
	Key     string
	Version uint64
	Value   []byte
	Err     error
}

// GrantsListed is the event that all keys with the prefix grants/ were listed, sent after an ObjectRead for every
// object in the list. Models without such an ObjectRead have no object, which saves one read for each of them at
// startup.
type GrantsListed struct{}

// ObjectWritten is the result of a WriteObject action. Err is nil or one of package store's errors.
type ObjectWritten struct {
	Key     string
	Version uint64
	Err     error
}

// Configured carries a newly accepted configuration.
type Configured struct{ Document *config.Document }

// VMsRead carries the result of a read of the VM list that started at StartedAt; the zero time means now. A process
// that was paused during the read handles the result late, so it must not date the result by the time of handling.
type VMsRead struct {
	StartedAt time.Time
	VMs       []vmlist.VM
}

// PermitIssued is the event that the load coordinator issued the load permit that RequestPermit requested.
type PermitIssued struct{ ID string }

// PermitQueued is the event that the load coordinator has the permit request in its queue. The agent sends it
// for each heartbeat of the coordinator. After 250 ms without a first heartbeat, or 1.5 s without a further one, the
// load starts under the agent's own limit.
type PermitQueued struct{ ID string }

// Candidates carries the VM ids of the live upstreams that serve models, this one included. The list determines which
// VM coordinates loads, which VM removes the grants of VMs that are gone, and how many adapters load at once.
type Candidates struct{ VMs []string }

// EngineLost is the event that the engine process ended. Residents are removed once a listing confirms that they are
// gone.
type EngineLost struct{}

// Drain is the event that the VM is leaving: nothing new is loaded, idle targets are unloaded and grants are released.
type Drain struct{}

// Tick triggers time-dependent decisions. The agent sends one at least every 100 ms while NeedsFastTicks returns true,
// otherwise every second.
type Tick struct{}

func (LoadRequested) isEvent() {}
func (Use) isEvent()           {}
func (OrderDone) isEvent()     {}
func (Listed) isEvent()        {}
func (ObjectRead) isEvent()    {}
func (GrantsListed) isEvent()  {}
func (ObjectWritten) isEvent() {}
func (Configured) isEvent()    {}
func (VMsRead) isEvent()       {}
func (PermitIssued) isEvent()  {}
func (PermitQueued) isEvent()  {}
func (Candidates) isEvent()    {}
func (EngineLost) isEvent()    {}
func (Drain) isEvent()         {}
func (Tick) isEvent()          {}

// Action is an output of State.Step for the agent to execute.
type Action interface{ isAction() }

// SendOrder sends one order to the engine on a connection of its own; the agent reports OrderDone.
type SendOrder struct{ Order engine.Order }

// FetchListing fetches the engine's listing; the agent reports Listed.
type FetchListing struct{}

// ReadObject reads an object from the store; the agent reports ObjectRead.
type ReadObject struct{ Key string }

// WriteObject writes an object if its version is Expect; the agent reports ObjectWritten.
type WriteObject struct {
	Key    string
	Value  []byte
	Expect uint64
}

// RequestPermit requests a load permit from the load coordinator on VM Coordinator; the agent reports PermitIssued when
// the permit is issued. An empty Coordinator means that this VM is the coordinator.
type RequestPermit struct {
	Coordinator string
	Request     wire.LoadPermitRequest
}

// ReleasePermit releases a load permit, or cancels the request for one that was not issued.
type ReleasePermit struct {
	Coordinator string
	ID          string
}

// Ready reports that the target can be called now. Waited is how long the first of the waiting requests waited for the
// cold start, 0 if the target was already loaded.
type Ready struct {
	Target engine.Target
	Waited time.Duration
}

// LoadFailed reports that the requests waiting for the target have to be refused with the outcome not-run.
type LoadFailed struct {
	Target     engine.Target
	Code       wire.Code
	Reason     string
	RetryAfter time.Duration
	Holders    []string // ids of the other VMs with a grant for the model
}

func (SendOrder) isAction()     {}
func (FetchListing) isAction()  {}
func (ReadObject) isAction()    {}
func (WriteObject) isAction()   {}
func (RequestPermit) isAction() {}
func (ReleasePermit) isAction() {}
func (Ready) isAction()         {}
func (LoadFailed) isAction()    {}
