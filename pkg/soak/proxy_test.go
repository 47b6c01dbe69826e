package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against disruptions that do not do what their names say.
var _ = Describe("disruptions", func() {
	// path returns both ends of a connection through a proxy.
	path := func() (p *Proxy, client, server net.Conn) {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		p, err = NewProxy("127.0.0.1:0", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		client, err = net.Dial("tcp4", p.listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = client.Close() })
		server, err = ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = server.Close() })
		return p, client, server
	}
	read := func(c net.Conn, wait time.Duration) (string, error) {
		Expect(c.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
		b := make([]byte, 64)
		n, err := c.Read(b)
		return string(b[:n]), err
	}

	DescribeTable("a partition delivers what was sent when it heals, unless the sender has reset the connection",
		func(reset bool) {
			p, client, server := path()
			p.Set(Hold, false)
			_, err := client.Write([]byte("request"))
			Expect(err).NotTo(HaveOccurred())
			if reset {
				Expect(client.(*net.TCPConn).SetLinger(0)).To(Succeed())
			}
			Expect(client.Close()).To(Succeed())
			_, err = read(server, 100*time.Millisecond)
			Expect(err).To(MatchError(ContainSubstring("timeout")))
			p.Set(Pass, false)
			got, err := read(server, time.Second)
			if reset {
				Expect(err).To(MatchError(ContainSubstring("reset")))
				return
			}
			Expect(got).To(Equal("request"))
			_, err = read(server, time.Second)
			Expect(err).To(MatchError(io.EOF))
		},
		Entry("closed", false),
		Entry("reset", true),
	)

	It("a device on the path ends connections regularly", func() {
		p, client, server := path()
		Eventually(func() int { p.mu.Lock(); defer p.mu.Unlock(); return len(p.conns) }).Should(Equal(2))
		p.Finish()
		_, err := read(client, time.Second)
		Expect(err).To(MatchError(io.EOF))
		_, err = read(server, time.Second)
		Expect(err).To(MatchError(io.EOF))
	})

	// startRunner starts a plain runner that sends the ids of the requests that run.
	startRunner := func() (*standin.Runner, string, chan string) {
		ran := make(chan string, 1024) // takes the requests of specs that do not receive
		address := fmt.Sprintf("127.%d.3.77:7999", 130+os.Getpid()%100)
		r := standin.NewRunner(standin.RunnerSettings{Service: "loans", ListedAddress: address, ListenAddress: address}, standin.NewStore(), standin.Observer{
			RequestArrived: func(string, string, time.Time) {}, RuleBroken: func(string, string) {},
			RequestRan: func(id, _, _ string, _ uint64) { ran <- id },
		})
		Expect(r.Start()).To(Succeed())
		DeferCleanup(r.Crash)
		return r, "http://" + address, ran
	}

	It("a frozen runner reads after its thaw what its kernel has taken meanwhile", func() {
		r, url, ran := startRunner()
		thaw := r.Freeze()
		for range 2 { // the second connection is accepted by the kernel only
			c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			req, err := http.NewRequest(http.MethodGet, url+"/x", nil)
			Expect(err).NotTo(HaveOccurred())
			standin.SetRequestHeader(req.Header, "1", 0, "", "")
			Expect(req.Write(c)).To(Succeed())
			Expect(c.Close()).To(Succeed())
		}
		Consistently(ran, 100*time.Millisecond).ShouldNot(Receive())
		thaw()
		Eventually(ran).Should(Receive(Equal("1")))
		Eventually(ran).Should(Receive(Equal("1")))
	})

	DescribeTable("a runner sends wrong bytes",
		func(g standin.Garble, pattern string) {
			r, url, _ := startRunner()
			r.SetGarble(g)
			Eventually(func(g Gomega) string { // a share of the answers is concerned
				c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = c.Close() }()
				req, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader("body"))
				g.Expect(err).NotTo(HaveOccurred())
				standin.SetRequestHeader(req.Header, "1", 0, "", "")
				g.Expect(req.Write(c)).To(Succeed())
				g.Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
				all, _ := io.ReadAll(c) // ends with the deadline on a connection that is kept
				return string(all)
			}, 10*time.Second).Should(MatchRegexp(pattern))
		},
		Entry("after an answer", standin.ExtraBytes, `(?s)^HTTP/1.1 200 .*0123456789$`),
		Entry("a second copy", standin.LateCopy, `(?s)^HTTP/1.1 200 .*HTTP/1.1 200 `),
		Entry("no answer", standin.NoAnswer, `^\x16\x03`),
		Entry("a rejection", standin.EarlyRejection, `^HTTP/1.1 503 `),
		Entry("a refusal that names no request", standin.StrayRefusal, `(?s)^HTTP/1.1 200 .*HTTP/1.1 503 `),
	)

	It("a runner that ends in steps breaks off its streams behind an event and still answers its health check", func() {
		r, url, _ := startRunner()
		done := make(chan struct{})
		go func() { defer close(done); r.EndInSteps(100 * time.Millisecond) }()
		Eventually(func() error {
			resp, err := http.Get(url + "/x")
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}).Should(HaveOccurred())
		resp, err := http.Get(url + "/healthz")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(done).Should(BeClosed())
		_, err = http.Get(url + "/healthz")
		Expect(err).To(HaveOccurred())
	})
})
