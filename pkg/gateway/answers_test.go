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

// hijack answers with raw bytes and closes the connection.
func hijack(w http.ResponseWriter, raw string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.WriteString(conn, raw)
	_ = conn.Close()
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

var holdsM = []catalog.Resident{{Model: "m"}}

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

	// Callers that came back every quarter of a second to a router whose store did not answer used up their retries.
	It("tells callers to come back later the longer no configuration is known", func() {
		r := newRig()
		again := func() float64 {
			resp, _, err := r.call(http.MethodGet, "/get/x")
			Expect(err).NotTo(HaveOccurred())
			s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			return s
		}
		Expect(again()).To(BeNumerically("~", 0.25, 0.1))
		Eventually(again, "2s").Should(BeNumerically(">=", 0.6))
	})

	It("answers 404 only for what no route matches", func() {
		resp, _, err := r.call(http.MethodGet, "/none/")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("passes an answer on unchanged", func() {
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

	// Each of these came from an upstream that had run the request; a repeat of a loan would run it twice, and a 503
	// would say falsely that it has not run.
	DescribeTable("never repeats a non-idempotent request that may have run",
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
		Entry("answer cut short", func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, standin.Head("r1", "s", 9)+"ab")
		}),
		Entry("bytes that are no answer", func(w http.ResponseWriter, _ *http.Request) { hijack(w, "\x00\x01garbage\r\n\r\n") }),
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
		Entry("refusal without proof", func(w http.ResponseWriter, req *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }),
	)

	It("takes a non-idempotent request to another upstream if the first proves that it has not run", func() {
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

	It("repeats an idempotent request after a failure and passes the last failure on", func() {
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
		r.upstream("u1", "llm", holdsM, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = io.WriteString(w, event(1)+event(2))
		})
		_, body, err := r.call(http.MethodPost, "/once/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})

	// The caller must not take the beginning of a stream for the whole.
	It("cuts a stream that must not run twice where the upstream broke off", func() {
		r.upstream("u1", "llm", holdsM, func(w http.ResponseWriter, req *http.Request) {
			hijack(w, standin.Head("r1", "s", 999)+event(1)+"id: 2\nda")
		})
		_, body, err := r.call(http.MethodPost, "/once/x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(event(1)))
	})

	It("resumes a stream at another upstream after the last whole event", func() {
		var last atomic.Value
		answer := func(w http.ResponseWriter, req *http.Request) {
			from := req.Header.Get("Last-Event-Id")
			if from == "" {
				hijack(w, standin.Head("r1", "first", 999)+event(1)+event(2)+"id: 3\nda")
				return
			}
			last.Store(from)
			sign(w, req)
			_, _ = io.WriteString(w, event(2)+event(3)+event(4))
		}
		r.upstream("u1", "llm", holdsM, answer)
		r.upstream("u2", "llm", holdsM, answer)
		resp, body, err := r.call(http.MethodPost, "/stream/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Load()).To(Equal("2"))
		Expect(standin.Stamp(resp.Header)).To(Equal("first"))
		Expect(body).To(Equal(event(1) + event(2) + event(3) + event(4)))
	})

	It("cancels the upstream's work when the caller leaves a stream", func() {
		left := make(chan struct{})
		r.upstream("u1", "llm", holdsM, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			<-req.Context().Done()
			close(left)
		})
		req, err := http.NewRequest(http.MethodPost, r.front.URL+"/once/x", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		standin.SetRequestHeader(req.Header, "r1", 0, "m", "")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Eventually(left, "1s").Should(BeClosed())
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
