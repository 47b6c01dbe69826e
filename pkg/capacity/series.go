package capacity

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/operate"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist/httplist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Series is one quantity measured at several sizes.
type Series struct {
	ID          string
	Role        string // processes that bear the cost
	Description string
	Unit        string
	Per         string // the unit of the size
	// Sizes are the three or more sizes at which Measure is called.
	Sizes   []int
	Measure func(n int) float64
}

var epoch = time.Unix(1_800_000_000, 0)

// AllSeries returns the series in the order of the report.
func AllSeries() []Series {
	all := append(adapterSeries(), peerSeries()...)
	return append(append(all, flightSeries()...), modelSeries()...)
}

func adapterSeries() []Series {
	s := func(id, role, description, unit string, f func(n int) float64) Series {
		return Series{id, role, description, unit, "adapter", adapterSizes, f}
	}
	return []Series{
		s("doc.raw", "all", "configuration document", "B", func(n int) float64 { return float64(len(document(models, n).Raw)) }),
		s("doc.stored", "object API", "value of config/current", "B", func(n int) float64 { return float64(len(storedValue(document(models, n)))) }),
		s("doc.state", "router, agent", "document and index in memory", "B", func(n int) float64 {
			value := storedValue(document(models, n))
			return heapBytes(func() any { return decodeConfig(value) })
		}),
		s("doc.cpu", "router, agent", "decode, check and index a new version", "µs", func(n int) float64 {
			value := storedValue(document(models, n))
			return cpuMicros(func() { decodeConfig(value) })
		}),
		s("residency.state", "agent", "residency state after a configuration", "B", func(n int) float64 {
			d := document(models, n)
			return heapBytes(func() any { return newResidency(d) })
		}),
		s("residency.config.cpu", "agent", "residency step on a configuration", "µs", func(n int) float64 {
			r, d := newResidency(document(models, n)), document(models, n)
			return cpuMicros(func() { r.Step(epoch, residency.Configured{Document: d}) })
		}),
		s("diff.cpu", "operators' command", "compare two documents", "µs", func(n int) float64 {
			d := document(models, n)
			return cpuMicros(func() { config.Diff(d.Config, d.Config) })
		}),
	}
}

// activeConfig is the part of a configuration that a process keeps in memory.
type activeConfig struct {
	document *config.Document
	index    *config.Index
}

// decodeConfig decodes a stored configuration and builds its index, as a process does on acceptance.
func decodeConfig(value []byte) activeConfig {
	d := must(must(config.DecodeEnvelope(value)).Document())
	return activeConfig{d, config.NewIndex(d.Config)}
}

func newResidency(d *config.Document) *residency.State {
	r := residency.New(residency.Options{VM: vm(0), Incarnation: "i", Group: "engines"})
	r.Step(epoch, residency.Configured{Document: d})
	r.Step(epoch, residency.Listed{Listing: engine.Listing{Epoch: "e", MemoryBytes: 80 << 30, Slots: 16}})
	return r
}

func peerSeries() []Series {
	s := func(id, role, what, unit string, f func(n int) float64) Series {
		return Series{id, role, what, unit, "peer", peerSizes, f}
	}
	return []Series{
		s("vms.bytes", "router, agent", "one read of the VM list", "B", func(n int) float64 { return float64(len(vmListBody(n))) }),
		s("vms.cpu", "router, agent", "decode and take one read of the VM list", "µs", func(n int) float64 {
			body, m := vmListBody(n), membership.New()
			return cpuMicros(func() {
				var d httplist.Document
				if err := json.Unmarshal(body, &d); err != nil {
					panic(err)
				}
				m.ApplyVMs(epoch, d.VMs)
			})
		}),
		s("members.state", "router, agent", "VM list and upstream records in memory", "B", func(n int) float64 {
			return heapBytes(func() any { return newMembers(n) })
		}),
		s("members.record.cpu", "router, agent", "take one changed upstream record", "µs", func(n int) float64 {
			m, value, version := newMembers(n), upstreamValue(0), uint64(1000)
			return cpuMicros(func() {
				version++
				if err := m.ApplyObject(store.Object{Key: membership.Key(vm(0)), Version: version, Value: value}); err != nil {
					panic(err)
				}
			})
		}),
		s("members.candidates.cpu", "router", "list all candidates", "µs", func(n int) float64 {
			m := newMembers(n)
			return cpuMicros(func() { m.Candidates() })
		}),
		s("routing.choose.cpu", "router", "choose an upstream for a model with 5 holders", "µs", func(n int) float64 {
			r := newRouting(n)
			criteria := routing.Criteria{Kind: wire.KindModel, Group: "engines", Target: engine.Target{Model: "model-000"}, MemoryBytes: 1, Ceiling: 5, Remaining: time.Minute}
			return cpuMicros(func() {
				if _, code := r.Choose(epoch, criteria); code != "" {
					panic(code)
				}
			})
		}),
		s("confsync.heard.cpu", "router, agent", "take the versions on one message of each peer", "µs", func(n int) float64 {
			c := confsync.New()
			c.Step(epoch, confsync.Tick{})
			c.Step(epoch, confsync.EnvelopeReceived{Value: storedValue(document(10, 10))})
			return cpuMicros(func() {
				for range n {
					c.Step(epoch, confsync.VersionAnnounced{Peer: "p", Version: 1})
				}
			})
		}),
		s("loadplan.cpu", "agent (coordinator)", "an ask from each peer, served and done", "µs", func(n int) float64 {
			return cpuMicros(func() { serveLoads(n) })
		}),
	}
}

