package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// ReplicaCounter counts the replicas of each model over several engines, including those being loaded. A nil
// ReplicaCounter counts nothing. It is safe for concurrent use.
type ReplicaCounter struct {
	mu      sync.Mutex
	current map[string]int
	peak    map[string]int
}

func (r *ReplicaCounter) change(model string, delta int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		r.current, r.peak = map[string]int{}, map[string]int{}
	}
	r.current[model] += delta
	r.peak[model] = max(r.peak[model], r.current[model])
}

// Peak returns the highest number of simultaneous replicas of each model.
func (r *ReplicaCounter) Peak() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for model, n := range r.peak {
		out[model] = n
	}
	return out
}

// Catalogue lists the models and adapters that the engines of a deployment can load.
type Catalogue struct {
	Models   map[string]EngineModel   `json:"models"`
	Adapters map[string]EngineAdapter `json:"adapters"`
}

// NewCatalogue returns models named prefix-01 and so on, and adapters named prefix-adapter-01 and so on, which are
// distributed over the models. Model sizes are random between half of modelBytes and modelBytes, and the tiers of the
// checkpoints are random too; both depend on the seed.
func NewCatalogue(prefix string, models, adapters int, modelBytes int64, seed uint64) Catalogue {
	r := rand.New(rand.NewPCG(seed, 0))
	c := Catalogue{Models: map[string]EngineModel{}, Adapters: map[string]EngineAdapter{}}
	tiers := []engine.Tier{engine.TierMemory, engine.TierDisk, engine.TierStore, engine.TierStore}
	name := func(i int) string { return fmt.Sprintf("%s-%02d", prefix, i+1) }
	for i := range models {
		c.Models[name(i)] = EngineModel{MemoryBytes: modelBytes/2 + r.Int64N(modelBytes/2+1), Tier: tiers[r.IntN(len(tiers))]}
	}
	for i := range adapters {
		c.Adapters[fmt.Sprintf("%s-adapter-%02d", prefix, i+1)] = EngineAdapter{Model: name(i % models), MemoryBytes: modelBytes / 64}
	}
	return c
}

// DeploymentOptions configure a deployment of stand-ins in one process.
type DeploymentOptions struct {
	// Host is the IP address of the servers. They listen on BasePort and the ports after it, or on any free ports if
	// BasePort is 0.
	Host     string
	BasePort int
	Engines  int
	Plains   int
	Routers  int
	// Zones are given as "region/zone"; VMs are assigned to them round robin.
	Zones     []string
	Catalogue Catalogue
	// Engine are the options of each engine. The deployment sets Models, Adapters, Weights and ReplicaCounter itself.
	Engine      EngineOptions
	WeightSpeed int64 // bytes per second of one load; 0 for DefaultWeightSpeed
}

