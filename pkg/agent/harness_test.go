package agent

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/goleak"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport/quic"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// piece is the next result of a scripted call.
type piece struct {
	bytes string
	err   error
}

// script is an upstream whose calls return the pieces that the test sends.
type script struct {
	mu         sync.Mutex
	epoch      string
	epochEnded chan struct{} // closed when the epoch ends
	loaded     bool          // whether the model m is loaded
	starts     []engine.Call
	resumes    []engine.Call
	pieces     chan piece
	ended      chan struct{} // receives one item for each closed stream
	startErr   error
}

func newScript() *script {
	return &script{epoch: "e1", epochEnded: make(chan struct{}), pieces: make(chan piece, 64), ended: make(chan struct{}, 64)}
}

func (s *script) Order(_ context.Context, o engine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = o.Kind == engine.OrderLoad
	return nil
}

func (s *script) Listing(context.Context) (engine.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := engine.Listing{Epoch: s.epoch, Slots: 4, MemoryBytes: 100}
	if s.loaded {
		l.Resident = []engine.Resident{{Target: engine.Target{Model: "m"}, MemoryBytes: 40}}
	}
	return l, nil
}

func (s *script) Start(_ context.Context, c engine.Call) (engine.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, c)
	return &scriptStream{s, s.epochEnded}, s.startErr
}

func (s *script) Resume(_ context.Context, c engine.Call) (engine.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumes = append(s.resumes, c)
	return &scriptStream{s, s.epochEnded}, nil
}

// restart starts a new epoch and ends the calls of the previous one.
func (s *script) restart(epoch string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.loaded = epoch, false
	close(s.epochEnded)
	s.epochEnded = make(chan struct{})
}

func (s *script) calls() (starts, resumes []engine.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]engine.Call(nil), s.starts...), append([]engine.Call(nil), s.resumes...)
}

func (s *script) send(parts ...string) {
	for _, p := range parts {
		s.pieces <- piece{bytes: p}
	}
}

func (s *script) fail(err error) { s.pieces <- piece{err: err} }

type scriptStream struct {
	s          *script
	epochEnded chan struct{}
}

func (t *scriptStream) Head() engine.Head { return engine.Head{Status: 200} }

func (t *scriptStream) Next(ctx context.Context) ([]byte, error) {
	select {
	case p := <-t.s.pieces:
		return []byte(p.bytes), p.err
	case <-t.epochEnded:
		return nil, engine.ErrDied
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *scriptStream) Close() error {
	t.s.ended <- struct{}{}
	return nil
}

// singleVMList is a VM list that only contains the agent's VM.
type singleVMList struct{}

func (singleVMList) List(context.Context) ([]vmlist.VM, error) {
	return []vmlist.VM{{ID: "vm-a", State: vmlist.StateLive}}, nil
}

// harness runs an agent on loopback QUIC.
type harness struct {
	ctx    context.Context
	agent  *Agent
	engine *script
	store  *standin.MemStore
	addr   string
	client *quic.Transport
}

// newHarness starts an agent beside a scripted upstream.
func newHarness(group string) *harness {
	s := newScript()
	h := startHarness(group, s)
	h.engine = s
	return h
}

// startHarness starts an agent beside the given upstream.
func startHarness(group string, upstream engine.Engine) *harness {
	existing := goleak.IgnoreCurrent()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	authority, err := devcert.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	newTransport := func(vm string) *quic.Transport {
		cert, err := authority.Issue(vm)
		Expect(err).NotTo(HaveOccurred())
		return quic.New(cert, authority.Pool())
	}
	h := &harness{ctx: ctx, store: standin.NewMemStore(0), client: newTransport("vm-r")}
	_, err = h.store.Put(ctx, store.KeyConfig, testConfig(), store.MustNotExist)
	Expect(err).NotTo(HaveOccurred())
	server := newTransport("vm-a")
	l, err := server.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h.addr = l.Addr()
	ready := make(chan struct{})
	h.agent = New(
		Options{VM: "vm-a", Incarnation: "i1", Group: group, Addr: h.addr, Start: time.Now().Add(-once.ClockAllowance - time.Second),
			Queue: admission.DefaultLimits(), Once: once.DefaultLimits()},
		Dependencies{Listener: l, Transport: server, Engine: upstream, Store: h.store, VMs: singleVMList{}, Scope: tally.NoopScope,
			Tracer: noop.NewTracerProvider().Tracer(""), Log: log.New(GinkgoWriter), OnReady: func() { close(ready) }},
	)
	ended := make(chan error, 1)
	go func() { ended <- h.agent.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, "5s").Should(Receive(BeNil()))
		Expect(l.Close()).To(Succeed())
		Eventually(func() error { return goleak.Find(existing) }, "5s").Should(Succeed())
	})
	Eventually(ready, "5s").Should(BeClosed())
	return h
}

func (h *harness) dial() transport.Conn {
	GinkgoHelper()
	c, err := h.client.Dial(h.ctx, h.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// exchange is one stream to the agent.
type exchange struct {
	st    transport.Stream
	rd    *wire.Reader
	body  string
	pings int
}

func (h *harness) send(c transport.Conn, m wire.Message) *exchange {
	GinkgoHelper()
	st, err := c.OpenStream(h.ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.Write(st, m)).To(Succeed())
	Expect(st.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return &exchange{st: st, rd: wire.NewReader(st)}
}

// next returns the next frame other than Accept and Ping. Bytes of Data frames are added to body.
func (e *exchange) next() (wire.Message, error) {
	for {
		m, err := e.rd.Next()
		switch m := m.(type) {
		case *wire.Accept:
			continue
		case *wire.Ping:
			e.pings++
			continue
		case *wire.Data:
			if m.Offset != uint64(len(e.body)) {
				Fail("Data frame has a wrong offset")
			}
			e.body += string(m.Bytes)
		}
		return m, err
	}
}

// until reads frames until the body has at least n bytes.
func (e *exchange) until(n int) {
	GinkgoHelper()
	for len(e.body) < n {
		_, err := e.next()
		Expect(err).NotTo(HaveOccurred())
	}
}

// end reads frames up to the last one and returns it.
func (e *exchange) end() wire.Message {
	GinkgoHelper()
	for {
		m, err := e.next()
		Expect(err).NotTo(HaveOccurred())
		switch m.(type) {
		case *wire.End, *wire.Refuse:
			return m
		}
	}
}

// status queries the agent's status over the wire.
func (h *harness) status(c transport.Conn) string {
	GinkgoHelper()
	m, err := h.send(c, &wire.StatusGet{}).next()
	Expect(err).NotTo(HaveOccurred())
	return string(m.(*wire.Status).JSON)
}
