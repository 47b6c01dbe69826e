package membudget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

var _ = Describe("account", func() {
	// Guards against requests that wait at the router and take the last memory: requests that had run lost their answers.
	It("keeps memory for the first parts of answers beside waiting requests", func() {
		a := membudget.NewAccount(membudget.ForMemory(144 * mb))
		var holders []*membudget.Holder
		for {
			h, err := a.Open("a", 0)
			if err != nil || a.Reserve(h, 30_000, 0) != nil {
				break
			}
			holders = append(holders, h)
		}
		Expect(len(holders)).To(BeNumerically(">", 100))
		for _, h := range holders[:100] {
			Expect(a.ReserveAnswer(h, 2<<10, 0, true)).To(Succeed())
		}
		Expect(a.Reserve(holders[0], 64<<10, 0)).To(MatchError(membudget.ErrFull))
	})

	// Guards against a transfer that has been ended for others and holds its memory while it waits for more.
	It("refuses more memory to an ended transfer at once", func() {
		a := membudget.NewAccount(membudget.ForMemory(4 * mb))
		ended := make(chan struct{})
		h, err := a.Open("a", 0)
		Expect(err).NotTo(HaveOccurred())
		a.StartTransfer(h, func() { close(ended) })
		Eventually(func() bool {
			a.EndStalled()
			select {
			case <-ended:
				return true
			default:
				return false
			}
		}, "5s", "100ms").Should(BeTrue())
		start := time.Now()
		Expect(a.Reserve(h, 64*mb, time.Minute)).To(MatchError(membudget.ErrFull))
		Expect(time.Since(start)).To(BeNumerically("<", 30*time.Second))
	})
})
