package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/api"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/ops"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/store/httpstore"
	"github.com/hibiscuscross/hibiscuscross/pkg/telemetry"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/vmlist/httplist"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

type routerCmd struct {
	commonFlags
	VM            string        `name:"vm" help:"Id of this VM; the certificate's common name." required:"" env:"HIBISCUSCROSS_VM"`
	Region        string        `help:"Region of this VM." required:"" env:"HIBISCUSCROSS_REGION"`
	Zone          string        `help:"Availability zone of this VM." required:"" env:"HIBISCUSCROSS_ZONE"`
	Listen        string        `help:"Address for callers, ip:port." default:"127.0.0.1:8080" env:"HIBISCUSCROSS_LISTEN"`
	OpsListen     string        `help:"Address for operators, ip:port." default:"127.0.0.1:8081" env:"HIBISCUSCROSS_OPS_LISTEN"`
	StoreURL      string        `name:"store-url" help:"URL of the object API." required:"" env:"HIBISCUSCROSS_STORE_URL"`
	VMListURL     string        `name:"vm-list-url" help:"URL of the VM list." required:"" env:"HIBISCUSCROSS_VM_LIST_URL"`
	Peers         []string      `help:"Addresses of processes to ask at the start for the configuration and, while the object API is down, for its objects, ip:port." env:"HIBISCUSCROSS_PEERS"`
	ShutdownDelay time.Duration `help:"Time between becoming unready and refusing connections, for the balancer; 0s to 5m." default:"5s" env:"HIBISCUSCROSS_SHUTDOWN_DELAY"`
	TraceExporter string        `help:"Where spans go: none, stdout or otlp." default:"none" env:"HIBISCUSCROSS_TRACE_EXPORTER"`
	TraceURL      string        `name:"trace-url" help:"URL of the OTLP receiver, for the exporter otlp." env:"HIBISCUSCROSS_TRACE_URL"`
	Profiles      bool          `help:"Serve profiles under /debug/pprof/ on the operators' port." env:"HIBISCUSCROSS_PROFILES"`
}

// maxShutdownDelay is the maximum of the flag --shutdown-delay.
const maxShutdownDelay = 5 * time.Minute

