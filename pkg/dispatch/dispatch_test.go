package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
	"github.com/hibiscuscross/hibiscuscross/pkg/retrylimit"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var now = time.Unix(1000, 0)

var (
	getRoute    = catalog.Route{Name: "get", Kind: catalog.Idempotent, MaxAttempts: 2}
	postRoute   = catalog.Route{Name: "post", Kind: catalog.NonIdempotent, MaxAttempts: 2}
	reportRoute = catalog.Route{Name: "report", Kind: catalog.Streaming, MaxAttempts: 2, Resumable: true}
	chatRoute   = catalog.Route{Name: "chat", Kind: catalog.Streaming, MaxAttempts: 1}
)

func newState() *dispatch.State {
	s := dispatch.New(dispatch.Settings{Zone: "z1", ZoneRegion: map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}, RetryLimit: retrylimit.Limit{Ratio: 0.2, Burst: 40, Window: 10 * time.Second}})
	models := map[string]catalog.Model{}
	for _, n := range []string{"a", "b", "c"} {
		models[n] = catalog.Model{Name: n, SizeMB: 40, FetchTime: 6 * time.Second, DiskTime: 800 * time.Millisecond, MemoryTime: 400 * time.Millisecond}
	}
	s.SetConfig(catalog.NewConfig(1, nil, []catalog.Service{
		{Name: "plain"}, {Name: "llm", Engine: &catalog.Engine{Models: models, MemoryMB: 100, AdapterSlots: 2, Slots: 64}},
	}, catalog.Limits{}))
	setRouters(s, 1)
	return s
}

// setRouters makes the router share the retry limit with n-1 others. The quotas have had time to earn tokens.
func setRouters(s *dispatch.State, n int) {
	s.RetryShare.RecordRouters(now.Add(-time.Hour), n, true)
	for _, service := range []string{"plain", "llm"} {
		s.RecordArrival(now.Add(-time.Minute), request(&getRoute, service, ""))
	}
}

type upstream struct {
	id, zone     string
	models       []string
	onDisk       []string
	free, idle   float64
	order        *placement.Order
	orderMS      int64
	queued       int
	running      int
	adapters     []string
	plainService bool
}

// add lists an upstream and applies its agent's report.
func add(s *dispatch.State, u upstream) {
	up := catalog.Upstream{ID: u.id, Service: "llm", Address: u.id + ":1", Zone: u.zone, Slots: 6, OnDisk: u.onDisk}
	if u.zone == "" {
		up.Zone = "z1"
	}
	if u.plainService {
		up.Service = "plain"
	}
	for _, m := range u.models {
		up.Models = append(up.Models, catalog.Resident{Model: m, Adapters: u.adapters})
	}
	s.Fleet.Put(now, up)
	if !u.plainService {
		r := &peer.Report{AvailableMemory: placement.AvailableMemory{FreeMB: u.free, IdleMB: u.idle}, Order: u.order, OrderRemainingMS: u.orderMS, Queued: u.queued, Running: u.running}
		r.SetUpstream(up, 1)
		s.Fleet.ApplyReport(now, r)
	}
}

func request(route *catalog.Route, service, model string) *dispatch.Request {
	parts := []prompt.Part{{ID: "s", Tokens: 2500}, {ID: "t", Tokens: 3800}, {ID: "own", Tokens: 2900}}
	r := &dispatch.Request{ID: "r", Route: route, Service: service, Model: model, Deadline: now.Add(6 * time.Second)}
	if model != "" {
		r.Parts, r.Chain = parts, prompt.Chain(model, "", parts)
	}
	return r
}

