package processtest_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/processtest"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes")
}

const (
	tokenInterval = 20 * time.Millisecond
	tokens        = 100 // of a long stream, about 2 s
	limit         = 15 * time.Second
	whole         = 20 * time.Second
	// stopLimit is longer than the 10 s for which an agent keeps the output of finished streams.
	stopLimit = 25 * time.Second
)

// started is a cluster whose processes were started.
type started struct {
	cluster *processtest.Cluster
	err     error
}

func (s started) stop() {
	if s.cluster != nil {
		s.cluster.Stop()
	}
}

// next holds the clusters of the next specs, which start while the current one runs.
var next chan started

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(limit)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	bin := GinkgoT().TempDir()
	Expect(processtest.Build(bin)).To(Succeed())
	next = make(chan started, 1)
	end, ended := make(chan struct{}), make(chan struct{})
	dir := GinkgoT().TempDir()
	go func() {
		defer close(ended)
		defer close(next)
		prepare(bin, dir, end)
	}()
	DeferCleanup(func() {
		close(end)
		<-ended
		for s := range next {
			s.stop()
		}
	})
})

// prepare starts clusters, two ahead of the specs, until end is closed.
func prepare(bin, dir string, end chan struct{}) {
	for i := 0; ; i++ {
		own := filepath.Join(dir, fmt.Sprint(i))
		err := os.Mkdir(own, 0o700)
		var c *processtest.Cluster
		if err == nil {
			c, err = processtest.NewCluster(bin, own)
		}
		if err == nil {
			err = c.Start(tokenInterval)
		}
		select {
		case next <- started{c, err}:
		case <-end:
			started{c, err}.stop()
			return
		}
	}
}

// start takes a cluster whose configuration allows two replicas of each model, and waits until both routers serve both
// kinds of calls and the plain agents own all key slots.
func start() *processtest.Cluster {
	s := <-next
	c := s.cluster
	DeferCleanup(func() {
		c.Stop()
		if CurrentSpecReport().Failed() {
			AddReportEntry("logs", c.Logs())
		}
	})
	Expect(s.err).NotTo(HaveOccurred())
	for _, n := range c.Nodes() {
		Eventually(n.Ready).Should(Succeed(), n.Name)
	}
	Eventually(ownedSlots).WithArguments(c).Should(Equal(64))
	for _, r := range c.Routers {
		Eventually(func() error { return processtest.Stream(r, processtest.Model, "warm", 1).Whole() }).Should(Succeed())
		Eventually(func() string { return loan(r, processtest.NewKey(), 1).Wait().Outcome }).Should(Equal("done"))
	}
	By("inject the fault")
	return c
}

func ownedSlots(c *processtest.Cluster) (slots int) {
	for _, n := range c.Plains {
		s, _ := n.AgentStatus()
		for _, held := range s.KeySlots {
			slots += held
		}
	}
	return slots
}

func stream(r *processtest.Node, prompt string) *processtest.Request {
	return processtest.Stream(r, processtest.Model, prompt, tokens)
}

func short(r *processtest.Node, prompt string) *processtest.Request {
	return processtest.Stream(r, processtest.Model, prompt, 5)
}

// streams sends long streams through both routers in turn and waits until all have begun.
func streams(c *processtest.Cluster, count int) []*processtest.Request {
	all := make([]*processtest.Request, count)
	for i := range all {
		all[i] = stream(c.Routers[i%2], fmt.Sprintf("book %d", i))
	}
	for _, s := range all {
		Eventually(s.Events).Should(BeNumerically(">", 2))
	}
	return all
}

func expectWhole(all ...*processtest.Request) {
	GinkgoHelper()
	for _, s := range all {
		Eventually(s.Ended()).WithTimeout(whole).Should(BeClosed())
		Expect(s.Whole()).To(Succeed())
	}
}

func loan(r *processtest.Node, key string, attempt int) *processtest.Request {
	return processtest.Loan(r, key, attempt, 3*time.Second)
}

// busyEngine waits until an engine runs a call, and returns its node and the other one.
func busyEngine(c *processtest.Cluster) (busy, other *processtest.Node) {
	Eventually(func() bool {
		for i, n := range c.Engines {
			if l, err := n.Listing(); err == nil && l.Running > 0 {
				busy, other = n, c.Engines[1-i]
				return true
			}
		}
		return false
	}).Should(BeTrue())
	return busy, other
}

// busyOwner waits until a plain agent runs a call, and returns its node.
func busyOwner(c *processtest.Cluster) (busy *processtest.Node) {
	Eventually(func() *processtest.Node {
		for _, n := range c.Plains {
			if s, err := n.AgentStatus(); err == nil && s.Running > 0 {
				busy = n
			}
		}
		return busy
	}).ShouldNot(BeNil())
	return busy
}

// slowLoans delays the effect of each loan.
func slowLoans(c *processtest.Cluster, delay time.Duration) {
	for _, n := range c.Plains {
		Expect(processtest.SetFaults(n.Standin, map[string]any{"delayMs": delay.Milliseconds()})).To(Succeed())
	}
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

// replicas returns how many engines hold the model.
func replicas(c *processtest.Cluster, model string) (n int, err error) {
	for _, e := range c.Engines {
		l, err := e.Listing()
		if err != nil {
			return 0, err
		}
		for _, r := range l.Resident {
			if r.Target.Model == model && r.Target.Adapter == "" {
				n++
			}
		}
	}
	return n, nil
}
