// Package engine defines the interface of an agent to its upstream, which is a model engine or a plain service.
package engine

import (
	"context"
	"errors"
	"time"
)

// Errors of orders and calls. Implementations may wrap them.
var (
	// ErrStaleFence is returned when the engine refused an order with an old fencing number; the order had no effect.
	ErrStaleFence = errors.New("order refused: old fencing number")
	// ErrRefused is returned when the engine refused an order or call for another reason; it had no effect.
	ErrRefused = errors.New("refused by the engine")
	// ErrNotStarted is returned when a call never reached the upstream.
	ErrNotStarted = errors.New("call not started")
	// ErrUnknown is returned when an order or call may have taken effect.
	ErrUnknown = errors.New("outcome at the engine is unknown")
	// ErrUnresponsive is returned when no heartbeat arrived on the connection for longer than LivenessTimeout.
	ErrUnresponsive = errors.New("no heartbeat from the upstream within the liveness timeout")
	// ErrDied is returned when the upstream process ended while a call ran.
	ErrDied = errors.New("upstream process ended")
)

const (
	// LivenessInterval is the time between two heartbeats in a model engine's stream.
	LivenessInterval = 500 * time.Millisecond
	// LivenessTimeout is the time without a heartbeat after which a connection is considered dead: three intervals.
	LivenessTimeout = 3 * LivenessInterval
	// OrderDropDelay is the time within which an engine drops an order after its connection closed.
	OrderDropDelay = 30 * time.Second
)

// Target is a model, or an adapter on its base model.
type Target struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order asks the engine to load or unload a target. Fence increases with each order of a VM.
type Order struct {
	Kind   OrderKind `json:"kind"`
	Target Target    `json:"target"`
	Fence  uint64    `json:"fence"`
}

// Resident is a target that the engine has loaded or is loading.
type Resident struct {
	Target      Target `json:"target"`
	MemoryBytes int64  `json:"memoryBytes"`
	Loading     bool   `json:"loading,omitempty"`
}

// Tier is the storage tier of the copy of a model's weights that is cheapest to load.
type Tier string

// Tiers, the cheapest first. TierStore is the weight store.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierStore  Tier = "remote"
)

// Listing describes what the engine has loaded and its capacity. Epoch changes when the engine process restarts.
type Listing struct {
	Epoch        string          `json:"epoch"`
	MemoryBytes  int64           `json:"memoryBytes"` // capacity
	Slots        int             `json:"slots"`       // maximum number of calls in the batch
	Resident     []Resident      `json:"resident"`
	Tiers        map[string]Tier `json:"tiers,omitempty"` // by model name
	Running      int             `json:"running"`
	EnforceFence bool            `json:"enforceFence,omitempty"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Call is one attempt of a request at the upstream.
type Call struct {
	RequestID   string // id of the request; a resumed call has the same id
	Target      Target // empty for a plain service
	Method      string
	Path        string
	Header      []Header
	Body        []byte
	Priority    int    // larger is more urgent
	Offset      uint64 // bytes of output that the caller has received
	Prefix      []byte // output so far of another engine, which this one continues
	Traceparent string
}

// Head is the start of an answer.
type Head struct {
	Status int
	Header []Header
}

// Stream is the answer to a call.
type Stream interface {
	// Head returns the status and headers.
	Head() Head
	// Next returns the next bytes of the body, io.EOF after the last ones, or ErrUnresponsive, ErrDied or ErrUnknown.
	Next(ctx context.Context) ([]byte, error)
	// Close ends the call; the engine cancels the call if it is still running.
	Close() error
}

// Engine is a client of one upstream. Its methods are safe for concurrent use.
type Engine interface {
	// Order sends one order on a connection of its own and waits for the engine's confirmation.
	Order(ctx context.Context, o Order) error
	// Listing reads what the engine has loaded, on a connection of its own.
	Listing(ctx context.Context) (Listing, error)
	// Start begins a call. ErrNotStarted guarantees that nothing was sent.
	Start(ctx context.Context, c Call) (Stream, error)
	// Resume continues a running call at c.Offset on a new connection.
	Resume(ctx context.Context, c Call) (Stream, error)
}
