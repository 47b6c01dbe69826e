package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against a write of the store that was given up, is executed seconds later and replaces what was stored meanwhile.
var _ = Describe("refused requests whose write is executed late", func() {
	It("do not replace those that were stored meanwhile", func() {
		st := standin.NewStore()
		var hold atomic.Bool
		held := make(chan *http.Request, 1)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.Method != http.MethodPut || !hold.CompareAndSwap(true, false) {
				st.ServeHTTP(w, req)
				return
			}
			body, err := io.ReadAll(req.Body)
			late := req.Clone(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			<-req.Context().Done() // the router gives the call up
			if err == nil {
				held <- late
			}
		}))
		DeferCleanup(srv.Close)
		store := platform.NewStore(strings.TrimPrefix(srv.URL, "http://"))
		core := gateway.NewCore(dispatch.New(dispatch.Settings{Name: "edge-1", Started: time.Now()}))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); gateway.NewRefusals(core, store, "edge-1", discard).Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		refuse := func(fp uint64) {
			core.Do(func(s *dispatch.State) {
				for _, id := range []string{"u1", "u2", "u3"} {
					s.Crashes.RecordInterrupted(quarantine.Interruption{Fingerprint: fp, Upstream: id, SentAt: time.Now(), At: time.Now()})
					s.Crashes.RecordUpstreamEnd(time.Now(), id)
				}
			})
		}
		stored := func(fp uint64) func() bool {
			return func() bool {
				objects, _, err := store.List(ctx, platform.KindRefusals)
				return err == nil && len(objects) == 1 && strings.Contains(string(objects[0].Spec), `"`+strconv.FormatUint(fp, 36)+`"`)
			}
		}
		refuse(1001)
		Eventually(stored(1001), "3s").Should(BeTrue())
		hold.Store(true)
		refuse(1002) // its write is given up
		Eventually(hold.Load, "3s").Should(BeFalse())
		refuse(1003)
		Eventually(stored(1003), "6s").Should(BeTrue())
		st.ServeHTTP(httptest.NewRecorder(), <-held)
		Expect(stored(1003)()).To(BeTrue())
	})
})
