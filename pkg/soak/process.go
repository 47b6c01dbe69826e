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

// process is one program of the system. Only processes that it started itself get signals.
type process struct {
	name, role, binary, settings, logs string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{} // closed when the current run has ended
	expected  bool          // the end of the current run was asked for
	paused    bool
	disturbed time.Time // last disturbance by the soak
	signalled time.Time // last start, kill, pause or stop
	stopping  time.Time // when a planned stop began that nothing else has overlapped
	onExit    func(detail string)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.binary, p.role)
	cmd.Env = append(os.Environ(), "HIBISCUSCROSS_BOOT="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exited, p.expected, p.paused, p.disturbed = cmd, make(chan struct{}), false, false, time.Now()
	p.signalled = p.disturbed
	go p.wait(cmd, out, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	err := cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	unasked := !p.expected
	p.mu.Unlock()
	close(exited)
	if unasked {
		p.onExit(fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
}

func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
	if s != syscall.SIGHUP { // a reload is planned work too and excuses nothing
		p.signalled = p.disturbed
	}
	p.expected = p.expected || ends
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // a process that has ended meanwhile needs no signal
	}
	p.paused = s == syscall.SIGSTOP
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.ended()
}

// stop asks the process to stop and reports whether it did within the grace time; if not it is killed.
func (p *process) stop(grace time.Duration) bool {
	p.mu.Lock()
	p.stopping = time.Time{}
	if !p.paused && time.Since(p.signalled) > time.Second {
		p.stopping = time.Now()
	}
	p.mu.Unlock()
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.ended():
		return true
	case <-time.After(grace):
		p.kill()
		return false
	}
}

func (p *process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

func (p *process) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
}

// stopsAsPlanned reports whether the process was stopping at the time and has got no other signal since.
func (p *process) stopsAsPlanned(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopping.IsZero() && t.After(p.stopping) && p.signalled.Sub(p.stopping) < 100*time.Millisecond
}

// justStopping reports whether the process stops as planned and the balancer, which asks once a second, cannot have missed
// it twice yet.
func (p *process) justStopping(t time.Time) bool {
	return p.stopsAsPlanned(t) && t.Sub(p.stoppingSince()) < time.Second
}

func (p *process) stoppingSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// calmSince reports whether nothing has disturbed the process since the time.
func (p *process) calmSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && p.disturbed.Before(t)
}