func newRouting(n int) *routing.State {
	r := routing.NewState("region-1", "region-1-a", rand.New(rand.NewPCG(1, 1)))
	v := routing.View{Grants: map[string]grant.Object{"model-000": must(grant.Decode(grantsValue(5)))}}
	for i := range n {
		v.Upstreams = append(v.Upstreams, routing.Upstream{VM: vm(i), Addr: "10.0.0.1:7001", Region: "region-1", Zone: "region-1-a", Group: "engines", MemoryBytes: 80 << 30})
	}
	r.SetView(v)
	return r
}

// serveLoads runs a request for a load permit of each of n peers through a coordinator.
func serveLoads(n int) {
	c := loadplan.NewCoordinator(loadplan.MaxConcurrentLoads, 5e8)
	var running []string
	for i := range n {
		for _, permit := range c.Step(epoch, loadplan.PermitRequest{Request: wire.LoadPermitRequest{ID: vm(i), VM: vm(i), Model: "m", Bytes: 1 << 30, TimeoutMS: 1000}}) {
			running = append(running, permit.ID)
		}
	}
	for len(running) > 0 {
		id := running[0]
		running = running[1:]
		for _, permit := range c.Step(epoch, loadplan.PermitRelease{ID: id}) {
			running = append(running, permit.ID)
		}
	}
}

func newMembers(n int) *membership.State {
	m := membership.New()
	m.ApplyVMs(epoch, vmList(n))
	for i := range n {
		if err := m.ApplyObject(store.Object{Key: membership.Key(vm(i)), Version: 1, Value: upstreamValue(i)}); err != nil {
			panic(err)
		}
	}
	return m
}

func modelSeries() []Series {
	return []Series{
		{"residency.tick.cpu", "agent", "residency tick", "µs", "model", []int{10, 50, 150}, func(n int) float64 {
			r := newResidency(document(n, 10*n))
			return cpuMicros(func() { r.Step(epoch, residency.Tick{}) })
		}},
		{"apply.calls", "operators' command", "store calls of an apply that lowers the limit of each model", "calls", "model", []int{10, 50, 150},
			func(n int) float64 { c, _ := applyCalls(n); return c }},
		{"apply.bytes", "operators' command", "bytes written by it", "B", "model", []int{10, 50, 150},
			func(n int) float64 { _, b := applyCalls(n); return b }},
	}
}

// applyCalls returns the number of store calls and the bytes written of an apply that lowers the limits of n models,
// each with three holders.
func applyCalls(n int) (calls, written float64) {
	s, ctx := standin.NewMemStore(0), context.Background()
	before, after := document(n, 0), document(n, 0)
	must(s.Put(ctx, store.KeyConfig, storedValue(before), store.MustNotExist))
	for i := range after.Config.Models {
		after.Config.Models[i].MaxReplicas = 4
		must(s.Put(ctx, store.PrefixGrants+after.Config.Models[i].Name, grantsValue(3), store.MustNotExist))
	}
	after = must(config.Parse(2, must(json.Marshal(after.Config))))
	a := operate.NewApply(after, 1)
	counted := &countingStore{Store: s}
	if r := operate.Run(ctx, counted, a); r.Outcome != operate.OutcomePublished {
		panic(r.Text())
	}
	return counted.calls, counted.written
}

// countingStore counts the calls and the written bytes of a store.
type countingStore struct {
	store.Store
	calls, written float64
}

func (c *countingStore) Get(ctx context.Context, key string) (store.Object, error) {
	c.calls++
	return c.Store.Get(ctx, key)
}

func (c *countingStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	c.calls++
	c.written += float64(len(value))
	return c.Store.Put(ctx, key, value, expect)
}

func (c *countingStore) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	c.calls++
	return c.Store.List(ctx, prefix)
}