var _ = Describe("choice", func() {
	var s *dispatch.State
	BeforeEach(func() { s = newState() })

	It("refuses while the fleet is empty", func() {
		Expect(s.Decide(now, request(&getRoute, "plain", "")).Action).To(Equal(dispatch.Refuse))
	})

	It("sends a request that names a model to a plain service even if the service is busy", func() {
		add(s, upstream{id: "u1", plainService: true})
		for range 50 {
			s.RecordStart("u1", request(&getRoute, "plain", "a"))
		}
		Expect(s.Decide(now, request(&getRoute, "plain", "a")).Action).To(Equal(dispatch.Send))
	})

	It("prefers the router's own zone", func() {
		add(s, upstream{id: "far", zone: "z3", plainService: true})
		add(s, upstream{id: "near", zone: "z1", plainService: true})
		d := s.Decide(now, request(&getRoute, "plain", ""))
		Expect(d.Action).To(Equal(dispatch.Send))
		Expect(d.Upstream.ID).To(Equal("near"))
	})

	It("sends to another zone when the slots of the router's own zone are taken", func() {
		add(s, upstream{id: "far", zone: "z3", plainService: true})
		add(s, upstream{id: "near", zone: "z1", plainService: true})
		for range 7 {
			s.RecordStart("near", request(&getRoute, "plain", ""))
		}
		Expect(s.Decide(now, request(&getRoute, "plain", "")).Upstream.ID).To(Equal("far"))
	})

	It("sends to an upstream that has the model loaded and an empty queue", func() {
		add(s, upstream{id: "busy", models: []string{"a"}, queued: 9})
		add(s, upstream{id: "free", models: []string{"a"}})
		add(s, upstream{id: "without"})
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).Upstream.ID).To(Equal("free"))
	})

	It("sends prompts with a shared prefix to the upstream that has it cached", func() {
		for i := range 4 {
			add(s, upstream{id: fmt.Sprintf("u%d", i), models: []string{"a"}})
		}
		r := request(&reportRoute, "llm", "a")
		first := s.Decide(now, r).Upstream.ID
		tokens := s.Uncached(first, r)
		s.RecordStart(first, r)
		s.RecordFirstEvent(first, r, tokens)
		s.RecordEnd(now, first, r, dispatch.Done)
		Expect(s.Uncached(first, r)).To(BeZero())
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).Upstream.ID).To(Equal(first))
	})

	// Guards against sending prompts to other regions, where traffic is paid by volume, although the router's own
	// region has the model loaded; two thirds of the prompts were.
	It("chooses an upstream in the router's region for a shared prefix", func() {
		for i := range 8 {
			add(s, upstream{id: fmt.Sprintf("far%d", i), zone: "z3", models: []string{"a"}})
		}
		add(s, upstream{id: "near", zone: "z2", models: []string{"a"}})
		for i := range 5 {
			r := request(&reportRoute, "llm", "a")
			r.Parts[1].ID = fmt.Sprintf("t%d", i)
			Expect(s.Decide(now, r).Upstream.ID).To(Equal("near"))
		}
	})

	It("avoids an upstream after a failed connection", func() {
		add(s, upstream{id: "u1", plainService: true})
		add(s, upstream{id: "u2", plainService: true})
		r := request(&getRoute, "plain", "")
		s.RecordStart("u1", r)
		s.RecordEnd(now, "u1", r, dispatch.NotConnected)
		Expect(s.Decide(now, request(&getRoute, "plain", "")).Upstream.ID).To(Equal("u2"))
	})
})

