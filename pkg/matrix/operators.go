package matrix

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/operate"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// operator runs operate.Apply against the fake object API.
type operator struct {
	w           *World
	name        string
	apply       *operate.Apply
	dead        bool
	pausedUntil time.Time
	// applies is the number of applies, of which all but the first follow a lost race.
	applies int
	doc     *config.Document
}

// maxApplies bounds how often an operator applies a document that loses races against other operators.
const maxApplies = 5

// submit makes an operator apply the document as the successor of the accepted version. After a lost race the operator
// applies it again.
func (w *World) submit(name string, doc *config.Document) {
	o := &operator{w: w, name: name, doc: doc}
	w.operators = append(w.operators, o)
	o.start()
}

func (o *operator) start() {
	o.applies++
	o.apply = operate.NewApply(o.doc, o.w.acceptedVersion())
	o.next()
}

func (o *operator) resume(do func()) {
	if o.dead {
		return
	}
	if o.w.now.Before(o.pausedUntil) {
		o.w.after(o.pausedUntil.Sub(o.w.now), func() { o.resume(do) })
		return
	}
	do()
}

func (o *operator) handleReply(reply operate.Reply) {
	o.resume(func() {
		o.apply.HandleReply(reply)
		o.next()
	})
}

func (o *operator) next() {
	s := o.w.store
	switch c := o.apply.Next().(type) {
	case nil:
		o.finished()
	case operate.Get:
		s.get(c.Key, func(obj store.Object, err error) { o.handleReply(operate.Reply{Object: obj, Err: err}) })
	case operate.List:
		s.list(c.Prefix, func(objs []store.Object, err error) { o.handleReply(operate.Reply{Objects: objs, Err: err}) })
	case operate.Put:
		if c.Key == store.KeyConfig {
			o.w.reached(StepAccept, o.name)
		}
		if o.dead {
			return
		}
		s.put(c.Key, c.Value, c.Expect, func(v uint64, err error) { o.handleReply(operate.Reply{Version: v, Err: err}) })
	case operate.Pause:
		o.w.after(time.Second, func() { o.handleReply(operate.Reply{}) })
	}
}

// finished applies the document again after a lost race, so that it replaces the document that won.
func (o *operator) finished() {
	if o.apply.Result().Outcome == operate.OutcomeLostRace && o.applies < maxApplies {
		o.w.after(time.Second, func() { o.resume(o.start) })
	}
}

// document returns a configuration with the given ceiling of model m2. The revision makes its digest unique.
func document(revision, ceiling int) *config.Document {
	c := &config.Config{
		APIVersion: config.APIVersion, Deployment: fmt.Sprintf("matrix-%d", revision),
		Weights: config.Weights{ColdStart: 1, IdleAccelerator: 1},
		Limits:  config.Limits{MaxWaitMS: maxWait.Milliseconds(), UpstreamMemoryBytes: memoryLimit},
		Groups:  []config.Group{{Name: groupModels, Kind: config.GroupModels}, {Name: groupPlain, Kind: config.GroupPlain}},
		Models: []config.Model{
			{Name: "m1", Group: groupModels, MaxReplicas: 1, MemoryBytes: sizeM1 - kvReserve, KVReserveBytes: kvReserve, Accelerators: 1},
			{Name: "m2", Group: groupModels, MaxReplicas: ceiling, MemoryBytes: sizeM2 - kvReserve, KVReserveBytes: kvReserve, Accelerators: 1},
		},
		Adapters: []config.Adapter{{Name: "a1", Model: "m1", MemoryBytes: sizeA1}},
		Services: []config.Service{
			{Name: "chat", Group: groupModels, Models: []string{"m1", "m2"}, Adapters: []string{"a1"}, Priority: 5, MaxWaitMS: maxWait.Milliseconds()},
			{Name: "loans", Group: groupPlain, Priority: 5, MaxWaitMS: maxWait.Milliseconds(), Calls: []config.Call{
				{Method: "POST", PathPrefix: "/loans", NonIdempotent: true}, {Method: "GET", PathPrefix: "/lookup"}}},
		},
		Callers: []config.Caller{{Name: "c", KeySHA256: fmt.Sprintf("%064d", 1), Services: []string{"chat", "loans"}}},
	}
	return newDocument(c)
}

func newDocument(c *config.Config) *config.Document {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: every field of the type can be encoded
	}
	return &config.Document{Raw: raw, Digest: config.Digest(raw), Config: c}
}
