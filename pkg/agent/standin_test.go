package agent

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine/plain"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// provision returns an engine client that is connected to a stand-in.
func provision[T interface {
	kernel.Module
	engine.Engine
}](ctx SpecContext, e T, url string) T {
	GinkgoHelper()
	Expect(e.Provision(ctx, kernel.Settings{"url": url})).To(Succeed())
	Expect(e.Validate()).To(Succeed())
	return e
}

// chat returns a streamed completion request with a JSON body.
func chat(request, model, text string, tokens int) *wire.Open {
	o := attempt(prompt(request, model), 1, 0)
	o.Body = fmt.Appendf(nil, `{"model":%q,"prompt":%q,"stream":true,"max_tokens":%d}`, model, text, tokens)
	return o
}

var _ = Describe("an agent with a stand-in upstream", func() {
	Context("for a model engine", func() {
		var (
			h     *harness
			model *standin.Engine
			conns *standin.Conns
		)
		BeforeEach(func(ctx SpecContext) {
			conns = &standin.Conns{}
			sizes := map[string]standin.EngineModel{"m": {MemoryBytes: 40, Tier: engine.TierMemory}, "n": {MemoryBytes: 40, Tier: engine.TierMemory}}
			model = standin.NewEngine(standin.EngineOptions{MemoryBytes: 100, Slots: 4, Models: sizes}, conns)
			server, err := standin.Serve("127.0.0.1:0", model.Handler(), conns)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			h = startHarness("g", provision(ctx, &openai.Engine{}, server.URL()))
		})

		// Guards against a cold start that is refused, or that loads a model several times for a burst of requests.
		It("loads a cold model once for several requests", func() {
			c := h.dial()
			var all []*exchange
			for i := range 4 {
				all = append(all, h.send(c, chat(fmt.Sprint("a", i), "m", "hello", 3)))
			}
			for _, e := range all {
				Expect(e.end()).To(HaveField("Outcome", wire.OutcomeDone))
				Expect(e.body).To(HaveSuffix("data: [DONE]\n\n"))
			}
			Expect(model.Counts()).To(And(HaveField("Loads", uint64(1)), HaveField("NotLoaded", uint64(0))))
		})

		// Guards against an answer that is truncated, restarted or delivered twice when open connections stop responding.
		It("resumes the answer after the connection to the engine became unresponsive", func() {
			e := h.send(h.dial(), chat("a", "m", "hello", 200))
			e.until(1)
			conns.Blackhole()
			Expect(e.end()).To(HaveField("Outcome", wire.OutcomeDone))
			Expect(strings.Count(e.body, "data: [DONE]")).To(Equal(1))
			Expect(strings.Count(e.body, "data: ")).To(BeNumerically(">=", 200))
			Expect(model.Counts()).To(And(HaveField("Calls", uint64(1)), HaveField("Resumes", BeNumerically(">=", 1))))
			conns.Reset() // closes the stand-in's side of the unresponsive connections
		})

		// Guards against a request that crashes every engine it runs on, and against the loss of the requests that run
		// concurrently.
		It("completes the other requests and refuses the one that crashes the engine", func() {
			c := h.dial()
			h.send(c, chat("warm", "m", "hello", 1)).end()
			model.SetFaults(standin.EngineFaults{CrashMarker: "boom"})
			others := []*exchange{h.send(c, chat("i1", "m", "one", 150)), h.send(c, chat("i2", "m", "two", 150))}
			for _, e := range others {
				e.until(1)
			}
			m := h.send(c, chat("culprit", "m", "boom", 5)).end()
			Expect(m).To(HaveField("Code", wire.CodeQuarantined), "%+v", m)
			for _, e := range others {
				Expect(e.end()).To(HaveField("Outcome", wire.OutcomeDone))
				Expect(strings.Count(e.body, "data: [DONE]")).To(Equal(1))
			}
			crashes := model.Counts().Crashes
			Expect(crashes).To(BeNumerically("<=", 2))
			Expect(h.send(c, chat("again", "m", "boom", 5)).end()).To(And(HaveField("Code", wire.CodeQuarantined), HaveField("Outcome", wire.OutcomeNotRun)))
			Expect(model.Counts().Crashes).To(Equal(crashes))
		})
	})

	// Guards against a loan that runs twice because its answer or its connection was lost.
	It("runs each keyed call of a plain service once", func(ctx SpecContext) {
		conns := &standin.Conns{}
		service := standin.NewPlain(conns)
		server, err := standin.Serve("127.0.0.1:0", service.Handler(), conns)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		h := startHarness("p", provision(ctx, &plain.Engine{}, server.URL()))
		c := h.dial()
		Eventually(func() string { return h.status(c) }, "10s").Should(ContainSubstring(`"keySlots":{"loans":64}`))
		service.SetFaults(standin.PlainFaults{LoseAnswers: 1})
		outcomes := map[wire.Outcome]int{}
		for i := range 12 {
			key := keyAt(time.Now(), byte(i/3))
			o := attempt(loan(fmt.Sprint("r", i), key), 1, 0)
			o.Header = []engine.Header{{Name: "Idempotency-Key", Value: key}}
			o.Body = fmt.Append(nil, "book ", i/3)
			switch m := h.send(h.dial(), o).end().(type) {
			case *wire.End:
				outcomes[m.Outcome]++
			case *wire.Refuse:
				outcomes[m.Outcome]++
			}
		}
		Expect(service.Counts().Repeated).To(BeZero())
		Expect(outcomes).To(HaveKey(wire.OutcomeUnknown))
		Expect(outcomes).NotTo(HaveKey(wire.OutcomeNotRun))
	})
})
