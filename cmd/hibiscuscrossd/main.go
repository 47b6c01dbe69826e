// Command hibiscuscrossd is the daemon. It runs as a router on an entry VM or as an agent beside an upstream; on the
// users' platform these roles are called entry and sidecar.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strconv"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	_ "github.com/hibiscuscross/hibiscuscross/pkg/transport/quic"
)

// commonFlags are the flags for the TLS files of a router or an agent.
type commonFlags struct {
	Cert string `help:"PEM file with this process's certificate." required:"" type:"existingfile" env:"HIBISCUSCROSS_CERT"`
	Key  string `help:"PEM file with the certificate's key." required:"" type:"existingfile" env:"HIBISCUSCROSS_KEY"`
	CA   string `help:"PEM file with the authorities that peers' certificates must come from." required:"" type:"existingfile" env:"HIBISCUSCROSS_CA"`
	// MemoryMB and MaxFDs bound what clients can take from the process.
	MemoryMB int `name:"memory-mb" help:"Memory of the process in MB, which bounds what it holds for clients; 64 to 1048576." default:"512" env:"HIBISCUSCROSS_MEMORY_MB"`
	MaxFDs   int `name:"max-fds" help:"Descriptors that the process may open, at least 256; 0 for the limit of the system." default:"0" env:"HIBISCUSCROSS_MAX_FDS"`
}

var cli struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Router  routerCmd        `cmd:"" help:"Run as a router on an entry VM."`
	Agent   agentCmd         `cmd:"" help:"Run as the agent beside an upstream."`
	Entry   entryCmd         `cmd:"" help:"Run on an entry VM of the users' platform, with its settings file."`
	Sidecar sidecarCmd       `cmd:"" help:"Run beside a model engine on the users' platform, with its settings file."`
}

func main() {
	c := kong.Parse(&cli, kong.Name("hibiscuscrossd"), kong.Vars{"version": version})
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscrossd:", err)
		os.Exit(1)
	}
}

// Ranges of the flags --memory-mb and --max-fds.
const (
	minMemoryMB, maxMemoryMB = 64, 1 << 20
	minFDs                   = 256
)

// check checks the limits, and that the files contain a key pair of the VM and authorities.
func (f *commonFlags) check(vm string) error {
	if f.MemoryMB < minMemoryMB || f.MemoryMB > maxMemoryMB {
		return fmt.Errorf("--memory-mb=%q: allowed is 64 to 1048576", fmt.Sprint(f.MemoryMB))
	}
	if f.MaxFDs != 0 && f.MaxFDs < minFDs {
		return fmt.Errorf("--max-fds=%q: allowed is 0 or at least 256", fmt.Sprint(f.MaxFDs))
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return fmt.Errorf("--cert=%q, --key=%q: allowed is a PEM certificate and its key: %w", f.Cert, f.Key, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil || leaf.Subject.CommonName != vm {
		return fmt.Errorf("--cert=%q: allowed is a certificate whose common name is --vm=%q", f.Cert, vm)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil || !x509.NewCertPool().AppendCertsFromPEM(pem) {
		return fmt.Errorf("--ca=%q: allowed is a file with PEM certificates", f.CA)
	}
	return nil
}

func (f *commonFlags) transport(ctx context.Context, k *kernel.Kernel) (transport.Transport, error) {
	return kernel.LoadAs[transport.Transport](ctx, k, "transport.quic", kernel.Settings{"cert": f.Cert, "key": f.Key, "ca": f.CA, "memory-mb": strconv.Itoa(f.MemoryMB)})
}
