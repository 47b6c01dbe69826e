//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// plainWork is the time that a plain runner works on a request before and between the halves of its answer.
const plainWork = 30 * time.Millisecond

// bodyBytes is the size of a runner's answer, of which the first half is sent before the second.
const bodyBytes = 800

// wholeBody is the body of a runner's answer. It names the request at its begin and its end.
func wholeBody(id string) string {
	begin, end := "begin "+id+" ", " end "+id
	return begin + strings.Repeat("x", bodyBytes-len(begin)-len(end)) + end
}

// runRunner runs a plain runner as a process: runner ADDRESS ID. It answers without a length, so that an answer ends with its
// connection. It writes a line for each half that it has sent.
func runRunner(args []string) int {
	if len(args) != 2 {
		return 2
	}
	address, instance := args[0], args[1]
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println("up")
	for {
		c, err := ln.Accept()
		if err != nil {
			return 2
		}
		go servePlain(c, instance)
	}
}

// servePlain serves one connection of a plain runner.
func servePlain(c net.Conn, instance string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if want := req.Header.Get(headers.Expect); want != "" && want != instance {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+headers.Instance+": "+instance+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if req.URL.Path == "/healthz" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+headers.Instance+": "+instance+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := req.Header.Get(headers.ID)
		if id == "" {
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n"+headers.NotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if strings.HasSuffix(req.URL.Path, "/poison") && os.Getenv("TROUBLE") != "0" {
			fmt.Println("half", id) // it begins to run
			os.Exit(1)
		}
		status, _ := strconv.Atoi(req.URL.Query().Get("status"))
		if status == 0 {
			status = http.StatusOK
		}
		body := wholeBody(id)
		time.Sleep(plainWork)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s.%s\r\nConnection: close\r\n\r\n%s",
			status, http.StatusText(status), headers.ID, id, headers.Stamp, instance, id, body[:bodyBytes/2])
		fmt.Println("half", id)
		time.Sleep(plainWork)
		if _, err := io.WriteString(c, body[bodyBytes/2:]); err == nil {
			fmt.Println("whole", id)
		}
		return
	}
}

// plainRunner is a plain runner of the deployment, run as a process under a supervisor.
type plainRunner struct {
	w           *world
	id, address string
	process     *process
	halves      chan<- half
	starts      int
}

// half states that a runner has sent the first half of its answer to the request id.
type half struct {
	runner *plainRunner
	id     string
}

// start starts the runner under its id and registers it in the store.
func (r *plainRunner) start() error {
	out, in, err := os.Pipe()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p, err := r.w.start(r.id, nil, in, self, "runner", r.address, r.id)
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	_ = in.Close()
	up := make(chan struct{})
	go func() {
		defer func() { _ = out.Close() }()
		for scan, first := bufio.NewScanner(out), true; scan.Scan(); {
			line := scan.Text()
			if first && line == "up" {
				first = false
				close(up)
				continue
			}
			r.w.note("runner %s: %s", r.id, line)
			if id, ok := strings.CutPrefix(line, "half "); ok {
				select {
				case r.halves <- half{r, id}:
				default:
				}
			}
		}
	}()
	select {
	case <-up:
	case <-time.After(5 * time.Second):
		return cannotRun("runner %s does not start", r.id)
	}
	r.process = p
	r.w.note("runner %s is up, born %d", r.id, born)
	r.w.store.put("servers", r.id, render("plain-entry.json", map[string]any{"Address": r.address, "Born": born}))
	return nil
}

// awaitHalf returns the runner that has sent the first half of the answer to the request, or nil after two seconds.
func awaitHalf(halves <-chan half, id string) *plainRunner {
	timeout := time.After(2 * time.Second)
	for {
		select {
		case h := <-halves:
			if h.id == id {
				return h.runner
			}
		case <-timeout:
			return nil
		}
	}
}

// plainRunners is the number of plain runners. One of them that crashes is a share of 0.25.
const plainRunners = 4

