package membudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

func TestMembudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membudget")
}

const mb = 1 << 20

var _ = Describe("budget", func() {
	var b *membudget.Budget
	var now time.Time
	var ended []*membudget.Holder
	open := func(address string) *membudget.Holder {
		h, ok := b.Open(address)
		Expect(ok).To(BeTrue())
		return h
	}
	transfer := func(h *membudget.Holder) { b.StartTransfer(now, h, func() { ended = append(ended, h) }) }
	// grow reserves pieces until no more are available and returns their size.
	grow := func(h *membudget.Holder) (sum int64) {
		for b.Reserve(h, 64<<10) {
			sum += 64 << 10
		}
		return sum
	}
	BeforeEach(func() {
		b, now, ended = membudget.NewBudget(membudget.ForMemory(144*mb)), time.Unix(1000, 0), nil
	})

	// Guards against bounds that a single large body, or the ordinary load of the smallest VM, reaches in calm.
	It("has room for the largest body and for 200 requests of common size", func() {
		Expect(b.Reserve(open("a"), 4*mb)).To(BeTrue())
		for range 200 {
			Expect(b.Reserve(open("a"), 55_000)).To(BeTrue())
		}
	})

	// Guards against endless bodies that take the last byte, so that an answer of 800 bytes finds no room.
	It("keeps room for requests of common size beside bodies that grow without end", func() {
		for range 60 {
			grow(open("a"))
		}
		for range 50 {
			h := open("a")
			Expect(b.Reserve(h, 110_000)).To(BeTrue())
		}
	})

	// Guards against one client that takes the large part from all others, and against a bound that applies in calm, when
	// all callers come from the balancer's address.
	It("bounds an address once half of the large part is in use", func() {
		limits := membudget.ForMemory(144 * mb)
		for range 20 {
			grow(open("a"))
		}
		Expect(b.Usage().Large).To(BeNumerically("<=", limits.Large*3/4))
		Expect(b.Usage().Large).To(BeNumerically(">", limits.Large/2))
		Expect(b.Reserve(open("b"), 2*mb)).To(BeTrue())
	})

	// Guards against transfers that are ended although they make progress, or although nobody needs their memory, and
	// against a transfer that a fast start or single bytes keep alive.
	It("ends stalled transfers only, and as many as are needed", func() {
		stalled, trickling, running := open("a"), open("a"), open("a")
		for _, h := range []*membudget.Holder{stalled, trickling, running} {
			Expect(b.Reserve(h, 4*mb)).To(BeTrue())
			transfer(h)
			b.Advance(now, h, 4*mb)
		}
		now = now.Add(900 * time.Millisecond)
		b.Advance(now, trickling, 1)
		b.Advance(now, running, 8<<10)
		needy := open("a")
		Expect(b.Reclaim(now, needy, 5*mb)).To(BeZero())
		now = now.Add(200 * time.Millisecond)
		Expect(b.Reclaim(now, needy, 64<<10)).To(BeZero()) // it fits
		Expect(b.Reserve(needy, 5*mb)).To(BeFalse())
		Expect(b.Reclaim(now, needy, 5*mb)).To(Equal(1))
		Expect(b.Reclaim(now, needy, 5*mb)).To(BeZero()) // what has been ended is about to be free
		b.Close(ended[0])
		Expect(b.Reserve(needy, 5*mb)).To(BeTrue())
		Expect(ended).To(Or(ConsistOf(stalled), ConsistOf(trickling)))
	})

	// Guards against memory that stays reserved after a request, whatever its end.
	It("has nothing left when all holders are closed", func() {
		for i := range 30 {
			h := open([]string{"a", "b"}[i%2])
			transfer(h)
			grow(h)
			if i%3 == 0 {
				b.Release(h, 64<<10)
			}
			now = now.Add(200 * time.Millisecond)
			b.Relieve(now)
			defer b.Close(h)
			DeferCleanup(func() { Expect(b.Usage().Held + b.Usage().Large).To(BeZero()) })
		}
		Expect(ended).NotTo(BeEmpty())
	})

	// Guards against connections that take the memory of requests.
	It("bounds connections by their own part", func() {
		n := 0
		for b.ReserveConnection(72 << 10) {
			n++
		}
		Expect(n).To(BeNumerically(">=", 500))
		Expect(b.Reserve(open("a"), 4*mb)).To(BeTrue())
	})
})

var _ = Describe("account", func() {
	// Guards against a reservation that waits without end, or that is refused although memory becomes free in its time.
	It("lets a reservation wait for memory and for the end of a stalled transfer", func() {
		a := membudget.NewAccount(membudget.ForHeld(8 * mb))
		first, err := a.Open("a", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Reserve(first, 2*mb, 0)).To(Succeed())
		second, err := a.Open("b", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Reserve(second, 3*mb, 10*time.Millisecond)).To(MatchError(membudget.ErrFull))
		a.StartTransfer(first, func() { go a.Close(first) })
		Expect(a.Reserve(second, 3*mb, 20*time.Second)).To(Succeed())
		a.Close(second)
		usage, counts := a.Usage()
		Expect(usage.Held).To(BeZero())
		Expect(counts).To(Equal(membudget.Counts{Reclaimed: 1, Refused: 1}))
	})
})
