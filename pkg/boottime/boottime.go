// Package boottime reads a clock that also counts the time during which the VM is suspended. Go's monotonic clock stops
// then, so it cannot bound the age of a right: a process that was suspended would take an expired right for a valid one.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, as the time since the VM's start. Instants of different VMs or boots are not comparable.
type Instant time.Duration

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // Linux has the clock since version 2.6.39
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
