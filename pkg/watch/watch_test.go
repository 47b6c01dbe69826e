package watch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/store/httpstore"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
)

func TestWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "watch")
}

type vmList struct{ fail atomic.Bool }

func (l *vmList) List(context.Context) ([]vmlist.VM, error) {
	if l.fail.Load() {
		return nil, errors.New("list is down")
	}
	return []vmlist.VM{{ID: "a", State: vmlist.StateLive}}, nil
}

func put(m *standin.MemStore, key string, expect uint64) uint64 {
	v, err := m.Put(context.Background(), key, []byte(key), expect)
	Expect(err).NotTo(HaveOccurred())
	return v
}

func start(s store.Store, l vmlist.Lister, o watch.Options) *watch.Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := watch.New(s, l, o)
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	DeferCleanup(func() { cancel(); Expect(<-done).To(Succeed()) })
	return w
}

var shortOptions = watch.Options{LongPollDuration: 50 * time.Millisecond, MinInterval: 20 * time.Millisecond, VMPollInterval: 20 * time.Millisecond}

var _ = Describe("the watch", func() {
	var m *standin.MemStore
	BeforeEach(func() { m = standin.NewMemStore(3) })

	// Guards against changes that are missed or delivered twice, and against keys outside the watched prefixes.
	It("delivers the listing and then each change once", func() {
		v := put(m, "grants/m", 0)
		put(m, "other/x", 0)
		w := start(m, nil, shortOptions)
		var u watch.Update
		Eventually(w.Updates().Items()).Should(Receive(&u))
		Expect(u.Synced).To(BeTrue())
		Expect(u.Objects).To(HaveExactElements(HaveField("Key", "grants/m")))
		put(m, "other/y", 0)
		put(m, "grants/m", v)
		Eventually(w.Updates().Items()).Should(Receive(&u))
		Expect(u.Objects).To(HaveExactElements(HaveField("Version", BeEquivalentTo(4))))
		Consistently(w.Updates().Items(), 100*time.Millisecond).ShouldNot(Receive())
	})

	// Guards against a deletion lost in a compaction, which would leave a draining or gone upstream in use, and
	// against an object that a stale listing reports as deleted.
	It("relists after a compaction and finds deletions", func() {
		v := put(m, "upstreams/a", 0)
		w := start(m, nil, shortOptions)
		Eventually(w.Updates().Items()).Should(Receive())
		m.SetFaults(standin.StoreFaults{Down: true})
		Eventually(w.Updates().Items()).Should(Receive(HaveField("Err", MatchError(store.ErrUnavailable))))
		m.SetFaults(standin.StoreFaults{})
		Expect(m.Delete(context.Background(), "upstreams/a", v)).To(Succeed())
		for _, key := range []string{"grants/1", "grants/2", "grants/3", "grants/4"} {
			put(m, key, 0)
		}
		seen := map[string]bool{}
		Eventually(func() map[string]bool {
			select {
			case u := <-w.Updates().Items():
				for _, o := range u.Objects {
					Expect(seen).NotTo(HaveKey(o.Key))
					seen[o.Key] = o.Deleted
				}
			default:
			}
			return seen
		}).Should(Equal(map[string]bool{"upstreams/a": true, "grants/1": false, "grants/2": false, "grants/3": false, "grants/4": false}))
	})

	// Guards against a fleet that overloads the object API: each of 1,220 processes may make one call per 4 s.
	It("keeps the interval between calls, also while the store is down", func() {
		w := start(m, nil, watch.Options{LongPollDuration: time.Millisecond, MinInterval: 50 * time.Millisecond})
		Eventually(w.Updates().Items()).Should(Receive())
		m.SetFaults(standin.StoreFaults{Down: true})
		startedAt := time.Now()
		before := m.Counts().Watch
		Eventually(func() uint64 { return m.Counts().Watch - before }).Should(BeNumerically(">=", 5))
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 200*time.Millisecond))
	})

	// Guards against a configuration that is not active everywhere within 8 s of its acceptance because open
	// connections to the object API stop responding. The intervals are the system's defaults.
	It("finds a change within 8 s although open connections stop responding", func() {
		srv, err := standin.Serve("127.0.0.1:0", (&standin.StoreServer{Store: m}).Handler(), nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(srv.Close)
		k := kernel.New()
		DeferCleanup(k.Cleanup)
		s, err := kernel.LoadAs[store.Store](context.Background(), k, httpstore.ID, kernel.Settings{"url": srv.URL()})
		Expect(err).NotTo(HaveOccurred())
		w := start(s, nil, watch.Options{})
		Eventually(w.Updates().Items()).Should(Receive(HaveField("Synced", true)))
		Eventually(func() uint64 { return m.Counts().Watch }, 6*time.Second).Should(BeEquivalentTo(1))
		srv.Conns.Blackhole()
		put(m, store.KeyConfig, 0)
		startedAt := time.Now()
		Eventually(w.Updates().Items(), 8*time.Second).Should(Receive(HaveField("Err", HaveOccurred())))
		Eventually(w.Updates().Items(), 8*time.Second-time.Since(startedAt)).Should(Receive(HaveField("Objects", HaveLen(1))))
		AddReportEntry("found after", time.Since(startedAt).String())
	})

	// Guards against a failed read of the VM list that looks like an empty list.
	It("reports a failed read of the VM list as an error without a list", func() {
		l := &vmList{}
		w := start(m, l, shortOptions)
		Eventually(w.Updates().Items()).Should(Receive(And(HaveField("VMs", HaveLen(1)), HaveField("VMsAt", Not(BeZero())))))
		l.fail.Store(true)
		Eventually(w.Updates().Items()).Should(Receive(And(HaveField("Err", HaveOccurred()), HaveField("VMs", BeNil()))))
	})
})
