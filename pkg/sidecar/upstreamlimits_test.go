package sidecar_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

var _ = Describe("the agent's limits of upstreams", func() {
	var f *fixture
	var router *peer.Socket
	var grants chan *upstreamlimit.Grant
	BeforeEach(func() {
		f = newFixture("a")
		f.requestLoad("a")
		Eventually(f.reports, "2s").Should(Receive(Satisfy(func(r peer.Report) bool { return r.ID == "i-1" })))
		var err error
		router, err = peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		received := make(chan *upstreamlimit.Grant, 100)
		grants = received
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() {
			_ = router.Receive(ctx, func(_ netip.AddrPort, m peer.Message) { received <- m.LimitGrant }, func(netip.AddrPort, error) {})
		}()
	})
	seq := uint64(0)
	ask := func(upstream string, started int64) {
		seq++
		Expect(router.Send(f.agentAddr, peer.Message{LimitRequest: &upstreamlimit.Request{Router: "edge-1", Process: 7, Seq: seq, Want: []int{1},
			Instance: upstreamlimit.Instance{ID: upstream, StartedUnixMS: started}, Fact: upstreamlimit.Fact{Kind: upstreamlimit.Named, N: 20, SentMS: 10}}})).To(Succeed())
	}
	granted := func(g *upstreamlimit.Grant) bool {
		n := 0
		for _, c := range g.Tokens {
			n += c.Count
		}
		return n > 0 && g.Process == 7
	}
	nextReport := func() (r peer.Report) {
		Expect(f.router.Send(f.agentAddr, peer.Message{Demand: &peer.Demand{Router: "edge-1", Probe: true}})).To(Succeed())
		Eventually(f.reports, "2s").Should(Receive(&r))
		return r
	}

	It("give tokens of the engine beside it and name its limit in the reports", func() {
		ask("i-1", 5)
		Eventually(grants, "2s").Should(Receive(Satisfy(granted)))
		Eventually(nextReport, "2s").Should(HaveField("Limits", ConsistOf(upstreamlimit.Announcement{Instance: upstreamlimit.Instance{ID: "i-1", StartedUnixMS: 5}, N: 20})))
	})

	// Guards against two holders of one limit: routers' lists are of different ages.
	It("give none of an upstream that another sidecar keeps", func() {
		ask("i-9", 5) // not listed
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-1", Service: "llm", Address: address, StartedUnixMS: 5}, {ID: "i-9", Service: "llm", Address: "127.0.0.1:65001"}})
		ask("i-9", 5) // another engine's
		ask("i-1", 5)
		Eventually(grants, "2s").Should(Receive(HaveField("Instance.ID", "i-1")))
		Consistently(grants, "300ms").ShouldNot(Receive(HaveField("Instance.ID", "i-9")))
	})

	It("give tokens of a plain upstream for which it ranks first", func() {
		engines := []string{address, "127.0.0.1:65001"}
		upstreams := []catalog.Upstream{{ID: "i-1", Service: "llm", Address: engines[0], StartedUnixMS: 5}, {ID: "i-2", Service: "llm", Address: engines[1]}}
		own, other := "", ""
		for _, id := range []string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"} {
			upstreams = append(upstreams, catalog.Upstream{ID: id, Service: "plain", Address: "127.0.0.1:65002"})
			if upstreamlimit.First(id, engines) == address {
				own = id
			} else {
				other = id
			}
		}
		config := catalog.NewConfig(2, nil, []catalog.Service{{Name: "llm", Engine: testConfig().Services["llm"].Engine}, {Name: "plain"}}, catalog.Limits{})
		f.agent.Configure(config, 2)
		f.agent.SetUpstreams(upstreams)
		ask(other, 0)
		Eventually(func() *upstreamlimit.Grant { // a rank is kept for some time
			ask(own, 0)
			select {
			case g := <-grants:
				return g
			case <-time.After(50 * time.Millisecond):
				return nil
			}
		}, "2s").ShouldNot(BeNil())
		Eventually(grants, "2s").Should(Receive(And(HaveField("Instance.ID", own), Satisfy(granted))))
		Consistently(grants, "300ms").ShouldNot(Receive(HaveField("Instance.ID", other)))
	})

	name := func(kind upstreamlimit.Kind, perS float64) {
		f.engine.mu.Lock()
		defer f.engine.mu.Unlock()
		f.engine.limit, f.engine.limitPerS = kind, perS
	}

	It("learn the limit from the engine's report, and its end", func() {
		name(upstreamlimit.Named, 3)
		Eventually(nextReport, "2s").Should(HaveField("Limits", ConsistOf(HaveField("N", 3.0))))
		name(upstreamlimit.Absent, 0)
		Eventually(nextReport, "2s").Should(HaveField("Limits", BeEmpty()))
	})

	// Guards against a limit that ends since the engine names it in the answers to requests only.
	It("are not ended by a report that never named them", func() {
		name(upstreamlimit.Absent, 0)
		ask("i-1", 5)
		Eventually(nextReport, "2s").Should(HaveField("Limits", HaveLen(1)))
		Consistently(nextReport, 500*time.Millisecond).Should(HaveField("Limits", HaveLen(1)))
	})

	It("are forgotten when the engine restarts", func() {
		ask("i-1", 5)
		Eventually(nextReport, "2s").Should(HaveField("Limits", HaveLen(1)))
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-1", Service: "llm", Address: address, StartedUnixMS: 6}})
		f.engine.restart()
		Eventually(nextReport, "2s").Should(And(HaveField("StartedUnixMS", int64(6)), HaveField("Limits", BeEmpty())))
	})
})
