package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hibiscuscrossd")
}

// testSite is a platform and an agent for a router under test.
type testSite struct {
	dir, storeURL, vmsURL, agentAddr string
	objects                          *standin.MemStore
	raw                              []byte
	peerObjects                      []wire.Object // the agent's copies of the store's objects
	tokens                           chan string   // tokens that the agent sends; "" or closing the channel ends its answer
}

func newSite() *testSite {
	s := &testSite{dir: GinkgoT().TempDir(), objects: standin.NewMemStore(0), tokens: make(chan string)}
	a, err := devcert.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	Expect(a.WriteFiles(s.dir, "vm-r", "vm-a")).To(Succeed())
	hash := sha256.Sum256([]byte("key"))
	s.raw, err = json.Marshal(config.Config{
		APIVersion: config.APIVersion, Deployment: "d", Weights: config.Weights{ColdStart: 1},
		Limits: config.Limits{MaxWaitMS: 60000, UpstreamMemoryBytes: 100},
		Groups: []config.Group{{Name: "g", Kind: config.GroupModels}, {Name: "p", Kind: config.GroupPlain}},
		Models: []config.Model{{Name: "m", Group: "g", MaxReplicas: 1, MemoryBytes: 10, KVReserveBytes: 1, Accelerators: 1}},
		Services: []config.Service{
			{Name: "s", Group: "g", Models: []string{"m"}, MaxWaitMS: 20000},
			{Name: "loans", Group: "p", MaxWaitMS: 20000, Calls: []config.Call{{Method: "POST", PathPrefix: "/loans", NonIdempotent: true}}},
		},
		Callers: []config.Caller{{Name: "c", KeySHA256: hex.EncodeToString(hash[:]), Services: []string{"s", "loans"}}},
	})
	Expect(err).NotTo(HaveOccurred())
	s.agentAddr = s.agent()
	objects, err := standin.Serve("127.0.0.1:0", (&standin.StoreServer{Store: s.objects}).Handler(), nil)
	Expect(err).NotTo(HaveOccurred())
	vms, err := standin.Serve("127.0.0.1:0", standin.NewVMList(liveVM("vm-a"), liveVM("vm-p")).Handler(), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { objects.Close(); vms.Close(); http.DefaultClient.CloseIdleConnections() })
	s.storeURL, s.vmsURL = objects.URL(), vms.URL()
	return s
}

func liveVM(id string) vmlist.VM {
	return vmlist.VM{ID: id, Addr: "127.0.0.1", Region: "r", Zone: "z", State: vmlist.StateLive}
}

func (s *testSite) put(key string, value []byte) {
	_, err := s.objects.Put(context.Background(), key, value, store.MustNotExist)
	Expect(err).NotTo(HaveOccurred())
}

// publish stores the configuration, the record of the upstream and its grant.
func (s *testSite) publish() {
	envelope, err := config.NewEnvelope(0, s.raw).Encode()
	Expect(err).NotTo(HaveOccurred())
	s.put(store.KeyConfig, envelope)
	s.put(membership.Key("vm-a"), s.record("vm-a", "g", config.GroupModels))
	s.put(grant.Key("m"), grant.Object{Ceiling: 1, Grants: []grant.Grant{{VM: "vm-a"}}}.Encode())
}

func (s *testSite) record(vm, group string, kind config.GroupKind) []byte {
	return membership.Upstream{VM: vm, Addr: s.agentAddr, Region: "r", Zone: "z", Group: group, Kind: kind, MemoryBytes: 100}.Encode()
}

// publishLoans stores the record of the upstream on vm-p, which owns all key slots of the service loans. It returns the
// version of the record.
func (s *testSite) publishLoans() uint64 {
	var owners once.Owners
	for i := range owners.Slots {
		owners.Slots[i] = once.Slot{Owner: "vm-p", Epoch: 1}
	}
	s.put(once.Key("loans"), owners.Encode())
	version, err := s.objects.Put(context.Background(), membership.Key("vm-p"), s.record("vm-p", "p", config.GroupPlain), store.MustNotExist)
	Expect(err).NotTo(HaveOccurred())
	return version
}

