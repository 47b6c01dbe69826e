package sidecar_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"syscall"
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
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

const address = "127.0.0.1:65000"

// engine is a fake model engine that executes orders at once. Like a real engine, it rejects an order that does not name
// the current number of accepted orders.
type engine struct {
	mu          sync.Mutex
	self        catalog.Upstream
	orders      []placement.Order
	tokens      []uint64
	holdLoad    string                                // the next order to load this model is held back without a reply
	held        func() platform.OrderResult           // carries out the order that was held back
	checksToken bool                                  // orders with a lower token than accepted are refused
	loseReplies int                                   // number of replies to orders to lose after executing the order
	reportErr   error                                 // returned for each report unless nil
	reverse     bool                                  // each report lists the loaded models in reverse order
	instance    func(context.Context) (string, error) // health check; nil answers with the id i-2
	limit       upstreamlimit.Kind                    // what the answers with reports say of the rate of requests
	limitPerS   float64
}

func (e *engine) Report(context.Context) (platform.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportErr != nil {
		return platform.Report{}, e.reportErr
	}
	if e.reverse {
		e.self.Models = slices.Clone(e.self.Models)
		slices.Reverse(e.self.Models)
	}
	return platform.Report{Upstream: e.self, Limit: e.limit, LimitPerS: e.limitPerS}, nil
}

func (e *engine) Instance(ctx context.Context, _ string) (string, error) {
	e.mu.Lock()
	instance := e.instance
	e.mu.Unlock()
	if instance == nil {
		return "i-2", nil
	}
	return instance(ctx)
}

func (e *engine) Order(_ context.Context, o placement.Order, _ string, acceptedOrders uint64, _ string, token uint64) (platform.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.Unload && o.Model == e.holdLoad {
		e.holdLoad = ""
		e.held = func() platform.OrderResult {
			e.mu.Lock()
			defer e.mu.Unlock()
			result, _ := e.carryOut(o, acceptedOrders, token)
			return result
		}
		return platform.OrderUnknown, errors.New("no answer")
	}
	return e.carryOut(o, acceptedOrders, token)
}

// restart makes the engine start again, empty and under the same id.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self.Models, e.self.Orders, e.orders, e.tokens = nil, 0, nil, nil
	e.self.StartedUnixMS++
}

// carryOut carries out an order. The caller holds the lock.
func (e *engine) carryOut(o placement.Order, acceptedOrders, token uint64) (platform.OrderResult, error) {
	switch {
	case e.checksToken && len(e.tokens) > 0 && token < e.tokens[len(e.tokens)-1]:
		return platform.OrderFenced, nil
	case acceptedOrders != e.self.Orders:
		return platform.OrderConflict, nil
	}
	e.orders, e.tokens = append(e.orders, o), append(e.tokens, token)
	e.self.Orders++
	if o.Unload {
		e.self.Models = nil
	} else {
		e.self.Models = append(e.self.Models[:len(e.self.Models):len(e.self.Models)], catalog.Resident{Model: o.Model})
	}
	if e.loseReplies > 0 {
		e.loseReplies--
		return platform.OrderUnknown, errors.New("no answer")
	}
	return platform.OrderAccepted, nil
}

func (e *engine) acceptedOrders() []placement.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]placement.Order(nil), e.orders...)
}

// testConfig returns a configuration with one service and two models, only one of which fits into an engine's memory.
func testConfig() *catalog.Config {
	models := map[string]catalog.Model{}
	for _, name := range []string{"a", "b"} {
		models[name] = catalog.Model{Name: name, SizeMB: 60, FetchTime: 6 * time.Second, DiskTime: time.Second, MemoryTime: 500 * time.Millisecond}
	}
	engine := &catalog.Engine{Models: models, MemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 2}
	return catalog.NewConfig(1, nil, []catalog.Service{{Name: "llm", HealthPath: "/healthz", Engine: engine}}, catalog.Limits{})
}

// fixture is an agent with an engine, and a router that exchanges messages with it.
type fixture struct {
	agent     *sidecar.Agent
	engine    *engine
	router    *peer.Socket
	agentAddr netip.AddrPort
	reports   chan peer.Report
	stop      func()
}

