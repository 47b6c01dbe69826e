package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/ops"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// platformFlags are the flags of the roles on the users' platform. All else comes from the platform's settings file.
type platformFlags struct {
	Settings    string `help:"The platform's settings file." required:"" env:"HIBISCUSCROSS_BOOT"`
	MetricsPort int    `help:"Port on the VM's address that serves metrics; 0 for none." default:"9464" env:"HIBISCUSCROSS_METRICS_PORT"`
}

const (
	// memoryShare is the part of the process's memory limit that the Go runtime aims to stay below; the rest is for
	// what it does not count, such as socket buffers.
	memoryShare = 0.7
	// watchReserve is what the hold of a watch stays below the time for which a silent connection excuses a process: the
	// slack of the answer, a new connection and the answer to the next call.
	watchReserve = 1300 * time.Millisecond
	// minWatchHold is the shortest hold of a watch.
	minWatchHold = time.Second
	// listShare is the share of the time in which a leaving upstream must get no more requests that passes between two
	// calls for the list of upstreams while it changes: a call that gets no answer and its repeat fit into the rest. What
	// upstreams hold comes from the agents.
	listShare = 0.4
	// storeBackoff bounds the mean pause of a router between two calls that the store does not answer. Half as long again, it
	// stays below the shortest time in which a change must be in force (deployment sheets: 2.5 s).
	storeBackoff = 1200 * time.Millisecond
	// agentHold, agentPause and agentBackoff are the hold and the pauses of an agent's watches, whose news can wait.
	agentHold    = 8 * time.Second
	agentPause   = time.Second
	agentBackoff = 3 * time.Second
)

func (f *platformFlags) load() (platform.Settings, error) {
	s, err := platform.LoadSettings(f.Settings)
	if err != nil {
		return s, err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	return s, nil
}

// addContext adds a duty that ends with its context.
func addContext(g *run.Group, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return duty(ctx) }, func(error) { cancel() })
}

// addSignals adds a duty that returns when the process is told to stop. A reload signal reads the settings file again
// and logs whether it is valid; what is in force changes with the next start.
func addSignals(g *run.Group, f *platformFlags, log *eventlog.Log) {
	addContext(g, func(ctx context.Context) error {
		ch := make(chan os.Signal, 4)
		signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		for {
			select {
			case <-ctx.Done():
				return nil
			case sig := <-ch:
				if sig != syscall.SIGHUP {
					log.State("stopping", "signal", sig.String())
					return nil
				}
				_, err := platform.LoadSettings(f.Settings)
				log.State("settings file read again", "err", err)
			}
		}
	})
}

// addHTTP adds an HTTP server.
func addHTTP(g *run.Group, address string, h http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, address, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	g.Add(func() error {
		if err := srv.Serve(ln); err != nil && err != http.ErrServerClosed {
			return fault.Wrap(err, fault.StepSettings, address, "serve")
		}
		return nil
	}, func(error) { _ = srv.Close() })
	return nil
}

func (f *platformFlags) addMetrics(g *run.Group, ip string, o *ops.Server, log *eventlog.Log) {
	if f.MetricsPort == 0 {
		return
	}
	if err := addHTTP(g, net.JoinHostPort(ip, strconv.Itoa(f.MetricsPort)), o); err != nil {
		log.State("metrics are not served", "err", err)
	}
}

// startLog returns the process's log and a function that writes what still waits.
func startLog(role, vm string) (*eventlog.Log, func()) {
	log := eventlog.New(os.Stdout, role, vm)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		log.Run(ctx)
		close(done)
	}()
	return log, func() {
		cancel()
		<-done
	}
}

func missing(field, role string) error {
	return fmt.Errorf("settings: field %s is missing; the %s role needs it", field, role)
}

// watchHold returns how long a watch that bounds what requests meet is held.
func watchHold(set platform.Settings) time.Duration {
	return max(minWatchHold, set.StableWindow-watchReserve)
}

// listPause returns the time between two calls for the list of upstreams while it changes.
func listPause(set platform.Settings) time.Duration {
	return time.Duration(listShare * float64(set.DrainDelay))
}
