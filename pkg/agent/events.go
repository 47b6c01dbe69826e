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

// Opened says that a router opened a stream with an Open frame. Stream is unique within the process; Peer is the
// address of the router.
type Opened struct {
	Stream uint64
	Peer   string
	Open   *wire.Open
}

// Closed says that a request's stream ended, after its last frame or by the loss of its connection.
type Closed struct{ Stream uint64 }

// Cancelled says that the router sent Cancel on a request's stream.
type Cancelled struct{ Stream uint64 }

// CallEnded is the end of a StartCall or ResumeCall action. Err is nil for a whole answer, or one of package engine's
// errors. Sent says that bytes or the head of an answer have been received; Answer is the whole answer of a keyed call
// if it is small enough to be kept.
type CallEnded struct {
	Job      string
	Run      int
	Err      error
	Received bool
	Answer   *once.Answer
}

// AnswerStarted says that the first bytes of the job's answer have been received.
type AnswerStarted struct {
	Job string
	Run int
}

// EngineChecked is a listing read for liveness. Number is that of the CheckEngine action that asked for it, 0 for none.
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

// StoreChanged carries changes from the watch. Document is as in ObjectRead. Synced says that all objects have been
// handed out at least once.
type StoreChanged struct {
	Objects  []store.Object
	Document *config.Document
	Synced   bool
}

// ObjectsReceived carries peers' copies of objects, which may be old.
type ObjectsReceived struct{ Objects []store.Object }

// StoreFailed says that the watch failed.
type StoreFailed struct{ Err error }

// VMsRead carries a read of the VM list that began at Began.
type VMsRead struct {
	StartedAt time.Time
	VMs       []vmlist.VM
}

// ConfigReply is the result of an AskConfig action. A nil Doc says that the peer did not answer.
type ConfigReply struct {
	Peer string
	Doc  *wire.ConfigDoc
}

// QuarantineReceived carries another process's quarantine list.
type QuarantineReceived struct{ Entries []wire.QuarantineEntry }

// PlaceAsked and PlaceReturned are asks to this agent as the load coordinator. PlaceGiven and PlaceQueued are answers
// of another coordinator.
type (
	PermitRequested struct{ Request wire.LoadPermitRequest }
	PermitReleased  struct{ ID string }
	PermitIssued    struct{ ID string }
	PermitQueued    struct{ ID string }
)

// Drain says that the process was asked to end, or that the VM is leaving if Leaving is set. Only a leaving VM unloads
// and releases its grants: a restarted agent takes them over.
type Drain struct{ Leaving bool }

// Tick lets time-dependent decisions run. The agent sends one every 100 ms.
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

// Attach connects a stream to the output of a job, from Offset on, and creates the output with the first stream. Frames
// carry Request and Attempt; Open is the frame that began the job.
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

// AnswerStream ends a stream with a stored answer.
type AnswerStream struct {
	Stream  uint64
	Request string
	Attempt uint32
	Offset  uint64
	Answer  once.Answer
}

// DropStream ends a stream without a further frame, because a later attempt has replaced it.
type DropStream struct{ Stream uint64 }

// TargetReady says that a waiting job's target is loaded, so that it lacks only a slot.
type TargetReady struct{ Job string }

// StartCall begins the job's call at the upstream; the agent reports CallEnded with the same Run. Keep says that the
// whole answer is reported, Continue that the upstream continues after the output so far.
type StartCall struct {
	Job        string
	Run        int
	Call       engine.Call
	KeepAnswer bool
	Continue   bool
}

// ResumeCall continues the job's call at the upstream on a new connection, at the offset that its output has reached. Only calls of models are resumed.
type ResumeCall struct {
	Job  string
	Run  int
	Call engine.Call
}

// StopCall ends the job's call; the upstream cancels it.
type StopCall struct {
	Job string
	Run int
}

// EndJob ends the job's output. A nil Refuse says that the answer is whole.
type EndJob struct {
	Job    string
	Refuse *wire.Refuse
}

// ForgetJob drops the job's output.
type ForgetJob struct{ Job string }

// CheckEngine asks for a listing at once; the agent reports EngineSeen.
type CheckEngine struct{ Number uint64 }

// ReadObject asks for a read; the agent reports ObjectRead.
type ReadObject struct{ Key string }

// WriteObject asks for a conditional update; the agent reports ObjectWritten.
type WriteObject struct {
	Key    string
	Value  []byte
	Expect uint64
}

// QueryConfig asks a peer for its configuration; the agent reports ConfigAnswered.
type QueryConfig struct {
	Peer string
	Have uint64
}

// ExchangeQuarantine exchanges quarantine lists with a peer; the agent reports QuarantineHeard.
type ExchangeQuarantine struct {
	Peer    string
	Entries []wire.QuarantineEntry
}

// IssuePermit answers an ask to this agent as the load coordinator.
type IssuePermit struct{ ID string }

// RequestPermit asks the coordinator at Addr; ReturnPlace withdraws the ask or returns the place.
type RequestPermit struct {
	Addr    string
	Request wire.LoadPermitRequest
}

// ReleasePermit ends an ask for a place.
type ReleasePermit struct{ ID string }

// LogChange asks for a log line about a change of state.
type LogChange struct {
	Message string
	Err     error
}

// RecordColdStart asks for a measurement: requests waited for a target that was not loaded. Waited is the longest wait.
type RecordColdStart struct{ Waited time.Duration }

// ResidencyAction is an order or a listing that the residency decision asks for.
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
