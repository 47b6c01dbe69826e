package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against requests that crash one upstream after the other because they share a prompt part. An upstream that
// crashes when it begins to answer may have sent the head of the answer before.
var _ = Describe("a prompt part that crashes upstreams", func() {
	DescribeTable("is refused while requests that share the other parts are served", func(sent string, crashStatus int) {
		r := newRig()
		r.configure()
		model := []catalog.Resident{{Model: "m"}}
		crashing := func(c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
			h := http.Header{}
			standin.Sign(h, standin.RequestID(req.Header), "stamp")
			_ = h.Write(c)
			_, _ = io.WriteString(c, "\r\n"+sent)
		}
		call := func(parts string) (int, string) {
			req, err := http.NewRequest(http.MethodPost, r.front.URL+"/once/a", nil)
			Expect(err).NotTo(HaveOccurred())
			req.Host = "h"
			standin.SetRequestHeader(req.Header, "r1", 0, "m", parts)
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, string(body)
		}
		for i := range 2 {
			id := fmt.Sprintf("u%d", i)
			r.raw(id, "llm", model, crashing)
			status, _ := call(fmt.Sprintf("c0:80,dead:90,0%d:500", i))
			Expect(status).To(Equal(crashStatus))
			r.core.Update(func(s *dispatch.State) {
				s.RecordUpstreamEnded(time.Now(), id)
				s.Fleet.Remove(time.Now(), id)
			})
			<-time.After(150 * time.Millisecond) // crashes at the same moment count as one
		}
		r.upstream("u2", "llm", model, func(w http.ResponseWriter, req *http.Request) {
			if strings.Contains(fmt.Sprint(req.Header), "dead:") {
				panic(http.ErrAbortHandler)
			}
			sign(w, req)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n"+"id: 2\ndata: y\n\n")
		})
		status, _ := call("c0:80,b1:90,11:500")
		Expect(status).To(Equal(http.StatusOK))
		Eventually(func() string {
			_, body := call("c0:80,dead:90,02:500")
			return body
		}, "3s", "100ms").Should(ContainSubstring("prompt part dead crashes upstreams"))
		status, _ = call("c0:80,b2:90,12:500")
		Expect(status).To(Equal(http.StatusOK))
	},
		Entry("with nothing but the head sent", "", http.StatusBadGateway),
		Entry("with one event sent", "11\r\nid: 1\ndata: abc\n\n\r\n", http.StatusOK),
	)
})
