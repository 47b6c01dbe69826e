package dispatch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

var _ = Describe("memory for a model", func() {
	// Guards against waiting at an upstream that cannot unload any model, while another one can evict a model that
	// other upstreams serve too.
	It("is expected where a model with running requests is served by other upstreams too", func() {
		s := newState()
		report := func(id string, available placement.AvailableMemory) {
			u := catalog.Upstream{ID: id, Service: "llm", Address: id + ":1", Zone: "z1", Slots: 6, OnDisk: []string{"a"}}
			s.Fleet.Put(now, u)
			r := &peer.Report{AvailableMemory: available}
			r.SetUpstream(u, 1)
			s.Fleet.ApplyReport(now, r)
		}
		for _, id := range []string{"u1", "u2", "u3", "u4"} {
			report(id, placement.AvailableMemory{})
		}
		report("u5", placement.AvailableMemory{BusyMB: 40})
		d := s.Decide(now, request(&reportRoute, "llm", "a"))
		Expect(d.LoadRequest.Upstream).To(Equal("u5"))
		report("u6", placement.AvailableMemory{IdleMB: 40})
		Expect(s.Decide(now, request(&reportRoute, "llm", "a")).LoadRequest.Upstream).To(Equal("u6"))
	})
})
