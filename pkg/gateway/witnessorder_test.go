package gateway

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// process is a process in virtual time that closes connections which have been idle for idleTimeout.
type process struct {
	clock             *time.Duration
	ends, idleTimeout time.Duration
}

// processConn is a connection without a request to a process.
type processConn struct {
	p      *process
	opened time.Duration
	closed bool
}

func (c *processConn) IsOpen() bool {
	now := *c.p.clock
	return !c.closed && now < c.p.ends && now-c.opened < c.p.idleTimeout
}

func (c *processConn) Close() error { c.closed = true; return nil }

func (c *processConn) Return() { c.closed = true }

// Guards against a process that is back under its id and is taken for the one before, and against a sound process that is
// taken for one that has ended: the end, the next start, and each step of a replacement come in every order.
func TestWitnessInEveryOrder(t *testing.T) {
	const ms = time.Millisecond
	instants := []time.Duration{0, 1, 2, 3, 399, 400, 401, 402, 403, 800, 802, 803, 804, 1200, 1999, 2000, 2200, 3000, time.Hour / ms}
	for _, ends := range instants {
		for _, back := range instants {
			if back < ends {
				continue
			}
			for _, stall := range []time.Duration{0, 1, 100, 900} {
				for stalled := range 3 {
					for _, seen := range []time.Duration{1, 150, 250, 850} { // from the end of the answer to the look at the witness
						if got, want := showsEndAt(ends*ms, back*ms, stall*ms, stalled, seen*ms); got != want {
							t.Fatalf("ends at %d ms, back at %d ms, stall of %d ms at replacement %d, seen %d ms after it: shows the end %t", ends, back, stall, stalled, seen, got)
						}
					}
				}
			}
		}
	}
}

// showsEndAt plays a witness whose process ends and is back at the times, and returns whether it shows the end, and whether it
// should, at the time seen after that end or after 5 s. The router stands still in one replacement, between the accept of the
// new connection and the look at the old one.
func showsEndAt(ends, back, stall time.Duration, stalled int, seen time.Duration) (got, want bool) {
	clock, replacements := time.Duration(0), 0
	first := &process{clock: &clock, ends: ends, idleTimeout: 2 * time.Second}
	next := &process{clock: &clock, ends: time.Hour, idleTimeout: 2 * time.Second}
	w := &witness{conn: &processConn{p: first}, open: func(context.Context) (witnessConn, error) {
		clock += time.Millisecond
		at := clock
		if replacements == stalled {
			clock += stall
		}
		replacements++
		switch {
		case at < ends:
			return &processConn{p: first, opened: at}, nil
		case at < back:
			return nil, syscall.ECONNREFUSED
		}
		return &processConn{p: next, opened: at}, nil
	}}
	until := min(ends, 5*time.Second) + seen
	for clock+witnessRenewal <= until {
		clock += witnessRenewal
		if !w.replace(context.Background()) {
			break
		}
	}
	clock = max(clock, until)
	return w.showsEnd(), ends <= clock
}