// copyObjects makes the agent reply to ObjectsGet with all objects.
func (s *testSite) copyObjects() {
	objects, _, err := s.objects.List(context.Background(), "")
	Expect(err).NotTo(HaveOccurred())
	for _, o := range objects {
		s.peerObjects = append(s.peerObjects, wire.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
}

func (s *testSite) flags(more ...string) []string {
	file := func(name string) string { return filepath.Join(s.dir, name) }
	return append([]string{
		"router", "--cert", file("vm-r.pem"), "--key", file("vm-r-key.pem"), "--ca", file("ca.pem"), "--vm", "vm-r", "--region", "r",
		"--zone", "z", "--listen", "127.0.0.1:0", "--ops-listen", "127.0.0.1:0", "--store-url", s.storeURL, "--vm-list-url", s.vmsURL,
		"--shutdown-delay", "0s",
	}, more...)
}

// agent starts an agent that answers Open with the tokens from s.tokens, ConfigGet with the configuration and
// ObjectsGet with s.peerObjects.
func (s *testSite) agent() string {
	t, err := kernel.LoadAs[transport.Transport](context.Background(), kernel.New(), "transport.quic", kernel.Settings{
		"cert": filepath.Join(s.dir, "vm-a.pem"), "key": filepath.Join(s.dir, "vm-a-key.pem"), "ca": filepath.Join(s.dir, "ca.pem")})
	Expect(err).NotTo(HaveOccurred())
	l, err := t.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept(ctx)
			if err != nil {
				return
			}
			wg.Go(func() {
				for st, err := conn.AcceptStream(ctx); err == nil; st, err = conn.AcceptStream(ctx) {
					wg.Go(func() { s.answer(st) })
				}
			})
		}
	})
	DeferCleanup(func() { cancel(); _ = l.Close(); wg.Wait() })
	return l.Addr()
}

func (s *testSite) answer(st transport.Stream) {
	defer func() { _ = st.CloseWrite() }()
	switch m, _ := wire.NewReader(st).Next(); m := m.(type) {
	case *wire.ConfigGet:
		_ = wire.Write(st, &wire.ConfigDoc{Version: 1, Digest: config.Digest(s.raw), Document: s.raw})
	case *wire.ObjectsGet:
		_ = wire.Write(st, &wire.ObjectsList{Objects: s.peerObjects})
	case *wire.Open:
		_ = wire.Write(st, &wire.Head{Request: m.Request, Attempt: m.Attempt, Status: 200, Header: []engine.Header{{Name: "Content-Type", Value: "text/event-stream"}}})
		offset := uint64(0)
		for text := range s.tokens {
			if text == "" {
				break
			}
			_ = wire.Write(st, &wire.Data{Request: m.Request, Attempt: m.Attempt, Offset: offset, Bytes: []byte(text)})
			offset += uint64(len(text))
		}
		_ = wire.Write(st, &wire.End{Request: m.Request, Attempt: m.Attempt, Outcome: wire.OutcomeDone, Length: offset})
	}
}

func parse(args []string) (*routerCmd, error) {
	var cli struct {
		Router routerCmd `cmd:""`
	}
	p, err := kong.New(&cli, kong.Exit(func(int) {}))
	Expect(err).NotTo(HaveOccurred())
	_, err = p.Parse(args)
	return &cli.Router, err
}

// testRouter is a router that runs in the test process.
type testRouter struct {
	p    *routerProcess
	stop context.CancelFunc
	done chan error
}

func (s *testSite) start(more ...string) *testRouter {
	cmd, err := parse(s.flags(more...))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	p, err := cmd.start(ctx)
	Expect(err).NotTo(HaveOccurred())
	p.log.SetOutput(io.Discard)
	r := &testRouter{p: p, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- p.run(ctx) }()
	DeferCleanup(cancel)
	return r
}

