package gateway_test

import (
	"bufio"
	"bytes"
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

// uploadBytes is more than the kernel's buffers take, so that an upstream that reads nothing blocks the upload.
const uploadBytes = 8 << 20

// configureUploads applies routes of all kinds that take long uploads.
func (r *rig) configureUploads() {
	cfg := *r.configure()
	cfg.Version, cfg.Limits = 2, catalog.Limits{BodyBytes: 2 * uploadBytes}
	r.core.Update(func(s *dispatch.State) { s.SetConfig(&cfg) })
}

// upload sends a long body to the path.
func (r *rig) upload(path string) (*http.Response, string, error) {
	return r.callWith(http.MethodPost, path, bytes.NewReader(make([]byte, uploadBytes)))
}

// answeringEarly adds an upstream that answers as soon as it has the head of a request, without reading its body. A query is
// answered as by an instance that runs. end ends the connection behind the answer.
func (r *rig) answeringEarly(id, service string, models []catalog.Resident, answer string, end func(*net.TCPConn)) {
	r.raw(id, service, models, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		switch {
		case err != nil:
		case req.Method == http.MethodGet && service == "plain":
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case req.Method == http.MethodGet:
			_, _ = io.WriteString(c, standin.ReportReply(0))
		default:
			_, _ = io.WriteString(c, answer)
			end(c.(*net.TCPConn))
		}
	})
}

// resetAfter resets the connection the duration after the answer has been written.
func resetAfter(d time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		if d > 0 {
			<-time.After(d)
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// drain reads the rest of the upload.
func drain(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }

// closeThen closes the connection towards the router, which leaves the upload unread, and calls next.
func closeThen(next func(*net.TCPConn)) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_ = c.CloseWrite()
		next(c)
	}
}

// Guards against the part of an answer as a complete one: the kernel reports the reset of a connection once, and if that is
// to the write of the upload, the read sees a regular end.
var _ = Describe("an answer with neither a length nor chunks that arrives during the upload", func() {
	const rounds = 5
	head := func(status string) string {
		return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + standin.SignedFields("r1", "stamp") + "\r\n"
	}

	DescribeTable("is not delivered if the connection is reset",
		func(status string, end func(*net.TCPConn)) {
			for range rounds {
				r := newRig()
				r.configureUploads()
				r.answeringEarly("u1", "plain", nil, head(status)+"part", end)
				resp, body, err := r.upload("/post/a")
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
				Expect(standin.Signed(resp.Header)).To(BeFalse())
			}
		},
		Entry("right behind a part of a success", "200 OK", resetAfter(0)),
		Entry("20 ms after a part of a success", "200 OK", resetAfter(20*time.Millisecond)),
		Entry("300 ms after a part of a success", "200 OK", resetAfter(300*time.Millisecond)),
		Entry("right behind a part of a failure", "500 Internal Server Error", resetAfter(0)),
		Entry("300 ms after a part of a failure", "500 Internal Server Error", resetAfter(300*time.Millisecond)),
		Entry("300 ms after a part of an answer to a bad request", "400 Bad Request", resetAfter(300*time.Millisecond)),
	)

	It("is not delivered if the connection is given up because the upstream reads nothing", func() {
		r := newRig()
		r.configureUploads()
		r.answeringEarly("u1", "plain", nil, head("200 OK")+"part", func(*net.TCPConn) { <-time.After(4 * time.Second) })
		resp, body, err := r.upload("/post/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
	})

	DescribeTable("is delivered if the connection is closed behind it",
		func(status string, want int, end func(*net.TCPConn)) {
			r := newRig()
			r.configureUploads()
			r.answeringEarly("u1", "plain", nil, head(status)+"whole", end)
			resp, body, err := r.upload("/post/a")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(want))
			Expect(standin.Stamp(resp.Header)).To(Equal("stamp"))
			Expect(body).To(Equal("whole"))
		},
		Entry("a success", "200 OK", http.StatusOK, closeThen(drain)),
		Entry("a failure", "500 Internal Server Error", http.StatusInternalServerError, closeThen(drain)),
		Entry("a success, and reset afterwards", "200 OK", http.StatusOK, closeThen(resetAfter(0))),
	)

	It("is retried if the connection is reset and the request may run twice", func() {
		for range rounds {
			r := newRig()
			r.configureUploads()
			var runs atomic.Int32
			for _, id := range []string{"u1", "u2"} {
				r.answeringEarly(id, "plain", nil, head("200 OK"), func(c *net.TCPConn) {
					if runs.Add(1) == 1 {
						_, _ = io.WriteString(c, "part")
						resetAfter(20 * time.Millisecond)(c)
						return
					}
					_, _ = io.WriteString(c, "whole")
					closeThen(drain)(c)
				})
			}
			resp, body, err := r.upload("/get/a")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(Equal("whole"))
			Expect(runs.Load()).To(Equal(int32(2)))
		}
	})

	DescribeTable("is a truncated stream if the connection is reset",
		func(after time.Duration) {
			for range rounds {
				r := newRig()
				r.configureUploads()
				r.answeringEarly("u1", "llm", residentM, head("200 OK")+event(1)+event(2), resetAfter(after))
				_, body, err := r.upload("/once/a")
				Expect(err).To(MatchError(io.ErrUnexpectedEOF))
				Expect(body).To(Equal(event(1) + event(2)))
			}
		},
		Entry("right behind an event", time.Duration(0)),
		Entry("300 ms after an event", 300*time.Millisecond),
	)

	// resume sends a request for a stream of which the first run is broken off behind its first event. rest is what the second
	// run answers, and end ends its connection.
	resume := func(rest string, end func(*net.TCPConn)) (string, error) {
		r := newRig()
		r.configureUploads()
		var runs atomic.Int32
		for _, id := range []string{"u1", "u2"} {
			r.answeringEarly(id, "llm", residentM, head("200 OK"), func(c *net.TCPConn) {
				if runs.Add(1) == 1 {
					_, _ = io.WriteString(c, event(1))
					resetAfter(20 * time.Millisecond)(c)
					return
				}
				_, _ = io.WriteString(c, rest)
				end(c)
			})
		}
		_, body, err := r.upload("/stream/a")
		Expect(runs.Load()).To(Equal(int32(2)))
		return body, err
	}

	It("is a stream that is resumed if the connection is reset", func() {
		body, err := resume(event(2)+event(3), closeThen(drain))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2) + event(3)))
	})

	DescribeTable("is a truncated stream if the connection of its second run is reset too",
		func(rest string, after time.Duration) {
			for range rounds {
				body, err := resume(rest, resetAfter(after))
				Expect(err).To(MatchError(io.ErrUnexpectedEOF))
				Expect(body).To(Equal(event(1) + rest))
			}
		},
		Entry("right behind an event", event(2), time.Duration(0)),
		Entry("20 ms after an event", event(2), 20*time.Millisecond),
		Entry("20 ms after its head", "", 20*time.Millisecond),
	)
})
