package main

import (
	"context"
	"os"
	"syscall"

	"github.com/oklog/run"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

type agentCmd struct {
	commonFlags
	Listen string `help:"Address for peers, ip:port." default:"127.0.0.1:7001" env:"HIBISCUSCROSS_PEER_LISTEN"`
	Engine string `help:"URL of the upstream." required:"" env:"HIBISCUSCROSS_ENGINE_URL"`
}

// Run runs the agent until a signal arrives.
func (a *agentCmd) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := kernel.New()
	defer k.Cleanup()
	t, err := a.transport(ctx, k)
	if err != nil {
		return err
	}
	e, err := kernel.LoadAs[engine.Engine](ctx, k, "engine.openai", kernel.Settings{"url": a.Engine})
	if err != nil {
		return err
	}
	l, err := t.Listen(a.Listen)
	if err != nil {
		return err
	}
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	g.Add(func() error { return agent.NewServer(l, e).Run(ctx) }, func(error) { cancel(); _ = l.Close() })
	return ignoreSignal(g.Run())
}
