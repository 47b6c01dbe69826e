package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// Guards against observations that never reach the agents, and against those of a resumed stream, whose upstream
// processes its earlier output again before the first event.
var _ = Describe("the events of a stream", func() {
	It("are observed for the agent beside the upstream, unless an earlier attempt began the stream", func() {
		r := newRig()
		r.configure()
		var streams atomic.Int64
		r.upstream("u1", "llm", []catalog.Resident{{Model: "m"}}, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			w.Header().Set("Content-Type", "text/event-stream")
			stream := streams.Add(1)
			for i := range 12 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(2 * time.Millisecond)
				if stream == 1 && i == 1 {
					panic(http.ErrAbortHandler)
				}
			}
		})
		observed := func() (o *speed.Observed) {
			r.core.Do(func(s *dispatch.State) { o = s.ObservedSpeed(time.Now(), "u1") })
			return o
		}
		_, _, err := r.call(http.MethodPost, "/stream/x")
		Expect(err).To(HaveOccurred()) // no other upstream can resume it
		Expect(observed()).To(BeNil())
		Eventually(func() error { _, _, err := r.call(http.MethodPost, "/once/x"); return err }).Should(Succeed())
		Expect(observed().Counts).To(HaveLen(int(speed.Interval) + 1))
		Expect(observed().Counts[speed.Prefill].Counts).To(BeEmpty()) // it has no prompt
	})

	// Guards against request lines from which explain cannot tell what cached prefixes were worth.
	It("leave what was expected and seen of the cached part in the request line", func() {
		r := newRig()
		r.configure()
		r.upstream("u1", "llm", []catalog.Resident{{Model: "m"}}, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
		})
		var out bytes.Buffer
		log := eventlog.New(&out, "entry", "vm")
		r.gw = gateway.New(r.core, h1.NewPool(), log, guard.New(log), tally.NoopScope, noop.NewTracerProvider().Tracer(""))
		front := httptest.NewServer(r.gw)
		r.front = front
		Eventually(func() error { _, _, err := r.call(http.MethodPost, "/once/x"); return err }).Should(Succeed())
		front.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		log.Run(ctx)
		Expect(out.String()).To(ContainSubstring("cached=0 cached_seen=-1 detour_ms=0 last_ms=0"))
	})
})
