// Package operate implements the operators' command: it applies a configuration, reads the status of the system and
// drains a VM. The active configuration is the one stored in the object API under config/current; the command's output
// says that it is "in force".
package operate

import (
	"errors"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Call is a store call or a pause that Apply requests from its driver.
type Call interface{ isCall() }

// Get reads an object.
type Get struct{ Key string }

// List reads the objects with a prefix.
type List struct{ Prefix string }

// Put writes an object if its version is Expect.
type Put struct {
	Key    string
	Value  []byte
	Expect uint64
}

// Pause waits for PollInterval.
type Pause struct{}

func (Get) isCall()   {}
func (List) isCall()  {}
func (Put) isCall()   {}
func (Pause) isCall() {}

// Reply is the result of a Call. Err is nil or an error of package store.
type Reply struct {
	Object  store.Object
	Objects []store.Object
	Version uint64
	Err     error
}

// phase is the step that an apply has reached.
type phase int

const (
	phaseConfig       phase = iota // read config/current
	phaseListToLower               // list the grants and find the ceilings to lower
	phaseLower                     // write lowered ceilings with the stamp
	phaseAwaitRelease              // wait until no grants exceed the ceilings
	phaseCheckConfig               // check between two reads of the grants that no other version was published
	phasePublish                   // write config/current
	phaseResolve                   // read config/current back after a write with an unknown outcome
	phaseListToRaise               // list the grants and find the ceilings to raise
	phaseRaise                     // write raised ceilings
	phaseDone
)

// Apply is the state machine that publishes a document: it lowers ceilings, waits until no VM has a grant beyond them,
// publishes the document and raises ceilings. The driver executes the call that Next returns and passes the result to
// HandleReply until Next returns nil. A stored ceiling never exceeds that of the active document or of one that may be
// published next:
//
//   - Before the publication, ceilings are only lowered. Their stamp has the next version, so no agent raises them.
//   - Every ceiling that decreases is written, even if the object is absent or already has that ceiling. This makes a
//     delayed write of an earlier apply fail on the object's version.
//   - A ceiling with the stamp of a later version is not changed.
//
// Slices and maps are replaced and never modified, so that a copy of the struct is an independent state machine.
type Apply struct {
	doc   *config.Document
	base  uint64
	stamp config.Stamp

	phase               phase
	pause               bool // Next returns a Pause before the next call
	configObjectVersion uint64
	activeCeilings      map[string]int          // ceilings of the active configuration
	pending             []string                // models to lower, to wait for or to raise, the current one first
	lowered             []string                // models whose ceilings were written before the publication
	objects             map[string]storedGrants // objects as last read, by model
	writeNext           bool                    // the next call writes pending[0], based on objects
	minVersions         map[string]uint64       // object versions after lowering; an older version is a stale read
	holders             map[string][]string
	activeEnvelope      config.Envelope // of the active configuration after a lost race
	lastErr             error           // of the last call; nil after ErrNotFound and ErrConflict
	result              Result
}

// storedGrants is a grant object as last read. The zero value means that it does not exist.
type storedGrants struct {
	version uint64
	object  grant.Object
}

// NewApply returns an Apply that publishes doc as the successor of version base. It uses only Raw, Digest and Config of
// doc.
func NewApply(doc *config.Document, base uint64) *Apply {
	return &Apply{doc: doc, base: base, stamp: config.Stamp{Version: base + 1, Digest: doc.Digest}}
}

// Next returns the next call, or nil once the result is known. It does not change the state.
func (a *Apply) Next() Call {
	if a.phase == phaseDone {
		return nil
	}
	if a.pause {
		return Pause{}
	}
	switch a.phase {
	case phaseListToLower, phaseListToRaise:
		return List{Prefix: store.PrefixGrants}
	case phaseLower, phaseRaise:
		if a.writeNext {
			return a.ceilingPut()
		}
		return Get{Key: grant.Key(a.pending[0])}
	case phaseAwaitRelease:
		return Get{Key: grant.Key(a.pending[0])}
	case phasePublish:
		return a.publishPut()
	}
	return Get{Key: store.KeyConfig}
}

func (a *Apply) publishPut() Call {
	value, err := config.NewEnvelope(a.base, a.doc.Raw).Encode()
	if err != nil {
		panic(err) // the document has been encoded before
	}
	return Put{Key: store.KeyConfig, Value: value, Expect: a.configObjectVersion}
}

func (a *Apply) ceilingPut() Call {
	model := a.pending[0]
	s := a.objects[model]
	o := s.object
	o.Stamp = a.stamp
	want := a.ceiling(model)
	if a.phase == phaseRaise || s.version == store.MustNotExist || o.Ceiling > want {
		o.Ceiling = want
	}
	return Put{Key: grant.Key(model), Value: o.Encode(), Expect: s.version}
}

// ceiling returns the ceiling of a model in the document, or 0 if the document does not have the model.
func (a *Apply) ceiling(model string) int { return ceilings(a.doc.Config)[model] }

func ceilings(c *config.Config) map[string]int {
	m := make(map[string]int, len(c.Models))
	for _, model := range c.Models {
		m[model.Name] = model.MaxReplicas
	}
	return m
}

// HandleReply processes the result of the call that Next returned.
func (a *Apply) HandleReply(reply Reply) {
	if a.pause {
		a.pause = false
		return
	}
	a.lastErr = nil
	if !errors.Is(reply.Err, store.ErrNotFound) && !errors.Is(reply.Err, store.ErrConflict) {
		a.lastErr = reply.Err
	}
	put := a.phase == phasePublish || a.writeNext
	if reply.Err != nil && !put && !errors.Is(reply.Err, store.ErrNotFound) {
		a.pause = true // reads have no effect and are retried
		return
	}
	switch a.phase {
	case phaseConfig, phaseCheckConfig, phaseResolve:
		a.handleConfig(reply)
	case phaseListToLower:
		a.handleListToLower(reply.Objects)
	case phaseListToRaise:
		a.handleListToRaise(reply.Objects)
	case phaseLower, phaseRaise:
		if a.writeNext {
			a.handleWrite(reply)
		} else {
			a.handleRead(reply)
		}
	case phaseAwaitRelease:
		a.checkHolders(reply)
	case phasePublish:
		if reply.Err != nil {
			a.phase, a.pause = phaseResolve, !errors.Is(reply.Err, store.ErrConflict)
			return
		}
		a.finishPublish(a.stamp.Version, OutcomePublished)
	}
}

// handleConfig processes a read of the active configuration.
func (a *Apply) handleConfig(reply Reply) {
	var e config.Envelope
	if reply.Err == nil {
		var err error
		if e, err = config.DecodeEnvelope(reply.Object.Value); err != nil {
			a.fail(err)
			return
		}
	}
	switch {
	case e.Version > 0 && e.Digest == a.doc.Digest:
		outcome := OutcomePublished
		if a.phase == phaseConfig {
			outcome = OutcomeUnchanged
		}
		a.finishPublish(e.Version, outcome)
	case e.Version > a.base || (e.Version != a.base && a.phase == phaseConfig):
		a.finishLostRace(e)
	case e.Version < a.base:
		a.pause = true // a stale read
	case a.phase == phaseConfig:
		a.start(reply.Object.Version, e)
	case a.phase == phaseCheckConfig:
		a.phase = phaseAwaitRelease
	default:
		a.phase, a.pause, a.configObjectVersion = phasePublish, true, reply.Object.Version
	}
}

func (a *Apply) start(version uint64, e config.Envelope) {
	a.configObjectVersion, a.phase = version, phaseListToLower
	if e.Version == 0 {
		return
	}
	d, err := e.Document()
	if err != nil {
		a.fail(fault.Wrap(err, fault.StepConfig, store.KeyConfig, "read the document in force"))
		return
	}
	a.activeCeilings = ceilings(d.Config)
}
