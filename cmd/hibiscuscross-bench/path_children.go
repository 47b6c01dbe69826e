package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/exec"
	"runtime"
	"runtime/metrics"
	"strings"
	"syscall"
	"time"
)

// usage is what a process has used since its start.
type usage struct {
	CPU     time.Duration
	Mallocs uint64
	Bytes   uint64
	RSSMB   float64
	// span is the time over which the difference was taken; direct holds the requests sent beside.
	span   time.Duration
	direct *phase
}

func (u usage) minus(v usage) usage {
	return usage{CPU: u.CPU - v.CPU, Mallocs: u.Mallocs - v.Mallocs, Bytes: u.Bytes - v.Bytes, RSSMB: u.RSSMB}
}

// profile writes a CPU profile of the child to a file.
func (x *child) profile(file string, seconds int) {
	resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", x.ctl, seconds))
	if err != nil {
		fmt.Println("profile:", err)
		return
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if err := os.WriteFile(file, b, 0o600); err != nil {
		fmt.Println("profile:", err)
	}
}

// ownUsage reads this process's usage.
func ownUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}, {Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(samples)
	return usage{
		CPU:     time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		Mallocs: samples[0].Value.Uint64(), Bytes: samples[1].Value.Uint64(), RSSMB: rssMB(),
	}
}

// rssMB reads the resident set of this process from the kernel.
func rssMB() float64 {
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// child is one process of the benchmark.
type child struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	addr  string // of its service
	ctl   string // of its usage
}

// children are the processes that this one started.
type children struct{ all []*child }

// start runs this program again in a role and waits until it serves.
func (c *children) start(role string, args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"child", role}, args...)...)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	x := &child{cmd: cmd, stdin: stdin}
	c.all = append(c.all, x)
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if n, _ := fmt.Sscanf(line, "%s %s", &x.addr, &x.ctl); n != 2 {
		return nil, fmt.Errorf("%s did not start: %q %v", role, line, err)
	}
	return x, nil
}

// stop ends the children; each ends when its input closes.
func (c *children) stop() {
	for _, x := range c.all {
		_ = x.stdin.Close()
		_ = x.cmd.Wait()
	}
}

// usage asks the child. The zero value is returned if it does not answer.
func (x *child) usage() (u usage) {
	resp, err := http.Get("http://" + x.ctl + "/usage")
	if err != nil {
		return u
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&u)
	return u
}

// announce serves this process's usage, prints the addresses for the parent and waits until the parent closes the input.
func announce(addr string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/usage", func(w http.ResponseWriter, _ *http.Request) {
		runtime.GC()
		_ = json.NewEncoder(w).Encode(ownUsage())
	})
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	go func() { _ = http.Serve(l, mux) }()
	fmt.Println(addr, l.Addr())
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}
