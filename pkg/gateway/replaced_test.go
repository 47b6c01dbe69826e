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

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against calls that run at another service (review/13): one of its instances starts at the address of a plain upstream
// that has ended, under the same id, and the list does not name it yet.
var _ = Describe("a plain upstream at whose address another service's instance starts under its id", func() {
	const reuseAfter = 400 * time.Millisecond
	It("gets no requests until the list names it", func() {
		r := newRig()
		r.configure()
		r.core.Do(func(s *dispatch.State) { s.Fleet.SetReuseAfter(reuseAfter) })
		var runs atomic.Int32
		serve := func(ln net.Listener) {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						runs.Add(1)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+standin.SignedFields(standin.RequestID(req.Header), "stamp")+"Connection: close\r\nContent-Length: 2\r\n\r\nok")
					}
				}()
			}
		}
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		put := func(startedUnixMS int64) {
			r.core.Update(func(s *dispatch.State) {
				s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "plain", Address: address, Zone: "z1", Slots: 8, StartedUnixMS: startedUnixMS})
			})
		}
		put(100)
		go serve(ln)
		status := func() int {
			resp, _, err := r.call(http.MethodPost, "/post/a")
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode
		}
		Expect(status()).To(Equal(http.StatusOK))
		Expect(ln.Close()).To(Succeed())
		ended := time.Now()
		Expect(status()).To(Equal(http.StatusServiceUnavailable)) // is refused
		<-time.After(time.Until(ended.Add(reuseAfter)))
		next, err := net.Listen("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = next.Close() }()
		go serve(next)
		runs.Store(0)
		for range 5 {
			Expect(status()).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(runs.Load()).To(BeZero())
		put(200)
		Expect(status()).To(Equal(http.StatusOK))
	})
})
