package fetchturn_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	tick = 50 * time.Millisecond
	// planTicks is the number of ticks between two decisions of a sidecar.
	planTicks = 8
	// viewAge is the age of the list and the routers' reports that sidecars decide on.
	viewAge = 1500 * time.Millisecond
)

// replay plays engines with their sidecars at a weight store that serves capacity fetches at full speed.
type replay struct {
	capacity int
	models   map[string]catalog.Model
	demand   map[string]float64
	turns    bool
	nodes    []*node
	at       time.Duration
	inFlight []datagram
	// loss is the share of lost datagrams, and late that of datagrams which arrive 1.2 s late.
	loss, late float64
	random     *rand.Rand
	views      []view // one for each tick
	routers    fetchturn.Estimator
	urgent     map[string]int                  // demand as routers report it
	assigned   map[string]placement.Assignment // upstreams that routers request the models of
	ranks      []string
	// loadedAt is when each model was first loaded, twice the models fetched at two engines at a time, and most the largest
	// number of fetches at a time.
	loadedAt map[string]time.Duration
	twice    []string
	most     int
}

type view struct {
	upstreams []catalog.Upstream
	fetching  []string
}

type node struct {
	up        catalog.Upstream
	requester *fetchturn.Requester
	queue     *fetchturn.Queue
	tracker   fetchturn.Tracker
	left      time.Duration // of the fetch in progress
	model     string
	wants     []placement.Want
	inbox     []datagram // while frozen
	// The sidecar ends at endAt, is frozen from freezeAt to thawAt, and is cut off from the others from cutAt on; 0 is
	// never. ranks replaces its view of the ranks.
	endAt, freezeAt, thawAt, cutAt time.Duration
	ranks                          []string
}

func (n *node) ended(at time.Duration) bool  { return n.endAt > 0 && at >= n.endAt }
func (n *node) cutOff(at time.Duration) bool { return n.cutAt > 0 && at >= n.cutAt }
func (n *node) frozen(at time.Duration) bool {
	return n.freezeAt > 0 && at >= n.freezeAt && (n.thawAt == 0 || at < n.thawAt)
}

type datagram struct {
	due     time.Duration
	from    *node
	to      string
	request *fetchturn.Request
	answer  *fetchturn.Answer
}

func newReplay(capacity, engines int, fetchTime time.Duration, turns bool, models ...string) *replay {
	r := &replay{capacity: capacity, models: map[string]catalog.Model{}, demand: map[string]float64{}, turns: turns, loadedAt: map[string]time.Duration{}, random: rand.New(rand.NewPCG(1, 2))}
	for _, m := range models {
		r.models[m] = catalog.Model{Name: m, SizeMB: 60, FetchTime: fetchTime}
	}
	for i := range engines {
		id := fmt.Sprintf("u%02d", i)
		r.nodes = append(r.nodes, &node{
			up:        catalog.Upstream{ID: id, Address: id, Service: "llm"},
			requester: fetchturn.NewRequester(1), queue: fetchturn.NewQueue(now.Add(-time.Minute), 4),
		})
	}
	return r
}

func (r *replay) upstreams() (out []catalog.Upstream) {
	for _, n := range r.nodes {
		out = append(out, n.up)
	}
	return out
}

func (r *replay) time() time.Time        { return now.Add(r.at) }
func (r *replay) boot() boottime.Instant { return boottime.Instant(time.Hour).Add(r.at) }

// rank returns the sidecar of the given rank.
func (r *replay) rank(i int) *node {
	address := fetchturn.Ranks("llm", r.upstreams())[i]
	return r.nodes[slices.IndexFunc(r.nodes, func(n *node) bool { return n.up.Address == address })]
}

func (r *replay) send(d datagram) {
	p := r.random.Float64()
	d.due = r.at + tick
	if d.to == d.from.up.Address {
		d.due = r.at
	} else if p < r.loss || d.from.cutOff(r.at) {
		return
	} else if p < r.loss+r.late {
		d.due = r.at + 1200*time.Millisecond
	}
	r.inFlight = append(r.inFlight, d)
}

func (r *replay) inputs(n *node) fetchturn.Inputs {
	return fetchturn.Inputs{Self: n.up.Address, Models: r.models, Demand: r.demand, Upstreams: r.views[0].upstreams}
}

func (r *replay) answer(n *node, answers []fetchturn.Answer) {
	for _, a := range answers {
		r.send(datagram{from: n, to: a.Upstream, answer: &a})
	}
}

func (r *replay) deliver(n *node, d datagram) {
	if d.answer != nil {
		n.requester.Receive(r.boot(), *d.answer)
		return
	}
	n.queue.Round(r.time())
	if n.queue.Receive(r.time(), r.inputs(n), d.request) && len(d.request.Wants) > 0 {
		r.answer(n, n.queue.Grant(r.time(), r.inputs(n), d.request.Upstream))
	}
}

