package main

import (
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

const (
	// defaultMemoryMB is assumed if the settings have no memory limit.
	defaultMemoryMB = 512
	// ownFDs are the descriptors for what clients cannot multiply: the log, the store's connections, peers' sockets and the
	// runtime.
	ownFDs = 64
	// maxIdleUpstreamConns bounds the idle connections to upstreams: some ten to each engine that a router uses. Each takes
	// about 24 KiB.
	maxIdleUpstreamConns = 512
	// opsPorts is the number of ports for operators and the balancer.
	opsPorts = 2
)

// bounds are the limits that follow from the memory and the descriptors of the process.
type bounds struct {
	account                                       *membudget.Account
	callerConns, upstreamConns, idleUpstreamConns int
	memoryMB, fds                                 int
}

// newBounds returns the bounds of a process. A limit of 0 is not set: the memory is then the default, the descriptors are
// those that the system allows.
func newBounds(memoryMB, maxFDs int) bounds {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err == nil && (maxFDs <= 0 || uint64(maxFDs) > system.Cur) {
		maxFDs = int(min(system.Cur, 1<<20))
	}
	limits := membudget.ForMemory(int64(memoryMB) << 20)
	limits.Connections -= opsPorts * inbound.OpsConnections * inbound.ConnectionBytes
	fds := max(2, maxFDs-ownFDs-opsPorts*inbound.OpsConnections)
	callers := min(fds/2, int(limits.Connections/inbound.ConnectionBytes))
	return bounds{
		account: membudget.NewAccount(limits), callerConns: callers, upstreamConns: fds - fds/2,
		idleUpstreamConns: min(maxIdleUpstreamConns, memoryMB, fds/4), memoryMB: memoryMB, fds: maxFDs,
	}
}

// bounds applies the memory limit to the runtime and returns the bounds of a router or an agent.
func (f *commonFlags) bounds() bounds {
	debug.SetMemoryLimit(int64(memoryShare * float64(f.MemoryMB) * (1 << 20)))
	return newBounds(f.MemoryMB, f.MaxFDs)
}

// reportClosed returns a report that counts and logs the connections which a listener has closed.
func reportClosed(l *log.Logger, scope tally.Scope, port string) inbound.Report {
	return func(closed map[string]int, open int) {
		for cause, n := range closed {
			scope.Tagged(map[string]string{"port": port, "cause": cause}).Counter("closed_connections").Inc(int64(n))
			l.Info("connections closed", "port", port, "cause", cause, "count", n, "open", open)
		}
	}
}

// fields returns the bounds for the log.
func (b bounds) fields() []any {
	return []any{"memory_mb", b.memoryMB, "fds", b.fds, "caller_connections", b.callerConns, "upstream_connections", b.upstreamConns, "idle_upstream_connections", b.idleUpstreamConns}
}
