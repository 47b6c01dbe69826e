package gateway_test

import (
	"bufio"
	"fmt"
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

// Guards against answers that end early and look complete, where only the end of the connection marks their end.
var _ = Describe("an answer with neither a length nor chunks", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig()
		r.configure()
	})
	// unframed adds an upstream that answers with the body, and resets the connection behind it or closes it.
	unframed := func(service, body string, reset bool) {
		r.raw("u1", service, []catalog.Resident{{Model: "m"}}, func(c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			h := http.Header{"Connection": {"close"}, "Content-Type": {"text/event-stream"}}
			standin.Sign(h, standin.RequestID(req.Header), "stamp")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_ = h.Write(c)
			_, _ = fmt.Fprintf(c, "\r\n%s", body)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
	}
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

	It("is complete if the connection is closed behind it", func() {
		unframed("plain", "whole", false)
		resp, body, err := r.call(http.MethodPost, "/post/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("whole"))
	})

	It("is not delivered if the connection is reset", func() {
		unframed("plain", "part", true)
		resp, _, err := r.call(http.MethodPost, "/post/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("is a complete stream if the connection is closed behind an event", func() {
		unframed("llm", events, false)
		_, body, err := r.call(http.MethodPost, "/once/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events))
	})

	It("is a truncated stream if the connection is closed within an event", func() {
		unframed("llm", events+"id: 3\ndata:", false)
		_, body, err := r.call(http.MethodPost, "/once/a")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(Equal(events))
	})

	It("is no stream if the connection is closed before the first event", func() {
		unframed("llm", "", false)
		resp, _, err := r.call(http.MethodPost, "/once/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	})
})

// Guards against streams that end behind an event because their upstream's process has ended, whose connections the
// kernel closes, and that look complete (soak, seeds 203, 206 and 209).
var _ = Describe("an upstream that ends while it sends a stream with neither a length nor chunks", func() {
	// stream returns the error with which a caller reads a stream from an upstream that ends behind the first event.
	stream := func(draining bool) error {
		r := newRig()
		r.configure()
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		put := func(draining bool) {
			r.core.Update(func(s *dispatch.State) {
				s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "llm", Address: ln.Addr().String(), Zone: "z1", Slots: 8, Draining: draining, Models: []catalog.Resident{{Model: "m"}}})
			})
		}
		put(false)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, standin.StreamHead(standin.RequestID(req.Header), "stamp")+"id: 1\ndata: a\n\n")
			}
			put(draining)
			_ = ln.Close()
			_ = c.Close()
		}()
		_, _, err = r.call(http.MethodPost, "/once/a")
		return err
	}

	It("has not completed it", func() { Expect(stream(false)).To(MatchError(io.ErrUnexpectedEOF)) })

	// Guards against truncating the last streams of an upstream that leaves, which accepts no connections any more.
	It("has completed it if it was leaving", func() { Expect(stream(true)).To(Succeed()) })
})
