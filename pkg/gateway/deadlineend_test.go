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

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against the beginning of an answer that looks complete (review/11): an upstream that stops work at the time which the
// router passed on closes the connection as it does behind a whole answer, and lives.
var _ = Describe("the end of an unframed answer that is not a stream, near its deadline", func() {
	const timeout = 500 * time.Millisecond
	// call returns the answer to a request whose upstreams begin an answer with the status line and close the connection
	// the time before their deadline, and how many of them have run the request.
	call := func(method, path, status string, before time.Duration) (*http.Response, string, int) {
		r := newRig()
		r.configure()
		var runs atomic.Int32
		serve := func(c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			switch {
			case err != nil:
			case req.URL.Path == standin.ReportPath:
				_, _ = io.WriteString(c, standin.ReportReply(0))
			case req.URL.Path == "/":
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			default:
				runs.Add(1)
				stop := time.NewTimer(standin.Deadline(req.Header) - before)
				_, _ = io.WriteString(c, signedAnswer(status, "Connection: close\r\n", "half of the answer"))
				<-stop.C
			}
		}
		for _, id := range []string{"u1", "u2"} {
			r.raw(id, "plain", nil, serve)
			r.raw(id+"-llm", "llm", residentM, serve)
		}
		req, err := http.NewRequest(method, r.front.URL+path, nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		model := ""
		if path == "/once/a" {
			model = "m"
		}
		standin.SetRequestHeader(req.Header, "r1", timeout, model, "")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(body), int(runs.Load())
	}

	DescribeTable("is no completion if it comes at the deadline", func(method, path, status string, before time.Duration) {
		resp, body, runs := call(method, path, status, before)
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout), body)
		Expect(standin.Signed(resp.Header)).To(BeFalse())
		Expect(body).NotTo(ContainSubstring("half"))
		Expect(runs).To(Equal(1))
	},
		Entry("as the time is rounded down", http.MethodPost, "/post/a", "200 OK", time.Millisecond),
		Entry("of a timer that is early", http.MethodPost, "/post/a", "200 OK", 10*time.Millisecond),
		Entry("for a request that may be repeated", http.MethodGet, "/get/a", "200 OK", 5*time.Millisecond),
		Entry("in a failure", http.MethodPost, "/post/a", "500 Internal Server Error", 5*time.Millisecond),
		Entry("in a failure in place of a stream", http.MethodPost, "/once/a", "500 Internal Server Error", 5*time.Millisecond),
	)

	It("is a completion if it comes well before the deadline", func() {
		resp, body, _ := call(http.MethodPost, "/post/a", "200 OK", 200*time.Millisecond)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("half of the answer"))
	})
})
