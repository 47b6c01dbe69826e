// Command hibiscuscrossd is the daemon: a router on an entry VM or an agent beside an upstream.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/oklog/run"

	"github.com/hibiscuscross/hibiscuscross/pkg/api"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/transport/quic"
)

var version = "0.1.0"

type commonFlags struct {
	Cert string `help:"PEM file with this process's certificate." required:"" type:"existingfile" env:"HIBISCUSCROSS_CERT"`
	Key  string `help:"PEM file with the certificate's key." required:"" type:"existingfile" env:"HIBISCUSCROSS_KEY"`
	CA   string `help:"PEM file with the authorities that peers' certificates must come from." required:"" type:"existingfile" env:"HIBISCUSCROSS_CA"`
}

type routerCmd struct {
	commonFlags
	Listen string `help:"Address for callers, ip:port." default:"127.0.0.1:8080" env:"HIBISCUSCROSS_LISTEN"`
	Agent  string `help:"Address of an agent, ip:port." required:"" env:"HIBISCUSCROSS_AGENT"`
}

var cli struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Router  routerCmd        `cmd:"" help:"Run as a router on an entry VM."`
	Agent   agentCmd         `cmd:"" help:"Run as the agent beside an upstream."`
}

func main() {
	c := kong.Parse(&cli, kong.Name("hibiscuscrossd"), kong.Vars{"version": version})
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscrossd:", err)
		os.Exit(1)
	}
}

func (f *commonFlags) transport(ctx context.Context, k *kernel.Kernel) (transport.Transport, error) {
	return kernel.LoadAs[transport.Transport](ctx, k, "transport.quic", kernel.Settings{"cert": f.Cert, "key": f.Key, "ca": f.CA})
}

// Run runs the router until a signal arrives.
func (r *routerCmd) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := kernel.New()
	defer k.Cleanup()
	t, err := r.transport(ctx, k)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: api.New(router.NewForwarder(transport.NewPool(t), r.Agent)), ReadHeaderTimeout: 5 * time.Second}
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	g.Add(func() error { return srv.Serve(l) }, func(error) { _ = srv.Shutdown(context.Background()) })
	return ignoreSignal(g.Run())
}

// ignoreSignal maps the end by a signal to success.
func ignoreSignal(err error) error {
	if _, ok := err.(run.SignalError); ok {
		return nil
	}
	return err
}
