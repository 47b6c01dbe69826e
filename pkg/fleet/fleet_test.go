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

func upstreamWith(id string, models ...string) catalog.Upstream {
	u := catalog.Upstream{ID: id, Service: "llm", Address: "10.0.0.1:1", StartedUnixMS: 100}
	for _, m := range models {
		u.Models = append(u.Models, catalog.Resident{Model: m})
	}
	return u
}

// reportHolding returns an agent's report of an upstream that has the models loaded.
func reportHolding(id string, models ...string) *peer.Report {
	r := &peer.Report{}
	r.SetUpstream(upstreamWith(id, models...), 1)
	return r
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

	// Guards against a list that arrives after the agent's report and undoes it, so that requests wait for a model
	// that is loaded: the list came half a second later, and 18 requests waited until their callers disconnected
	// (decals, quiet-1).
	It("keeps an agent's fresh report when the list arrives later", func() {
		s.Put(now, upstreamWith("u1"))
		s.ApplyReport(now, reportHolding("u1", "m"))
		s.Put(now.Add(500*time.Millisecond), upstreamWith("u1"))
		Expect(s.Get("u1").Serves("m")).To(BeTrue())
	})

	It("follows the list when the agent has not reported for a while", func() {
		s.Put(now, upstreamWith("u1"))
		s.ApplyReport(now, reportHolding("u1", "m"))
		s.Put(now.Add(5*time.Second), upstreamWith("u1"))
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
	})

	It("keeps the holdings when a report contains none", func() {
		s.Put(now, upstreamWith("u1"))
		Expect(s.HoldingsVersion("u1")).To(BeZero())
		s.ApplyReport(now, reportHolding("u1", "m"))
		Expect(s.HoldingsVersion("u1")).To(Equal(uint32(1)))
		s.ApplyReport(now, &peer.Report{ID: "u1", StartedUnixMS: 100, HoldingsVersion: 1, Running: 4})
		Expect(s.Get("u1").Serves("m")).To(BeTrue())
		Expect(s.Get("u1").Load.Running).To(Equal(4))
	})

	// Guards against a router that keeps its own guess of the holdings after a refusal instead of requesting them
	// from the agent.
	It("requests the holdings again after an upstream has refused because a model is not loaded", func() {
		s.Put(now, upstreamWith("u1"))
		s.ApplyReport(now, reportHolding("u1", "m"))
		s.RecordMissing("u1", "m", "")
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
		Expect(s.HoldingsVersion("u1")).To(BeZero())
	})

	It("ignores reports of upstreams that are not listed", func() {
		Expect(s.ApplyReport(now, reportHolding("u1", "m"))).To(BeFalse())
		Expect(s.Len()).To(Equal(0))
	})

	It("does not serve a model that is being unloaded", func() {
		s.Put(now, upstreamWith("u1"))
		r := reportHolding("u1", "m")
		r.Order = &placement.Order{Unload: true, Model: "m"}
		s.ApplyReport(now, r)
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
	})

	It("excludes a draining upstream even if a later entry says that it is ready", func() {
		u := upstreamWith("u1", "m")
		u.Draining = true
		s.Put(now, u)
		s.Put(now, upstreamWith("u1", "m"))
		Expect(ids(now)).To(BeEmpty())
	})

	It("treats a restart under the same id as a new upstream", func() {
		u := upstreamWith("u1", "m")
		u.Draining = true
		s.Put(now, u)
		restarted := upstreamWith("u1")
		restarted.StartedUnixMS = 200
		s.Put(now, restarted)
		Expect(ids(now)).To(Equal([]string{"u1"}))
		Expect(s.Get("u1").Serves("m")).To(BeFalse())
	})

	// Guards against requests to earlier instances. After a power loss the list named both instances of most
	// upstreams for two seconds; requests for the models of the earlier ones were refused and used up the retry limit
	// (decals-grown, trouble-2: 247 refusals).
	DescribeTable("excludes an earlier instance at the address of a later one", func(order ...string) {
		var ended []string
		s.OnEnd(func(_ time.Time, id string, replaced bool) {
			Expect(replaced).To(BeTrue())
			ended = append(ended, id)
		})
		for _, id := range order {
			u := upstreamWith(id)
			if id == "u1" {
				u = upstreamWith(id, "m")
			} else {
				u.StartedUnixMS = 200
			}
			s.Put(now, u)
		}
		Expect(ids(now)).To(Equal([]string{"u2"}))
		Expect(s.IDsAt("10.0.0.1:1")).To(Equal([]string{"u2"}))
		Expect(ended).To(Equal([]string{"u1"}))
	},
		Entry("listed first", "u1", "u2"),
		Entry("listed last", "u2", "u1"),
	)

	Describe("an instance whose clock was behind at its start", func() {
		later := func() {
			u := upstreamWith("u2")
			u.StartedUnixMS = 200
			s.Put(now, u)
		}

		It("stays if its agent has reported", func() {
			s.Put(now, upstreamWith("u1"))
			s.ApplyReport(now, reportHolding("u1"))
			later()
			Expect(ids(now)).To(Equal([]string{"u1", "u2"}))
		})

		It("gets requests as soon as its agent reports", func() {
			s.Put(now, upstreamWith("u1"))
			later()
			Expect(ids(now)).To(Equal([]string{"u2"}))
			s.ApplyReport(now, reportHolding("u1"))
			Expect(ids(now)).To(Equal([]string{"u1", "u2"}))
		})

		It("gets requests when the entry of the other instance is removed", func() {
			s.Put(now, upstreamWith("u1"))
			later()
			s.Remove(now, "u2")
			Expect(ids(now)).To(Equal([]string{"u1"}))
		})
	})

	// Guards against requests to an instance that has ended: after a power loss the list named the earlier
	// instances for more than a second, and every request sent to them was refused (decals-grown, trouble-2).
	It("replaces an instance by a later one when the agent of that reports before the list names it", func() {
		s.Put(now, upstreamWith("u1", "m"))
		restarted := reportHolding("u2", "n")
		restarted.StartedUnixMS, restarted.Address = 200, "10.0.0.1:1"
		Expect(s.ApplyReport(now, restarted)).To(BeTrue())
		Expect(ids(now)).To(BeEmpty())
		Expect(s.Get("u2").Serves("m")).To(BeFalse())
		s.Sync(now.Add(time.Second), []catalog.Upstream{upstreamWith("u1", "m")})
		Expect(s.Get("u2")).NotTo(BeNil())
		Expect(ids(now.Add(time.Second))).To(BeEmpty())
		registered := upstreamWith("u2")
		registered.StartedUnixMS = 200
		s.Put(now.Add(2*time.Second), registered)
		Expect(ids(now.Add(2 * time.Second))).To(Equal([]string{"u2"}))
		Expect(s.Get("u2").Serves("n")).To(BeTrue())
	})

	It("drops an upstream that its agent has reported and that never registers", func() {
		s.Put(now, upstreamWith("u1", "m"))
		restarted := reportHolding("u2")
		restarted.StartedUnixMS, restarted.Address = 200, "10.0.0.1:1"
		s.ApplyReport(now, restarted)
		s.Sync(now.Add(time.Second), nil)
		Expect(s.Get("u2")).NotTo(BeNil())
		s.Expire(now.Add(5 * time.Second))
		Expect(s.Get("u2")).To(BeNil())
		Expect(s.Len()).To(Equal(0))
	})

	It("ignores an agent's report of an earlier instance", func() {
		s.Put(now, upstreamWith("u1", "m"))
		earlier := reportHolding("u0")
		earlier.StartedUnixMS, earlier.Address = 50, "10.0.0.1:1"
		Expect(s.ApplyReport(now, earlier)).To(BeFalse())
		Expect(ids(now)).To(Equal([]string{"u1"}))
	})

	It("counts no model of a list entry as loaded after one was missing", func() {
		s.Put(now, upstreamWith("u1", "m", "n"))
		s.RecordMissing("u1", "m", "")
		Expect(s.Get("u1").Serves("n")).To(BeFalse())
	})

	It("removes upstreams that the list no longer names", func() {
		s.Sync(now, []catalog.Upstream{upstreamWith("u1"), upstreamWith("u2")})
		s.Sync(now, []catalog.Upstream{upstreamWith("u2")})
		Expect(ids(now)).To(Equal([]string{"u2"}))
	})

	// Guards against losing live upstreams whose entries expire while the store is out; they register again within
	// two seconds of its recovery.
	It("keeps entries that vanished during an outage for two seconds after the recovery", func() {
		s.Sync(now, []catalog.Upstream{upstreamWith("u1"), upstreamWith("u2")})
		s.RecordStoreRecovery(now)
		s.Sync(now, nil)
		Expect(ids(now.Add(1900 * time.Millisecond))).To(Equal([]string{"u1", "u2"}))
		s.Put(now.Add(time.Second), upstreamWith("u2"))
		Expect(ids(now.Add(2100 * time.Millisecond))).To(Equal([]string{"u2"}))
	})

	// Guards against an end that is known only with the next request.
	It("ends what vanished during an outage although no request asks for upstreams", func() {
		var ended []string
		s.OnEnd(func(at time.Time, id string, replaced bool) {
			Expect(replaced).To(BeFalse())
			Expect(at).To(Equal(now.Add(2 * time.Second)))
			ended = append(ended, id)
		})
		s.Sync(now, []catalog.Upstream{upstreamWith("u1")})
		s.RecordStoreRecovery(now)
		s.Remove(now, "u1")
		s.Expire(now.Add(time.Second))
		Expect(ended).To(BeEmpty())
		s.Expire(now.Add(2 * time.Second))
		Expect(ended).To(Equal([]string{"u1"}))
	})
})
