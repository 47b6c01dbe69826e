package sidecar_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

const address = "127.0.0.1:65000"

// engine is a model engine that carries out orders at once and checks them as a real one does.
type engine struct {
	mu     sync.Mutex
	self   catalog.Upstream
	orders []placement.Order
	tokens []uint64
	lose   int // answers to orders that are lost, though the order is carried out
	down   bool
	flip   bool // each report lists what is loaded in the other order
}

func (e *engine) Report(context.Context) (platform.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return platform.Report{}, errors.New("down")
	}
	if e.flip {
		e.self.Models = slices.Clone(e.self.Models)
		slices.Reverse(e.self.Models)
	}
	return platform.Report{Upstream: e.self}, nil
}

func (e *engine) Instance(context.Context, string) (string, error) { return "i-2", nil }

func (e *engine) Order(_ context.Context, o placement.Order, _ string, seen uint64, _ string, token uint64) (platform.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if seen != e.self.Orders {
		return platform.OrderConflict, nil
	}
	e.orders, e.tokens = append(e.orders, o), append(e.tokens, token)
	e.self.Orders++
	if o.Unload {
		e.self.Models = nil
	} else {
		e.self.Models = append(e.self.Models[:len(e.self.Models):len(e.self.Models)], catalog.Resident{Model: o.Model})
	}
	if e.lose > 0 {
		e.lose--
		return platform.OrderUnknown, errors.New("no answer")
	}
	return platform.OrderAccepted, nil
}

func (e *engine) given() []placement.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]placement.Order(nil), e.orders...)
}

// config has a service with two models, of which one fits into an engine's memory.
func config() *catalog.Config {
	models := map[string]catalog.Model{}
	for _, name := range []string{"a", "b"} {
		models[name] = catalog.Model{Name: name, SizeMB: 60, FetchTime: 6 * time.Second, DiskTime: time.Second, MemoryTime: 500 * time.Millisecond}
	}
	engine := &catalog.Engine{Models: models, MemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 2}
	return catalog.NewConfig(1, nil, []catalog.Service{{Name: "llm", HealthPath: "/healthz", Engine: engine}}, catalog.Limits{})
}

// rig is an agent beside an engine, and a router that talks to it.
type rig struct {
	agent  *sidecar.Agent
	engine *engine
	router *peer.Socket
	to     netip.AddrPort
	states chan peer.State
}

