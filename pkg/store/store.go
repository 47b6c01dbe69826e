// Package store defines the part of the platform's object API that the system uses: objects with versions, conditional
// updates and a single watch over all keys.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that implementations of Store return, possibly wrapped.
var (
	// ErrNotFound is returned when the key has no object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned when the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnknown is returned when the outcome of a write is unknown: it may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable is returned when the service is unavailable; the call did not take effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrCompacted is returned when the revision of a watch is too old; the caller lists again.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrRestored is returned when the store has been restored from an earlier copy: what was read before may be lost, and
	// revisions are given out again. The caller lists again.
	ErrRestored = errors.New("store restored from a copy")
	// ErrUnreadable is returned when a response has begun but cannot be read: it is too large, ends early or is malformed.
	// The same watch may return the same response again; the caller lists instead.
	ErrUnreadable = errors.New("response not readable")
)

// Object is a stored object. Version is the revision of its last write; revisions ascend with every write to any key.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
	// Deleted reports, in the result of a watch, whether the object was deleted.
	Deleted bool
}

// MustNotExist is the expected version with which Put creates an object that must not exist yet.
const MustNotExist uint64 = 0

// Store is a client of the object API. Its methods are safe for concurrent use, and each makes one call.
type Store interface {
	// Get returns the object, or ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object has the version expect, or if it does not exist and expect is MustNotExist. It
	// returns the new version.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete deletes the object if it has the version expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// List returns all objects whose keys have the prefix, sorted by key, and the revision of the listing.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch returns the objects that changed after revision since, waiting up to wait for the first change, and the
	// revision from which to continue. An empty result without an error means that nothing changed.
	Watch(ctx context.Context, since uint64, wait time.Duration) ([]Object, uint64, error)
}

// Keys, key prefixes and limits of the system's objects, and intervals of its watches. WatchHold is the duration of a
// long poll and WatchMinInterval the minimum time between the starts of two watch calls.
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
