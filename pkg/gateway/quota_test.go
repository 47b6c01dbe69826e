package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
	"github.com/hibiscuscross/hibiscuscross/pkg/retrylimit"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/platform"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// quotaEngine is the address of the engine beside the agents. Its IP is this process' own: sockets of other processes, and
// those of routers, get none of the ports at which the agents listen one after the other.
var quotaEngine = fmt.Sprintf("127.83.%d.%d:64999", os.Getpid()>>8&255, os.Getpid()&255)

// agentAddress returns the address of an agent beside the engine.
func agentAddress(port int) string {
	host, _, _ := net.SplitHostPort(quotaEngine)
	return net.JoinHostPort(host, strconv.Itoa(port))
}

var quotaLog = eventlog.New(io.Discard, "entry", "vm")

func quotaGuard() *guard.Guard { return guard.New(quotaLog) }

// idleEngine is an engine that has nothing loaded and gets no orders.
type idleEngine struct{}

func (idleEngine) Report(context.Context) (platform.Report, error) {
	return platform.Report{Upstream: catalog.Upstream{ID: "i-1", Service: "llm", Address: quotaEngine, StartedUnixMS: 5}}, nil
}
func (idleEngine) Instance(context.Context, string) (string, error) { return "i-1", nil }
func (idleEngine) Order(context.Context, placement.Order, string, uint64, string, uint64) (platform.OrderResult, error) {
	return platform.OrderRejected, nil
}

// quotaRig is a router, the store and, once started, sidecars that may hold the quotas.
type quotaRig struct {
	t         *testing.T
	gw        *Gateway
	core      *Core
	store     *platform.Store
	calls     atomic.Int64 // of the store
	agentPort int
	config    *catalog.Config
	ran       atomic.Int64
}

func newQuotaRig(t *testing.T, tenant catalog.Tenant) *quotaRig {
	r := &quotaRig{t: t}
	tenant.Keys = []string{"key"}
	backing := standin.NewStore()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.calls.Add(1)
		backing.ServeHTTP(w, q)
	}))
	t.Cleanup(srv.Close)
	r.store = platform.NewStore(srv.Listener.Addr().String())
	plain := []catalog.Backend{{Service: "plain", Weight: 1}}
	r.config = catalog.NewConfig(3, []catalog.Route{
		{Name: "post", Host: "h", Prefix: "/", Kind: catalog.NonIdempotent, Timeout: 6 * time.Second, MaxAttempts: 1, Backends: plain},
	}, []catalog.Service{{Name: "plain"}, {Name: "llm", Engine: &catalog.Engine{Models: map[string]catalog.Model{}, MemoryMB: 1, Slots: 1}}}, catalog.Limits{})
	r.config.SetTenants([]catalog.Tenant{tenant})
	state := dispatch.New(dispatch.Settings{Zone: "z1", RetryLimit: retrylimit.Limit{Ratio: 0.2, Burst: 50, Window: 10 * time.Second}})
	core := NewCore(state)
	r.core = core
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.ran.Add(1)
		standin.Sign(w.Header(), standin.RequestID(q.Header), "stamp")
	}))
	t.Cleanup(upstream.Close)
	agentSocket, err := peer.Listen(agentAddress(0)) // finds a port; the agents listen there one after the other
	if err != nil {
		t.Fatal(err)
	}
	r.agentPort = int(agentSocket.Address().Port())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = agentSocket.Receive(ctx, nil, nil)
	core.Update(func(s *dispatch.State) {
		s.SetConfig(r.config)
		s.Fleet.Put(time.Now(), catalog.Upstream{ID: "u1", Service: "plain", Address: upstream.Listener.Addr().String(), Zone: "z1", Slots: 8})
		s.Fleet.Put(time.Now(), catalog.Upstream{ID: "i-1", Service: "llm", Address: quotaEngine, Zone: "z1", Slots: 8, StartedUnixMS: 5})
	})
	socket, err := peer.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quotas := NewQuotas("edge-1", socket, quotaLog, tally.NoopScope)
	r.gw = New(core, h1.NewPool(), quotaLog, quotaGuard(), tally.NoopScope, noop.NewTracerProvider().Tracer(""))
	r.gw.SetQuotas(quotas)
	peers := NewPeers(core, socket, quotaLog, quotaGuard(), Location{Router: "edge-1", Zone: "z1", ZoneRegion: map[string]string{"z1": "r1"}}, r.agentPort, func(bool) {})
	peers.SetQuotas(quotas)
	r.run(peers.Run, quotas.Run)
	return r
}

// run runs the functions until the returned function is called or the test ends.
func (r *quotaRig) run(functions ...func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, f := range functions {
		wg.Go(func() { _ = f(ctx) })
	}
	stop = func() { cancel(); wg.Wait() }
	r.t.Cleanup(stop)
	return stop
}

// sidecar starts a sidecar on the VM.
func (r *quotaRig) sidecar(node string) (stop func()) {
	socket, err := peer.Listen(agentAddress(r.agentPort))
	if err != nil {
		r.t.Fatal(err)
	}
	agent := sidecar.New(sidecar.Settings{Node: node, Address: quotaEngine, Region: "r1", Zone: "z1", Service: "llm", LoadWindow: time.Second, LoadFactor: 1}, idleEngine{}, socket, quotaLog, quotaGuard())
	agent.EnableQuotas(r.store.WithStaleReads(), r.store, 0, tally.NoopScope)
	agent.Configure(r.config, 1)
	agent.SetUpstreams([]catalog.Upstream{{ID: "i-1", Service: "llm", Address: quotaEngine, StartedUnixMS: 5}})
	return r.run(agent.Receive, func(ctx context.Context) error { agent.Run(ctx); return nil }, func(ctx context.Context) error { agent.RunQuotas(ctx); return nil })
}

