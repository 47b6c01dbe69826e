package sidecar_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// hangingEngine answers only the first request for its report.
type hangingEngine struct {
	*engine
	once sync.Once
}

func (e *hangingEngine) Report(ctx context.Context) (platform.Report, error) {
	var r platform.Report
	err := context.DeadlineExceeded
	e.once.Do(func() { r, err = e.engine.Report(ctx) })
	if err != nil {
		<-ctx.Done()
	}
	return r, err
}

var _ = Describe("admission of prompts", func() {
	var (
		send     func(peer.Message)
		messages chan peer.Message
	)
	begin := func(gap time.Duration, engine sidecar.Engine) {
		socket, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		router, err := peer.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		log := eventlog.New(io.Discard, "sidecar", "side-1")
		agent := sidecar.New(sidecar.Settings{Node: "side-1", Address: address, Service: "llm", AdmitPrompts: true}, engine, socket, log, guard.New(log))
		config := testConfig()
		route := catalog.Route{Name: "chat", Host: "h", MaxEventGap: gap, Backends: []catalog.Backend{{Service: "llm", Weight: 1}}}
		agent.Configure(catalog.NewConfig(2, []catalog.Route{route}, []catalog.Service{config.Services["llm"]}, catalog.Limits{}), 1)
		agent.SetUpstreams([]catalog.Upstream{{ID: "i-1", Service: "llm", Address: address, StartedUnixMS: 5}})
		ctx, cancel := context.WithCancel(context.Background())
		received := make(chan peer.Message, 100)
		messages = received
		var wg sync.WaitGroup
		wg.Add(3)
		go func() { defer wg.Done(); agent.Run(ctx) }()
		go func() { defer wg.Done(); _ = agent.Receive(ctx) }()
		go func() {
			defer wg.Done()
			_ = router.Receive(ctx, func(_ netip.AddrPort, m peer.Message) { received <- m }, func(netip.AddrPort, error) {})
		}()
		DeferCleanup(func() { cancel(); wg.Wait() })
		send = func(m peer.Message) { Expect(router.Send(socket.Address(), m)).To(Succeed()) }
	}
	ask := func(seq uint64, tokens int) {
		send(peer.Message{PromptAsk: &peer.PromptAsk{Router: "edge-1", Epoch: 7, Seq: seq, Tokens: tokens, SpareMS: 2000, DueMS: 2500}})
	}
	expect := func(seq uint64, v promptqueue.Verdict) {
		GinkgoHelper()
		Eventually(messages, "300ms").Should(Receive(WithTransform(func(m peer.Message) peer.PromptAnswer {
			if m.PromptAnswer == nil {
				return peer.PromptAnswer{}
			}
			return peer.PromptAnswer{Epoch: m.PromptAnswer.Epoch, Seq: m.PromptAnswer.Seq, Verdict: m.PromptAnswer.Verdict}
		}, Equal(peer.PromptAnswer{Epoch: 7, Seq: seq, Verdict: v}))))
	}
	newEngine := func() *engine { return &engine{self: catalog.Upstream{Address: address, StartedUnixMS: 5}} }

	// Guards against answers that wait for the engine's report, up to 400 ms.
	It("is answered while the engine does not report, and continues by time alone", func() {
		begin(500*time.Millisecond, &hangingEngine{engine: newEngine()})
		ask(1, 9000)
		expect(1, promptqueue.Admitted)
		ask(2, 9000)
		expect(2, promptqueue.Waiting)
		ask(3, 60_000)
		expect(3, promptqueue.Waiting)
		ask(4, 60_000)
		expect(4, promptqueue.Rejected)
		send(peer.Message{PromptEnd: &peer.PromptEnd{Router: "edge-1", Epoch: 7, Seq: 1, Kind: promptqueue.FirstEvent}})
		expect(2, promptqueue.Admitted)
	})

	It("is reported with the tokens in progress, and is requested only where the configuration calls for it", func() {
		begin(500*time.Millisecond, newEngine())
		send(peer.Message{Demand: &peer.Demand{Router: "edge-1"}})
		Eventually(messages, "2s").Should(Receive(HaveField("Report.AskAbove", 1209)))
		ask(1, 9000)
		send(peer.Message{PromptAsk: &peer.PromptAsk{Router: "edge-1", Epoch: 7, Seq: 2, Tokens: 3000, Sent: true}})
		send(peer.Message{Demand: &peer.Demand{Router: "edge-1", Probe: true}})
		Eventually(messages, "2s").Should(Receive(Satisfy(func(m peer.Message) bool { return m.Report != nil && m.Report.PromptTokens == 12_000 })))

		begin(400*time.Millisecond, newEngine())
		ask(1, 9000)
		send(peer.Message{Demand: &peer.Demand{Router: "edge-1"}})
		Eventually(messages, "2s").Should(Receive(HaveField("Report.AskAbove", 0)))
		Expect(messages).NotTo(Receive(HaveField("PromptAnswer", Not(BeNil()))))
	})
})
