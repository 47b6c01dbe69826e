// Package wire defines the messages between the system's processes and their framing on a stream.
package wire

import "github.com/hibiscuscross/hibiscuscross/pkg/engine"

// Outcome is what is certain about the execution of a request.
type Outcome uint8

// Outcomes. The zero value is not valid on the wire.
const (
	// OutcomeDone means that the request ran and the answer is complete.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that the request is confirmed not to have run and never will under this id.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the value used in the Hibiscuscross-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Kind is the kind of a request.
type Kind uint8

// Kinds of requests.
const (
	KindModel Kind = iota + 1
	KindPlain
)

// Code is the machine-readable reason of a refusal.
type Code string

// Codes of refusals.
const (
	CodeBadRequest   Code = "bad_request"   // the request can never succeed as it is
	CodeNoReplica    Code = "no_replica"    // this VM may not load the model; Holders names those that may
	CodeNoMemory     Code = "no_memory"     // the upstream has not enough memory for the target
	CodeQueueFull    Code = "queue_full"    // the queue's limit in count or bytes is reached
	CodeTooLate      Code = "too_late"      // the predicted wait exceeds the deadline
	CodeExpired      Code = "expired"       // the deadline passed before the request started
	CodeDraining     Code = "draining"      // the upstream is leaving
	CodeQuarantined  Code = "quarantined"   // the request has crashed upstreams
	CodeNotOwner     Code = "not_owner"     // the key's slot has another owner
	CodeKeyTooOld    Code = "key_too_old"   // the key was issued before the owner's epoch
	CodeKeyInFuture  Code = "key_in_future" // the key was issued ahead of the owner's clock
	CodeUpstreamDown Code = "upstream_down" // the upstream does not respond or ended during the call
	CodeNoUpstream   Code = "no_upstream"   // no upstream is eligible
	CodeNoConfig     Code = "no_config"     // the process has no configuration yet
	CodePeerLost     Code = "peer_lost"     // the connection to the agent was lost and could not be resumed
	CodeBudget       Code = "retry_budget"  // the retry budget is spent
)

// Sync is attached to messages between processes, so that a process with older data notices and fetches it.
type Sync struct {
	ConfigVersion  uint64 `cbor:"1,keyasint,omitempty"`
	QuarantineHash uint64 `cbor:"2,keyasint,omitempty"`
}

// Load is an agent's report of its own load. It may lag and is only a hint.
type Load struct {
	Queued          uint32 `cbor:"1,keyasint,omitempty"`
	Running         uint32 `cbor:"2,keyasint,omitempty"`
	Slots           uint32 `cbor:"3,keyasint,omitempty"`
	PredictedWaitMS uint32 `cbor:"4,keyasint,omitempty"` // predicted wait for a new request, ms
	Draining        bool   `cbor:"5,keyasint,omitempty"`
}

// Open starts or resumes a request. It is the first frame of its stream.
type Open struct {
	Request       string          `cbor:"1,keyasint"`
	Attempt       uint32          `cbor:"2,keyasint"` // grows with each connection tried for the request
	Kind          Kind            `cbor:"3,keyasint"`
	Caller        string          `cbor:"4,keyasint"`
	Service       string          `cbor:"5,keyasint"`
	Target        engine.Target   `cbor:"6,keyasint"`
	Method        string          `cbor:"7,keyasint"`
	Path          string          `cbor:"8,keyasint"`
	Header        []engine.Header `cbor:"9,keyasint"`
	Body          []byte          `cbor:"10,keyasint"`
	TimeoutMS     int64           `cbor:"11,keyasint"` // time remaining to the deadline when the frame was sent, ms
	Priority      int             `cbor:"12,keyasint"` // higher is more urgent
	NonIdempotent bool            `cbor:"13,keyasint"`
	Key           string          `cbor:"14,keyasint"`
	FirstSend     bool            `cbor:"15,keyasint"` // the caller asserts that it never sent the key before
	Fingerprint   uint64          `cbor:"16,keyasint"`
	Resume        bool            `cbor:"17,keyasint"` // continue the attempt that is or was running at this agent
	Offset        uint64          `cbor:"18,keyasint"` // bytes of the answer that the router has received
	Prefix        []byte          `cbor:"19,keyasint"` // output so far, when another agent continues the answer
	Traceparent   string          `cbor:"20,keyasint"`
	Sync          Sync            `cbor:"21,keyasint"`
	Slot          uint32          `cbor:"22,keyasint"` // key slot, for a non-idempotent request
	Epoch         uint64          `cbor:"23,keyasint"` // owner epoch in the router's view
}

// Accept reports that the agent has queued the request.
type Accept struct {
	Request string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Load    Load   `cbor:"3,keyasint"`
	Sync    Sync   `cbor:"4,keyasint"`
}

// Head carries the answer's status and headers.
type Head struct {
	Request string          `cbor:"1,keyasint"`
	Attempt uint32          `cbor:"2,keyasint"`
	Status  int             `cbor:"3,keyasint"`
	Header  []engine.Header `cbor:"4,keyasint"`
}

// Data carries bytes of the answer's body at an offset. It is by far the most frequent message, so it is encoded as an
// array, which decodes faster than a map.
type Data struct {
	_       struct{} `cbor:",toarray"`
	Request string
	Attempt uint32
	Offset  uint64
	Bytes   []byte
}

// Ping is the heartbeat in a request's stream.
type Ping struct {
	Load Load `cbor:"1,keyasint"`
	Sync Sync `cbor:"2,keyasint"`
}

// End ends an answer. Length is the body's length in bytes.
type End struct {
	Request string  `cbor:"1,keyasint"`
	Attempt uint32  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	Length  uint64  `cbor:"4,keyasint"`
	Load    Load    `cbor:"5,keyasint"`
	Sync    Sync    `cbor:"6,keyasint"`
}

// Refuse ends a request without a complete answer.
type Refuse struct {
	Request      string   `cbor:"1,keyasint"`
	Attempt      uint32   `cbor:"2,keyasint"`
	Outcome      Outcome  `cbor:"3,keyasint"` // not-run or unknown
	Code         Code     `cbor:"4,keyasint"`
	Reason       string   `cbor:"5,keyasint"`
	RetryAfterMS int64    `cbor:"6,keyasint"`
	Holders      []string `cbor:"7,keyasint"` // VM ids that may serve the request
	Load         Load     `cbor:"8,keyasint"`
	Sync         Sync     `cbor:"9,keyasint"`
}

// Cancel tells the agent that the router no longer needs the answer.
type Cancel struct {
	Request string `cbor:"1,keyasint"`
}

// ConfigGet requests a peer's configuration if it is newer than version Have.
type ConfigGet struct {
	Have uint64 `cbor:"1,keyasint"`
}

// ConfigDoc is the reply to ConfigGet. An empty Document means that the peer has no newer one.
type ConfigDoc struct {
	Version  uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"` // lower-case hexadecimal SHA-256 of Document
	Document []byte `cbor:"3,keyasint"`
}

// QuarantineGet requests a peer's quarantine list and carries the sender's own.
type QuarantineGet struct {
	Entries []QuarantineEntry `cbor:"1,keyasint"`
}

// QuarantineList is the reply to QuarantineGet.
type QuarantineList struct {
	Entries []QuarantineEntry `cbor:"1,keyasint"`
}

// QuarantineEntry is one quarantined fingerprint.
type QuarantineEntry struct {
	Fingerprint uint64 `cbor:"1,keyasint" json:"fingerprint"`
	UnixMS      int64  `cbor:"2,keyasint" json:"unixMs"`
	Reason      string `cbor:"3,keyasint" json:"reason"`
}

// LoadPermitRequest asks the load coordinator for a permit to load from the weight store.
type LoadPermitRequest struct {
	ID        string `cbor:"1,keyasint"`
	VM        string `cbor:"2,keyasint"`
	Model     string `cbor:"3,keyasint"`
	Bytes     int64  `cbor:"4,keyasint"`
	TimeoutMS int64  `cbor:"5,keyasint"` // time remaining to the deadline of the most urgent waiting request
}

// LoadPermit issues the permit that was requested with the id.
type LoadPermit struct {
	ID string `cbor:"1,keyasint"`
}

// LoadPermitRelease releases a permit.
type LoadPermitRelease struct {
	ID string `cbor:"1,keyasint"`
}

// StatusGet requests the status of a process.
type StatusGet struct{}

// Status is the status of a process as JSON, for operators.
type Status struct {
	JSON []byte `cbor:"1,keyasint"`
}

// ObjectsGet requests a peer's objects of the store. A process sends it if it started during a store outage.
type ObjectsGet struct{}

// ObjectsList is the reply to ObjectsGet with the peer's newest version of each object under upstreams/, grants/ and
// owners/. Like each message it is bounded by MaxFrameBytes; the objects of 830 upstreams and 150 models take less than
// 1 MB.
type ObjectsList struct {
	Objects []Object `cbor:"1,keyasint"`
}

// Object is a copy of an object of the store. Version is the store's version, which increases across all keys.
type Object struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint"`
}
