package untrusted_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
	"github.com/hibiscuscross/hibiscuscross/pkg/processtest"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport/quic"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// roleMemoryMB is the memory limit of the roles `router` and `agent`.
const roleMemoryMB = 128

// startCluster starts a cluster whose processes have the limits, and returns it with the directory of its certificates.
func startCluster() (*processtest.Cluster, string) {
	GinkgoHelper()
	GinkgoT().Setenv("HIBISCUSCROSS_MEMORY_MB", fmt.Sprint(roleMemoryMB))
	GinkgoT().Setenv("HIBISCUSCROSS_MAX_FDS", fmt.Sprint(maxFDs))
	dir := GinkgoT().TempDir()
	c, err := processtest.NewCluster(binaries, dir)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			logs := c.Logs()
			AddReportEntry("logs", logs[max(0, len(logs)-4000):])
		}
		c.Stop()
	})
	Expect(c.Start(20 * time.Millisecond)).To(Succeed())
	for _, n := range c.Nodes() {
		Eventually(n.Ready).Should(Succeed(), n.Name)
	}
	Eventually(func() error { return stream(c) }).Should(Succeed())
	return c, dir
}

// stream sends an ordinary request through the first router and checks its answer.
func stream(c *processtest.Cluster) error {
	return processtest.StartStream(c.Routers[0], processtest.Model, strings.Repeat("x", commonBody), 1).CheckComplete()
}

var _ = Describe("the roles router and agent", func() {
	const largest = 8 << 20
	chat := func(length string) string {
		return head("POST", "/v1/chat/completions", "Authorization: Bearer example-key", length)
	}
	bodies := func(address string) {
		crowd(30, address, sized(chat("Content-Length: %d"), largest, largest-shortBy, 256<<10, 0))
		crowd(30, address, chunked(chat("Transfer-Encoding: chunked"), largest-shortBy, 32<<10))
		crowd(30, address, sized(chat("Content-Length: %d"), 1<<30, 2*largest, 256<<10, 0))
	}

	// Guards against a process that ends for lack of memory or descriptors.
	It("live within their memory and serve ordinary callers beside clients of the router's ports", func() {
		c, _ := startCluster()
		u := watch(c.Routers[0].PID(), netip.Addr{})
		bodies(c.Routers[0].Addr)
		crowd(1500, c.Routers[0].Addr, openHead(60_000))
		crowd(1500, strings.TrimPrefix(c.Routers[0].Ops, "http://"), openHead(60_000))
		u.expectLives()
		Eventually(func() error { return stream(c) }).Should(Succeed())
		Eventually(c.Routers[0].Ready).Should(Succeed())
		u.expectBounded(roleMemoryMB)
	})

	// Guards against the same beside an upstream, where the peers are authenticated but may be faulty.
	It("live within their memory and serve ordinary callers beside clients of the agent's ports", func() {
		c, dir := startCluster()
		u := watch(c.EngineAgents[0].PID(), netip.Addr{})
		crowd(1500, strings.TrimPrefix(c.EngineAgents[0].Ops, "http://"), openHead(60_000))
		strangers(c.EngineAgents[0].Addr)
		sessions(c.EngineAgents[0].Addr, dir)
		u.expectLives()
		Eventually(func() error { return stream(c) }).Should(Succeed())
		Eventually(c.EngineAgents[0].Ready).Should(Succeed())
		u.expectBounded(roleMemoryMB)
	})
})

// strangers opens sessions to an agent with a certificate of another authority. The agent refuses each.
func strangers(address string) {
	GinkgoHelper()
	other, err := devcert.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	cert, err := other.Issue("router-02")
	Expect(err).NotTo(HaveOccurred())
	t := quic.New(cert, other.Pool())
	ctx, cancel := context.WithTimeout(context.Background(), crowdTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for range 300 {
		wg.Go(func() {
			if conn, err := t.Dial(ctx, address); err == nil {
				DeferCleanup(func() { _ = conn.Close() })
			}
		})
	}
	wg.Wait()
}

// sessions opens sessions to an agent with the certificate of a router and sends requests of legal size that stop short on
// some of them. They stay open until the spec ends.
func sessions(address, dir string) {
	GinkgoHelper()
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, "router-02.pem"), filepath.Join(dir, "router-02-key.pem"))
	Expect(err).NotTo(HaveOccurred())
	pem, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	Expect(err).NotTo(HaveOccurred())
	authorities := x509.NewCertPool()
	Expect(authorities.AppendCertsFromPEM(pem)).To(BeTrue())
	frame, err := wire.Append(nil, &wire.Open{Request: "crowd", Body: make([]byte, 8<<20)})
	Expect(err).NotTo(HaveOccurred())
	t := quic.New(cert, authorities)
	ctx, cancel := context.WithTimeout(context.Background(), crowdTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			conn, err := t.Dial(ctx, address)
			if err != nil {
				return
			}
			DeferCleanup(func() { _ = conn.Close() })
			for range 2 {
				st, err := conn.OpenStream(ctx)
				if err != nil || i >= 20 {
					return
				}
				_ = st.SetWriteDeadline(time.Now().Add(crowdTimeout))
				_, _ = st.Write(frame[:len(frame)-shortBy]) // an error means that the agent takes no more
			}
		})
	}
	wg.Wait()
}
