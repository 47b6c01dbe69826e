// Command hibiscuscross-bench measures decisions against their baselines in virtual time, and the path of
// a request against its bounds.
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
}

// Run prints the tables and fails if a bound is broken.
func (c *policiesCmd) Run() error {
	if broken := policybench.Run(os.Stdout, policybench.Options{Seeds: c.Seeds, Idle: c.Idle, Loads: c.Loads}); len(broken) > 0 {
		return fmt.Errorf("%d bounds broken", len(broken))
	}
	return nil
}

var cli struct {
	Policies policiesCmd `cmd:"" help:"Idle policies and the order of loads."`
	Path     pathCmd     `cmd:"" help:"Measure what the router and the agent add to a request and what they use."`
	Child    childCmd    `cmd:"" hidden:"" help:"Run one process of a benchmark."`
}

func main() {
	if err := kong.Parse(&cli, kong.Name("hibiscuscross-bench")).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-bench:", err)
		os.Exit(1)
	}
}
