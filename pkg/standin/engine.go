// Package standin implements small stand-ins for the platform's services and the upstreams, for tests, benchmarks and
// the demo. Faults are injected in process or over HTTP below /standin.
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
	// MemoryBytes is the memory used by a loaded model, weights and KV reserve together.
	MemoryBytes int64 `json:"memoryBytes"`
	// Tier is where the checkpoint is stored; empty for the weight store.
	Tier engine.Tier `json:"tier,omitempty"`
	// Accelerators is the number of accelerators that a replica occupies; 0 counts as 1.
	Accelerators int `json:"accelerators,omitempty"`
}

// EngineAdapter is an adapter that an engine stand-in can load.
type EngineAdapter struct {
	Model       string `json:"model"`
	MemoryBytes int64  `json:"memoryBytes"`
}

// EngineOptions configure an engine stand-in. A zero value selects the default given for the field.
type EngineOptions struct {
	MemoryBytes   int64         // memory capacity; default 80 GiB
	Slots         int           // concurrently running calls; default 8
	TokenInterval time.Duration // time between two tokens; default 10 ms
	FirstToken    time.Duration // time from the assignment of a slot to the first token; default 0
	Tokens        int           // tokens in the answer to a call without max_tokens; default 16
	Models        map[string]EngineModel
	Adapters      map[string]EngineAdapter
	// DefaultModelBytes and DefaultAdapterBytes are the sizes of targets that are not in Models and Adapters;
	// default 1 GiB and 32 MiB.
	DefaultModelBytes   int64
	DefaultAdapterBytes int64
	// MemorySpeed and DiskSpeed are the load speeds from host memory and disk in bytes per second; default 16 GiB and
	// 4 GiB.
	MemorySpeed, DiskSpeed int64
	// EnforceFence makes the engine refuse an order whose fencing number is not higher than that of every earlier order.
	EnforceFence bool
	// ServeUnloaded makes the engine answer calls for targets that are not loaded, for demonstrations without orders.
	ServeUnloaded bool
	// DisconnectGrace is how long a call continues after its client has disconnected; default 5 s.
	DisconnectGrace time.Duration
	// ResumeRetention is how long a finished call can still be resumed; default 10 s.
	ResumeRetention time.Duration
	// OrderLinger is how long a load continues after the connection of its order has closed, at most
	// engine.OrderDropDelay.
	OrderLinger time.Duration
	Weights     Fetcher // nil for a weight store of the engine's own
	// ReplicaCounter counts this engine's replicas together with those of other engines; nil for none.
	ReplicaCounter *ReplicaCounter
	// Exit is called after a crash with EngineFaults.ExitOnCrash.
	Exit func()
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.MemoryBytes, 80<<30)
	setDefault(&o.Slots, 8)
	setDefault(&o.TokenInterval, 10*time.Millisecond)
	setDefault(&o.Tokens, 16)
	setDefault(&o.DefaultModelBytes, 1<<30)
	setDefault(&o.DefaultAdapterBytes, 32<<20)
	setDefault(&o.MemorySpeed, 16<<30)
	setDefault(&o.DiskSpeed, 4<<30)
	setDefault(&o.DisconnectGrace, 5*time.Second)
	setDefault(&o.ResumeRetention, 10*time.Second)
	o.OrderLinger = min(o.OrderLinger, engine.OrderDropDelay)
	if o.Weights == nil {
		o.Weights = NewWeightStore(0)
	}
	return o
}

