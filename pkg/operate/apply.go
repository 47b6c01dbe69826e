// Package operate holds the logic of the operators' command: applying a configuration, reading the system's status and
// draining a VM.
package operate

import (
	"errors"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Call is one thing that Apply asks of its driver.
type Call interface{ isCall() }

// Get asks for an object.
type Get struct{ Key string }

// List asks for the objects with a prefix.
type List struct{ Prefix string }

// Put asks for a conditional update.
type Put struct {
	Key    string
	Value  []byte
	Expect uint64
}

// Pause asks for a wait of PollInterval.
type Pause struct{}

func (Get) isCall()   {}
func (List) isCall()  {}
func (Put) isCall()   {}
func (Pause) isCall() {}

// Reply is the result of a Call. Err is nil or one of package store's errors.
type Reply struct {
	Object  store.Object
	Objects []store.Object
	Version uint64
	Err     error
}

type phase int

const (
	phaseConfig  phase = iota // read config/current
	phaseGrants               // list the grants and find the ceilings to lower
	phaseLower                // write lowered ceilings with the stamp
	phaseHold                 // wait until the holders beyond the ceilings have released
	phaseWatch                // check between two looks at holders that no other version was published
	phasePublish              // write config/current
	phaseSettle               // read config/current back
	phaseRaise                // list the grants and find the ceilings to raise
	phaseRaising              // write raised ceilings
	phaseDone
)

// Apply publishes a document step by step: it lowers ceilings, waits for holders, publishes and raises ceilings. It is a
// pure state machine; the driver carries out Next and reports Answer until Next returns nil. A ceiling in force is never
// above that of the document in force or of one that may be published next:
//
//   - Before the publication, ceilings are only lowered. Their stamp names the next version, so that no agent raises them.
//   - Every ceiling that shrinks is written, even if the object is absent or has it already. A delayed write of an earlier
//     apply then fails on the object's version.
//   - A ceiling with the stamp of a later version is left alone.
//
// Slices and maps are replaced and never changed in place, so that a copy of the struct is an independent machine.
type Apply struct {
	doc   *config.Document
	base  uint64
	stamp config.Stamp

	phase       phase
	pause       bool // a Pause comes before the next call
	confVersion uint64
	old         map[string]int    // ceilings of the configuration in force
	todo        []string          // models to lower, hold or raise, the current one first
	lowered     []string          // models whose ceilings were written before the publication
	known       map[string]seen   // objects as last read, by model
	fresh       bool              // known is current for todo[0]
	floor       map[string]uint64 // versions of lowered objects; an older version is a stale read
	holders     map[string][]string
	theirs      config.Envelope // in force after a lost race
	lastErr     error           // of the last call
	result      Result
}

// seen is an object as last read. The zero value says that there is none.
type seen struct {
	version uint64
	object  grant.Object
}

// NewApply returns the machine that publishes doc as the successor of version base. Only Raw, Digest and Config of doc
// are used.
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
	case phaseGrants, phaseRaise:
		return List{Prefix: store.PrefixGrants}
	case phaseLower, phaseRaising:
		if a.fresh {
			return a.ceilingPut()
		}
		return Get{Key: grant.Key(a.todo[0])}
	case phaseHold:
		return Get{Key: grant.Key(a.todo[0])}
	case phasePublish:
		return a.publishPut()
	}
	return Get{Key: store.KeyConfig}
}

func (a *Apply) publishPut() Call {
	value, err := config.NewEnvelope(a.base, a.doc.Raw).Encode()
	if err != nil {
		panic(err) // the document was encoded once before
	}
	return Put{Key: store.KeyConfig, Value: value, Expect: a.confVersion}
}

func (a *Apply) ceilingPut() Call {
	model := a.todo[0]
	s := a.known[model]
	o := s.object
	o.Stamp = a.stamp
	want := a.ceiling(model)
	if a.phase == phaseRaising || s.version == store.MustNotExist || o.Ceiling > want {
		o.Ceiling = want
	}
	return Put{Key: grant.Key(model), Value: o.Encode(), Expect: s.version}
}

// ceiling returns the document's ceiling of a model, 0 if it has none.
func (a *Apply) ceiling(model string) int { return ceilings(a.doc.Config)[model] }

func ceilings(c *config.Config) map[string]int {
	m := make(map[string]int, len(c.Models))
	for _, one := range c.Models {
		m[one.Name] = one.MaxReplicas
	}
	return m
}

// HandleReply reports the result of the call that Next returned.
func (a *Apply) HandleReply(ans Reply) {
	if a.pause {
		a.pause = false
		return
	}
	a.lastErr = nil
	if !errors.Is(ans.Err, store.ErrNotFound) && !errors.Is(ans.Err, store.ErrConflict) {
		a.lastErr = ans.Err
	}
	put := a.phase == phasePublish || a.fresh
	if ans.Err != nil && !put && !errors.Is(ans.Err, store.ErrNotFound) {
		a.pause = true // reads have no effect and are repeated
		return
	}
	switch a.phase {
	case phaseConfig, phaseWatch, phaseSettle:
		a.readConfig(ans)
	case phaseGrants:
		a.listed(ans.Objects)
	case phaseRaise:
		a.listedForRaise(ans.Objects)
	case phaseLower, phaseRaising:
		if a.fresh {
			a.wrote(ans)
		} else {
			a.readObject(ans)
		}
	case phaseHold:
		a.look(ans)
	case phasePublish:
		if ans.Err != nil {
			a.phase, a.pause = phaseSettle, !errors.Is(ans.Err, store.ErrConflict)
			return
		}
		a.published(a.stamp.Version, OutcomePublished)
	}
}

// readConfig settles what is in force.
func (a *Apply) readConfig(ans Reply) {
	var e config.Envelope
	if ans.Err == nil {
		var err error
		if e, err = config.DecodeEnvelope(ans.Object.Value); err != nil {
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
		a.published(e.Version, outcome)
	case e.Version > a.base || (e.Version != a.base && a.phase == phaseConfig):
		a.lost(e)
	case e.Version < a.base:
		a.pause = true // a stale read
	case a.phase == phaseConfig:
		a.begin(ans.Object.Version, e)
	case a.phase == phaseWatch:
		a.phase = phaseHold
	default:
		a.phase, a.pause, a.confVersion = phasePublish, true, ans.Object.Version
	}
}

func (a *Apply) begin(version uint64, e config.Envelope) {
	a.confVersion, a.phase = version, phaseGrants
	if e.Version == 0 {
		return
	}
	d, err := e.Document()
	if err != nil {
		a.fail(fault.Wrap(err, fault.StepConfig, store.KeyConfig, "read the document in force"))
		return
	}
	a.old = ceilings(d.Config)
}
