package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against the beginning of an answer that looks complete to a router which stood still while its upstream's process
// ended and another one came back under its id: the second connection is opened when the head is read, and leads to that one.
var _ = Describe("a plain answer with neither a length nor chunks, read late,", func() {
	It("is not delivered if another process is back under the id of its upstream", func() {
		r := newRig()
		r.configure()
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "plain", Address: address, Zone: "z1", Slots: 8, StartedUnixMS: 5})
		})
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			_ = ln.Close()
			next, lerr := net.Listen("tcp4", address)
			if err != nil || lerr != nil {
				return
			}
			defer func() { _ = next.Close() }()
			go func() {
				_, _ = io.WriteString(c, signedAnswer("200 OK", "Connection: close\r\n", "half of the answer"))
				_ = c.Close()
			}()
			_ = req.Body.Close()
			for {
				c, err := next.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		resp, body, err := r.call(http.MethodPost, "/post/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
		Expect(standin.Signed(resp.Header)).To(BeFalse())
	})
})
