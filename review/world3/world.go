package main

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ip is the loopback address of the system's machine, runnerIP that of the runners' machine.
const (
	ip       = "127.73.0.1"
	runnerIP = "127.73.0.2"
	storeIP  = "127.73.0.3"
)

//go:embed config.json
var configJSON string

//go:embed settings.toml
var settingsTOML string

// world has the processes and the record of one run.
type world struct {
	trouble bool
	started time.Time
	dir     string

	store *store

	mu        sync.Mutex // guards the fields below
	record    io.Writer
	processes []*process
}

// process is a process that the run has started.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func newWorld(record io.Writer, trouble bool) *world {
	return &world{trouble: trouble, started: time.Now(), record: record, store: newStore()}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the run has started and removes its temporary folder.
func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// start starts a process and copies its output to out.
func (w *world) start(env []string, in io.Reader, out io.Writer, name string, args ...string) (*process, error) {
	cmd := exec.Command(name, args...)
	cmd.Env, cmd.Stdin = env, in
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.ended) }()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p, nil
}

// freePort returns a port that is free at the address now.
func freePort(address string) (int, error) {
	l, err := net.Listen("tcp4", address+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// entry is a running router and its addresses.
type entry struct {
	*process
	front, ready string
}

// startEntry starts the store with the configuration, and the daemon as the deploy file does. replace are pairs of words of
// the configuration to be replaced.
func (w *world) startEntry(replace ...string) (*entry, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w.dir = dir
	l, err := net.Listen("tcp4", storeIP+":0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, w.store) }()
	var config any
	if err := json.Unmarshal([]byte(strings.NewReplacer(replace...).Replace(configJSON)), &config); err != nil {
		return nil, err
	}
	w.store.put("config", "main", config)
	ports := make([]any, 3)
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = fmt.Sprintf("%s:%d", ip, port)
	}
	peer, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	settings := strings.NewReplacer("@FRONT", ports[0].(string), "@READY", ports[1].(string), "@CONTROL", ports[2].(string), "@STORE", l.Addr().String(),
		"@IP", ip, "@PEER", fmt.Sprint(peer), "@LASTPEER", fmt.Sprint(peer+15)).Replace(settingsTOML)
	path := filepath.Join(dir, "local.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "entry.log"))
	if err != nil {
		return nil, err
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSCROSS_BOOT=" + path}
	p, err := w.start(env, nil, log, "target/hibiscuscrossd", "entry")
	if err != nil {
		return nil, err
	}
	e := &entry{process: p, front: ports[0].(string), ready: ports[1].(string)}
	return e, w.awaitReady(e)
}

func (w *world) awaitReady(e *entry) error {
	for range 200 {
		resp, err := http.Get("http://" + e.ready + "/api/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.note("the entry process is ready")
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the entry process is not ready after 10 s")
}

// logs copies the lines of the entry process that contain one of the words to the record.
func (w *world) logs(words ...string) {
	raw, err := os.ReadFile(filepath.Join(w.dir, "entry.log"))
	if err != nil {
		return
	}
	for _, line := range strings.Split(string(raw), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				w.note("entry: %s", line)
				break
			}
		}
	}
}

// answer is what a client has got.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool // the body ended as its framing says
	err      error
}

// ask sends a request of a client on a connection of its own and reads the answer.
func ask(front, method, path, id string, wait time.Duration, body string) answer {
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	if err := sendRequest(c, method, path, id, wait, body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: raw, complete: err == nil, err: err}
}

func sendRequest(c net.Conn, method, path, id string, wait time.Duration, body string) error {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: review.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, headerID, id, headerDeadline, wait.Milliseconds(), len(body), body)
	return err
}
