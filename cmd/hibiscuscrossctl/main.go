// Command hibiscuscrossctl is the operators' tool: it checks, compares and applies configurations, shows the system's
// status, drains VMs and explains late requests.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/operate"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/store/httpstore"
)

var version = "0.1.0"

// globals are the flags that all commands share.
type globals struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Output  string           `help:"Form of the output: text or json." enum:"text,json" default:"text" env:"HIBISCUSCROSS_OUTPUT"`
	Timeout time.Duration    `help:"Longest time that the command may take." default:"2m" env:"HIBISCUSCROSS_TIMEOUT"`
	Store   string           `help:"URL of the object API." env:"HIBISCUSCROSS_STORE_URL"`
	Module  string           `help:"Module that speaks to the object API." default:"store.http" env:"HIBISCUSCROSS_STORE_MODULE"`
}

type validateCmd struct {
	File string `arg:"" help:"Document, - for standard input."`
}

type diffCmd struct {
	File     string `arg:"" help:"New document, - for standard input."`
	From     string `help:"Old document; without it, the one in force."`
	ExitCode bool   `help:"Exit with 7 if there are differences."`
}

type applyCmd struct {
	File string `arg:"" help:"Document, - for standard input."`
	Base uint64 `help:"Version that the document was made from, 0 for the first." required:"" env:"HIBISCUSCROSS_BASE"`
}

type getCmd struct {
	Document bool `help:"Print the document as stored, byte for byte."`
}

type statusCmd struct {
	Process []string `help:"Operators' ports of processes to ask, ip:port." env:"HIBISCUSCROSS_PROCESSES"`
}

type drainCmd struct {
	Agent string `arg:"" help:"Operators' port of the agent on the leaving VM, ip:port."`
}

var cli struct {
	globals
	Validate validateCmd `cmd:"" help:"Check a document."`
	Diff     diffCmd     `cmd:"" help:"Compare a document with the one in force or another one."`
	Apply    applyCmd    `cmd:"" help:"Put a document in force."`
	Get      getCmd      `cmd:"" help:"Print the configuration in force."`
	Status   statusCmd   `cmd:"" help:"Show versions, grants, key slots, refused requests and processes."`
	Drain    drainCmd    `cmd:"" help:"Mark a VM as leaving through its agent."`
	Check    checkCmd    `cmd:"" help:"Check a configuration of the users' platform. Exits with 1 if it has errors, with 2 if it cannot be decoded."`
	Explain  explainCmd  `cmd:"" help:"Attribute requests that were not answered on time to causes, from logs of entry processes."`
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command and returns its exit code.
func run(args []string) int {
	cli.globals = globals{}
	parser := kong.Must(&cli, kong.Name("hibiscuscrossctl"), kong.Vars{"version": version})
	c, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscrossctl:", err)
		return operate.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, cli.Timeout)
	defer cancel()
	c.BindTo(ctx, (*context.Context)(nil))
	err = c.Run(&cli.globals)
	var exit *operate.ExitError
	if reported := errors.As(err, &exit) && exit.Err == nil; err != nil && !reported {
		fmt.Fprintln(os.Stderr, "hibiscuscrossctl:", err)
	}
	return operate.ExitCode(err)
}

func (g *globals) print(v operate.Texter) error {
	return operate.Output(os.Stdout, g.Output == "json", v)
}

// withStore calls f with a client of the object API.
func (g *globals) withStore(ctx context.Context, f func(store.Store) error) error {
	k := kernel.New()
	defer k.Cleanup()
	s, err := kernel.LoadAs[store.Store](ctx, k, g.Module, kernel.Settings{"url": g.Store})
	if err != nil {
		return &operate.ExitError{Code: operate.ExitUsage, Err: err}
	}
	return f(s)
}

// Run validates the document.
func (c *validateCmd) Run(g *globals) error {
	d, err := operate.LoadDocument(c.File, os.Stdin)
	if err != nil {
		return err
	}
	return g.print(operate.Identity{Digest: d.Digest})
}

// Run compares two documents.
func (c *diffCmd) Run(ctx context.Context, g *globals) error {
	d, err := operate.LoadDocument(c.File, os.Stdin)
	if err != nil {
		return err
	}
	old, err := c.old(ctx, g)
	if err != nil {
		return err
	}
	differences := operate.Compare(old, d)
	if err := g.print(differences); err != nil {
		return err
	}
	if c.ExitCode && len(differences.Changes) > 0 {
		return &operate.ExitError{Code: operate.ExitDiffers}
	}
	return nil
}

func (c *diffCmd) old(ctx context.Context, g *globals) (old *config.Document, err error) {
	if c.From != "" {
		return operate.LoadDocument(c.From, os.Stdin)
	}
	err = g.withStore(ctx, func(s store.Store) error {
		old, err = operate.ReadActiveDocument(ctx, s)
		return err
	})
	return old, err
}

// Run applies the document.
func (c *applyCmd) Run(ctx context.Context, g *globals) error {
	d, err := operate.LoadDocument(c.File, os.Stdin)
	if err != nil {
		return err
	}
	return g.withStore(ctx, func(s store.Store) error {
		result := operate.Run(ctx, s, operate.NewApply(d, c.Base))
		if err := g.print(result); err != nil {
			return err
		}
		if code := result.ExitCode(); code != operate.ExitOK {
			return &operate.ExitError{Code: code}
		}
		return nil
	})
}

// Run prints the active configuration.
func (c *getCmd) Run(ctx context.Context, g *globals) error {
	return g.withStore(ctx, func(s store.Store) error {
		d, err := operate.ReadActiveDocument(ctx, s)
		if err != nil {
			return err
		}
		if d == nil {
			return g.print(operate.Identity{})
		}
		if c.Document {
			_, err := os.Stdout.Write(d.Raw)
			return err
		}
		return g.print(operate.Identity{Version: d.Version, Digest: d.Digest})
	})
}

// Run prints the status.
func (c *statusCmd) Run(ctx context.Context, g *globals) error {
	return g.withStore(ctx, func(s store.Store) error {
		st, err := operate.ReadStatus(ctx, s, http.DefaultClient, c.Process)
		if err != nil {
			return err
		}
		return g.print(st)
	})
}

// Run marks a VM as leaving.
func (c *drainCmd) Run(ctx context.Context) error {
	return operate.Drain(ctx, http.DefaultClient, c.Agent)
}
