package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against breaking off complete streams of an engine that resets connections beyond a few: the queries after the end
// of each stream take more of them than the streams.
var _ = Describe("an engine that takes few connections", func() {
	const (
		callers  = 12
		each     = 4
		maxConns = callers + 4
	)

	It("completes the streams of as many callers, one after another", func() {
		r := newRig()
		r.configure()
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = ln.Close() })
		r.core.Update(func(s *dispatch.State) {
			s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "llm", Address: ln.Addr().String(), Zone: "z1", Slots: callers, Models: residentM})
		})
		var open, accepted, reports atomic.Int64
		serve := func(c net.Conn) {
			defer func() { open.Add(-1); _ = c.Close() }()
			br := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if req.URL.Path == standin.ReportPath {
					reports.Add(1)
					reply := standin.ReportReply(0)
					if req.Close {
						_, _ = io.WriteString(c, strings.Replace(reply, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
						return
					}
					_, _ = io.WriteString(c, reply)
					continue
				}
				_, _ = io.WriteString(c, standin.StreamHead(standin.RequestID(req.Header), "stamp"))
				for i := range 10 {
					_, _ = io.WriteString(c, event(i+1))
					time.Sleep(20 * time.Millisecond)
				}
				return
			}
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				if open.Add(1) > maxConns {
					open.Add(-1)
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
					continue
				}
				go serve(c)
			}
		}()
		var broken, refused atomic.Int64
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				for range each {
					resp, _, err := r.call(http.MethodPost, "/once/a")
					switch {
					case err != nil:
						broken.Add(1)
						return
					case resp.StatusCode != http.StatusOK:
						refused.Add(1)
						return
					}
				}
			})
		}
		wg.Wait()
		Expect([]int64{broken.Load(), refused.Load()}).To(Equal([]int64{0, 0}), "broken off and refused")
		Expect(reports.Load()).To(BeNumerically("<=", callers*each), "reports")
		// A stream takes its connection with it, and the next one uses that of the query, unless a busy machine has closed it.
		Expect(accepted.Load()).To(BeNumerically("<", callers*each*3/2), "new connections")
	})
})
