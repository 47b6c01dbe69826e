package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PlainFaults are the faults of a plain service stand-in.
type PlainFaults struct {
	// DelayMS delays the effect of each call, in ms.
	DelayMS int64 `json:"delayMs"`
	// LoseAnswers is the number of next calls that take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// Truncate is the number of next answers that are truncated in the middle.
	Truncate int `json:"truncate"`
}

// PlainCounts are the counters of a plain service stand-in.
type PlainCounts struct {
	// Keys counts runs by Idempotency-Key; Paths by method and path, such as "POST /loans".
	Keys  map[string]int `json:"keys"`
	Paths map[string]int `json:"paths"`
	// Repeated counts the runs beyond the first of each key. It must stay 0.
	Repeated int `json:"repeated"`
}

// PlainRun describes a run of a call and is the body of its answer.
type PlainRun struct {
	// Number is the run's sequence number in the service, starting at 1.
	Number int    `json:"number"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Key    string `json:"key,omitempty"`
	Body   string `json:"body,omitempty"`
}

// maxPlainKeys is the maximum number of keys whose runs are counted, which bounds the memory. Runs with further keys
// are counted by path only.
const maxPlainKeys = 1 << 20

// Plain is a plain service stand-in. It runs each call on any path and answers with a PlainRun, with status 201 for
// POST and 200 for other methods; paths under /missing are answered 404 without a run. Below /standin it serves GET
// counts, GET and PUT faults, and POST silence (Conns.Blackhole). It is safe for concurrent use.
type Plain struct {
	conns *Conns

	mu     sync.Mutex
	runs   int
	faults PlainFaults
	counts PlainCounts
}

// NewPlain returns a service. Faults also apply to the connections in conns, which may be nil.
func NewPlain(conns *Conns) *Plain {
	return &Plain{conns: conns, counts: PlainCounts{Keys: map[string]int{}, Paths: map[string]int{}}}
}

// SetFaults replaces the active faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the active faults.
func (p *Plain) Faults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns a copy of the counters.
func (p *Plain) Counts() PlainCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := PlainCounts{Keys: map[string]int{}, Paths: map[string]int{}, Repeated: p.counts.Repeated}
	for k, n := range p.counts.Keys {
		out.Keys[k] = n
	}
	for k, n := range p.counts.Paths {
		out.Paths[k] = n
	}
	return out
}

// Handler returns the HTTP interface.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", p.serve)
	mux.HandleFunc("/missing/", http.NotFound)
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Faults()) })
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlainFaults
		if readJSON(w, r, &f) {
			p.SetFaults(f)
			writeJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("POST /standin/silence", blackholeHandler(p.conns))
	return mux
}

// serve runs the call. A started run completes even if its client disconnects, as in a real service.
func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if delay := time.Duration(p.Faults().DelayMS) * time.Millisecond; delay > 0 {
		<-time.After(delay)
	}
	run := PlainRun{Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Key: r.Header.Get("Idempotency-Key"), Body: string(body)}
	lose, truncate := p.record(&run)
	if lose {
		panic(http.ErrAbortHandler)
	}
	answer := encodeRun(run)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(statusOf(r.Method))
	if truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.Copy(w, strings.NewReader(answer))
}

func encodeRun(run PlainRun) string {
	b, err := json.Marshal(run)
	if err != nil {
		panic(err) // every field of the type can be encoded
	}
	return string(b) + "\n"
}

func statusOf(method string) int {
	if method == http.MethodPost {
		return http.StatusCreated
	}
	return http.StatusOK
}

// record counts the run, sets its number and returns the faults that apply to it.
func (p *Plain) record(run *PlainRun) (lose, truncate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
	run.Number = p.runs
	p.counts.Paths[run.Method+" "+run.Path]++
	if run.Key != "" && (p.counts.Keys[run.Key] > 0 || len(p.counts.Keys) < maxPlainKeys) {
		if p.counts.Keys[run.Key]++; p.counts.Keys[run.Key] > 1 {
			p.counts.Repeated++
		}
	}
	if lose = p.faults.LoseAnswers > 0; lose {
		p.faults.LoseAnswers--
		return lose, false
	}
	if truncate = p.faults.Truncate > 0; truncate {
		p.faults.Truncate--
	}
	return false, truncate
}
