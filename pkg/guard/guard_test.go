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

// Guards against one unexpected value ending a router and every stream that it carries.
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

	It("restarts a duty after a panic and logs its stack once", func() {
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

	It("reports an error when a duty panics too often", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for range 5 {
			Expect(g.Watch(cancelledContext())).To(Succeed())
			Expect(g.Do("round", func() { panic("unexpected") })).To(BeTrue())
		}
		Expect(g.Watch(ctx)).To(MatchError(guard.ErrTooManyPanics))
	})

	// Guards against a caller or a peer ending one process after another with requests or messages that cause panics.
	It("reports no error for panics of messages and requests", func() {
		for range 20 {
			g.Try("message", func() { panic("unexpected") })
			g.RecordPanic("request", "unexpected")
		}
		Expect(g.Total()).To(Equal(uint64(40)))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(g.Watch(ctx)).To(Succeed())
	})

	It("does not restart a duty after its context has ended", func() {
		Expect(g.Duty("peers", func(context.Context) error { panic("unexpected") })(cancelledContext())).To(Succeed())
	})
})

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
