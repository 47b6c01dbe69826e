package main

import (
	"context"
	"net"
	"strconv"

	"github.com/oklog/run"

	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/ops"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/pkg/telemetry"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

type sidecarCmd struct {
	platformFlags
	LoadParallel int `help:"Loads that the weight store serves at a time at full speed." default:"4" env:"HIBISCUSCROSS_LOAD_PARALLEL"`
}

// Run runs a sidecar beside a model engine of the users' platform until it receives a stop signal.
func (c *sidecarCmd) Run() error {
	set, err := c.load()
	if err != nil {
		return err
	}
	if set.UpstreamAddress == "" {
		return missingField("app", "sidecar")
	}
	log, flush := startLog("sidecar", set.NodeName)
	defer flush()
	gd := guard.New(log)
	log.State("starting", "version", version, "zone", set.Zone, "store", set.StoreAddress, "upstream", set.UpstreamAddress)
	reporter, metrics := telemetry.NewReporter(func(err error) { log.State("metric not registered", "err", err) })
	scope, closer := telemetry.NewScope("sidecar", reporter)
	defer func() { _ = closer.Close() }()

	socket, err := peer.Listen(net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPort)))
	if err != nil {
		return err
	}
	agent := sidecar.New(sidecar.Settings{
		Node: set.NodeName, Address: set.UpstreamAddress, Region: set.Region, Zone: set.Zone, Service: set.UpstreamService, LoadWindow: set.LoadWindow, LoadFactor: set.LoadFactor, FetchConcurrency: c.LoadParallel,
	}, platform.NewEngine(set.UpstreamAddress), socket, log, gd)
	store := platform.NewStore(set.StoreAddress)
	agent.EnableQuotas(store.WithStaleReads(), store, set.QuotaWindow, scope)
	watches := follow.Options{LongPollDuration: sidecarWatchHold, ChangeDelay: sidecarChangeDelay, MaxRetryDelay: sidecarMaxRetryDelay}

	var g run.Group
	addSignals(&g, &c.platformFlags, log)
	addContext(&g, gd.Watch)
	c.addMetrics(&g, set.IP, ops.New(ops.Options{Metrics: metrics}), log)
	addContext(&g, func(ctx context.Context) error {
		agent.AcquireToken(ctx, store)
		<-ctx.Done()
		return nil
	})
	addContext(&g, gd.Duty("configuration", func(ctx context.Context) error {
		follow.New(store.WithStaleReads(), platform.KindConfig, watches, agent.Config(), log).Run(ctx)
		return nil
	}))
	addContext(&g, gd.Duty("list of upstreams", func(ctx context.Context) error {
		follow.New(store.WithStaleReads(), platform.KindUpstreams, watches, agent.Upstreams(), log).Run(ctx)
		return nil
	}))
	addContext(&g, func(ctx context.Context) error { agent.RunQuotas(ctx); return nil })
	addContext(&g, agent.Receive)
	addContext(&g, func(ctx context.Context) error { agent.Run(ctx); return nil })
	err = g.Run()
	log.State("stopped", "err", err)
	return err
}
