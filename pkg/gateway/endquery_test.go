package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against breaking off complete streams because the replies that prove their ends find no memory for bodies.
var _ = Describe("the query at the end of an unframed answer", func() {
	It("needs no memory for bodies", func() {
		r := newRig()
		r.gw.SetBodyMemoryLimit(16 << 10) // less than a further piece of a body
		r.configure()
		padding := strings.Repeat(" ", 8<<10) // a report takes some kilobytes
		body := standin.ReportBody(stepsStartedUnixMS) + padding
		u := &steps{
			write: func(c net.Conn, _ *http.Request, _ string) { _, _ = io.WriteString(c, event(1)+event(2)) },
			report: func(time.Duration) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			},
		}
		u.add(r, "u1")
		_, got, err := r.call(http.MethodPost, "/once/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(event(1) + event(2)))
	})

	It("takes a long reply to a health check for a sign of life", func() {
		r := newRig()
		r.configure()
		reply := strings.Repeat("x", 2<<20)
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/" {
				_, _ = io.WriteString(w, reply)
				return
			}
			c, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			h := http.Header{"Connection": {"close"}}
			standin.Sign(h, standin.RequestID(req.Header), "stamp")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_ = h.Write(c)
			_, _ = io.WriteString(c, "\r\nwhole")
		})
		for range 2 {
			resp, body, err := r.call(http.MethodPost, "/post/a")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(Equal("whole"))
		}
	})
})
