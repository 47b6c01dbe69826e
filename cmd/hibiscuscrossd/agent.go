package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/engine/plain"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/ops"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/store/httpstore"
	"github.com/hibiscuscross/hibiscuscross/pkg/telemetry"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/vmlist/httplist"
)

type agentCmd struct {
	commonFlags
	VM            string        `name:"vm" help:"Id of this VM; the certificate's common name." required:"" env:"HIBISCUSCROSS_VM"`
	Region        string        `help:"Region of this VM." required:"" env:"HIBISCUSCROSS_REGION"`
	Zone          string        `help:"Availability zone of this VM." required:"" env:"HIBISCUSCROSS_ZONE"`
	Group         string        `help:"Group of the upstream, as in the configuration." required:"" env:"HIBISCUSCROSS_GROUP"`
	Listen        string        `help:"Address for peers, ip:port, as peers reach it. The port is the same on all VMs." default:"127.0.0.1:7001" env:"HIBISCUSCROSS_PEER_LISTEN"`
	OpsListen     string        `help:"Address for operators, ip:port." default:"127.0.0.1:7002" env:"HIBISCUSCROSS_OPS_LISTEN"`
	Module        string        `name:"engine-module" help:"Module that speaks to the upstream." default:"engine.openai" env:"HIBISCUSCROSS_ENGINE_MODULE"`
	Engine        string        `name:"engine" help:"URL of the upstream." required:"" env:"HIBISCUSCROSS_ENGINE_URL"`
	IdlePolicy    string        `help:"Module that decides when an idle model is unloaded." default:"policy.idle.cost" env:"HIBISCUSCROSS_IDLE_POLICY"`
	KeepAlive     time.Duration `help:"Time without requests after which policy.idle.fixed unloads; 1s to 168h." default:"10m" env:"HIBISCUSCROSS_KEEP_ALIVE"`
	TrustFence    bool          `help:"The upstream refuses orders with an old fencing number." env:"HIBISCUSCROSS_TRUST_FENCE"`
	StoreURL      string        `name:"store-url" help:"URL of the object API." required:"" env:"HIBISCUSCROSS_STORE_URL"`
	VMListURL     string        `name:"vm-list-url" help:"URL of the VM list." required:"" env:"HIBISCUSCROSS_VM_LIST_URL"`
	Peers         []string      `help:"Addresses of processes to ask at the start for the configuration and, while the object API is down, for its objects, ip:port, beside those of the VM list." env:"HIBISCUSCROSS_PEERS"`
	DrainTimeout  time.Duration `help:"Longest time from SIGTERM to the end; 1s to 1h." default:"15m" env:"HIBISCUSCROSS_DRAIN_TIMEOUT"`
	TraceExporter string        `help:"Where spans go: none, stdout or otlp." default:"none" env:"HIBISCUSCROSS_TRACE_EXPORTER"`
	TraceURL      string        `name:"trace-url" help:"URL of the OTLP receiver, for the exporter otlp." env:"HIBISCUSCROSS_TRACE_URL"`
	Profiles      bool          `help:"Serve profiles under /debug/pprof/ on the operators' port." env:"HIBISCUSCROSS_PROFILES"`
}

// queueShare is the divisor of the process's memory that gives the bytes of waiting requests at most.
const queueShare = 8

