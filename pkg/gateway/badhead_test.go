package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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

// answering adds an upstream that answers a request with what answer returns for it, and closes the connection behind it.
func (r *rig) answering(id, service string, models []catalog.Resident, answer func(*http.Request) string) {
	r.raw(id, service, models, func(c net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer(req))
		}
	})
}

// expectNoAnswer checks that a router takes the bytes for no answer to a request, wherever it reads one.
func expectNoAnswer(bytes string) {
	var runs atomic.Int32
	// newRigOfTwo returns a rig with two upstreams. The first request that reaches them is answered with first, others with second.
	newRigOfTwo := func(service string, models []catalog.Resident, first, second string) *rig {
		runs.Store(0)
		r := newRig()
		r.configure()
		for _, id := range []string{"u1", "u2"} {
			r.answering(id, service, models, func(*http.Request) string {
				if runs.Add(1) == 1 {
					return first
				}
				return second
			})
		}
		return r
	}

	By("a request that must not run twice")
	resp, body, err := newRigOfTwo("plain", nil, bytes, framed("second")).call(http.MethodPost, "/post/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)
	Expect(standin.Signed(resp.Header)).To(BeFalse())
	Expect(runs.Load()).To(Equal(int32(1)))

	By("a request that may run twice")
	resp, body, err = newRigOfTwo("plain", nil, bytes, framed("second")).call(http.MethodGet, "/get/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	Expect(body).To(Equal("second"))

	By("a stream")
	resp, body, err = newRigOfTwo("llm", residentM, bytes, framed(event(1))).call(http.MethodPost, "/once/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), body)

	By("the rest of a stream")
	cut := signedAnswer("200 OK", "Content-Length: 999\r\n", event(1))
	_, body, err = newRigOfTwo("llm", residentM, cut, bytes).call(http.MethodPost, "/stream/a")
	Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	Expect(body).To(Equal(event(1)))
	Expect(runs.Load()).To(Equal(int32(2)))
}

// malformed is an answer that is none.
type malformed struct{ name, answer string }

// entries returns the entries of a table with the answers.
func entries(all []malformed) []TableEntry {
	var out []TableEntry
	for _, m := range all {
		out = append(out, Entry(m.name, m.answer))
	}
	return out
}

// expectNoReply checks that a router takes none of the answers for a reply to the query that confirms the end of an answer.
func expectNoReply(all []malformed) {
	statuses := make([]int, len(all))
	var calls sync.WaitGroup
	for i, m := range all {
		r := newRig()
		r.configure()
		r.answering("u1", "plain", nil, func(req *http.Request) string {
			if req.Method == http.MethodGet {
				return m.answer
			}
			return signedAnswer("200 OK", "Connection: close\r\n", "part")
		})
		calls.Go(func() {
			defer GinkgoRecover()
			resp, _, err := r.call(http.MethodPost, "/post/a")
			Expect(err).NotTo(HaveOccurred())
			statuses[i] = resp.StatusCode
		})
	}
	calls.Wait()
	for i, m := range all {
		Expect(statuses[i]).To(Equal(http.StatusBadGateway), m.name)
	}
}

var badStatuses = []malformed{
	{"000 without a reason", signedAnswer("000", "Content-Length: 4\r\n", "body")},
	{"000", signedAnswer("000 Unknown", "Content-Length: 4\r\n", "body")},
	{"000 with neither a length nor chunks", signedAnswer("000 Unknown", "", "body")},
	{"000 without a body", signedAnswer("000 Unknown", "Content-Length: 0\r\n", "")},
	{"000 whose body looks like an answer", signedAnswer("000 Unknown", "", framed(event(2)))},
	{"000 whose body of the announced length looks like an answer",
		signedAnswer("000 Unknown", fmt.Sprintf("Content-Length: %d\r\n", len(framed(event(2)))), framed(event(2)))},
	{"000 whose chunks look like an answer",
		signedAnswer("000 Unknown", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(framed(event(2))), framed(event(2))))},
	{"000 behind an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + signedAnswer("000 Unknown", "", framed(event(2)))},
	{"099 whose body looks like an answer", signedAnswer("099 Unknown", "", framed(event(2)))},
	{"a sign in place of a digit", signedAnswer("+99 Unknown", "", framed(event(2)))},
	{"101, for which no request asks", signedAnswer("101 Switching Protocols", "", framed(event(2)))},
	{"600", signedAnswer("600 Unknown", "Content-Length: 4\r\n", "body")},
	{"999", signedAnswer("999 Unknown", "Content-Length: 4\r\n", "body")},
}

// Guards against bytes that reach callers as an answer, or hide one: an upstream in trouble sends a status that no answer to
// a request has.
var _ = Describe("an answer with a status that no final answer has", func() {
	DescribeTable("is no answer to a request", expectNoAnswer, entries(badStatuses))

	It("is no reply to a query", func() { expectNoReply(badStatuses) })
})

var badNames = []malformed{
	{"a length, with a blank behind its name", signedAnswer("200 OK", "Content-Length : 4\r\n", "body")},
	{"a length of less than the body", signedAnswer("200 OK", "Content-Length : 2\r\n", "body")},
	{"a length, with a blank within its name", signedAnswer("200 OK", "Content Length: 4\r\n", "body")},
	{"a length, with a tab behind its name", signedAnswer("200 OK", "Content-Length\t: 4\r\n", "body")},
	{"a length, with a control byte behind its name", signedAnswer("200 OK", "Content-Length\x01: 4\r\n", "body")},
	{"a length, with a zero byte before its name", signedAnswer("200 OK", "\x00Content-Length: 4\r\n", "body")},
	{"a length, with a carriage return behind its name", signedAnswer("200 OK", "Content-Length\r: 4\r\n", "body")},
	{"a second length", signedAnswer("200 OK", "Content-Length: 4\r\nContent-Length : 2\r\n", "body")},
	{"chunks, with a blank behind their name", signedAnswer("200 OK", "Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")},
	{"chunks, with a blank within their name", signedAnswer("200 OK", "Transfer Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")},
	{"chunks, with a control byte within their name", signedAnswer("200 OK", "Transfer\x1fEncoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")},
	{"chunks beside a length", signedAnswer("200 OK", "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n", "body")},
	{"a length that continues the line before", signedAnswer("200 OK", "X-Own: 1\r\n Content-Length: 4\r\n", "body")},
	{"chunks that continue the line before", signedAnswer("200 OK", "X-Own: 1\r\n\tTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")},
	{"the connection's end", signedAnswer("200 OK", "Connection : close\r\nContent-Length: 4\r\n", "body")},
	{"another field, with a blank behind its name", signedAnswer("200 OK", "X-Own : 1\r\nContent-Length: 4\r\n", "body")},
	{"another field, with a blank within its name", signedAnswer("200 OK", "X Own: 1\r\nContent-Length: 4\r\n", "body")},
	{"another field, with a control byte within its name", signedAnswer("200 OK", "X\x7fOwn: 1\r\nContent-Length: 4\r\n", "body")},
	{"a field without a name", signedAnswer("200 OK", ": 1\r\nContent-Length: 4\r\n", "body")},
	{"a field of a failure", signedAnswer("500 Internal Server Error", "X Own: 1\r\nContent-Length: 4\r\n", "body")},
	{"a length of a failure", signedAnswer("500 Internal Server Error", "Content-Length : 4\r\n", "body")},
	{"a field of a refusal", signedAnswer("503 Service Unavailable", standin.NotRunField()+"X Own: 1\r\nContent-Length: 4\r\n", "body")},
	{"a field of an informational answer", "HTTP/1.1 103 Early Hints\r\nX Own: 1\r\n\r\n" + framed("body")},
}

// Guards against bytes that are passed on with an answer, or framing that is overlooked: an upstream in trouble sends a head in
// which the name of a field holds a byte that no name has.
var _ = Describe("an answer with a malformed name in its head", func() {
	DescribeTable("is no answer to a request", expectNoAnswer, entries(badNames))

	It("is no reply to a query", func() { expectNoReply(badNames) })
})

// Guards against taking sound answers for malformed ones.
var _ = It("delivers an answer whose names of fields have all bytes that they may have", func() {
	const name = "X!#$%&'*+-.^_`|~09azAZ"
	r := newRig()
	r.configure()
	r.answering("u1", "plain", nil, func(*http.Request) string {
		return signedAnswer("200 OK", name+":\t1 \r\nContent-Length: 4\r\n", "body")
	})
	resp, body, err := r.call(http.MethodPost, "/post/a")
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
	Expect(resp.Header.Values(name)).To(Equal([]string{"1"}))
})
