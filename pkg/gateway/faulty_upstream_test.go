package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// raw adds an upstream that passes each accepted connection to serve.
func (r *rig) raw(id, service string, models []catalog.Resident, serve func(net.Conn)) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = ln.Close() }) // ends the accept loop
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	r.core.Update(func(s *dispatch.State) {
		s.Fleet.Put(time.Now(), catalog.Upstream{ID: id, Service: service, Address: ln.Addr().String(), Zone: "z1", Slots: 8, Models: models})
	})
}

// getPlain sends a GET request with the id to the plain service.
func (r *rig) getPlain(path, id string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, r.front.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	standin.SetRequestHeader(req.Header, id, 0, "", "")
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(body)
}

var _ = Describe("a faulty upstream", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig()
		r.configure()
	})

	// Guards against a caller receiving the answer to another request: the upstream sends a second copy of an answer on
	// a connection that has been reused for the next request.
	It("that repeats an answer before the next one does not deliver it to another caller", func() {
		var duplicates atomic.Int32
		serve := func(repeats bool) func(net.Conn) {
			return func(c net.Conn) {
				br := bufio.NewReader(c)
				last := ""
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					id := standin.RequestID(req.Header)
					answer := standin.Head(id, "s", len(id)) + id
					if repeats && last != "" {
						duplicates.Add(1)
						_, _ = io.WriteString(c, last) // while the connection carries the next request
					}
					last = answer
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}
		}
		r.raw("u1", "plain", nil, serve(true))
		r.raw("u2", "plain", nil, serve(false))
		for i := range 12 {
			id := fmt.Sprintf("request-%d", i)
			status, body := r.getPlain("/get/x", id)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal(id))
		}
		Expect(duplicates.Load()).To(BeNumerically(">", 0))
	})

	// Guards against a stream of single bytes without an event staying open for as long as the upstream sends.
	It("that sends bytes but no event is aborted at the deadline of the request", func() {
		cfg := catalog.NewConfig(2, []catalog.Route{{
			Name: "brief", Host: "h", Prefix: "/stream/", Kind: catalog.Streaming, Timeout: 700 * time.Millisecond, MaxAttempts: 1,
			Backends: []catalog.Backend{{Service: "llm", Weight: 1}},
		}}, []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Models: map[string]catalog.Model{"m": {Name: "m"}}, Slots: 8}}}, catalog.Limits{})
		r.core.Update(func(s *dispatch.State) { s.SetConfig(cfg) })
		ended := make(chan struct{})
		r.raw("u1", "llm", residentM, func(c net.Conn) {
			defer close(ended)
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, err := io.WriteString(c, standin.StreamHead("r1", "s"))
			for err == nil {
				<-time.After(20 * time.Millisecond)
				_, err = io.WriteString(c, ":")
			}
		})
		start := time.Now()
		resp, _, err := r.call(http.MethodPost, "/stream/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(start)).To(BeNumerically("<", 1200*time.Millisecond)) // half a second after the route's timeout
		Eventually(ended, "2s").Should(BeClosed())
	})

	// Guards against aborting slow but valid streams.
	It("that pauses between events is not aborted", func() {
		r.raw("u1", "llm", residentM, func(c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if req.URL.Path == standin.ReportPath { // the router checks that the upstream still runs
				_, _ = io.WriteString(c, standin.ReportReply(0))
				return
			}
			_, err = io.WriteString(c, standin.StreamHead("r1", "s"))
			for i := 1; i <= 4 && err == nil; i++ {
				<-time.After(700 * time.Millisecond)
				_, err = io.WriteString(c, event(i))
			}
		})
		resp, body, err := r.call(http.MethodPost, "/once/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal(event(1) + event(2) + event(3) + event(4)))
	})

	// Guards against endless heads exhausting memory: one grew a router on a VM of 184 MB to 700 MB within three
	// seconds.
	It("that sends endless heads to 200 requests leaves half of the smallest VM's memory free", func() {
		const half = 92 << 20 // bytes, of 184 MB
		block := bytes.Repeat([]byte("x"), 64<<10)
		r.raw("u1", "plain", nil, func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nA: ")
			for err == nil {
				_, err = c.Write(block)
			}
		})
		runtime.GC()
		var before runtime.MemStats
		runtime.ReadMemStats(&before)
		var answered atomic.Int32
		peak := heapPeak(func() {
			var wg sync.WaitGroup
			for range 200 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					defer GinkgoRecover()
					resp, _, err := r.call(http.MethodPost, "/post/x")
					Expect(err).NotTo(HaveOccurred())
					Expect(resp.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable))
					answered.Add(1)
				}()
			}
			wg.Wait()
		})
		Expect(answered.Load()).To(Equal(int32(200)))
		Expect(peak - before.HeapAlloc).To(BeNumerically("<", half))
	})
})
