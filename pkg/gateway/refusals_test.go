package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// refusalStore is a store whose calls fail while down is set.
type refusalStore struct {
	mu       sync.Mutex
	down     bool
	revision uint64
	objects  map[string]platform.Object
}

func newRefusalStore() *refusalStore { return &refusalStore{objects: map[string]platform.Object{}} }

var errStoreDown = errors.New("store is down")

func (s *refusalStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errStoreDown
	}
	var out []platform.Object
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out, s.revision, nil
}

func (s *refusalStore) WriteIf(_ context.Context, _, name string, spec any, expect uint64) (uint64, platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.Object{}, errStoreDown
	}
	if s.objects[name].Revision != expect {
		return 0, s.objects[name], store.ErrConflict
	}
	raw, err := json.Marshal(spec)
	s.revision++
	s.objects[name] = platform.Object{Name: name, Revision: s.revision, Spec: raw}
	return s.revision, platform.Object{}, err
}

func (s *refusalStore) Era() uint64 { return 0 }

func (s *refusalStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *refusalStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

var _ = Describe("refused requests in the store", func() {
	const fp = 7
	start := func(store *refusalStore, router string) *gateway.Core {
		core := gateway.NewCore(dispatch.New(dispatch.Settings{Name: router, Started: time.Now()}))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); gateway.NewRefusals(core, store, router, discard).Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		return core
	}
	crashThrice := func(core *gateway.Core) {
		core.Do(func(s *dispatch.State) {
			for _, id := range []string{"u1", "u2", "u3"} {
				s.Crashes.RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: id, SentAt: time.Now(), At: time.Now()})
				s.Crashes.RecordUpstreamEnd(time.Now(), id)
			}
		})
	}
	refused := func(core *gateway.Core) func() bool {
		return func() (is bool) {
			core.Do(func(s *dispatch.State) { is = s.Crashes.IsQuarantined(time.Now(), fp) })
			return is
		}
	}

	// Guards against a request that crashes three more upstreams after each loss of power of all processes.
	It("are known to routers that start after all others have ended", func() {
		store := newRefusalStore()
		crashThrice(start(store, "edge-1"))
		Eventually(store.written, "2s").Should(Equal(1))
		Eventually(refused(start(store, "edge-2")), "2s").Should(BeTrue())
	})

	// Guards against a write that drops what an earlier process of the router has stored, while the store is down at the
	// start of its successor.
	It("survive an outage of the store", func() {
		store := newRefusalStore()
		crashThrice(start(store, "edge-1"))
		Eventually(store.written, "2s").Should(Equal(1))
		store.setDown(true)
		restarted := start(store, "edge-1")
		Consistently(refused(restarted), "300ms").Should(BeFalse())
		store.setDown(false)
		Eventually(refused(restarted), "3s").Should(BeTrue())
	})
})
