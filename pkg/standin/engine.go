// Package standin holds small stand-ins for the platform and the upstreams, for tests, benchmarks and the demo. Their
// faults can be set in process or over HTTP below /standin.
package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

// EngineModel is a model that an engine stand-in can load.
type EngineModel struct {
	// MemoryBytes is what a load takes, weights and KV reserve together.
	MemoryBytes int64 `json:"memoryBytes"`
	// Tier is where the checkpoint lies; empty for remote.
	Tier engine.Tier `json:"tier,omitempty"`
	// Accelerators is how many accelerators a replica holds; 0 counts as 1.
	Accelerators int `json:"accelerators,omitempty"`
}

// EngineAdapter is an adapter that an engine stand-in can load.
type EngineAdapter struct {
	Model       string `json:"model"`
	MemoryBytes int64  `json:"memoryBytes"`
}

// EngineOptions set an engine stand-in. Zero values get the defaults named.
type EngineOptions struct {
	MemoryBytes   int64         // capacity; 80 GiB
	Slots         int           // calls run at once; 8
	TokenInterval time.Duration // time between two tokens; 10 ms
	FirstToken    time.Duration // time to the first token of a running call
	Tokens        int           // tokens in an answer that sets no max_tokens; 16
	Models        map[string]EngineModel
	Adapters      map[string]EngineAdapter
	// DefaultModelBytes and DefaultAdapterBytes are the sizes of targets not listed; 1 GiB and 32 MiB.
	DefaultModelBytes   int64
	DefaultAdapterBytes int64
	// MemorySpeed and DiskSpeed are the load speeds of these tiers, bytes per second; 16 GiB and 4 GiB.
	MemorySpeed, DiskSpeed int64
	// EnforceFence makes the engine refuse orders whose fencing number is not above all earlier ones.
	EnforceFence bool
	// ServeUnloaded answers calls of targets that are not loaded, for demonstrations without orders.
	ServeUnloaded bool
	// DisconnectGrace is how long a call goes on after its client left; 5 s.
	DisconnectGrace time.Duration
	// ResumeRetention is how long a finished call can be resumed; 10 s.
	ResumeRetention time.Duration
	// OrderLinger is how long a load goes on after the connection of its order closed, at most engine.OrderSettle.
	OrderLinger time.Duration
	Weights     Fetcher // an own weight store if nil
	// ReplicaCounter counts this engine's replicas together with those of others; nil for none.
	ReplicaCounter *ReplicaCounter
	// Exit is called after a crash with EngineFaults.ExitOnCrash.
	Exit func()
}

func (o EngineOptions) withDefaults() EngineOptions {
	orElse(&o.MemoryBytes, 80<<30)
	orElse(&o.Slots, 8)
	orElse(&o.TokenInterval, 10*time.Millisecond)
	orElse(&o.Tokens, 16)
	orElse(&o.DefaultModelBytes, 1<<30)
	orElse(&o.DefaultAdapterBytes, 32<<20)
	orElse(&o.MemorySpeed, 16<<30)
	orElse(&o.DiskSpeed, 4<<30)
	orElse(&o.DisconnectGrace, 5*time.Second)
	orElse(&o.ResumeRetention, 10*time.Second)
	o.OrderLinger = min(o.OrderLinger, engine.OrderDropDelay)
	if o.Weights == nil {
		o.Weights = NewWeightStore(0)
	}
	return o
}

