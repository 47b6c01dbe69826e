package grant_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

func TestGrant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "grant")
}

func stamp(v uint64, digest string) config.Stamp { return config.Stamp{Version: v, Digest: digest} }

func object(ceiling int, vms ...string) grant.Object {
	o := grant.Object{Ceiling: ceiling, Stamp: stamp(2, "b")}
	for _, vm := range vms {
		o.Generation++
		o.Grants = append(o.Grants, grant.Grant{VM: vm, Incarnation: "old", Generation: o.Generation})
	}
	return o
}

var noneGone = func(string) bool { return false }

var _ = Describe("rules", func() {
	// Guards against a grant beyond the ceiling and against a second entry of one VM.
	It("acquires up to the ceiling, one entry for each VM", func() {
		o, err := grant.Acquire(object(2, "vm1"), "vm2", "i")
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Grants[1]).To(Equal(grant.Grant{VM: "vm2", Incarnation: "i", Generation: 2}))
		_, err = grant.Acquire(o, "vm3", "i")
		Expect(err).To(MatchError(grant.ErrCeiling))
		again, err := grant.Acquire(o, "vm1", "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Holders()).To(Equal([]string{"vm1", "vm2"}))
		Expect(again.Grants[0]).To(Equal(grant.Grant{VM: "vm1", Incarnation: "j", Generation: 3}))
	})

	// Guards against a function that modifies the slice of its argument.
	It("leaves its argument unchanged", func() {
		o := object(3, "vm1", "vm2")
		before := string(o.Encode())
		_, _ = grant.Stamp(o, "vm1", "new")
		_, _ = grant.Release(o, "vm1")
		_, _ = grant.RemoveGone(o, func(vm string) bool { return vm == "vm1" })
		_, _ = grant.Acquire(o, "vm3", "new")
		Expect(string(o.Encode())).To(Equal(before))
	})

	// Guards against an old configuration that raises a ceiling set by a newer one, and against a configuration that
	// lost the race for its version and keeps the ceiling low.
	DescribeTable("ceilings", func(version uint64, digest string, ceiling, want int, changed bool) {
		o, ok := grant.SetCeiling(object(2), ceiling, stamp(version, digest))
		Expect(ok).To(Equal(changed))
		Expect(o.Ceiling).To(Equal(want))
		if changed {
			Expect(o.Stamp).To(Equal(stamp(version, digest)))
		}
	},
		Entry("newer raises", uint64(3), "c", 5, 5, true),
		Entry("newer with the same ceiling replaces the stamp", uint64(3), "c", 2, 2, true),
		Entry("same version, other digest", uint64(2), "c", 5, 5, true),
		Entry("same stamp", uint64(2), "b", 5, 2, false),
		Entry("older", uint64(1), "a", 5, 2, false),
		Entry("negative counts as zero", uint64(3), "c", -1, 0, true),
	)

	// Guards against revoking the grant of the wrong VM after a limit was lowered.
	It("revokes the newest entries", func() {
		o := object(1, "vm1", "vm2", "vm3")
		Expect([]bool{o.IsRevoked("vm1"), o.IsRevoked("vm2"), o.IsRevoked("vm3"), o.IsRevoked("vm4")}).To(Equal([]bool{false, true, true, false}))
		Expect(o.Excess()).To(Equal(2))
		Expect(object(2, "vm1").Excess()).To(BeZero())
	})
})

var _ = Describe("absence", func() {
	// Guards against treating a VM as gone that was not listed yet, that was missing from one read, or that is listed
	// again.
	It("confirms a VM gone only after 30 s of reads without it", func() {
		var a grant.AbsenceTracker
		now := time.Unix(0, 0)
		vm := []vmlist.VM{{ID: "vm1"}}
		a.ApplyVMs(now, vm)
		a.ApplyVMs(now.Add(time.Minute), nil)
		Expect(a.Gone("vm1")).To(BeFalse(), "first read without it")
		a.ApplyVMs(now.Add(time.Minute+vmlist.MaxLag), nil)
		Expect(a.Gone("vm1")).To(BeFalse(), "not longer than the lag")
		a.ApplyVMs(now.Add(time.Minute+vmlist.MaxLag+time.Second), nil)
		Expect(a.Gone("vm1")).To(BeTrue())
		Expect(a.Gone("never seen")).To(BeFalse())
		a.ApplyVMs(now.Add(2*time.Minute), vm)
		Expect(a.Gone("vm1")).To(BeFalse(), "listed again")
	})
})