func newRig(models ...string) *rig {
	r := &rig{engine: &engine{self: catalog.Upstream{Address: address, Born: 5, OnDisk: []string{"a", "b"}}}, states: make(chan peer.State, 100)}
	for _, m := range models {
		r.engine.self.Models = append(r.engine.self.Models, catalog.Resident{Model: m})
	}
	socket, err := peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.router, err = peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.to = socket.Address()
	log := eventlog.New(io.Discard, "sidecar", "side-1")
	r.agent = sidecar.New(sidecar.Settings{Node: "side-1", Address: address, Service: "llm", LoadWindow: 5 * time.Second, LoadFactor: 1.1, Parallel: 4},
		r.engine, socket, log, guard.New(log))
	r.agent.Configure(config(), 1)
	r.agent.SetUpstreams([]catalog.Upstream{{ID: "i-1", Service: "llm", Address: address, Born: 5}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(3)
	go func() { defer wg.Done(); r.agent.Run(ctx) }()
	go func() { defer wg.Done(); _ = r.agent.Receive(ctx) }()
	go func() {
		defer wg.Done()
		_ = r.router.Receive(ctx, func(_ netip.AddrPort, m peer.Message) { r.states <- *m.State }, func(netip.AddrPort, error) {})
	}()
	DeferCleanup(func() { cancel(); wg.Wait() })
	return r
}

func (r *rig) want(model string) {
	Expect(r.router.Send(r.to, peer.Message{Demand: &peer.Demand{Router: "edge-1", Here: []peer.LoadRequest{{Model: model, Waiting: 1}}}})).To(Succeed())
}

func holds(s peer.State, model string) bool {
	return s.Holdings != nil && len(s.Holdings.Models) == 1 && s.Holdings.Models[0].Model == model
}

var _ = Describe("agent", func() {
	// A list of holdings in each message made traffic between regions the largest price on the grown site.
	It("repeats what the upstream holds until the router knows it", func() {
		r := newRig("a")
		r.want("a")
		var s peer.State
		Eventually(r.states, "2s").Should(Receive(&s))
		Expect(holds(s, "a")).To(BeTrue())
		Expect(r.router.Send(r.to, peer.Message{Demand: &peer.Demand{Router: "edge-1", Known: s.Version}})).To(Succeed())
		Eventually(r.states, "2s").Should(Receive(Satisfy(func(s peer.State) bool { return s.Holdings == nil })))
	})

	// Lists in another order counted as news: an agent told all routers of it each millisecond (soak, seed 5000).
	It("does not take another order of the same models for news", func() {
		r := newRig("a", "b")
		r.engine.mu.Lock()
		r.engine.flip = true
		r.engine.mu.Unlock()
		var first, s peer.State
		r.want("a")
		Eventually(r.states, "2s").Should(Receive(&first))
		for range 5 {
			Expect(r.router.Send(r.to, peer.Message{Demand: &peer.Demand{Router: "edge-1", Probe: true}})).To(Succeed())
			Eventually(r.states, "2s").Should(Receive(&s))
			Expect(s.Version).To(Equal(first.Version))
		}
	})

	// Repeats of all reports to all routers took most of the traffic between regions (decals-grown, scale-2).
	It("passes crash reports on to the routers that do not have them", func() {
		r := newRig("a")
		say := func(d peer.Demand) { Expect(r.router.Send(r.to, peer.Message{Demand: &d})).To(Succeed()) }
		report := quarantine.Report{Fingerprint: 7, Reporter: "edge-2", Seq: 40}
		say(peer.Demand{Router: "edge-1"})
		say(peer.Demand{Router: "edge-2", Crashes: []quarantine.Report{report}})
		var s peer.State
		Eventually(r.states, "2s").Should(Receive(&s, Satisfy(func(s peer.State) bool { return len(s.Crashes) == 1 && s.CrashesAcked == 0 })))
		Expect(s.Crashes).To(Equal([]quarantine.Report{report}))
		Eventually(r.states, "2s").Should(Receive(Satisfy(func(s peer.State) bool { return s.CrashesAcked == 40 })))
		say(peer.Demand{Router: "edge-1", CrashesFrom: s.CrashesNext, Probe: true})
		Eventually(r.states, "2s").Should(Receive(Satisfy(func(s peer.State) bool { return len(s.Crashes) == 0 && s.CrashesAcked == 0 })))
	})

	// A router takes an agent that does not answer within some 200 ms for gone.
	It("answers a question at once", func() {
		r := newRig("a")
		ask := func() {
			Expect(r.router.Send(r.to, peer.Message{Demand: &peer.Demand{Router: "edge-1", Probe: true}})).To(Succeed())
		}
		ask()
		Eventually(r.states, "2s").Should(Receive())
		for range 3 { // the regular interval is 500 ms or more
			ask()
			Eventually(r.states, "150ms").Should(Receive())
		}
	})

	It("loads what a router wants and tells it", func() {
		r := newRig()
		r.agent.SetToken(41)
		r.want("a")
		Eventually(r.states, "2s").Should(Receive(Satisfy(func(s peer.State) bool {
			return s.ID == "i-1" && holds(s, "a") && s.Routers == 1
		})))
		Expect(r.engine.given()).To(Equal([]placement.Order{{Model: "a"}}))
		Expect(r.engine.tokens).To(Equal([]uint64{41}))
	})

	It("makes room first", func() {
		r := newRig("a")
		r.agent.SetToken(41)
		r.want("b")
		Eventually(r.engine.given, "2s").Should(Equal([]placement.Order{{Unload: true, Model: "a"}, {Model: "b"}}))
	})

	// Two processes that order without tokens from the store could take turns at the engine.
	It("gives no orders before it has a fencing token", func() {
		r := newRig()
		r.want("a")
		Eventually(r.states, "2s").Should(Receive())
		Expect(r.engine.given()).To(BeEmpty())
		r.agent.SetToken(41)
		r.want("a")
		Eventually(r.engine.given, "2s").Should(HaveLen(1))
	})

	// The order may have been carried out; only the engine's next report tells. A second load would exceed the memory.
	It("does not order again what an unanswered order has done", func() {
		r := newRig()
		r.engine.lose = 1
		r.agent.SetToken(41)
		r.want("a")
		Eventually(r.states, "2s").Should(Receive(Satisfy(func(s peer.State) bool { return holds(s, "a") })))
		Expect(r.engine.given()).To(HaveLen(1))
	})

	// The list names a new incarnation a second or more after its start; until then nobody loaded anything there.
	It("asks an engine that has restarted for its id and tells the routers before the list does", func() {
		r := newRig()
		r.engine.mu.Lock()
		r.engine.self.Born = 6
		r.engine.mu.Unlock()
		r.agent.SetToken(41)
		r.want("a")
		Eventually(r.states, "2s").Should(Receive(Satisfy(func(s peer.State) bool {
			return s.ID == "i-2" && s.Born == 6 && s.Address == address && holds(s, "a")
		})))
	})
})