// step plays one tick.
func (r *replay) step() {
	current := view{upstreams: r.upstreams()}
	busy := map[string]bool{}
	for _, n := range r.nodes {
		if n.model != "" {
			if busy[n.model] {
				r.twice = append(r.twice, n.model)
			}
			busy[n.model] = true
			current.fetching = append(current.fetching, n.model)
			r.routers.Begin(r.time(), n.up.ID, n.model, r.models[n.model].FetchTime, 0)
		}
	}
	r.most = max(r.most, len(current.fetching))
	r.views = append(r.views, current)
	r.views = r.views[max(0, len(r.views)-int(viewAge/tick)):]
	for _, n := range r.nodes {
		if n.model == "" {
			continue
		}
		if n.left -= tick * time.Duration(min(len(current.fetching), r.capacity)) / time.Duration(len(current.fetching)); n.left > 0 {
			continue
		}
		n.up.Models, n.up.Orders = []catalog.Resident{{Model: n.model}}, n.up.Orders+1
		if _, known := r.loadedAt[n.model]; !known {
			r.loadedAt[n.model] = r.at
		}
		n.model = ""
		r.routers.End(r.time(), n.up.ID, true)
	}
	r.urgent = map[string]int{}
	for m, d := range r.demand {
		r.urgent[m] = 1 + int(d)
	}
	r.assigned, _ = placement.Assign(r.models, r.views[0].upstreams, r.urgent)
	r.ranks = fetchturn.Ranks("llm", r.views[0].upstreams)
	due := slices.Clone(r.inFlight)
	r.inFlight = nil
	for _, d := range due {
		if d.due > r.at {
			r.inFlight = append(r.inFlight, d)
			continue
		}
		for _, n := range r.nodes {
			if n.up.Address != d.to || n.ended(r.at) || n.cutOff(r.at) && n != d.from {
				continue
			}
			if n.frozen(r.at) {
				n.inbox = append(n.inbox, d)
				continue
			}
			r.deliver(n, d)
		}
	}
	for i, n := range r.nodes {
		if n.ended(r.at) || n.frozen(r.at) {
			continue
		}
		n.queue.Round(r.time())
		for _, d := range n.inbox {
			r.deliver(n, d)
		}
		n.inbox = nil
		r.decide(n, (int(r.at/tick)+i)%planTicks == 0)
	}
	r.at += tick
}

// decide lets a sidecar ask for turns and start a fetch.
func (r *replay) decide(n *node, plan bool) {
	seen := r.views[0]
	ranks := n.ranks
	if ranks == nil {
		ranks = r.ranks
	}
	n.tracker.Report(r.time(), n.up.ID, n.up.Orders, n.model != "", n.up.Holds)
	if r.turns {
		request := fetchturn.Request{Upstream: n.up.ID, Service: "llm", Wants: n.wants}
		request.Fetch, request.Ended = n.tracker.State(r.time())
		for _, s := range n.requester.Next(r.boot(), request, ranks) {
			r.send(datagram{from: n, to: s.Address, request: &s.Request})
		}
		if slices.Contains(ranks, n.up.Address) {
			r.answer(n, n.queue.Grant(r.time(), r.inputs(n), ""))
		}
	}
	if !plan || n.model != "" {
		return
	}
	v := placement.View{
		Self: n.up, Upstreams: seen.upstreams, Engine: catalog.Engine{Models: r.models, MemoryMB: 100}, Stable: true, FetchAllowed: true, FetchConcurrency: 4,
		Demand: placement.Demand{Models: map[string]int{}, Urgent: r.urgent, Fetching: seen.fetching, FetchConcurrency: r.routers.Limit(r.time())},
	}
	for m := range r.urgent {
		if r.assigned[m].Upstream == n.up.ID {
			v.Demand.Models[m] = r.urgent[m]
		}
	}
	if r.turns && n.requester.Rank(r.boot()) < 2 {
		v.Turns = &placement.Turns{Model: n.requester.Turn(r.boot())}
	}
	n.wants = placement.Wants(v, fetchturn.MaxWants)
	if o, _, ok := placement.Plan(v); ok && !o.Unload {
		n.tracker.Order(r.time(), o.Model, n.up.ID, n.up.Orders)
		n.tracker.Accepted(r.time(), o.Model, n.up.Orders)
		n.requester.Use()
		n.model, n.left, n.wants = o.Model, r.models[o.Model].FetchTime, nil
	}
}

// run plays until the given time, or until all models are loaded.
func (r *replay) run(until time.Duration) {
	for r.at < until && len(r.loadedAt) < len(r.models) {
		r.step()
	}
}

func names(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%s%02d", prefix, i))
	}
	return out
}

