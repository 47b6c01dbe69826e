// Package store defines the platform's object API as the system uses it: objects with versions, conditional updates
// and one watch over all keys.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrNotFound says that the key has no object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object has another version than the update named; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnknown says that the answer to a write was lost; it may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable says that the call did not take effect because the service could not be reached.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrCompacted says that the watch's revision is too old; the caller lists again.
	ErrCompacted = errors.New("watch revision compacted")
)

// Object is one stored object. Version grows with every write over all keys (it is the revision of that write).
type Object struct {
	Key     string
	Version uint64
	Value   []byte
	// Deleted marks the removal of the key in a watch.
	Deleted bool
}

// MustNotExist as the expected version makes Put a creation.
const MustNotExist uint64 = 0

// Store is a client of the object API. Its methods are safe for concurrent use and make one call each.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object has version expect (MustNotExist for none) and returns the new version.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete removes the object if it has version expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// List returns all objects with the prefix, sorted by key, and the revision of the listing.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch returns the objects changed after revision since, waiting up to wait for the first change. An empty
	// result with no error means that nothing changed.
	Watch(ctx context.Context, since uint64, wait time.Duration) ([]Object, uint64, error)
}

// Keys and prefixes of the system's objects.
const (
	KeyConfig        = "config/current"
	KeyQuarantine    = "quarantine/list"
	PrefixGrants     = "grants/"
	PrefixOwners     = "owners/"
	PrefixUpstreams  = "upstreams/"
	MaxValueBytes    = 1 << 20
	WatchHold        = 10 * time.Second
	WatchMinInterval = 4 * time.Second
)
