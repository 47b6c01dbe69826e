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

// Guards against the beginning of an answer that looks complete: a caller that has closed its side of the connection for
// writing was taken for one that has left, so the end of its answer was not confirmed.
var _ = Describe("an unframed answer to a caller that has finished writing", func() {
	// call returns what the caller reads if its upstream sends an answer without a length, and ends with it unless it lives on.
	call := func(livesOn bool) (*http.Response, string, error) {
		r := newRig()
		r.configure()
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = ln.Close() })
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "plain", Address: ln.Addr().String(), Zone: "z1", Slots: 8, StartedUnixMS: 5})
		})
		serve := func(c net.Conn) {
			defer func() { _ = c.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(c))
			switch {
			case err != nil:
			case req.Method == http.MethodGet: // the query
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			default:
				<-time.After(50 * time.Millisecond) // the router sees the end of what the caller writes
				_, _ = io.WriteString(c, signedAnswer("200 OK", "Connection: close\r\n", "half of the answer"))
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
		c, err := net.Dial("tcp4", r.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		req, err := http.NewRequest(http.MethodPost, "/post/a", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		standin.SetRequestHeader(req.Header, "r1", 0, "", "")
		Expect(req.Write(c)).To(Succeed())
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		if err != nil {
			return nil, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return resp, string(body), err
	}

	It("is not delivered if its upstream's process has ended", func() {
		resp, body, err := call(false)
		if err == nil {
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
		}
		Expect(body).NotTo(ContainSubstring("half"))
	})

	It("is delivered if its upstream lives", func() {
		resp, body, err := call(true)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("half of the answer"))
	})
})
