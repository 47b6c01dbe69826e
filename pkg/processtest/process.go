// Package processtest runs the system's binaries and the stand-ins as separate processes on the loopback address, so
// that tests can check which answers callers get when processes are killed, paused or stopped. It is never linked into
// the daemon.
package processtest

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// module is the path of the Go module that contains the commands.
const module = "github.com/hibiscuscross/hibiscuscross"

// Build builds the daemon, the operators' tool and the stand-ins into dir.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		module+"/cmd/hibiscuscrossd", module+"/cmd/hibiscuscrossctl", module+"/cmd/hibiscuscross-standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fault.Wrap(err, fault.StepSettings, dir, "build commands: "+string(out))
	}
	return nil
}

// Process is a program run as a child process. After it has ended it can be started again with the same arguments.
type Process struct {
	Name string

	path string
	args []string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	log  logBuffer
}

// logBuffer stores the output of a process. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Start starts the program. It may be called again after the process has ended.
func (p *Process) Start() error {
	cmd, done := exec.Command(p.path, p.args...), make(chan struct{})
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return fault.Wrap(err, fault.StepSettings, p.Name, "start process")
	}
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // ExitCode reads the status from ProcessState
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return fault.Wrap(p.cmd.Process.Signal(s), fault.StepDrain, p.Name, "send signal")
}

// Kill sends SIGKILL, which has the effect of a crash, and waits until the process has ended.
func (p *Process) Kill() error {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fault.Wrap(err, fault.StepDrain, p.Name, "kill process")
	}
	<-p.done
	return nil
}

// PID returns the id of the started process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// ExitCode returns the exit status of an ended process, or -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the output of the program over all its starts.
func (p *Process) Log() string { return p.log.String() }

// Range in which freePorts searches. It lies below the ports that the system assigns to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 31000
)

// usedBlocks is the number of port blocks that were handed out or found in use.
var usedBlocks atomic.Int64

// freePorts returns the first of count consecutive ports that are free for TCP and UDP on the loopback address. The
// start of the search depends on the process ID, because other tests may search at the same time. No port is handed out
// twice, because the ports of a killed process are free until it is started again.
func freePorts(count int) (int, error) {
	blocks := (lastPort - firstPort) / count
	for range blocks {
		base := firstPort + (os.Getpid()*7+int(usedBlocks.Add(1)))%blocks*count
		if areFree(base, count) {
			return base, nil
		}
	}
	return 0, fault.Newf(fault.StepSettings, "", "no %d consecutive ports are free", count)
}

func areFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return false
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp", addr)
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}
