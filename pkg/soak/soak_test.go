package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// loopbackNet is the second byte of this process' loopback addresses. Processes that run at the same time mostly differ.
var loopbackNet = 130 + os.Getpid()%100

// seeds are one seed for a short run and those that have revealed faults, with the fault.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "short run"},
	{5000, "an engine full of models evicted none to load an adapter"},
}

var _ = Describe("the daemon under injected faults", func() {
	var binary string
	BeforeEach(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "hibiscuscrossd")
		out, err := exec.Command("go", "build", "-o", binary, "github.com/hibiscuscross/hibiscuscross/cmd/hibiscuscrossd").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})

	// Guards against retries beyond the limit of all routers when a restarted router spends what its predecessor has spent.
	It("keeps the limit on retries when routers are killed while runners reject requests", func() {
		res, err := soak.Run(soak.Options{Binary: binary, Dir: GinkgoT().TempDir(), Seed: 1, LoopbackNet: loopbackNet, FaultPeriod: 10 * time.Second, KillEntries: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
	})

	// Guards against streams without a length or chunks that look complete when their engine is removed at short notice.
	It("completes no stream that an engine which is removed at short notice breaks off", func() {
		res, err := soak.Run(soak.Options{Binary: binary, Dir: GinkgoT().TempDir(), Seed: 1, LoopbackNet: loopbackNet, FaultPeriod: 8 * time.Second, RemoveEngines: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
	})

	// Guards against a router that runs requests with a withdrawn key while it is partitioned from the store or after it was
	// paused, forwards keys, or denies a key that is valid.
	It("runs no request with a withdrawn key", func() {
		res, err := soak.Run(soak.Options{Binary: binary, Dir: GinkgoT().TempDir(), Seed: 1, LoopbackNet: loopbackNet, FaultPeriod: 15 * time.Second, WithdrawKeys: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
	})

	// Guards against routers that each keep to themselves what an upstream takes from all of them, or that ignore it.
	It("keeps the rate that an upstream names over all routers", func() {
		res, err := soak.Run(soak.Options{Binary: binary, Dir: GinkgoT().TempDir(), Seed: 1, LoopbackNet: loopbackNet, FaultPeriod: 12 * time.Second, LimitEngines: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
	})

	// Guards against a request that crashes upstreams and is let through again by routers that have forgotten it.
	It("runs a request that crashes upstreams six times at most, although all processes lose power meanwhile", func() {
		res, err := soak.Run(soak.Options{Binary: binary, Dir: GinkgoT().TempDir(), Seed: 1, LoopbackNet: loopbackNet, FaultPeriod: 13 * time.Second, RepeatCrashingRequest: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
	})

	play := func(shape, scenario string, seed uint64, faults time.Duration) {
		GinkgoHelper()
		s, err := soak.ShapeNamed(shape)
		Expect(err).NotTo(HaveOccurred())
		dir := GinkgoT().TempDir()
		res, err := soak.Run(soak.Options{Binary: binary, Dir: dir, Seed: seed, LoopbackNet: loopbackNet, Shape: s, Scenario: scenario, FaultPeriod: faults})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
	}

	// Guards against streams and retries that break their rules beside upstreams that freeze, garble their answers, ask to be
	// left alone or crash, paths that hold bytes back, and entries and agents that end.
	It("keeps every guarantee under the disruptions that have names", func() {
		play("vanstops", "garble,freeze,hold,restarts,retry-after,entry-ends,sidecars,crashing", 1, 10*time.Second)
	})

	// Guards against requests that run at an engine of another service, which has the address, and at times the id, of one that has
	// ended.
	It("runs no request at another service that has got the address of an engine", func() { play("default", "reused-address", 1, 3*time.Second) })

	// Guards against streams that have neither a length nor chunks, break off behind an event and look complete.
	It("completes no stream of an upstream that ends its connections before it is gone", func() { play("traitvif", "steps", 2, 6*time.Second) })
	It("completes no stream whose connection a device on the path has ended", func() { play("traitvif", "path-fin", 1, 3*time.Second) })
	It("completes no stream that a living upstream breaks off", func() { play("traitvif", "cut", 1, 3*time.Second) })

	for _, s := range seeds {
		It(fmt.Sprintf("keeps every guarantee with seed %d (%s)", s.seed, s.cause), func() {
			res, err := soak.Run(soak.Options{Binary: binary, Dir: GinkgoT().TempDir(), Seed: s.seed, LoopbackNet: loopbackNet, FaultPeriod: 6 * time.Second})
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
		})
	}
})
