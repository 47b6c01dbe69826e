package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const revokeDelay = 5 * time.Second

// keyRig is a rig whose configuration has tenants. The upstream "p" of the plain service counts what it runs.
type keyRig struct {
	*rig
	version uint64
	host    string // of the requests
	// publicStreams makes the route of streams public in further configurations.
	publicStreams bool
	runs          atomic.Int32
	header        atomic.Pointer[http.Header] // of the last request that ran
	answer        atomic.Pointer[http.HandlerFunc]
}

func newKeyRig(keys ...string) *keyRig {
	k := &keyRig{rig: newRig(), host: "h"}
	k.core.SetRevokeDelay(revokeDelay)
	k.setKeys(keys...)
	k.core.RecordConfigProof(boottime.Now())
	k.upstream("p", "plain", nil, k.run)
	k.upstream("e", "llm", []catalog.Resident{{Model: "m"}}, k.run)
	return k
}

func (k *keyRig) run(w http.ResponseWriter, q *http.Request) {
	k.runs.Add(1)
	k.header.Store(&q.Header)
	if h := k.answer.Load(); h != nil {
		(*h)(w, q)
		return
	}
	sign(w, q)
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

// setKeys activates a configuration in which the tenant "a" has the keys. No keys means no tenants.
func (k *keyRig) setKeys(keys ...string) {
	k.version++
	plain, engine := []catalog.Backend{{Service: "plain", Weight: 1}}, []catalog.Backend{{Service: "llm", Weight: 1}}
	cfg := catalog.NewConfig(k.version, []catalog.Route{
		{Name: "get", Host: "h", Prefix: "/get/", Kind: catalog.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 3, Backends: plain},
		{Name: "public", Host: "h", Prefix: "/get/public", Kind: catalog.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 3, Public: true, Backends: plain},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Streaming, Timeout: 20 * time.Second, Target: 2 * time.Second, MaxAttempts: 3, Resumable: true, Priority: 5, Public: k.publicStreams, Backends: engine},
	}, []catalog.Service{{Name: "plain"}, {Name: "llm", Engine: &catalog.Engine{
		Models: map[string]catalog.Model{"m": {Name: "m", SizeMB: 10, FetchTime: time.Second, DiskTime: time.Second}}, MemoryMB: 100, Slots: 8,
	}}}, catalog.Limits{})
	if len(keys) > 0 {
		top := 2
		cfg.SetTenants([]catalog.Tenant{{Name: "a", Keys: keys, Priority: &top}})
	}
	k.core.Update(func(s *dispatch.State) { s.SetConfig(cfg) })
}

// expire makes the view of the keys too old, as after a suspend of the VM or a loss of the store.
func (k *keyRig) expire() {
	k.core.SetRevokeDelay(revokeDelay) // forgets the last proof
	k.core.RecordConfigProof(boottime.Now().Add(-revokeDelay))
}

// queue sends a stream that waits for its model, and returns a channel with the status and body of the answer.
func (k *keyRig) queue(key string) <-chan string {
	k.core.Update(func(s *dispatch.State) {
		s.Fleet.Remove(time.Now(), "e")
		s.Fleet.Put(time.Now(), catalog.Upstream{ID: "disk", Service: "llm", Address: "127.0.0.1:1", Zone: "z1", Slots: 8, OnDisk: []string{"m"}})
	})
	done := make(chan string, 1)
	go func() {
		defer GinkgoRecover()
		resp, body := k.getBody("/stream/x", key)
		done <- fmt.Sprint(resp.StatusCode, " ", body)
	}()
	Eventually(func() (n int) {
		k.core.Do(func(s *dispatch.State) {
			for _, waiting := range s.LoadRequests(time.Now()) {
				n += waiting
			}
		})
		return n
	}).Should(Equal(1))
	return done
}

// get sends a request that names a tenant of its own; an empty key is not sent.
func (k *keyRig) get(path, key string) *http.Response {
	resp, _ := k.getBody(path, key)
	return resp
}

