//go:build review

// Command world starts the project's daemon as the deploy file does and plays one case of the review on it: stand-ins for
// the platform's store, the runners and the clients. See review/REPORT.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// world is one small deployment.
type world struct {
	trouble bool
	dir     string // temporary folder of this run
	record  *os.File
	start   time.Time
	net     string // first two bytes of all addresses
	store   *store
	front   string

	mu       sync.Mutex
	notes    []happening
	running  map[string]int // requests at each runner
	procs    map[*exec.Cmd]bool
	admin    string
	sequence int
	machines int
	bounds   bounds
}

func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	f, err := os.Create(recordPath)
	must(err)
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: f, start: time.Now(), store: newStore(), bounds: vanstops, procs: map[*exec.Cmd]bool{},
		net: fmt.Sprintf("127.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250)}
	ln, err := net.Listen("tcp4", w.net+".1:0")
	must(err)
	w.admin = "http://" + ln.Addr().String() + "/"
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(w.note)}).Serve(ln) }()
	return w
}

// address returns the address of a new machine.
func (w *world) address() string {
	w.machines++
	return fmt.Sprintf("%s.%d", w.net, 1+w.machines)
}

func (w *world) say(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// note takes what a runner tells.
func (w *world) note(_ http.ResponseWriter, r *http.Request) {
	var h happening
	if json.NewDecoder(r.Body).Decode(&h) != nil {
		return
	}
	w.mu.Lock()
	w.notes = append(w.notes, h)
	w.mu.Unlock()
	w.say("runner %s: %s %s %s", h.Runner, h.What, h.ID, h.Path)
}

// noted returns what the runners have told so far.
func (w *world) noted(what string) []happening {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []happening
	for _, h := range w.notes {
		if h.What == what {
			out = append(out, h)
		}
	}
	return out
}

// bounds are the bounds that differ between the sites of the cases.
type bounds struct{ ack, catchUp, drain, config, burst, recovery, pass, writes, reads int }

var (
	vanstops      = bounds{ack: 5000, catchUp: 4, drain: 2500, config: 2500, burst: 58, recovery: 12, pass: 250, writes: 400, reads: 2000}
	vanstopsGrown = bounds{ack: 6000, catchUp: 6, drain: 4000, config: 4000, burst: 94, recovery: 15, pass: 300, writes: 1200, reads: 6000}
)

// settings are like those of the small deployments (DEPLOY.md).
func (w *world) settings(name, ip, zone, storeAddress, more string) string {
	b := w.bounds
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = %q
region = "lagos"
internalPortRange = [7380,7395]
seeds = []
firstStart = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
%s
[zones]
lagos-ikeja = "lagos"
[limits]
cpuShare = 0.304
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = %d
catchUpS = %d
drainMs = %d
graceS = 8
lossSlackMs = 200
configMs = %d
rollbackSlackMs = 250
maxSkewMs = 6000
budgetRatio = 0.2
budgetWindowS = 10
budgetBurst = %d
recoveryS = %d
passMs = %d
retryAfterS = 0
fencingRequired = true
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingFactor = 1.1
[platform]
address = %q
form = "objects"
writesPerS = %d
readsPerS = %d
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, name, ip, zone, more, b.ack, b.catchUp, b.drain, b.config, b.burst, b.recovery, b.pass, storeAddress, b.writes, b.reads)
	path := filepath.Join(w.dir, name+".toml")
	must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// daemon starts the project's daemon in a role.
func (w *world) daemon(role, name, settings string) *exec.Cmd {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/hibiscuscrossd", role)
	cmd.Env = append(os.Environ(), "HIBISCUSCROSS_BOOT="+settings)
	cmd.Stdout, cmd.Stderr = log, log
	w.run(cmd)
	w.say("%s (%s) started, pid %d", name, role, cmd.Process.Pid)
	return cmd
}

// run starts a process and remembers it until it has ended.
func (w *world) run(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	w.mu.Lock()
	w.procs[cmd] = true
	w.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		w.mu.Lock()
		delete(w.procs, cmd)
		w.mu.Unlock()
	}()
}

func (w *world) alive(cmd *exec.Cmd) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.procs[cmd]
}

// kill kills a process and waits for its end.
func (w *world) kill(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	for w.alive(cmd) {
		time.Sleep(5 * time.Millisecond)
	}
}

