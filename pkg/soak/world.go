package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	entries = 3
	engines = 4
	plains  = 2
	// grace is the time from SIGTERM to the end of a process.
	grace = 8 * time.Second
	// stable is how long after a disturbance a process may lag.
	stable = 4 * time.Second
	// configDelay and drainDelay bound how long a change takes to be in force.
	configDelay = 2500 * time.Millisecond
	drainDelay  = 2500 * time.Millisecond
	frontPort   = 8149
	readyPort   = 8141
	runnerPort  = 8145
	storePort   = 8142
	peerPort    = 7380
)

// Options are the inputs of one run.
type Options struct {
	Binary string // of hibiscuscrossd
	Dir    string // for settings and logs
	Seed   uint64
	// LoopbackNet is the second byte of the loopback addresses, 1 to 254; runs at the same time need different ones.
	LoopbackNet int
	// FaultPeriod is the time in which faults begin.
	FaultPeriod time.Duration
}

// world is everything that one run consists of.
type world struct {
	opt     Options
	rnd     *rand.Rand
	store   *standin.Store
	runners []*runner
	nodes   []*process // entries first
	links   []*Proxy   // to the store, by node
	check   *checker
	servers []*http.Server

	mu          sync.Mutex
	version     uint64
	versionAt   time.Time
	storeCalm   time.Time // since when the store is undisturbed; zero while it is disturbed
	runnersAt   time.Time // end of the last disturbance of a runner or of a link to one
	runnersBusy int       // disturbances of runners and of links to them under way
	entryLinked []string  // addresses for callers, by entry
}

type runner struct {
	*standin.Runner
	proxy *Proxy
}

func (w *world) ip(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.opt.LoopbackNet, group, i+1)
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// build starts the stand-ins and the processes.
func build(opt Options) (*world, error) {
	w := &world{opt: opt, rnd: rand.New(rand.NewPCG(opt.Seed, 1)), store: standin.NewStore(), check: newChecker(), storeCalm: time.Now()}
	ln, err := net.Listen("tcp4", at(w.ip(9, 0), storePort))
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: w.store}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	w.configure()
	for i := range engines + plains {
		if err := w.addRunner(i); err != nil {
			return w, err
		}
	}
	for i := range entries {
		if err := w.addNode("entry", i, w.ip(1, i)); err != nil {
			return w, err
		}
		w.entryLinked = append(w.entryLinked, at(w.ip(1, i), frontPort))
	}
	for i := range engines {
		if err := w.addNode("sidecar", i, w.ip(2, i)); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) addRunner(i int) error {
	plain := i >= engines
	set := standin.RunnerSettings{
		Service: "llm", Zone: zone(i), ListedAddress: at(w.ip(2, i), runnerPort), ListenAddress: at(w.ip(3, i), runnerPort), Slots: 32,
		MemoryMB: 200, AdapterSlots: 3, Models: modelSizes, FetchTime: 800 * time.Millisecond, DiskTime: 150 * time.Millisecond, WorkTime: 10 * time.Millisecond,
	}
	models := []string{fmt.Sprintf("m%d", i%len(modelSizes)), fmt.Sprintf("m%d", (i+1)%len(modelSizes))}
	if plain {
		set.Service, set.Slots, models = "loans", 6, nil
	}
	r := &runner{Runner: standin.NewRunner(set, w.store, w.check.record(), models...)}
	if err := r.Start(); err != nil {
		return err
	}
	proxy, err := NewProxy(set.ListedAddress, set.ListenAddress)
	if err != nil {
		return err
	}
	r.proxy = proxy
	w.runners = append(w.runners, r)
	return nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

func (w *world) addNode(role string, i int, ip string) error {
	name := fmt.Sprintf("%s-%d", role, i)
	storeAddress := at(w.ip(4, len(w.nodes)), storePort)
	proxy, err := NewProxy(storeAddress, at(w.ip(9, 0), storePort))
	if err != nil {
		return err
	}
	w.links = append(w.links, proxy)
	settings := filepath.Join(w.opt.Dir, name+".toml")
	if err := os.WriteFile(settings, []byte(w.settings(name, ip, i, storeAddress, role == "sidecar").File()), 0o644); err != nil {
		return err
	}
	p := &process{name: name, role: role, binary: w.opt.Binary, settings: settings, logs: w.opt.Dir, onExit: func(d string) { w.check.broken("process", d) }}
	w.nodes = append(w.nodes, p)
	return p.start()
}

var modelSizes = map[string]float64{"m0": 70, "m1": 70, "m2": 60, "m3": 60, "m4": 50, "m5": 50}

// configure writes the next version of the configuration, which adds a route of its own.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.versionAt = time.Now()
	w.store.Put("config", "main", standin.Config(w.version, []standin.Route{
		{Name: "report", Prefix: "/report/", Kind: standin.Streaming, Service: "llm", Timeout: 5 * time.Second, MaxAttempts: 2, Resumable: true},
		{Name: "chat", Prefix: "/chat/", Kind: standin.Streaming, Service: "llm", Timeout: 5 * time.Second, MaxAttempts: 1},
		{Name: "loan", Prefix: "/loan/", Kind: standin.NonIdempotent, Service: "loans", Timeout: 2 * time.Second, MaxAttempts: 2},
		{Name: "lookup", Prefix: "/lookup/", Kind: standin.Idempotent, Service: "loans", Timeout: 2 * time.Second, MaxAttempts: 2},
		{Name: "new", Prefix: fmt.Sprintf("/v%d/", w.version), Kind: standin.Idempotent, Service: "loans", Timeout: 2 * time.Second, MaxAttempts: 2},
	}, modelSizes))
}

// settings returns the settings of node i of a role.
func (w *world) settings(name, ip string, i int, store string, sidecar bool) standin.Settings {
	s := standin.Settings{Name: name, IP: ip, Zone: zone(i), PeerPort: peerPort, Front: at(ip, frontPort), Ready: at(ip, readyPort), Store: store}
	if sidecar {
		s.Upstream = at(ip, runnerPort)
	}
	return s
}

// inForce returns a path of the newest version if that version has been acknowledged for long enough.
func (w *world) inForce(now time.Time) (string, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("/v%d/x", w.version), w.versionAt.Add(configDelay)
}

// storeCalmSince reports whether the store has been undisturbed since the time.
func (w *world) storeCalmSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeCalm.IsZero() && w.storeCalm.Before(t)
}

// disturbRunners records that a disturbance of a runner or of a link to one begins, and the returned function that it ends.
func (w *world) disturbRunners() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runnersBusy++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.runnersBusy--
		w.runnersAt = time.Now()
	}
}

// runnersCalmSince reports whether no runner and no link to one has been disturbed since the time.
func (w *world) runnersCalmSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runnersBusy == 0 && w.runnersAt.Before(t)
}

func (w *world) disturbStore(end bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCalm = time.Time{}
	if end {
		w.storeCalm = time.Now()
	}
}

func (w *world) close() {
	for _, p := range w.nodes {
		p.signal(9, true)
	}
	for _, p := range w.nodes {
		<-p.ended()
	}
	for _, l := range w.links {
		l.Close()
	}
	for _, r := range w.runners {
		r.proxy.Close()
		r.Crash()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// ready reports whether the balancer sends new connections to the entry.
func (w *world) ready(i int) bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + strings.Replace(w.entryLinked[i], fmt.Sprint(frontPort), fmt.Sprint(readyPort), 1) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
