package sidecar_test

import (
	"context"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// fetchingEngine is a fake engine that is busy for a time after each order.
type fetchingEngine struct {
	engine
	busyUntil time.Time
}

func (e *fetchingEngine) Report(ctx context.Context) (platform.Report, error) {
	r, err := e.engine.Report(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.busyUntil) {
		r.Busy, r.Upstream.Models = true, nil
	}
	return r, err
}

func (e *fetchingEngine) Order(ctx context.Context, o placement.Order, instance string, orders uint64, holder string, token uint64) (platform.OrderResult, error) {
	result, err := e.engine.Order(ctx, o, instance, orders, holder, token)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busyUntil = time.Now().Add(1500 * time.Millisecond)
	return result, err
}

// group is three sidecars that reach each other, and a router.
type group struct {
	addresses []string
	engines   map[string]*fetchingEngine
	sockets   map[string]*peer.Socket
	stop      map[string]context.CancelFunc
	router    *peer.Socket
	reports   chan peer.Report
}

// newGroup starts the sidecars; the engine of the last one has the models loaded. The first coordinator has no
// configuration unless configured is set.
func newGroup(configured bool, models ...string) *group {
	g := &group{engines: map[string]*fetchingEngine{}, sockets: map[string]*peer.Socket{}, stop: map[string]context.CancelFunc{}, reports: make(chan peer.Report, 1000)}
	var listed []catalog.Upstream
	port := 0
	for i := range 3 {
		ip := "127.0.0." + strconv.Itoa(11+i)
		socket, err := peer.Listen(ip + ":" + strconv.Itoa(port))
		Expect(err).NotTo(HaveOccurred())
		port = int(socket.Address().Port())
		u := catalog.Upstream{ID: "i-" + ip, Service: "llm", Address: ip + ":65000", StartedUnixMS: 5}
		if i == 2 {
			for _, m := range models {
				u.Models = append(u.Models, catalog.Resident{Model: m})
			}
		}
		listed, g.addresses, g.sockets[u.Address] = append(listed, u), append(g.addresses, u.Address), socket
		g.engines[u.Address] = &fetchingEngine{engine: engine{self: catalog.Upstream{Address: u.Address, StartedUnixMS: 5, Models: u.Models}}}
	}
	var wg sync.WaitGroup
	all, cancelAll := context.WithCancel(context.Background())
	start := func(duty func()) { wg.Add(1); go func() { defer wg.Done(); duty() }() }
	for _, address := range g.addresses {
		log := eventlog.New(io.Discard, "sidecar", address)
		agent := sidecar.New(sidecar.Settings{ChecksTokens: true,
			Node: address, Address: address, Service: "llm", LoadWindow: 5 * time.Second, LoadFactor: 1.1, FetchConcurrency: 4, PeerPort: port,
		}, g.engines[address], g.sockets[address], log, guard.New(log))
		if configured || address != fetchturn.Ranks("llm", listed)[0] {
			agent.Configure(testConfig(), 1)
		}
		agent.SetUpstreams(listed)
		agent.SetToken(41)
		ctx, cancel := context.WithCancel(all)
		g.stop[address] = cancel
		start(func() { agent.Run(ctx) })
		start(func() { _ = agent.Receive(ctx) })
	}
	var err error
	g.router, err = peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	start(func() {
		_ = g.router.Receive(all, func(_ netip.AddrPort, m peer.Message) { g.reports <- *m.Report }, func(netip.AddrPort, error) {})
	})
	DeferCleanup(func() { cancelAll(); wg.Wait() })
	return g
}

// requestLoad requests the model from the sidecars at the addresses.
func (g *group) requestLoad(model string, addresses ...string) {
	for _, address := range addresses {
		d := peer.Demand{
			Router: "edge-1", Here: []peer.LoadRequest{{Model: model, Waiting: 3}}, Anywhere: []peer.LoadRequest{{Model: model, Waiting: 3}},
			ModelDemand: []peer.ModelDemand{{Model: model, Weight: 3}},
		}
		_ = g.router.Send(g.sockets[address].Address(), peer.Message{Demand: &d})
	}
}

func (g *group) orders(addresses ...string) (out []placement.Order) {
	for _, address := range addresses {
		out = append(out, g.engines[address].acceptedOrders()...)
	}
	return out
}

var _ = Describe("sidecars that fetch with turns", func() {
	coordinators := func(g *group) []string {
		var all []catalog.Upstream
		for _, a := range g.addresses {
			all = append(all, catalog.Upstream{Address: a})
		}
		return fetchturn.Ranks("llm", all)
	}

	// Guards against a model that is fetched at two engines which start within milliseconds of each other.
	It("fetch a model that routers request at all of them at one engine, and report when it is expected", func() {
		g := newGroup(true)
		first := coordinators(g)[0]
		Eventually(func() []placement.Order { g.requestLoad("a", g.addresses...); return g.orders(g.addresses...) }, "5s", "100ms").ShouldNot(BeEmpty())
		Consistently(func() []placement.Order { g.requestLoad("a", g.addresses...); return g.orders(g.addresses...) }, "1s", "100ms").Should(Equal([]placement.Order{{Model: "a"}}))
		Eventually(g.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool {
			return r.Address == first && len(r.ExpectedLoads) == 1 && r.ExpectedLoads[0].Model == "a" && r.ExpectedLoads[0].MS <= 6000
		})))
	})

	// Guards against fetches that stop while the store is down, because a restarted coordinator has no configuration.
	It("fetch by the second rank's turns while the first has no configuration", func() {
		g := newGroup(false)
		Eventually(func() []placement.Order { g.requestLoad("a", g.addresses...); return g.orders(g.addresses...) }, "5s", "100ms").Should(Equal([]placement.Order{{Model: "a"}}))
	})

	// Guards against the loss of the only copy of a model that is requested often.
	It("fetch a second copy of a model that is requested often", func() {
		g := newGroup(true, "a")
		demand := peer.Demand{Router: "edge-1", ModelDemand: []peer.ModelDemand{{Model: "a", SingleCopyRate: 5}}}
		Eventually(func() []placement.Order {
			for _, address := range g.addresses {
				_ = g.router.Send(g.sockets[address].Address(), peer.Message{Demand: &demand})
			}
			return g.orders(g.addresses[:2]...)
		}, "15s", "300ms").Should(ContainElement(placement.Order{Model: "a"}))
	})

	// Guards against models that are not fetched because the coordinator has ended.
	It("fetch by the second rank's turns, and alone without both", func() {
		g := newGroup(true)
		ranks := coordinators(g)
		var last string
		for _, a := range g.addresses {
			if a != ranks[0] && a != ranks[1] {
				last = a
			}
		}
		g.stop[ranks[0]]()
		Eventually(func() []placement.Order { g.requestLoad("a", last); return g.orders(last) }, "5s", "100ms").Should(Equal([]placement.Order{{Model: "a"}}))
		g.stop[ranks[1]]()
		Eventually(func() []placement.Order { g.requestLoad("b", last); return g.orders(last) }, "10s", "100ms").Should(HaveLen(3), "unload and fetch")
	})
})
