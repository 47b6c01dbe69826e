package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

var _ = Describe("an upstream that starts again under its id", func() {
	start := time.Unix(1000, 0)
	restarted := func() catalog.Upstream {
		u := upstreamWith("u1", "m")
		u.StartedUnixMS += 2500
		return u
	}
	report := func() *peer.Report {
		r := reportHolding("u1", "m")
		r.StartedUnixMS = restarted().StartedUnixMS
		return r
	}

	// Guards against requests that run at another service: a report of a later start was taken for one of the listed
	// instance, whose service stayed.
	DescribeTable("gets no requests for the service of the instance before it", func(other catalog.Upstream) {
		s := fleet.New()
		var ended []string
		s.OnEnd(func(_ time.Time, id string, replaced bool) {
			Expect(replaced).To(BeTrue())
			ended = append(ended, id)
		})
		s.Put(start, upstreamWith("u1", "m"))
		s.ApplyReport(start, reportHolding("u1", "m"))
		Expect(s.ApplyReport(start.Add(2500*time.Millisecond), report())).To(BeTrue())
		Expect(ended).To(Equal([]string{"u1"}))
		Expect(s.Members(start.Add(2500*time.Millisecond), "llm")).To(BeEmpty())
		s.Put(start.Add(2600*time.Millisecond), upstreamWith("u1", "m")) // a listing before the instance has registered
		Expect(s.Members(start.Add(2600*time.Millisecond), "llm")).To(BeEmpty())
		s.Put(start.Add(3*time.Second), other)
		s.ApplyReport(start.Add(3100*time.Millisecond), report())
		members := s.Members(start.Add(3100*time.Millisecond), other.Service)
		Expect(members).To(HaveLen(1))
		Expect(members[0].StartedUnixMS).To(Equal(other.StartedUnixMS))
		Expect(members[0].Serves("m")).To(BeTrue())
	},
		Entry("and belongs to another service", func() catalog.Upstream {
			u := restarted()
			u.Service = "other"
			return u
		}()),
		Entry("until it has registered", restarted()),
	)

	// Guards against engines without work until the router reads their entry: their agent knows the service.
	It("gets requests for the service that its agent states until the list states one", func() {
		s := fleet.New()
		s.Put(start, upstreamWith("u1", "m"))
		s.ApplyReport(start, report())
		Expect(s.Members(start, "llm")).To(BeEmpty())
		known := report()
		known.Service = "llm"
		Expect(s.ApplyReport(start, known)).To(BeTrue())
		Expect(s.Members(start, "llm")).To(HaveLen(1))
		other := restarted()
		other.Service = "other"
		s.Put(start.Add(time.Second), other)
		s.ApplyReport(start.Add(1100*time.Millisecond), known)
		Expect(s.Members(start.Add(1100*time.Millisecond), "llm")).To(BeEmpty())
		Expect(s.Members(start.Add(1100*time.Millisecond), "other")).To(HaveLen(1))
	})

	It("is the listed instance again if the reported one does not register", func() {
		s := fleet.New()
		s.Put(start, upstreamWith("u1", "m"))
		s.ApplyReport(start, report())
		s.Put(start.Add(time.Second), upstreamWith("u1", "m"))
		Expect(s.Members(start.Add(3*time.Second), "llm")).To(BeEmpty())
		Expect(s.Members(start.Add(5*time.Second), "llm")).To(HaveLen(1))
	})
})
