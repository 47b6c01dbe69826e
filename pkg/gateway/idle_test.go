package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
)

var _ = Describe("callers' connections", func() {
	const idleTimeout = 600 * time.Millisecond
	var r *rig
	var address string
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn, bufio.NewReader(conn)
	}
	get := func(conn net.Conn, in *bufio.Reader, path string) {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
	}
	BeforeEach(func() {
		r = newRig()
		r.configure()
		r.core.Update(func(s *dispatch.State) {
			s.SetConfig(catalog.NewConfig(2, []catalog.Route{{
				Name: "get", Host: "h", Prefix: "/get/", Kind: catalog.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 1,
				Backends: []catalog.Backend{{Service: "plain", Weight: 1}},
			}}, []catalog.Service{{Name: "plain"}}, catalog.Limits{IdleTimeout: idleTimeout}))
		})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		Expect(ln.Close()).To(Succeed())
		server, err := gateway.NewServer(address, r.gw, eventlog.New(io.Discard, "entry", "vm"), time.Second)
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() { done <- server.Run() }()
		DeferCleanup(func() {
			server.Shutdown()
			Eventually(done).Should(Receive(BeNil()))
		})
	})

	// Guards against the default of 60 s being used instead of the configured timeout.
	It("are closed when they have been idle for the configured time, not before", func() {
		conn, in := dial()
		get(conn, in, "/none/")
		start := time.Now()
		_, err := in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(time.Since(start)).To(BeNumerically(">=", idleTimeout-50*time.Millisecond))
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})

	It("are kept while a request runs longer than that", func() {
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, q *http.Request) {
			<-time.After(2 * idleTimeout)
			sign(w, q)
		})
		conn, in := dial()
		get(conn, in, "/get/x")
		get(conn, in, "/none/")
	})
})
