package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

// Guards against answers that an ending upstream has cut and that are taken for complete ones too soon.
var _ = DescribeTable("an upstream may be ending", func(happens func(*dispatch.State), want bool) {
	s := newState()
	s.Fleet.Put(now, catalog.Upstream{ID: "u1", Service: "plain", Address: "a:1", Zone: "z1", StartedUnixMS: 5})
	happens(s)
	Expect(s.MayBeEnding(now, "u1")).To(Equal(want))
},
	Entry("without a sign: no", func(*dispatch.State) {}, false),
	Entry("that is leaving", func(s *dispatch.State) { s.Fleet.RecordLeaving("u1") }, true),
	Entry("that has left the list", func(s *dispatch.State) { s.Fleet.Remove(now, "u1") }, true),
	Entry("that has left the list after an outage", func(s *dispatch.State) {
		s.Fleet.RecordStoreRecovery(now)
		s.Fleet.Remove(now, "u1")
	}, true),
	Entry("whose address another instance has", func(s *dispatch.State) {
		s.Fleet.Put(now, catalog.Upstream{ID: "u2", Service: "plain", Address: "a:1", Zone: "z1", StartedUnixMS: 6})
	}, true),
	Entry("that is silent", func(s *dispatch.State) {
		for i := range 3 {
			s.Fleet.RecordProbe(now.Add(time.Duration(i-3)*100*time.Millisecond), "u1")
		}
	}, true),
	Entry("that an attempt could not reach", func(s *dispatch.State) {
		s.RecordEnd(now, "u1", started(s), dispatch.NotListening)
	}, true),
	Entry("whose answer ended at the deadline: no", func(s *dispatch.State) {
		s.RecordEnd(now, "u1", started(s), dispatch.TimedOut)
	}, false),
	Entry("that has answered since: no", func(s *dispatch.State) {
		s.RecordEnd(now, "u1", started(s), dispatch.NotListening)
		s.RecordEnd(now, "u1", started(s), dispatch.Done)
	}, false),
)

// started returns a request with an attempt at u1.
func started(s *dispatch.State) *dispatch.Request {
	r := request(&getRoute, "plain", "")
	s.RecordStart("u1", r)
	return r
}
