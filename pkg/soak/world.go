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
	"sync/atomic"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// stopGrace is the maximum time from SIGTERM to the exit of a process.
	stopGrace = 8 * time.Second
	// disturbanceGrace is how long after a disturbance a process may still violate time limits.
	disturbanceGrace = 4 * time.Second
	// configDelay bounds the time until a new configuration is active, drainDelay the time until a draining runner
	// receives no more requests.
	configDelay = 2500 * time.Millisecond
	drainDelay  = 2500 * time.Millisecond
	frontPort   = 8149
	readyPort   = 8141
	runnerPort  = 8145
	storePort   = 8142
	peerPort    = 7380
)

// Options configure one run.
type Options struct {
	Binary string // path of hibiscuscrossd
	Dir    string // directory for settings and logs
	Seed   uint64
	// LoopbackNet is the second byte of the loopback addresses, 1 to 254. Concurrent runs need different values.
	LoopbackNet int
	Shape       Shape
	// FaultPeriod is the period in which faults are started.
	FaultPeriod time.Duration
	// Scenario names the disruptions: "" for the random faults, "mix" for all, or some of ScenarioNames with commas.
	Scenario string
	// KillEntries kills all entries again and again while runners reject most requests, in place of the random faults.
	KillEntries bool
	// RemoveEngines removes one engine after the other at short notice, in place of the random faults.
	RemoveEngines bool
	// RepeatCrashingRequest sends a request that crashes runners again and again while all processes lose power several
	// times, in place of the random faults.
	RepeatCrashingRequest bool
	// WithdrawKeys configures a tenant and withdraws its keys while routers are partitioned from the store, in place of
	// the random faults.
	WithdrawKeys bool
	// LimitEngines makes an engine and a plain runner name how many requests per second they take, in place of the random
	// faults.
	LimitEngines bool
}

// world contains everything that takes part in one run: stand-ins, proxies, processes and checks.
type world struct {
	options      Options
	shape        Shape // of the options, with defaults
	random       *rand.Rand
	store        *standin.Store
	runners      []*runner
	processes    []*process // entries first
	storeProxies []*Proxy   // to the store, by index of the process
	check        *checker
	keys         *keyring
	servers      []*http.Server
	crashingSent atomic.Int64 // requests sent that crash runners

	mu                   sync.Mutex
	version              uint64
	versionWritten       time.Time
	config               any       // the newest version
	storeDisturbanceEnd  time.Time // end of the last disturbance of the store; zero during one
	runnerDisturbanceEnd time.Time // end of the last disturbance of a runner or of a link to one
	runnerDisturbances   int       // active disturbances of runners and of links to them
	entryAddresses       []string  // addresses for callers, by index of the entry
}

// runner is a stand-in for a runner, reached through a proxy.
type runner struct {
	*standin.Runner
	proxy *Proxy
}

func (w *world) ip(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.options.LoopbackNet, group, i+1)
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// newWorld starts the stand-ins and the processes. The world returned with an error has to be closed too, if not nil.
func newWorld(opt Options) (*world, error) {
	w := &world{options: opt, shape: opt.Shape.withDefaults(), random: rand.New(rand.NewPCG(opt.Seed, 1)), store: standin.NewStore(), check: newChecker(opt.Shape), storeDisturbanceEnd: time.Now()}
	w.check.disturbedAt = func(entry int) time.Time { return w.entries()[entry].disturbed() }
	ln, err := net.Listen("tcp4", hostPort(w.ip(9, 0), storePort))
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: w.store}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	if opt.WithdrawKeys {
		w.keys = &keyring{withdrawnAt: map[string]time.Time{}}
		w.check.keys = w.keys
		w.keys.rotate(w.writeKeys)
	} else {
		w.writeConfig()
	}
	for i := range w.shape.Engines + w.shape.PlainServices {
		if err := w.addRunner(i); err != nil {
			return w, err
		}
	}
	for i := range w.shape.allEntries() {
		if err := w.addProcess("entry", i, w.ip(1, i), i < w.shape.Entries); err != nil {
			return w, err
		}
		w.entryAddresses = append(w.entryAddresses, hostPort(w.ip(1, i), frontPort))
	}
	for i := range w.shape.Engines {
		if err := w.addProcess("sidecar", i, w.ip(2, i), true); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) addRunner(i int) error {
	isPlain := i >= w.shape.Engines
	settings := standin.RunnerSettings{
		Service: "llm", Zone: zone(i), ListedAddress: hostPort(w.ip(2, i), runnerPort), ListenAddress: hostPort(w.ip(3, i), runnerPort), Slots: 32,
		MemoryMB: 200, AdapterSlots: 3, Models: modelSizes, FetchTime: 800 * time.Millisecond, DiskTime: 150 * time.Millisecond, WorkTime: w.shape.EventTime,
	}
	models := []string{fmt.Sprintf("m%d", i%len(modelSizes)), fmt.Sprintf("m%d", (i+1)%len(modelSizes))}
	if isPlain {
		settings.Service, settings.Slots, models = "loans", 6, nil
	}
	r := &runner{Runner: standin.NewRunner(settings, w.store, w.check.observer(), models...)}
	if err := r.Start(); err != nil {
		return err
	}
	proxy, err := NewProxy(settings.ListedAddress, settings.ListenAddress)
	if err != nil {
		return err
	}
	r.proxy = proxy
	w.runners = append(w.runners, r)
	return nil
}

