package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/api"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/transport/quic"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// benchKey is the API key of the caller.
const benchKey = "bench"

// engineSlots exceeds the number of concurrent calls, so that queueing does not hide the latency of router and agent.
const engineSlots = 4096

// childCmd runs one process of the benchmark. It ends when its standard input closes.
type childCmd struct {
	Role     string `arg:"" enum:"engine,agent,router,source,floor"`
	Dir      string
	To       string
	Interval time.Duration
	Tokens   int
}

// Run serves until the standard input closes.
func (c *childCmd) Run() error {
	switch c.Role {
	case "engine":
		e := standin.NewEngine(standin.EngineOptions{TokenInterval: c.Interval, Tokens: c.Tokens, Slots: engineSlots, ServeUnloaded: true}, nil)
		return serveHTTP(e.Handler())
	case "agent":
		return c.agent()
	case "router":
		return c.router()
	case "source":
		return c.source()
	}
	return c.floor()
}

func serveHTTP(h http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return announceAndWait(l.Addr().String())
}

func (c *childCmd) transport(vm string) (transport.Transport, error) {
	return kernel.LoadAs[transport.Transport](context.Background(), kernel.New(), "transport.quic", kernel.Settings{
		"cert": filepath.Join(c.Dir, vm+".pem"), "key": filepath.Join(c.Dir, vm+"-key.pem"), "ca": filepath.Join(c.Dir, "ca.pem"),
	})
}

func (c *childCmd) agent() error {
	ctx := context.Background()
	t, err := c.transport("vm-agent")
	if err != nil {
		return err
	}
	e, err := kernel.LoadAs[engine.Engine](ctx, kernel.New(), "engine.openai", kernel.Settings{"url": "http://" + c.To})
	if err != nil {
		return err
	}
	l, err := t.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	objects := standin.NewMemStore(0)
	envelope, err := config.NewEnvelope(0, benchDocument()).Encode()
	if err != nil {
		return err
	}
	if _, err := objects.Put(ctx, store.KeyConfig, envelope, store.MustNotExist); err != nil {
		return err
	}
	ready := make(chan struct{})
	a := agent.New(agent.Options{
		VM: "vm-agent", Incarnation: "bench", Region: "r", Zone: "z", Group: "g", Addr: l.Addr(), Start: time.Now(),
		Queue: admission.DefaultLimits(), Once: once.DefaultLimits(),
	}, agent.Dependencies{
		Listener: l, Transport: t, Engine: e, Store: objects, VMs: benchVMs{}, Scope: tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""), Log: log.New(os.Stderr), OnReady: func() { close(ready) },
	})
	go func() { _ = a.Run(ctx) }()
	<-ready
	return announceAndWait(l.Addr())
}

// benchVMs is a VM list with the VM of the agent.
type benchVMs struct{}

func (benchVMs) List(context.Context) ([]vmlist.VM, error) {
	return []vmlist.VM{{ID: "vm-agent", Addr: "127.0.0.1", Region: "r", Zone: "z", State: vmlist.StateLive}}, nil
}

func (c *childCmd) router() error {
	router.TuneRuntime()
	t, err := c.transport("vm-router")
	if err != nil {
		return err
	}
	r := router.New(transport.NewPool(t), router.Options{Region: "r", Zone: "z"})
	r.SetView(routing.View{
		Upstreams: []routing.Upstream{{VM: "vm-agent", Addr: c.To, Region: "r", Zone: "z", Group: "g"}},
		Grants:    map[string]grant.Object{"m": {Grants: []grant.Grant{{VM: "vm-agent"}}}},
	})
	s := api.New(r, nil)
	doc, err := config.Parse(1, benchDocument())
	if err != nil {
		return err
	}
	s.Configure(doc)
	return serveHTTP(s)
}

// benchDocument returns a configuration document with one model and one caller.
func benchDocument() []byte {
	hash := sha256.Sum256([]byte(benchKey))
	raw, err := json.Marshal(config.Config{
		APIVersion: config.APIVersion, Deployment: "bench", Weights: config.Weights{ColdStart: 1},
		Limits:   config.Limits{MaxWaitMS: 60000, UpstreamMemoryBytes: 80 << 30},
		Groups:   []config.Group{{Name: "g", Kind: config.GroupModels}},
		Models:   []config.Model{{Name: "m", Group: "g", MaxReplicas: 1, MemoryBytes: 1 << 20, KVReserveBytes: 1 << 20, Accelerators: 1}},
		Services: []config.Service{{Name: "s", Group: "g", Models: []string{"m"}, MaxWaitMS: 60000}},
		Callers:  []config.Caller{{Name: "c", KeySHA256: hex.EncodeToString(hash[:]), Services: []string{"s"}}},
	})
	if err != nil {
		panic(err) // cannot happen: all fields of the type can be encoded
	}
	return raw
}

// floorFrame returns the frame that the source sends for token i. It has the form and size of the stand-in's events.
func floorFrame(i int) []byte {
	return fmt.Appendf(nil, "data: {\"id\":\"019ae2f0-0000-7000-8000-000000000000\",\"object\":\"chat.completion.chunk\",\"created\":1796358984,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"t%d-abcd \"},\"finish_reason\":null}]}\n\n", i)
}