// terminate stops a process with SIGTERM and waits for its end.
func (w *world) terminate(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGTERM)
	for w.alive(cmd) {
		time.Sleep(5 * time.Millisecond)
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	var all []*exec.Cmd
	for cmd := range w.procs {
		all = append(all, cmd)
	}
	w.mu.Unlock()
	for _, cmd := range all {
		w.kill(cmd)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// configure writes the operator's configuration: a plain service with two routes, and a service of model runners with one.
func (w *world) configure(modelNames ...string) {
	w.store.put("config", "main", w.config(7, 0, "circulation", modelNames...))
}

// config returns a version of the configuration with a number of further routes that nobody uses. The given service serves
// the route of shelf-check.
func (w *world) config(version, further int, shelf string, modelNames ...string) map[string]any {
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weights" + "Mb": sizes[name], "load" + "TimeS": 6, "disk" + "S": 0.84, "warmup" + "S": 0.4, "adapters": 0, "adapterMb": 66}
	}
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "target" + "LatencyMs": target,
			"priority": 2, "service": service, "maxAttempts": attempts, "resumable": name == "branch-report", "sticky": kind == "streaming", "target" + "GapMs": 400}
	}
	var models []any
	for _, name := range modelNames {
		models = append(models, model(name))
	}
	routes := []any{
		route("loan-post", "/loan/", "non_idempotent", "circulation", 1200, 200, 1),
		route("shelf-check", "/shelf/", "idempotent", shelf, 1200, 200, 2),
		route("desk-chat", "/chat/", "streaming", "reading-aid", 15000, 500, 1),
		route("branch-report", "/report/", "streaming", "reading-aid", 17000, 2500, 2),
	}
	for i := range further {
		routes = append(routes, route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/k%06d/", i), "idempotent", "circulation", 1000+version, 200, 2))
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health" + "Path": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			plain("circulation"), plain("circulation-2"),
			map[string]any{"name": "reading-aid", "health" + "Path": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv" + "Capacity": 232000, "weights" + "Mb": 200000, "adapter" + "Slots": 8, "loads" + "PerS": 1.6, "models": models}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// reply is what a client got for one attempt.
type reply struct {
	id, path, body, stamp string
	sent                  time.Time
	status                int
	err                   error // a closed connection, or a body that ended before it was complete
}

// request sends one client attempt on a new connection and reads its answer.
func (w *world) request(method, path, model, body string, wait time.Duration) reply {
	return w.ask(method, path, model, "826,292", "5c1e07a2:198,ID:628", body, wait)
}

// ask does the same with the given size and parts of the prompt, where ID stands for the request's id.
func (w *world) ask(method, path, model, tokens, prefix, body string, wait time.Duration) reply {
	w.mu.Lock()
	w.sequence++
	r := reply{id: fmt.Sprintf("%08x%08x", os.Getpid(), w.sequence), path: path, sent: time.Now()}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.front+path, strings.NewReader(body))
	must(err)
	req.Host = "ficu95.example"
	req.Header.Set(hdrID, r.id)
	req.Header.Set(hdrDeadline, fmt.Sprint(wait.Milliseconds()))
	if model != "" {
		req.Header.Set(hdrModel, model)
		req.Header.Set(hdrTokens, tokens)
		req.Header.Set(hdrPrefix, strings.ReplaceAll(prefix, "ID", r.id))
	}
	w.say("client sends %s %s %s", r.id, method, path)
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		r.err = err
	} else {
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body, r.err, r.stamp = resp.StatusCode, string(raw), err, resp.Header.Get(hdrStamp)
	}
	w.say("client got %s: status %d, stamp %q, %d bytes, error %v", r.id, r.status, r.stamp, len(r.body), r.err)
	return r
}

// traffic sends requests at a rate until stop is closed and returns the replies once all have ended.
func (w *world) traffic(perSecond float64, stop <-chan struct{}, send func(n int) reply) func() []reply {
	var mu sync.Mutex
	var all []reply
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() {
				r := send(n)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
			})
		}
	})
	return func() []reply {
		wg.Wait()
		return all
	}
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner()
		return
	}
	if len(os.Args) != 3 {
		fmt.Println("usage: world CASE RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	code := 2
	func() {
		w := newWorld(os.Args[2])
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-stop
			w.close()
			os.Exit(2)
		}()
		defer func() {
			if p := recover(); p != nil {
				w.say("the case could not run: %v", p)
				fmt.Println("could not run:", p)
			}
			w.close()
		}()
		code = play(w)
		w.say("exit %d (1: the rule was broken, 0: it held, 2: the case could not run)", code)
	}()
	os.Exit(code)
}
