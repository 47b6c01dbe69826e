package gateway_test

import (
	"context"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against a request that crashes upstreams again after a restart, since the store was restored from a copy that
// lacks it.
var _ = It("refused requests are stored again in a restored store", func() {
	st := standin.NewStore()
	empty := st.Copy()
	srv := httptest.NewServer(st)
	DeferCleanup(srv.Close)
	store := platform.NewStore(srv.Listener.Addr().String())
	core := gateway.NewCore(dispatch.New(dispatch.Settings{Name: "edge-1", Started: time.Now()}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); gateway.NewRefusals(core, store, "edge-1", discard).Run(ctx) }()
	DeferCleanup(func() { cancel(); <-done })
	stored := func() int {
		objects, _, err := store.List(ctx, platform.KindRefusals) // by which the client learns of a restore
		Expect(err).NotTo(HaveOccurred())
		return len(objects)
	}
	core.Do(func(s *dispatch.State) {
		for _, id := range []string{"u1", "u2", "u3"} {
			s.Crashes.RecordInterrupted(quarantine.Interruption{Fingerprint: 7, Upstream: id, SentAt: time.Now(), At: time.Now()})
			s.Crashes.RecordUpstreamEnd(time.Now(), id)
		}
	})
	Eventually(stored, "3s").Should(Equal(1))
	st.Restore(empty)
	Expect(stored()).To(BeZero())
	Eventually(stored, "3s").Should(Equal(1))
	Consistently(stored, "500ms").Should(Equal(1))
})