// entries returns the processes that serve callers, with those that are added later.
func (w *world) entries() []*process { return w.processes[:w.shape.allEntries()] }

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

func (w *world) addProcess(role string, i int, ip string, start bool) error {
	name := fmt.Sprintf("%s-%d", role, i)
	storeAddress := hostPort(w.ip(4, len(w.processes)), storePort)
	proxy, err := NewProxy(storeAddress, hostPort(w.ip(9, 0), storePort))
	if err != nil {
		return err
	}
	w.storeProxies = append(w.storeProxies, proxy)
	settings := filepath.Join(w.options.Dir, name+".toml")
	if err := os.WriteFile(settings, []byte(w.processSettings(name, ip, i, storeAddress, role == "sidecar").File()), 0o644); err != nil {
		return err
	}
	p := &process{name: name, role: role, binary: w.options.Binary, settings: settings, logs: w.options.Dir, onExit: func(d string) { w.check.recordViolation("process", d) }}
	w.processes = append(w.processes, p)
	if !start {
		p.exited = make(chan struct{})
		close(p.exited)
		return nil
	}
	return p.start()
}

var modelSizes = map[string]float64{"m0": 70, "m1": 70, "m2": 60, "m3": 60, "m4": 50, "m5": 50}

// writeConfig writes the next version of the configuration, in which the prefix of route "new" names the version.
func (w *world) writeConfig() { w.writeKeys() }

// writeKeys is writeConfig with a tenant that has the keys. Without keys there is no tenant.
func (w *world) writeKeys(keys ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.versionWritten = time.Now()
	attempts := w.shape.MaxAttempts
	config := standin.Config(w.version, []standin.Route{
		{Name: "report", Prefix: "/report/", Kind: standin.Streaming, Service: "llm", Timeout: 5 * time.Second, MaxAttempts: attempts, Resumable: !w.shape.NotResumable},
		{Name: "chat", Prefix: "/chat/", Kind: standin.Streaming, Service: "llm", Timeout: 5 * time.Second, MaxAttempts: 1},
		{Name: "loan", Prefix: "/loan/", Kind: standin.NonIdempotent, Service: "loans", Timeout: 2 * time.Second, MaxAttempts: attempts},
		{Name: "lookup", Prefix: "/lookup/", Kind: standin.Idempotent, Service: "loans", Timeout: 2 * time.Second, MaxAttempts: attempts},
		{Name: "new", Prefix: fmt.Sprintf("/v%d/", w.version), Kind: standin.Idempotent, Service: "loans", Timeout: 2 * time.Second, MaxAttempts: attempts},
	}, modelSizes)
	if len(keys) > 0 {
		config = standin.WithTenants(config, standin.TenantKeys{Name: tenantName, Keys: keys})
	}
	w.config = config
	w.store.Put("config", "main", config)
}

// processSettings returns the settings of process i of a role.
func (w *world) processSettings(name, ip string, i int, store string, sidecar bool) standin.Settings {
	s := standin.Settings{Name: name, IP: ip, Zone: zone(i), PeerPort: peerPort, Front: hostPort(ip, frontPort), Ready: hostPort(ip, readyPort), Store: store, Retries: w.shape.Retries}
	if w.options.WithdrawKeys {
		s.RevokeDelay = revokeDelay
	}
	if sidecar {
		s.Upstream = hostPort(ip, runnerPort)
	}
	return s
}

// newestRoute returns a path of the newest version's route and the time from which that route has to be active.
func (w *world) newestRoute(now time.Time) (string, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("/v%d/x", w.version), w.versionWritten.Add(configDelay)
}

// storeUndisturbedSince reports whether the store has not been disturbed since t.
func (w *world) storeUndisturbedSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeDisturbanceEnd.IsZero() && w.storeDisturbanceEnd.Before(t)
}

// startRunnerDisturbance records the start of a disturbance of a runner or of a link to one. The returned function
// records its end.
func (w *world) startRunnerDisturbance() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runnerDisturbances++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.runnerDisturbances--
		w.runnerDisturbanceEnd = time.Now()
	}
}

// runnersUndisturbedSince reports whether no runner and no link to one has been disturbed since t.
func (w *world) runnersUndisturbedSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runnerDisturbances == 0 && w.runnerDisturbanceEnd.Before(t)
}

// markStoreDisturbed records a disturbance of the store, which lasts until a call with ended.
func (w *world) markStoreDisturbed(ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDisturbanceEnd = time.Time{}
	if ended {
		w.storeDisturbanceEnd = time.Now()
	}
}

func (w *world) close() {
	for _, p := range w.processes {
		p.signal(9, true)
	}
	for _, p := range w.processes {
		<-p.done()
	}
	for _, l := range w.storeProxies {
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

// isReady probes an entry's readiness as the balancer does.
func (w *world) isReady(i int) bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + strings.Replace(w.entryAddresses[i], fmt.Sprint(frontPort), fmt.Sprint(readyPort), 1) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
