package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

type storeCmd struct {
	Listen     string        `help:"Address, ip:port." default:"127.0.0.1:9100"`
	Log        int           `help:"Changes kept for watches; older revisions are compacted." default:"10000"`
	Down       bool          `help:"Fail each call without effect."`
	Delay      time.Duration `help:"Delay of each call."`
	LoseWrites int           `help:"Number of next writes that take effect and lose their answer."`
	StaleReads uint64        `help:"Number of revisions by which reads lag."`
}

// Run serves until a signal arrives.
func (c *storeCmd) Run() error {
	m := standin.NewMemStore(c.Log)
	m.SetFaults(standin.StoreFaults{Down: c.Down, DelayMS: c.Delay.Milliseconds(), LoseWrites: c.LoseWrites, StaleReads: c.StaleReads})
	conns := &standin.Conns{}
	return serve(c.Listen, (&standin.StoreServer{Store: m, Conns: conns}).Handler(), conns)
}

type vmsCmd struct {
	Listen string        `help:"Address, ip:port." default:"127.0.0.1:9101"`
	File   string        `help:"JSON file with the list of VMs at the start." type:"existingfile"`
	Lag    time.Duration `help:"Time by which the list lags."`
	Delay  time.Duration `help:"Delay of each answer."`
	Down   bool          `help:"Fail each read."`
}

// Run serves until a signal arrives.
func (c *vmsCmd) Run() error {
	var vms []vmlist.VM
	if err := readFile(c.File, &vms); err != nil {
		return err
	}
	s := standin.NewVMList(vms...)
	s.SetFaults(standin.VMFaults{LagMS: c.Lag.Milliseconds(), DelayMS: c.Delay.Milliseconds(), Down: c.Down})
	return serve(c.Listen, s.Handler(), nil)
}

type weightsCmd struct {
	Listen string  `help:"Address, ip:port." default:"127.0.0.1:9102"`
	Speed  int64   `help:"Full speed of one model load, bytes per second." default:"1073741824"`
	Slow   float64 `help:"Factor by which loads are slowed." default:"1"`
	Down   bool    `help:"Fail each load."`
}

// Run serves until a signal arrives.
func (c *weightsCmd) Run() error {
	w := standin.NewWeightStore(c.Speed)
	w.SetFaults(standin.WeightFaults{Slow: c.Slow, Down: c.Down})
	return serve(c.Listen, w.Handler(), nil)
}

// engineFlags are the flags common to the commands engine and all.
type engineFlags struct {
	TokenInterval time.Duration `help:"Time between two tokens." default:"10ms"`
	FirstToken    time.Duration `help:"Time to the first token of a running call."`
	Tokens        int           `help:"Tokens in an answer that sets no max_tokens." default:"16"`
	Slots         int           `help:"Calls run at once." default:"8"`
	MemoryBytes   int64         `help:"Memory capacity, bytes." default:"85899345920"`
	EnforceFence  bool          `help:"Refuse orders with an old fencing number."`
	LeaveGrace    time.Duration `help:"How long a call goes on after its client left." default:"5s"`
	OrderLinger   time.Duration `help:"How long a load goes on after the connection of its order closed."`
}

func (f engineFlags) options() standin.EngineOptions {
	return standin.EngineOptions{
		TokenInterval: f.TokenInterval, FirstToken: f.FirstToken, Tokens: f.Tokens, Slots: f.Slots, MemoryBytes: f.MemoryBytes,
		EnforceFence: f.EnforceFence, DisconnectGrace: f.LeaveGrace, OrderLinger: f.OrderLinger,
	}
}

type engineCmd struct {
	engineFlags
	Listen        string        `help:"Address, ip:port." default:"127.0.0.1:9000"`
	Catalogue     string        `help:"JSON file with models and adapters." type:"existingfile"`
	Weights       string        `help:"URL of a weight store stand-in; an own one if empty."`
	RequireLoaded bool          `help:"Refuse calls of models that no order has loaded."`
	Preload       []string      `help:"Models loaded at the start."`
	CrashMarker   string        `help:"Text in a prompt that crashes the engine."`
	ExitOnCrash   bool          `help:"End the process after a crash."`
	OrderDelay    time.Duration `help:"Delay of each order's effect."`
	LoseOrders    int           `help:"Number of next orders that take effect and lose their answer."`
	Truncate      int           `help:"Number of next answers that are cut off."`
}

