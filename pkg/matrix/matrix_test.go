package matrix_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/matrix"
)

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault matrix")
}

var _ = Describe("a run without faults", func() {
	It("breaks no invariant", func() {
		for seed := uint64(1); seed <= 5; seed++ {
			w := matrix.NewWorld(seed, matrix.Setup{})
			Expect(w.Run()).To(Succeed(), "seed %d", seed)
		}
	})
})
