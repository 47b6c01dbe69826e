//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case: the platform's stand-ins, the project's processes and the record.
type world struct {
	dir     string // temporary folder for settings and logs
	trouble bool
	daemon  string
	store   *store
	storeAt string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	broken  []string
	cleanup []func()
}

// errCouldNotRun marks a case that could not be played.
type errCouldNotRun struct{ error }

func cannotRun(format string, args ...any) error { return errCouldNotRun{fmt.Errorf(format, args...)} }

func newWorld(recordPath, daemon string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: trouble, daemon: daemon, store: newStore(), record: record, began: time.Now()}
	w.atEnd(func() { _ = os.RemoveAll(dir) })
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: w.store}
	go func() { _ = srv.Serve(ln) }()
	w.atEnd(func() { _ = srv.Close() })
	w.storeAt = ln.Addr().String()
	return w, nil
}

// atEnd adds a step that runs at the end of the case, the last one first.
func (w *world) atEnd(step func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cleanup = append(w.cleanup, step)
}

func (w *world) close() {
	w.mu.Lock()
	steps := w.cleanup
	w.cleanup = nil
	w.mu.Unlock()
	for i := len(steps) - 1; i >= 0; i-- {
		steps[i]()
	}
}

// maxTime bounds a case.
const maxTime = 110 * time.Second

// endEarly ends the case and its processes when the case takes too long or is told to stop.
func (w *world) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(maxTime):
	}
	w.note("could not run: ended early")
	w.close()
	os.Exit(2)
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	_, _ = fmt.Fprintf(w.record, format+"\n", args...)
}

// breakRule records a broken rule.
func (w *world) breakRule(rule, format string, args ...any) {
	detail := rule + ": " + fmt.Sprintf(format, args...)
	w.note("BROKEN %s", detail)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, detail)
}

// process is a process that the case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a process whose output goes to a log in the temporary folder, unless out is given.
func (w *world) start(name string, env []string, out *os.File, binary string, args ...string) (*process, error) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), env...)
	if out == nil {
		f, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, cannotRun("start %s: %v", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	w.atEnd(p.kill)
	return p, nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // an error means that it has ended
	<-p.done
}

// freePort returns a TCP port at the address that is free now. A port for datagrams is as free.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// machine is a machine of the deployment with one process of the system.
type machine struct {
	name, ip, front, ready, app, service string
	peerPort                             int
	process                              *process
}

// settings returns the settings file of the machine, with the bounds of a small deployment.
func (w *world) settings(m *machine) []byte {
	memory := 284
	if m.app != "" {
		memory = 216
	}
	return render("settings.toml", map[string]any{
		"Name": m.name, "IP": m.ip, "PeerPort": m.peerPort, "LastPort": m.peerPort + 15, "App": m.app, "Service": m.service, "Front": m.front, "Ready": m.ready,
		"MemoryMB": memory, "Store": w.storeAt,
	})
}

// startEntry starts a machine with the entry role and waits until it is ready.
func (w *world) startEntry(name, ip string, peerPort int) (*machine, error) {
	front, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, ip: ip, peerPort: peerPort, front: fmt.Sprintf("%s:%d", ip, front), ready: fmt.Sprintf("%s:%d", ip, ready)}
	if err := w.startMachine(m, "entry"); err != nil {
		return nil, err
	}
	for range 200 {
		if resp, err := http.Get("http://" + m.ready + "/api/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return m, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, cannotRun("%s is not ready after 10 s", name)
}

// startMachine writes the settings of the machine and starts its process.
func (w *world) startMachine(m *machine, role string) error {
	path := filepath.Join(w.dir, m.name+".toml")
	if err := os.WriteFile(path, w.settings(m), 0o644); err != nil {
		return err
	}
	p, err := w.start(m.name, []string{"HIBISCUSCROSS_BOOT=" + path}, nil, w.daemon, role)
	m.process = p
	return err
}