// newFixture returns a fixture whose engine checks tokens, so that the agent does not reserve memory for orders of a
// predecessor after its start.
func newFixture(models ...string) *fixture { return startFixture(newEngine(models...), true) }

func newEngine(models ...string) *engine {
	e := &engine{self: catalog.Upstream{Address: address, StartedUnixMS: 5, OnDisk: []string{"a", "b"}}}
	for _, m := range models {
		e.self.Models = append(e.self.Models, catalog.Resident{Model: m})
	}
	return e
}

// startFixture returns a fixture whose engine is listed. Restarts come within the time in which the address is not reused.
func startFixture(e *engine, checksTokens bool) *fixture {
	return startReusing(e, checksTokens, 2*time.Second)
}

// startReusing returns a fixture of an address that may be reused after the time, or at once if that is 0.
func startReusing(e *engine, checksTokens bool, reuseAfter time.Duration) *fixture {
	e.checksToken = checksTokens
	f := &fixture{engine: e, reports: make(chan peer.Report, 100)}
	socket, err := peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.router, err = peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.agentAddr = socket.Address()
	log := eventlog.New(io.Discard, "sidecar", "side-1")
	f.agent = sidecar.New(sidecar.Settings{Node: "side-1", Address: address, Service: "llm", LoadWindow: 5 * time.Second, LoadFactor: 1.1, FetchConcurrency: 4, ChecksTokens: checksTokens, ReuseAfter: reuseAfter},
		f.engine, socket, log, guard.New(log))
	f.agent.Configure(testConfig(), 1)
	e.mu.Lock()
	f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-1", Service: "llm", Address: address, StartedUnixMS: e.self.StartedUnixMS}})
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(3)
	go func() { defer wg.Done(); f.agent.Run(ctx) }()
	go func() { defer wg.Done(); _ = f.agent.Receive(ctx) }()
	go func() {
		defer wg.Done()
		_ = f.router.Receive(ctx, func(_ netip.AddrPort, m peer.Message) { f.reports <- *m.Report }, func(netip.AddrPort, error) {})
	}()
	f.stop = func() { cancel(); wg.Wait() }
	DeferCleanup(f.stop)
	return f
}

func (f *fixture) requestLoad(model string) {
	Expect(f.router.Send(f.agentAddr, peer.Message{Demand: &peer.Demand{Router: "edge-1", Here: []peer.LoadRequest{{Model: model, Waiting: 1}}}})).To(Succeed())
}

// fail makes the engine fail to report.
func (f *fixture) fail(err error) {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	f.engine.reportErr = err
}

func hasLoaded(report peer.Report, model string) bool {
	return report.Holdings != nil && len(report.Holdings.Models) == 1 && report.Holdings.Models[0].Model == model
}