func (r *testRouter) get(path string) (int, string) {
	resp, err := http.Get("http://" + r.p.opsListener.Addr().String() + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func (r *testRouter) ready() int { code, _ := r.get("/readyz"); return code }

func (r *testRouter) sendChat() (*http.Response, error) {
	req, _ := http.NewRequest("POST", "http://"+r.p.callerListener.Addr().String()+"/v1/chat/completions", strings.NewReader(`{"model":"m","stream":true}`))
	req.Header.Set("Authorization", "Bearer key")
	return http.DefaultClient.Do(req)
}

var _ = Describe("router process", func() {
	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(before) }).WithTimeout(5 * time.Second).Should(Succeed())
		})
	})

	// Guards against interrupting a stream on shutdown, and against becoming unready too late for the balancer
	// (invariant I8).
	It("serves with the stored configuration and stops without interrupting a stream", func() {
		s := newSite()
		s.publish()
		r := s.start()
		Eventually(r.ready).WithTimeout(5 * time.Second).Should(Equal(200))
		Eventually(func() string { _, b := r.get("/status"); return b }).WithTimeout(5 * time.Second).Should(ContainSubstring(`"candidates":1`))
		go func() { s.tokens <- "data: {\"a\":1}\n\n" }()
		resp, err := r.sendChat()
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body := bufio.NewReader(resp.Body)
		Expect(body.ReadString('\n')).To(Equal("data: {\"a\":1}\n"))
		r.stop()
		Eventually(r.p.opsServer.UnreadyReason).Should(Equal("stopping"))
		Consistently(r.done, 100*time.Millisecond).ShouldNot(Receive())
		s.tokens <- "data: [DONE]\n\n"
		close(s.tokens)
		rest, err := io.ReadAll(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("\ndata: [DONE]\n\nevent: hibiscuscross\ndata: {\"outcome\":\"done\"}\n\n"))
		Eventually(r.done).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})

	// Guards against a router that cannot start during an outage of the object API, and one that serves without the
	// configured limits.
	It("reads its configuration from a peer while the store is down", func() {
		s := newSite()
		s.objects.SetFaults(standin.StoreFaults{Down: true})
		alone := s.start()
		r := s.start("--peers", s.agentAddr)
		Eventually(r.ready).WithTimeout(5 * time.Second).Should(Equal(200))
		Expect(alone.ready()).To(Equal(503))
		resp, err := alone.sendChat()
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(503))
		for _, x := range []*testRouter{alone, r} {
			x.stop()
			Eventually(x.done).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		}
	})

	// Guards against a router that refuses every request because it started during an outage of the object API, and one
	// that after the outage still uses an upstream whose record is no longer in the store.
	It("serves with a peer's objects while the store is down, and with the store's afterwards", func() {
		s := newSite()
		s.publish()
		version := s.publishLoans()
		s.copyObjects()
		Expect(s.objects.Delete(context.Background(), membership.Key("vm-p"), version)).To(Succeed())
		s.objects.SetFaults(standin.StoreFaults{Down: true})
		r := s.start("--peers", s.agentAddr)
		status := func() string { _, b := r.get("/status"); return b }
		Eventually(status).WithTimeout(5 * time.Second).Should(And(ContainSubstring(`"candidates":2`), ContainSubstring(`"configVersion":1`)))
		loan := func() (*http.Response, error) {
			req, _ := http.NewRequest("POST", "http://"+r.p.callerListener.Addr().String()+"/services/loans/loans", strings.NewReader("book"))
			req.Header.Set("Authorization", "Bearer key")
			req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
			return http.DefaultClient.Do(req)
		}
		for _, send := range []func() (*http.Response, error){r.sendChat, loan} {
			go func() { s.tokens <- "data: [DONE]\n\n"; s.tokens <- "" }()
			resp, err := send()
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(200), string(body))
			Expect(string(body)).To(HavePrefix("data: [DONE]"))
		}
		s.objects.SetFaults(standin.StoreFaults{})
		Eventually(status).WithTimeout(10 * time.Second).Should(ContainSubstring(`"candidates":1`))
		r.stop()
		Eventually(r.done).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})

	// Guards against a router that listens with invalid settings, and errors that do not name the flag and the valid
	// values.
	DescribeTable("refuses the setting", func(allowed string, flags ...string) {
		s := &testSite{dir: GinkgoT().TempDir(), storeURL: "http://127.0.0.1:1", vmsURL: "http://127.0.0.1:1"}
		a, err := devcert.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		Expect(a.WriteFiles(s.dir, "vm-r", "vm-a")).To(Succeed())
		_, err = parse(s.flags())
		Expect(err).NotTo(HaveOccurred())
		_, err = parse(s.flags(flags...))
		Expect(err).To(MatchError(And(ContainSubstring(flags[0]), ContainSubstring(flags[1]), ContainSubstring(allowed))))
	},
		Entry(nil, "certificate whose common name", "--vm", "vm-x"),
		Entry(nil, "a name of letters", "--zone", "a b"),
		Entry(nil, "IP address and port", "--listen", "localhost"),
		Entry(nil, "IP address and port", "--ops-listen", ":8081"),
		Entry(nil, "http or https URL", "--store-url", "127.0.0.1:1"),
		Entry(nil, "http or https URL", "--vm-list-url", "ftp://x"),
		Entry(nil, "IP addresses and ports", "--peers", "vm-1:7001"),
		Entry(nil, "0s to 5m", "--shutdown-delay", "10m0s"),
		Entry(nil, "none, stdout or otlp", "--trace-exporter", "file"),
	)

	// Guards against a router that opens its listeners although it has no valid certificate for connections to agents.
	It("refuses files that are not certificates", func() {
		s := &testSite{dir: GinkgoT().TempDir(), storeURL: "http://127.0.0.1:1", vmsURL: "http://127.0.0.1:1"}
		for _, name := range []string{"vm-r.pem", "vm-r-key.pem", "ca.pem"} {
			Expect(os.WriteFile(filepath.Join(s.dir, name), bytes.Repeat([]byte("x"), 9), 0o600)).To(Succeed())
		}
		_, err := parse(s.flags())
		Expect(err).To(MatchError(ContainSubstring("--cert")))
	})
})
