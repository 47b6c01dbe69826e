package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// Guards against observations that never reach the agents, and against those of a resumed stream, whose upstream
// processes its earlier output again before the first event.
var _ = Describe("the events of a stream", func() {
	It("are observed for the agent beside the upstream, unless an earlier attempt began the stream", func() {
		r := newRig()
		r.configure()
		streams := 0
		r.upstream("u1", "llm", []catalog.Resident{{Model: "m"}}, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			w.Header().Set("Content-Type", "text/event-stream")
			streams++
			for i := range 12 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(2 * time.Millisecond)
				if streams == 1 && i == 1 {
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
})
