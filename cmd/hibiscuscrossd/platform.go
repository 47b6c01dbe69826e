package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/ops"
	"github.com/hibiscuscross/hibiscuscross/pkg/signals"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// platformFlags are the flags that the roles on the users' platform share. All other settings come from the platform's
// settings file.
type platformFlags struct {
	Settings    string `help:"The platform's settings file." required:"" env:"HIBISCUSCROSS_BOOT"`
	MetricsPort int    `help:"Port on the VM's address that serves metrics; 0 for none." default:"9464" env:"HIBISCUSCROSS_METRICS_PORT"`
}

const (
	// memoryShare is the share of the process's memory limit that is set as the limit of the Go runtime. The account of
	// what is held for others takes half of the memory, about an eighth of it in the kernel's buffers. The rest of the
	// runtime's share is for the program's own state and for garbage, and what is beyond it for the program's text (15 MB)
	// and the kernel's buffers.
	memoryShare = 0.7
	// watchReserve is the difference between StableWindow, the time for which a process may lag behind the store after its
	// connection has become unresponsive, and the duration of a watch's long poll. It covers the margin for the reply, a
	// new connection and the reply to the next call.
	watchReserve = 1300 * time.Millisecond
	// minWatchHold is the minimum duration of a watch's long poll.
	minWatchHold = time.Second
	// listDelayShare is the share of DrainDelay, the time within which a leaving upstream must stop receiving requests,
	// between two reads of the list of upstreams while it changes. A read without a reply and its retry fit into the rest.
	// The list is not needed more often for the upstreams' holdings, which the agents report.
	listDelayShare = 0.4
	// routerMaxRetryDelay bounds the mean delay of a router between two store calls without a reply. Even 1.5 times the
	// mean is below the shortest time within which a change must be active (2.5 s in the deployment sheets).
	routerMaxRetryDelay = 1200 * time.Millisecond
	// sidecarWatchHold, sidecarChangeDelay and sidecarMaxRetryDelay are the options of a sidecar's watches, whose
	// updates are not urgent.
	sidecarWatchHold     = 8 * time.Second
	sidecarChangeDelay   = time.Second
	sidecarMaxRetryDelay = 3 * time.Second
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

// addContext adds an actor that returns when its context is cancelled.
func addContext(g *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// addSignals adds an actor that returns when the process receives a stop signal. On SIGHUP it reads the settings file
// again and logs whether it is valid; changed settings become active at the next start.
func addSignals(g *run.Group, f *platformFlags, log *eventlog.Log) {
	addContext(g, func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case sig := <-signals.Received():
				if sig != syscall.SIGHUP {
					log.State("stopping", "signal", sig.String())
					return nil
				}
				_, err := platform.LoadSettings(f.Settings)
				log.State("settings file checked for the next start", "err", err)
			}
		}
	})
}

// addHTTP adds an HTTP server for operators or the balancer.
func addHTTP(g *run.Group, address string, h http.Handler, log *eventlog.Log) error {
	ln, err := inbound.ListenOps(address)
	if err != nil {
		return err
	}
	srv := inbound.NewOpsServer(h)
	g.Add(func() error {
		report := func(closed map[string]int, open int) {
			for cause, n := range closed {
				log.Request("connections closed", "address", address, "cause", cause, "count", n, "open", open)
			}
		}
		if err := inbound.Serve(srv, ln, report); err != nil && err != http.ErrServerClosed {
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
	if err := addHTTP(g, net.JoinHostPort(ip, strconv.Itoa(f.MetricsPort)), o, log); err != nil {
		log.State("metrics are not served", "err", err)
	}
}

// startLog returns the log of the process and a function that writes the buffered lines and stops it.
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

func missingField(field, role string) error {
	return fmt.Errorf("settings: field %s is missing; the %s role needs it", field, role)
}

// watchHold returns the duration of the long polls of the router's watches. It bounds how far the configuration and the
// upstreams that requests see can lag behind the store.
func watchHold(set platform.Settings) time.Duration {
	return max(minWatchHold, set.StableWindow-watchReserve)
}

// listChangeDelay returns the time between two reads of the list of upstreams while it changes.
func listChangeDelay(set platform.Settings) time.Duration {
	return time.Duration(listDelayShare * float64(set.DrainDelay))
}
