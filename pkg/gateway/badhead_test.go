package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// signedAnswer returns an answer to the request r1 with the status line, the further lines of the head, and the body.
func signedAnswer(status, lines, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + standin.SignedFields("r1", "stamp") + lines + "\r\n" + body
}

// framed returns a sound signed success with the body.
func framed(body string) string {
	return signedAnswer("200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

// badly adds an upstream that answers a request with what answer returns for it, and closes the connection behind it.
func (r *rig) badly(id, service string, models []catalog.Resident, answer func(*http.Request) string) {
	r.raw(id, service, models, func(c net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer(req))
		}
	})
}

// expectNoAnswer checks that a router takes the bytes for no answer to a request, wherever it reads one.
func expectNoAnswer(bytes string) {
	var runs atomic.Int32
	two := func(service string, models []catalog.Resident, first, second string) *rig {
		runs.Store(0)
		r := newRig()
		r.configure()
		for _, id := range []string{"u1", "u2"} {
			r.badly(id, service, models, func(*http.Request) string {
				if runs.Add(1) == 1 {
					return first
				}
				return second
			})
		}
		return r
	}

	By("a request that must not run twice")
	resp, body, err := two("plain", nil, bytes, framed("second")).call(http.MethodPost, "/post/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
	Expect(standin.Signed(resp.Header)).To(BeFalse())
	Expect(runs.Load()).To(Equal(int32(1)))

	By("a request that may run twice")
	resp, body, err = two("plain", nil, bytes, framed("second")).call(http.MethodGet, "/get/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	Expect(body).To(Equal("second"))

	By("a stream")
	resp, body, err = two("llm", residentM, bytes, framed(event(1))).call(http.MethodPost, "/once/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)

	By("the rest of a stream")
	cut := signedAnswer("200 OK", "Content-Length: 999\r\n", event(1))
	_, body, err = two("llm", residentM, cut, bytes).call(http.MethodPost, "/stream/a")
	Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	Expect(body).To(Equal(event(1)))
	Expect(runs.Load()).To(Equal(int32(2)))

	By("the query that confirms the end of an answer")
	r := newRig()
	r.configure()
	r.badly("u1", "plain", nil, func(req *http.Request) string {
		if req.Method == http.MethodGet {
			return bytes
		}
		return signedAnswer("200 OK", "Connection: close\r\n", "part")
	})
	resp, body, err = r.call(http.MethodPost, "/post/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
}

// Guards against bytes that reach callers as an answer, or hide one: an upstream in trouble sends a status that no answer to
// a request has.
var _ = DescribeTable("an answer whose status is none of a final answer is no answer",
	expectNoAnswer,
	Entry("000 without a reason", signedAnswer("000", "Content-Length: 4\r\n", "body")),
	Entry("000", signedAnswer("000 Unknown", "Content-Length: 4\r\n", "body")),
	Entry("000 with neither a length nor chunks", signedAnswer("000 Unknown", "", "body")),
	Entry("000 without a body", signedAnswer("000 Unknown", "Content-Length: 0\r\n", "")),
	Entry("000 whose body looks like an answer", signedAnswer("000 Unknown", "", framed(event(2)))),
	Entry("000 whose body of the announced length looks like an answer",
		signedAnswer("000 Unknown", fmt.Sprintf("Content-Length: %d\r\n", len(framed(event(2)))), framed(event(2)))),
	Entry("000 whose chunks look like an answer",
		signedAnswer("000 Unknown", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(framed(event(2))), framed(event(2))))),
	Entry("000 behind an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\n"+signedAnswer("000 Unknown", "", framed(event(2)))),
	Entry("099 whose body looks like an answer", signedAnswer("099 Unknown", "", framed(event(2)))),
	Entry("a sign in place of a digit", signedAnswer("+99 Unknown", "", framed(event(2)))),
	Entry("101, for which no request asks", signedAnswer("101 Switching Protocols", "", framed(event(2)))),
	Entry("600", signedAnswer("600 Unknown", "Content-Length: 4\r\n", "body")),
	Entry("999", signedAnswer("999 Unknown", "Content-Length: 4\r\n", "body")),
)
