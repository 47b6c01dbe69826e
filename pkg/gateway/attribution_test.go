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

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// withoutID returns an answer that does not name its request. One that refuses it says that it has not run.
func withoutID(status int, refusal bool) string {
	mark := ""
	if refusal {
		h := http.Header{}
		standin.SetNotRun(h)
		for name := range h {
			mark = name + ": 1\r\n"
		}
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), mark)
}

var _ = Describe("an answer without an id", func() {
	var (
		r       *rig
		conns   atomic.Int32
		answers func(n int, id string) string // the answer to the n-th request on a connection
	)
	BeforeEach(func() {
		r = newRig()
		r.configure()
		conns.Store(0)
		r.raw("u1", "plain", nil, func(c net.Conn) {
			conns.Add(1)
			br := bufio.NewReader(c)
			for n := 1; ; n++ {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if _, err := io.WriteString(c, answers(n, standin.RequestID(req.Header))); err != nil {
					return
				}
			}
		})
	})
	signed := func(id string) string { return standin.Head(id, "s", len(id)) + id }
	status := func(method, path string) int {
		resp, _, err := r.call(method, path)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}

	// Guards against the failure of another request as the answer.
	It("on a connection that is used again is not passed on", func() {
		answers = func(n int, id string) string {
			if n == 2 {
				return withoutID(http.StatusConflict, false)
			}
			return signed(id)
		}
		Expect(status(http.MethodGet, "/get/a")).To(Equal(http.StatusOK))
		Expect(status(http.MethodGet, "/get/a")).NotTo(Equal(http.StatusConflict))
	})

	// Guards against failing sound requests of a service whose refusals name no request.
	It("that refuses requests on new connections makes later ones use new connections", func() {
		answers = func(n int, id string) string {
			if conns.Load() == 1 || n > 1 {
				return withoutID(http.StatusServiceUnavailable, true)
			}
			return signed(id)
		}
		Expect(status(http.MethodPost, "/post/a")).To(Equal(http.StatusServiceUnavailable))
		for range 3 {
			Expect(status(http.MethodPost, "/post/a")).To(Equal(http.StatusOK))
		}
		Expect(conns.Load()).To(Equal(int32(4)))
	})
})

// Guards against the answer to another request for a request that has no id to compare.
var _ = It("an answer with an id does not belong to a request without one", func() {
	r := newRig()
	r.configure()
	r.upstream("u1", "plain", nil, func(w http.ResponseWriter, _ *http.Request) {
		standin.Sign(w.Header(), "another", "stamp")
		_, _ = io.WriteString(w, "the answer to another request")
	})
	req, err := http.NewRequest(http.MethodGet, r.front.URL+"/get/a", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	Expect(string(body)).NotTo(ContainSubstring("another request"))
})
