// Command hibiscuscross-bench measures the system against its stated targets and exits with an error if a bound is broken.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

var cli struct {
	Path  pathCmd  `cmd:"" help:"Measure what the router and the agent add to a request and what they use."`
	Child childCmd `cmd:"" hidden:"" help:"Run one process of a benchmark."`
}

func main() {
	c := kong.Parse(&cli, kong.Name("hibiscuscross-bench"))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-bench:", err)
		os.Exit(1)
	}
}
