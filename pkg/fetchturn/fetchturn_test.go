package fetchturn_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

func TestFetchturn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fetchturn")
}

const fullSpeed = 10 * time.Second

var now = time.Unix(1000, 0)

// coordinator is a queue with its inputs and the numbers of the requests that it has received.
type coordinator struct {
	*fetchturn.Queue
	in  fetchturn.Inputs
	seq uint64
}

func newCoordinator(models ...string) *coordinator {
	c := &coordinator{Queue: fetchturn.NewQueue(now.Add(-time.Minute), 4), in: fetchturn.Inputs{Self: "c", Models: map[string]catalog.Model{}, Demand: map[string]float64{}, Rates: map[string]float64{}}}
	for _, m := range models {
		c.in.Models[m] = catalog.Model{Name: m, FetchTime: fullSpeed}
	}
	return c
}

// ask sends the upstream's request for the models and returns the answers by upstream.
func (c *coordinator) ask(at time.Time, upstream string, models ...string) map[string]fetchturn.Answer {
	c.seq++
	r := &fetchturn.Request{Upstream: upstream, Seq: c.seq}
	for _, m := range models {
		r.Wants = append(r.Wants, placement.Want{Model: m})
	}
	c.Receive(at, c.in, r)
	out := map[string]fetchturn.Answer{}
	for _, a := range c.Grant(at, c.in, upstream) {
		out[a.Upstream] = a
	}
	return out
}

func (c *coordinator) announce(at time.Time, upstream string, f *fetchturn.Fetch, e *fetchturn.Ended) {
	c.seq++
	c.Receive(at, c.in, &fetchturn.Request{Upstream: upstream, Seq: c.seq, Fetch: f, Ended: e})
}

// fetch announces a fetch from its start to at, and its end at at if it is loaded then.
func (c *coordinator) fetch(start, at time.Time, upstream, model string, loaded bool) {
	c.announce(start, upstream, &fetchturn.Fetch{Model: model}, nil)
	if loaded {
		c.announce(at, upstream, nil, &fetchturn.Ended{Model: model, DurationMS: at.Sub(start).Milliseconds(), Loaded: true})
		return
	}
	c.announce(at, upstream, &fetchturn.Fetch{Model: model, AgeMS: at.Sub(start).Milliseconds()}, nil)
}

