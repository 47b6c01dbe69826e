package grant

import (
	"errors"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Intent is a change that an agent makes to the grants of a model.
type Intent int

// Intents.
const (
	// IntentAcquire acquires a grant, or stamps the VM's grant with the incarnation of this process.
	IntentAcquire Intent = iota + 1
	// IntentRelease releases the VM's grant. The engine must have confirmed the unload before.
	IntentRelease
	// IntentRemoveGone removes the grants of VMs confirmed gone and leaves the VM's own grant unchanged.
	IntentRemoveGone
)

// Write is one conditional update of the object: it takes effect only if the object's version is Expect.
type Write struct {
	Value  []byte
	Expect uint64
}

// Client is one agent process's view of the grants of one model. It has at most one write outstanding.
//
// A write whose reply was lost stays unresolved until the object is read with a version above the one that the write
// expected, because only then can the write no longer take effect. A further write with the same expected version
// resolves it too, because at most one of the two succeeds.
type Client struct {
	vm, incarnation string

	wasRead bool
	version uint64
	object  Object

	pending       bool   // a write was sent and its result has not arrived
	pendingValue  []byte // value of the last write sent
	unresolved    bool   // a write that expects expectVersion may still take effect
	wasUnresolved bool   // unresolved was set before the last write was sent
	ownEntry      bool   // an unresolved write may change the VM's own entry
	expectVersion uint64 // version that the last write expects
	stale         bool   // a conflict showed that the object has a version above staleVersion
	staleVersion  uint64
}

// NewClient returns a client that has not read the object yet.
func NewClient(vm, incarnation string) *Client {
	return &Client{vm: vm, incarnation: incarnation}
}

// Observe applies an object from a read or the watch. Version 0 means that the object does not exist. Versions below
// the newest observed one are ignored, because results of reads and of the watch may arrive out of order. Observe
// returns an error and leaves the client unchanged if the value does not decode.
func (c *Client) Observe(version uint64, value []byte) error {
	if c.wasRead && version < c.version {
		return nil
	}
	var o Object
	if version != 0 {
		var err error
		if o, err = Decode(value); err != nil {
			return err
		}
	}
	c.wasRead, c.version, c.object = true, version, o
	c.resolve()
	return nil
}

// resolve clears unresolved and stale once the observed version is high enough.
func (c *Client) resolve() {
	if c.unresolved && !c.pending && c.version > c.expectVersion {
		c.unresolved = false
	}
	if c.stale && c.version > c.staleVersion {
		c.stale = false
	}
}

// IsCurrent reports whether the object was read and no conflict has shown a newer version since.
func (c *Client) IsCurrent() bool { return c.wasRead && !c.stale }

// WasRead reports whether the object was read at least once.
func (c *Client) WasRead() bool { return c.wasRead }

// HasPendingWrite reports whether a write was sent whose result has not arrived.
func (c *Client) HasPendingWrite() bool { return c.pending }

// HasUnresolvedWrite reports whether a write may still take effect.
func (c *Client) HasUnresolvedWrite() bool { return c.unresolved }

// Object returns the newest object observed.
func (c *Client) Object() Object { return c.object }

// MayLoad reports whether the grant permits a load: the VM's entry carries this process's incarnation and lies below
// the ceiling, and no unresolved write may change it.
func (c *Client) MayLoad() bool {
	g, i := c.object.Find(c.vm)
	return !(c.unresolved && c.ownEntry) && i >= 0 && i < c.object.Ceiling && g.Incarnation == c.incarnation
}

// MayHaveEntry reports whether the object has or may get an entry of the VM, which counts against the replica limit.
func (c *Client) MayHaveEntry() bool {
	_, i := c.object.Find(c.vm)
	return c.unresolved || i >= 0
}

// Entry reports whether the newest object observed has an entry of the VM, and whether this process stamped it.
func (c *Client) Entry() (present, stamped bool) {
	g, i := c.object.Find(c.vm)
	return i >= 0, i >= 0 && g.Incarnation == c.incarnation
}

// Ceiling is the ceiling that the accepted configuration sets for the model.
type Ceiling struct {
	Replicas int
	Stamp    config.Stamp
}

// IsRevoked reports whether the VM's entry lies beyond the stored ceiling or beyond that of the accepted configuration.
func (c *Client) IsRevoked(ceiling Ceiling) bool {
	o, _ := SetCeiling(c.object, ceiling.Replicas, ceiling.Stamp)
	return c.object.IsRevoked(c.vm) || o.IsRevoked(c.vm)
}

// Plan returns the write that implements the intent and records it as pending. It returns no write if nothing has to
// change or the client cannot write now, and ErrCeiling if the ceiling allows no further grant. An acquisition also
// removes the grants of VMs confirmed gone and sets the ceiling of the accepted configuration.
func (c *Client) Plan(intent Intent, ceiling Ceiling, isGone func(vm string) bool) (*Write, error) {
	if c.pending || !c.IsCurrent() {
		return nil, nil
	}
	next, changed := c.object, false
	var err error
	switch intent {
	case IntentAcquire:
		if c.MayLoad() {
			return nil, nil
		}
		next, _ = SetCeiling(next, ceiling.Replicas, ceiling.Stamp)
		next, _ = RemoveGone(next, isGone)
		if next, err = Acquire(next, c.vm, c.incarnation); err != nil {
			return nil, err
		}
	case IntentRelease:
		// An unresolved write may still add an entry. Writing the unchanged object resolves it.
		if next, changed = Release(next, c.vm); !changed && !c.unresolved {
			return nil, nil
		}
	case IntentRemoveGone:
		if next, changed = RemoveGone(next, isGone); !changed {
			return nil, nil
		}
	}
	c.wasUnresolved, c.ownEntry = c.unresolved, c.unresolved && c.ownEntry || intent != IntentRemoveGone
	c.pending, c.unresolved, c.expectVersion, c.pendingValue = true, true, c.version, next.Encode()
	return &Write{Value: c.pendingValue, Expect: c.version}, nil
}

// RecordWriteResult records the result of the pending write and reports whether the object has to be read. Err is nil
// or one of package store's errors.
func (c *Client) RecordWriteResult(version uint64, err error) (read bool) {
	if !c.pending {
		return false
	}
	c.pending = false
	switch {
	case err == nil:
		c.resolve()
		return c.Observe(version, c.pendingValue) != nil
	case errors.Is(err, store.ErrConflict):
		// The object has a newer version than expected, so no unresolved write can take effect any more. An earlier
		// write of this process may have produced that version.
		c.stale, c.staleVersion = true, c.expectVersion
		c.resolve()
		return c.stale
	case errors.Is(err, store.ErrUnavailable):
		// This write had no effect, but an earlier one with a lost reply may be unresolved.
		c.unresolved = c.wasUnresolved
	}
	c.resolve()
	return c.unresolved
}
