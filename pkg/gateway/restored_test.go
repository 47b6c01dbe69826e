package gateway_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

var _ = Describe("a router whose list of upstreams is restored from a copy", func() {
	var (
		r  *rig
		st *standin.Store
	)
	entry := func(id, state string) {
		st.Put(platform.KindUpstreams, id, map[string]any{"service": "plain", "address": "127.0.0.1:1", "zone": "z1", "state": state, "slots": 1, "born": 7})
	}
	members := func() []string {
		var ids []string
		r.core.Do(func(s *dispatch.State) {
			for _, m := range s.Fleet.Members(time.Now(), "plain") {
				ids = append(ids, m.ID)
			}
		})
		return ids
	}
	BeforeEach(func() {
		r, st = newRig(), standin.NewStore()
		srv := httptest.NewServer(st)
		DeferCleanup(srv.Close)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			opt := follow.Options{LongPollDuration: 50 * time.Millisecond}
			follow.New(platform.NewStore(srv.Listener.Addr().String()), platform.KindUpstreams, opt, gateway.NewSync(r.core, discard, nil).Upstreams(), discard).Run(ctx)
		})
		DeferCleanup(func() { cancel(); wg.Wait() })
	})

	// Guards against refusals because the copy is older than the registration of upstreams that live.
	It("keeps those that the copy lacks until they are registered again", func() {
		entry("u1", "ready")
		copied := st.Copy()
		entry("u2", "ready")
		Eventually(members).Should(Equal([]string{"u1", "u2"}))
		st.Restore(copied)
		Consistently(members, "500ms").Should(Equal([]string{"u1", "u2"}))
		entry("u2", "ready")
		Consistently(members, "2500ms").Should(Equal([]string{"u1", "u2"}))
	})

	// Guards against requests to an upstream whose end the store had acknowledged before.
	It("sends nothing to those that had left, although the copy names them", func() {
		entry("u1", "ready")
		entry("u2", "ready")
		entry("u3", "ready")
		Eventually(members).Should(Equal([]string{"u1", "u2", "u3"}))
		copied := st.Copy()
		entry("u2", "draining")
		st.Remove(platform.KindUpstreams, "u2")
		st.Remove(platform.KindUpstreams, "u3")
		Eventually(members).Should(Equal([]string{"u1"}))
		st.Restore(copied)
		Consistently(members, "1500ms").Should(Equal([]string{"u1"}))
	})
})
