package sidecar_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// unansweredOnce is an HTTP handler that accepts the first call of each method and path and never answers it.
type unansweredOnce struct {
	mu    sync.Mutex
	calls map[string]int
	next  http.HandlerFunc
}

func (u *unansweredOnce) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.calls[r.Method+" "+r.URL.Path]++
	first := u.calls[r.Method+" "+r.URL.Path] == 1
	u.mu.Unlock()
	if first {
		<-r.Context().Done()
		return
	}
	u.next(w, r)
}

func (u *unansweredOnce) callsOf(methodAndPath string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.calls[methodAndPath]
}

// serveUnansweredOnce returns the handler and its address.
func serveUnansweredOnce(next http.HandlerFunc) (*unansweredOnce, string) {
	u := &unansweredOnce{calls: map[string]int{}, next: next}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: u}
	go func() { _ = srv.Serve(ln) }()
	DeferCleanup(func() { _ = srv.Close() })
	return u, ln.Addr().String()
}

// Guards against a duty that waits without limit for a call that is accepted and never answered: the others then stop too.
var _ = Describe("calls that are accepted and never answered", func() {
	It("do not stop reports and orders", func() {
		engine, engineAddress := serveUnansweredOnce(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case standin.ReportPath:
				_, _ = io.WriteString(w, standin.ReportBody(6, "a"))
			case "/healthz":
				standin.SetInstance(w.Header(), "i-2")
			default:
				w.WriteHeader(http.StatusAccepted)
			}
		})
		objects, storeAddress := serveUnansweredOnce(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"metadata":{"name":"side-1","revision":41}}`)
		})
		socket, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		router, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		log := eventlog.New(io.Discard, "sidecar", "side-1")
		agent := sidecar.New(sidecar.Settings{Node: "side-1", Address: engineAddress, Service: "llm", LoadWindow: 5 * time.Second, LoadFactor: 1.1, FetchConcurrency: 4},
			platform.NewEngine(engineAddress), socket, log, guard.New(log))
		agent.Configure(testConfig(), 1)
		agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "llm", Address: engineAddress, StartedUnixMS: 5}}) // an earlier start
		reports := make(chan peer.Report, 100)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, duty := range []func(){
			func() { agent.Run(ctx) },
			func() { _ = agent.Receive(ctx) },
			func() { agent.AcquireToken(ctx, platform.NewStore(storeAddress)) },
			func() {
				_ = router.Receive(ctx, func(_ netip.AddrPort, m peer.Message) { reports <- *m.Report }, func(netip.AddrPort, error) {})
			},
		} {
			wg.Add(1)
			go func() { defer wg.Done(); duty() }()
		}
		DeferCleanup(func() { cancel(); wg.Wait() })
		demand := func() {
			Expect(router.Send(socket.Address(), peer.Message{Demand: &peer.Demand{Router: "edge-1", Here: []peer.LoadRequest{{Model: "a", Waiting: 1}}}})).To(Succeed())
		}
		demand()
		Eventually(reports, "4s").Should(Receive(Satisfy(isRestarted)))
		agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "llm", Address: engineAddress, StartedUnixMS: 6}})
		Eventually(func() int { demand(); return engine.callsOf("POST /api/order") }, "6s", "200ms").Should(BeNumerically(">=", 2))
		for _, call := range []string{"GET " + standin.ReportPath, "GET /healthz"} {
			Expect(engine.callsOf(call)).To(BeNumerically(">=", 2), call)
		}
		Expect(objects.callsOf("PUT /api/objects/" + platform.KindFences + "/side-1")).To(BeNumerically(">=", 2))
	})
})