// request serves a request of the tenant that has passed the check of its key.
func (r *quotaRig) request(meta platform.Request) *httptest.ResponseRecorder {
	c, w := r.prepare(meta)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.req.Deadline)
	defer cancel()
	c.ctx = ctx
	c.run()
	return w
}

func (r *quotaRig) prepare(meta platform.Request) (*callerRequest, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodPost, "/x", nil)
	q.Host = "h"
	meta.ID, meta.Key = "r1", "key"
	standin.SetRequestHeader(q.Header, "r1", 0, "", "")
	route, _ := r.config.Match("h", "/x")
	c := &callerRequest{g: r.gw, w: w, r: q, meta: meta, start: time.Now(), tenant: &r.config.Tenants()[0], config: r.config.Version}
	if !c.readBody(r.config) {
		r.t.Fatal("body not read")
	}
	r.t.Cleanup(c.releaseMemory)
	c.prepare(route)
	return c, w
}

// Guards against requests of a tenant beyond its limit that run, and those below it that do not, with the messages, the
// lease in the store and a take-over between them.
func TestQuotaEndToEnd(t *testing.T) {
	r := newQuotaRig(t, catalog.Tenant{Name: "t", Unit: catalog.QuotaTokens, Rate: 1000, Burst: 1000})
	stop := r.sidecar("side-1")
	if w := r.request(platform.Request{}); w.Code != http.StatusOK { // waits for the first holder
		t.Fatalf("first request: %d %s", w.Code, w.Body)
	}
	start := time.Now()
	for range 9 {
		if w := r.request(platform.Request{TokensIn: 300, TokensOut: 50}); w.Code != http.StatusOK {
			t.Fatalf("below the limit: %d %s", w.Code, w.Body)
		}
	}
	t.Logf("9 requests took %s", time.Since(start))
	stop()
	stop = r.sidecar("side-1")
	if w := r.request(platform.Request{}); w.Code != http.StatusOK {
		t.Fatalf("after a restart of the holder: %d %s", w.Code, w.Body)
	}
	stop()
	r.sidecar("side-2")
	if w := r.request(platform.Request{}); w.Code != http.StatusOK {
		t.Fatalf("after a take-over by another VM: %d %s", w.Code, w.Body)
	}
	ran := r.ran.Load()
	w := r.request(platform.Request{TokensIn: 9_000})
	after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	if w.Code != http.StatusTooManyRequests || err != nil || after <= 0 || r.ran.Load() != ran {
		t.Fatalf("over the limit: %d, Retry-After %q, %d ran", w.Code, w.Header().Get("Retry-After"), r.ran.Load()-ran)
	}
	r.core.Update(func(s *dispatch.State) { s.Fleet.Remove(time.Now(), "u1") })
	if w := r.request(platform.Request{TokensIn: 123}); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("without an upstream: %d", w.Code)
	}
	returned := func() float64 {
		r.gw.quotas.mu.Lock()
		defer r.gw.quotas.mu.Unlock()
		return r.gw.quotas.balance.Stats().Returned["t"]
	}
	for deadline := time.Now().Add(2 * time.Second); returned() != 123; {
		if time.Sleep(10 * time.Millisecond); time.Now().After(deadline) {
			t.Fatalf("%.0f tokens of a request that was not sent were returned, want 123", returned())
		}
	}
}

// Guards against a request that is sent with tokens that have expired since the decision, as in a process that was frozen.
func TestExpiredTokensAreNotSent(t *testing.T) {
	r := newQuotaRig(t, catalog.Tenant{Name: "t", Rate: 100, Burst: 100})
	c, _ := r.prepare(platform.Request{})
	c.ctx = context.Background()
	d, _ := r.core.decide(c.req)
	if d.Action != dispatch.Send {
		t.Fatalf("decision %+v", d)
	}
	c.quota = requestQuota{hold: &quota.Hold{Until: boottime.Now()}, admitted: true}
	if o, _ := c.attempt(d); o != dispatch.Expired || r.ran.Load() != 0 || !c.settleQuota(o) || !c.quota.needed {
		t.Fatalf("outcome %s, %d ran, %+v", o, r.ran.Load(), c.quota)
	}
}

// Guards against a 429, which blames the caller, and against a request that is held until its deadline, while no process
// holds the quota.
func TestQuotaWithoutHolder(t *testing.T) {
	r := newQuotaRig(t, catalog.Tenant{Name: "t", Rate: 100, Burst: 100})
	start := time.Now()
	w := r.request(platform.Request{Timeout: time.Second})
	if took := time.Since(start); w.Code != http.StatusServiceUnavailable || took > 900*time.Millisecond || took < 400*time.Millisecond {
		t.Fatalf("%d after %s", w.Code, took)
	}
}

// Guards against store calls and waits where no tenant has a limit.
func TestNoQuota(t *testing.T) {
	r := newQuotaRig(t, catalog.Tenant{Name: "t"})
	r.sidecar("side-1")
	if w := r.request(platform.Request{}); w.Code != http.StatusOK {
		t.Fatalf("got %d", w.Code)
	}
	time.Sleep(1200 * time.Millisecond)
	if n := r.calls.Load(); n != 0 {
		t.Fatalf("%d store calls", n)
	}
}
