package soak_test

import (
	"fmt"
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

// seeds are one short run and each seed that has failed before, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "short run"},
	{5000, "an engine full of models made no room for an adapter"},
}

var _ = Describe("programs under faults from outside", func() {
	var binary string
	BeforeEach(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "hibiscuscrossd")
		out, err := exec.Command("go", "build", "-o", binary, "github.com/hibiscuscross/hibiscuscross/cmd/hibiscuscrossd").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})

	for _, s := range seeds {
		It(fmt.Sprintf("keeps every promise with seed %d (%s)", s.seed, s.cause), func() {
			res, err := soak.Run(soak.Options{Binary: binary, Dir: GinkgoT().TempDir(), Seed: s.seed, LoopbackNet: 19, FaultPeriod: 6 * time.Second})
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Violations).To(BeEmpty(), fmt.Sprint(res.Events))
		})
	}
})