var _ = Describe("queue", func() {
	// Guards against the order of arrival: a rare model whose request came first was fetched before one that refused six
	// requests per second.
	It("gives the first turn to the model with the most demand for each second of its fetch", func() {
		c := newCoordinator("rare", "hot", "long")
		c.in.Demand = map[string]float64{"rare": 1, "hot": 5, "long": 8}
		c.in.Models["long"] = catalog.Model{Name: "long", FetchTime: 2 * fullSpeed}
		c.Delay(now.Add(-time.Second))
		c.ask(now.Add(-500*time.Millisecond), "u1", "rare")
		c.ask(now.Add(-500*time.Millisecond), "u2", "long")
		Expect(c.ask(now.Add(-400*time.Millisecond), "u3", "hot")["u3"].Reason).To(Equal(fetchturn.ReasonStarting))
		answers := c.ask(now, "u1", "rare")
		Expect(answers["u1"].Turn).To(BeEmpty())
		Expect(answers["u1"].Reason).To(Equal(fetchturn.ReasonUnproven))
		Expect(answers["u3"].Turn).To(Equal("hot"))
		Expect(answers["u2"].Turn).To(Equal("long"))
	})

	// Guards against the same model fetched at two engines, which happened twice within 15 s.
	It("gives no second turn for a model that has a turn or is being fetched", func() {
		c := newCoordinator("a")
		c.in.Demand["a"] = 9
		Expect(c.ask(now, "u1", "a")["u1"].Turn).To(Equal("a"))
		Expect(c.ask(now, "u2", "a")["u2"].Reason).To(Equal(fetchturn.ReasonFetching))
		c.announce(now, "u1", &fetchturn.Fetch{Model: "a", Unconfirmed: true}, nil)
		Expect(c.ask(now, "u2", "a")["u2"].Reason).To(Equal(fetchturn.ReasonFetching))
		again := &fetchturn.Request{Upstream: "u1", Seq: 1000, Fetch: &fetchturn.Fetch{Model: "a", Unconfirmed: true}, Wants: []placement.Want{{Model: "a"}}}
		c.Receive(now, c.in, again)
		Expect(c.Grant(now, c.in, "u1")).To(ConsistOf(HaveField("Turn", "a")), "the same order may be repeated")
		c.seq = 1000
		c.announce(now.Add(time.Second), "u1", nil, nil)
		Expect(c.ask(now.Add(time.Second), "u2", "a")["u2"].Turn).To(Equal("a"))
	})

	It("gives a turn to another upstream once the first no longer asks, and soon after if it does not start", func() {
		c := newCoordinator("a")
		c.in.Demand["a"] = 9
		c.ask(now, "u1", "a")
		Expect(c.ask(now.Add(1400*time.Millisecond), "u2", "a")["u2"].Turn).To(BeEmpty())
		Expect(c.ask(now.Add(1600*time.Millisecond), "u2", "a")["u2"].Turn).To(Equal("a"))
		for i := range 14 { // u2 repeats its request, but does not start
			c.ask(now.Add(1600*time.Millisecond+time.Duration(i)*500*time.Millisecond), "u2", "a")
		}
		Expect(c.ask(now.Add(8200*time.Millisecond), "u2", "a")["u2"].Reason).To(Equal(fetchturn.ReasonUnused))
		Expect(c.ask(now.Add(8200*time.Millisecond), "u3", "a")["u3"].Turn).To(Equal("a"))
	})

	// Guards against 12 fetches at a time at a store that serves one: none ended in time.
	It("starts a fetch beyond the proven concurrency only for a demand as large as that of those in progress", func() {
		c := newCoordinator("a", "b", "c", "d", "e")
		c.in.Demand = map[string]float64{"a": 5, "b": 4, "c": 4.5, "d": 5, "e": 6}
		c.fetch(now, now, "u1", "a", false)
		Expect(c.ask(now, "u2", "b")["u2"].Turn).To(Equal("b"), "fewer than two are in progress")
		c.fetch(now, now, "u2", "b", false)
		Expect(c.ask(now, "u3", "c")["u3"].Reason).To(Equal(fetchturn.ReasonUnproven))
		Expect(c.ask(now, "u4", "d")["u4"].Turn).To(Equal("d"))
		Expect(c.ask(now, "u5", "e")["u5"].Turn).To(Equal("e"))
		c.in.Models["f"], c.in.Demand["f"] = catalog.Model{FetchTime: fullSpeed}, 9
		Expect(c.ask(now, "u6", "f")["u6"].Reason).To(Equal(fetchturn.ReasonStoreBusy), "--load-parallel bounds the unproven case")
	})

	// Guards against a rare model whose fetch keeps a store that serves one at a time busy for two fetch times.
	It("starts a second fetch of a rarely requested model only near the end of the first", func() {
		c := newCoordinator("a", "b")
		c.in.Demand = map[string]float64{"a": 0.5, "b": 0.5}
		c.fetch(now, now.Add(2*time.Second), "u1", "a", false)
		Expect(c.ask(now.Add(2*time.Second), "u2", "b")["u2"].Turn).To(BeEmpty())
		c.fetch(now, now.Add(6600*time.Millisecond), "u1", "a", false)
		Expect(c.ask(now.Add(6600*time.Millisecond), "u2", "b")["u2"].Turn).To(Equal("b"))
	})

	It("preloads models behind those that requests wait for and at most two at a time", func() {
		c := newCoordinator("a", "b", "c", "d")
		c.fetch(now, now.Add(fullSpeed), "u0", "a", true)
		for i := range 3 { // three at full speed
			c.in.Models[fmt.Sprint("v", i)] = catalog.Model{FetchTime: fullSpeed}
			c.announce(now.Add(fullSpeed), fmt.Sprint("v", i), &fetchturn.Fetch{Model: fmt.Sprint("v", i)}, nil)
		}
		at := now.Add(2 * fullSpeed)
		for i := range 3 {
			c.announce(at, fmt.Sprint("v", i), nil, &fetchturn.Ended{Model: fmt.Sprint("v", i), DurationMS: fullSpeed.Milliseconds(), Loaded: true})
		}
		Expect(c.Estimator.Proven(at)).To(Equal(3))
		for i, m := range []string{"a", "b", "c"} {
			answer := c.ask(at, fmt.Sprint("u", i), m)[fmt.Sprint("u", i)]
			Expect(answer.Turn != "").To(Equal(i < 2))
			if i == 2 {
				Expect(answer.Reason).To(Equal(fetchturn.ReasonPreloads))
			}
		}
		c.in.Demand["d"] = 1
		Expect(c.ask(at, "u9", "d")["u9"].Turn).To(Equal("d"))
	})

	// Guards against a restarted sidecar beside an engine that goes on fetching: its fetch no longer counted.
	It("keeps a fetch in progress while a restarted sidecar finds its engine busy", func() {
		c := newCoordinator("a")
		c.in.Demand["a"] = 9
		c.fetch(now, now, "u1", "a", false)
		for i := range 10 {
			c.seq++
			c.Receive(now.Add(time.Duration(i)*time.Second), c.in, &fetchturn.Request{Upstream: "u1", Seq: c.seq, Busy: true})
		}
		Expect(c.ask(now.Add(9*time.Second), "u2", "a")["u2"].Reason).To(Equal(fetchturn.ReasonFetching))
		Expect(c.ask(now.Add(14*time.Second), "u2", "a")["u2"].Turn).To(Equal("a"))
	})

	It("ignores repeated and overtaken messages", func() {
		c := newCoordinator("a")
		old := &fetchturn.Request{Upstream: "u1", Seq: 4}
		c.seq = 4
		c.fetch(now, now, "u1", "a", false)
		Expect(c.Receive(now, c.in, old)).To(BeFalse())
		Expect(c.Status(now, c.in).InProgress).To(Equal(1))
	})

	It("expects loads by the order of the queue, the learned concurrency and the age of the fetch in progress", func() {
		c := newCoordinator("a", "b", "c", "d", "e")
		c.in.Demand = map[string]float64{"c": 3, "d": 2, "e": 1}
		c.fetch(now, now.Add(20*time.Second), "u1", "a", false) // two share a store that serves one
		c.fetch(now, now.Add(20*time.Second), "u2", "b", true)
		c.announce(now.Add(20*time.Second), "u1", nil, &fetchturn.Ended{Model: "a", DurationMS: 20000, Loaded: true})
		at := now.Add(24 * time.Second)
		c.fetch(at.Add(-4*time.Second), at, "u3", "c", false)
		c.ask(at, "u4", "e")
		c.ask(at, "u5", "d")
		Expect(c.Expected(at, c.in)).To(Equal([]fetchturn.Expectation{{Model: "c", MS: 6000}, {Model: "d", MS: 16000}, {Model: "e", MS: 26000}}))
	})

	// Guards against the loss of the only copy of a model that is requested often: 200 requests were refused after it.
	It("offers a second copy of the most requested model while the store is idle", func() {
		c := newCoordinator("a", "b", "c")
		c.in.Rates = map[string]float64{"a": 2, "b": 6, "c": 0.9}
		c.in.Upstreams = []catalog.Upstream{{ID: "u1", Models: []catalog.Resident{{Model: "b"}}}, {ID: "u2"}, {ID: "u3"}}
		first, model, ok := c.Offer(now, c.in)
		Expect(ok).To(BeTrue())
		Expect(model).To(Equal("b"))
		second, _, ok := c.Offer(now.Add(2*time.Second), c.in)
		Expect(ok).To(BeTrue())
		Expect([]string{first, second}).To(ConsistOf("u2", "u3"), "the first may have no room")
		c.ask(now.Add(4*time.Second), "u2", "c")
		_, _, ok = c.Offer(now.Add(4*time.Second), c.in)
		Expect(ok).To(BeFalse(), "the store is not idle")
		c.in.Rates = map[string]float64{"c": 0.9}
		_, _, ok = c.Offer(now.Add(time.Minute), c.in)
		Expect(ok).To(BeFalse())
	})
})

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
		out, _ := next(0, 390, want)
		Expect(out).To(Equal([]string{"r0", "r0", "r0"}))
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