// namePattern matches the names that may be part of an object key.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// Validate checks the flags before any listener opens.
func (a *agentCmd) Validate() error {
	var errs []error
	check := func(ok bool, flag, value, allowed string) {
		if !ok {
			errs = append(errs, fmt.Errorf("--%s=%q: allowed is %s", flag, value, allowed))
		}
	}
	const name, addr, httpURL = "a name of letters, digits, '.', '_' and '-'", "an IP address and a port, such as 127.0.0.1:7001", "an http or https URL"
	for flag, value := range map[string]string{"vm": a.VM, "region": a.Region, "zone": a.Zone, "group": a.Group} {
		check(namePattern.MatchString(value), flag, value, name)
	}
	for flag, value := range map[string]string{"listen": a.Listen, "ops-listen": a.OpsListen} {
		check(isEndpoint(value), flag, value, addr)
	}
	for _, value := range a.Peers {
		check(isEndpoint(value), "peers", value, addr)
	}
	for flag, value := range map[string]string{"engine": a.Engine, "store-url": a.StoreURL, "vm-list-url": a.VMListURL} {
		check(isHTTPURL(value), flag, value, httpURL)
	}
	modules := kernel.IDs(kernel.KindEngine)
	check(slices.Contains(modules, a.Module), "engine-module", a.Module, strings.Join(modules, " or "))
	check(a.DrainTimeout >= time.Second && a.DrainTimeout <= time.Hour, "drain-timeout", a.DrainTimeout.String(), "1s to 1h")
	policies := kernel.IDs(kernel.KindPolicy)
	check(slices.Contains(policies, a.IdlePolicy), "idle-policy", a.IdlePolicy, strings.Join(policies, " or "))
	check(a.KeepAlive >= time.Second && a.KeepAlive <= 168*time.Hour, "keep-alive", a.KeepAlive.String(), "1s to 168h")
	exporters := []string{string(telemetry.ExporterNone), string(telemetry.ExporterStdout), string(telemetry.ExporterOTLP)}
	check(slices.Contains(exporters, a.TraceExporter), "trace-exporter", a.TraceExporter, strings.Join(exporters, " or "))
	otlp := a.TraceExporter == string(telemetry.ExporterOTLP)
	check(!otlp || isHTTPURL(a.TraceURL), "trace-url", a.TraceURL, httpURL+" for the exporter otlp")
	if err := a.check(a.VM); err != nil {
		errs = append(errs, err)
	}
	slices.SortFunc(errs, func(x, y error) int { return strings.Compare(x.Error(), y.Error()) })
	return errors.Join(errs...)
}

