package matrix_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/matrix"
)

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault matrix")
}

// violations runs the set-ups with the seed, up to six at a time, and returns the violations by name of the set-up.
func violations(setups map[string]matrix.Setup, seed uint64) map[string]error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]error{}
	semaphore := make(chan struct{}, 6)
	for name, setup := range setups {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			err := matrix.NewWorld(seed, setup).Run()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out[name] = err
			}
		}()
	}
	wg.Wait()
	return out
}

// violatesInvariant reports whether a run with the defects violates the invariant. It runs the cells, or runs without
// faults if there are none, with up to 12 seeds.
func violatesInvariant(invariant string, defects matrix.Defects, cells ...string) bool {
	if len(cells) == 0 {
		cells = []string{""}
	}
	for seed := uint64(1); seed <= 12; seed++ {
		for _, cell := range cells {
			var setup matrix.Setup
			if cell != "" {
				var err error
				setup, err = matrix.Parse(cell, seed)
				Expect(err).NotTo(HaveOccurred())
			}
			setup.Defects = defects
			var v *matrix.Violation
			if errors.As(matrix.NewWorld(seed, setup).Run(), &v) && v.Invariant == invariant {
				return true
			}
		}
	}
	return false
}

var _ = Describe("a run", func() {
	// Guards against a violation in a run without faults, on which the runs of all cells are based.
	It("violates no invariant without faults", func() {
		setups := map[string]matrix.Setup{}
		for _, ignore := range []bool{false, true} {
			setups[fmt.Sprint(ignore)] = matrix.Setup{IgnoreFence: ignore}
		}
		for seed := uint64(1); seed <= 3; seed++ {
			Expect(violations(setups, seed)).To(BeEmpty(), "seed %d", seed)
		}
	})

	// Guards against runs that depend on anything but the set-up and the seed, whose failures cannot be reproduced.
	It("is reproducible from its seed", func() {
		setup, err := matrix.Parse("dispatch/kill", 3)
		Expect(err).NotTo(HaveOccurred())
		traceLines := func() (lines []string) {
			w := matrix.NewWorld(3, setup)
			w.SetTrace(func(line string) { lines = append(lines, line) })
			Expect(w.Run()).To(Succeed())
			return lines
		}
		Expect(traceLines()).To(Equal(traceLines()))
	})

	// Guards against a fault that leads to a violation. It runs a third of the cells; make matrix runs every cell with
	// more seeds, and pairs of cells.
	It("violates no invariant with a fault at a step", func() {
		setups := map[string]matrix.Setup{}
		for i, c := range matrix.Cells() {
			if i%3 == 0 {
				setups[c.String()] = matrix.CellSetup(c, 1)
			}
		}
		Expect(violations(setups, 1)).To(BeEmpty())
	})
})

// Guards against checks that cannot fail: for each invariant, a deliberate defect must lead to a violation.
var _ = DescribeTable("a deliberate defect is detected", func(invariant string, defects matrix.Defects, cells ...string) {
	Expect(violatesInvariant(invariant, defects, cells...)).To(BeTrue())
},
	Entry("an object API that ignores write conditions violates I1", "I1", matrix.Defects{IgnoreCondition: true}, "accept/operators-race", "grant/lost-answer", "grant/store-slow"),
	Entry("understated sizes violate I2", "I2", matrix.Defects{UnderstateSizes: true}),
	Entry("a router that does not refuse at the deadline violates I3", "I3", matrix.Defects{NoDeadline: true}, "dispatch/silent", "dispatch/pause", "load/weights-slow"),
	Entry("a router that accepts frames of any attempt violates I4", "I4", matrix.Defects{AcceptAnyFrame: true}, "stream/crossed"),
	Entry("an unknown outcome reported as not-run violates I5", "I5", matrix.Defects{ClaimNotRun: true}, "dispatch/upstream-crash", "dispatch/kill"),
	Entry("a restarted slot owner that forgets its floor violates I6", "I6", matrix.Defects{ForgetFloor: true}, "dispatch/kill"),
	Entry("processes that ignore the state of a leaving VM violate I7", "I7", matrix.Defects{IgnoreLeaving: true}),
	Entry("a planned stop that kills the process violates I8", "I8", matrix.Defects{StopAtOnce: true}),
	Entry("a process that returns to an older configuration violates I9", "I9", matrix.Defects{RevertConfiguration: true}),
	Entry("processes that do not recognize a request again violate I10", "I10", matrix.Defects{NoQuarantine: true}),
)
