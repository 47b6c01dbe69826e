package loadplan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestLoadplan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadplan")
}

var start = time.Unix(1000, 0)

func permitRequest(id string, timeout time.Duration) loadplan.PermitRequest {
	return loadplan.PermitRequest{Request: wire.LoadPermitRequest{ID: id, VM: "vm-" + id, Bytes: 1e10, TimeoutMS: timeout.Milliseconds()}}
}

var _ = Describe("coordinator", func() {
	var c *loadplan.Coordinator
	BeforeEach(func() {
		c = loadplan.NewCoordinator(loadplan.MaxConcurrentLoads, 1e9) // a load takes 10 s
		for i := range loadplan.MaxConcurrentLoads {
			Expect(c.Step(start, permitRequest(fmt.Sprint(i), time.Minute))).To(HaveLen(1))
		}
	})

	// Guards against more concurrent loads than the store serves at full speed, and against issuing permits first
	// come, first served.
	It("issues permits by deadline, those that cannot be met last", func() {
		Expect(c.Step(start, permitRequest("late", 5*time.Second))).To(BeEmpty())
		Expect(c.Step(start, permitRequest("slack", time.Hour))).To(BeEmpty())
		Expect(c.Step(start, permitRequest("urgent", 30*time.Second))).To(BeEmpty())
		Expect(c.Running()).To(Equal(loadplan.MaxConcurrentLoads))
		var order []string
		for i := range 3 {
			for _, permit := range c.Step(start, loadplan.PermitRelease{ID: fmt.Sprint(i)}) {
				order = append(order, permit.ID)
			}
		}
		Expect(order).To(Equal([]string{"urgent", "slack", "late"}))
	})

	// Guards against a permit lost for good with a process that ended during a load.
	It("expires a permit after twice the predicted time", func() {
		c.Step(start, permitRequest("x", time.Hour))
		Expect(c.Step(start.Add(20*time.Second), loadplan.Tick{})).To(BeEmpty())
		Expect(c.Step(start.Add(20*time.Second+1), loadplan.Tick{})).To(Equal([]loadplan.Permit{{VM: "vm-x", ID: "x"}}))
	})

	// Guards against a repeated request that takes two permits, and against a withdrawn one that takes any.
	It("reissues the permit of a repeated request and drops a withdrawn request", func() {
		Expect(c.Step(start, permitRequest("0", time.Minute))).To(Equal([]loadplan.Permit{{VM: "vm-0", ID: "0"}}))
		Expect(c.Running()).To(Equal(loadplan.MaxConcurrentLoads))
		c.Step(start, permitRequest("x", time.Minute))
		c.Step(start, loadplan.PermitRelease{ID: "x"})
		Expect(c.Waiting()).To(BeZero())
	})

	// Guards against a queue that grows with every request.
	It("bounds the queue of requests", func() {
		for i := range loadplan.MaxWaiting + 10 {
			c.Step(start, permitRequest(fmt.Sprint("w", i), time.Minute))
		}
		Expect(c.Waiting()).To(Equal(loadplan.MaxWaiting))
	})
})

var _ = Describe("permit client", func() {
	// Guards against a load that waits for a coordinator that has ended, and against many loads without one.
	It("starts one load without a reply after 250 ms", func() {
		var client loadplan.PermitClient
		client.RecordRequest(start, "x", false)
		client.RecordRequest(start, "y", false)
		Expect(client.MayStart(start.Add(249*time.Millisecond), "x")).To(BeFalse())
		Expect(client.MayStart(start.Add(250*time.Millisecond), "x")).To(BeTrue())
		Expect(client.MayStart(start.Add(time.Minute), "y")).To(BeFalse())
		Expect(client.RecordIssued("y")).To(BeTrue())
		Expect(client.MayStart(start.Add(time.Minute), "y")).To(BeTrue())
		client.End("x")
		Expect(client.RecordIssued("x")).To(BeFalse(), "the permit of an ended load has to be released")
	})

	// Guards against loading without a permit although the coordinator is alive and has queued the request.
	It("waits for a coordinator that replies", func() {
		var client loadplan.PermitClient
		client.RecordRequest(start, "x", false)
		client.RecordQueued(start.Add(100*time.Millisecond), "x")
		Expect(client.MayStart(start.Add(time.Second), "x")).To(BeFalse())
		Expect(client.MayStart(start.Add(100*time.Millisecond+loadplan.LivenessTimeout), "x")).To(BeTrue())
		client.RecordRequest(start, "local", true)
		client.RecordQueued(start, "local")
		client.End("x")
		Expect(client.MayStart(start.Add(time.Hour), "local")).To(BeFalse(), "the coordinator in this process has the request")
	})
})

var _ = Describe("ranking", func() {
	// Guards against a choice that depends on the order of the list or that changes when an unrelated VM leaves.
	It("is stable", func() {
		vms := []string{"a", "b", "c", "d"}
		first := loadplan.CoordinatorOf(vms)
		Expect(loadplan.CoordinatorOf([]string{"d", "c", "b", "a"})).To(Equal(first))
		for _, gone := range vms {
			remaining := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == gone })
			if gone != first {
				Expect(loadplan.CoordinatorOf(remaining)).To(Equal(first))
			}
		}
		Expect(loadplan.Rank("m", vms)[0]).To(Equal(loadplan.FirstRanked("m", vms)))
		Expect(loadplan.CoordinatorOf(nil)).To(BeEmpty())
	})

	// Guards against a cap of 0, which would block all adapter loads, and against more than 30 loads at a time in a
	// small fleet.
	DescribeTable("adapter cap", func(upstreams, want int) { Expect(loadplan.AdapterLoadLimit(upstreams)).To(Equal(want)) },
		Entry("unknown", 0, 30), Entry("one", 1, 30), Entry("nine", 9, 3), Entry("many", 830, 1))
})