// isEndpoint reports whether s is an address to which peers can connect: a specified IP address and a port.
func isEndpoint(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func isHTTPURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// agentProcess is an agent with its listeners.
type agentProcess struct {
	cmd          *agentCmd
	log          *log.Logger
	kernel       *kernel.Kernel
	policy       idle.Policy
	agent        *agent.Agent
	peerListener transport.Listener
	opsListener  *inbound.Listener
	bounds       bounds
	scope        tally.Scope
	// opsServer serves the operators' port except for /drain.
	opsServer   *ops.Server
	flush       func(context.Context) error
	scopeCloser io.Closer
}

// Run runs the agent until a stop signal arrives or the VM is leaving, and the agent has drained.
func (a *agentCmd) Run() error {
	signals, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &agentProcess{cmd: a, log: telemetry.NewLogger("agent", a.VM), kernel: kernel.New(), bounds: a.bounds()}
	defer p.close()
	if err := p.start(signals); err != nil {
		return err
	}
	return p.run(signals)
}

func (p *agentProcess) start(ctx context.Context) (err error) {
	t, err := p.cmd.transport(ctx, p.kernel)
	if err != nil {
		return err
	}
	e, err := kernel.LoadAs[engine.Engine](ctx, p.kernel, p.cmd.Module, kernel.Settings{"url": p.cmd.Engine})
	if err != nil {
		return err
	}
	objects, err := kernel.LoadAs[store.Store](ctx, p.kernel, "store.http", kernel.Settings{"url": p.cmd.StoreURL})
	if err != nil {
		return err
	}
	vms, err := kernel.LoadAs[vmlist.Lister](ctx, p.kernel, "vmlist.http", kernel.Settings{"url": p.cmd.VMListURL})
	if err != nil {
		return err
	}
	tracer, flush, err := telemetry.NewTracer(ctx, telemetry.Exporter(p.cmd.TraceExporter), p.cmd.TraceURL, "agent")
	if err != nil {
		return err
	}
	p.flush = flush
	// The port is bound before objects are read or orders are sent, because a second agent on the VM then cannot start.
	if p.peerListener, err = t.Listen(p.cmd.Listen); err != nil {
		return err
	}
	if p.opsListener, err = inbound.ListenOps(p.cmd.OpsListen); err != nil {
		return err
	}
	reporter, metrics := telemetry.NewReporter(func(err error) { p.log.Error("metric not registered", "err", err) })
	scope, closer := telemetry.NewScope("agent", reporter)
	p.scopeCloser, p.scope = closer, scope
	p.opsServer = ops.New(ops.Options{Metrics: metrics, Status: func() any { return p.agent.Status() }, Profiles: p.cmd.Profiles})
	settings := kernel.Settings{}
	if p.cmd.IdlePolicy == idle.FixedID {
		settings["keepalive"] = p.cmd.KeepAlive.String()
	}
	if p.policy, err = kernel.LoadAs[idle.Policy](ctx, p.kernel, p.cmd.IdlePolicy, settings); err != nil {
		return err
	}
	p.agent = agent.New(p.options(), agent.Dependencies{Listener: p.peerListener, Transport: t, Engine: e, Store: objects, VMs: vms,
		Scope: scope, Tracer: tracer, Log: p.log, Memory: p.bounds.account, OnReady: func() { p.opsServer.SetReady(); p.log.Info("ready") }})
	return nil
}

func (p *agentProcess) options() agent.Options {
	a := p.cmd
	queue := admission.DefaultLimits()
	queue.Bytes = min(queue.Bytes, a.MemoryMB<<20/queueShare)
	return agent.Options{VM: a.VM, Incarnation: uuid.NewString(), Region: a.Region, Zone: a.Zone, Group: a.Group, Addr: a.Listen, Peers: a.Peers,
		Start: time.Now(), TrustFence: a.TrustFence, Policy: p.policy, Queue: queue, Once: once.DefaultLimits()}
}

// run serves until the agent has drained, after a signal or because the VM is leaving, or the drain times out.
func (p *agentProcess) run(signals context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := inbound.NewOpsServer(p.opsHandler())
	var g run.Group
	g.Add(func() error { return p.agent.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.waitDrained(ctx, signals) }, func(error) { cancel() })
	g.Add(func() error { return inbound.Serve(server, p.opsListener, reportClosed(p.log, p.scope, "operators")) }, func(error) { _ = server.Close() })
	p.log.Info("started", "version", version, "listen", p.peerListener.Addr(), "ops", p.opsListener.Addr())
	return g.Run()
}

// waitDrained starts the drain at the signal and returns when the agent has drained or DrainTimeout has passed.
func (p *agentProcess) waitDrained(ctx, signals context.Context) error {
	select {
	case <-signals.Done():
	case <-p.agent.Drained(): // the VM list showed this VM as leaving
		return nil
	case <-ctx.Done():
		return nil
	}
	p.opsServer.SetStopping()
	if err := p.agent.Drain(ctx, false); err != nil {
		return nil
	}
	timeout := time.NewTimer(p.cmd.DrainTimeout)
	defer timeout.Stop()
	select {
	case <-p.agent.Drained():
	case <-timeout.C:
		p.log.Warn("drain timed out", "limit", p.cmd.DrainTimeout)
	case <-ctx.Done():
	}
	return nil
}

// opsHandler returns the handler of the operators' port. POST /drain marks the VM as leaving.
func (p *agentProcess) opsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.opsServer)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, r *http.Request) {
		p.opsServer.SetStopping()
		if err := p.agent.Drain(r.Context(), true); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (p *agentProcess) close() {
	if p.peerListener != nil {
		_ = p.peerListener.Close()
	}
	if p.opsListener != nil {
		_ = p.opsListener.Close()
	}
	if p.scopeCloser != nil {
		_ = p.scopeCloser.Close()
	}
	if p.flush != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.flush(ctx)
	}
	_ = p.kernel.Cleanup()
}
