package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

var _ = Describe("a plain answer with neither a length nor chunks", func() {
	const (
		answer = "half of the answer"
		// idleTimeout is the time after which the upstream closes a connection without a request.
		idleTimeout = 1500 * time.Millisecond
		// longAnswer is the time that an answer takes which is longer.
		longAnswer = 2500 * time.Millisecond
	)
	// call returns the status of the answer to a request whose upstream sends the answer and closes its connection. If it
	// restarts, its process ends with all connections that it has accepted, and another one replies under its id after the
	// delay; the list names that one if it registers. takes is the time from the head to the body.
	call := func(status string, restarts, registers bool, delay, takes time.Duration) int {
		r := newRig()
		r.configure()
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		put := func(startedUnixMS int64) {
			r.core.Update(func(s *dispatch.State) {
				s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "plain", Address: address, Zone: "z1", Slots: 8, StartedUnixMS: startedUnixMS})
			})
		}
		put(5)
		var mu sync.Mutex
		var open []net.Conn
		var listeners []net.Listener
		DeferCleanup(func() {
			mu.Lock()
			defer mu.Unlock()
			for _, ln := range listeners {
				_ = ln.Close()
			}
		})
		var serve func(ln net.Listener)
		restart := func(ln net.Listener) {
			_ = ln.Close()
			mu.Lock()
			for _, c := range open {
				_ = c.Close()
			}
			open = nil
			mu.Unlock()
			<-time.After(delay)
			next, err := net.Listen("tcp4", address)
			if err != nil {
				return
			}
			if registers {
				put(6)
			}
			serve(next)
		}
		serve = func(ln net.Listener) {
			mu.Lock()
			listeners = append(listeners, ln)
			mu.Unlock()
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
				go func() {
					defer func() { _ = c.Close() }()
					_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
					req, err := http.ReadRequest(bufio.NewReader(c))
					switch {
					case err != nil:
					case req.Method == http.MethodGet:
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					default:
						_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+standin.SignedFields(standin.RequestID(req.Header), "stamp")+"Connection: close\r\n\r\n")
						<-time.After(takes)
						_, _ = io.WriteString(c, answer)
						<-time.After(20 * time.Millisecond)
						if restarts {
							go restart(ln)
						}
					}
				}()
			}
		}
		go serve(ln)
		resp, _, err := r.call(http.MethodPost, "/post/a")
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}

	// Guards against the beginning of an answer that looks complete: a process that was back under its id before the check, which
	// compares ids only, was taken for the one that had sent it.
	DescribeTable("is not delivered if another process is back under the id of its upstream", func(status string, registers bool, delay time.Duration) {
		Expect(call(status, true, registers, delay, 0)).To(Equal(http.StatusBadGateway))
	},
		Entry("at once", "200 OK", false, time.Duration(0)),
		Entry("at once, and registered", "200 OK", true, time.Duration(0)),
		Entry("after 50 ms", "200 OK", false, 50*time.Millisecond),
		Entry("before the last query", "200 OK", false, 200*time.Millisecond),
		Entry("at once, for a failure", "500 Internal Server Error", false, time.Duration(0)),
	)

	// Guards against the beginning of a long answer that looks complete (review/14): a witness that the upstream may have closed
	// as idle showed nothing, so a process that was back under its id was taken for the one that had sent the answer.
	DescribeTable("is not delivered if it takes long and another process is back under the id of its upstream", func(delay, takes time.Duration) {
		Expect(call("200 OK", true, false, delay, takes)).To(Equal(http.StatusBadGateway))
	},
		Entry("at once", time.Duration(0), longAnswer),
		Entry("after 100 ms", 100*time.Millisecond, longAnswer),
		Entry("at once, when the witness is about to be replaced", time.Duration(0), 1980*time.Millisecond),
	)

	It("is delivered if its upstream lives", func() {
		Expect(call("200 OK", false, false, 0, 0)).To(Equal(http.StatusOK))
		Expect(call("500 Internal Server Error", false, false, 0, 0)).To(Equal(http.StatusInternalServerError))
	})

	It("is delivered if it takes long and its upstream lives, and closes idle connections", func() {
		Expect(call("200 OK", false, false, 0, longAnswer)).To(Equal(http.StatusOK))
	})
})
