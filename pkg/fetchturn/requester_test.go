package fetchturn_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

var _ = Describe("estimator", func() {
	// run fetches at the given times at a store that serves k at full speed, and returns the estimator and the time of the
	// last end.
	run := func(k int, starts ...time.Duration) (*fetchturn.Estimator, time.Time) {
		var e fetchturn.Estimator
		left := map[int]time.Duration{}
		const step = 10 * time.Millisecond
		for at := time.Duration(0); ; at += step {
			for id := range left {
				left[id] -= step * time.Duration(min(len(left), k)) / time.Duration(len(left))
			}
			for id, l := range left {
				if l <= 0 {
					delete(left, id)
					e.End(now.Add(at), fmt.Sprint(id), true)
				}
			}
			for id, start := range starts {
				if start == at {
					left[id] = fullSpeed
					e.Begin(now.Add(at), fmt.Sprint(id), fmt.Sprint("m", id), fullSpeed, 0)
				}
			}
			if len(left) == 0 && at > starts[len(starts)-1] {
				return &e, now.Add(at)
			}
		}
	}

	DescribeTable("learns the store's concurrency from durations",
		func(k int, starts []time.Duration, limit, proven int) {
			e, end := run(k, starts...)
			Expect(e.Limit(end)).To(Equal(limit))
			Expect(e.Proven(end)).To(Equal(proven))
			Expect(e.Limit(end.Add(4 * time.Minute))).To(BeZero())
			Expect(e.Proven(end.Add(4 * time.Minute))).To(Equal(1))
		},
		Entry("one alone proves nothing beyond one", 4, []time.Duration{0}, 0, 1),
		Entry("two at a store for one", 1, []time.Duration{0, 0}, 1, 1),
		Entry("four at a store for two", 2, []time.Duration{0, 0, 0, 0}, 2, 2),
		Entry("four at a store for four", 4, []time.Duration{0, 0, 0, 0}, 0, 4),
		Entry("a late second one at a store for one", 1, []time.Duration{0, 6500 * time.Millisecond}, 1, 1),
		Entry("a late second one at a store for two", 2, []time.Duration{0, 6500 * time.Millisecond}, 0, 2),
		Entry("a late third one at a store for two", 2, []time.Duration{0, 0, 6500 * time.Millisecond}, 2, 2),
		Entry("a late third one at a store for four", 4, []time.Duration{0, 0, 6500 * time.Millisecond}, 0, 3),
	)

	It("learns from a fetch in progress as soon as it is slow", func() {
		var e fetchturn.Estimator
		for _, id := range []string{"u1", "u2"} {
			e.Begin(now, id, id, fullSpeed, 0)
		}
		Expect(e.Limit(now.Add(12 * time.Second))).To(BeZero())
		Expect(e.Limit(now.Add(13 * time.Second))).To(Equal(1))
	})

	// Guards against a limit that is learned from a VM that was suspended, or from an engine at half speed.
	It("ignores a slow fetch beside others at full speed", func() {
		var e fetchturn.Estimator
		for _, id := range []string{"u1", "u2", "u3"} {
			e.Begin(now, id, id, fullSpeed, 0)
		}
		e.End(now.Add(fullSpeed), "u1", true)
		e.End(now.Add(fullSpeed), "u2", true)
		Expect(e.Proven(now.Add(fullSpeed))).To(Equal(3))
		Expect(e.Limit(now.Add(15 * time.Second))).To(BeZero())
		e.End(now.Add(2*fullSpeed), "u3", true)
		Expect(e.Limit(now.Add(2 * fullSpeed))).To(BeZero())
		Expect(e.Proven(now.Add(2 * fullSpeed))).To(Equal(3))
	})

	// Guards against a limit of one that is learned from an engine that loads slowly by itself.
	It("ignores a slow fetch without others, and one that was known late", func() {
		var e fetchturn.Estimator
		e.Begin(now, "u1", "a", fullSpeed, 0)
		e.End(now.Add(2*fullSpeed), "u1", true)
		e.Begin(now.Add(2*fullSpeed), "u2", "b", fullSpeed, 5*time.Second)
		e.Begin(now.Add(2*fullSpeed), "u3", "c", fullSpeed, 0)
		e.End(now.Add(4*fullSpeed), "u2", true)
		Expect(e.Limit(now.Add(2*fullSpeed + time.Second))).To(BeZero())
	})
})

