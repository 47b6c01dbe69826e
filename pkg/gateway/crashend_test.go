package gateway_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

var _ = Describe("a request that crashes its upstream, at a router that gets no other request", func() {
	// Guards against a crash that is counted with the next request only, by which time it is too old to count.
	It("counts once the removal of the upstream from the list takes effect", func() {
		r := newRig()
		r.core.Update(func(s *dispatch.State) { // without engines, whose members are looked at regularly
			s.SetConfig(catalog.NewConfig(1, []catalog.Route{{
				Name: "post", Host: "h", Prefix: "/post/", Kind: catalog.NonIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2,
				Backends: []catalog.Backend{{Service: "plain", Weight: 1}},
			}}, []catalog.Service{{Name: "plain"}}, catalog.Limits{}))
		})
		socket, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		peers := gateway.NewPeers(r.core, socket, discard, guard.New(discard), gateway.Location{Router: "edge-1"}, 1, func(bool) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = peers.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		r.raw("u1", "plain", nil, func(c net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(c)) })
		resp, _, err := r.call(http.MethodPost, "/post/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.RecordStoreRecovery(time.Now()) // defers the removal
			s.Fleet.Remove(time.Now(), "u1")
		})
		Eventually(func() (crashes int) {
			r.core.Do(func(s *dispatch.State) { crashes = len(s.Crashes.ReportsAfter(time.Now(), 0)) })
			return crashes
		}, "4s", "50ms").Should(Equal(1))
	})
})
