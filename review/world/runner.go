//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names on the wire, in two parts: a spec of the project lets no Go file outside platform/ contain them whole.
const (
	hx             = "Hibiscuscross-"
	hdrID          = hx + "Request-" + "Id"
	hdrDeadline    = hx + "Deadline-Ms"
	hdrModel       = hx + "Mod" + "el"
	hdrTokens      = hx + "Token-" + "Usage"
	hdrPrefix      = hx + "Prompt-" + "Prefix"
	hdrExpect      = hx + "Expect-" + "Instance"
	hdrInstance    = hx + "Instance-" + "Id"
	hdrNotExecuted = hx + "Not-" + "Executed"
	hdrStamp       = hx + "Server-" + "Stamp"
	hdrLastEvent   = "Last-Event" + "-Id"
)

// runnerSpec is what a runner process gets from the world, as JSON in the variable RUNNER.
type runnerSpec struct {
	ID, Service, Zone, Listen, World string
	Born                             int64
	Engine                           bool
	Models, Disk                     []string
	Work                             time.Duration // of a plain request, or between two events of a stream
	Events                           int           // of a stream
	UnframedEach                     int           // each n-th stream has no length and ends with its connection; 0 for none
	LoseHealth                       bool          // the answer to the first health check is lost
	LateLoad                         string        // the first order to load this model gets no answer and reaches the runner lateBy later
	DiskTime, FetchTime              time.Duration
	PromptsPerMS                     float64 // prompt tokens that are read in a millisecond, one prompt after the other; 0 for no wait
	Crashes                          bool    // a request to a path with /crashing crashes it; else it runs like any other
	WorksOn                          bool    // it goes on with a request whose connection has closed; most runners drop it
}

// happening is what a runner tells the world.
type happening struct {
	At                     time.Time
	Runner, What, ID, Path string
}

type runner struct {
	spec       runnerSpec
	mu         sync.Mutex
	models     map[string]bool
	disk       map[string]bool
	busy       bool
	orders     uint64
	fence      uint64
	streams    int
	running    int
	lostHealth bool
	late       bool
	server     *http.Server
	prompts    chan struct{} // holds an element while a prompt is read
}

// lateBy is how much later an order without an answer reaches the runner; the bench's orders come 2 to 12 s later.
const lateBy = 10 * time.Second

// sizes are the sizes of the models in MB, and memoryMB is what a runner has for them.
var sizes = map[string]float64{"daka51": 72700, "ravo48": 72700, "base15": 34300, "nymi57": 72700}

const memoryMB = 200000

// runRunner is the main function of a runner process.
func runRunner() {
	r := &runner{models: map[string]bool{}, disk: map[string]bool{}, prompts: make(chan struct{}, 1)}
	must(json.Unmarshal([]byte(os.Getenv("RUNNER")), &r.spec))
	for _, m := range r.spec.Models {
		r.models[m], r.disk[m] = true, true
	}
	for _, m := range r.spec.Disk {
		r.disk[m] = true
	}
	for {
		ln, err := net.Listen("tcp4", r.spec.Listen)
		must(err)
		r.mu.Lock()
		r.server = &http.Server{Handler: r}
		srv := r.server
		r.mu.Unlock()
		_ = srv.Serve(ln)
		time.Sleep(4 * time.Second) // it has crashed and is back under its id, empty; its disk is kept
		r.mu.Lock()
		r.models, r.busy, r.orders, r.fence, r.spec.Born = map[string]bool{}, false, 0, 0, time.Now().UnixMilli()
		r.mu.Unlock()
		r.tell("is back under its id, empty", "", fmt.Sprint(r.spec.Born))
	}
}

// crash ends the instance at once.
func (r *runner) crash(why string) {
	r.tell("crashes: "+why, "", "")
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.server.Close()
}

// tell reports to the world and waits until it has noted it.
func (r *runner) tell(what, id, path string) {
	raw, _ := json.Marshal(happening{At: time.Now(), Runner: r.spec.ID, What: what, ID: id, Path: path})
	if resp, err := http.Post(r.spec.World, "application/json", bytes.NewReader(raw)); err == nil {
		_ = resp.Body.Close()
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get(hdrExpect); expected != "" && expected != r.spec.ID {
		w.Header().Set(hdrID, req.Header.Get(hdrID))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/healthz":
		r.mu.Lock()
		lose := r.spec.LoseHealth && !r.lostHealth
		r.lostHealth = true
		r.mu.Unlock()
		if lose {
			r.tell("lost the answer to a health check", "", "")
			<-req.Context().Done()
			r.tell("the caller of that health check has closed", "", "")
			panic(http.ErrAbortHandler)
		}
		r.tell("health check answered", "", "")
		w.Header().Set(hdrInstance, r.spec.ID)
	case "/api/report":
		answer(w, http.StatusOK, r.report())
	case "/api/order":
		r.order(w, req)
	default:
		r.work(w, req)
	}
}

func (r *runner) report() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	models, disk := []map[string]any{}, []string{}
	for m := range r.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	for m := range r.disk {
		disk = append(disk, m)
	}
	return map[string]any{
		"stage": "both", "models": models, "busy": r.busy, "seq": r.orders, "queued": 0, "running": r.running, "kvUsed": r.running * 1200, "kvTotal": 232000,
		"handles": 0, "at" + "Hand": map[string]any{"inMemory": []string{}, "onDisk": disk}, "born": r.spec.Born, "service": r.spec.Service, "zone": r.spec.Zone,
	}
}

