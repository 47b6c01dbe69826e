package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process runs the daemon in one role. It sends signals only to the process that it has started itself.
type process struct {
	name, role, binary, settings, logs string

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the current run has exited
	exitExpected  bool          // the soak has sent a signal that ends the current run
	paused        bool
	lastDisturbed time.Time // last time at which the soak disturbed the process
	lastSignalled time.Time // last start or signal other than SIGHUP
	plannedStop   time.Time // start of the last stop; zero if the process was paused or signalled less than 1 s before
	onExit        func(detail string)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.binary, p.role)
	cmd.Env = append(os.Environ(), "HIBISCUSCROSS_BOOT="+p.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exited, p.exitExpected, p.paused, p.lastDisturbed = cmd, make(chan struct{}), false, false, time.Now()
	p.lastSignalled = p.lastDisturbed
	go p.wait(cmd, logFile, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, logFile *os.File, exited chan struct{}) {
	err := cmd.Wait()
	_ = logFile.Close()
	p.mu.Lock()
	unexpected := !p.exitExpected
	p.mu.Unlock()
	close(exited)
	if unexpected {
		p.onExit(fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
	}
}

// signal sends a signal and records the disturbance. expectExit reports whether the signal ends the process.
func (p *process) signal(s syscall.Signal, expectExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastDisturbed = time.Now()
	if s != syscall.SIGHUP { // a reload is planned and excuses no violation, so it does not count
		p.lastSignalled = p.lastDisturbed
	}
	p.exitExpected = p.exitExpected || expectExit
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // an error means that the process has already exited
	}
	p.paused = s == syscall.SIGSTOP
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.done()
}

// stop sends SIGTERM and reports whether the process exited within the grace period. If it did not, it is killed.
func (p *process) stop(grace time.Duration) bool {
	p.mu.Lock()
	p.plannedStop = time.Time{}
	if !p.paused && time.Since(p.lastSignalled) > time.Second {
		p.plannedStop = time.Now()
	}
	p.mu.Unlock()
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.done():
		return true
	case <-time.After(grace):
		p.kill()
		return false
	}
}

// done returns a channel that is closed when the current run has exited.
func (p *process) done() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// markDisturbed records a disturbance of the process other than a signal.
func (p *process) markDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastDisturbed = time.Now()
}

// inPlannedStop reports whether a planned stop started before t and no other signal followed.
func (p *process) inPlannedStop(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.plannedStop.IsZero() && t.After(p.plannedStop) && p.lastSignalled.Sub(p.plannedStop) < 100*time.Millisecond
}

// balancerUnaware reports whether the process is in a planned stop that the balancer cannot have detected yet: it
// probes once a second and needs two failed probes.
func (p *process) balancerUnaware(t time.Time) bool {
	return p.inPlannedStop(t) && t.Sub(p.plannedStopTime()) < time.Second
}

func (p *process) plannedStopTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plannedStop
}

// disturbed returns the time at which the process was disturbed last.
func (p *process) disturbed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused {
		return time.Now()
	}
	return p.lastDisturbed
}

// undisturbedSince reports whether the process has not been disturbed since t.
func (p *process) undisturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && p.lastDisturbed.Before(t)
}
