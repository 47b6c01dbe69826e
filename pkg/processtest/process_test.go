package processtest_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/processtest"
)

var _ = Describe("killed processes", func() {
	var c *processtest.Cluster
	BeforeEach(func() { c = takeCluster() })
	AfterEach(func() { expectInvariants(c) })

	// Guards against a killed router that interrupts service through the other one, and against a retried loan that runs
	// a second time.
	It("keeps serving through the other router after a router is killed", func() {
		Expect(c.DelayLoans(2 * time.Second)).To(Succeed())
		streams := startLongStreams(c, 4)
		key := processtest.NewKey()
		first := startLoan(c.Routers[0], key, 1)
		waitForBusyOwner(c, first)
		Expect(c.Routers[0].Kill()).To(Succeed())
		retry := startLoan(c.Routers[1], key, 2).Wait()
		Expect(retry.Outcome).To(BeElementOf("done", "unknown"))
		expectComplete(streams[1], streams[3], shortStream(c.Routers[1], "after"))
		Expect(streams[0].CheckComplete()).NotTo(Succeed())
		Expect(first.Wait().Err).To(HaveOccurred())
		secondRetry := startLoan(c.Routers[1], key, 3).Wait()
		Expect(secondRetry.Outcome).To(Equal(retry.Outcome))
		Expect(secondRetry.Body).To(Equal(retry.Body))
		Expect(c.Runs(key)).To(Equal(1))
	})

	// Guards against an answer that is truncated or repeats text when the agent beside its engine is killed.
	It("continues streams at another upstream after an agent is killed", func() {
		streams := startLongStreams(c, 4)
		busy := waitForBusyEngine(c)
		Expect(busy.Kill()).To(Succeed())
		expectComplete(streams...)
		expectComplete(shortStream(c.Routers[0], "after"), shortStream(c.Routers[1], "after"))
	})

	// Guards against a restarted slot owner that runs a loan of the previous process again or reports it as not run.
	It("never runs a loan twice after the owner of its key slot is killed", func() {
		Expect(c.DelayLoans(2 * time.Second)).To(Succeed())
		key := processtest.NewKey()
		first := startLoan(c.Routers[0], key, 1)
		owner := waitForBusyOwner(c, first)
		Expect(owner.Kill()).To(Succeed())
		Expect(first.Wait().Outcome).To(Equal("unknown"))
		Expect(owner.Start()).To(Succeed())
		Eventually(owner.Ready).Should(Succeed())
		for attempt, r := range []*processtest.Node{c.Routers[0], c.Routers[1], c.Routers[0]} {
			Expect(startLoan(r, key, attempt+2).Wait().Outcome).To(BeElementOf("done", "unknown"))
		}
		Eventually(c.Runs).WithArguments(key).Should(Equal(1))
		Expect(c.DelayLoans(0)).To(Succeed())
		Eventually(func() string { return startLoan(c.Routers[1], processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
	})
})
