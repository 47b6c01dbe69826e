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

// Guards against the end of a connection that is taken for the end of an answer which is not a stream: a process that ends
// in steps has closed the connections of its answers while it still replies to queries.
var _ = Describe("the end of an unframed answer that is not a stream", func() {
	// part sends a request to an upstream that writes a part of its answer, closes the connection, and closes its listener
	// the duration after it. The route has the target; 0 for none.
	part := func(path string, target, after time.Duration) (int, string) {
		r := newRig()
		r.configure()
		if target > 0 {
			cfg := catalog.NewConfig(2, []catalog.Route{{
				Name: "post", Host: "h", Prefix: "/post/", Kind: catalog.NonIdempotent, Timeout: 5 * time.Second, Target: target, MaxAttempts: 2,
				Backends: []catalog.Backend{{Service: "plain", Weight: 1}},
			}}, []catalog.Service{{Name: "plain"}}, catalog.Limits{})
			r.core.Update(func(s *dispatch.State) { s.SetConfig(cfg) })
		}
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = ln.Close() })
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "plain", Address: ln.Addr().String(), Zone: "z1", Slots: 8})
		})
		serve := func(c net.Conn) {
			defer func() { _ = c.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(c))
			switch {
			case err != nil:
			case req.URL.Path == "/": // the query
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			default:
				h := http.Header{"Connection": {"close"}}
				standin.Sign(h, standin.RequestID(req.Header), "stamp")
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				_ = h.Write(c)
				_, _ = io.WriteString(c, "\r\npart")
				time.AfterFunc(after, func() { _ = ln.Close() })
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

	DescribeTable("is no completion if the upstream closes its listener",
		func(target, after time.Duration) {
			status, body := part("/post/a", target, after)
			Expect(status).To(Equal(http.StatusBadGateway), body)
		},
		Entry("20 ms later", time.Duration(0), 20*time.Millisecond),
		Entry("100 ms later", time.Duration(0), 100*time.Millisecond),
		Entry("200 ms later", time.Duration(0), 200*time.Millisecond),
		Entry("20 ms later, and the route has a short target", 50*time.Millisecond, 20*time.Millisecond),
		Entry("100 ms later, and the route has a short target", 50*time.Millisecond, 100*time.Millisecond),
		Entry("150 ms later, and the route has a short target", 50*time.Millisecond, 150*time.Millisecond),
		Entry("200 ms later, and the route has a short target", 50*time.Millisecond, 200*time.Millisecond),
		Entry("200 ms later, and the route has a long target", time.Second, 200*time.Millisecond),
	)
})
