package agent

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

// TestOutputMemory guards against answers kept for resumes that exhaust memory: each may take 1 MiB, also after the account
// has no more, and against memory that stays reserved when the job is forgotten.
func TestOutputMemory(t *testing.T) {
	g := NewWithT(t)
	account := membudget.NewAccount(membudget.ForHeld(1 << 20))
	keep := func(o *output) (n int) {
		for block := make([]byte, 16<<10); ; n += len(block) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			err := o.append(ctx, block)
			cancel()
			if err != nil || n >= 2*maxOutputBytes {
				return n
			}
		}
	}
	small := newOutput(false, account)
	g.Expect(keep(small)).To(BeNumerically("<", maxOutputBytes))
	usage, _ := account.Usage()
	g.Expect(usage.Held).To(BeNumerically("<=", 1<<20))
	small.release()
	g.Expect(keep(small)).To(BeZero())
	usage, _ = account.Usage()
	g.Expect(usage.Held).To(BeZero())
	large := newOutput(false, membudget.NewAccount(membudget.ForHeld(64<<20)))
	g.Expect(keep(large)).To(Equal(maxOutputBytes))
}
