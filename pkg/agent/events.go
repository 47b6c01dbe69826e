package agent

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Opened is the event that a router opened a stream with an Open frame. Stream is unique within the process; Peer is
// the address of the router.
type Opened struct {
	Stream uint64
	Peer   string
	Open   *wire.Open
}

// Closed is the event that a request's stream ended, after its last frame or because its connection was lost.
type Closed struct{ Stream uint64 }

// Cancelled is the event that the router sent Cancel on a request's stream.
type Cancelled struct{ Stream uint64 }

// CallEnded is the result of a StartCall or ResumeCall action. Err is nil for a complete answer, or one of package
// engine's errors. Received reports whether bytes or the head of an answer have been received; Answer is the complete
// answer of a keyed call if it is small enough to be stored.
type CallEnded struct {
	Job      string
	Run      int
	Err      error
	Received bool
	Answer   *once.Answer
}

// AnswerStarted is the event that the first bytes of the job's answer have been received.
type AnswerStarted struct {
	Job string
	Run int
}

// EngineChecked is a listing read to check the upstream's liveness. Number is that of the CheckEngine action which
// requested it, 0 for a periodic check.
type EngineChecked struct {
	Number  uint64
	Listing engine.Listing
	Err     error
}

// OrderDone is the result of a SendOrder action.
type OrderDone struct {
	Order engine.Order
	Err   error
}

// Listed is the result of a FetchListing action.
type Listed struct {
	Listing engine.Listing
	Err     error
}

// ObjectRead is the result of a ReadObject action. Err is nil, store.ErrNotFound or another failure. Document is the
// decoded configuration of config/current, or nil if it was not decoded beforehand.
type ObjectRead struct {
	Key      string
	Object   store.Object
	Err      error
	Document *config.Document
}

// ObjectWritten is the result of a WriteObject action.
type ObjectWritten struct {
	Key     string
	Value   []byte
	Expect  uint64
	Version uint64
	Err     error
}

// StoreChanged carries changes from the watch. Document is as in ObjectRead. Synced reports whether all objects have
// been delivered at least once.
type StoreChanged struct {
	Objects  []store.Object
	Document *config.Document
	Synced   bool
}

// ObjectsReceived carries peer copies of objects, which may be outdated.
type ObjectsReceived struct{ Objects []store.Object }

// StoreFailed is the event that the watch failed.
type StoreFailed struct{ Err error }

// VMsRead carries the result of a read of the VM list that started at StartedAt.
type VMsRead struct {
	StartedAt time.Time
	VMs       []vmlist.VM
}

// ConfigReply is the result of a QueryConfig action. Doc is nil if the peer did not reply.
type ConfigReply struct {
	Peer string
	Doc  *wire.ConfigDoc
}

// QuarantineReceived carries another process's quarantine list.
type QuarantineReceived struct{ Entries []wire.QuarantineEntry }

// PermitRequested and PermitReleased are messages to this agent as the load coordinator. PermitIssued and PermitQueued
// are replies of another coordinator to this agent's requests.
type (
	PermitRequested struct{ Request wire.LoadPermitRequest }
	PermitReleased  struct{ ID string }
	PermitIssued    struct{ ID string }
	PermitQueued    struct{ ID string }
)

// Drain is the event that the process has to terminate, or that the VM is leaving if Leaving is set. Only a leaving VM
// unloads its models and releases its grants; otherwise the restarted agent takes them over.
type Drain struct{ Leaving bool }

// Tick makes time-dependent decisions run. Agent sends one every 100 ms.
type Tick struct{}

func (Opened) isEvent()             {}
func (Closed) isEvent()             {}
func (Cancelled) isEvent()          {}
func (AnswerStarted) isEvent()      {}
func (CallEnded) isEvent()          {}
func (EngineChecked) isEvent()      {}
func (OrderDone) isEvent()          {}
func (Listed) isEvent()             {}
func (ObjectRead) isEvent()         {}
func (ObjectWritten) isEvent()      {}
func (StoreChanged) isEvent()       {}
func (ObjectsReceived) isEvent()    {}
func (StoreFailed) isEvent()        {}
func (VMsRead) isEvent()            {}
func (ConfigReply) isEvent()        {}
func (QuarantineReceived) isEvent() {}
func (PermitRequested) isEvent()    {}
func (PermitReleased) isEvent()     {}
func (PermitIssued) isEvent()       {}
func (PermitQueued) isEvent()       {}
func (Drain) isEvent()              {}
func (Tick) isEvent()               {}