var _ = Describe("waiting for a model", func() {
	var s *dispatch.State
	BeforeEach(func() { s = newState() })

	It("waits where the load completes first: at an upstream with free memory", func() {
		add(s, upstream{id: "full", onDisk: []string{"a"}, models: []string{"b"}})
		add(s, upstream{id: "room", onDisk: []string{"a"}, free: 50})
		d := s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(d.LoadRequest.Upstream).To(Equal("room"))
		Expect(d.Cost).To(Equal(800 * time.Millisecond))
	})

	// Guards against a restarted router that sends requests by the list, which is older than the agents' orders: 611
	// attempts were refused within two seconds, and the retry limit was used up (decals-grown, trouble-2).
	It("waits for the agents' first reports after a start", func() {
		for i := range 3 {
			s.Fleet.Put(now, catalog.Upstream{ID: fmt.Sprintf("u%d", i), Service: "llm", Zone: "z1", Models: []catalog.Resident{{Model: "a"}}})
		}
		s.RecordListing(now)
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).Action).To(Equal(dispatch.Wait))
		Expect(s.Decide(now.Add(time.Second), request(&reportRoute, "llm", "a")).Action).To(Equal(dispatch.Send))
		add(s, upstream{id: "u0", models: []string{"a"}})
		add(s, upstream{id: "u1", models: []string{"a"}})
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).Action).To(Equal(dispatch.Send))
	})

	It("waits for a load that is in progress", func() {
		add(s, upstream{id: "room", onDisk: []string{"a"}, free: 50})
		add(s, upstream{id: "loads", onDisk: []string{"a"}, order: &placement.Order{Model: "a"}, orderMS: 300})
		d := s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(d.LoadRequest.Upstream).To(Equal("loads"))
		Expect(d.Cost).To(Equal(300 * time.Millisecond))
	})

	// Guards against keeping a request until its deadline although it cannot be served in time.
	It("refuses at once when the load takes too long, and still requests the load", func() {
		add(s, upstream{id: "u1", free: 50})
		r := request(&reportRoute, "llm", "a")
		r.Deadline = now.Add(3 * time.Second)
		d := s.Decide(now, r)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
		Expect(s.LoadRequests(now)).To(HaveLen(1))
	})

	// Guards against waiting longer than the caller: callers disconnect from a stream without events after 3.2 s, and
	// chats waited for a load of 6 s until they did (vanstops, scale-1).
	It("refuses at once when the caller will disconnect before the load is complete", func() {
		add(s, upstream{id: "u1", free: 50})
		r := request(&chatRoute, "llm", "a")
		r.Deadline, r.EventDeadline = now.Add(15*time.Second), now.Add(3200*time.Millisecond)
		d := s.Decide(now, r)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.RetryAfter).To(BeNumerically("~", 5*time.Second, time.Millisecond)) // a third of the remaining time
	})

	It("refuses a model that is not configured", func() {
		add(s, upstream{id: "u1", free: 50})
		Expect(s.Decide(now, request(&reportRoute, "llm", "zz")).Action).To(Equal(dispatch.Refuse))
	})

	It("forgets a load request once the model is loaded", func() {
		add(s, upstream{id: "u1", onDisk: []string{"a"}, free: 50})
		s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(s.LoadRequests(now)).To(HaveLen(1))
		add(s, upstream{id: "u1", models: []string{"a"}})
		Expect(s.LoadRequests(now)).To(BeEmpty())
	})

	// Guards against routers that each request a replica at a different upstream: four did at once and evicted five
	// other models (decals, quiet-1).
	It("requests one extra replica at a time, at the upstream that all routers agree on", func() {
		targets := map[string]bool{}
		for range 4 {
			router := newState()
			add(router, upstream{id: "slow", models: []string{"a"}, queued: 20})
			for i := range 5 {
				add(router, upstream{id: fmt.Sprintf("u%d", i), onDisk: []string{"a"}, free: 50})
			}
			for range 20 {
				router.RecordArrival(now, request(&reportRoute, "llm", "a"))
			}
			router.Decide(now, request(&reportRoute, "llm", "a"))
			for loadReq := range router.LoadRequests(now) {
				targets[loadReq.Upstream] = true
			}
		}
		Expect(targets).To(HaveLen(1))
	})

	It("requests no further replica while one is being loaded", func() {
		add(s, upstream{id: "slow", models: []string{"a"}, queued: 20})
		add(s, upstream{id: "loads", onDisk: []string{"a"}, order: &placement.Order{Model: "a"}, orderMS: 300})
		add(s, upstream{id: "room", onDisk: []string{"a"}, free: 50})
		for range 20 {
			s.RecordArrival(now, request(&reportRoute, "llm", "a"))
		}
		s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(s.LoadRequests(now)).To(BeEmpty())
	})

	// Guards against requests that move on as soon as their upstream starts to evict models: one model was loaded at
	// three upstreams (vanstops, scale-1).
	It("keeps to the upstream that it has requested the load from", func() {
		add(s, upstream{id: "u1", onDisk: []string{"a"}, models: []string{"b"}, idle: 50})
		add(s, upstream{id: "u2", onDisk: []string{"a"}, models: []string{"b"}, idle: 50})
		first := s.Decide(now, request(&reportRoute, "llm", "a")).LoadRequest.Upstream
		add(s, upstream{id: first, onDisk: []string{"a"}, models: []string{"b"}, idle: 50, order: &placement.Order{Unload: true, Model: "b"}})
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).LoadRequest.Upstream).To(Equal(first))
		Expect(s.LoadRequests(now)).To(HaveLen(1))
	})

	It("moves to another upstream when the first one is delayed, and drops the earlier load request", func() {
		add(s, upstream{id: "u1", onDisk: []string{"a"}, models: []string{"b"}, idle: 50})
		add(s, upstream{id: "u2", onDisk: []string{"a"}, models: []string{"b"}, idle: 50})
		first := s.Decide(now, request(&reportRoute, "llm", "a")).LoadRequest.Upstream
		add(s, upstream{id: first, onDisk: []string{"a"}, models: []string{"b"}, order: &placement.Order{Model: "c"}, orderMS: 6000})
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).LoadRequest.Upstream).NotTo(Equal(first))
		Expect(s.LoadRequests(now)).To(HaveLen(1))
	})

	It("waits for an adapter at an upstream that can load it now", func() {
		add(s, upstream{id: "busy", models: []string{"a"}, order: &placement.Order{Model: "b"}, orderMS: 6000})
		add(s, upstream{id: "free", models: []string{"a"}})
		r := request(&chatRoute, "llm", "a")
		r.Adapter = "x"
		d := s.Decide(now, r)
		Expect(d.Action).To(Equal(dispatch.Wait))
		Expect(*d.LoadRequest).To(Equal(dispatch.LoadRequest{Upstream: "free", Adapter: placement.Adapter{Model: "a", Name: "x"}}))
	})
})

var _ = Describe("configuration", func() {
	It("is not replaced by an older version", func() {
		s := newState()
		Expect(s.SetConfig(catalog.NewConfig(5, nil, nil, catalog.Limits{}))).To(BeTrue())
		Expect(s.SetConfig(catalog.NewConfig(4, nil, nil, catalog.Limits{}))).To(BeFalse())
		Expect(s.Config().Version).To(Equal(uint64(5)))
	})
})

var _ = Describe("requests that crash upstreams", func() {
	It("refuses a request that has crashed three upstreams", func() {
		s := newState()
		for i := range 4 {
			add(s, upstream{id: fmt.Sprintf("u%d", i), plainService: true})
		}
		for i := range 3 {
			r := request(&getRoute, "plain", "")
			r.Fingerprint = 7
			id := fmt.Sprintf("u%d", i)
			s.RecordStart(id, r)
			s.RecordEnd(now, id, r, dispatch.Interrupted)
			s.Fleet.Remove(now, id)
		}
		r := request(&getRoute, "plain", "")
		Expect(s.Decide(now, r).Action).To(Equal(dispatch.Send))
		r.Fingerprint = 7
		d := s.Decide(now, r)
		Expect(d.Action).To(Equal(dispatch.Refuse))
		Expect(d.Reason).To(Equal("request crashes upstreams"))
	})
})
