package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

func holding(id string, models ...string) catalog.Upstream {
	u := catalog.Upstream{ID: id, Service: "llm", Address: "10.0.0.1:1", Born: 100}
	for _, m := range models {
		u.Models = append(u.Models, catalog.Resident{Model: m})
	}
	return u
}

// says is the report of an agent about an upstream that holds the models.
func says(id string, models ...string) *peer.State {
	s := &peer.State{}
	s.SetUpstream(holding(id, models...), 1)
	return s
}

var _ = Describe("fleet", func() {
	var s *fleet.State
	now := time.Unix(1000, 0)
	ids := func(at time.Time) []string {
		var out []string
		for _, m := range s.Members(at, "llm") {
			out = append(out, m.ID)
		}
		return out
	}
	BeforeEach(func() { s = fleet.New() })

	// The list came half a second after the agent's report and undid it, so requests waited for a model that was loaded
	// (decals, quiet-1: 18 requests waited until their callers left).
	It("keeps an agent's fresh report when the list arrives later", func() {
		s.Put(now, holding("u1"))
		s.ApplyReport(now, says("u1", "m"))
		s.Put(now.Add(500*time.Millisecond), holding("u1"))
		Expect(s.Get("u1").Serves("m")).To(BeTrue())
	})

	It("takes the list's word when the agent has not reported for a while", func() {
		s.Put(now, holding("u1"))
		s.ApplyReport(now, says("u1", "m"))
		s.Put(now.Add(5*time.Second), holding("u1"))
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
	})

	It("keeps what the upstream holds when a report says that nothing has changed", func() {
		s.Put(now, holding("u1"))
		Expect(s.Known("u1")).To(BeZero())
		s.ApplyReport(now, says("u1", "m"))
		Expect(s.Known("u1")).To(Equal(uint32(1)))
		s.ApplyReport(now, &peer.State{ID: "u1", Born: 100, Version: 1, Running: 4})
		Expect(s.Get("u1").Serves("m")).To(BeTrue())
		Expect(s.Get("u1").Load.Running).To(Equal(4))
	})

	// After a refusal the router's view is its own guess; it asks for the agent's again.
	It("asks for the holdings again after an upstream has refused for want of a model", func() {
		s.Put(now, holding("u1"))
		s.ApplyReport(now, says("u1", "m"))
		s.Absent("u1", "m", "")
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
		Expect(s.Known("u1")).To(BeZero())
	})

	It("ignores reports of upstreams that are not listed", func() {
		Expect(s.ApplyReport(now, says("u1", "m"))).To(BeFalse())
		Expect(s.Len()).To(Equal(0))
	})

	It("does not serve a model that is being unloaded", func() {
		s.Put(now, holding("u1"))
		r := says("u1", "m")
		r.Order = &placement.Order{Unload: true, Model: "m"}
		s.ApplyReport(now, r)
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
	})

	It("gives a draining upstream no requests, also when a later entry says that it is ready", func() {
		u := holding("u1", "m")
		u.Draining = true
		s.Put(now, u)
		s.Put(now, holding("u1", "m"))
		Expect(ids(now)).To(BeEmpty())
	})

	It("takes a restart under the same id for a new upstream", func() {
		u := holding("u1", "m")
		u.Draining = true
		s.Put(now, u)
		again := holding("u1")
		again.Born = 200
		s.Put(now, again)
		Expect(ids(now)).To(Equal([]string{"u1"}))
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
	})

	// After a loss of power the list named both incarnations of most upstreams for two seconds. Requests were sent for the
	// models of the earlier ones, refused, and used up the retry limit (decals-grown, trouble-2: 247 refusals).
	DescribeTable("gives an earlier incarnation at the address of a later one no requests", func(order ...string) {
		for _, id := range order {
			u := holding(id)
			if id == "u1" {
				u = holding(id, "m")
			} else {
				u.Born = 200
			}
			s.Put(now, u)
		}
		Expect(ids(now)).To(Equal([]string{"u2"}))
		Expect(s.IDsAt("10.0.0.1:1")).To(Equal([]string{"u2"}))
		Expect(s.TakeEnded()).To(Equal([]string{"u1"}))
		Expect(s.TakeEnded()).To(BeEmpty())
	},
		Entry("listed first", "u1", "u2"),
		Entry("listed last", "u2", "u1"),
	)

	Describe("an incarnation whose clock was behind at its start", func() {
		later := func() {
			u := holding("u2")
			u.Born = 200
			s.Put(now, u)
		}

		It("stays if its agent has reported", func() {
			s.Put(now, holding("u1"))
			s.ApplyReport(now, says("u1"))
			later()
			Expect(ids(now)).To(Equal([]string{"u1", "u2"}))
		})

		It("takes requests as soon as its agent reports", func() {
			s.Put(now, holding("u1"))
			later()
			Expect(ids(now)).To(Equal([]string{"u2"}))
			s.ApplyReport(now, says("u1"))
			Expect(ids(now)).To(Equal([]string{"u1", "u2"}))
		})

		It("takes requests when the entry of the one before is gone", func() {
			s.Put(now, holding("u1"))
			later()
			s.Remove(now, "u2")
			Expect(ids(now)).To(Equal([]string{"u1"}))
		})
	})

	// After a loss of power the list named the earlier incarnations for more than a second, and every request that was sent
	// by it was refused (decals-grown, trouble-2).
	It("takes a later incarnation from its agent before the list names it", func() {
		s.Put(now, holding("u1", "m"))
		again := says("u2")
		again.Born, again.Address = 200, "10.0.0.1:1"
		Expect(s.ApplyReport(now, again)).To(BeTrue())
		Expect(ids(now)).To(Equal([]string{"u2"}))
		Expect(s.Get("u2").Serves("m")).To(BeFalse())
		s.Sync(now.Add(time.Second), []catalog.Upstream{})
		Expect(ids(now.Add(time.Second))).To(Equal([]string{"u2"}))
		Expect(ids(now.Add(5 * time.Second))).To(BeEmpty()) // it never registered
	})

	It("does not take an earlier incarnation from an agent", func() {
		s.Put(now, holding("u1", "m"))
		late := says("u0")
		late.Born, late.Address = 50, "10.0.0.1:1"
		Expect(s.ApplyReport(now, late)).To(BeFalse())
		Expect(ids(now)).To(Equal([]string{"u1"}))
	})

	It("believes nothing of an old entry once one thing in it was wrong", func() {
		s.Put(now, holding("u1", "m", "n"))
		s.Absent("u1", "m", "")
		Expect(s.Get("u1").Serves("n")).To(BeFalse())
	})

	It("removes what the list no longer names", func() {
		s.Sync(now, []catalog.Upstream{holding("u1"), holding("u2")})
		s.Sync(now, []catalog.Upstream{holding("u2")})
		Expect(ids(now)).To(Equal([]string{"u2"}))
	})

	// Entries lapse while the store is out and come back within two seconds of its return.
	It("keeps entries that vanished in an outage for two seconds after it", func() {
		s.Sync(now, []catalog.Upstream{holding("u1"), holding("u2")})
		s.Returned(now)
		s.Sync(now, nil)
		Expect(ids(now.Add(1900 * time.Millisecond))).To(Equal([]string{"u1", "u2"}))
		s.Put(now.Add(time.Second), holding("u2"))
		Expect(ids(now.Add(2100 * time.Millisecond))).To(Equal([]string{"u2"}))
	})
})
