package gateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against requests beyond the rate that an upstream takes from all routers together.
var _ = Describe("an upstream that names the requests per second that it takes", func() {
	const (
		perS = 1.1
		span = 4 * time.Second
		// settle is the time after which a router that has passed on such an answer counts.
		settle = 500 * time.Millisecond
	)

	It("gets no more of them than allowed from several routers without an agent", func() {
		var mu sync.Mutex
		var first time.Time
		arrivals := 0
		serve := func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			now := time.Now()
			if first.IsZero() {
				first = now
			}
			if since := now.Sub(first); since >= settle && since < settle+span {
				arrivals++
			}
			mu.Unlock()
			sign(w, req)
			standin.SetLimit(w.Header(), perS)
		}
		rigs := []*rig{newRig(), newRig(), newRig(), newRig()}
		for _, r := range rigs {
			r.configure()
			r.upstream("u1", "plain", nil, serve)
		}
		var wg sync.WaitGroup
		statuses := make(chan int, 1000)
		for _, r := range rigs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				for start := time.Now(); time.Since(start) < settle+span; time.Sleep(50 * time.Millisecond) {
					resp, _, err := r.call(http.MethodPost, "/post/a")
					Expect(err).NotTo(HaveOccurred())
					statuses <- resp.StatusCode
				}
			}()
		}
		wg.Wait()
		close(statuses)
		for status := range statuses {
			Expect(status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		}
		Expect(float64(arrivals)).To(BeNumerically("<=", 1.5*perS*span.Seconds()+5))
	})
})
