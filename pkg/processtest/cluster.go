package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

// Ports of a cluster as offsets from its first port. The stand-ins listen on consecutive ports. Each blank entry is the
// port of the second stand-in of its kind.
const (
	portStore = iota
	portVMs
	portWeights
	portSummary
	portEngine
	_
	portPlain
	_
	portDaemons
	portCount = portDaemons + 12
)

// Names and sizes in the configuration of a cluster.
const (
	Model        = "reading-aid-01"
	OtherModel   = "reading-aid-02"
	callerName   = "van"
	callerKey    = "example-key"
	groupModels  = "reading-aid"
	groupPlain   = "circulation"
	serviceLoans = "loans"
	gib          = 1 << 30
)

// MaxWait is the longest time that a caller may wait according to the configuration.
const MaxWait = 10 * time.Second

// startTimeout bounds the first apply, which is retried until the object API responds.
const startTimeout = 15 * time.Second

// Node is one process of the daemon, a router or an agent. An agent has a stand-in as its upstream.
type Node struct {
	Process
	// Addr is the address, ip:port, to which callers (of a router) or peers (of an agent) connect. Ops is the URL of the
	// operators' port.
	Addr, Ops string
	// Standin is the URL of the upstream's stand-in; empty for a router.
	Standin string
}

// Cluster is a platform of stand-ins with two routers, two agents beside model engines and two agents beside a plain
// service.
type Cluster struct {
	Routers, EngineAgents, PlainAgents []*Node

	bin, dir string
	base     int // first port
	platform Process
}

// NewCluster returns a cluster that runs the binaries in bin and stores its files in dir. It starts no process.
func NewCluster(bin, dir string) (*Cluster, error) {
	base, err := freePorts(portCount)
	if err != nil {
		return nil, err
	}
	c := &Cluster{bin: bin, dir: dir, base: base}
	port := base + portDaemons
	for i, vm := range []string{"router-01", "router-02", "engine-01", "engine-02", "plain-01", "plain-02"} {
		n := &Node{Addr: addr(port), Ops: "http://" + addr(port+1)}
		n.Process = Process{Name: vm, path: filepath.Join(bin, "hibiscuscrossd")}
		port += 2
		switch index := i % 2; i / 2 {
		case 0:
			n.args = c.daemonArgs("router", vm, n, "--shutdown-delay", "0s")
			c.Routers = append(c.Routers, n)
		case 1:
			n.Standin = c.url(portEngine + index)
			n.args = c.daemonArgs("agent", vm, n, "--group", groupModels, "--engine", n.Standin)
			c.EngineAgents = append(c.EngineAgents, n)
		case 2:
			n.Standin = c.url(portPlain + index)
			n.args = c.daemonArgs("agent", vm, n, "--group", groupPlain, "--engine", n.Standin, "--engine-module", "engine.plain")
			c.PlainAgents = append(c.PlainAgents, n)
		}
	}
	return c, nil
}

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (c *Cluster) url(port int) string { return "http://" + addr(c.base+port) }

func (c *Cluster) daemonArgs(role, vm string, n *Node, extra ...string) []string {
	file := func(name string) string { return filepath.Join(c.dir, name) }
	return append([]string{role, "--cert", file(vm + ".pem"), "--key", file(vm + "-key.pem"), "--ca", file("ca.pem"), "--vm", vm,
		"--region", "lagos", "--zone", "lagos-1", "--listen", n.Addr, "--ops-listen", n.Ops[len("http://"):],
		"--store-url", c.url(portStore), "--vm-list-url", c.url(portVMs)}, extra...)
}

// AddArgs adds command-line arguments, which take effect when the process is started next.
func (n *Node) AddArgs(args ...string) { n.args = append(n.args, args...) }

// Nodes returns the agents and routers.
func (c *Cluster) Nodes() []*Node {
	var all []*Node
	return append(append(append(all, c.EngineAgents...), c.PlainAgents...), c.Routers...)
}

