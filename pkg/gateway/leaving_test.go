package gateway_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against requests to an upstream that has announced in its answers that it is leaving, while the platform's list
// does not show it, as during an outage of the store.
var _ = Describe("an upstream that announces that it is leaving", func() {
	var r *rig
	var received atomic.Int32
	BeforeEach(func() {
		r = newRig()
		r.configure()
		received.Store(0)
	})
	// leaving adds an upstream whose answers have the status and announce that the named instance is leaving.
	leaving := func(status int, instance string) {
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, req *http.Request) {
			received.Add(1)
			sign(w, req)
			standin.SetLeaving(w.Header())
			if instance != "" {
				standin.SetInstance(w.Header(), instance)
			}
			w.WriteHeader(status)
		})
	}
	call := func(n int) (last *http.Response) {
		for range n {
			resp, _, err := r.call(http.MethodPost, "/post/a")
			Expect(err).NotTo(HaveOccurred())
			last = resp
		}
		return last
	}

	DescribeTable("gets no further requests",
		func(status int) {
			leaving(status, "")
			call(1)
			Expect(call(3).StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(received.Load()).To(BeEquivalentTo(1))
		},
		Entry("after a success", http.StatusOK), Entry("after a failure", http.StatusInternalServerError),
	)

	It("gets no further requests although the list says that it is ready", func() {
		leaving(http.StatusOK, "u1")
		call(1)
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "plain", Address: s.Fleet.Get("u1").Address, Zone: "z1", Slots: 8})
		})
		Expect(call(2).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(received.Load()).To(BeEquivalentTo(1))
	})

	// Guards against taking the announcement of another runner that has got the address for the upstream's own.
	It("gets requests if another instance at its address announces it", func() {
		leaving(http.StatusOK, "u9")
		Expect(call(3).StatusCode).To(Equal(http.StatusOK))
		Expect(received.Load()).To(BeEquivalentTo(3))
	})
})

// Guards against an upstream that gets requests for as long as it rejects them.
var _ = Describe("an upstream that rejects a request and names a time", func() {
	It("gets no further request before", func() {
		r := newRig()
		r.configure()
		var received atomic.Int32
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, _ *http.Request) {
			received.Add(1)
			standin.SetNotRun(w.Header())
			w.Header().Set("Retry-After", "20")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		for range 5 {
			resp, _, err := r.call(http.MethodGet, "/get/a")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(received.Load()).To(BeEquivalentTo(1))
	})
})
