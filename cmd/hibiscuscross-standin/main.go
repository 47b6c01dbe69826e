// Command hibiscuscross-standin runs stand-ins for the platform and the upstreams.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

type engineCmd struct {
	Listen        string        `help:"Address, ip:port." default:"127.0.0.1:9000"`
	TokenInterval time.Duration `help:"Time between two tokens." default:"10ms"`
	Tokens        int           `help:"Tokens in an answer." default:"16"`
}

// Run serves until the process ends.
func (c *engineCmd) Run() error {
	e := standin.NewEngine(standin.EngineOptions{TokenInterval: c.TokenInterval, Tokens: c.Tokens, ServeUnloaded: true}, nil)
	return http.ListenAndServe(c.Listen, e.Handler())
}

type certsCmd struct {
	Dir string   `arg:"" help:"Directory to write to." type:"existingdir"`
	VMs []string `arg:"" name:"vm" help:"VM ids to issue certificates for."`
}

// Run writes an authority and the certificates of the VMs.
func (c *certsCmd) Run() error {
	a, err := devcert.NewAuthority()
	if err != nil {
		return err
	}
	return a.WriteFiles(c.Dir, c.VMs...)
}

var cli struct {
	Certs  certsCmd  `cmd:"" help:"Write development certificates."`
	Engine engineCmd `cmd:"" help:"Run a model engine stand-in."`
}

func main() {
	c := kong.Parse(&cli, kong.Name("hibiscuscross-standin"))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-standin:", err)
		os.Exit(1)
	}
}
