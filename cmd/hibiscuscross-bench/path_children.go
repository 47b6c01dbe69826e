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

// usage is the resource usage of a process since its start, or the difference of two such values.
type usage struct {
	CPU     time.Duration
	Mallocs uint64
	Bytes   uint64
	RSSMB   float64
	// elapsed is the time over which a difference was taken, direct the result of the requests sent directly to the engine
	// in that time.
	elapsed time.Duration
	direct  *phase
}

func (u usage) sub(v usage) usage {
	return usage{CPU: u.CPU - v.CPU, Mallocs: u.Mallocs - v.Mallocs, Bytes: u.Bytes - v.Bytes, RSSMB: u.RSSMB}
}

// saveProfile takes a CPU profile of the child and writes it to a file.
func (ch *child) saveProfile(file string, seconds int) {
	resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", ch.usageAddr, seconds))
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

// ownUsage returns the usage of this process.
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

// rssMB returns the resident set size of this process, or 0 if it cannot be read.
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
	cmd       *exec.Cmd
	stdin     io.WriteCloser
	addr      string // of the service
	usageAddr string // of the usage endpoint
}

// children are the child processes of this process.
type children struct{ all []*child }

// start runs this program as a child in a role and waits until it serves.
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
	ch := &child{cmd: cmd, stdin: stdin}
	c.all = append(c.all, ch)
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if n, _ := fmt.Sscanf(line, "%s %s", &ch.addr, &ch.usageAddr); n != 2 {
		return nil, fmt.Errorf("child %s did not start, it printed %q: %v", role, line, err)
	}
	return ch, nil
}

// stop stops the children by closing their standard inputs.
func (c *children) stop() {
	for _, ch := range c.all {
		_ = ch.stdin.Close()
		_ = ch.cmd.Wait()
	}
}

// usage returns the usage that the child reports, or the zero value if the child does not answer.
func (ch *child) usage() (u usage) {
	resp, err := http.Get("http://" + ch.usageAddr + "/usage")
	if err != nil {
		return u
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&u)
	return u
}

// announceAndWait serves the usage of this process, prints the addresses for the parent and waits until the parent
// closes the standard input.
func announceAndWait(addr string) error {
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
