package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// Guards against deciding on requests after a power loss of all VMs before the agents beside the cached copies have
// reported. A model was fetched from the weight store for ten to twenty seconds and all requests for it were refused
// meanwhile, while two idle upstreams had it on disk (vanstops-grown, trouble-1, seed 31).
var _ = Describe("models after a restart of all VMs", func() {
	var s *dispatch.State
	list := func(id string) {
		s.Fleet.Put(now, catalog.Upstream{ID: id, Service: "llm", Address: id + ":1", Zone: "z1", Slots: 6, StartedUnixMS: 100})
	}
	// reportRestarted applies the report of the agent beside an upstream that has restarted, which registers behind it.
	reportRestarted := func(id string, onDisk ...string) {
		r := &peer.Report{AvailableMemory: placement.AvailableMemory{FreeMB: 100}}
		r.SetUpstream(catalog.Upstream{ID: id + "-again", Address: id + ":1", StartedUnixMS: 200, OnDisk: onDisk}, 1)
		s.Fleet.ApplyReport(now, r)
		s.Fleet.Put(now, catalog.Upstream{ID: id + "-again", Service: "llm", Address: id + ":1", Zone: "z1", Slots: 6, StartedUnixMS: 200})
	}
	BeforeEach(func() {
		s = newState()
		for _, id := range []string{"u1", "u2", "u3"} {
			list(id)
		}
		s.RecordListing(now)
		reportRestarted("u1", "b")
		reportRestarted("u2", "c")
	})

	It("are not fetched from the weight store before all agents have reported", func() {
		d := s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(d.LoadRequest).To(BeNil())
		reportRestarted("u3", "a")
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).LoadRequest.Upstream).To(Equal("u3-again"))
	})

	It("are fetched once all live agents have had the time to report", func() {
		later := now.Add(2 * time.Second)
		r := request(&reportRoute, "llm", "a")
		r.Deadline = later.Add(10 * time.Second)
		d := s.Decide(later, r)
		Expect(d.LoadRequest).NotTo(BeNil())
	})

	It("are loaded from a cached copy although a fetch is in progress at another upstream", func() {
		reportRestarted("u3", "a")
		report := &peer.Report{Order: &placement.Order{Model: "a"}, OrderRemainingMS: 6000}
		report.SetUpstream(catalog.Upstream{ID: "u1-again", Address: "u1:1", StartedUnixMS: 200}, 2)
		s.Fleet.ApplyReport(now, report)
		d := s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(d.LoadRequest.Upstream).To(Equal("u3-again"))

		report.OrderRemainingMS = 1500 // nearly as early as the load from the cached copy
		s.Fleet.ApplyReport(now, report)
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).LoadRequest.Upstream).To(Equal("u1-again"))
	})

	// Guards against sending requests by the list to upstreams that have lost their models: the refusals used up the
	// retry limit (decals-grown, trouble-2).
	Describe("and a list of upstreams that names them", func() {
		listWithModel := func(id, model string) {
			s.Fleet.Put(now, catalog.Upstream{ID: id, Service: "llm", Address: id + ":1", Zone: "z1", Slots: 6, StartedUnixMS: 100, Models: []catalog.Resident{{Model: model}}})
		}
		BeforeEach(func() { listWithModel("u4", "a") })

		It("do not count as loaded by the list while other agents report", func() {
			d := s.Decide(now, request(&reportRoute, "llm", "a"))
			Expect([]any{d.Action, d.LoadRequest}).To(Equal([]any{dispatch.Wait, (*dispatch.LoadRequest)(nil)}))
			Expect(s.Unreported(now)).To(ConsistOf(HaveField("ID", "u3"), HaveField("ID", "u4")))

			reportRestarted("u3", "a")
			after := now.Add(500 * time.Millisecond)
			Expect(s.Decide(after, request(&reportRoute, "llm", "a")).LoadRequest.Upstream).To(Equal("u3-again"))
		})

		It("count as loaded by the list once the agents have had the time to report", func() {
			reportRestarted("u3")
			later := now.Add(2 * time.Second)
			Expect(s.Decide(later, request(&reportRoute, "llm", "a")).Upstream.ID).To(Equal("u4"))
			Expect(s.Unreported(later)).To(BeEmpty())
		})

		It("count as loaded by the list when few agents report", func() {
			listWithModel("u5", "a")
			later := now.Add(500 * time.Millisecond)
			Expect(s.Decide(later, request(&reportRoute, "llm", "a")).Action).To(Equal(dispatch.Send))
		})
	})
})