func orElse[T int | int64 | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// EngineFaults are the faults of an engine stand-in.
type EngineFaults struct {
	// CrashMarker crashes the engine when a call whose prompt contains it starts to run; empty for none.
	CrashMarker string `json:"crashMarker"`
	// ExitOnCrash ends the process after a crash.
	ExitOnCrash bool `json:"exitOnCrash"`
	// OrderDelayMS delays the effect of each order, ms, even if its connection has closed meanwhile. Over
	// engine.OrderSettle an order is dropped.
	OrderDelayMS int64 `json:"orderDelayMs"`
	// LoseOrders is how many of the next orders take effect and lose their answer.
	LoseOrders int `json:"loseOrders"`
	// Truncate is how many of the next answers are cut off in the middle while the engine lives on.
	Truncate int `json:"truncate"`
}

// EngineCounts are what an engine stand-in has seen.
type EngineCounts struct {
	Calls   uint64 `json:"calls"`
	Resumes uint64 `json:"resumes"`
	Done    uint64 `json:"done"`
	Cancels uint64 `json:"cancels"`
	Loads   uint64 `json:"loads"`
	Unloads uint64 `json:"unloads"`
	Crashes uint64 `json:"crashes"`
	// Overcommits counts load orders over the memory capacity. They are refused.
	Overcommits uint64 `json:"overcommits"`
	// StaleFences counts orders with an old fencing number, whether refused or not.
	StaleFences uint64 `json:"staleFences"`
	// NotLoaded counts calls of targets that were not loaded.
	NotLoaded uint64 `json:"notLoaded"`
	// IdleSeconds is the time that accelerators held a replica without a call, summed over accelerators, s.
	IdleSeconds float64 `json:"idleSeconds"`
}

// Engine is a model engine stand-in that speaks the protocol of package engine/openai. It is safe for concurrent use.
type Engine struct {
	options EngineOptions
	conns   *Conns

	mu       sync.Mutex
	epoch    string
	life     context.Context // ends with the epoch
	end      context.CancelFunc
	resident map[engine.Target]*residentTarget
	accrued  time.Time // until when counts.IdleSeconds is summed up
	fence    uint64    // highest seen in this epoch
	calls    map[string]*engineCall
	running  int
	waiting  []*engineCall
	seq      uint64
	imported map[string]bool // prompts whose KV cache was imported
	faults   EngineFaults
	counts   EngineCounts
}

// NewEngine returns an engine without residents. Faults reach the connections in conns, which may be nil.
func NewEngine(o EngineOptions, conns *Conns) *Engine {
	e := &Engine{options: o.withDefaults(), conns: conns, accrued: time.Now()}
	e.reset()
	return e
}

// reset starts a new epoch.
func (e *Engine) reset() {
	if e.end != nil {
		e.end()
	}
	for t := range e.resident {
		e.remove(t)
	}
	e.epoch = uuid.NewString()
	e.life, e.end = context.WithCancel(context.Background())
	e.resident = map[engine.Target]*residentTarget{}
	e.calls = map[string]*engineCall{}
	e.imported = map[string]bool{}
	e.waiting, e.running, e.fence = nil, 0, 0
}

// Crash ends the epoch as a crash of the process does: connections are reset, and residents and calls are forgotten.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.counts.Crashes++
	e.reset()
	exit := e.faults.ExitOnCrash && e.options.Exit != nil
	e.mu.Unlock()
	if e.conns != nil {
		e.conns.Reset()
	}
	if exit {
		e.options.Exit()
	}
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns what was seen so far, over all epochs.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accrue()
	return e.counts
}

// Handler returns the HTTP interface: the calls below /v1, orders and the listing below /admin, and below /standin
// GET counts, GET and PUT faults, POST silence and POST crash.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCall)
	mux.HandleFunc("POST /v1/completions", e.serveCall)
	mux.HandleFunc("POST /admin/orders", e.serveOrder)
	mux.HandleFunc("GET /admin/listing", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Listing()) })
	mux.HandleFunc("GET /admin/kv/{request}", e.exportKV)
	mux.HandleFunc("POST /admin/kv", e.importKV)
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Counts()) })
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		f := e.faults
		e.mu.Unlock()
		writeJSON(w, http.StatusOK, f)
	})
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if readJSON(w, r, &f) {
			e.SetFaults(f)
			writeJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("POST /standin/silence", silenceHandler(e.conns))
	mux.HandleFunc("POST /standin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	return mux
}

// apiError answers with an error in the OpenAI format. Code tells the causes apart.
func apiError(w http.ResponseWriter, status int, code, format string, args ...any) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"code": code, "message": fmt.Sprintf(format, args...)}})
}
