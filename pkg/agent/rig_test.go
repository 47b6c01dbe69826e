package agent

import (
	"encoding/binary"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

// testConfig has the models m and n in group g, and the plain service loans in group p.
func testConfig() []byte {
	c := config.Config{
		APIVersion: config.APIVersion, Deployment: "d", Weights: config.Weights{ColdStart: 1, IdleAccelerator: 1},
		Limits: config.Limits{MaxWaitMS: 60000, UpstreamMemoryBytes: 100},
		Groups: []config.Group{{Name: "g", Kind: config.GroupModels}, {Name: "p", Kind: config.GroupPlain}},
		Models: []config.Model{
			{Name: "m", Group: "g", MaxReplicas: 2, MemoryBytes: 30, KVReserveBytes: 10, Accelerators: 1},
			{Name: "n", Group: "g", MaxReplicas: 1, MemoryBytes: 30, KVReserveBytes: 10, Accelerators: 1},
		},
		Services: []config.Service{
			{Name: "s", Group: "g", Models: []string{"m", "n"}, MaxWaitMS: 60000},
			{Name: "loans", Group: "p", MaxWaitMS: 60000, Calls: []config.Call{{Method: "POST", PathPrefix: "/loans", NonIdempotent: true}, {Method: "GET", PathPrefix: "/loans"}}},
		},
		Callers: []config.Caller{{Name: "c", KeySHA256: config.Digest([]byte("k")), Services: []string{"s", "loans"}}},
	}
	raw, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	value, err := config.NewEnvelope(0, raw).Encode()
	Expect(err).NotTo(HaveOccurred())
	return value
}

// rig drives a core synchronously. It executes store calls, listings and orders at once and collects other actions.
type rig struct {
	core     *Core
	now      time.Time
	objects  map[string]store.Object
	revision uint64
	storeUp  bool
	listing  engine.Listing
	actions  []Action
	streams  uint64
}

func newRig(group string, limits admission.Limits) *rig {
	r := &rig{now: time.UnixMilli(1_000_000_000_000), objects: map[string]store.Object{}, storeUp: true,
		listing: engine.Listing{Epoch: "e1", MemoryBytes: 100, Slots: 2}}
	r.objects[store.KeyConfig] = store.Object{Key: store.KeyConfig, Version: 1, Value: testConfig()}
	r.revision = 1
	r.restart(group, limits)
	return r
}

// restart replaces the core by the core of a new process on the same VM.
func (r *rig) restart(group string, limits admission.Limits) {
	r.core = NewCore(Options{VM: "vm-a", Incarnation: r.now.String(), Group: group, Addr: "127.0.0.1:1", Start: r.now,
		Queue: limits, Once: once.DefaultLimits()})
	r.step(Tick{})
	r.step(VMsRead{StartedAt: r.now, VMs: []vmlist.VM{{ID: "vm-a", State: vmlist.StateLive}}})
	r.step(EngineChecked{Listing: r.listing})
	for range 50 {
		r.advance(100 * time.Millisecond)
	}
	r.actions = nil
}

// advance moves the clock and sends one Tick.
func (r *rig) advance(d time.Duration) {
	r.now = r.now.Add(d)
	r.step(Tick{})
}

func (r *rig) step(ev Event) {
	for queue := []Event{ev}; len(queue) > 0; queue = queue[1:] {
		for _, a := range r.core.Step(r.now, queue[0]) {
			if next := r.answer(a); next != nil {
				queue = append(queue, next)
			} else {
				r.actions = append(r.actions, a)
			}
		}
	}
}

// answer executes an action and returns the resulting event, or nil if the action is to be collected.
func (r *rig) answer(a Action) Event {
	switch a := a.(type) {
	case ReadObject:
		return r.read(a)
	case WriteObject:
		return r.write(a)
	case ResidencyAction:
		if o, ok := a.Action.(residency.SendOrder); ok {
			return r.order(o.Order)
		}
		return Listed{Listing: r.listing}
	}
	return nil
}

func (r *rig) read(a ReadObject) Event {
	o, ok := r.objects[a.Key]
	switch {
	case !r.storeUp:
		return ObjectRead{Key: a.Key, Err: store.ErrUnavailable}
	case !ok:
		return ObjectRead{Key: a.Key, Err: store.ErrNotFound}
	}
	return ObjectRead{Key: a.Key, Object: o}
}

func (r *rig) write(a WriteObject) Event {
	res := ObjectWritten{Key: a.Key, Value: a.Value, Expect: a.Expect, Err: store.ErrUnavailable}
	if !r.storeUp {
		return res
	}
	if r.objects[a.Key].Version != a.Expect {
		res.Err = store.ErrConflict
		return res
	}
	r.revision++
	r.objects[a.Key] = store.Object{Key: a.Key, Version: r.revision, Value: a.Value}
	res.Version, res.Err = r.revision, nil
	// The watch reports the change as well.
	r.step(StoreChanged{Objects: []store.Object{r.objects[a.Key]}})
	return res
}

func (r *rig) order(o engine.Order) Event {
	var kept []engine.Resident
	for _, x := range r.listing.Resident {
		if x.Target != o.Target {
			kept = append(kept, x)
		}
	}
	if o.Kind == engine.OrderLoad {
		kept = append(kept, engine.Resident{Target: o.Target, MemoryBytes: 40})
	}
	r.listing.Resident = kept
	return OrderDone{Order: o}
}

func storeObject(key string, version uint64, value []byte) store.Object {
	return store.Object{Key: key, Version: version, Value: value}
}

// open opens a stream for a request and returns the id of the stream.
func (r *rig) open(o *wire.Open) uint64 {
	r.streams++
	if o.Attempt == 0 {
		o.Attempt = 1
	}
	o.Sync = r.core.Sync()
	r.step(Opened{Stream: r.streams, Peer: "router", Open: o})
	return r.streams
}

// last returns the latest action of a type, and whether there is one.
func last[T Action](r *rig) (T, bool) {
	for i := len(r.actions) - 1; i >= 0; i-- {
		if a, ok := r.actions[i].(T); ok {
			return a, true
		}
	}
	var zero T
	return zero, false
}

// started returns the ids of the jobs whose calls were started since the last call, in order.
func (r *rig) started() []string {
	var ids []string
	var rest []Action
	for _, a := range r.actions {
		if s, ok := a.(StartCall); ok {
			ids = append(ids, s.Job)
			continue
		}
		rest = append(rest, a)
	}
	r.actions = rest
	return ids
}

// refusal returns the latest refusal of a stream or job.
func (r *rig) refusal() wire.Refuse {
	GinkgoHelper()
	for i := len(r.actions) - 1; i >= 0; i-- {
		switch a := r.actions[i].(type) {
		case RefuseStream:
			return *a.Refuse
		case EndJob:
			Expect(a.Refuse).NotTo(BeNil())
			return *a.Refuse
		}
	}
	Fail("no stream or job was refused")
	return wire.Refuse{}
}

// endCall reports that the first run of a job has ended with a complete answer.
func (r *rig) endCall(job string, a *once.Answer) {
	r.step(CallEnded{Job: job, Run: 1, Received: true, Answer: a})
}

// keyAt returns an idempotency key issued at t.
func keyAt(t time.Time, n byte) string {
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(t.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

// loan returns a non-idempotent request to the plain service loans.
func loan(request, key string) *wire.Open {
	return &wire.Open{Request: request, Kind: wire.KindPlain, Caller: "c", Service: "loans", Method: "POST", Path: "/loans",
		Body: []byte("book"), NonIdempotent: true, Key: key, TimeoutMS: 30000}
}

// lookup returns an idempotent request to the plain service loans.
func lookup(request string) *wire.Open {
	return &wire.Open{Request: request, Kind: wire.KindPlain, Caller: "c", Service: "loans", Method: "GET", Path: "/loans/" + request, TimeoutMS: 30000}
}

// prompt returns a completion request whose body is its id.
func prompt(request, model string) *wire.Open {
	return &wire.Open{Request: request, Kind: wire.KindModel, Caller: "c", Service: "s", Target: engine.Target{Model: model},
		Method: "POST", Path: "/v1/completions", Body: []byte(request), TimeoutMS: 60000}
}
