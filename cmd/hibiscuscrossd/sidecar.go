package main

import (
	"context"
	"fmt"
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
	LoadParallel int  `help:"Loads that the weight store serves at a time at full speed." default:"4" env:"HIBISCUSCROSS_LOAD_PARALLEL"`
	AdmitPrompts bool `help:"Admit prompts to the engine where the configuration's longest pause calls for it." default:"true" negatable:"" env:"HIBISCUSCROSS_ADMIT_PROMPTS"`
	FetchTurns   bool `help:"Ask the coordinator for a turn before each load from the weight store." default:"true" negatable:"" env:"HIBISCUSCROSS_FETCH_TURNS"`
}

// Run runs a sidecar beside a model engine of the users' platform until it receives a stop signal.
func (c *sidecarCmd) Run() error {
	set, err := c.load()
	if err != nil {
		return err
	}
	if c.LoadParallel < 1 {
		return fmt.Errorf("--load-parallel=%d: allowed is 1 or more", c.LoadParallel)
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
		ChecksTokens: set.FencingRequired, ReuseAfter: set.ReuseAfter,
		AdmitPrompts: c.AdmitPrompts,
		PeerPort:     c.turnsPort(set), Scope: scope,
	}, platform.NewEngine(set.UpstreamAddress), socket, log, gd)
	agent.SetMetrics(scope)
	store := platform.NewStore(set.StoreAddress)
	agent.EnableQuotas(store.WithStaleReads(), store, set.QuotaWindow, scope)
	watches := follow.Options{LongPollDuration: sidecarWatchHold, ChangeDelay: sidecarChangeDelay, MaxRetryDelay: sidecarMaxRetryDelay}

	var g run.Group
	addSignals(&g, &c.platformFlags, log)
	addContext(&g, gd.Watch)
	c.addMetrics(&g, set.IP, ops.New(ops.Options{Metrics: metrics}), log)
	addContext(&g, func(ctx context.Context) error {
		agent.AcquireToken(ctx, store)
		return nil
	})
	addContext(&g, gd.Duty("configuration", func(ctx context.Context) error {
		follow.New(store.WithStaleReads(), platform.KindConfig, watches, agent.Config(), log).Run(ctx)
		return nil
	}))
	addContext(&g, gd.Duty("list of upstreams", func(ctx context.Context) error {
		watches := watches
		watches.Hurry = agent.ListWanted()
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

// turnsPort returns the port at which the other sidecars are asked for turns; 0 if each decides alone.
func (c *sidecarCmd) turnsPort(set platform.Settings) int {
	if !c.FetchTurns {
		return 0
	}
	return set.PeerPort
}
