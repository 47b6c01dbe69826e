package agent

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// completion returns a completion request with an empty body and the given timeout.
func completion(request string, timeout time.Duration) *wire.Open {
	return &wire.Open{Request: request, Kind: wire.KindModel, Caller: "c", Service: "s", Target: engine.Target{Model: "m"},
		Method: "POST", Path: "/v1/completions", TimeoutMS: timeout.Milliseconds()}
}

var _ = Describe("deadlines", func() {
	// Guards against a long stream that is truncated at its deadline, which only bounds the start of the answer.
	DescribeTable("bound the start of an answer", func(started, stopped bool) {
		r := newRig("g", limits)
		r.open(completion("a", 5*time.Second))
		r.advance(time.Second)
		Expect(r.started()).To(Equal([]string{"a"}))
		if started {
			r.step(AnswerStarted{Job: "a", Run: 1})
		}
		r.advance(time.Minute)
		_, stop := last[StopCall](r)
		Expect(stop).To(Equal(stopped))
	},
		Entry("an answer that has started continues", true, false),
		Entry("an answer that has not started is stopped", false, true))

	// Guards against a model that is never loaded because its load takes longer than any caller waits.
	It("do not stop the load of a refused cold start", func() {
		r := newRig("g", limits)
		big := func(c *config.Config) {
			c.Limits.UpstreamMemoryBytes = 1 << 40
			c.Models[0].MemoryBytes = 14 << 30 // 30 s at the assumed speed of the weight store
		}
		r.listing.MemoryBytes = 1 << 40
		r.configure(big)
		r.restart("g", limits)
		r.open(completion("a", 5*time.Second))
		first := r.refusal()
		Expect(first.Code).To(Equal(wire.CodeTooLate))
		Expect(first.Outcome).To(Equal(wire.OutcomeNotRun))
		Expect(first.RetryAfterMS).To(BeNumerically(">", 5000))
		r.advance(time.Second)
		r.open(completion("b", 5*time.Second))
		Expect(r.started()).To(Equal([]string{"b"}))
	})
})

// configure replaces the configuration in the store by a changed one.
func (r *rig) configure(change func(*config.Config)) {
	e, err := config.DecodeEnvelope(testConfig())
	Expect(err).NotTo(HaveOccurred())
	c, err := config.Decode(e.Raw)
	Expect(err).NotTo(HaveOccurred())
	change(c)
	raw, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	value, err := config.NewEnvelope(0, raw).Encode()
	Expect(err).NotTo(HaveOccurred())
	r.revision++
	r.objects[store.KeyConfig] = store.Object{Key: store.KeyConfig, Version: r.revision, Value: value}
}

var _ = Describe("a drain", func() {
	// Guards against an agent that waits for the store throughout an outage although its process is to be replaced.
	DescribeTable("ends without the store", func(leaving bool, group string) {
		r := newRig(group, limits)
		r.storeUp = false
		r.step(Drain{Leaving: leaving})
		r.advance(time.Second)
		r.advance(handoverTimeout)
		Expect(r.core.IsDrained()).To(BeTrue())
	},
		Entry("of an agent with key slots", false, "p"), Entry("of a leaving agent with key slots", true, "p"),
		Entry("of a leaving agent beside a model engine", true, "g"))

	// Guards against a drain that ends while a request runs.
	It("waits for running requests without the store", func() {
		r := newRig("p", limits)
		r.open(loan("a", keyAt(r.now, 1)))
		r.storeUp = false
		r.step(Drain{})
		r.advance(2 * handoverTimeout)
		Expect(r.core.IsDrained()).To(BeFalse())
	})
})
