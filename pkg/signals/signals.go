// Package signals receives the signals of the daemon from the initialization of this package on. By default SIGHUP would
// end a process that is still starting. The package imports nothing beyond the standard library, so that it is
// initialized before most others.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queued is the number of signals that are kept until they are read.
const queued = 4

var received = notify()

func notify() chan os.Signal {
	ch := make(chan os.Signal, queued)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return ch
}

// Received returns the signals SIGTERM, SIGINT and SIGHUP of this process.
func Received() <-chan os.Signal { return received }
