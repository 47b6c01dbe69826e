package follow_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "follow")
}

// answer is the result of one call to the source.
type answer struct {
	objects  []platform.Object
	revision uint64
	err      error
	hangs    bool // the call returns only when its context ends
	delay    time.Duration
}

type source struct {
	mu      sync.Mutex
	answers []answer
	calls   []string
	times   []time.Time        // of the calls
	polls   []time.Duration    // long polls of the watches
	starts  []boottime.Instant // of the calls
}

func (s *source) next(ctx context.Context, call string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	s.calls, s.times, s.starts = append(s.calls, call), append(s.times, time.Now()), append(s.starts, boottime.Now())
	if len(s.answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	if a.hangs {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(a.delay):
	}
	return a.objects, a.revision, a.err
}

func (s *source) List(ctx context.Context, _ string) ([]platform.Object, uint64, error) {
	return s.next(ctx, "list")
}

func (s *source) Watch(ctx context.Context, _ string, since uint64, longPoll time.Duration) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	s.polls = append(s.polls, longPoll)
	s.mu.Unlock()
	return s.next(ctx, "watch "+string(rune('0'+since)))
}

// runFollower runs a follower until the source's answers are used up and returns the calls to its handler.
func runFollower(s *source) []string { return runFollowerWith(s, 50*time.Millisecond) }

// runFollowerWith is runFollower with another long poll.
func runFollowerWith(s *source, longPoll time.Duration) []string {
	var mu sync.Mutex
	var got []string
	record := func(what string) func([]platform.Object) {
		return func(objects []platform.Object) {
			mu.Lock()
			defer mu.Unlock()
			call := what
			for _, o := range objects {
				call += " " + o.Name
			}
			got = append(got, call)
		}
	}
	h := follow.Handler{Listed: record("listed"), Changed: record("changed"), Recovered: func() { record("recovered")(nil) }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow.New(s, "k", follow.Options{LongPollDuration: longPoll}, h, eventlog.New(io.Discard, "r", "vm")).Run(ctx)
	}()
	Eventually(func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.answers)
	}, "5s").Should(BeZero())
	Eventually(func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.calls)
	}, "5s").Should(BeNumerically(">", 1))
	cancel()
	<-done
	mu.Lock()
	defer mu.Unlock()
	return got
}

func oneObject(name string) []platform.Object { return []platform.Object{{Name: name}} }

var _ = Describe("following a kind", func() {
	It("lists once and continues watching from each revision", func() {
		s := &source{answers: []answer{{objects: oneObject("a"), revision: 3}, {objects: oneObject("b"), revision: 5}, {revision: 5}, {objects: oneObject("c"), revision: 6}}}
		Expect(runFollower(s)).To(Equal([]string{"listed a", "changed b", "changed c"}))
		Expect(s.calls[:4]).To(Equal([]string{"list", "watch 3", "watch 5", "watch 5"}))
	})

	// Guards against processes that start while the store is unresponsive and wait for their first call to time out:
	// the store recovered after 0.7 s, the calls timed out after 2.5 s, and 400 callers were refused meanwhile
	// (vanstops-large, trouble-1).
	It("does not wait for a first call that gets no reply", func() {
		s := &source{answers: []answer{{hangs: true}, {hangs: true}, {revision: 7}}}
		startedAt := time.Now()
		Expect(runFollower(s)[0]).To(Equal("listed"))
		Expect(s.calls[:3]).To(Equal([]string{"list", "list", "list"}))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second))
	})

	It("uses the result of the first call if the store is slow", func() {
		s := &source{answers: []answer{{revision: 7, delay: 500 * time.Millisecond}, {hangs: true}, {revision: 8}}}
		Expect(runFollower(s)[0]).To(Equal("listed"))
		Expect(s.calls[:2]).To(Equal([]string{"list", "list"}))
	})

	It("lists again when the history is compacted", func() {
		s := &source{answers: []answer{{revision: 3}, {err: store.ErrCompacted}, {objects: oneObject("a"), revision: 9}}}
		Expect(runFollower(s)).To(Equal([]string{"listed", "listed a"}))
	})

	// Guards against a tight loop of listing and watching, seen every 30 ms, when stale listings are older than the
	// remaining history (decals-grown, scale-2).
	It("backs off when the history is compacted repeatedly", func() {
		compacted := answer{err: store.ErrCompacted}
		s := &source{answers: []answer{{revision: 3}, compacted, {revision: 3}, compacted, {revision: 3}, compacted, {revision: 3}, compacted, {revision: 9}}}
		startedAt := time.Now()
		Expect(runFollower(s)).To(Equal([]string{"listed", "listed", "listed", "listed", "listed"}))
		Expect(time.Since(startedAt)).To(BeNumerically(">", time.Second)) // 200, 400 and 800 ms
	})

	It("continues watching from the same revision after a failure, without a new listing", func() {
		s := &source{answers: []answer{{revision: 3}, {err: errors.New("reset")}, {objects: oneObject("a"), revision: 4}}}
		Expect(runFollower(s)).To(Equal([]string{"listed", "changed a"}))
		Expect(s.calls[2]).To(Equal("watch 3"))
	})

	// Guards against asking again and again for changes that cannot be read, such as many versions of a large configuration:
	// a router used an old version for up to 16 s.
	It("lists again after changes that cannot be read", func() {
		s := &source{answers: []answer{{revision: 3}, {err: fmt.Errorf("watch: %w", store.ErrUnreadable)}, {objects: oneObject("a"), revision: 9}}}
		Expect(runFollower(s)).To(Equal([]string{"listed", "listed a"}))
	})

	// Guards against waiting for ever on an open connection that stops responding, which only a timeout detects.
	It("cancels a watch that gets no reply and watches again", func() {
		s := &source{answers: []answer{{revision: 3}, {hangs: true}, {objects: oneObject("a"), revision: 4}}}
		Expect(runFollower(s)).To(Equal([]string{"listed", "changed a"}))
	})

	// Guards against a retry delay on top of the timeout of a call without a reply: a router then noticed the end of an
	// outage too late to drain an upstream in time.
	It("calls again at once after a call without a reply that took longer than the retry delay", func() {
		hangs := answer{hangs: true}
		s := &source{answers: []answer{{revision: 3}, hangs, hangs, hangs, hangs, hangs, hangs, {objects: oneObject("a"), revision: 4}}}
		Expect(runFollower(s)).To(Equal([]string{"listed", "recovered", "changed a"}))
		least := time.Minute // of the intervals after a mean retry delay of 0.4 s, since other load may extend them
		for i := 5; i <= 7; i++ {
			least = min(least, s.times[i].Sub(s.times[i-1]))
		}
		const callTimeout = 750 * time.Millisecond // of the long poll and its margin
		Expect(least).To(BeNumerically("<", callTimeout+150*time.Millisecond))
	})

	// Guards against a long poll that began in an outage and ends by its timeout seconds after it.
	It("shortens the long poll until a call succeeds", func() {
		failed := answer{err: errors.New("down")}
		s := &source{answers: []answer{{revision: 3}, failed, failed, {objects: oneObject("a"), revision: 4}, {objects: oneObject("b"), revision: 5}}}
		Expect(runFollowerWith(s, 3*time.Second)).To(Equal([]string{"listed", "changed a", "changed b"}))
		Expect(s.polls[:4]).To(Equal([]time.Duration{3 * time.Second, time.Second, time.Second, 3 * time.Second}))
	})

	It("reports the recovery of the store after an outage before the objects read", func() {
		failed := answer{err: errors.New("down")}
		s := &source{answers: []answer{{revision: 3}, failed, failed, failed, failed, failed, failed, {objects: oneObject("a"), revision: 4}}}
		Expect(runFollower(s)).To(Equal([]string{"listed", "recovered", "changed a"}))
	})
})

