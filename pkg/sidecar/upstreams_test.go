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

// After a loss of power 19 agents had their configuration 0.1 s before their list. Each took itself for the only upstream
// and ordered the same model from the weight store, which then kept a third of the engines busy for 90 s (vanstops-large,
// trouble-1).
var _ = Describe("list of upstreams", func() {
	now := time.Unix(1000, 0)
	self := catalog.Upstream{ID: "i-1", Service: "llm"}

	It("never counts as complete before it has been read", func() {
		var l upstreams
		Expect(l.settled(now, "i-1")).To(BeFalse())
		l.put(now, self)
		Expect(l.settled(now.Add(time.Hour), "i-1")).To(BeFalse())
		l.replace(now, []catalog.Upstream{self})
		Expect(l.settled(now.Add(settleTime-1), "i-1")).To(BeFalse())
		Expect(l.settled(now.Add(settleTime), "i-1")).To(BeTrue())
	})

	// Twelve engines that had crashed together fetched the same model, each since the list named the others as they were
	// before (vanstops-large, scale-1, a trial).
	It("does not count as complete before it has named the agent's own upstream for a while", func() {
		var l upstreams
		l.replace(now, []catalog.Upstream{{ID: "i-2"}})
		at := now.Add(time.Hour)
		Expect(l.settled(at, "i-1")).To(BeFalse())
		l.put(at, self)
		Expect(l.settled(at.Add(settleTime-1), "i-1")).To(BeFalse())
		Expect(l.settled(at.Add(settleTime), "i-1")).To(BeTrue())
	})

	// During a release an upstream started every second, and the models of those that left were not fetched until its end
	// (vanstops-large, trouble-1).
	It("counts as complete when it has not grown much for a while", func() {
		var l upstreams
		var many []catalog.Upstream
		for i := range 20 {
			many = append(many, catalog.Upstream{ID: fmt.Sprintf("old-%d", i), Service: "llm"})
		}
		l.replace(now, many)
		Expect(l.settled(now.Add(settleTime-1), "old-1")).To(BeFalse())
		at := now.Add(settleTime)
		Expect(l.settled(at, "old-1")).To(BeTrue())
		for i := range 2 { // a tenth
			l.put(at, catalog.Upstream{ID: fmt.Sprintf("new-%d", i), Service: "llm"})
		}
		Expect(l.settled(at, "old-1")).To(BeTrue())
		for i := range 18 { // all start again after a loss of power
			l.put(at, catalog.Upstream{ID: fmt.Sprintf("again-%d", i), Service: "llm"})
		}
		Expect(l.settled(at, "old-1")).To(BeFalse())
		Expect(l.settled(at.Add(settleTime), "old-1")).To(BeTrue())
		l.remove("old-0")
		all, known := l.with(self)
		Expect(known).To(BeTrue())
		Expect(all).To(HaveLen(40))
	})

	It("keeps an agent from fetching a model until it has been read", func() {
		engine := &catalog.Engine{Models: map[string]catalog.Model{"a": {Name: "a", SizeMB: 60}}, MemoryMB: 100, LoadsPerSecond: 2}
		log := eventlog.New(GinkgoWriter, "sidecar", "side-1")
		agent := New(Settings{LoadWindow: 5 * time.Second, LoadFactor: 1.1, Parallel: 2}, nil, nil, log, guard.New(log))
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
		Expect(plan(time.Now().Add(settleTime))).To(BeTrue())
	})
})
