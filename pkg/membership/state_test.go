package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Unix(1_800_000_000, 0)

func live(ids ...string) []vmlist.VM {
	var out []vmlist.VM
	for _, id := range ids {
		out = append(out, vmlist.VM{ID: id, State: vmlist.StateLive})
	}
	return out
}

func record(vm, incarnation string, version uint64, draining bool) store.Object {
	u := membership.Upstream{VM: vm, Incarnation: incarnation, Draining: draining}
	return store.Object{Key: membership.Key(vm), Version: version, Value: u.Encode()}
}

var _ = Describe("confirmation that a VM is gone", func() {
	// Guards against taking over grants or key slots of a VM that still runs. The reads map seconds after start to ids.
	DescribeTable("follows the reads", func(gone bool, reads map[int][]string, order ...int) {
		s := membership.New()
		for _, sec := range order {
			s.ApplyVMs(start.Add(time.Duration(sec)*time.Second), live(reads[sec]...))
		}
		Expect(s.Gone("a")).To(Equal(gone))
	},
		Entry("never listed", false, map[int][]string{0: {"b"}, 100: {"b"}}, 0, 100),
		Entry("absent for exactly the lag", false, map[int][]string{0: {"a"}, 2: {}, 32: {}}, 0, 2, 32),
		Entry("absent for longer than the lag", true, map[int][]string{0: {"a"}, 2: {}, 33: {}}, 0, 2, 33),
		Entry("one read without it after a long failure of the list", false, map[int][]string{0: {"a"}, 100: {}}, 0, 100),
		Entry("listed again in between", false, map[int][]string{0: {"a"}, 2: {}, 20: {"a"}, 22: {}, 40: {}}, 0, 2, 20, 22, 40),
	)
})

var _ = Describe("a VM that is only mentioned", func() {
	// Guards against grants and key slots that stay for ever with a VM that died before any running process had read it
	// from the list.
	DescribeTable("is gone once a read later than the lag does not contain it", func(after time.Duration, listed, gone bool) {
		s := membership.New()
		s.ApplyVMs(start, live("b"))
		s.RecordMention(start, "a")
		if listed {
			s.ApplyVMs(start.Add(time.Second), live("a", "b"))
		}
		s.ApplyVMs(start.Add(after), live("b"))
		Expect(s.Gone("a")).To(Equal(gone))
		Expect(s.GoneVMs()).NotTo(ContainElement("b"))
	},
		Entry("within the lag", vmlist.MaxLag, false, false),
		Entry("after the lag", vmlist.MaxLag+time.Second, false, true),
		Entry("listed in between", vmlist.MaxLag+time.Second, true, false))
})

var _ = Describe("candidates", func() {
	// Guards against new requests to an upstream that leaves, drains or has no record.
	It("are live, not draining and have a record", func() {
		s := membership.New()
		vms := append(live("a", "b", "c"), vmlist.VM{ID: "d", State: vmlist.StateLeaving})
		s.ApplyVMs(start, vms)
		for _, o := range []store.Object{record("d", "1", 1, false), record("c", "1", 2, true), record("a", "1", 3, false), record("e", "1", 4, false)} {
			Expect(s.ApplyObject(o)).To(Succeed())
		}
		Expect(s.Candidates()).To(HaveExactElements(HaveField("VM", "a")))
		Expect(s.Upstreams()).To(HaveLen(3))
		Expect(s.Leaving("d")).To(BeTrue())
		s.ApplyVMs(start.Add(time.Second), nil)
		Expect(s.Candidates()).To(BeEmpty())
	})

	// Guards against an announcement of draining that is lost on a rewrite or stale read of the same incarnation's
	// record, or that outlives a restart of the agent.
	It("keep an announcement for one incarnation", func() {
		s := membership.New()
		s.ApplyVMs(start, live("a"))
		Expect(s.ApplyObject(record("a", "1", 5, false))).To(Succeed())
		s.RecordDraining("a")
		Expect(s.ApplyObject(record("a", "1", 6, false))).To(Succeed())
		Expect(s.Candidate("a")).To(BeFalse())
		Expect(s.ApplyObject(record("a", "2", 7, false))).To(Succeed())
		Expect(s.Candidate("a")).To(BeTrue())
		Expect(s.ApplyObject(record("a", "1", 6, true))).To(Succeed())
		Expect(s.Candidate("a")).To(BeTrue())
		Expect(s.ApplyObject(store.Object{Key: membership.Key("a"), Version: 8, Deleted: true})).To(Succeed())
		Expect(s.Candidates()).To(BeEmpty())
	})
})