// Guards against an invalid entry or configuration that replaces a valid one.
var _ = Describe("decoded objects", func() {
	log := eventlog.New(io.Discard, "entry", "vm")
	bad := platform.Object{Name: "u1", Spec: []byte("{")}

	It("ignores invalid configurations", func() {
		var versions []uint64
		h := follow.Configs(log, func(c *catalog.Config, revision uint64) { versions = append(versions, c.Version, revision) })
		h.Changed([]platform.Object{
			{Name: platform.NameConfig, Spec: []byte("{")},
			{Name: "other", Spec: []byte(`{"version":1}`)},
			{Name: platform.NameConfig, Deleted: true},
			{Name: platform.NameConfig, Revision: 9, Spec: []byte(`{"version":3}`)},
		})
		Expect(versions).To(Equal([]uint64{3, 9}))
	})

	It("ignores invalid entries of upstreams and reports removed ones", func() {
		var seen []string
		h := follow.Upstreams(log, follow.UpstreamHandler{
			Listed:  func(all []catalog.Upstream) { seen = append(seen, fmt.Sprint("listed ", len(all))) },
			Put:     func(u catalog.Upstream, _ uint64) { seen = append(seen, "put "+u.ID) },
			Removed: func(id string, _ uint64) { seen = append(seen, "removed "+id) },
		})
		good := platform.Object{Name: "u2", Spec: []byte(`{"service":"llm","address":"10.0.0.1:1","state":"ready"}`)}
		h.Listed([]platform.Object{bad, good})
		h.Changed([]platform.Object{bad, good, {Name: "u2", Deleted: true}})
		Expect(seen).To(Equal([]string{"listed 1", "put u2", "removed u2"}))
	})
})

// Guards against a wait between two reads that goes on although a change is needed at once.
var _ = Describe("a follower that is told to hurry", func() {
	DescribeTable("reads the next change", func(hurry bool) {
		s := &source{answers: []answer{{revision: 1}, {objects: []platform.Object{{Name: "a"}}, revision: 2}, {objects: []platform.Object{{Name: "b"}}, revision: 3}}}
		changed, wanted := make(chan string, 2), make(chan struct{}, 1)
		h := follow.Handler{Listed: func([]platform.Object) {}, Changed: func(objects []platform.Object) { changed <- objects[0].Name }}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			follow.New(s, "k", follow.Options{LongPollDuration: 50 * time.Millisecond, ChangeDelay: time.Hour, Hurry: wanted}, h, eventlog.New(io.Discard, "r", "vm")).Run(ctx)
		}()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(changed, "5s").Should(Receive(Equal("a")))
		if !hurry {
			Consistently(changed, "300ms").ShouldNot(Receive())
			return
		}
		wanted <- struct{}{}
		Eventually(changed, "5s").Should(Receive(Equal("b")))
	},
		Entry("at once", true),
		Entry("after the delay if it is not", false),
	)
})
