package gateway_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// proofEngine is what listens at the address of the upstream u1, which started at proofEngineStart.
type proofEngine struct {
	reports  string // body of its report; empty if it has none
	runs     atomic.Int32
	queries  atomic.Int32
	listener net.Listener
}

const proofEngineStart = 100

func (e *proofEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		e.queries.Add(1)
		if e.reports == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, e.reports)
		return
	}
	e.runs.Add(1)
	sign(w, q)
	_, _ = io.WriteString(w, event(1))
}

// listen serves at the address.
func (e *proofEngine) listen(address string) {
	ln, err := net.Listen("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	e.listener = ln
	srv := &httptest.Server{Listener: ln, Config: &http.Server{Handler: e}}
	srv.Start()
	DeferCleanup(srv.Close)
}

var _ = Describe("a request to an address at which nothing has shown a sign of life for as long as it takes until it is reused", func() {
	const reuseAfter = 150 * time.Millisecond
	var r *rig
	BeforeEach(func() {
		r = newRig()
		r.configure()
		r.core.Do(func(s *dispatch.State) { s.Fleet.SetReuseAfter(reuseAfter) })
	})
	// add lists the upstream at the address and applies a report of its agent.
	add := func(address string) {
		u := catalog.Upstream{ID: "u1", Service: "llm", Address: address, Zone: "z1", Slots: 8, StartedUnixMS: proofEngineStart, Models: []catalog.Resident{{Model: "m"}}}
		report := &peer.Report{}
		report.SetUpstream(u, 1)
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), u)
			s.Fleet.ApplyReport(time.Now(), report)
		})
	}
	needsProof := func() (needed bool) {
		r.core.Do(func(s *dispatch.State) {
			needed = s.Fleet.NeedsProof(time.Now(), boottime.Now(), "u1", proofEngineStart)
		})
		return needed
	}

	// Guards against requests that run at another service: an upstream of another service that started at the address under
	// the id of its predecessor got them until its agent reported.
	DescribeTable("does not run at another instance under the same id", func(report string) {
		e := &proofEngine{reports: report}
		e.listen("127.0.0.1:0")
		add(e.listener.Addr().String())
		Eventually(needsProof, "2s", "5ms").Should(BeTrue())
		resp, _, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(e.runs.Load()).To(BeZero())
	},
		Entry("that reports a later start", standin.ReportBody(proofEngineStart+2500)),
		Entry("that reports an earlier start, since clocks differ", standin.ReportBody(proofEngineStart-50)),
		Entry("that reports no start", "{}"),
		Entry("that has no report", ""),
	)

	It("runs at the instance, which proves itself once", func() {
		e := &proofEngine{reports: standin.ReportBody(proofEngineStart)}
		e.listen("127.0.0.1:0")
		add(e.listener.Addr().String())
		Eventually(needsProof, "2s", "5ms").Should(BeTrue())
		for range 3 {
			resp, _, err := r.call(http.MethodPost, "/stream/a")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(e.runs.Load()).To(BeEquivalentTo(3))
		Expect(e.queries.Load()).To(BeEquivalentTo(1))
	})

	It("needs no proof while the agent reports", func() {
		e := &proofEngine{}
		e.listen("127.0.0.1:0")
		add(e.listener.Addr().String())
		r.core.Do(func(s *dispatch.State) { s.Fleet.SetReuseAfter(time.Minute) })
		resp, _, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(e.queries.Load()).To(BeZero())
	})
})
