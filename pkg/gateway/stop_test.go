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
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
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

	// Guards against a request losing its connection without an answer because the end of the upstream's answer could not
	// be proven before the callers' connections are closed.
	It("answers a request whose answer is still being checked", func() {
		const grace = 4900 * time.Millisecond
		r := newRig()
		r.configure()
		stopped := make(chan time.Time, 1)
		r.raw("u1", "plain", nil, func(c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if req.URL.Path == "/" { // the query
				_, _ = io.Copy(io.Discard, c)
				return
			}
			time.Sleep(time.Until((<-stopped).Add(grace - 1400*time.Millisecond))) // just before the last answers
			h := http.Header{"Connection": {"close"}}
			standin.Sign(h, standin.RequestID(req.Header), "stamp")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_ = h.Write(c)
			_, _ = io.WriteString(c, "\r\npart")
		})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		Expect(ln.Close()).To(Succeed())
		s, err := gateway.NewServer(address, r.gw, discard, grace)
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.Run() }()
		stopped <- time.Now()
		go s.Shutdown()
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/post/a", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		standin.SetRequestHeader(req.Header, "r1", 0, "", "")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	})
})
