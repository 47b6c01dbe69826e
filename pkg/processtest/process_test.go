package processtest_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/processtest"
)

var _ = Describe("processes under faults", func() {
	var c *processtest.Cluster
	BeforeEach(func() { c = start() })
	AfterEach(func() { expectInvariants(c) })

	// Guards against a router whose death ends service, and against a loan that its resend runs a second time.
	It("serves through the other router after a router was killed", func() {
		Expect(c.DelayLoans(2 * time.Second)).To(Succeed())
		all := streams(c, 4)
		key := processtest.NewKey()
		first := loan(c.Routers[0], key, 1)
		busyOwner(c, first)
		Expect(c.Routers[0].Kill()).To(Succeed())
		resend := loan(c.Routers[1], key, 2).Wait()
		Expect(resend.Outcome).To(BeElementOf("done", "unknown"))
		expectWhole(all[1], all[3], short(c.Routers[1], "after"))
		Expect(all[0].CheckComplete()).NotTo(Succeed())
		Expect(first.Wait().Err).To(HaveOccurred())
		again := loan(c.Routers[1], key, 3).Wait()
		Expect(again.Outcome).To(Equal(resend.Outcome))
		Expect(again.Body).To(Equal(resend.Body))
		Expect(c.Runs(key)).To(Equal(1))
	})

	// Guards against an answer that is cut off or repeats text after the agent beside its engine died.
	It("continues streams elsewhere after an agent was killed", func() {
		all := streams(c, 4)
		busy := busyEngine(c)
		Expect(busy.Kill()).To(Succeed())
		expectWhole(all...)
		expectWhole(short(c.Routers[0], "after"), short(c.Routers[1], "after"))
	})

	// Guards against a restarted owner that runs a loan of the earlier process again or denies that it ran.
	It("never runs a loan twice after its owner was killed", func() {
		Expect(c.DelayLoans(2 * time.Second)).To(Succeed())
		key := processtest.NewKey()
		first := loan(c.Routers[0], key, 1)
		owner := busyOwner(c, first)
		Expect(owner.Kill()).To(Succeed())
		Expect(first.Wait().Outcome).To(Equal("unknown"))
		Expect(owner.Start()).To(Succeed())
		Eventually(owner.Ready).Should(Succeed())
		for attempt, r := range []*processtest.Node{c.Routers[0], c.Routers[1], c.Routers[0]} {
			Expect(loan(r, key, attempt+2).Wait().Outcome).To(BeElementOf("done", "unknown"))
		}
		Eventually(c.Runs).WithArguments(key).Should(Equal(1))
		Expect(c.DelayLoans(0)).To(Succeed())
		Eventually(func() string { return loan(c.Routers[1], processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
	})
})