var _ = Describe("client", func() {
	var c *grant.Client
	one := grant.Ceiling{Replicas: 1, Stamp: stamp(2, "b")}
	plan := func(in grant.Intent) *grant.Write {
		w, err := c.Plan(in, one, noneGone)
		Expect(err).NotTo(HaveOccurred())
		return w
	}
	BeforeEach(func() { c = grant.NewClient("vm1", "new") })

	// Guards against a load under a grant whose write is unresolved, and against a limit that does not count that
	// grant.
	It("counts an unresolved acquisition for limits only", func() {
		Expect(c.Observe(0, nil)).To(Succeed())
		w := plan(grant.IntentAcquire)
		Expect(w.Expect).To(Equal(store.MustNotExist))
		Expect([]bool{c.MayLoad(), c.MayHaveEntry()}).To(Equal([]bool{false, true}))
		Expect(c.RecordWriteResult(7, nil)).To(BeFalse())
		Expect([]bool{c.MayLoad(), c.MayHaveEntry()}).To(Equal([]bool{true, true}))
	})

	// Guards against loads before the stamp, while a release by the earlier process may still take effect.
	It("does not load under an entry of an earlier incarnation", func() {
		Expect(c.Observe(5, object(1, "vm1").Encode())).To(Succeed())
		Expect([]bool{c.MayLoad(), c.MayHaveEntry()}).To(Equal([]bool{false, true}))
		Expect(plan(grant.IntentAcquire)).NotTo(BeNil())
		c.RecordWriteResult(6, nil)
		Expect(c.MayLoad()).To(BeTrue())
	})

	// Guards against loads while a release with a lost reply may still take effect.
	It("permits no loads after a lost release until the object has a newer version", func() {
		granted, _ := grant.Stamp(object(1, "vm1"), "vm1", "new")
		Expect(c.Observe(5, granted.Encode())).To(Succeed())
		Expect(c.MayLoad()).To(BeTrue())
		plan(grant.IntentRelease)
		Expect(c.RecordWriteResult(0, store.ErrUnknown)).To(BeTrue())
		Expect(c.Observe(5, granted.Encode())).To(Succeed())
		Expect([]bool{c.MayLoad(), c.MayHaveEntry(), c.HasUnresolvedWrite()}).To(Equal([]bool{false, true, true}))
		Expect(plan(grant.IntentAcquire).Expect).To(Equal(uint64(5)))
		Expect(c.RecordWriteResult(0, store.ErrUnavailable)).To(BeTrue(), "the lost release is still unresolved")
		Expect(c.MayLoad()).To(BeFalse())
		plan(grant.IntentAcquire)
		Expect(c.RecordWriteResult(0, store.ErrConflict)).To(BeTrue())
		Expect([]bool{c.IsCurrent(), c.MayLoad()}).To(Equal([]bool{false, false}))
		Expect(c.Observe(6, object(1).Encode())).To(Succeed())
		Expect([]bool{c.MayLoad(), c.MayHaveEntry(), c.HasUnresolvedWrite()}).To(Equal([]bool{false, false, false}))
	})

	// Guards against a delayed read that brings back a released grant.
	It("ignores objects older than the newest observed", func() {
		granted, _ := grant.Stamp(object(1, "vm1"), "vm1", "new")
		Expect(c.Observe(5, granted.Encode())).To(Succeed())
		plan(grant.IntentRelease)
		c.RecordWriteResult(6, nil)
		Expect(c.Observe(5, granted.Encode())).To(Succeed())
		Expect(c.Observe(0, nil)).To(Succeed())
		Expect([]bool{c.MayLoad(), c.MayHaveEntry()}).To(Equal([]bool{false, false}))
		Expect(c.Object().Ceiling).To(Equal(1))
	})

	// Guards against a failed write of another VM's entry that makes the VM's own grant unusable, as in a store outage.
	It("keeps its grant usable after a removal of others that had no effect", func() {
		o := object(2, "vm1", "gone")
		granted, _ := grant.Stamp(o, "vm1", "new")
		Expect(c.Observe(5, granted.Encode())).To(Succeed())
		w, err := c.Plan(grant.IntentRemoveGone, grant.Ceiling{Replicas: 2, Stamp: o.Stamp}, func(vm string) bool { return vm == "gone" })
		Expect(err).NotTo(HaveOccurred())
		Expect(w).NotTo(BeNil())
		Expect(c.MayLoad()).To(BeTrue())
		Expect(c.RecordWriteResult(0, store.ErrUnavailable)).To(BeFalse())
		Expect([]bool{c.MayLoad(), c.HasUnresolvedWrite()}).To(Equal([]bool{true, false}))
	})

	// Guards against an agent that ignores a limit lowered by the configuration that it accepted.
	It("is revoked by the stored ceiling or by the accepted configuration", func() {
		Expect(c.Observe(5, object(1, "vm1").Encode())).To(Succeed())
		Expect(c.IsRevoked(one)).To(BeFalse())
		Expect(c.IsRevoked(grant.Ceiling{Replicas: 0, Stamp: stamp(3, "c")})).To(BeTrue())
		Expect(c.IsRevoked(grant.Ceiling{Replicas: 0, Stamp: stamp(1, "a")})).To(BeFalse())
		Expect(c.Observe(6, object(0, "vm1").Encode())).To(Succeed())
		Expect(c.IsRevoked(grant.Ceiling{Replicas: 9, Stamp: stamp(1, "a")})).To(BeTrue())
	})

	// Guards against treating an undecodable object as an empty one.
	It("reports a value that does not decode", func() { Expect(c.Observe(5, []byte("{"))).NotTo(Succeed()) })
})
