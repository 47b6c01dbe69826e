package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

var _ = Describe("stopping", func() {
	// Guards against a request that waits for a model losing its connection without an answer when the process is
	// killed at the end of its grace time (decals, trouble-2, seed 793564029219).
	It("refuses a request that still waits for a model", func() {
		r := newRig()
		r.configure()
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), catalog.Upstream{ID: "a", Service: "llm", Address: "127.0.0.1:1", Zone: "z1", Slots: 8, OnDisk: []string{"m"}})
		})
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			resp, _, err := r.call(http.MethodPost, "/stream/x")
			Expect(err).NotTo(HaveOccurred())
			status <- resp.StatusCode
		}()
		Eventually(func() (n int) {
			r.core.Do(func(s *dispatch.State) { n = len(s.LoadRequests(time.Now())) })
			return n
		}).Should(Equal(1))
		r.gw.FinishRequests()
		Eventually(status, "1s").Should(Receive(Equal(http.StatusServiceUnavailable)))
	})
})