// Endpoint describes one running stand-in. VM is empty for the platform's services.
type Endpoint struct {
	Kind   string `json:"kind"`
	VM     string `json:"vm,omitempty"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	URL    string `json:"url"`
}

// Deployment runs stand-ins for a whole platform and its upstreams in one process. VM ids are engine-NN, plain-NN and
// router-NN.
type Deployment struct {
	Store          *MemStore
	VMs            *VMList
	Weights        *WeightStore
	Engines        []*Engine
	Plains         []*Plain
	ReplicaCounter *ReplicaCounter
	Endpoints      []Endpoint

	options DeploymentOptions
	servers []*Server
}

// Summary contains the counters of a deployment. Overcommits, RepeatedRuns and replicas over the ceiling are violations
// of the system's invariants.
type Summary struct {
	Engines      EngineCounts   `json:"engines"` // sum over all engines
	PeakReplicas map[string]int `json:"peakReplicas"`
	Weights      WeightCounts   `json:"weights"`
	Store        StoreCounts    `json:"store"`
	PlainRuns    int            `json:"plainRuns"`
	RepeatedRuns int            `json:"repeatedRuns"`
}

// NewDeployment starts a deployment. It has to be stopped with Close.
func NewDeployment(o DeploymentOptions) (*Deployment, error) {
	d := &Deployment{Store: NewMemStore(0), VMs: NewVMList(), Weights: NewWeightStore(o.WeightSpeed), ReplicaCounter: &ReplicaCounter{}, options: o}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	conns := &Conns{}
	err := d.serve(Endpoint{Kind: "store"}, (&StoreServer{Store: d.Store, Conns: conns}).Handler(), conns)
	if err == nil {
		err = d.serve(Endpoint{Kind: "vms"}, d.VMs.Handler(), nil)
	}
	if err == nil {
		err = d.serve(Endpoint{Kind: "weights"}, d.Weights.Handler(), nil)
	}
	if err == nil {
		err = d.serve(Endpoint{Kind: "summary"}, d.summaryHandler(), nil)
	}
	for i := 0; err == nil && i < d.options.Engines; i++ {
		conns, o := &Conns{}, d.options.Engine
		o.Models, o.Adapters = d.options.Catalogue.Models, d.options.Catalogue.Adapters
		o.Weights, o.ReplicaCounter = d.Weights, d.ReplicaCounter
		e := NewEngine(o, conns)
		d.Engines = append(d.Engines, e)
		err = d.serve(d.addVM("engine", i), e.Handler(), conns)
	}
	for i := 0; err == nil && i < d.options.Plains; i++ {
		conns := &Conns{}
		p := NewPlain(conns)
		d.Plains = append(d.Plains, p)
		err = d.serve(d.addVM("plain", i), p.Handler(), conns)
	}
	for i := 0; i < d.options.Routers; i++ {
		d.addVM("router", i)
	}
	return err
}

// addVM adds a VM to the VM list and returns its endpoint without a URL.
func (d *Deployment) addVM(kind string, i int) Endpoint {
	location := "region/zone"
	if n := len(d.options.Zones); n > 0 {
		location = d.options.Zones[i%n]
	}
	region, zone, _ := strings.Cut(location, "/")
	e := Endpoint{Kind: kind, VM: fmt.Sprintf("%s-%02d", kind, i+1), Region: region, Zone: zone}
	d.VMs.Set(vmlist.VM{ID: e.VM, Addr: d.options.Host, Region: region, Zone: zone, State: vmlist.StateLive})
	return e
}

func (d *Deployment) serve(e Endpoint, h http.Handler, conns *Conns) error {
	port := 0
	if d.options.BasePort > 0 {
		port = d.options.BasePort + len(d.servers)
	}
	s, err := Serve(net.JoinHostPort(d.options.Host, strconv.Itoa(port)), h, conns)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	e.URL = s.URL()
	d.Endpoints = append(d.Endpoints, e)
	return nil
}

// Summary returns the current counters.
func (d *Deployment) Summary() Summary {
	s := Summary{PeakReplicas: d.ReplicaCounter.Peak(), Weights: d.Weights.Counts(), Store: d.Store.Counts()}
	for _, e := range d.Engines {
		s.Engines.add(e.Counts())
	}
	for _, p := range d.Plains {
		c := p.Counts()
		for _, n := range c.Paths {
			s.PlainRuns += n
		}
	}
	s.RepeatedRuns = d.repeatedRuns()
	return s
}

// repeatedRuns counts the runs beyond the first of each key, over all plain services together.
func (d *Deployment) repeatedRuns() int {
	keys, repeated := map[string]int{}, 0
	for _, p := range d.Plains {
		for key, n := range p.Counts().Keys {
			keys[key] += n
		}
	}
	for _, n := range keys {
		repeated += n - 1
	}
	return repeated
}

func (c *EngineCounts) add(o EngineCounts) {
	c.Calls += o.Calls
	c.Resumes += o.Resumes
	c.Done += o.Done
	c.Cancels += o.Cancels
	c.Loads += o.Loads
	c.Unloads += o.Unloads
	c.Crashes += o.Crashes
	c.Overcommits += o.Overcommits
	c.StaleFences += o.StaleFences
	c.NotLoaded += o.NotLoaded
	c.IdleSeconds += o.IdleSeconds
}

func (d *Deployment) summaryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/summary", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.Summary()) })
	mux.HandleFunc("GET /standin/endpoints", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.Endpoints) })
	mux.HandleFunc("GET /standin/catalogue", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, d.options.Catalogue)
	})
	return mux
}

// Close stops all servers.
func (d *Deployment) Close() {
	for _, s := range d.servers {
		s.Close()
	}
}
