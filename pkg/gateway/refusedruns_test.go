package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against a request that runs on more upstreams than its route allows: each one sends a refusal that belongs to
// another request, and runs it.
var _ = It("a request that is refused without an id on used connections runs no more often than its route allows", func() {
	const upstreams = 4
	r := newRig()
	r.configure()
	var runs atomic.Int32
	var warm sync.WaitGroup
	warm.Add(upstreams)
	for i := range upstreams {
		connected := sync.OnceFunc(warm.Done)
		r.raw(fmt.Sprint("u", i), "plain", nil, func(c net.Conn) {
			br := bufio.NewReader(c)
			for used := false; ; used = true {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if req.URL.Path == "/get/warm" { // answered when each upstream has a connection
					connected()
					warm.Wait()
				} else {
					runs.Add(1)
				}
				if used {
					_, _ = io.WriteString(c, withoutID(http.StatusServiceUnavailable, true))
				}
				id := standin.RequestID(req.Header)
				if _, err := io.WriteString(c, standin.Head(id, "s", len(id))+id); err != nil {
					return
				}
			}
		})
	}
	var callers sync.WaitGroup
	for range 2 * upstreams {
		callers.Go(func() {
			defer GinkgoRecover()
			_, _, err := r.call(http.MethodGet, "/get/warm")
			Expect(err).NotTo(HaveOccurred())
		})
	}
	callers.Wait()
	_, _, err := r.call(http.MethodGet, "/get/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(runs.Load()).To(BeNumerically("<=", 2), "maxAttempts of the route")
	Consistently(runs.Load, 100*time.Millisecond).Should(BeNumerically("<=", 2))
})
