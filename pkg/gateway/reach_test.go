package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

var _ = Describe("reach", func() {
	// A router that was cut off from all upstreams stayed in rotation, and told its callers to come back to it when a model
	// would be loaded (own day frozen-engines, seeds 22 and 26).
	It("sends callers elsewhere while no upstream answers, and serves them again afterwards", func() {
		r := newRig()
		r.configure()
		agent, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		socket, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		up := r.upstream("u1", "llm", []catalog.Resident{{Model: "m"}}, func(w http.ResponseWriter, q *http.Request) {
			sign(w, q)
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		})
		report := func() *peer.State {
			s := &peer.State{}
			s.Hold(catalog.Upstream{ID: "u1", Service: "llm", Address: up.Listener.Addr().String(), Models: []catalog.Resident{{Model: "m"}}}, 1)
			return s
		}
		r.core.Do(func(s *dispatch.State) { s.Fleet.Report(time.Now(), report()) })

		var within, answering atomic.Bool
		within.Store(true)
		peers := gateway.NewPeers(r.core, socket, eventlog.New(io.Discard, "entry", "vm"), gateway.Place{Router: "edge-1"},
			int(agent.Address().Port()), within.Store)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Add(3)
		go func() { defer wg.Done(); peers.Run(ctx) }()
		go func() { defer wg.Done(); _ = peers.Receive(ctx) }()
		go func() {
			defer wg.Done()
			_ = agent.Receive(ctx, func(from netip.AddrPort, m peer.Message) {
				if answering.Load() {
					_ = agent.Send(from, peer.Message{State: report()})
				}
			}, func(netip.AddrPort, error) {})
		}()
		DeferCleanup(func() { cancel(); wg.Wait() })

		up.CloseClientConnections()
		up.Listener.Close()
		resp, _, err := r.call("POST", "/stream/a") // the request that finds the upstream gone
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		r.core.Do(func(s *dispatch.State) {
			s.Started("u1", &dispatch.Request{Route: &catalog.Route{}}) // work that depends on it
		})
		Eventually(within.Load, "2s").Should(BeFalse())
		resp, _, err = r.call("POST", "/stream/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Close).To(BeTrue())
		Expect(resp.Header.Get("Retry-After")).To(BeEmpty())

		answering.Store(true)
		Eventually(within.Load, "3s").Should(BeTrue())
	})
})