// Validate checks the flags before any listener opens.
func (r *routerCmd) Validate() error {
	check := func(ok bool, flag, value, allowed string) error {
		if ok {
			return nil
		}
		return fmt.Errorf("--%s=%q: allowed is %s", flag, value, allowed)
	}
	const name = "a name of letters, digits, '.', '_' and '-'"
	errs := []error{
		check(namePattern.MatchString(r.VM), "vm", r.VM, name),
		check(namePattern.MatchString(r.Region), "region", r.Region, name),
		check(namePattern.MatchString(r.Zone), "zone", r.Zone, name),
		check(isAddr(r.Listen), "listen", r.Listen, "an IP address and port, such as 127.0.0.1:8080"),
		check(isAddr(r.OpsListen), "ops-listen", r.OpsListen, "an IP address and port, such as 127.0.0.1:8081"),
		check(isHTTPURL(r.StoreURL), "store-url", r.StoreURL, "an http or https URL"),
		check(isHTTPURL(r.VMListURL), "vm-list-url", r.VMListURL, "an http or https URL"),
		check(r.ShutdownDelay >= 0 && r.ShutdownDelay <= maxShutdownDelay, "shutdown-delay", r.ShutdownDelay.String(), "0s to 5m"),
		check(r.exporter() != "", "trace-exporter", r.TraceExporter, "none, stdout or otlp"),
		check(r.TraceExporter != string(telemetry.ExporterOTLP) || isHTTPURL(r.TraceURL), "trace-url", r.TraceURL, "an http or https URL for the exporter otlp"),
	}
	for _, p := range r.Peers {
		errs = append(errs, check(isAddr(p), "peers", p, "IP addresses and ports, such as 10.0.0.1:7001,10.0.0.2:7001"))
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return r.check(r.VM)
}

func isAddr(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func (r *routerCmd) exporter() telemetry.Exporter {
	switch e := telemetry.Exporter(r.TraceExporter); e {
	case telemetry.ExporterNone, telemetry.ExporterStdout, telemetry.ExporterOTLP:
		return e
	}
	return ""
}

// Run runs the router until a stop signal arrives.
func (r *routerCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	router.TuneRuntime()
	p, err := r.start(ctx)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

// routerProcess is a router with its listeners.
type routerProcess struct {
	cmd            *routerCmd
	log            *log.Logger
	kernel         *kernel.Kernel
	pool           *transport.Pool
	api            *api.Server
	opsServer      *ops.Server
	control        *router.Control
	watcher        *watch.Watcher
	bounds         bounds
	callerListener *inbound.Listener
	opsListener    *inbound.Listener
	scope          tally.Scope
	closers        []func()
}

// start creates the components and opens the listeners. The context applies to the start only.
func (r *routerCmd) start(ctx context.Context) (p *routerProcess, err error) {
	p = &routerProcess{cmd: r, log: telemetry.NewLogger("router", r.VM), kernel: kernel.New(), bounds: r.bounds()}
	defer func() {
		if err != nil {
			p.close()
		}
	}()
	t, err := r.transport(ctx, p.kernel)
	if err != nil {
		return nil, err
	}
	objects, err := kernel.LoadAs[store.Store](ctx, p.kernel, "store.http", kernel.Settings{"url": r.StoreURL})
	if err != nil {
		return nil, err
	}
	vms, err := kernel.LoadAs[vmlist.Lister](ctx, p.kernel, "vmlist.http", kernel.Settings{"url": r.VMListURL})
	if err != nil {
		return nil, err
	}
	if err := p.build(ctx, transport.NewPool(t), objects, vms); err != nil {
		return nil, err
	}
	return p, p.listen()
}

// build creates and connects the components.
func (p *routerProcess) build(ctx context.Context, pool *transport.Pool, objects store.Store, vms vmlist.Lister) error {
	p.pool = pool
	tracer, flush, err := telemetry.NewTracer(ctx, p.cmd.exporter(), p.cmd.TraceURL, "router")
	if err != nil {
		return err
	}
	reporter, metrics := telemetry.NewReporter(func(err error) { p.log.Error("metric not registered", "err", err) })
	scope, closer := telemetry.NewScope("router", reporter)
	p.closers = append(p.closers, func() { _ = closer.Close() }, func() {
		flushCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = flush(flushCtx)
	})
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(p.cmd.VM))
	r := router.New(pool, router.Options{
		Region: p.cmd.Region, Zone: p.cmd.Zone, Seed: seed.Sum64(), Scope: scope, Tracer: tracer,
		Sync:          func() wire.Sync { return p.control.Sync() },
		OnSync:        func(addr string, s wire.Sync) { p.control.RecordSync(addr, s) },
		OnDraining:    func(vm string) { p.control.RecordDraining(vm) },
		Reply:         func(m wire.Message) wire.Message { return p.control.Reply(m) },
		IsQuarantined: func(fp uint64) bool { return p.control.IsQuarantined(fp) },
	})
	p.api = api.New(r, tracer)
	p.api.SetMemory(p.bounds.account)
	p.scope = scope
	p.opsServer = ops.New(ops.Options{Metrics: metrics, Status: func() any { return p.status(r) }, Profiles: p.cmd.Profiles})
	p.control = router.NewControl(router.ControlOptions{
		Store: objects, Pool: pool, Peers: p.cmd.Peers, Objects: func() []wire.Object { return p.watcher.Snapshot() }, Log: p.log, Scope: scope, OnView: r.SetView,
		OnConfig: func(doc *config.Document) { p.api.Configure(doc) }, OnReady: p.opsServer.SetReady,
	})
	p.watcher = watch.New(objects, vms, watch.Options{Seed: seed.Sum64()})
	return nil
}

func (p *routerProcess) listen() (err error) {
	if p.callerListener, err = inbound.Listen(p.cmd.Listen, inbound.Options{Connections: p.bounds.callerConns, Account: p.bounds.account, Limits: callerLimits}); err != nil {
		return err
	}
	p.opsListener, err = inbound.ListenOps(p.cmd.OpsListen)
	return err
}

// callerLimits returns the limits on callers' connections without a request.
func callerLimits() inbound.Limits {
	return inbound.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: 2 * time.Minute}
}

const (
	// headerTimeout and maxHeaderBytes bound the head of a caller's request.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
)

// run serves until ctx ends, and then stops after the running requests have ended.
func (p *routerProcess) run(ctx context.Context) error {
	defer p.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	callerServer := &http.Server{Handler: p.api, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: inbound.DiscardLog}
	opsServer := inbound.NewOpsServer(p.opsServer)
	stopped := make(chan struct{})
	// The group interrupts its actors in order. The interrupt of the first one waits until all requests have ended, so the
	// other actors run until then.
	var g run.Group
	g.Add(func() error { return p.serve(callerServer, stopped) }, func(error) { p.drain(callerServer); close(stopped) })
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) {})
	g.Add(func() error {
		return inbound.Serve(opsServer, p.opsListener, reportClosed(p.log, p.scope, "operators"))
	}, func(error) { _ = opsServer.Close() })
	g.Add(func() error { return p.control.Run(background, p.watcher.Updates()) }, func(error) { cancel() })
	g.Add(func() error { return p.watcher.Run(background) }, func(error) { cancel() })
	g.Add(func() error { p.bootstrap(background); return nil }, func(error) { cancel() })
	p.log.Info("started", "version", version, "listen", p.callerListener.Addr(), "ops", p.opsListener.Addr())
	return g.Run()
}

