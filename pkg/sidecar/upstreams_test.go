package sidecar

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Guards against sidecars that each assume to be the only upstream and fetch the same model: after a power loss 19 of
// them had their configuration 0.1 s before the list, and their fetches kept a third of the engines busy for 90 s
// (vanstops-large, trouble-1).
var _ = Describe("list of upstreams", func() {
	now := time.Unix(1000, 0)
	self := catalog.Upstream{ID: "i-1", Service: "llm"}

	It("never counts as complete before it has been read", func() {
		var l upstreamList
		Expect(l.stable(now, "i-1")).To(BeFalse())
		l.put(now, self)
		Expect(l.stable(now.Add(time.Hour), "i-1")).To(BeFalse())
		l.replace(now, []catalog.Upstream{self})
		Expect(l.stable(now.Add(stableAfter-1), "i-1")).To(BeFalse())
		Expect(l.stable(now.Add(stableAfter), "i-1")).To(BeTrue())
	})

	// Guards against engines that crash together and all fetch the same model, because the list still shows each one
	// the previous holdings of the others (twelve engines in vanstops-large, scale-1, a trial).
	It("does not count as complete before it has contained the agent's own upstream for a while", func() {
		var l upstreamList
		l.replace(now, []catalog.Upstream{{ID: "i-2"}})
		at := now.Add(time.Hour)
		Expect(l.stable(at, "i-1")).To(BeFalse())
		l.put(at, self)
		Expect(l.stable(at.Add(stableAfter-1), "i-1")).To(BeFalse())
		Expect(l.stable(at.Add(stableAfter), "i-1")).To(BeTrue())
	})

	// Guards against a list that never counts as complete during a release, in which an upstream starts every second:
	// the models of the upstreams that left were not fetched until its end (vanstops-large, trouble-1).
	It("counts as complete when it has not grown much for a while", func() {
		var l upstreamList
		var many []catalog.Upstream
		for i := range 20 {
			many = append(many, catalog.Upstream{ID: fmt.Sprintf("old-%d", i), Service: "llm"})
		}
		l.replace(now, many)
		Expect(l.stable(now.Add(stableAfter-1), "old-1")).To(BeFalse())
		at := now.Add(stableAfter)
		Expect(l.stable(at, "old-1")).To(BeTrue())
		for i := range 2 { // a tenth
			l.put(at, catalog.Upstream{ID: fmt.Sprintf("new-%d", i), Service: "llm"})
		}
		Expect(l.stable(at, "old-1")).To(BeTrue())
		for i := range 18 { // all restart after a power loss
			l.put(at, catalog.Upstream{ID: fmt.Sprintf("again-%d", i), Service: "llm"})
		}
		Expect(l.stable(at, "old-1")).To(BeFalse())
		Expect(l.stable(at.Add(stableAfter), "old-1")).To(BeTrue())
		l.remove("old-0")
		all, read := l.withSelf(self)
		Expect(read).To(BeTrue())
		Expect(all).To(HaveLen(40))
	})

	It("keeps an agent from fetching a model until the list has been read", func() {
		engine := &catalog.Engine{Models: map[string]catalog.Model{"a": {Name: "a", SizeMB: 60}}, MemoryMB: 100, LoadsPerSecond: 2}
		log := eventlog.New(GinkgoWriter, "sidecar", "side-1")
		agent := New(Settings{LoadWindow: 5 * time.Second, LoadFactor: 1.1, FetchConcurrency: 2, ChecksTokens: true}, nil, nil, log, guard.New(log))
		agent.Configure(catalog.NewConfig(1, nil, []catalog.Service{{Name: "llm", Engine: engine}}, catalog.Limits{}), 1)
		agent.SetToken(41)
		agent.report = platform.Report{Upstream: self}
		plan := func(at time.Time) bool {
			view, _, ok := agent.view(at)
			Expect(ok).To(BeTrue())
			_, _, ok = placement.Plan(view)
			return ok
		}
		Expect(plan(time.Now())).To(BeFalse())
		agent.SetUpstreams([]catalog.Upstream{self})
		Expect(plan(time.Now())).To(BeFalse())
		Expect(plan(time.Now().Add(stableAfter))).To(BeTrue())
	})

	// Guards against fetches without turns by all sidecars in the moment in which they read the list after a loss of power.
	It("keeps an agent from deciding alone before it has asked for a turn", func() {
		agent := New(Settings{LoadWindow: 5 * time.Second, FetchConcurrency: 2, PeerPort: 7380}, nil, nil, nil, nil)
		Expect(agent.turnsGranted()).To(Equal(&placement.Turns{}))
		agent.report = platform.Report{Upstream: self}
		agent.SetUpstreams([]catalog.Upstream{self, {ID: "i-2", Service: "llm", Address: "127.0.0.1:1"}})
		agent.settings.Address = "127.0.0.2:1"
		agent.readTurnInputs(time.Now())
		Expect(agent.turnsGranted()).To(Equal(&placement.Turns{}))
		agent.SetUpstreams([]catalog.Upstream{self})
		agent.readTurnInputs(time.Now().Add(time.Second))
		Expect(agent.turnsGranted()).To(BeNil(), "there is nobody to ask")
	})
})