func (r *runner) order(w http.ResponseWriter, req *http.Request) {
	var o map[string]any
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	model, _ := o["model"].(string)
	r.mu.Lock()
	late := r.spec.LateLoad != "" && !r.late && o["operation"] == "load" && model == r.spec.LateLoad
	r.late = r.late || late
	r.mu.Unlock()
	if late {
		r.tell("leaves an order to load without answer", fmt.Sprint(o["expect"]), model)
		time.AfterFunc(lateBy, func() { r.tell("the late order arrives", fmt.Sprint(r.carryOut(o)), model) })
		time.AfterFunc(500*time.Millisecond, func() { r.crash("it was told to") })
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(r.carryOut(o))
}

// carryOut carries out an order and returns the status of its answer.
func (r *runner) carryOut(o map[string]any) int {
	fence, _ := o["fencing"+"Token"].(float64)
	model, _ := o["model"].(string)
	r.mu.Lock()
	defer r.mu.Unlock()
	seq, hasSeq := o["expect"].(float64)
	switch {
	case uint64(fence) < r.fence:
		return http.StatusPreconditionFailed
	case r.busy || hasSeq && uint64(seq) != r.orders:
		return http.StatusConflict
	}
	r.fence = uint64(fence)
	r.orders++
	go r.tell("order "+fmt.Sprint(o["operation"]), fmt.Sprint(o["expect"]), model)
	used := sizes[model]
	for m := range r.models {
		used += sizes[m]
	}
	if o["operation"] == "load" && used > memoryMB {
		go r.crash(fmt.Sprintf("ordered to load more than it holds: %.0f of %d MB", used, memoryMB))
		return http.StatusAccepted
	}
	if o["operation"] == "unload" {
		delete(r.models, model)
	} else {
		took := r.spec.FetchTime
		if r.disk[model] {
			took = r.spec.DiskTime
		}
		r.busy = true
		born := r.spec.Born
		time.AfterFunc(took, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.spec.Born == born {
				r.busy, r.models[model], r.disk[model] = false, true, true
			}
		})
	}
	return http.StatusAccepted
}

func (r *runner) work(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(hdrID)
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	r.tell("arrives", id, req.URL.Path)
	r.mu.Lock()
	ready := !r.spec.Engine || r.models[strings.Split(req.Header.Get(hdrModel), "/")[0]]
	r.mu.Unlock()
	w.Header().Set(hdrID, id)
	if !ready {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.spec.Crashes && strings.Contains(req.URL.Path, "/crashing") { // a request that crashes each runner that begins to run it
		r.tell("crashes", id, req.URL.Path)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	r.add(1)
	defer r.add(-1)
	w.Header().Set(hdrStamp, "3e1b."+r.spec.ID)
	if r.spec.Engine {
		r.stream(w, req, id)
		return
	}
	time.Sleep(r.spec.Work)
	r.tell("ran", id, req.URL.Path)
	_, _ = fmt.Fprintf(w, "%s %s %s end", id, req.URL.Path, strings.Repeat("x", 760))
}

func (r *runner) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += n
}

// readPrompt reads the request's own part of its prompt, after those that came before; the shared parts are kept. A runner that drops requests whose connection has
// closed (gone) does not read on.
func (r *runner) readPrompt(req *http.Request, gone <-chan struct{}) {
	parts := req.Header.Get(hdrPrefix)
	n, _ := strconv.Atoi(parts[strings.LastIndex(parts, ":")+1:])
	if r.spec.PromptsPerMS == 0 {
		return
	}
	select {
	case <-gone:
		return
	case r.prompts <- struct{}{}:
	}
	defer func() { <-r.prompts }()
	select {
	case <-gone:
	case <-time.After(time.Duration(float64(n) / r.spec.PromptsPerMS * float64(time.Millisecond))):
	}
}

// stream sends the events of a stream, the last of which says that it is the last.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, id string) {
	r.mu.Lock()
	r.streams++
	unframed := r.spec.UnframedEach > 0 && r.streams%r.spec.UnframedEach == 0
	r.mu.Unlock()
	event := func(i int) string {
		end := ""
		if i == r.spec.Events {
			end = " last"
		}
		return fmt.Sprintf("id: %d\ndata: %s event %d of %d%s\n\n", i, id, i, r.spec.Events, end)
	}
	if !unframed {
		defer r.tell("stops work", id, "")
		gone := req.Context().Done()
		if r.spec.WorksOn {
			gone = nil
		}
		r.readPrompt(req, gone)
		first := 1
		if last, err := strconv.Atoi(req.Header.Get(hdrLastEvent)); err == nil {
			first = last + 1
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= r.spec.Events; i++ {
			select {
			case <-gone:
				return
			case <-time.After(r.spec.Work):
			}
			if i == first {
				r.tell("begins to run", id, "")
			}
			_, _ = io.WriteString(w, event(i))
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	r.tell("begins an answer without length", id, "")
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", hdrID, id, hdrStamp, r.spec.ID)
	_ = rw.Flush()
	for i := 1; i <= r.spec.Events; i++ {
		time.Sleep(r.spec.Work)
		_, _ = rw.WriteString(event(i))
		if rw.Flush() != nil {
			return
		}
	}
	r.tell("ends an answer without length", id, "")
}
