package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/keyview"
	"github.com/hibiscuscross/hibiscuscross/pkg/ops"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/telemetry"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// sweepInterval is the time between two sweeps that close connections which have been idle too long.
const sweepInterval = time.Second

type entryCmd struct {
	platformFlags
	TraceExporter string `help:"Where spans go: none, stdout or otlp." default:"none" enum:"none,stdout,otlp" env:"HIBISCUSCROSS_TRACE_EXPORTER"`
	TraceURL      string `help:"URL of the OTLP receiver." env:"HIBISCUSCROSS_TRACE_URL"`
}

// Run runs a router on an entry VM of the users' platform until it receives a stop signal.
func (c *entryCmd) Run() error {
	set, err := c.load()
	if err != nil {
		return err
	}
	if set.CallerAddress == "" || set.ReadyAddress == "" {
		return missingField("listen.front or listen.ready", "entry")
	}
	log, flush := startLog("entry", set.NodeName)
	defer flush()
	gd := guard.New(log)
	log.State("starting", "version", version, "zone", set.Zone, "store", set.StoreAddress)
	reporter, metrics := telemetry.NewReporter(func(err error) { log.State("metric not registered", "err", err) })
	scope, closer := telemetry.NewScope("entry", reporter)
	defer func() { _ = closer.Close() }()

	core := gateway.NewCore(dispatch.New(dispatch.Settings{
		Name: set.NodeName, Started: time.Now(), Zone: set.Zone, ZoneRegion: set.ZoneRegion, RetryLimit: set.RetryLimit, ReuseAfter: set.ReuseAfter,
	}))
	b := newBounds(set.MemoryMB, set.MaxFDs)
	pool := h1.NewPool()
	pool.SetLimits(b.upstreamConns, b.idleUpstreamConns)
	tracer, flushSpans, err := telemetry.NewTracer(context.Background(), telemetry.Exporter(c.TraceExporter), c.TraceURL, "entry")
	if err != nil {
		return err
	}
	defer func() { _ = flushSpans(context.Background()) }()
	gw := gateway.New(core, pool, log, gd, scope, tracer)
	gw.SetMemory(b.account)
	gw.SetMaxConnections(b.callerConns)
	log.State("limits", b.fields()...)
	server, err := gateway.NewServer(set.CallerAddress, gw, log, set.ShutdownGrace)
	if err != nil {
		return err
	}
	socket, err := peer.Listen(net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPort)))
	if err != nil {
		return err
	}
	health := ops.New(ops.Options{Metrics: metrics})
	sync := gateway.NewSync(core, log, func() {
		health.SetReady()
		log.State("ready")
	})
	store := platform.NewStore(set.StoreAddress)
	location := gateway.Location{Router: set.NodeName, Zone: set.Zone, ZoneRegion: set.ZoneRegion}
	peers := gateway.NewPeers(core, socket, log, gd, location, set.PeerPort, func(reachable bool) {
		health.SetCause("no upstream is within reach", !reachable)
	})
	core.SetRevokeDelay(set.RevokeDelay)

	quotas := gateway.NewQuotas(set.NodeName, socket, log, scope)
	gw.SetQuotas(quotas)
	peers.SetQuotas(quotas)
	limits := gateway.NewLimits(set.NodeName, core, log, scope)
	gw.SetLimits(limits)
	peers.SetLimits(limits)

	var g run.Group
	addSignals(&g, &c.platformFlags, log)
	addContext(&g, gd.Watch)
	g.Add(server.Run, func(error) {
		health.SetStopping()
		server.Shutdown()
	})
	if err := addHTTP(&g, set.ReadyAddress, readinessHandler(health), log); err != nil {
		return err
	}
	c.addMetrics(&g, set.IP, health, log)
	addContext(&g, gd.Duty("configuration", func(ctx context.Context) error {
		opt := follow.Options{LongPollDuration: watchHold(set), MaxRetryDelay: routerMaxRetryDelay, Pace: configPace(set, core)}
		follow.New(store, platform.KindConfig, opt, sync.Config(), log).Run(ctx)
		return nil
	}))
	addContext(&g, gd.Duty("list of upstreams", func(ctx context.Context) error {
		opt := follow.Options{LongPollDuration: watchHold(set), ChangeDelay: listChangeDelay(set), MaxRetryDelay: routerMaxRetryDelay}
		follow.New(store, platform.KindUpstreams, opt, sync.Upstreams(), log).Run(ctx)
		return nil
	}))
	addContext(&g, gd.Duty("refused requests", func(ctx context.Context) error {
		gateway.NewRefusals(core, store, set.NodeName, log).Run(ctx)
		return nil
	}))
	if set.RevokeDelay > 0 {
		addContext(&g, gateway.NewKeyWatch(core, log, scope, func(usable bool) {
			health.SetCause("view of the API keys is too old", !usable)
		}).Run)
	}
	addContext(&g, quotas.Run)
	addContext(&g, limits.Run)
	addContext(&g, peers.Run)
	addContext(&g, func(ctx context.Context) error { sweepIdleConns(ctx, pool); return nil })
	err = g.Run()
	log.State("stopped", "err", err)
	return err
}

// configPace returns how often the router reads the configuration. Where keys must be withdrawn in time, the reads also
// prove the age of the view.
func configPace(set platform.Settings, core *gateway.Core) func() (longPoll, interval time.Duration) {
	return func() (longPoll, interval time.Duration) {
		if !core.HasTenants() {
			return watchHold(set), 0
		}
		return keyview.Pace(set.RevokeDelay, watchHold(set))
	}
}

// readinessHandler returns the handler of the balancer's readiness check.
func readinessHandler(health *ops.Server) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if reason := health.UnreadyReason(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason)
		}
		return c.String(http.StatusOK, "ok")
	})
	return e
}

func sweepIdleConns(ctx context.Context, pool *h1.Pool) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			pool.Sweep()
		}
	}
}
