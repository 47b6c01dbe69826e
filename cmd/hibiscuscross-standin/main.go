// Command hibiscuscross-standin runs stand-ins for the platform's services and the upstreams.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

type certsCmd struct {
	Dir string   `arg:"" help:"Directory to write to." type:"existingdir"`
	VMs []string `arg:"" name:"vm" help:"VM ids to issue certificates for."`
}

// Run writes the certificates of a new certificate authority and of the VMs.
func (c *certsCmd) Run() error {
	a, err := devcert.NewAuthority()
	if err != nil {
		return err
	}
	return a.WriteFiles(c.Dir, c.VMs...)
}

var cli struct {
	Certs   certsCmd   `cmd:"" help:"Write development certificates."`
	Store   storeCmd   `cmd:"" help:"Run an object API stand-in."`
	Vms     vmsCmd     `cmd:"" help:"Run a VM list stand-in."`
	Weights weightsCmd `cmd:"" help:"Run a weight store stand-in."`
	Engine  engineCmd  `cmd:"" help:"Run a model engine stand-in."`
	Plain   plainCmd   `cmd:"" help:"Run a plain service stand-in."`
	All     allCmd     `cmd:"" help:"Run a whole platform with upstreams in one process on consecutive ports."`
}

func main() {
	c := kong.Parse(&cli, kong.Name("hibiscuscross-standin"))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-standin:", err)
		os.Exit(1)
	}
}

// checkLoopback returns an error for an address that other machines could reach, because the stand-ins do not
// authenticate their clients.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("address %s is not a loopback address", addr)
	}
	return nil
}

// serve runs a handler until a signal arrives.
func serve(addr string, h http.Handler, conns *standin.Conns) error {
	if err := checkLoopback(addr); err != nil {
		return err
	}
	s, err := standin.Serve(addr, h, conns)
	if err != nil {
		return err
	}
	defer s.Close()
	waitForSignal()
	return nil
}

func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

// readFile decodes a JSON file, in which unknown fields are errors. An empty name leaves v unchanged.
func readFile(name string, v any) error {
	if name == "" {
		return nil
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	return d.Decode(v)
}
