package sidecar

import (
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
		Expect(l.settled(now)).To(BeFalse())
		l.put(now, catalog.Upstream{ID: "i-2", Service: "llm"})
		Expect(l.settled(now.Add(time.Hour))).To(BeFalse())
		l.replace(now, nil)
		Expect(l.settled(now.Add(settleTime - 1))).To(BeFalse())
		Expect(l.settled(now.Add(settleTime))).To(BeTrue())
	})

	It("counts as complete when it has not grown for a while", func() {
		var l upstreams
		l.replace(now, []catalog.Upstream{{ID: "i-2", Service: "llm"}})
		l.put(now.Add(time.Second), catalog.Upstream{ID: "i-3", Service: "llm"})
		Expect(l.settled(now.Add(settleTime))).To(BeFalse())
		l.remove("i-3")
		Expect(l.settled(now.Add(time.Second + settleTime))).To(BeTrue())
		all, known := l.with(self)
		Expect(known).To(BeTrue())
		Expect(all).To(HaveLen(2))
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
		agent.List([]catalog.Upstream{self})
		Expect(plan(time.Now())).To(BeFalse())
		Expect(plan(time.Now().Add(settleTime))).To(BeTrue())
	})
})
