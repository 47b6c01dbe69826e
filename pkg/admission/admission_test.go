package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.UnixMilli(1_000_000)

func anyID(string) bool { return true }

var _ = Describe("the queue", func() {
	var q *admission.Queue
	BeforeEach(func() { q = admission.New(admission.Limits{Count: 3, Bytes: 100}, 1) })
	offer := func(id string, prio int, after time.Duration) *admission.Refusal {
		return q.Offer(start, admission.Request{ID: id, Priority: prio, Deadline: start.Add(after), Bytes: 10}, false, 0)
	}
	next := func(now time.Time) string {
		id, _ := q.Next(now, anyID)
		return id
	}
	finish := func(id string, took time.Duration) {
		q.Done(start.Add(took), id, true)
	}

	// Guards against memory growing with the number or the size of queued requests.
	It("is bounded by count and bytes", func() {
		Expect(q.Offer(start, admission.Request{ID: "big", Deadline: start.Add(time.Minute), Bytes: 101}, false, 0).Code).To(Equal(wire.CodeQueueFull))
		for _, id := range []string{"a", "b", "c"} {
			Expect(offer(id, 0, time.Minute)).To(BeNil())
		}
		full := offer("d", 9, time.Minute)
		Expect(full.Code).To(Equal(wire.CodeQueueFull))
		Expect(full.RetryAfter).To(BeNumerically(">=", time.Second))
		Expect(q.Remove("a")).To(BeTrue())
		Expect(offer("d", 9, time.Minute)).To(BeNil())
	})

	// Guards against serving a low priority before a high one (a patron's before the head librarian's), and a late
	// deadline before an early one.
	It("orders by priority, then deadline, then arrival", func() {
		Expect(offer("late", 1, 40*time.Second)).To(BeNil())
		Expect(offer("early", 1, 30*time.Second)).To(BeNil())
		Expect(offer("urgent", 5, time.Minute)).To(BeNil())
		for _, want := range []string{"urgent", "early", "late"} {
			Expect(next(start)).To(Equal(want))
			Expect(next(start)).To(BeEmpty()) // the only slot is in use
			finish(want, 0)
		}
	})

	// Guards against starvation of a low-priority request by a stream of urgent ones.
	It("lets waiting requests age", func() {
		Expect(offer("low", 0, 10*time.Minute)).To(BeNil())
		served := ""
		now := start
		for i := 0; served != "low"; i++ {
			Expect(now.Sub(start)).To(BeNumerically("<", 25*time.Second))
			now = now.Add(time.Second)
			q.Offer(now, admission.Request{ID: fmt.Sprint(i), Priority: 9, Deadline: now.Add(time.Minute)}, false, 0)
			served = next(now)
			q.Done(now, served, true)
		}
	})

	// Guards against queueing a request that cannot be served in time.
	It("refuses early by the predicted wait", func() {
		Expect(offer("a", 0, time.Minute)).To(BeNil())
		finish(next(start), 4*time.Second)
		Expect(offer("a", 0, time.Minute)).To(BeNil())
		Expect(next(start)).To(Equal("a"))
		Expect(offer("b", 0, 5*time.Second)).To(BeNil())
		late := offer("c", 0, 7*time.Second)
		Expect(late.Code).To(Equal(wire.CodeTooLate))
		Expect(late.RetryAfter).To(Equal(8 * time.Second))
		Expect(offer("c", 1, 7*time.Second)).To(BeNil()) // precedes b
	})

	// Guards against starting a request after its deadline.
	It("expires waiting requests", func() {
		Expect(offer("a", 0, time.Second)).To(BeNil())
		Expect(offer("b", 0, time.Minute)).To(BeNil())
		Expect(q.Expire(start.Add(time.Second))).To(Equal([]string{"a"}))
		Expect(q.Offer(start, admission.Request{ID: "c", Deadline: start}, false, 0).Code).To(Equal(wire.CodeExpired))
		Expect(next(start.Add(time.Hour))).To(BeEmpty())
	})

	// Guards against a cold model delaying requests for loaded ones, and against predictions that ignore the load time.
	It("keeps cold requests apart from the others", func() {
		cold := admission.Request{ID: "cold", Target: engine.Target{Model: "m"}, Priority: 9, Deadline: start.Add(time.Minute)}
		Expect(q.Offer(start, cold, true, time.Second)).To(BeNil())
		Expect(offer("warm", 0, time.Minute)).To(BeNil())
		Expect(next(start)).To(Equal("warm"))
		finish("warm", 0)
		Expect(next(start)).To(BeEmpty())
		Expect(q.TargetLoaded(cold.Target)).To(Equal([]string{"cold"}))
		Expect(next(start.Add(6 * time.Second))).To(Equal("cold"))
		finish("cold", 6*time.Second)
		cold.ID, cold.Deadline = "late", start.Add(5*time.Second)
		Expect(q.Offer(start, cold, true, 6*time.Second).Code).To(Equal(wire.CodeTooLate))
		cold.ID, cold.Deadline = "kept", start.Add(time.Minute)
		Expect(q.Offer(start, cold, true, time.Second)).To(BeNil())
		Expect(q.TargetFailed(cold.Target)).To(Equal([]string{"kept"}))
		Expect(q.Len()).To(BeZero())
	})
})
