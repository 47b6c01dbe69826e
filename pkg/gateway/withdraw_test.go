package gateway_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/keyview"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

var _ = Describe("withdrawal through the store", func() {
	// Guards against parts that work alone only: a configuration that is applied but not proven, a proof that is not used,
	// a router that serves a key after it has lost the store, or that does not recover.
	It("refuses a withdrawn key, and all keys while the store is lost", func() {
		const delay = keyview.MinRevokeDelay
		store := standin.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		version := uint64(0)
		put := func(keys ...string) {
			version++
			routes := []standin.Route{{Name: "r", Prefix: "/", Kind: standin.Idempotent, Service: "loans", Timeout: time.Second, MaxAttempts: 1}}
			store.Put(platform.KindConfig, platform.NameConfig, standin.WithTenants(standin.Config(version, routes, nil), standin.TenantKeys{Name: "a", Keys: keys}))
		}
		put("k1", "k2")
		k := &keyRig{rig: newRig(), host: standin.Host}
		k.core.SetRevokeDelay(delay)
		k.upstream("p", "loans", nil, k.run)
		opt := follow.Options{LongPollDuration: time.Second, MaxRetryDelay: 100 * time.Millisecond, Pace: func() (time.Duration, time.Duration) { return keyview.Pace(delay, time.Second) }}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			f := follow.New(platform.NewStore(server.Listener.Addr().String()), platform.KindConfig, opt, gateway.NewSync(k.core, discard, nil).Config(), discard)
			f.Run(ctx)
		})
		DeferCleanup(func() { cancel(); wg.Wait() })
		status := func(key string) func() int { return func() int { return k.get("/x", key).StatusCode } }

		Eventually(status("k1"), "3s").Should(Equal(200))
		put("k2")
		Eventually(status("k1"), "3s").Should(Equal(401))
		Eventually(status("k2"), "3s").Should(Equal(200))
		store.SetFault(standin.FaultDown)
		Eventually(status("k2"), "3s").Should(Equal(503))
		ran := k.runs.Load()
		Consistently(status("k2"), "500ms").Should(Equal(503))
		Expect(k.runs.Load()).To(Equal(ran))
		put("k3")
		store.SetFault(standin.FaultNone)
		Eventually(status("k3"), "3s").Should(Equal(200))
		Eventually(status("k2"), "3s").Should(Equal(401)) // 503 if a busy machine delays the proofs
	})
})