// startPlainWorld starts the plain runners and a number of entries.
func startPlainWorld(w *world, entries int) (<-chan half, []*machine, error) {
	n, err := newNetwork(entries)
	if err != nil {
		return nil, nil, err
	}
	const ip = "127.0.0.1"
	w.store.put("config", "main", render("plain-config.json", nil))
	halves := make(chan half, 64)
	for i := range plainRunners {
		port, err := freePort(ip)
		if err != nil {
			return nil, nil, err
		}
		r := &plainRunner{w: w, id: fmt.Sprintf("i-7f3a91c%d", i+1), address: fmt.Sprintf("%s:%d", ip, port), halves: halves}
		if err := r.start(); err != nil {
			return nil, nil, err
		}
	}
	var machines []*machine
	for i := range entries {
		m, err := w.startEntry(fmt.Sprintf("edge-lagos-ikeja-%d", i+1), n.ip(i+1), n.peerPort)
		if err != nil {
			return nil, nil, err
		}
		machines = append(machines, m)
	}
	return halves, machines, nil
}

// loan posts a loan and records the answer.
func loan(w *world, m *machine, id, query string) answer {
	w.note("client sends POST /puxa403/2f%s, id %s", query, id)
	a := call(m.front, clientRequest{method: http.MethodPost, path: "/puxa403/2f" + query, id: id, deadline: 1200 * time.Millisecond, body: "loan " + id})
	w.note("client got for %s: status %d, %d bytes, length %q, stamp %q, complete %t, err %v, after %d ms", id, a.status, len(a.body), a.header.Get("Content-Length"),
		a.header.Get(headers.Stamp), a.complete, a.err, a.took.Milliseconds())
	return a
}

// restartDelays are the times after which the runner's supervisor starts it again, one for each round.
var restartDelays = []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond, 70 * time.Millisecond}

// restartedAnswer plays a runner that is killed in the middle of an answer without a length and is started again by its
// supervisor, under the id that it had. The client must not get the first half as a complete success.
func restartedAnswer(w *world) error {
	return plainCase(w, "", func(r *plainRunner, round int) error {
		r.process.kill()
		w.note("runner %s is killed in the middle of the answer", r.id)
		time.Sleep(restartDelays[round])
		return r.start()
	})
}

// cutFailure plays a runner that is killed in the middle of its own failure, an answer without a length, and is back three
// seconds later. The client must not get the first half as a complete answer.
func cutFailure(w *world) error {
	return plainCase(w, "?status=500", func(r *plainRunner, _ int) error {
		r.process.kill()
		w.note("runner %s is killed in the middle of the answer", r.id)
		time.Sleep(3 * time.Second)
		return r.start()
	})
}

// plainCase posts loans, some of which the trouble meets in the middle of their answer.
func plainCase(w *world, query string, trouble func(r *plainRunner, round int) error) error {
	halves, machines, err := startPlainWorld(w, 1)
	if err != nil {
		return err
	}
	m := machines[0]
	time.Sleep(time.Second)
	for round := range restartDelays {
		for i := range 3 { // undisturbed
			id := fmt.Sprintf("a%d%d", round, i)
			if a := loan(w, m, id, query); !a.complete || string(a.body) != wholeBody(id) {
				return cannotRun("undisturbed loan %s: status %d, complete %t, err %v", id, a.status, a.complete, a.err)
			}
		}
		id := fmt.Sprintf("b%d", round)
		got := make(chan answer, 1)
		go func() { got <- loan(w, m, id, query) }()
		r := awaitHalf(halves, id)
		if r == nil {
			return cannotRun("loan %s has not reached the runner", id)
		}
		if w.trouble {
			time.Sleep(5 * time.Millisecond) // the half is on its way
			if err := trouble(r, round); err != nil {
				return err
			}
		}
		a := <-got
		if a.complete && a.header.Get(headers.Stamp) != "" && string(a.body) != wholeBody(id) {
			w.breakRule("MIXED", "loan %s: status %d with the runner's stamp and a complete body of %d bytes; the runner had sent %d of %d", id, a.status, len(a.body), bodyBytes/2, bodyBytes)
		}
		time.Sleep(6 * time.Second)
	}
	return nil
}
