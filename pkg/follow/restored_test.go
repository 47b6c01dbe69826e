package follow_test

import (
	"context"
	"io"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

var _ = Describe("a store that is restored from a copy", func() {
	const kind = "things"
	var (
		st   *standin.Store
		mu   sync.Mutex
		seen []string
	)
	record := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, what)
	}
	events := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), seen...)
	}
	objects := func(prefix string) func([]platform.Object) {
		return func(all []platform.Object) {
			for _, o := range all {
				record(prefix + o.Name + string(o.Spec))
			}
		}
	}
	BeforeEach(func() {
		seen = nil
		st = standin.NewStore()
		srv := httptest.NewServer(st)
		DeferCleanup(srv.Close)
		st.Put(kind, "main", 1)
		h := follow.Handler{Listed: objects("listed "), Changed: objects("changed "), Restored: func() { record("restored") }, Proved: func(boottime.Instant) { record("proved") }}
		opt := follow.Options{LongPollDuration: 50 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			follow.New(platform.NewStore(srv.Listener.Addr().String()), kind, opt, h, eventlog.New(io.Discard, "r", "vm")).Run(ctx)
		}()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(events).Should(ContainElement("listed main1"))
	})

	// restore lets the store come back from a copy that lacks the last writes, after which others make as many as more.
	restore := func(more int) {
		copied := st.Copy()
		for i := range 5 {
			st.Put(kind, "filler", i)
		}
		Eventually(events).Should(ContainElement("changed filler4"))
		st.SetFault(standin.FaultDown)
		st.Restore(copied)
		st.Put(kind, "main", 2)
		for i := range more {
			st.Put(kind, "filler"+strconv.Itoa(i), 0)
		}
		st.SetFault(standin.FaultNone)
	}

	// Guards against a change that is never read, since its revision had been given out before.
	It("is listed again, although its revision has grown beyond the last one read", func() {
		restore(20)
		Eventually(events).Should(ContainElement("listed main2"))
	})

	// Guards against objects that count as removed because the copy lacks them.
	It("is announced before its objects are applied", func() {
		restore(0)
		Eventually(events).Should(ContainElement("listed main2"))
		all := events()
		Expect(all).To(ContainElement("restored"))
		for _, e := range all {
			if e == "restored" {
				break
			}
			Expect(e).NotTo(Equal("listed main2"))
		}
	})

	// Guards against a withdrawn key that stays valid, since the copy still has it and counts as the newest configuration.
	It("proves no view until its writers have had time to write again", func() {
		restore(0)
		provedSince := func() bool {
			all := events()
			i := slices.Index(all, "restored")
			return i >= 0 && slices.Contains(all[i:], "proved")
		}
		Eventually(events).Should(ContainElement("restored"))
		Consistently(provedSince, "800ms").Should(BeFalse())
		Eventually(provedSince, "2s").Should(BeTrue())
	})
})