// bootstrap reads the store's objects from the peers if the store is down at the start. It returns when ctx ends.
func (p *routerProcess) bootstrap(ctx context.Context) {
	peers := func() []string { return p.cmd.Peers }
	p.watcher.BootstrapFromPeers(ctx, peers, func(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
		return router.Query(ctx, p.pool, addr, m)
	})
	<-ctx.Done()
}

// serve serves callers. After a shutdown it returns once all requests have ended.
func (p *routerProcess) serve(s *http.Server, stopped <-chan struct{}) error {
	err := inbound.Serve(s, p.callerListener, reportClosed(p.log, p.scope, "callers"))
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return err
}

// drain marks the process as unready, waits until the balancer has noticed, stops accepting connections and waits for
// the running requests.
func (p *routerProcess) drain(s *http.Server) {
	p.log.Info("stopping", "delay", p.cmd.ShutdownDelay)
	p.opsServer.SetStopping()
	p.api.Drain()
	<-time.After(p.cmd.ShutdownDelay)
	_ = s.Shutdown(context.Background())
	p.log.Info("stopped")
}

func (p *routerProcess) close() {
	if p.callerListener != nil {
		_ = p.callerListener.Close()
	}
	if p.opsListener != nil {
		_ = p.opsListener.Close()
	}
	if p.pool != nil {
		p.pool.Close()
	}
	for _, f := range p.closers {
		f()
	}
	_ = p.kernel.Cleanup()
}

// routerStatus is the response to GET /status.
type routerStatus struct {
	Role          string `json:"role"`
	VM            string `json:"vm"`
	Version       string `json:"version"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	Unready       string `json:"unready,omitempty"` // reason why the router is unready
	ConfigVersion uint64 `json:"configVersion"`
	Upstreams     int    `json:"upstreams"`
	Candidates    int    `json:"candidates"`
	Outstanding   int    `json:"outstanding"`
}

func (p *routerProcess) status(r *router.Router) routerStatus {
	c := r.Counts()
	return routerStatus{
		Role: "router", VM: p.cmd.VM, Version: version, Region: p.cmd.Region, Zone: p.cmd.Zone, Unready: p.opsServer.UnreadyReason(),
		ConfigVersion: p.control.Sync().ConfigVersion, Upstreams: c.Upstreams, Candidates: c.Candidates, Outstanding: c.Outstanding,
	}
}
