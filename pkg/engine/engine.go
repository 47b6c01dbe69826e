// Package engine defines an upstream as its agent sees it: a model engine or a plain service.
package engine

import (
	"context"
	"errors"
	"time"
)

// Errors of orders and calls, possibly wrapped.
var (
	// ErrStaleFence says that the engine refused the order because of its old fencing number; it has no effect.
	ErrStaleFence = errors.New("order refused: old fencing number")
	// ErrRefused says that the engine refused the order or call for another reason; it has no effect.
	ErrRefused = errors.New("refused by the engine")
	// ErrNotStarted says that the call never reached the upstream.
	ErrNotStarted = errors.New("call not started")
	// ErrUnknown says that the order or call may have taken effect.
	ErrUnknown = errors.New("outcome at the engine is unknown")
	// ErrUnresponsive says that the connection gave no sign of life for longer than LivenessTimeout.
	ErrUnresponsive = errors.New("connection silent")
	// ErrDied says that the upstream process ended while the call ran.
	ErrDied = errors.New("upstream process ended")
)

const (
	// LivenessInterval is the time between two signs of life in a model engine's stream.
	LivenessInterval = 500 * time.Millisecond
	// LivenessTimeout is three missed signs of life; after it the connection counts as dead.
	LivenessTimeout = 3 * LivenessInterval
	// OrderDropDelay is the time after which an engine has dropped an order whose connection closed.
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

// Order asks the engine to load or unload a target. Fence grows with each order of a VM.
type Order struct {
	Kind   OrderKind `json:"kind"`
	Target Target    `json:"target"`
	Fence  uint64    `json:"fence"`
}

// Resident is one entry of the engine's listing.
type Resident struct {
	Target      Target `json:"target"`
	MemoryBytes int64  `json:"memoryBytes"`
	Loading     bool   `json:"loading,omitempty"`
}

// Tier is where the cheapest copy of a checkpoint lies.
type Tier string

// Tiers, the cheapest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Listing is what the engine holds. Epoch changes when the engine process restarts.
type Listing struct {
	Epoch        string          `json:"epoch"`
	MemoryBytes  int64           `json:"memoryBytes"` // capacity
	Slots        int             `json:"slots"`       // calls run at once in the batch
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

// Call is one request to the upstream.
type Call struct {
	RequestID   string // request id, unique for each attempt series
	Target      Target // empty for a plain service
	Method      string
	Path        string
	Header      []Header
	Body        []byte
	Priority    int    // larger is more urgent
	Offset      uint64 // bytes of output that the caller has already
	Prefix      []byte // output text so far, when another engine continues the stream
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
	// Close ends the call; the engine cancels it if it still runs.
	Close() error
}

// Engine is a client of one upstream. Its methods are safe for concurrent use.
type Engine interface {
	// Order sends one order on a connection of its own and waits for the engine's confirmation.
	Order(ctx context.Context, o Order) error
	// Listing reads what the engine holds, on a connection of its own.
	Listing(ctx context.Context) (Listing, error)
	// Start begins a call. ErrNotStarted proves that nothing was sent.
	Start(ctx context.Context, c Call) (Stream, error)
	// Resume continues a running call at c.Offset on a new connection.
	Resume(ctx context.Context, c Call) (Stream, error)
}
