package watch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

var _ = Describe("objects received from peers", func() {
	var m *standin.MemStore
	BeforeEach(func() {
		m = standin.NewMemStore(0)
		m.SetFaults(standin.StoreFaults{Down: true})
	})
	offer := func(w *watch.Watcher, key string, version uint64, value string) {
		Expect(w.Offer(context.Background(), []wire.Object{{Key: key, Version: version, Value: []byte(value)}})).To(Succeed())
	}

	// Guards against an older copy that replaces a newer one, and against copies of objects that peers do not exchange.
	DescribeTable("are accepted above the last delivered version", func(key string, version uint64, accepted bool) {
		w := watch.New(m, nil, shortOptions)
		offer(w, "grants/m", 5, "old")
		Expect(<-w.Updates().Items()).To(HaveField("Source", watch.SourcePeers))
		offer(w, key, version, "new")
		Expect(w.Updates().Len() == 1).To(Equal(accepted))
		if !accepted {
			Expect(w.Snapshot()).To(Equal([]wire.Object{{Key: "grants/m", Version: 5, Value: []byte("old")}}))
			return
		}
		Expect(w.Snapshot()).To(ContainElement(wire.Object{Key: key, Version: version, Value: []byte("new")}))
	},
		Entry("older", "grants/m", uint64(4), false),
		Entry("same version", "grants/m", uint64(5), false),
		Entry("newer", "grants/m", uint64(6), true),
		Entry("older, another key", "owners/s", uint64(1), true),
		Entry("without a version", "upstreams/a", uint64(0), false),
		Entry("configuration", store.KeyConfig, uint64(6), false),
		Entry("quarantine list", store.KeyQuarantine, uint64(6), false),
		Entry("another system's key", "other/x", uint64(6), false),
	)

	// Guards against an object that the store deleted during the outage but that stays in use, a copy that prevents
	// the delivery of the same version from the store, a delayed copy that restores a deleted object, and a copy that
	// replaces a newer value of the store.
	It("are corrected by the first listing", func() {
		m.SetFaults(standin.StoreFaults{})
		deleted := put(m, "upstreams/gone", 0)
		same, older := put(m, "grants/same", 0), put(m, "owners/newer", 0)
		Expect(m.Delete(context.Background(), "upstreams/gone", deleted)).To(Succeed())
		newer := put(m, "owners/newer", older)
		m.SetFaults(standin.StoreFaults{Down: true})
		w := start(m, nil, shortOptions)
		Eventually(w.Updates().Items()).Should(Receive(HaveField("Err", HaveOccurred())))
		copies := []wire.Object{{Key: "upstreams/gone", Version: deleted}, {Key: "grants/same", Version: same}, {Key: "owners/newer", Version: older}}
		Expect(w.Offer(context.Background(), copies)).To(Succeed())
		Eventually(w.Updates().Items()).Should(Receive(HaveField("Objects", HaveLen(3))))
		m.SetFaults(standin.StoreFaults{})
		var u watch.Update
		Eventually(func() bool { u = <-w.Updates().Items(); return u.Synced }).Should(BeTrue())
		Expect(u.Objects).To(ConsistOf(
			And(HaveField("Key", "grants/same"), HaveField("Version", same)),
			And(HaveField("Key", "owners/newer"), HaveField("Version", newer)),
			And(HaveField("Key", "upstreams/gone"), HaveField("Deleted", true)),
		))
		Expect(w.Offer(context.Background(), copies)).To(Succeed())
		Expect(w.Updates().Len()).To(BeZero())
		Expect(w.Snapshot()).To(HaveExactElements(HaveField("Key", "grants/same"), HaveField("Version", newer)))
	})

	// Guards against queries to peers while the store is available, and against a process that stops querying too
	// early, queries all peers, or continues after a reply with objects.
	It("are requested until a peer replies with some, while the store is down", func() {
		var first, others atomic.Int32
		query := func(_ context.Context, addr string, _ wire.Message) (wire.Message, error) {
			if addr != "p1" {
				others.Add(1)
				return nil, errors.New("no reply")
			}
			if first.Add(1) == 1 {
				return &wire.ObjectsList{}, nil // reply of a peer that has just started
			}
			return &wire.ObjectsList{Objects: []wire.Object{{Key: "grants/m", Version: 1}}}, nil
		}
		bootstrap := func() *watch.Watcher {
			w := start(m, nil, watch.Options{MinInterval: 20 * time.Millisecond, RingSize: 4096}) // has no consumer
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.BootstrapFromPeers(context.Background(), func() []string { return []string{"p1", "p2", "p3", "p4"} }, query)
			}()
			Eventually(done, "10s").Should(BeClosed())
			return w
		}
		Expect(bootstrap().Snapshot()).To(HaveExactElements(HaveField("Key", "grants/m")))
		m.SetFaults(standin.StoreFaults{})
		bootstrap()
		Expect([]int32{first.Load(), others.Load()}).To(Equal([]int32{2, 4}))
	})
})