var _ = Describe("requester", func() {
	var (
		q    *fetchturn.Requester
		boot = boottime.Instant(time.Hour)
		both = []string{"r0", "r1"}
		want = fetchturn.Request{Upstream: "u1", Wants: []placement.Want{{Model: "a"}}}
	)
	BeforeEach(func() { q = fetchturn.NewRequester(7) })
	at := func(ms int) boottime.Instant { return boot.Add(time.Duration(ms) * time.Millisecond) }
	// next returns the addresses to which requests are sent from one time to another, and the last number.
	next := func(from, to int, r fetchturn.Request) (out []string, seq uint64) {
		for ms := from; ms <= to; ms += 10 {
			for _, s := range q.Next(at(ms), r, both) {
				out, seq = append(out, s.Address), s.Request.Seq
			}
		}
		return out, seq
	}

	// Guards against a failover because of one lost datagram, and against a sidecar that waits for a coordinator that is gone.
	It("repeats a request, asks the second rank after 0.4 s and decides alone after 0.4 s more", func() {
		Expect(q.Rank(at(0))).To(Equal(0), "it has not asked yet")
		out, _ := next(0, 390, want)
		Expect(out).To(Equal([]string{"r0", "r0", "r0", "r0"}))
		Expect(q.Rank(at(390))).To(Equal(0))
		out, _ = next(400, 790, want)
		Expect(out).To(ContainElement("r1"))
		Expect(q.Rank(at(790))).To(Equal(1))
		next(800, 810, want)
		Expect(q.Rank(at(810))).To(Equal(2))
		out, seq := next(820, 1900, want) // the first rank is still asked
		Expect(out).To(ContainElement("r0"))
		for ; seq > 0 && q.Rank(at(1900)) != 0; seq-- {
			q.Receive(at(1900), fetchturn.Answer{Coordinator: "r0", Seq: seq})
		}
		Expect(q.Rank(at(1900))).To(Equal(0), "it returns to the first rank with its answer")
	})

	It("counts the validity of a turn from its request, and ignores late and unknown answers", func() {
		_, seq := next(0, 0, want)
		Expect(q.Receive(at(100), fetchturn.Answer{Seq: seq + 1, Turn: "a"})).To(BeFalse())
		Expect(q.Receive(at(100), fetchturn.Answer{Seq: seq, Turn: "a"})).To(BeTrue())
		Expect(q.Turn(at(999))).To(Equal("a"))
		Expect(q.Turn(at(1000))).To(BeEmpty())
		Expect(q.Receive(at(1000), fetchturn.Answer{Seq: seq, Turn: "a"})).To(BeFalse())
		Expect(q.Turn(at(1000))).To(BeEmpty())
	})

	It("loses the turn with a refusal by the same coordinator and with its use", func() {
		_, seq := next(0, 0, want)
		q.Receive(at(10), fetchturn.Answer{Seq: seq, Turn: "a"})
		q.Use()
		Expect(q.Turn(at(20))).To(BeEmpty())
		_, seq = next(520, 520, want)
		q.Receive(at(530), fetchturn.Answer{Seq: seq, Turn: "a"})
		q.Receive(at(540), fetchturn.Answer{Seq: seq, Reason: fetchturn.ReasonBehind})
		Expect(q.Turn(at(540))).To(BeEmpty())
	})

	// Guards against a sidecar that decides alone after a suspend although the answers lie in its socket.
	It("does not count the time of a suspend as an unanswered request", func() {
		next(0, 100, want)
		next(20_000, 20_000, want)
		Expect(q.Rank(at(20_010))).To(Equal(0))
	})

	It("keeps an offer for a while", func() {
		q.Receive(at(0), fetchturn.Answer{Offer: "b"})
		Expect(q.Offer(at(1999))).To(Equal("b"))
		Expect(q.Offer(at(2000))).To(BeEmpty())
	})

	It("announces a fetch to both ranks at once and every 0.5 s, and its end", func() {
		fetching := fetchturn.Request{Upstream: "u1", Fetch: &fetchturn.Fetch{Model: "a"}}
		out, _ := next(0, 900, fetching)
		Expect(out).To(Equal([]string{"r0", "r1", "r0", "r1"}))
		out, _ = next(910, 910, fetchturn.Request{Upstream: "u1", Ended: &fetchturn.Ended{Model: "a"}})
		Expect(out).To(Equal([]string{"r0", "r1"}))
	})
})

var _ = Describe("tracker", func() {
	holds := func(loaded bool) func(string) bool { return func(string) bool { return loaded } }

	// Guards against a second fetch of a model whose order has no answer and is carried out later.
	It("counts an order without an answer as in progress until the report shows otherwise", func() {
		var t fetchturn.Tracker
		t.Order(now, "a", "i1", 5)
		t.Unanswered()
		t.Report(now.Add(10*time.Second), "i1", 5, false, holds(false))
		f, _ := t.State(now.Add(10 * time.Second))
		Expect(f).To(Equal(&fetchturn.Fetch{Model: "a", AgeMS: 10_000, Unconfirmed: true}))
		t.Order(now.Add(10*time.Second), "a", "i1", 5)
		t.Rejected() // because the engine has accepted the first one meanwhile
		t.Report(now.Add(11*time.Second), "i1", 6, true, holds(false))
		f, _ = t.State(now.Add(11 * time.Second))
		Expect(f.Unconfirmed).To(BeFalse())
		t.Report(now.Add(24*time.Second), "i1", 6, false, holds(true))
		f, ended := t.State(now.Add(24 * time.Second))
		Expect(f).To(BeNil())
		Expect(ended.Loaded).To(BeTrue())
	})

	It("forgets it when the engine restarts, has accepted another order, or can no longer carry it out", func() {
		for _, change := range []func(*fetchturn.Tracker){
			func(t *fetchturn.Tracker) { t.Report(now, "i2", 0, true, holds(false)) },
			func(t *fetchturn.Tracker) { t.Accepted(now, "", 5) },
			func(t *fetchturn.Tracker) { t.Report(now.Add(14*time.Second), "i1", 5, false, holds(false)) },
		} {
			var t fetchturn.Tracker
			t.Order(now, "a", "i1", 5)
			t.Unanswered()
			change(&t)
			f, _ := t.State(now)
			Expect(f).To(BeNil())
		}
	})
})
