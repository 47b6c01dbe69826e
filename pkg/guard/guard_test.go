package guard_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
)

func TestGuard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "guard")
}

// There was no recover in the processes: one unexpected value ended a router and every stream that it carried.
var _ = Describe("guard", func() {
	var (
		out bytes.Buffer
		log *eventlog.Log
		g   *guard.Guard
	)
	BeforeEach(func() {
		out.Reset()
		log = eventlog.New(&out, "entry", "vm-1")
		g = guard.New(log)
	})
	written := func() string {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		log.Run(ctx)
		return out.String()
	}

	It("runs a duty again after a panic and writes its stack once", func() {
		runs := 0
		duty := g.Duty("peers", func(context.Context) error {
			if runs++; runs < 4 {
				panic("unexpected")
			}
			return errors.New("ended")
		})
		Expect(duty(context.Background())).To(MatchError("ended"))
		Expect(runs).To(Equal(4))
		Expect(g.Total()).To(Equal(uint64(3)))
		Expect(strings.Count(written(), "guard_test.go")).To(BeNumerically(">", 0))
		Expect(strings.Count(out.String(), "[running]")).To(Equal(1))
	})

	It("gives up when a duty panics again and again", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for range 5 {
			Expect(g.Watch(ended())).To(Succeed())
			Expect(g.Do("round", func() { panic("unexpected") })).To(BeTrue())
		}
		Expect(g.Watch(ctx)).To(MatchError(guard.ErrTooManyPanics))
	})

	// A caller or a peer whose requests or messages panic could end one process after the other.
	It("does not give up for messages and requests", func() {
		for range 20 {
			g.Try("message", func() { panic("unexpected") })
			g.RecordPanic("request", "unexpected")
		}
		Expect(g.Total()).To(Equal(uint64(40)))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(g.Watch(ctx)).To(Succeed())
	})

	It("does not run a duty again once it is to end", func() {
		Expect(g.Duty("peers", func(context.Context) error { panic("unexpected") })(ended())).To(Succeed())
	})
})

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
