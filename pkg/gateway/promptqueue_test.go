package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// promptRig is a gateway with an engine whose sidecar answers requests for admissions with the next verdict in verdicts,
// with None for no answer, and passes the messages on.
type promptRig struct {
	*rig
	upstream catalog.Upstream
	asks     chan peer.PromptAsk
	ends     chan peer.PromptEnd
	received chan string // requests at the engine
	answer   func(promptqueue.Verdict)
}

// configurePrompts applies a configuration that calls for admissions.
func configurePrompts(r *rig) *catalog.Config {
	route := catalog.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Streaming, Timeout: 5 * time.Second, MaxAttempts: 2,
		Target: 2 * time.Second, MaxEventGap: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "llm", Weight: 1}}}
	models := map[string]catalog.Model{"m": {Name: "m", SizeMB: 10}}
	cfg := catalog.NewConfig(1, []catalog.Route{route}, []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Models: models, MemoryMB: 100, Slots: 8}}}, catalog.Limits{})
	r.core.Update(func(s *dispatch.State) { s.SetConfig(cfg) })
	return cfg
}

func newPromptRig(verdicts ...promptqueue.Verdict) *promptRig {
	p := &promptRig{rig: newRig(), asks: make(chan peer.PromptAsk, 20), ends: make(chan peer.PromptEnd, 20), received: make(chan string, 20)}
	configurePrompts(p.rig)
	engine := p.rig.upstream("u1", "llm", residentM, func(w http.ResponseWriter, q *http.Request) {
		sign(w, q)
		p.received <- standin.RequestID(q.Header)
		_, _ = io.WriteString(w, event(1)+event(2))
	})
	sidecar, err := peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	socket, err := peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	peers := gateway.NewPeers(p.core, socket, discard, guard.New(discard), gateway.Location{Router: "edge-1"}, int(sidecar.Address().Port()), func(bool) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	var last peer.PromptAsk
	p.answer = func(v promptqueue.Verdict) {
		m := &peer.PromptAnswer{Epoch: last.Epoch, Seq: last.Seq, Verdict: v, WaitMS: 900}
		Expect(sidecar.Send(socket.Address(), peer.Message{PromptAnswer: m})).To(Succeed())
	}
	go func() { _ = peers.Run(ctx); done <- struct{}{} }()
	go func() {
		_ = sidecar.Receive(ctx, func(_ netip.AddrPort, m peer.Message) {
			if m.PromptEnd != nil {
				p.ends <- *m.PromptEnd
			}
			if m.PromptAsk == nil {
				return
			}
			last = *m.PromptAsk
			if len(verdicts) > 0 && !last.Sent {
				if verdicts[0] != promptqueue.None {
					p.answer(verdicts[0])
				}
				verdicts = verdicts[1:]
			}
			p.asks <- last
		}, func(netip.AddrPort, error) {})
		done <- struct{}{}
	}()
	DeferCleanup(func() { cancel(); <-done; <-done })
	p.upstream = catalog.Upstream{ID: "u1", Service: "llm", Address: engine.Listener.Addr().String(), Zone: "z1", Models: residentM}
	p.report(p.upstream)
	return p
}

func (p *promptRig) report(u catalog.Upstream) {
	report := &peer.Report{AskAbove: 1200}
	report.SetUpstream(u, 1)
	p.core.Update(func(s *dispatch.State) {
		s.RecordListing(time.Now().Add(-time.Second))
		s.Fleet.ApplyReport(time.Now(), report)
	})
}

// request sends a request with a prompt and returns the status of the answer; 0 for none.
func (p *rig) request(ctx context.Context, parts string) <-chan int {
	status := make(chan int, 1)
	q, err := http.NewRequestWithContext(ctx, "POST", p.front.URL+"/stream/a", nil)
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	standin.SetRequestHeader(q.Header, "r1", 0, "m", parts)
	go func() {
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	return status
}

var _ = Describe("a long prompt", func() {
	ctx := context.Background()
	const long = "own:9000"
	endOf := func(kind promptqueue.EndKind) OmegaMatcher {
		return Receive(HaveField("Kind", kind))
	}

	It("is sent when the sidecar has admitted it, and its first event is reported", func() {
		p := newPromptRig(promptqueue.Waiting)
		status := p.request(ctx, long)
		var ask peer.PromptAsk
		Eventually(p.asks).Should(Receive(&ask))
		Expect([]int{ask.Tokens, ask.Output}).To(Equal([]int{9000, 48}))
		Expect(ask.SpareMS).To(And(BeNumerically(">", 1000), BeNumerically("<", ask.DueMS)))
		Consistently(p.received, "100ms").ShouldNot(Receive())
		p.answer(promptqueue.Admitted)
		Eventually(status).Should(Receive(Equal(200)))
		Eventually(p.ends).Should(endOf(promptqueue.FirstEvent))
		p.answer(promptqueue.Admitted) // for a request that has ended: the sidecar must not count it
		Eventually(p.ends).Should(endOf(promptqueue.Returned))
	})

	// Guards against short prompts that wait for a round trip.
	It("is the only kind that needs an admission", func() {
		p := newPromptRig()
		Eventually(p.request(ctx, "own:800")).Should(Receive(Equal(200)))
		Expect(p.asks).To(BeEmpty())
	})

	// Guards against a silent sidecar that delays or refuses requests.
	It("is sent after two unanswered requests, and the next one at once", func() {
		p := newPromptRig()
		Eventually(p.request(ctx, long), "1s").Should(Receive(Equal(200)))
		Eventually(p.asks).Should(Receive(HaveField("Sent", false)))
		Eventually(p.asks).Should(Receive(HaveField("Sent", false)))
		Eventually(p.asks).Should(Receive(HaveField("Sent", true)))
		Eventually(p.request(ctx, "other:9000"), "1s").Should(Receive(Equal(200)))
		var next peer.PromptAsk
		Eventually(p.asks).Should(Receive(&next))
		Expect(next.Sent).To(BeTrue())
	})

	It("is admitted by the answer to a repeated request", func() {
		p := newPromptRig(promptqueue.None, promptqueue.Admitted)
		Eventually(p.request(ctx, long)).Should(Receive(Equal(200)))
		var first, second peer.PromptAsk
		Eventually(p.asks).Should(Receive(&first))
		Eventually(p.asks).Should(Receive(&second))
		Expect(second.Seq).To(Equal(first.Seq))
	})

	// Guards against the use of an admission after its room has been given to others.
	It("needs another admission if the first one has expired before the request is sent", func() {
		p := newPromptRig(promptqueue.Waiting, promptqueue.Admitted)
		status := p.request(ctx, long)
		var first, second peer.PromptAsk
		Eventually(p.asks).Should(Receive(&first))
		p.core.Do(func(*dispatch.State) { // the request waits for the state
			p.answer(promptqueue.Admitted)
			time.Sleep(400 * time.Millisecond)
		})
		Eventually(status).Should(Receive(Equal(200)))
		Eventually(p.asks).Should(Receive(&second))
		Expect(second.Seq).To(BeNumerically(">", first.Seq))
		Eventually(p.ends).Should(endOf(promptqueue.Returned))
		Eventually(p.ends).Should(endOf(promptqueue.FirstEvent))
	})

	It("is refused if all engines reject it", func() {
		p := newPromptRig(promptqueue.Rejected)
		Eventually(p.request(ctx, long)).Should(Receive(Equal(503)))
		Eventually(p.ends).Should(endOf(promptqueue.Returned))
		Expect(p.received).To(BeEmpty())
	})

	// Guards against a wait at a sidecar whose main loop hangs: it answers requests for admissions, but no probes.
	It("is decided on again when its upstream becomes unresponsive", func() {
		p := newPromptRig(slices.Repeat([]promptqueue.Verdict{promptqueue.Waiting}, 10)...)
		Eventually(p.request(ctx, long), "1500ms").Should(Receive(Equal(200))) // no other upstream; the time to spare is longer
		Eventually(p.ends).Should(endOf(promptqueue.Returned))
	})

	// Guards against requests that outlive their callers or the process while they wait, or are sent to an upstream that
	// has begun to drain meanwhile.
	DescribeTable("ends its wait and is returned", func(status int, end func(p *promptRig, leave func())) {
		p := newPromptRig(slices.Repeat([]promptqueue.Verdict{promptqueue.Waiting}, 10)...)
		callerCtx, leave := context.WithCancel(ctx)
		defer leave()
		got := p.request(callerCtx, long)
		Eventually(p.asks).Should(Receive())
		end(p, leave)
		Eventually(got, "500ms").Should(Receive(Equal(status))) // before the upstream counts as unresponsive
		Eventually(p.ends).Should(endOf(promptqueue.Returned))
		Expect(p.received).To(BeEmpty())
	},
		Entry("when the caller leaves", 0, func(_ *promptRig, leave func()) { leave() }),
		Entry("when the process stops", 503, func(p *promptRig, _ func()) { p.gw.FinishRequests() }),
		Entry("when the engine drains", 503, func(p *promptRig, _ func()) { u := p.upstream; u.Draining = true; p.report(u) }),
	)
})
