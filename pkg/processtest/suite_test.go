package processtest_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/processtest"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes")
}

const (
	tokenInterval = 20 * time.Millisecond
	// tokens of a long stream, about 3 s: its second half outlasts the age of an agent's status, at most 1 s.
	tokens = 150
	limit  = 15 * time.Second
	whole  = 20 * time.Second
	// stopLimit is longer than the 10 s for which an agent keeps the output of finished streams.
	stopLimit = 25 * time.Second
)

var pool *processtest.Pool

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(limit)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	var err error
	pool, err = processtest.NewPool(GinkgoT().TempDir(), tokenInterval)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { pool.Close() })
})

// start takes a cluster whose configuration allows two replicas of each model, and waits until both routers serve both
// kinds of calls and the plain agents own all key slots.
func start() *processtest.Cluster {
	c, err := pool.Take()
	if c != nil {
		DeferCleanup(func() {
			c.Stop()
			if CurrentSpecReport().Failed() {
				AddReportEntry("logs", c.Logs())
			}
		})
	}
	Expect(err).NotTo(HaveOccurred())
	for _, n := range c.Nodes() {
		Eventually(n.Ready).Should(Succeed(), n.Name)
	}
	Eventually(c.OwnedSlots).Should(Equal(once.Slots))
	for _, r := range c.Routers {
		Eventually(func() error { return processtest.StartStream(r, processtest.Model, "warm", 1).CheckComplete() }).Should(Succeed())
	}
	// Keys issued in the first 2 s of an owner's process are answered with unknown.
	Eventually(func() []string { return loans(c, 8) }).WithPolling(200 * time.Millisecond).Should(HaveEach("done"))
	By("inject the fault")
	return c
}

func stream(r *processtest.Node, prompt string) *processtest.Request {
	return processtest.StartStream(r, processtest.Model, prompt, tokens)
}

func short(r *processtest.Node, prompt string) *processtest.Request {
	return processtest.StartStream(r, processtest.Model, prompt, 5)
}

// streams sends long streams through both routers in turn and waits until all have begun and none is past its half, so
// that a fault injected next meets all of them. A stream that gets ahead of the others, which may wait for a load, is
// read to its end and sent again.
func streams(c *processtest.Cluster, count int) []*processtest.Request {
	GinkgoHelper()
	all := make([]*processtest.Request, count)
	send := func(i int) { all[i] = stream(c.Routers[i%2], fmt.Sprintf("book %d", i)) }
	for i := range all {
		send(i)
	}
	Eventually(func() (begun bool) {
		begun = true
		for i, s := range all {
			switch events := s.Events(); {
			case events > tokens/2:
				expectWhole(s)
				send(i)
				begun = false
			case events <= 2:
				begun = false
			}
		}
		return begun
	}).Should(BeTrue())
	return all
}

func expectWhole(all ...*processtest.Request) {
	GinkgoHelper()
	for _, s := range all {
		Eventually(s.Ended()).WithTimeout(whole).Should(BeClosed())
		Expect(s.CheckComplete()).To(Succeed())
	}
}

func loan(r *processtest.Node, key string, attempt int) *processtest.Request {
	return processtest.StartLoan(r, key, attempt, 3*time.Second)
}

// busyEngine waits until an engine runs a call, and returns its node.
func busyEngine(c *processtest.Cluster) (busy *processtest.Node) {
	GinkgoHelper()
	Eventually(func() (err error) { busy, err = c.BusyEngine(); return err }).Should(Succeed())
	return busy
}

// loans sends loans through both routers in turn and returns their outcomes.
func loans(c *processtest.Cluster, count int) (outcomes []string) {
	sent := make([]*processtest.Request, count)
	for i := range sent {
		sent[i] = loan(c.Routers[i%2], processtest.NewKey(), 1)
	}
	for _, l := range sent {
		outcomes = append(outcomes, l.Wait().Outcome)
	}
	return outcomes
}

// busyOwner waits until a plain agent runs the loan, and returns the agent's node. The loan has to run for longer than the
// age of an agent's status, at most 1 s.
func busyOwner(c *processtest.Cluster, l *processtest.Request) (busy *processtest.Node) {
	GinkgoHelper()
	Eventually(func() (err error) {
		select {
		case <-l.Ended():
			return StopTrying(fmt.Sprintf("the loan has ended: %+v", l.Wait()))
		default:
		}
		busy, err = c.BusyOwner()
		return err
	}).Should(Succeed())
	return busy
}

// expectInvariants checks what holds at the stand-ins after every fault: no key ran twice (I6), no more than two
// replicas of a model were loaded at once (I1), and no memory was overcommitted (I2).
func expectInvariants(c *processtest.Cluster) {
	GinkgoHelper()
	s, err := c.Summary()
	Expect(err).NotTo(HaveOccurred())
	Expect(s.RepeatedRuns).To(BeZero())
	Expect(s.Engines.Overcommits).To(BeZero())
	for model, replicas := range s.PeakReplicas {
		Expect(replicas).To(BeNumerically("<=", 2), model)
	}
}
