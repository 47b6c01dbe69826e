package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against a promise that a request has not run, or a second run, although the request runs: its connection was quiet
// when it was taken from the pool, and a refusal that belongs to no request arrives just after it.
var _ = Describe("a refusal without an id on a connection that is used again", func() {
	It("is not taken for that of a request that must not be repeated", func() {
		r := newRig()
		r.configure()
		var runs, refusals atomic.Int32
		r.raw("u1", "plain", nil, func(c net.Conn) {
			br := bufio.NewReader(c)
			for reused := false; ; reused = true {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				runs.Add(1)
				if reused {
					refusals.Add(1)
					h := http.Header{"Content-Length": {"0"}}
					standin.SetNotRun(h)
					_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n")
					_ = h.Write(c)
					_, _ = io.WriteString(c, "\r\n")
				}
				id := standin.RequestID(req.Header)
				if _, err := io.WriteString(c, standin.Head(id, "s", len(id))+id); err != nil {
					return
				}
			}
		})
		post := func() int {
			resp, _, err := r.call(http.MethodPost, "/post/a")
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode
		}
		Expect(post()).To(Equal(http.StatusOK))
		Expect(post()).To(Equal(http.StatusBadGateway))
		Expect(refusals.Load()).To(Equal(int32(1)))
		Consistently(runs.Load, 100*time.Millisecond).Should(Equal(int32(2)), "one run a request")
	})
})
