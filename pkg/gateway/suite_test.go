package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/retrylimit"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var discard = eventlog.New(io.Discard, "entry", "vm")

// rig is a gateway whose upstreams are simulated by the spec.
type rig struct {
	name   string
	core   *gateway.Core
	gw     *gateway.Gateway
	limits *gateway.Limits
	front  *httptest.Server
}

func newRig() *rig { return newNamedRig("edge-1") }

// newNamedRig returns a rig whose router has the name.
func newNamedRig(name string) *rig {
	state := dispatch.New(dispatch.Settings{Zone: "z1", RetryLimit: retrylimit.Limit{Ratio: 0.2, Burst: 50, Window: 10 * time.Second}})
	state.RetryShare.RecordRouters(time.Now().Add(-time.Hour), 1, true)
	for _, service := range []string{"plain", "llm"} { // the quotas have had time to earn tokens
		state.RecordArrival(time.Now().Add(-time.Minute), &dispatch.Request{Service: service})
	}
	r := &rig{core: gateway.NewCore(state), name: name}
	r.serve(noop.NewTracerProvider().Tracer(""))
	return r
}

// serve replaces the gateway with one that uses the tracer.
func (r *rig) serve(tracer trace.Tracer) {
	r.gw = gateway.New(r.core, h1.NewPool(), discard, guard.New(discard), tally.NoopScope, tracer)
	r.limits = gateway.NewLimits(r.name, r.core, discard, tally.NoopScope)
	r.gw.SetLimits(r.limits)
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	limits := r.limits
	go func() { _ = limits.Run(ctx) }()
	r.front = httptest.NewServer(r.gw)
	DeferCleanup(r.front.Close)
}

// configure applies one route of each kind, to a plain service and to an engine whose only model is cached nowhere.
func (r *rig) configure() *catalog.Config {
	plain := []catalog.Backend{{Service: "plain", Weight: 1}}
	engine := []catalog.Backend{{Service: "llm", Weight: 1}}
	cfg := catalog.NewConfig(1, []catalog.Route{
		{Name: "get", Host: "h", Prefix: "/get/", Kind: catalog.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Backends: plain},
		{Name: "post", Host: "h", Prefix: "/post/", Kind: catalog.NonIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Backends: plain},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Streaming, Timeout: 20 * time.Second, MaxAttempts: 2, Resumable: true, Backends: engine},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.Streaming, Timeout: 20 * time.Second, MaxAttempts: 1, Backends: engine},
	}, []catalog.Service{
		{Name: "plain"},
		{Name: "llm", Engine: &catalog.Engine{
			Models:   map[string]catalog.Model{"m": {Name: "m", SizeMB: 10, FetchTime: 6 * time.Second, DiskTime: time.Second}},
			MemoryMB: 100, Slots: 8,
		}},
	}, catalog.Limits{})
	r.core.Update(func(s *dispatch.State) { s.SetConfig(cfg) })
	return cfg
}

// upstream adds an upstream that answers with the handler.
func (r *rig) upstream(id, service string, models []catalog.Resident, h http.HandlerFunc) *httptest.Server {
	srv := httptest.NewServer(h)
	DeferCleanup(srv.Close)
	r.core.Update(func(s *dispatch.State) {
		s.Fleet.Put(time.Now(), catalog.Upstream{
			ID: id, Service: service, Address: srv.Listener.Addr().String(), Zone: "z1", Slots: 8, Models: models,
		})
	})
	return srv
}

// call sends a request with an id and, for streams, the model m.
func (r *rig) call(method, path string) (*http.Response, string, error) {
	return r.callWith(method, path, nil)
}

// callWith sends a request like call, with the body.
func (r *rig) callWith(method, path string, body io.Reader) (*http.Response, string, error) {
	req, err := http.NewRequest(method, r.front.URL+path, body)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	model := ""
	if path[1] == 's' || path[1] == 'o' {
		model = "m"
	}
	standin.SetRequestHeader(req.Header, "r1", 0, model, "")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp, string(answer), err
}

// sign adds the headers by which an upstream marks an answer as its own.
func sign(w http.ResponseWriter, r *http.Request) {
	standin.Sign(w.Header(), standin.RequestID(r.Header), "stamp")
}
