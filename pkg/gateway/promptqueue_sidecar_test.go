package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// promptEngine is an engine that reports a busy stream.
type promptEngine struct {
	sidecar.Engine
	self catalog.Upstream
}

func (e promptEngine) Report(context.Context) (platform.Report, error) {
	return platform.Report{Upstream: e.self, Running: 1}, nil
}

// Guards against routers and sidecars that do not understand each other: three routers send long prompts to one engine,
// which must get one at a time.
var _ = It("long prompts of several routers reach an engine one after the other", func() {
	const prefill = 60 * time.Millisecond
	var inProgress, most atomic.Int32
	engine := func(w http.ResponseWriter, q *http.Request) {
		sign(w, q)
		if n := inProgress.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(prefill)
		inProgress.Add(-1)
		_, _ = io.WriteString(w, event(1)+event(2))
	}
	server := httptest.NewServer(http.HandlerFunc(engine))
	DeferCleanup(server.Close)
	self := catalog.Upstream{ID: "u1", Service: "llm", Address: server.Listener.Addr().String(), Zone: "z1", Models: residentM, StartedUnixMS: 5}
	listen := func() *peer.Socket {
		socket, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		return socket
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	DeferCleanup(func() { cancel(); wg.Wait() })
	socket := listen()
	agent := sidecar.New(sidecar.Settings{Node: "side-1", Address: self.Address, Service: "llm", AdmitPrompts: true}, promptEngine{self: self}, socket, discard, guard.New(discard))
	agent.SetUpstreams([]catalog.Upstream{self})
	var routers []*rig
	for i := range 3 {
		r := newRig()
		agent.Configure(configurePrompts(r), 1)
		r.core.Update(func(s *dispatch.State) {
			s.RecordListing(time.Now())
			s.Fleet.Put(time.Now(), self)
		})
		peers := gateway.NewPeers(r.core, listen(), discard, guard.New(discard), gateway.Location{Router: fmt.Sprint("edge-", i)}, int(socket.Address().Port()), func(bool) {})
		wg.Go(func() { _ = peers.Run(ctx) })
		routers = append(routers, r)
	}
	wg.Go(func() { agent.Run(ctx) })
	wg.Go(func() { _ = agent.Receive(ctx) })
	var results []<-chan int
	for _, r := range routers {
		Eventually(func() (askAbove int) {
			r.core.Do(func(s *dispatch.State) { askAbove = s.Fleet.Get("u1").Load.AskAbove })
			return askAbove
		}, "2s").Should(Equal(1209))
	}
	for n, r := range append(routers, routers[0]) {
		results = append(results, r.request(ctx, fmt.Sprintf("own-%d:9000", n)))
	}
	for _, status := range results {
		Eventually(status, "5s").Should(Receive(Equal(200)))
	}
	Expect(most.Load()).To(BeEquivalentTo(1))
})
