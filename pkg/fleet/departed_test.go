package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

var _ = Describe("an upstream that was removed and is listed again", func() {
	const started = 100
	now := time.Unix(1000, 0)
	var s *fleet.State
	accepts := func(at time.Time) bool { return len(s.Members(at, "llm")) == 1 }
	put := func(at time.Time, startedUnixMS int64, draining bool) {
		u := upstreamWith("u1", "m")
		u.StartedUnixMS, u.Draining = startedUnixMS, draining
		s.Put(at, u)
	}
	BeforeEach(func() { s = fleet.New() })

	It("serves at once if it had lapsed while it lived", func() {
		put(now, started, false)
		s.Remove(now, "u1")
		put(now.Add(time.Second), started, false)
		Expect(accepts(now.Add(time.Second))).To(BeTrue())
	})

	// Guards against an upstream that never serves again, although its entry is not that of the copy.
	It("serves in a restored list once its registration would have lapsed, or its agent has reported", func() {
		put(now, started, false)
		s.Remove(now, "u1")
		s.RecordRestore(now.Add(time.Second))
		put(now.Add(time.Second), started, false)
		Expect(accepts(now.Add(4 * time.Second))).To(BeFalse())
		Expect(accepts(now.Add(5 * time.Second))).To(BeTrue())
		s.ApplyReport(now.Add(2*time.Second), reportHolding("u1", "m"))
		Expect(accepts(now.Add(2 * time.Second))).To(BeTrue())
	})

	It("does not serve if it was leaving, unless it is another instance", func() {
		put(now, started, true)
		s.Remove(now, "u1")
		s.RecordRestore(now.Add(time.Second))
		put(now.Add(time.Second), started, false)
		Expect(accepts(now.Add(time.Minute))).To(BeFalse())
		put(now.Add(2*time.Second), started+1, false)
		Expect(accepts(now.Add(2 * time.Second))).To(BeTrue())
	})

	It("serves if its instance is not known, since it may have started again", func() {
		put(now, 0, true)
		s.Remove(now, "u1")
		put(now.Add(time.Second), 0, false)
		Expect(accepts(now.Add(time.Second))).To(BeTrue())
	})
})