var _ = Describe("agent", func() {
	// Guards against holdings in each report: they made traffic between regions the largest cost of the grown site.
	It("repeats the holdings until the router has confirmed them", func() {
		f := newFixture("a")
		f.requestLoad("a")
		var r peer.Report
		Eventually(f.reports, "2s").Should(Receive(&r))
		Expect(hasLoaded(r, "a")).To(BeTrue())
		Expect(f.router.Send(f.agentAddr, peer.Message{Demand: &peer.Demand{Router: "edge-1", HoldingsVersion: r.HoldingsVersion}})).To(Succeed())
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool { return r.Holdings == nil })))
	})

	// Guards against reports to all routers each millisecond because the engine lists the same models in changing order
	// (soak, seed 5000).
	It("does not report another order of the same models as a change", func() {
		f := newFixture("a", "b")
		f.engine.mu.Lock()
		f.engine.reverse = true
		f.engine.mu.Unlock()
		var first, r peer.Report
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive(&first))
		for range 5 {
			Expect(f.router.Send(f.agentAddr, peer.Message{Demand: &peer.Demand{Router: "edge-1", Probe: true}})).To(Succeed())
			Eventually(f.reports, "2s").Should(Receive(&r))
			Expect(r.HoldingsVersion).To(Equal(first.HoldingsVersion))
		}
	})

	// Guards against crash reports that are repeated to all routers: they were most of the traffic between regions
	// (decals-grown, scale-2).
	It("forwards crash reports only to the routers that do not have them", func() {
		f := newFixture("a")
		send := func(d peer.Demand) { Expect(f.router.Send(f.agentAddr, peer.Message{Demand: &d})).To(Succeed()) }
		report := quarantine.Report{Fingerprint: 7, Reporter: "edge-2", Seq: 40}
		send(peer.Demand{Router: "edge-1"})
		send(peer.Demand{Router: "edge-2", Crashes: []quarantine.Report{report}})
		var r peer.Report
		Eventually(f.reports, "2s").Should(Receive(&r, Satisfy(func(r peer.Report) bool { return len(r.Crashes) == 1 && r.CrashesAcked == 0 })))
		Expect(r.Crashes).To(Equal([]quarantine.Report{report}))
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool { return r.CrashesAcked == 40 })))
		send(peer.Demand{Router: "edge-1", CrashesFrom: r.CrashesNext, Probe: true})
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool { return len(r.Crashes) == 0 && r.CrashesAcked == 0 })))
	})

	// Guards against late replies: a router treats an upstream whose agent does not reply within about 200 ms as
	// unresponsive.
	It("replies to a probe at once", func() {
		f := newFixture("a")
		probe := func() {
			Expect(f.router.Send(f.agentAddr, peer.Message{Demand: &peer.Demand{Router: "edge-1", Probe: true}})).To(Succeed())
		}
		probe()
		Eventually(f.reports, "2s").Should(Receive())
		for range 3 { // the regular interval is 500 ms or more
			probe()
			Eventually(f.reports, "150ms").Should(Receive())
		}
	})

	// Guards against routers that learn of an engine's end only when the list shows it, seconds later.
	It("tells routers that the engine has ended when its address refuses connections", func() {
		f := newFixture("a")
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive())
		f.fail(errors.New("timeout"))
		Consistently(f.reports, "500ms").ShouldNot(Receive(Satisfy(func(r peer.Report) bool { return r.Ended })))
		f.fail(fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
		Eventually(f.reports, "1s").Should(Receive(Satisfy(func(r peer.Report) bool { return r.Ended && r.ID == "i-1" && r.StartedUnixMS == 5 })))
	})

	It("loads the model that a router requests and reports it", func() {
		f := newFixture()
		f.agent.SetToken(41)
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool {
			return r.ID == "i-1" && hasLoaded(r, "a") && r.Routers == 1
		})))
		Expect(f.engine.acceptedOrders()).To(Equal([]placement.Order{{Model: "a"}}))
		Expect(f.engine.tokens).To(Equal([]uint64{41}))
	})

	It("unloads a model first if the memory is full", func() {
		f := newFixture("a")
		f.agent.SetToken(41)
		f.requestLoad("b")
		Eventually(f.engine.acceptedOrders, "2s").Should(Equal([]placement.Order{{Unload: true, Model: "a"}, {Model: "b"}}))
	})

	// Guards against two processes that both control the engine, as they could without tokens from the store.
	It("sends no orders before it has a fencing token", func() {
		f := newFixture()
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive())
		Expect(f.engine.acceptedOrders()).To(BeEmpty())
		f.agent.SetToken(41)
		f.requestLoad("a")
		Eventually(f.engine.acceptedOrders, "2s").Should(HaveLen(1))
	})

	// Guards against a second load that exceeds the memory: an order without a reply may have been executed, which only
	// the engine's next report shows.
	It("does not repeat an order that was executed but not answered", func() {
		f := newFixture()
		f.engine.loseReplies = 1
		f.agent.SetToken(41)
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool { return hasLoaded(r, "a") })))
		Expect(f.engine.acceptedOrders()).To(HaveLen(1))
	})

	// Guards against requests to the process that has ended at the address, until the list contains the new instance a second
	// or more after its start.
	It("queries a restarted engine for its id and reports it to the routers before the list contains it", func() {
		f := newFixture()
		f.engine.mu.Lock()
		f.engine.self.StartedUnixMS = 6
		f.engine.mu.Unlock()
		f.agent.SetToken(41)
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool {
			return r.ID == "i-2" && r.StartedUnixMS == 6 && r.Address == address
		})))
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "llm", Address: address, StartedUnixMS: 6}})
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool {
			return r.ID == "i-2" && r.StartedUnixMS == 6 && r.Address == address && hasLoaded(r, "a")
		})))
	})
})
