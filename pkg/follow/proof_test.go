package follow_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// proofs follows the source until it has made count calls, and returns what the handler was told and the starts that
// were proven.
func proofs(s *source, count int, opt follow.Options) ([]string, []boottime.Instant) {
	var mu sync.Mutex
	var got []string
	var starts []boottime.Instant
	record := func(what string) func([]platform.Object) {
		return func([]platform.Object) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, what)
		}
	}
	h := follow.Handler{Listed: record("listed"), Changed: record("changed"), Proved: func(startedAt boottime.Instant) {
		record("proved")(nil)
		starts = append(starts, startedAt)
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow.New(s, "k", opt, h, eventlog.New(io.Discard, "r", "vm")).Run(ctx)
	}()
	Eventually(func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.calls)
	}, "5s", "1ms").Should(BeNumerically(">=", count))
	cancel()
	<-done
	return got, starts
}

var _ = Describe("the proof of a view", func() {
	short := follow.Options{LongPollDuration: 10 * time.Millisecond}

	// Guards against a view that counts as newer than the call that read it, and against one that is proven before it is
	// applied or by a call without a usable answer.
	It("is the start of the call, and follows the objects", func() {
		failed, compacted := answer{err: errors.New("down")}, answer{err: store.ErrCompacted}
		s := &source{answers: []answer{{revision: 3, delay: 50 * time.Millisecond}, {objects: oneObject("a"), revision: 4, delay: 50 * time.Millisecond}, failed, {revision: 4}, compacted, {revision: 9}}}
		got, starts := proofs(s, 7, short)
		Expect(got).To(Equal([]string{"listed", "proved", "changed", "proved", "proved", "listed", "proved"}))
		for i, call := range []int{0, 1, 3, 5} {
			Expect(starts[i]).To(BeNumerically("<=", s.starts[call]))
			if call > 0 {
				Expect(starts[i]).To(BeNumerically(">", s.starts[call-1]))
			}
		}
	})

	// Guards against a listing that is proven by the start of a later, hedged call, or by that of an earlier one that got
	// no answer.
	It("is the start of the hedged call that was answered", func() {
		s := &source{answers: []answer{{hangs: true}, {revision: 3}}}
		before := boottime.Now()
		_, starts := proofs(s, 3, short)
		Expect(starts[0].Sub(before)).To(BeNumerically(">=", 300*time.Millisecond))
		s = &source{answers: []answer{{revision: 3, delay: 400 * time.Millisecond}, {hangs: true}}}
		before = boottime.Now()
		_, starts = proofs(s, 3, short)
		Expect(starts[0].Sub(before)).To(BeNumerically("<", 300*time.Millisecond))
	})

	// Guards against a watch of a store that was restored to an earlier revision: it reports no change until the store
	// has passed the old revision, so a withdrawn key would stay valid.
	It("is not given by a store at an earlier revision, which is listed again", func() {
		s := &source{answers: []answer{{revision: 30}, {revision: 5}, {revision: 5}, {revision: 5}}}
		got, _ := proofs(s, 5, short)
		Expect(got).To(Equal([]string{"listed", "proved", "listed", "proved", "proved"}))
		Expect(s.calls[1:4]).To(Equal([]string{"watch " + string(rune('0'+30)), "list", "watch 5"}))
	})

	// Guards against store calls at the rate of a short long poll, which would cost hundreds of calls per second.
	It("is renewed at the interval that the pace asks for", func() {
		opt := follow.Options{LongPollDuration: time.Second, Pace: func() (time.Duration, time.Duration) { return time.Millisecond, 100 * time.Millisecond }}
		s := &source{answers: []answer{{revision: 3}, {revision: 3}, {objects: oneObject("a"), revision: 4}, {revision: 4}}}
		_, _ = proofs(s, 5, opt)
		for i := 2; i < 5; i++ {
			Expect(s.times[i].Sub(s.times[i-1])).To(BeNumerically(">=", 99*time.Millisecond))
		}
		Expect(s.polls[0]).To(Equal(time.Millisecond))
	})
})
