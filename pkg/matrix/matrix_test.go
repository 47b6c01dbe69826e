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

// violations runs each set-up with its seed, several at once, and returns what was violated by set-up.
func violations(setups map[string]matrix.Setup, seed uint64) map[string]error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]error{}
	limit := make(chan struct{}, 6)
	for name, setup := range setups {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-limit }()
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

// breaks runs the cells, or runs without a fault if there is none, until one violates the invariant.
func breaks(invariant string, broken matrix.Defects, cells ...string) bool {
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
			setup.Defects = broken
			var v *matrix.Violation
			if errors.As(matrix.NewWorld(seed, setup).Run(), &v) && v.Invariant == invariant {
				return true
			}
		}
	}
	return false
}

var _ = Describe("a run", func() {
	// Guards against a violation in the course without faults, with which every cell begins.
	It("breaks no invariant without faults", func() {
		setups := map[string]matrix.Setup{}
		for _, ignore := range []bool{false, true} {
			setups[fmt.Sprint(ignore)] = matrix.Setup{IgnoreFence: ignore}
		}
		for seed := uint64(1); seed <= 3; seed++ {
			Expect(violations(setups, seed)).To(BeEmpty(), "seed %d", seed)
		}
	})

	// Guards against runs whose result depends on anything but the seed.
	It("is repeatable", func() {
		setup, err := matrix.Parse("dispatch/kill", 3)
		Expect(err).NotTo(HaveOccurred())
		course := func() (lines []string) {
			w := matrix.NewWorld(3, setup)
			w.SetTrace(func(line string) { lines = append(lines, line) })
			Expect(w.Run()).To(Succeed())
			return lines
		}
		Expect(course()).To(Equal(course()))
	})

	// Guards against a fault that breaks an invariant; make matrix runs every cell with more seeds, and pairs.
	It("breaks no invariant with a fault at a step", func() {
		setups := map[string]matrix.Setup{}
		for i, c := range matrix.Cells() {
			if i%3 == 0 {
				setups[c.String()] = matrix.CellSetup(c, 1)
			}
		}
		Expect(violations(setups, 1)).To(BeEmpty())
	})
})

// Each check is shown to fail on a decision that is wrong on purpose.
var _ = DescribeTable("a broken decision is noticed", func(invariant string, broken matrix.Defects, cells ...string) {
	Expect(breaks(invariant, broken, cells...)).To(BeTrue())
},
	Entry("a store that takes every write breaks I1", "I1", matrix.Defects{IgnoreCondition: true}, "accept/operators-race", "grant/lost-answer", "grant/store-slow"),
	Entry("understated sizes break I2", "I2", matrix.Defects{UnderstateSizes: true}),
	Entry("no refusal at the deadline breaks I3", "I3", matrix.Defects{NoDeadline: true}, "dispatch/silent", "dispatch/pause", "load/weights-slow"),
	Entry("frames taken without a look break I4", "I4", matrix.Defects{AcceptAnyFrame: true}, "stream/crossed"),
	Entry("an unknown outcome reported as not-run breaks I5", "I5", matrix.Defects{ClaimNotRun: true}, "dispatch/upstream-crash", "dispatch/kill"),
	Entry("a restarted owner that forgets its floor breaks I6", "I6", matrix.Defects{ForgetFloor: true}, "dispatch/kill"),
	Entry("a leaving VM that nobody notices breaks I7", "I7", matrix.Defects{IgnoreLeaving: true}),
	Entry("a stop that ends the process at once breaks I8", "I8", matrix.Defects{StopAtOnce: true}),
	Entry("a process that takes an older configuration breaks I9", "I9", matrix.Defects{RevertConfiguration: true}),
	Entry("agents without a quarantine break I10", "I10", matrix.Defects{NoQuarantine: true}),
)
