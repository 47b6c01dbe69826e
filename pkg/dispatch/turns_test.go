package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

var _ = Describe("turns at the weight store", func() {
	var s *dispatch.State
	var first, second string // coordinators' ids
	BeforeEach(func() {
		s = newState()
		for _, id := range []string{"u1", "u2", "u3"} {
			add(s, upstream{id: id, models: map[string][]string{"u1": {"a"}}[id]})
		}
		ranks := fetchturn.Ranks("llm", s.Fleet.Upstreams(now, "llm"))
		first, second = ranks[0][:2], ranks[1][:2]
	})
	ask := func(at time.Time, model string, priority int) dispatch.Decision {
		route := reportRoute
		route.Priority = priority
		r := request(&route, "llm", model)
		r.Deadline = at.Add(20 * time.Second)
		s.RecordArrival(at, r)
		return s.Decide(at, r)
	}
	expect := func(at time.Time, from string, ms int64) {
		r := &peer.Report{ExpectedLoads: []fetchturn.Expectation{{Model: "b", MS: ms}}, StoreConcurrency: 1}
		r.SetUpstream(s.Fleet.Get(from).Upstream, 1)
		s.ApplyReport(at, r)
	}

	// Guards against fetches in the order of arrival, and against the demand of all routers in each message.
	It("sends the coordinators the demand weighted by priority", func() {
		ask(now, "b", 0)
		ask(now, "c", 3)
		byModel := map[string]float32{}
		for _, d := range s.FetchDemand(now, first+":1") {
			byModel[d.Model] = d.Weight
		}
		Expect(byModel).To(HaveLen(2))
		Expect(byModel["b"]).To(BeNumerically("~", 4*byModel["c"], 0.001))
		Expect(s.FetchDemand(now, second+":1")).NotTo(BeEmpty())
		for _, id := range []string{"u1", "u2", "u3"} {
			if id != first && id != second {
				Expect(s.FetchDemand(now, id+":1")).To(BeNil())
			}
		}
	})

	It("reports the rate of a model whose only copy is loaded at one upstream", func() {
		ask(now, "a", 0)
		Expect(s.FetchDemand(now, first+":1")).To(ConsistOf(HaveField("SingleCopyRate", BeNumerically(">", 0))))
		s.Fleet.Put(now, catalog.Upstream{ID: "u4", Service: "llm", Address: "u4:1", OnDisk: []string{"a"}})
		Expect(s.FetchDemand(now, first+":1")).To(BeEmpty())
	})

	// Guards against refusals and times to come back that ignore the queue at the store: with one fetch at a time, the
	// twelfth model was expected as early as the fourth.
	It("expects a load when the coordinator expects it", func() {
		Expect(ask(now, "b", 0).Cost).To(Equal(6 * time.Second))
		expect(now, first, 40_000)
		Expect(ask(now.Add(time.Second), "b", 0).Cost).To(Equal(39 * time.Second))
		expect(now.Add(time.Second), second, 3_000)
		Expect(ask(now.Add(time.Second), "b", 0).Cost).To(Equal(39*time.Second), "the first coordinator reports")
		expect(now.Add(5*time.Second), second, 3_000)
		Expect(ask(now.Add(5*time.Second), "b", 0).Cost).To(Equal(3 * time.Second))
		refresh := &peer.Report{}
		refresh.SetUpstream(s.Fleet.Get(first).Upstream, 1)
		s.ApplyReport(now.Add(9*time.Second), refresh)
		Expect(ask(now.Add(9*time.Second), "b", 0).Cost).To(BeNumerically(">=", 6*time.Second), "the report is too old")
	})
})
