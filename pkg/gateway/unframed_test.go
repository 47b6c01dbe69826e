package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
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