// Start starts the stand-ins, applies the configuration with a limit of two replicas per model and starts the daemon's
// processes, but does not wait until they are ready. The engines produce one token per interval.
func (c *Cluster) Start(interval time.Duration) error {
	if err := c.startPlatform(interval); err != nil {
		return err
	}
	if err := c.Apply(0, Configuration(2), startTimeout); err != nil {
		return err
	}
	for _, n := range c.Nodes() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startPlatform(interval time.Duration) error {
	standins := filepath.Join(c.bin, "hibiscuscross-standin")
	certs := []string{"certs", c.dir}
	for _, n := range c.Nodes() {
		certs = append(certs, n.Name)
	}
	if out, err := exec.Command(standins, certs...).CombinedOutput(); err != nil {
		return fault.Wrap(err, fault.StepSettings, c.dir, "write certificates: "+string(out))
	}
	catalogue := filepath.Join(c.dir, "catalogue.json")
	models := map[string]standin.EngineModel{}
	for _, m := range []string{Model, OtherModel} {
		models[m] = standin.EngineModel{MemoryBytes: gib, Tier: engine.TierDisk}
	}
	if err := writeJSON(catalogue, standin.Catalogue{Models: models}); err != nil {
		return err
	}
	c.platform = Process{Name: "platform", path: standins, args: []string{"all", "--base-port", fmt.Sprint(c.base),
		"--engines", "2", "--plains", "2", "--routers", "2", "--zones", "lagos/lagos-1", "--catalogue", catalogue,
		"--token-interval", interval.String(), "--weight-speed", fmt.Sprint(16 * gib)}}
	return c.platform.Start()
}

// Configuration returns the cluster's configuration with the given replica limit for both models.
func Configuration(maxReplicas int) config.Config {
	c := config.Config{
		APIVersion: config.APIVersion, Deployment: "process-test", Weights: config.Weights{ColdStart: 1},
		Limits: config.Limits{MaxWaitMS: MaxWait.Milliseconds(), UpstreamMemoryBytes: 16 * gib},
		Groups: []config.Group{{Name: groupModels, Kind: config.GroupModels}, {Name: groupPlain, Kind: config.GroupPlain}},
		Services: []config.Service{
			{Name: "summaries", Group: groupModels, Models: []string{Model, OtherModel}, MaxWaitMS: MaxWait.Milliseconds()},
			{Name: serviceLoans, Group: groupPlain, MaxWaitMS: MaxWait.Milliseconds(), Calls: []config.Call{{Method: "POST", PathPrefix: "/loans", NonIdempotent: true}}},
		},
		Callers: []config.Caller{{Name: callerName, KeySHA256: config.Digest([]byte(callerKey)), Services: []string{"summaries", serviceLoans}}},
	}
	for _, m := range []string{Model, OtherModel} {
		c.Models = append(c.Models, config.Model{Name: m, Group: groupModels, MaxReplicas: maxReplicas, MemoryBytes: gib, KVReserveBytes: gib / 4, Accelerators: 1})
	}
	return c
}

// Apply runs hibiscuscrossctl apply with a document that is based on version base. The error contains the output of the
// command.
func (c *Cluster) Apply(base uint64, doc config.Config, timeout time.Duration) error {
	file := filepath.Join(c.dir, fmt.Sprintf("config-%d.json", base))
	if err := writeJSON(file, doc); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(c.bin, "hibiscuscrossctl"), "--store", c.url(portStore), "--timeout", timeout.String(),
		"apply", "--base", fmt.Sprint(base), file)
	out, err := cmd.CombinedOutput()
	return fault.Wrap(err, fault.StepConfig, "", "apply configuration: "+string(out))
}

func writeJSON(file string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, file, "encode")
	}
	return fault.Wrap(os.WriteFile(file, b, 0o600), fault.StepSettings, file, "write")
}

// Stop kills all processes.
func (c *Cluster) Stop() {
	for _, n := range c.Nodes() {
		if n.cmd != nil {
			_ = n.Kill()
		}
	}
	if c.platform.cmd != nil {
		_ = c.platform.Kill()
	}
}

// Logs returns the output of the agents and routers.
func (c *Cluster) Logs() string {
	var b bytes.Buffer
	for _, n := range c.Nodes() {
		fmt.Fprintf(&b, "== %s\n%s", n.Name, n.Log())
	}
	return b.String()
}
