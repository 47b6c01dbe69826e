package sidecar_test

import (
	"context"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against a process that knows nothing of its predecessor's unanswered orders, since the store was restored from a
// copy that lacks them.
var _ = It("the record of an engine's orders is written again to a restored store", func() {
	st := standin.NewStore()
	empty := st.Copy()
	srv := httptest.NewServer(st)
	DeferCleanup(srv.Close)
	store := platform.NewStore(srv.Listener.Addr().String())
	f := startFixture(newEngine("a"), false)
	f.engine.mu.Lock()
	f.engine.instance = func(context.Context) (string, error) { return "i-1", nil }
	f.engine.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.agent.AcquireToken(ctx, store) }()
	DeferCleanup(func() { cancel(); <-done })
	recorded := func() int {
		objects, _, err := store.List(ctx, platform.KindFences) // by which the client learns of a restore
		Expect(err).NotTo(HaveOccurred())
		return len(objects)
	}
	Eventually(recorded, "3s").Should(Equal(1))
	st.Restore(empty)
	Expect(recorded()).To(BeZero())
	Eventually(recorded, "3s").Should(Equal(1))
})
