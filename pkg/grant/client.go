package grant

import (
	"errors"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Intent is what an agent wants to change about its own grant.
type Intent int

// Intents.
const (
	// IntentAcquire asks for a grant, or stamps the VM's grant with the incarnation of this process.
	IntentAcquire Intent = iota + 1
	// IntentRelease gives the grant up. The engine must have confirmed the unload before.
	IntentRelease
	// IntentRemoveGone removes the grants of VMs proved gone and leaves the VM's own as it is.
	IntentRemoveGone
)

// Write is one conditional update to send.
type Write struct {
	Value  []byte
	Expect uint64
}

// Client is what one agent process knows about the grants of one model. It has at most one write outstanding.
//
// A write whose answer was lost stays open until the object is seen under a version above the one that the write
// expected: only then can it no longer take effect. A further write against the same expected version settles it too,
// because at most one of them succeeds.
type Client struct {
	vm, incarnation string

	known   bool
	version uint64
	object  Object

	sent    bool   // a write was sent and its result has not arrived
	value   []byte // of the write sent last
	open    bool   // a write sent against openAt may still take effect
	before  bool   // open was set before the write sent last
	own     bool   // an open write changes the VM's own entry
	openAt  uint64 // version that open writes expect
	stale   bool   // a conflict showed that the object has a version above staleAt
	staleAt uint64
}

// NewClient returns a client that knows nothing yet.
func NewClient(vm, incarnation string) *Client {
	return &Client{vm: vm, incarnation: incarnation}
}

// Observe takes an object from a read or the watch. Version 0 says that the object does not exist. It ignores versions
// below the newest seen, since reads and watch answers may arrive out of order. A value that does not decode is an
// error and leaves the client unchanged.
func (c *Client) Observe(version uint64, value []byte) error {
	if c.known && version < c.version {
		return nil
	}
	var o Object
	if version != 0 {
		var err error
		if o, err = Decode(value); err != nil {
			return err
		}
	}
	c.known, c.version, c.object = true, version, o
	c.settle()
	return nil
}

func (c *Client) settle() {
	if c.open && !c.sent && c.version > c.openAt {
		c.open = false
	}
	if c.stale && c.version > c.staleAt {
		c.stale = false
	}
}

// IsCurrent says that the object was read and that no conflict has shown a newer version since.
func (c *Client) IsCurrent() bool { return c.known && !c.stale }

// WasRead says that the object was read at least once.
func (c *Client) WasRead() bool { return c.known }

// HasPendingWrite says that a write is outstanding.
func (c *Client) HasPendingWrite() bool { return c.sent }

// HasUnresolvedWrite says that a write may still take effect.
func (c *Client) HasUnresolvedWrite() bool { return c.open }

// Object returns the newest object seen.
func (c *Client) Object() Object { return c.object }

// MayLoad says that a load is legal: the entry carries this process's incarnation, is not revoked and no write is open.
func (c *Client) MayLoad() bool {
	g, i := c.object.Find(c.vm)
	return !(c.open && c.own) && i >= 0 && i < c.object.Ceiling && g.Incarnation == c.incarnation
}

// MayHaveEntry says that the VM may have an entry, so that the grant counts against the limit.
func (c *Client) MayHaveEntry() bool {
	_, i := c.object.Find(c.vm)
	return c.open || i >= 0
}

// Entry reports whether the newest object seen has an entry of the VM, and whether this process stamped it.
func (c *Client) Entry() (present, stamped bool) {
	g, i := c.object.Find(c.vm)
	return i >= 0, i >= 0 && g.Incarnation == c.incarnation
}

// Ceiling is the ceiling that the accepted configuration sets for the model.
type Ceiling struct {
	Replicas int
	Stamp    config.Stamp
}

// IsRevoked says that the VM's entry lies beyond the stored ceiling or beyond that of the accepted configuration.
func (c *Client) IsRevoked(cl Ceiling) bool {
	o, _ := SetCeiling(c.object, cl.Replicas, cl.Stamp)
	return c.object.IsRevoked(c.vm) || o.IsRevoked(c.vm)
}

// Plan returns the write that carries out the intent and marks it sent. It returns no write if nothing has to change or
// the client cannot write now, and ErrCeiling if no grant is free. An acquisition also removes the grants of VMs proved
// gone and writes the ceiling of the accepted configuration.
func (c *Client) Plan(in Intent, cl Ceiling, gone func(vm string) bool) (*Write, error) {
	if c.sent || !c.IsCurrent() {
		return nil, nil
	}
	next, changed := c.object, false
	var err error
	switch in {
	case IntentAcquire:
		if c.MayLoad() {
			return nil, nil
		}
		next, _ = SetCeiling(next, cl.Replicas, cl.Stamp)
		next, _ = RemoveGone(next, gone)
		if next, err = Acquire(next, c.vm, c.incarnation); err != nil {
			return nil, err
		}
	case IntentRelease:
		// An open write may still add an entry. Writing the unchanged object settles it.
		if next, changed = Release(next, c.vm); !changed && !c.open {
			return nil, nil
		}
	case IntentRemoveGone:
		if next, changed = RemoveGone(next, gone); !changed {
			return nil, nil
		}
	}
	c.before, c.own = c.open, c.open && c.own || in != IntentRemoveGone
	c.sent, c.open, c.openAt, c.value = true, true, c.version, next.Encode()
	return &Write{Value: c.value, Expect: c.version}, nil
}

// RecordWriteResult takes the result of the outstanding write and reports whether the object has to be read. Err is nil or
// one of package store's errors.
func (c *Client) RecordWriteResult(version uint64, err error) (read bool) {
	if !c.sent {
		return false
	}
	c.sent = false
	switch {
	case err == nil:
		c.settle()
		return c.Observe(version, c.value) != nil
	case errors.Is(err, store.ErrConflict):
		// The object has moved past the expected version, so no write against it can take effect any more; but it may
		// be an earlier one of this process that moved it.
		c.stale, c.staleAt = true, c.openAt
		c.settle()
		return c.stale
	case errors.Is(err, store.ErrUnavailable):
		// This write took no effect, but an earlier one with a lost answer may be open against the same version.
		c.open = c.before
	}
	c.settle()
	return c.open
}
