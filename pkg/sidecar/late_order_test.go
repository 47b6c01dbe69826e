package sidecar_test

import (
	"context"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// acquireTokens runs the agent's requests for tokens until the spec ends.
func (f *fixture) acquireTokens(store string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.agent.AcquireToken(ctx, platform.NewStore(store)) }()
	DeferCleanup(func() { cancel(); <-done })
}

// Guards against an order without an answer that reaches an engine after its restart under the same id, when instance and
// count match again (review, late-order). The engine holds one of the models a and b.
var _ = Describe("an order that comes after a restart of the engine", func() {
	var f *fixture
	var store string
	loadA := []placement.Order{{Model: "a"}}
	leaveOrder := func(checksTokens bool) {
		srv := httptest.NewServer(standin.NewStore())
		DeferCleanup(srv.Close)
		store = srv.Listener.Addr().String()
		f = startFixture(newEngine("a"), checksTokens)
		f.engine.mu.Lock()
		f.engine.holdLoad = "b"
		f.engine.instance = func(context.Context) (string, error) { return "i-1", nil }
		f.engine.mu.Unlock()
		f.acquireTokens(store)
		Eventually(func() bool { // a is unloaded and b ordered without an answer, at the count 1
			f.requestLoad("b")
			f.engine.mu.Lock()
			defer f.engine.mu.Unlock()
			return f.engine.held != nil
		}, "4s", "50ms").Should(BeTrue())
		f.engine.restart()
	}
	requestA := func() []placement.Order { f.requestLoad("a"); return f.engine.acceptedOrders() }

	It("is refused by an engine that checks tokens, which gets a new token and loads at once", func() {
		leaveOrder(true)
		Eventually(requestA, "2s", "50ms").Should(Equal(loadA))
		Expect(f.engine.held()).To(Equal(platform.OrderFenced))
	})

	It("finds its memory free at an engine that ignores tokens", func() {
		leaveOrder(false)
		Consistently(requestA, "800ms", "50ms").Should(BeEmpty(), "a would fill the memory that b may need")
		Expect(f.engine.held()).To(Equal(platform.OrderConflict))
	})

	It("is taken into account by an agent that is started after it was sent", func() {
		leaveOrder(false)
		f.stop()
		f = startFixture(f.engine, false)
		f.acquireTokens(store)
		Consistently(requestA, "800ms", "50ms").Should(BeEmpty())
	})

	It("is not assumed by an agent that is restarted while its engine runs on", func() {
		srv := httptest.NewServer(standin.NewStore())
		DeferCleanup(srv.Close)
		f = startFixture(newEngine(), false)
		f.acquireTokens(srv.Listener.Addr().String())
		Eventually(requestA, "2s", "50ms").Should(Equal(loadA))
		f.stop()
		f.engine.self.Models = nil // lost without an order
		f = startFixture(f.engine, false)
		f.acquireTokens(srv.Listener.Addr().String())
		Eventually(requestA, "2s", "50ms").Should(HaveLen(2))
	})
})
