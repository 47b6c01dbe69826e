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
	// longStreamTokens is the length of a long stream. The stream takes about 3 s, so that its second half takes longer
	// than the age of an agent's status, which is at most 1 s.
	longStreamTokens  = 150
	eventuallyTimeout = 15 * time.Second
	answerTimeout     = 20 * time.Second
	// stopTimeout is longer than the 10 s for which an agent retains the output of finished streams.
	stopTimeout = 25 * time.Second
)

var pool *processtest.Pool

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(eventuallyTimeout)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	var err error
	pool, err = processtest.NewPool(GinkgoT().TempDir(), tokenInterval)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { pool.Close() })
})

// takeCluster takes a cluster whose configuration allows two replicas of each model. It waits until both routers serve
// both kinds of requests and the plain agents own all key slots.
func takeCluster() *processtest.Cluster {
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
	// For keys issued in the first 2 s of a slot owner's process the outcome is unknown.
	Eventually(func() []string { return loanOutcomes(c, 8) }).WithPolling(200 * time.Millisecond).Should(HaveEach("done"))
	By("inject the fault")
	return c
}

func longStream(r *processtest.Node, prompt string) *processtest.Request {
	return processtest.StartStream(r, processtest.Model, prompt, longStreamTokens)
}

func shortStream(r *processtest.Node, prompt string) *processtest.Request {
	return processtest.StartStream(r, processtest.Model, prompt, 5)
}

// startLongStreams starts long streams, alternating between the routers, and waits until all have started and none is
// more than half finished, so that a fault injected next affects all of them. A stream that is more than half finished
// before the others have started, because those wait for a load, is read to its end and replaced by a new one.
func startLongStreams(c *processtest.Cluster, count int) []*processtest.Request {
	GinkgoHelper()
	streams := make([]*processtest.Request, count)
	send := func(i int) { streams[i] = longStream(c.Routers[i%2], fmt.Sprintf("book %d", i)) }
	for i := range streams {
		send(i)
	}
	Eventually(func() (started bool) {
		started = true
		for i, s := range streams {
			switch events := s.Events(); {
			case events > longStreamTokens/2:
				expectComplete(s)
				send(i)
				started = false
			case events <= 2:
				started = false
			}
		}
		return started
	}).Should(BeTrue())
	return streams
}

func expectComplete(streams ...*processtest.Request) {
	GinkgoHelper()
	for _, s := range streams {
		Eventually(s.Ended()).WithTimeout(answerTimeout).Should(BeClosed())
		Expect(s.CheckComplete()).To(Succeed())
	}
}

func startLoan(r *processtest.Node, key string, attempt int) *processtest.Request {
	return processtest.StartLoan(r, key, attempt, 3*time.Second)
}

// waitForBusyEngine waits until an engine is running a call and returns the agent beside it.
func waitForBusyEngine(c *processtest.Cluster) (busy *processtest.Node) {
	GinkgoHelper()
	Eventually(func() (err error) { busy, err = c.BusyEngine(); return err }).Should(Succeed())
	return busy
}

// loanOutcomes sends loans, alternating between the routers, and returns their outcomes.
func loanOutcomes(c *processtest.Cluster, count int) (outcomes []string) {
	loans := make([]*processtest.Request, count)
	for i := range loans {
		loans[i] = startLoan(c.Routers[i%2], processtest.NewKey(), 1)
	}
	for _, l := range loans {
		outcomes = append(outcomes, l.Wait().Outcome)
	}
	return outcomes
}

// waitForBusyOwner waits until a plain agent is running the loan and returns the agent. The loan must run for longer
// than the age of an agent's status, which is at most 1 s.
func waitForBusyOwner(c *processtest.Cluster, l *processtest.Request) (busy *processtest.Node) {
	GinkgoHelper()
	Eventually(func() (err error) {
		select {
		case <-l.Ended():
			return StopTrying(fmt.Sprintf("loan ended before an agent reported it as running: %+v", l.Wait()))
		default:
		}
		busy, err = c.BusyOwner()
		return err
	}).Should(Succeed())
	return busy
}

// expectInvariants checks with the counters of the stand-ins that no key ran twice (invariant I6), that at most two
// replicas of a model were loaded at once (invariant I1), and that no memory was overcommitted (invariant I2).
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
