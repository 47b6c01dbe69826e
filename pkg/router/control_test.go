package router_test

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/ring"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// control is a running control loop.
type control struct {
	*router.Control
	updates *ring.Ring[watch.Update]
	views   chan routing.View
}

func newControl(ready func()) *control {
	pool := transport.NewPool(newTransport("vm-router"))
	c := &control{updates: ring.New[watch.Update](8), views: make(chan routing.View, 8)}
	c.Control = router.NewControl(router.ControlOptions{
		Store: standin.NewMemStore(0), Pool: pool, Log: log.New(io.Discard), OnReady: ready,
		OnView: func(v routing.View) { c.views <- v }, OnConfig: func(*config.Document) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx, c.updates) }()
	DeferCleanup(func() { cancel(); Expect(<-done).To(Succeed()); pool.Close() })
	return c
}

func (c *control) update(u watch.Update) {
	Expect(c.updates.Push(context.Background(), u)).To(Succeed())
}

var _ = Describe("control", func() {
	// Guards against new work on a VM that is leaving by the VM list or its own notice (invariant I7), and against a
	// leaving owner of key slots that can no longer be queried for stored answers.
	It("keeps leaving upstreams in the view as draining", func() {
		c := newControl(func() {})
		for i, vm := range []string{"vm-a", "vm-b", "vm-c"} {
			c.update(watch.Update{Source: watch.SourceStore, Objects: []store.Object{{Key: membership.Key(vm), Version: uint64(i + 1), Value: membership.Upstream{VM: vm, Addr: "127.0.0.1:1"}.Encode()}}})
			Eventually(c.views).Should(Receive())
		}
		c.update(watch.Update{Source: watch.SourceVMs, VMsAt: time.Now(), VMs: []vmlist.VM{{ID: "vm-a", State: vmlist.StateLive}, {ID: "vm-b", State: vmlist.StateLeaving}, {ID: "vm-c", State: vmlist.StateLive}}})
		Eventually(c.views).Should(Receive(HaveField("Upstreams", HaveExactElements(HaveField("Draining", false), HaveField("Draining", true), HaveField("Draining", false)))))
		c.RecordDraining("vm-c")
		Eventually(c.views).Should(Receive(HaveField("Upstreams", HaveExactElements(HaveField("Draining", false), HaveField("Draining", true), HaveField("Draining", true)))))
	})

	// Guards against a request that crashes upstreams being admitted while the object API is down.
	It("exchanges the quarantine list with an agent whose list differs", func() {
		agent := newFakeAgent("vm-0", func(*call) {}, wire.QuarantineEntry{Fingerprint: 7})
		c := newControl(func() {})
		list := quarantine.New()
		list.Merge([]wire.QuarantineEntry{{Fingerprint: 5}})
		c.update(watch.Update{Source: watch.SourceStore, Objects: []store.Object{{Key: store.KeyQuarantine, Version: 1, Value: list.Encode()}}})
		Eventually(func() bool { return c.IsQuarantined(5) }).Should(BeTrue())
		Expect(c.IsQuarantined(7)).To(BeFalse())
		c.RecordSync(agent.listener.Addr(), wire.Sync{QuarantineHash: 7})
		Eventually(func() bool { return c.IsQuarantined(7) }).Should(BeTrue())
		Expect(agent.receivedEntries()).To(HaveExactElements(HaveField("Fingerprint", uint64(5))))
		res, _ := serve(newRouter(router.Options{IsQuarantined: c.IsQuarantined}, agent), &router.Request{ID: "a", Fingerprint: 7, Deadline: time.Now().Add(time.Second)})
		Expect([]any{res.Outcome, res.Refusal.Code}).To(Equal([]any{wire.OutcomeNotRun, wire.CodeQuarantined}))
		Expect(agent.calls()).To(BeEmpty())
	})

	// Guards against an agent that starts during a store outage and gets no objects from the router that it queries.
	It("replies with its objects of the store", func() {
		objects := []wire.Object{{Key: "grants/m", Version: 3}}
		c := router.NewControl(router.ControlOptions{Objects: func() []wire.Object { return objects }})
		Expect(c.Reply(&wire.ObjectsGet{})).To(Equal(&wire.ObjectsList{Objects: objects}))
	})

	// Guards against an agent that keeps an old configuration because it can get a newer one only from the router.
	It("replies to an agent's query for the configuration", func() {
		raw := []byte(`{"apiVersion":"hibiscuscross/v1","deployment":"d","weights":{"coldStart":1,"idleAccelerator":1},"limits":{"maxWaitMs":1000,"upstreamMemoryBytes":1},"groups":[{"name":"g","kind":"models"}],"services":[],"callers":[]}`)
		envelope, err := config.NewEnvelope(0, raw).Encode()
		Expect(err).NotTo(HaveOccurred())
		ready := make(chan struct{})
		c := newControl(func() { close(ready) })
		c.update(watch.Update{Source: watch.SourceStore, Objects: []store.Object{{Key: store.KeyConfig, Version: 1, Value: envelope}}})
		Eventually(ready).WithTimeout(5 * time.Second).Should(BeClosed())
		reply := make(chan wire.Message, 1)
		agent := newFakeAgent("vm-0", func(x *call) {
			st, _ := x.conn.OpenStream(context.Background())
			_ = wire.Write(st, &wire.ConfigGet{})
			m, _ := wire.NewReader(st).Next()
			reply <- m
			st.Reset()
			x.answer(plainText, "a")
		})
		res, _ := serve(newRouter(router.Options{Reply: c.Reply, Sync: c.Sync}, agent), modelRequest("a"))
		Expect(res.Outcome).To(Equal(wire.OutcomeDone))
		Expect(reply).To(Receive(Equal(&wire.ConfigDoc{Version: 1, Digest: config.Digest(raw), Document: raw})))
		Expect(agent.calls()[0].Sync.ConfigVersion).To(Equal(uint64(1)))
	})

	// Guards against attempts that operators cannot find under their caller's trace.
	It("puts all attempts under the caller's trace", func() {
		spans := tracetest.NewSpanRecorder()
		provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
		a := newFakeAgent("vm-0", func(c *call) { c.refuse(wire.OutcomeNotRun, wire.CodeQueueFull) })
		b := newFakeAgent("vm-1", func(c *call) { c.answer(plainText, "a") })
		tracer := provider.Tracer("test")
		ctx, parent := tracer.Start(context.Background(), "caller")
		_, err := newRouter(router.Options{Tracer: tracer}, a, b).Serve(ctx, modelRequest("a"), &recorder{})
		Expect(err).NotTo(HaveOccurred())
		Expect(spans.Ended()).To(HaveLen(2))
		for i, agent := range []*fakeAgent{a, b} {
			span := spans.Ended()[i]
			Expect(span.Parent().SpanID()).To(Equal(parent.SpanContext().SpanID()))
			Expect(agent.calls()[0].Traceparent).To(Equal("00-" + parent.SpanContext().TraceID().String() + "-" + span.SpanContext().SpanID().String() + "-01"))
		}
	})
})