// exitStatusCrash is the exit status after the injected crash fault.
const exitStatusCrash = 3

// Run serves until a signal arrives.
func (c *engineCmd) Run() error {
	var catalogue standin.Catalogue
	if err := readFile(c.Catalogue, &catalogue); err != nil {
		return err
	}
	o := c.options()
	o.Models, o.Adapters, o.ServeUnloaded = catalogue.Models, catalogue.Adapters, !c.RequireLoaded
	o.Exit = func() { os.Exit(exitStatusCrash) }
	if c.Weights != "" {
		o.Weights = standin.HTTPFetcher(c.Weights)
	}
	conns := &standin.Conns{}
	e := standin.NewEngine(o, conns)
	for _, model := range c.Preload {
		if err := e.Preload(engine.Target{Model: model}); err != nil {
			return err
		}
	}
	e.SetFaults(standin.EngineFaults{
		CrashMarker: c.CrashMarker, ExitOnCrash: c.ExitOnCrash, OrderDelayMS: c.OrderDelay.Milliseconds(),
		LoseOrders: c.LoseOrders, Truncate: c.Truncate,
	})
	return serve(c.Listen, e.Handler(), conns)
}

type plainCmd struct {
	Listen      string        `help:"Address, ip:port." default:"127.0.0.1:9200"`
	Delay       time.Duration `help:"Delay of each call's effect."`
	LoseAnswers int           `help:"Number of next calls that take effect and lose their answer."`
	Truncate    int           `help:"Number of next answers that are cut off."`
}

// Run serves until a signal arrives.
func (c *plainCmd) Run() error {
	conns := &standin.Conns{}
	p := standin.NewPlain(conns)
	p.SetFaults(standin.PlainFaults{DelayMS: c.Delay.Milliseconds(), LoseAnswers: c.LoseAnswers, Truncate: c.Truncate})
	return serve(c.Listen, p.Handler(), conns)
}

type allCmd struct {
	engineFlags
	Host        string        `help:"Loopback address to listen on." default:"127.0.0.1"`
	BasePort    int           `help:"First port: store, VM list, weight store, summary, then engines and plain services." default:"19100"`
	Engines     int           `help:"Number of model engines." default:"3"`
	Plains      int           `help:"Number of plain services." default:"1"`
	Routers     int           `help:"Number of entry VMs in the VM list." default:"1"`
	Zones       []string      `help:"Availability zones as region/zone." default:"lagos/lagos-1,ibadan/ibadan-1,enugu/enugu-1"`
	Catalogue   string        `help:"JSON file with models and adapters; generated if empty." type:"existingfile"`
	Prefix      string        `help:"Prefix of generated model names." default:"reading-aid"`
	Models      int           `help:"Number of generated models." default:"30"`
	Adapters    int           `help:"Number of generated adapters." default:"60"`
	ModelBytes  int64         `help:"Largest generated model, bytes." default:"17179869184"`
	Seed        uint64        `help:"Seed of the generated catalogue." default:"1"`
	WeightSpeed int64         `help:"Full speed of one load from the weight store, bytes per second." default:"1073741824"`
	VMLag       time.Duration `help:"Time by which the VM list lags." name:"vm-lag"`
}

// Run prints the endpoints as JSON and serves until a signal arrives.
func (c *allCmd) Run() error {
	if err := checkLoopback(c.Host + ":0"); err != nil {
		return err
	}
	var catalogue standin.Catalogue
	if err := readFile(c.Catalogue, &catalogue); err != nil {
		return err
	}
	if c.Catalogue == "" {
		catalogue = standin.NewCatalogue(c.Prefix, c.Models, c.Adapters, c.ModelBytes, c.Seed)
	}
	d, err := standin.NewDeployment(standin.DeploymentOptions{
		Host: c.Host, BasePort: c.BasePort, Engines: c.Engines, Plains: c.Plains, Routers: c.Routers, Zones: c.Zones,
		Catalogue: catalogue, Engine: c.options(), WeightSpeed: c.WeightSpeed,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	d.VMs.SetFaults(standin.VMFaults{LagMS: c.VMLag.Milliseconds()})
	if err := json.NewEncoder(os.Stdout).Encode(d.Endpoints); err != nil {
		return err
	}
	waitForSignal()
	return nil
}
