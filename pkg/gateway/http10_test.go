package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against an answer that looks complete to a caller of HTTP/1.0, which has no chunks: only the end of the
// connection marks the end of a stream.
var _ = Describe("a stream to a caller of HTTP/1.0", func() {
	It("does not end regularly if it is broken off", func() {
		r := newRig()
		r.configure()
		r.upstream("u1", "llm", residentM, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		c, err := net.Dial("tcp4", r.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		h := http.Header{}
		standin.SetRequestHeader(h, "r1", 0, "m", "")
		_, _ = fmt.Fprintf(c, "POST /once/a HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n")
		Expect(h.Write(c)).To(Succeed())
		_, _ = io.WriteString(c, "\r\n")
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		raw, err := io.ReadAll(c)
		Expect(string(raw)).To(HavePrefix("HTTP/1.0 200"))
		Expect(string(raw)).To(HaveSuffix(event(1)))
		Expect(err).To(HaveOccurred(), "the connection ended regularly")
	})
})
