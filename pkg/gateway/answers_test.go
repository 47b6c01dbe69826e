package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// hijack writes raw bytes to the connection and closes it.
func hijack(w http.ResponseWriter, raw string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.WriteString(conn, raw)
	_ = conn.Close()
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

var residentM = []catalog.Resident{{Model: "m"}}

var _ = Describe("answers", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig()
		r.configure()
	})

	It("refuses while no configuration is known", func() {
		resp, _, err := newRig().call(http.MethodGet, "/get/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against callers using up their retries by retrying every 250 ms at a router whose store does not answer.
	It("increases Retry-After the longer no configuration is known", func() {
		r := newRig()
		retryAfter := func() float64 {
			resp, _, err := r.call(http.MethodGet, "/get/x")
			Expect(err).NotTo(HaveOccurred())
			s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			return s
		}
		Expect(retryAfter()).To(BeNumerically("~", 0.25, 0.1))
		Eventually(retryAfter, "2s").Should(BeNumerically(">=", 0.6))
	})

	It("answers 404 only if no route matches", func() {
		resp, _, err := r.call(http.MethodGet, "/none/")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("forwards an answer unchanged", func() {
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			w.Header().Set("X-Own", "1")
			w.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(w, req.RequestURI)
		})
		resp, body, err := r.call(http.MethodPost, "/post/a//b%2f?x=%20")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		Expect(resp.Header.Get("X-Own")).To(Equal("1"))
		Expect(standin.Stamp(resp.Header)).To(Equal("stamp"))
		Expect(body).To(Equal("/post/a//b%2f?x=%20"))
	})

	// Guards against running a non-idempotent request, such as a loan, twice. Each of these answers comes from an
	// upstream that has run the request, so a 503 would also claim falsely that it has not run.
	DescribeTable("never retries a non-idempotent request that may have run",
		func(answer func(http.ResponseWriter, *http.Request)) {
			var runs atomic.Int32
			for _, id := range []string{"u1", "u2"} {
				r.upstream(id, "plain", nil, func(w http.ResponseWriter, req *http.Request) {
					runs.Add(1)
					answer(w, req)
				})
			}
			resp, _, err := r.call(http.MethodPost, "/post/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(standin.Stamp(resp.Header)).To(BeEmpty())
			Expect(runs.Load()).To(Equal(int32(1)))
		},
		Entry("connection closed without an answer", func(w http.ResponseWriter, _ *http.Request) { hijack(w, "") }),
		Entry("truncated answer", func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, standin.Head("r1", "s", 9)+"ab")
		}),
		Entry("bytes that are not an HTTP answer", func(w http.ResponseWriter, _ *http.Request) { hijack(w, "\x00\x01garbage\r\n\r\n") }),
		Entry("answer to another request", func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			standin.SetAnswerID(w.Header(), "other")
		}),
		Entry("success without a stamp", func(w http.ResponseWriter, req *http.Request) {
			standin.SetAnswerID(w.Header(), "r1")
		}),
		Entry("encoded body", func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			w.Header().Set("Content-Encoding", "gzip")
		}),
		Entry("refusal that does not confirm that the request has not run", func(w http.ResponseWriter, req *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }),
	)

	It("retries a non-idempotent request at another upstream if the first confirms that it has not run", func() {
		var refused atomic.Int32
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, _ *http.Request) {
			refused.Add(1)
			standin.SetNotRun(w.Header())
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		resp, _, err := r.call(http.MethodPost, "/post/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(refused.Load()).To(Equal(int32(1)))
	})

	It("retries an idempotent request after a failure and forwards the last failure", func() {
		var runs atomic.Int32
		for _, id := range []string{"u1", "u2", "u3"} {
			r.upstream(id, "plain", nil, func(w http.ResponseWriter, req *http.Request) {
				runs.Add(1)
				sign(w, req)
				w.WriteHeader(http.StatusInternalServerError)
			})
		}
		resp, _, err := r.call(http.MethodGet, "/get/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(standin.Stamp(resp.Header)).To(Equal("stamp"))
		Expect(runs.Load()).To(Equal(int32(2)))
	})

	It("forwards the events of a stream", func() {
		r.upstream("u1", "llm", residentM, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = io.WriteString(w, event(1)+event(2))
		})
		_, body, err := r.call(http.MethodPost, "/once/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})

	// Guards against the caller mistaking the beginning of a stream for the complete answer.
	It("aborts a stream that must not run twice where the upstream interrupted it", func() {
		r.upstream("u1", "llm", residentM, func(w http.ResponseWriter, req *http.Request) {
			hijack(w, standin.Head("r1", "s", 999)+event(1)+"id: 2\nda")
		})
		_, body, err := r.call(http.MethodPost, "/once/x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(event(1)))
	})

	It("resumes a stream at another upstream after the last complete event", func() {
		var lastEventID atomic.Value
		answer := func(w http.ResponseWriter, req *http.Request) {
			from := req.Header.Get("Last-Event-Id")
			if from == "" {
				hijack(w, standin.Head("r1", "first", 999)+event(1)+event(2)+"id: 3\nda")
				return
			}
			lastEventID.Store(from)
			sign(w, req)
			_, _ = io.WriteString(w, event(2)+event(3)+event(4))
		}
		r.upstream("u1", "llm", residentM, answer)
		r.upstream("u2", "llm", residentM, answer)
		resp, body, err := r.call(http.MethodPost, "/stream/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(lastEventID.Load()).To(Equal("2"))
		Expect(standin.Stamp(resp.Header)).To(Equal("first"))
		Expect(body).To(Equal(event(1) + event(2) + event(3) + event(4)))
	})

	It("cancels the request at the upstream when the caller disconnects from a stream", func() {
		cancelled := make(chan struct{})
		r.upstream("u1", "llm", residentM, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			<-req.Context().Done()
			close(cancelled)
		})
		req, err := http.NewRequest(http.MethodPost, r.front.URL+"/once/x", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		standin.SetRequestHeader(req.Header, "r1", 0, "m", "")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Eventually(cancelled, "1s").Should(BeClosed())
	})

	It("refuses a body beyond the limit", func() {
		req, err := http.NewRequest(http.MethodPost, r.front.URL+"/post/x", strings.NewReader(strings.Repeat("x", 5<<20)))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	})
})
