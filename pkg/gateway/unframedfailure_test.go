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

var _ = Describe("a failure with neither a length nor chunks", func() {
	// call returns the answer to a request whose upstream sends a failure and closes its connection. The upstream's process
	// ends with it, unless it lives on.
	call := func(path string, livesOn bool) (int, string) {
		r := newRig()
		r.configure()
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = ln.Close() })
		service := "plain"
		if path == "/once/a" {
			service = "llm"
		}
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: service, Address: ln.Addr().String(), Zone: "z1", Slots: 8, StartedUnixMS: 5, Models: []catalog.Resident{{Model: "m"}}})
		})
		serve := func(c net.Conn) {
			defer func() { _ = c.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(c))
			switch {
			case err != nil:
			case req.URL.Path == standin.ReportPath:
				_, _ = io.WriteString(c, standin.ReportReply(5))
			case req.URL.Path != path:
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			default:
				_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+standin.SignedFields(standin.RequestID(req.Header), "stamp")+"Connection: close\r\n\r\nout of")
				if !livesOn {
					_ = ln.Close()
				}
			}
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
		resp, body, err := r.call(http.MethodPost, path)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, body
	}

	// Guards against the beginning of a failure that looks like all of it: the end of the answer was confirmed for successes
	// only.
	DescribeTable("is not delivered if its upstream's process has ended", func(path string) {
		status, body := call(path, false)
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(body).NotTo(ContainSubstring("out of"))
	}, Entry("of a plain service", "/post/a"), Entry("in place of a stream", "/once/a"))

	DescribeTable("is delivered if its upstream lives", func(path string) {
		status, body := call(path, true)
		Expect(status).To(Equal(http.StatusInternalServerError))
		Expect(body).To(Equal("out of"))
	}, Entry("of a plain service", "/post/a"), Entry("in place of a stream", "/once/a"))
})
