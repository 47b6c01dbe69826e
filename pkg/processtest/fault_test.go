package processtest_test

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/processtest"
)

var _ = Describe("processes under faults of their surroundings", func() {
	var c *processtest.Cluster
	BeforeEach(func() { c = takeCluster() })
	AfterEach(func() { expectInvariants(c) })

	// Guards against streams that wait for a paused agent, and against a paused slot owner that runs a loan after its
	// caller received the outcome not-run.
	It("serves while agents are paused and keeps loans to one run after they go on", func() {
		streams := startLongStreams(c, 2)
		busy := waitForBusyEngine(c)
		Expect(c.DelayLoans(2 * time.Second)).To(Succeed())
		Eventually(func() error { _, err := c.BusyOwner(); return err }).Should(HaveOccurred()) // until earlier loans have ended
		probeKey := processtest.NewKey()
		probeLoan := startLoan(c.Routers[0], probeKey, 1)
		owner := waitForBusyOwner(c, probeLoan)
		Expect(probeLoan.Wait().Outcome).To(Equal("done"))
		Expect(c.DelayLoans(0)).To(Succeed())
		Expect(busy.Signal(syscall.SIGSTOP)).To(Succeed())
		Expect(owner.Signal(syscall.SIGSTOP)).To(Succeed())
		type sentLoan struct {
			key string
			*processtest.Request
		}
		var sentLoans []sentLoan
		for i := range 6 { // the key slot of the first two belongs to the paused owner
			key := processtest.NewKey()
			for i < 2 && processtest.Slot(key) != processtest.Slot(probeKey) {
				key = processtest.NewKey()
			}
			sentLoans = append(sentLoans, sentLoan{key, startLoan(c.Routers[i%2], key, 1)})
		}
		for i, l := range sentLoans {
			a := l.Wait()
			Expect(a.Outcome).To(BeElementOf("done", "not-run", "unknown"))
			Expect(i < 2 && a.Outcome == "done").To(BeFalse())
			Expect(a.Took).To(BeNumerically("<", 4*time.Second)) // the deadline is 3 s
		}
		expectComplete(streams...)
		expectComplete(shortStream(c.Routers[0], "while paused"))
		Expect(busy.Signal(syscall.SIGCONT)).To(Succeed())
		Expect(owner.Signal(syscall.SIGCONT)).To(Succeed())
		for i, l := range sentLoans {
			if l.Wait().Outcome != "not-run" {
				Eventually(func() string { return startLoan(c.Routers[(i+1)%2], l.key, 2).Wait().Outcome }).Should(BeElementOf("done", "unknown"))
			}
		}
		Eventually(func() string { return startLoan(c.Routers[0], processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
		Consistently(func(g Gomega) {
			for _, l := range sentLoans {
				runs, err := c.Runs(l.key)
				g.Expect(err).NotTo(HaveOccurred())
				if outcome := l.Wait().Outcome; outcome != "unknown" {
					g.Expect(runs).To(Equal(map[string]int{"done": 1, "not-run": 0}[outcome]))
				}
			}
		}).WithTimeout(time.Second).Should(Succeed())
	})

	// Guards against an answer that hangs or is truncated when the connections to the engine stall.
	It("completes all answers after the connections to an engine stall", func() {
		streams := startLongStreams(c, 4)
		busy := waitForBusyEngine(c)
		Expect(processtest.StallConnections(busy.Standin)).To(Succeed())
		expectComplete(streams...)
	})

	// Guards against request handling that depends on the object API.
	It("serves requests and loads models with existing grants during an outage of the object API", func() {
		first := longStream(c.Routers[0], "before")
		engine := waitForBusyEngine(c)
		expectComplete(first)
		Expect(processtest.SetFaults(c.StoreURL(), map[string]any{"down": true})).To(Succeed())
		expectComplete(shortStream(c.Routers[0], "warm"), shortStream(c.Routers[1], "warm"))
		Expect(startLoan(c.Routers[0], processtest.NewKey(), 1).Wait().Outcome).To(Equal("done"))
		before, err := engine.EngineCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(processtest.Crash(engine.Standin)).To(Succeed())
		Eventually(func() error { return shortStream(c.Routers[1], "cold").CheckComplete() }).Should(Succeed())
		after, err := engine.EngineCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Loads).To(BeNumerically(">", before.Loads))
		expectComplete(shortStream(c.Routers[0], "loaded"))
		Expect(startLoan(c.Routers[1], processtest.NewKey(), 1).Wait().Outcome).To(Equal("done"))
	})

	// restartRouter starts an outage of the object API, kills a router and starts it again with two peers.
	restartRouter := func() *processtest.Node {
		Expect(processtest.SetFaults(c.StoreURL(), map[string]any{"down": true})).To(Succeed())
		r := c.Routers[0]
		Expect(r.Kill()).To(Succeed())
		r.AddArgs("--peers", c.EngineAgents[0].Addr+","+c.PlainAgents[0].Addr)
		Expect(r.Start()).To(Succeed())
		return r
	}

	// Guards against a router that cannot start during an outage of the object API, or does not use it after the outage.
	It("starts a router with the configuration of a peer during an outage of the object API", func() {
		r := restartRouter()
		Eventually(r.Ready).Should(Succeed())
		refused := shortStream(r, "during")
		if refused.Wait().Outcome != "not-run" {
			expectComplete(refused)
		}
		Expect(processtest.SetFaults(c.StoreURL(), map[string]any{})).To(Succeed())
		Eventually(func() error { return shortStream(r, "after").CheckComplete() }).Should(Succeed())
		Eventually(func() string { return startLoan(r, processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
	})

	// Guards against a router that gets the configuration from a peer but has no upstreams until the outage ends.
	It("serves through a router started during an outage of the object API", func() {
		r := restartRouter()
		Eventually(r.Ready).Should(Succeed())
		Eventually(func() error { return shortStream(r, "during").CheckComplete() }).WithTimeout(8 * time.Second).Should(Succeed())
		Eventually(func() string { return startLoan(r, processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
	})

	// Guards against a planned stop that truncates answers or ends with a non-zero exit status.
	It("finishes all answers when a router and an agent are stopped by SIGTERM", func() {
		streams := startLongStreams(c, 4)
		engine := waitForBusyEngine(c)
		stopped := []*processtest.Node{c.Routers[0], engine}
		for _, n := range stopped {
			Expect(n.Signal(syscall.SIGTERM)).To(Succeed())
		}
		expectComplete(streams...)
		expectComplete(shortStream(c.Routers[1], "meanwhile"))
		for _, n := range stopped {
			Eventually(n.Ended()).WithTimeout(stopTimeout).Should(BeClosed())
			Expect(n.ExitCode()).To(BeZero())
		}
		expectComplete(shortStream(c.Routers[1], "after"))
	})

	// Guards against a request that crashes one engine after another when its caller retries it, and against other
	// requests that are quarantined with it.
	It("quarantines a request after a few engine crashes", func() {
		for _, e := range c.EngineAgents {
			Expect(processtest.SetFaults(e.Standin, map[string]any{"crashMarker": "poison"})).To(Succeed())
		}
		innocent := startLongStreams(c, 4)
		for i := range 8 {
			a := shortStream(c.Routers[i%2], "poison").Wait()
			Expect(a.Outcome).To(BeElementOf("not-run", "unknown"), a.Body)
		}
		expectComplete(innocent...)
		s, err := c.Summary()
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("crashes", s.Engines.Crashes)
		Expect(s.Engines.Crashes).To(BeNumerically("<=", 4))
		for _, r := range c.Routers {
			Eventually(func() string { return shortStream(r, "poison").Wait().Code }).Should(Equal("quarantined"))
			expectComplete(shortStream(r, "innocent"))
		}
		later, err := c.Summary()
		Expect(err).NotTo(HaveOccurred())
		Expect(later.Engines.Crashes).To(Equal(s.Engines.Crashes))
	})

	// Guards against a lowered limit that becomes active while more replicas are still loaded, and against one that
	// interrupts requests.
	It("lowers a replica limit while requests are running", func() {
		first := longStream(c.Routers[0], "one")
		busy := waitForBusyEngine(c)
		Expect(busy.Signal(syscall.SIGSTOP)).To(Succeed())
		expectComplete(first)
		Expect(busy.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(c.Replicas).WithArguments(processtest.Model).Should(Equal(2))
		streams := startLongStreams(c, 6)
		By("lower the limit")
		Expect(c.Apply(1, processtest.Configuration(1), eventuallyTimeout)).To(Succeed())
		By("check the replicas")
		Consistently(c.Replicas).WithArguments(processtest.Model).WithTimeout(time.Second).Should(BeNumerically("<=", 1))
		expectComplete(streams...)
		for i := range 4 {
			expectComplete(shortStream(c.Routers[i%2], fmt.Sprint("after ", i)))
		}
		Expect(c.Replicas(processtest.Model)).To(Equal(1))
	})
})
