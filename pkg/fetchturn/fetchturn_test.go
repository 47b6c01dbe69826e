package fetchturn_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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

	// Guards against turns by a view from before a suspend.
	It("gives no turns after a suspend until it has received announcements", func() {
		c := newCoordinator("a", "b")
		c.in.Demand = map[string]float64{"a": 9, "b": 9}
		c.fetch(now, now, "u1", "a", false)
		c.Round(now)
		at := now.Add(7 * time.Second)
		c.Round(at)
		Expect(c.ask(at, "u2", "b")["u2"].Reason).To(Equal(fetchturn.ReasonStarting))
		Expect(c.Status(at, c.in).InProgress).To(Equal(1))
		c.Round(at.Add(time.Second))
		Expect(c.ask(at.Add(time.Second), "u2", "b")["u2"].Turn).To(Equal("b"))
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

	// Guards against a model that is never fetched because the upstream that routers have chosen for it is busy or has no
	// room.
	It("offers a model that many requests wait for and no upstream asks for", func() {
		c := newCoordinator("a", "b")
		c.in.Demand = map[string]float64{"a": 18, "b": 18}
		c.in.Upstreams = []catalog.Upstream{{ID: "u1"}, {ID: "u2", OnDisk: []string{"b"}}}
		for ms := 0; ms < 3000; ms += 500 {
			_, _, ok := c.Offer(now.Add(time.Duration(ms)*time.Millisecond), c.in)
			Expect(ok).To(BeFalse())
		}
		_, model, ok := c.Offer(now.Add(3*time.Second), c.in)
		Expect(ok).To(BeTrue())
		Expect(model).To(Equal("a"))
		c.ask(now.Add(6*time.Second), "u1", "a")
		_, _, ok = c.Offer(now.Add(6*time.Second), c.in)
		Expect(ok).To(BeFalse())
	})
})
