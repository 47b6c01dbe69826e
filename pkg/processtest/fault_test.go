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
	BeforeEach(func() { c = start() })
	AfterEach(func() { expectInvariants(c) })

	// Guards against streams that wait for a paused agent, and against a loan that a paused owner runs after its caller
	// was told otherwise.
	It("serves while agents are paused and keeps loans to one run after they go on", func() {
		all := streams(c, 2)
		busy := busyEngine(c)
		Expect(c.DelayLoans(2 * time.Second)).To(Succeed())
		Eventually(func() error { _, err := c.BusyOwner(); return err }).Should(HaveOccurred()) // of earlier loans
		probe := processtest.NewKey()
		probed := loan(c.Routers[0], probe, 1)
		owner := busyOwner(c, probed)
		Expect(probed.Wait().Outcome).To(Equal("done"))
		Expect(c.DelayLoans(0)).To(Succeed())
		Expect(busy.Signal(syscall.SIGSTOP)).To(Succeed())
		Expect(owner.Signal(syscall.SIGSTOP)).To(Succeed())
		type sent struct {
			key string
			*processtest.Request
		}
		var sends []sent
		for i := range 6 { // the first two belong to the paused owner
			key := processtest.NewKey()
			for i < 2 && processtest.Slot(key) != processtest.Slot(probe) {
				key = processtest.NewKey()
			}
			sends = append(sends, sent{key, loan(c.Routers[i%2], key, 1)})
		}
		for i, l := range sends {
			a := l.Wait()
			Expect(a.Outcome).To(BeElementOf("done", "not-run", "unknown"))
			Expect(i < 2 && a.Outcome == "done").To(BeFalse())
			Expect(a.Took).To(BeNumerically("<", 4*time.Second)) // the deadline is 3 s
		}
		expectWhole(all...)
		expectWhole(short(c.Routers[0], "while paused"))
		Expect(busy.Signal(syscall.SIGCONT)).To(Succeed())
		Expect(owner.Signal(syscall.SIGCONT)).To(Succeed())
		for i, l := range sends {
			if l.Wait().Outcome != "not-run" {
				Eventually(func() string { return loan(c.Routers[(i+1)%2], l.key, 2).Wait().Outcome }).Should(BeElementOf("done", "unknown"))
			}
		}
		Eventually(func() string { return loan(c.Routers[0], processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
		Consistently(func(g Gomega) {
			for _, l := range sends {
				runs, err := c.Runs(l.key)
				g.Expect(err).NotTo(HaveOccurred())
				if outcome := l.Wait().Outcome; outcome != "unknown" {
					g.Expect(runs).To(Equal(map[string]int{"done": 1, "not-run": 0}[outcome]))
				}
			}
		}).WithTimeout(time.Second).Should(Succeed())
	})

	// Guards against an answer that hangs or is cut off when the connections to the engine go silent.
	It("gives whole answers after the connections to an engine went silent", func() {
		all := streams(c, 4)
		busy := busyEngine(c)
		Expect(processtest.StallConnections(busy.Standin)).To(Succeed())
		expectWhole(all...)
	})

	// Guards against work that needs the object API on the path of a request.
	It("serves and loads under held grants during an outage of the object API", func() {
		busy := stream(c.Routers[0], "before")
		engine := busyEngine(c)
		expectWhole(busy)
		Expect(processtest.SetFaults(c.StoreURL(), map[string]any{"down": true})).To(Succeed())
		expectWhole(short(c.Routers[0], "warm"), short(c.Routers[1], "warm"))
		Expect(loan(c.Routers[0], processtest.NewKey(), 1).Wait().Outcome).To(Equal("done"))
		before, err := engine.EngineCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(processtest.Crash(engine.Standin)).To(Succeed())
		Eventually(func() error { return short(c.Routers[1], "cold").CheckComplete() }).Should(Succeed())
		after, err := engine.EngineCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Loads).To(BeNumerically(">", before.Loads))
		expectWhole(short(c.Routers[0], "loaded"))
		Expect(loan(c.Routers[1], processtest.NewKey(), 1).Wait().Outcome).To(Equal("done"))
	})

	// restart ends a router during an outage of the object API and starts it with peers.
	restart := func() *processtest.Node {
		Expect(processtest.SetFaults(c.StoreURL(), map[string]any{"down": true})).To(Succeed())
		r := c.Routers[0]
		Expect(r.Kill()).To(Succeed())
		r.AddArgs("--peers", c.EngineAgents[0].Addr+","+c.PlainAgents[0].Addr)
		Expect(r.Start()).To(Succeed())
		return r
	}

	// Guards against a router that can't start without the object API, and against one that stays without it afterwards.
	It("takes the configuration from a peer during an outage of the object API", func() {
		r := restart()
		Eventually(r.Ready).Should(Succeed())
		refused := short(r, "during")
		if refused.Wait().Outcome != "not-run" {
			expectWhole(refused)
		}
		Expect(processtest.SetFaults(c.StoreURL(), map[string]any{})).To(Succeed())
		Eventually(func() error { return short(r, "after").CheckComplete() }).Should(Succeed())
		Eventually(func() string { return loan(r, processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
	})

	// Guards against a router that has the configuration of a peer but knows no upstream until the outage ends.
	It("serves through a router started during an outage of the object API", func() {
		r := restart()
		Eventually(r.Ready).Should(Succeed())
		Eventually(func() error { return short(r, "during").CheckComplete() }).WithTimeout(8 * time.Second).Should(Succeed())
		Eventually(func() string { return loan(r, processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
	})

	// Guards against a planned stop that cuts answers off or ends with a failure.
	It("finishes all answers when a router and an agent are stopped by SIGTERM", func() {
		all := streams(c, 4)
		engine := busyEngine(c)
		stopped := []*processtest.Node{c.Routers[0], engine}
		for _, n := range stopped {
			Expect(n.Signal(syscall.SIGTERM)).To(Succeed())
		}
		expectWhole(all...)
		expectWhole(short(c.Routers[1], "meanwhile"))
		for _, n := range stopped {
			Eventually(n.Ended()).WithTimeout(stopLimit).Should(BeClosed())
			Expect(n.ExitCode()).To(BeZero())
		}
		expectWhole(short(c.Routers[1], "after"))
	})

	// Guards against a request that crashes engine after engine when its caller repeats it, and against innocent requests
	// that are refused with it.
	It("refuses a request that crashes engines after few crashes", func() {
		for _, e := range c.EngineAgents {
			Expect(processtest.SetFaults(e.Standin, map[string]any{"crashMarker": "poison"})).To(Succeed())
		}
		innocent := streams(c, 4)
		for i := range 8 {
			a := short(c.Routers[i%2], "poison").Wait()
			Expect(a.Outcome).To(BeElementOf("not-run", "unknown"), a.Body)
		}
		expectWhole(innocent...)
		s, err := c.Summary()
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("crashes", s.Engines.Crashes)
		Expect(s.Engines.Crashes).To(BeNumerically("<=", 4))
		for _, r := range c.Routers {
			Eventually(func() string { return short(r, "poison").Wait().Code }).Should(Equal("quarantined"))
			expectWhole(short(r, "innocent"))
		}
		later, err := c.Summary()
		Expect(err).NotTo(HaveOccurred())
		Expect(later.Engines.Crashes).To(Equal(s.Engines.Crashes))
	})

	// Guards against a lowered limit that is in force while an engine still holds a replica beyond it, and against one
	// that interrupts requests.
	It("lowers a replica limit while requests run", func() {
		first := stream(c.Routers[0], "one")
		busy := busyEngine(c)
		Expect(busy.Signal(syscall.SIGSTOP)).To(Succeed())
		expectWhole(first)
		Expect(busy.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(c.Replicas).WithArguments(processtest.Model).Should(Equal(2))
		all := streams(c, 6)
		By("lower the limit")
		Expect(c.Apply(1, processtest.Configuration(1), limit)).To(Succeed())
		By("check the replicas")
		Consistently(c.Replicas).WithArguments(processtest.Model).WithTimeout(time.Second).Should(BeNumerically("<=", 1))
		expectWhole(all...)
		for i := range 4 {
			expectWhole(short(c.Routers[i%2], fmt.Sprint("after ", i)))
		}
		Expect(c.Replicas(processtest.Model)).To(Equal(1))
	})
})