func setDefault[T int | int64 | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// EngineFaults are the faults of an engine stand-in.
type EngineFaults struct {
	// CrashMarker is a text that crashes the engine when a call with the text in its prompt starts to run; empty for
	// none.
	CrashMarker string `json:"crashMarker"`
	// ExitOnCrash ends the process after a crash.
	ExitOnCrash bool `json:"exitOnCrash"`
	// OrderDelayMS delays the effect of each order, in ms. The order is executed even if its connection has closed
	// meanwhile, but dropped if the delay exceeds engine.OrderDropDelay.
	OrderDelayMS int64 `json:"orderDelayMs"`
	// LoseOrders is the number of next orders that take effect without an answer.
	LoseOrders int `json:"loseOrders"`
	// Truncate is the number of next answers that are truncated in the middle while the engine keeps running.
	Truncate int `json:"truncate"`
}

// EngineCounts are the counters of an engine stand-in.
type EngineCounts struct {
	Calls   uint64 `json:"calls"`
	Resumes uint64 `json:"resumes"`
	Done    uint64 `json:"done"`
	Cancels uint64 `json:"cancels"`
	Loads   uint64 `json:"loads"`
	Unloads uint64 `json:"unloads"`
	Crashes uint64 `json:"crashes"`
	// Overcommits counts load orders that were refused because they exceed the memory capacity.
	Overcommits uint64 `json:"overcommits"`
	// StaleFences counts orders with an old fencing number, whether refused or not.
	StaleFences uint64 `json:"staleFences"`
	// NotLoaded counts calls for targets that were not loaded.
	NotLoaded uint64 `json:"notLoaded"`
	// IdleSeconds is the time in seconds for which replicas occupied accelerators without a call, summed over
	// accelerators.
	IdleSeconds float64 `json:"idleSeconds"`
}

// Engine is a model engine stand-in that speaks the protocol of package engine/openai. It is safe for concurrent use.
type Engine struct {
	options EngineOptions
	conns   *Conns

	mu           sync.Mutex
	epoch        string
	epochCtx     context.Context // cancelled at the end of the epoch
	endEpoch     context.CancelFunc
	resident     map[engine.Target]*residentTarget
	idleUpdated  time.Time // time up to which counts.IdleSeconds is accumulated
	highestFence uint64    // highest fencing number received in this epoch
	calls        map[string]*engineCall
	runningCalls int
	waitingCalls []*engineCall
	lastSeq      uint64
	importedKV   map[string]bool // set of models and prompts whose KV cache was imported
	faults       EngineFaults
	counts       EngineCounts
}

// NewEngine returns an engine with no loaded targets. Faults also apply to the connections in conns, which may be nil.
func NewEngine(o EngineOptions, conns *Conns) *Engine {
	e := &Engine{options: o.withDefaults(), conns: conns, idleUpdated: time.Now()}
	e.startEpoch()
	return e
}

// startEpoch ends the current epoch, if any, and starts a new one without loaded targets and calls.
func (e *Engine) startEpoch() {
	if e.endEpoch != nil {
		e.endEpoch()
	}
	for t := range e.resident {
		e.remove(t)
	}
	e.epoch = uuid.NewString()
	e.epochCtx, e.endEpoch = context.WithCancel(context.Background())
	e.resident = map[engine.Target]*residentTarget{}
	e.calls = map[string]*engineCall{}
	e.importedKV = map[string]bool{}
	e.waitingCalls, e.runningCalls, e.highestFence = nil, 0, 0
}

// Crash ends the epoch as a crash of the process does: connections are reset, loaded targets and calls are discarded.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.counts.Crashes++
	e.startEpoch()
	exit := e.faults.ExitOnCrash && e.options.Exit != nil
	e.mu.Unlock()
	if e.conns != nil {
		e.conns.Reset()
	}
	if exit {
		e.options.Exit()
	}
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns the counters, summed over all epochs.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateIdleSeconds()
	return e.counts
}

// Handler returns the HTTP interface: calls below /v1; orders, the listing and KV caches below /admin; and below
// /standin GET counts, GET and PUT faults, POST silence (Conns.Blackhole) and POST crash.
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
	mux.HandleFunc("POST /standin/silence", blackholeHandler(e.conns))
	mux.HandleFunc("POST /standin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	return mux
}

// apiError answers with an error in the OpenAI format, in which code identifies the cause.
func apiError(w http.ResponseWriter, status int, code, format string, args ...any) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"code": code, "message": fmt.Sprintf(format, args...)}})
}