var _ = Describe("replay", func() {
	// lost plays deployment C: a store that serves one fetch at a time, twelve rarely requested models, and one that loses
	// its only copy at 4.6 s and is requested six times per second. It returns the time from the loss to the load, or more
	// than longest.
	lost := func(turns bool, longest time.Duration, change func(*replay)) (*replay, time.Duration) {
		const lostAt = 4600 * time.Millisecond
		r := newReplay(1, 56, 13200*time.Millisecond, turns, append(names("rare", 12), "hot")...)
		r.nodes[7].up.Models = []catalog.Resident{{Model: "hot"}}
		for i, m := range names("rare", 12) {
			r.demand[m] = 0.3 + 0.05*float64(i)
		}
		if change != nil {
			change(r)
		}
		r.run(lostAt)
		r.nodes[7].up.Models, r.nodes[7].up.ID, r.nodes[7].up.StartedUnixMS = nil, "u07-again", 1
		r.nodes[7].up.Address = r.nodes[7].up.ID
		r.demand["hot"] = 18
		for r.at <= lostAt+longest && r.loadedAt["hot"] == 0 {
			r.step()
		}
		return r, r.at - lostAt
	}

	// Guards against rare models that keep the store from a model that six requests per second need: it was not fetched
	// for the rest of the day, 34 s (deployment C, scale-1).
	It("loads a model that loses its only copy within 30 s besides a dozen rare ones", func() {
		_, took := lost(true, 30*time.Second, nil)
		Expect(took).To(BeNumerically("<", 30*time.Second))
		_, alone := lost(false, 30*time.Second, nil)
		Expect(alone).To(BeNumerically(">", 30*time.Second))
		GinkgoWriter.Println("lost copy: with turns", took, "without", alone)
	})

	// startUp returns the time until 17 models without a copy are loaded at a store that serves four at a time.
	startUp := func(turns bool, demand func(i int) float64) time.Duration {
		r := newReplay(4, 20, 6*time.Second, turns, names("m", 17)...)
		for i, m := range names("m", 17) {
			r.demand[m] = demand(i)
		}
		r.run(2 * time.Minute)
		Expect(r.loadedAt).To(HaveLen(17))
		return r.at
	}

	// Guards against a start-up that is slower because the store's concurrency has to be proven first.
	DescribeTable("starts up at a store for four at most a few seconds slower than four at once from the start",
		func(demand func(i int) float64) {
			four := 5 * 6 * time.Second // 17 models, four at a time
			with, without := startUp(true, demand), startUp(false, demand)
			GinkgoWriter.Println("start-up: with turns", with, "without", without)
			Expect(with).To(BeNumerically("<", four+7*time.Second))
		},
		Entry("equal demand", func(int) float64 { return 4 }),
		Entry("unequal demand", func(i int) float64 { return 3 + float64(i) }),
		Entry("little demand", func(i int) float64 { return 0.5 + 0.02*float64(i) }),
	)

	// Guards against coordinators whose faults stop the fetches or start many at once.
	DescribeTable("loads the lost model in spite of",
		func(change func(*replay), longest time.Duration, mayRepeat bool) {
			r, took := lost(true, longest, change)
			GinkgoWriter.Println("lost copy: took", took, "most at a time", r.most, "twice", len(r.twice))
			Expect(took).To(BeNumerically("<=", longest))
			Expect(r.most).To(BeNumerically("<=", 4))
			if !mayRepeat {
				Expect(r.twice).To(BeEmpty())
			}
		},
		Entry("a coordinator that has ended", func(r *replay) { r.rank(0).endAt = 3 * time.Second }, 30*time.Second, false),
		Entry("two coordinators that have ended", func(r *replay) { r.rank(0).endAt, r.rank(1).endAt = 3*time.Second, 3*time.Second }, 70*time.Second, true),
		Entry("a frozen coordinator", func(r *replay) { r.rank(0).freezeAt = 3 * time.Second }, 30*time.Second, false),
		Entry("a coordinator that goes on after a freeze", func(r *replay) { r.rank(0).freezeAt, r.rank(0).thawAt = 3*time.Second, 10*time.Second }, 30*time.Second, false),
		Entry("a coordinator that is cut off", func(r *replay) { r.rank(0).cutAt = 3 * time.Second }, 45*time.Second, true),
		Entry("two coordinators at a time", func(r *replay) {
			swapped := fetchturn.Ranks("llm", r.upstreams())
			slices.Reverse(swapped)
			for i := range r.nodes {
				if i%2 == 0 {
					r.nodes[i].ranks = swapped
				}
			}
		}, 45*time.Second, false),
		Entry("lost datagrams", func(r *replay) { r.loss = 0.2 }, 30*time.Second, false),
		Entry("late datagrams", func(r *replay) { r.late = 0.2 }, 30*time.Second, false),
	)
})