func (k *keyRig) getBody(path, key string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodGet, k.front.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = k.host
	model := ""
	if strings.HasPrefix(path, "/stream") {
		model = "m"
	}
	standin.SetRequestHeader(req.Header, "r1", 0, model, "")
	standin.SetTenant(req.Header, standin.ForgedTenant)
	if key != "" {
		standin.SetKey(req.Header, key)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp, string(body)
}

// attemptHook is a tracer that calls a function after the decision for an attempt, before the connection is established.
type attemptHook struct {
	trace.Tracer
	onAttempt func()
}

func (a attemptHook) Start(ctx context.Context, name string, opts ...trace.SpanStartOption) (context.Context, trace.Span) {
	if name == "send" {
		a.onAttempt()
	}
	return a.Tracer.Start(ctx, name, opts...)
}

var _ = Describe("keys", func() {
	// Guards against requests that run without a valid key, against keys and forged tenants that reach an upstream, and
	// against an upstream that is not told the tenant or its priority.
	It("serves requests with a known key only and names their tenant to the upstream", func() {
		k := newKeyRig("k1", "k2")
		Expect(k.get("/get/x", "").StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(k.get("/get/x", "k3").StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(k.get("/none", "k3").StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(k.get("/none", "k1").StatusCode).To(Equal(http.StatusNotFound))
		Expect(k.runs.Load()).To(BeZero())
		Expect(k.get("/get/x", "k2").StatusCode).To(Equal(http.StatusOK))
		Expect(standin.Tenant(*k.header.Load())).To(Equal("a"))
		Expect(standin.Key(*k.header.Load())).To(BeEmpty())
		Expect(k.get("/stream/x", "k1").StatusCode).To(Equal(http.StatusOK))
		Expect(standin.Priority(*k.header.Load())).To(Equal("2"))
	})

	// Guards against a public route that needs a key, and against one that forwards what callers send as a key or tenant.
	DescribeTable("serves public routes to everyone", func(key, tenant string, age time.Duration) {
		k := newKeyRig("k1")
		if age > 0 {
			k.expire()
		}
		Expect(k.get("/get/public", key).StatusCode).To(Equal(http.StatusOK))
		Expect(standin.Tenant(*k.header.Load())).To(Equal(tenant))
		Expect(standin.Key(*k.header.Load())).To(BeEmpty())
	},
		Entry("without a key", "", "", time.Duration(0)),
		Entry("with an unknown key", "k3", "", time.Duration(0)),
		Entry("with a known key", "k1", "a", time.Duration(0)),
		Entry("with a key that may have been withdrawn", "k1", "", revokeDelay),
	)

	// Guards against a change for configurations without tenants, whose upstreams may have keys of their own.
	It("forwards Authorization where there are no tenants, however old the view is", func() {
		k := newKeyRig()
		k.expire()
		Expect(k.get("/get/x", "k1").StatusCode).To(Equal(http.StatusOK))
		Expect(standin.Key(*k.header.Load())).To(Equal("Bearer k1"))
		Expect(standin.Tenant(*k.header.Load())).To(BeEmpty())
	})

	// Guards against a withdrawn key that a router without contact to the store accepts, and against 401 for a key that
	// the router cannot know yet.
	It("refuses all keys while the view is too old, and serves them after the next answer of the store", func() {
		k := newKeyRig("k1")
		k.expire()
		for _, key := range []string{"k1", "k3", ""} {
			resp := k.get("/get/x", key)
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(resp.Close).To(BeTrue())
		}
		Expect(k.runs.Load()).To(BeZero())
		k.core.RecordConfigProof(boottime.Now())
		Expect(k.get("/get/x", "k1").StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against a key that is withdrawn, or a view that becomes too old, while the request waits for a model.
	DescribeTable("refuses a request in the queue", func(change func(*keyRig), status int, reason string) {
		k := newKeyRig("k1")
		done := k.queue("k1")
		change(k)
		k.core.Update(func(*dispatch.State) {})
		Eventually(done, "1s").Should(Receive(Equal(fmt.Sprint(status, " ", reason, "\n"))))
		Expect(k.runs.Load()).To(BeZero())
	},
		Entry("whose key is withdrawn", func(k *keyRig) { k.setKeys("k3") }, http.StatusUnauthorized, "unknown API key"),
		Entry("on a view that is too old", (*keyRig).expire, http.StatusServiceUnavailable, "the view of the API keys is too old"),
	)

	// Guards against a configuration that makes a route public and withdraws a key at once: a request that needs no key
	// was refused, or continued with the tenant's rights.
	It("continues a request in the queue without its tenant if it needs no key any more", func() {
		k := newKeyRig("k1")
		done := k.queue("k1")
		k.publicStreams = true
		k.setKeys("k3")
		k.upstream("e", "llm", []catalog.Resident{{Model: "m"}}, k.run)
		Eventually(done, "2s").Should(Receive(HavePrefix("200")))
		Expect(standin.Tenant(*k.header.Load())).To(BeEmpty())
		Expect(standin.Priority(*k.header.Load())).To(Equal("5"))
	})

	// Guards against a request that waits for the end of an upstream's backoff, which can take seconds, although its key
	// cannot be used then.
	It("refuses waiting requests as soon as the view is too old", func() {
		k := newKeyRig("k1")
		k.core.Do(func(s *dispatch.State) { s.Fleet.RecordBackoff("p", time.Now().Add(3*time.Second)) })
		watch := gateway.NewKeyWatch(k.core, discard, tally.NoopScope, func(bool) {})
		done := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			done <- k.get("/get/x", "k1").StatusCode
		}()
		Consistently(done, "200ms").ShouldNot(Receive())
		k.expire()
		watch.Check()
		Eventually(done, "1s").Should(Receive(Equal(http.StatusServiceUnavailable)))
	})

	// Guards against a retry after the withdrawal, and against a status that denies that the request may have run.
	DescribeTable("does not retry, and reports that the request may have run", func(change func(*keyRig)) {
		k := newKeyRig("k1")
		abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			change(k)
			panic(http.ErrAbortHandler)
		})
		k.answer.Store(&abort)
		k.upstream("p2", "plain", nil, k.run)
		Expect(k.get("/get/x", "k1").StatusCode).To(Equal(http.StatusBadGateway))
		Expect(k.runs.Load()).To(Equal(int32(1)))
	},
		Entry("if the key is withdrawn", func(k *keyRig) { k.setKeys("k3") }),
		Entry("if the view is too old", (*keyRig).expire),
	)

	// Guards against a stream that is resumed after the withdrawal or looks complete.
	It("does not resume a stream whose key is withdrawn", func() {
		k := newKeyRig("k1")
		truncate := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			sign(w, q)
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			w.(http.Flusher).Flush()
			k.setKeys("k3")
			panic(http.ErrAbortHandler)
		})
		k.answer.Store(&truncate)
		req, err := http.NewRequest(http.MethodPost, k.front.URL+"/stream/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		standin.SetRequestHeader(req.Header, "r1", 0, "m", "")
		standin.SetKey(req.Header, "k1")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(k.runs.Load()).To(Equal(int32(1)))
	})

	// Guards against a check before the connection to the upstream is established only: a key was withdrawn meanwhile.
	It("checks the key right before the request is sent", func() {
		k := newKeyRig("k1")
		k.serve(attemptHook{Tracer: noop.NewTracerProvider().Tracer(""), onAttempt: func() { k.setKeys("k3") }})
		Expect(k.get("/get/x", "k1").StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(k.runs.Load()).To(BeZero())
	})

	// Guards against a key in the logs or metrics, and against refusals and tenants that operators cannot see.
	It("logs the tenant and counts refusals by cause, without the keys", func() {
		k := newKeyRig("s3cret-1")
		var out bytes.Buffer
		log, scope := eventlog.New(&out, "entry", "vm"), tally.NewTestScope("", nil)
		k.gw = gateway.New(k.core, h1.NewPool(), log, guard.New(log), scope, noop.NewTracerProvider().Tracer(""))
		k.front = httptest.NewServer(k.gw)
		for _, key := range []string{"s3cret-1", "s3cret-2", ""} {
			k.get("/get/x", key)
		}
		k.expire()
		k.get("/get/x", "s3cret-1")
		k.front.Close() // waits for the requests' log lines
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		log.Run(ctx)
		Expect(out.String()).NotTo(ContainSubstring("s3cret"))
		Expect(out.String()).To(MatchRegexp(`outcome=done.* tenant=a key_view_age_ms=\d`))
		Expect(out.String()).To(MatchRegexp(`status=503.* key_view_age_ms=5\d{3} .*reason="the view of the API keys is too old"`))
		counts := map[string]int64{}
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "key_refusals_total" {
				counts[c.Tags()["cause"]] = c.Value()
			}
		}
		Expect(counts).To(Equal(map[string]int64{"no_key": 1, "unknown_key": 1, "view_too_old": 1}))
	})

	// Guards against waiting requests and a balancer that learn of unusable keys too late, and against readiness that
	// depends on keys where there are none.
	It("reports whether keys are usable", func() {
		k := newKeyRig("k1")
		var states []bool
		watch := gateway.NewKeyWatch(k.core, discard, tally.NoopScope, func(usable bool) { states = append(states, usable) })
		steps := []func(){func() {}, k.expire, func() {}, func() { k.core.RecordConfigProof(boottime.Now()) }, func() { k.setKeys() }, k.expire}
		for _, step := range steps {
			step()
			watch.Check()
		}
		Expect(states).To(Equal([]bool{false, true}))
	})
})
