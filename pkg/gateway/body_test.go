package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

var _ = Describe("bodies of requests", func() {
	var r *rig
	var runs atomic.Int32
	BeforeEach(func() {
		r = newRig()
		runs.Store(0)
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, req *http.Request) {
			runs.Add(1)
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			sign(w, req)
			_, _ = w.Write(body)
		})
		r.core.Update(func(s *dispatch.State) {
			s.SetConfig(catalog.NewConfig(2, []catalog.Route{{
				Name: "post", Host: "h", Prefix: "/post/", Kind: catalog.NonIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2,
				Backends: []catalog.Backend{{Service: "plain", Weight: 1}},
			}}, []catalog.Service{{Name: "plain"}}, catalog.Limits{BodyBytes: 1 << 20, IdleTimeout: 400 * time.Millisecond}))
		})
	})
	send := func(length int64, body io.Reader) (int, string) {
		req, err := http.NewRequest(http.MethodPost, r.front.URL+"/post/x", body)
		Expect(err).NotTo(HaveOccurred())
		req.Host, req.ContentLength = "h", length
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		got, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, fmt.Sprintf("%t %.60s", resp.Close, got)
	}
	stopping := func() io.Reader { // a body that stops after one byte and stays open
		in, out := io.Pipe()
		DeferCleanup(out.Close)
		go func() { _, _ = out.Write([]byte("x")) }()
		return in
	}

	// Guards against a refusal that a caller cannot trust: one after the request was sent to an upstream, and one on a
	// connection whose next bytes are the rest of the body.
	It("are refused before anything has run, and their connections closed", func() {
		status, text := send(1<<20+1, bytes.NewReader(make([]byte, 1<<20+1)))
		Expect([]any{status, text}).To(Equal([]any{413, "true body exceeds the limit\n"}))
		status, text = send(-1, bytes.NewReader(make([]byte, 1<<20+1)))
		Expect([]any{status, text}).To(Equal([]any{413, "true body exceeds the limit\n"}))
		status, text = send(100, stopping())
		Expect([]any{status, text}).To(Equal([]any{408, "true body did not arrive in time\n"}))
		r.gw.SetBodyMemoryLimit(512 << 10)
		status, text = send(1<<20, bytes.NewReader(make([]byte, 1<<20)))
		Expect([]any{status, text}).To(Equal([]any{503, "true memory for requests is used up\n"}))
		Expect(runs.Load()).To(BeZero())
	})

	// Guards against a body that is altered on its way, and against an answer that is refused with the status of a request
	// that has not run.
	It("of the largest size are forwarded unchanged", func() {
		want := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		for _, length := range []int64{int64(len(want)), -1} {
			status, text := send(length, bytes.NewReader(want))
			Expect([]any{status, text}).To(Equal([]any{200, "false " + string(want[:60])}))
		}
		Expect(runs.Load()).To(Equal(int32(2)))
	})

	// Guards against a caller that does not read and thereby keeps its answer in memory beyond its connection's limits.
	It("and answers are released when the caller does not read", func() {
		for range 8 { // each echo is larger than the kernel's buffers
			conn, err := net.Dial("tcp", r.front.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
			_, err = fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 1<<20, make([]byte, 1<<20))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(runs.Load).Should(Equal(int32(8)))
		Eventually(func() int64 { return r.gw.MemoryUsage().Held }).WithTimeout(5 * time.Second).Should(BeZero())
	})
})