// Action is an output of Core.Step.
type Action interface{ isAction() }

// Attach connects a stream to the output of a job, from Offset on, and creates the output with the first stream. The
// stream's frames carry Request and Attempt; Open is the frame that created the job.
type Attach struct {
	Stream  uint64
	Job     string
	Open    *wire.Open
	Request string
	Attempt uint32
	Offset  uint64
}

// RefuseStream ends a stream with a refusal.
type RefuseStream struct {
	Stream uint64
	Refuse *wire.Refuse
}

// AnswerStream sends a stored answer on a stream and ends it.
type AnswerStream struct {
	Stream  uint64
	Request string
	Attempt uint32
	Offset  uint64
	Answer  once.Answer
}

// DropStream ends a stream without a further frame, because its attempt was cancelled, is stale or was replaced by a
// later one.
type DropStream struct{ Stream uint64 }

// TargetReady reports that a waiting job's target is loaded and that the job only waits for a slot.
type TargetReady struct{ Job string }

// StartCall starts the job's call at the upstream; the agent reports CallEnded with the same Run. With KeepAnswer set,
// CallEnded contains the complete answer; with Continue set, the upstream continues the output received so far.
type StartCall struct {
	Job        string
	Run        int
	Call       engine.Call
	KeepAnswer bool
	Continue   bool
}

// ResumeCall resumes the job's call at the upstream on a new connection, at the offset that its output has reached.
// Only calls of models are resumed.
type ResumeCall struct {
	Job  string
	Run  int
	Call engine.Call
}

// StopCall aborts the job's call; the upstream cancels it.
type StopCall struct {
	Job string
	Run int
}

// EndJob ends the job's output. Refuse is nil if the answer is complete.
type EndJob struct {
	Job    string
	Refuse *wire.Refuse
}

// ForgetJob discards the job's output.
type ForgetJob struct{ Job string }

// CheckEngine requests an immediate listing; the agent reports EngineChecked.
type CheckEngine struct{ Number uint64 }

// ReadObject reads an object from the store; the agent reports ObjectRead.
type ReadObject struct{ Key string }

// WriteObject requests a conditional update of an object; the agent reports ObjectWritten.
type WriteObject struct {
	Key    string
	Value  []byte
	Expect uint64
}

// QueryConfig queries a peer for its configuration; the agent reports ConfigReply.
type QueryConfig struct {
	Peer string
	Have uint64
}

// ExchangeQuarantine exchanges quarantine lists with a peer; the agent reports QuarantineReceived.
type ExchangeQuarantine struct {
	Peer    string
	Entries []wire.QuarantineEntry
}

// IssuePermit issues the permit for a request that this agent received as the load coordinator.
type IssuePermit struct{ ID string }

// RequestPermit requests a load permit from the coordinator at Addr.
type RequestPermit struct {
	Addr    string
	Request wire.LoadPermitRequest
}

// ReleasePermit withdraws a permit request or releases the permit that was issued for it.
type ReleasePermit struct{ ID string }

// LogChange writes a log line about a change of state.
type LogChange struct {
	Message string
	Err     error
}

// RecordColdStart records that requests waited for a target to be loaded. Waited is the longest wait.
type RecordColdStart struct{ Waited time.Duration }

// ResidencyAction is an order or a listing that the residency state machine requests.
type ResidencyAction struct{ Action residency.Action }

func (Attach) isAction()             {}
func (RefuseStream) isAction()       {}
func (AnswerStream) isAction()       {}
func (DropStream) isAction()         {}
func (TargetReady) isAction()        {}
func (StartCall) isAction()          {}
func (ResumeCall) isAction()         {}
func (StopCall) isAction()           {}
func (EndJob) isAction()             {}
func (ForgetJob) isAction()          {}
func (CheckEngine) isAction()        {}
func (ReadObject) isAction()         {}
func (WriteObject) isAction()        {}
func (QueryConfig) isAction()        {}
func (ExchangeQuarantine) isAction() {}
func (IssuePermit) isAction()        {}
func (RequestPermit) isAction()      {}
func (ReleasePermit) isAction()      {}
func (LogChange) isAction()          {}
func (RecordColdStart) isAction()    {}
func (ResidencyAction) isAction()    {}
