// Command hibiscuscross-bench compares the system with its targets and its baselines. It exits with an error if a bound
// is broken.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/policybench"
)

type policiesCmd struct {
	Seeds int           `help:"Workloads for each deployment." default:"5"`
	Idle  time.Duration `help:"Virtual length of each idle run." default:"168h"`
	Loads time.Duration `help:"Virtual length of each load run." default:"4h"`
	Queue time.Duration `help:"Virtual length of each run of requests (queues, routing, retries)." default:"1h"`
}

// Run prints the tables and returns an error if a bound is broken.
func (c *policiesCmd) Run() error {
	if broken := policybench.Run(os.Stdout, policybench.Options{Seeds: c.Seeds, Idle: c.Idle, Loads: c.Loads, Queue: c.Queue}); len(broken) > 0 {
		return fmt.Errorf("%d bounds broken", len(broken))
	}
	return nil
}

var cli struct {
	Path     pathCmd     `cmd:"" help:"Measure what the router and the agent add to a request and what they use."`
	Policies policiesCmd `cmd:"" help:"Policies for idle models, loads, queues, routing, retries and keyed calls, in virtual time."`
	Child    childCmd    `cmd:"" hidden:"" help:"Run one process of a benchmark."`
}

func main() {
	if err := kong.Parse(&cli, kong.Name("hibiscuscross-bench")).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-bench:", err)
		os.Exit(1)
	}
}
