package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pieces is the number of pieces in which a runner sends an answer.
const pieces = 20

// lastPiece ends each whole answer.
const lastPiece = "end of the answer\n"

// heartbeat is the time between two writes of a runner's entry, and firstBeat that from its start to the first one.
const (
	heartbeat = 1200 * time.Millisecond
	firstBeat = 600 * time.Millisecond
)

// runnerSpec describes a runner.
type runnerSpec struct {
	Address, ID, Service string
	// WorkMS is the time in which an answer is made.
	WorkMS int
	// Length reports whether answers have a length. Others end with their connections.
	Length bool
	// ListenAtMS is when the runner begins to listen, in Unix milliseconds; 0 for at once. It has started then.
	ListenAtMS int64
	// times is how many thousandths of WorkMS it takes now.
	times atomic.Int64
}

// runner is a runner's process.
type runner struct {
	w    *world
	spec *runnerSpec

	mu    sync.Mutex // guards the fields below
	p     *process
	input io.Writer // of the process
	born  int64
	lines []string // of its output
}

// startRunner starts the process of a runner. Its entry is written from the time first after its start on.
func (w *world) startRunner(spec *runnerSpec, first time.Duration) (*runner, error) {
	r := &runner{w: w, spec: spec}
	if err := r.run(first); err != nil {
		return nil, err
	}
	return r, r.awaitListening()
}

func (r *runner) run(first time.Duration) error {
	raw, err := json.Marshal(r.spec)
	if err != nil {
		return err
	}
	out, in := io.Pipe()
	commands, input, err := os.Pipe()
	if err != nil {
		return err
	}
	p, err := r.w.start(nil, commands, in, os.Args[0], "runner", string(raw))
	_ = commands.Close()
	if err != nil {
		return err
	}
	born := max(time.Now().UnixMilli(), r.spec.ListenAtMS)
	r.mu.Lock()
	r.p, r.input, r.born = p, input, born
	r.mu.Unlock()
	r.w.note("runner %s starts at %s (born %d)", r.spec.ID, r.spec.Address, born)
	go func() {
		<-p.ended
		_, _ = in.Close(), input.Close()
	}()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			r.mu.Lock()
			r.lines = append(r.lines, lines.Text())
			r.mu.Unlock()
			r.w.note("runner %s: %s", r.spec.ID, lines.Text())
		}
	}()
	go r.beat(p, born, first)
	return nil
}

// beat writes the runner's entry as long as its process runs. It is removed after three intervals of silence, unless
// another process has written it by then.
func (r *runner) beat(p *process, born int64, first time.Duration) {
	entry := map[string]any{"service": r.spec.Service, "address": r.spec.Address, "zone": "z0", "version": 1, "slots": 6, "state": "ready", "seq": 0, "born": born}
	time.Sleep(time.Until(time.UnixMilli(born)))
	for wait := first; ; wait = heartbeat {
		select {
		case <-time.After(wait):
			r.w.store.put("servers", r.spec.ID, entry)
		case <-p.ended:
			time.Sleep(3 * heartbeat)
			r.w.store.removeEntry(r.spec.ID, born)
			return
		}
	}
}

func (r *runner) awaitListening() error {
	for range 100 {
		c, err := net.Dial("tcp4", r.spec.Address)
		if err == nil {
			return c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("runner %s does not listen", r.spec.ID)
}

// has reports whether the runner has written the line.
func (r *runner) has(line string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if l == line {
			return true
		}
	}
	return false
}

// output returns the lines that the runner has written.
func (r *runner) output() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lines)
}

// slow makes the runner work so many times as long.
func (r *runner) slow(times float64) {
	r.w.note("runner %s works %g times as long from now on", r.spec.ID, times)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.input, times)
}

// kill ends the runner's process as SIGKILL does.
func (r *runner) kill() {
	r.mu.Lock()
	p := r.p
	r.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.ended
	r.w.note("runner %s was killed", r.spec.ID)
}

// serveRunner is the runner's process.
func serveRunner(args []string) {
	var s runnerSpec
	if len(args) != 1 || json.Unmarshal([]byte(args[0]), &s) != nil {
		os.Exit(exitFailed)
	}
	time.Sleep(time.Until(time.UnixMilli(s.ListenAtMS)))
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		fmt.Println("cannot listen:", err)
		os.Exit(exitFailed)
	}
	s.times.Store(1000)
	go func() {
		var times float64
		for {
			if _, err := fmt.Scanln(&times); err != nil {
				return
			}
			s.times.Store(int64(1000 * times))
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(exitFailed)
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *runnerSpec) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		arrived := time.Now()
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		expect := req.Header.Get(headerExpect)
		switch {
		case expect != "" && expect != s.ID:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
		case req.URL.Path == "/healthz":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", headerInstance, s.ID)
		default:
			s.answer(c, req, arrived)
			return
		}
	}
}

// answer sends an answer. One without a length ends with its connection.
func (s *runnerSpec) answer(c *net.TCPConn, req *http.Request, arrived time.Time) {
	id := req.Header.Get(headerID)
	left, err := strconv.Atoi(req.Header.Get(headerDeadline))
	if err != nil {
		left = 60_000
	}
	stop := arrived.Add(time.Duration(left) * time.Millisecond)
	fmt.Printf("runs %s, with %d ms left\n", id, left)
	var out bytes.Buffer
	if s.Length {
		time.Sleep(time.Duration(s.WorkMS) * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerStamp, s.ID, len(lastPiece), lastPiece)
		return
	}
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", headerID, id, headerStamp, s.ID)
	pause := time.Duration(s.WorkMS) * time.Microsecond * time.Duration(s.times.Load()) / pieces
	for n := 1; n <= pieces; n++ {
		at := arrived.Add(time.Duration(n) * pause)
		if at.After(stop) {
			time.Sleep(time.Until(stop))
			fmt.Printf("stops %s at its deadline, before piece %d\n", id, n)
			return
		}
		time.Sleep(time.Until(at))
		if n == pieces {
			out.WriteString(lastPiece)
		} else {
			fmt.Fprintf(&out, "piece %d of %d %s\n", n, pieces, strings.Repeat("x", 40))
		}
		if _, err := c.Write(out.Bytes()); err != nil {
			fmt.Printf("connection of %s failed before piece %d\n", id, n)
			return
		}
		out.Reset()
		fmt.Printf("sent %s piece %d\n", id, n)
	}
	fmt.Printf("ends %s\n", id)
}
