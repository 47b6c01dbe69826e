//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a runner's entry, and registration the time without one after which the
// platform removes the entry.
const (
	heartbeat    = 1200 * time.Millisecond
	registration = 3 * heartbeat
)

// engineModel is the model that all model runners hold from their start.
const engineModel = "daka510000"

// engine is a model runner. It holds one model and carries out orders.
type engine struct {
	w                    *world
	id, service, address string
	events               func(id string) []int // ids of the events of a stream
	onRun                func(e *engine, req *http.Request)

	born int64
	srv  *http.Server
	stop chan struct{}
	left sync.Once

	mu      sync.Mutex
	seq     uint64
	fence   uint64
	models  map[string]bool
	running int
}

// start starts the runner. It writes its entry for the first time after the delay, and then with each heartbeat.
func (e *engine) start(firstWrite time.Duration) error {
	ln, err := net.Listen("tcp4", e.address)
	if err != nil {
		return cannotRun("runner %s: %v", e.id, err)
	}
	e.born, e.models, e.stop = time.Now().UnixMilli(), map[string]bool{engineModel: true}, make(chan struct{})
	e.srv = &http.Server{Handler: e}
	go func() { _ = e.srv.Serve(ln) }()
	e.w.atEnd(e.end)
	e.w.note("runner %s of service %s starts at %s, born %d", e.id, e.service, e.address, e.born)
	if firstWrite == 0 {
		e.w.store.put("servers", e.id, render("engine-entry.json", e.state()))
		firstWrite = heartbeat
	}
	go func() {
		for delay := firstWrite; ; delay = heartbeat {
			select {
			case <-e.stop:
				return
			case <-time.After(delay):
				e.w.store.put("servers", e.id, render("engine-entry.json", e.state()))
			}
		}
	}()
	return nil
}

// end ends the runner as a crash does. The platform removes its entry after three heartbeats.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv == nil {
		return
	}
	_ = e.srv.Close()
	e.srv = nil
	e.left.Do(func() {
		close(e.stop)
		time.AfterFunc(registration, func() { e.w.store.remove("servers", e.id) })
	})
}

// leave removes the runner's entry, as of one that leaves and never reports it. It serves on.
func (e *engine) leave() {
	e.left.Do(func() {
		close(e.stop)
		e.w.store.remove("servers", e.id)
	})
}

// state returns what the runner says of itself.
func (e *engine) state() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"Service": e.service, "Address": e.address, "Born": e.born, "Models": slices.Sorted(maps.Keys(e.models)), "Model": engineModel, "Seq": e.seq, "Running": e.running,
		"KVUsed": 900 * e.running,
	}
}

// ServeHTTP serves requests, reports, health checks and orders.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if want := r.Header.Get(headers.Expect); want != "" && want != e.id {
		w.Header().Set(headers.Instance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set(headers.Instance, e.id)
	case "/api/report":
		replyJSON(w, http.StatusOK, render("engine-report.json", e.state()))
	case "/api/order":
		e.order(w, body)
	default:
		e.stream(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expect                            *uint64
		FencingToken                      uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.w.note("runner %s gets order %s", e.id, body)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.FencingToken < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case o.Expect != nil && *o.Expect != e.seq:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = o.FencingToken
	e.seq++
	if o.Adapter == "" {
		if o.Operation == "load" {
			e.models[o.Model] = true
		} else {
			delete(e.models, o.Model)
		}
	}
	w.WriteHeader(http.StatusAccepted)
}

// stream runs a request and answers with a stream of events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.ID)
	e.mu.Lock()
	held := e.models[r.Header.Get(headers.Model)]
	if held && id != "" {
		e.running++
	}
	e.mu.Unlock()
	switch {
	case id == "":
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case !held:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if e.onRun != nil {
		e.onRun(e, r)
	}
	w.Header().Set(headers.ID, id)
	w.Header().Set(headers.Stamp, e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for _, n := range e.events(id) {
		time.Sleep(25 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// engineConfig is the operator's configuration with one route to each of the model services.
func engineConfig(services ...string) any {
	return render("engine-config.json", map[string]any{"Services": services, "Model": engineModel})
}

// network is a set of loopback addresses for the machines of a case, with a port for their own messages that is free on all.
type network struct {
	prefix   string
	peerPort int
}

func newNetwork(machines int) (network, error) {
	for range 50 {
		n := network{prefix: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))}
		var err error
		if n.peerPort, err = freePort(n.ip(1)); err != nil {
			continue
		}
		free := true
		for i := 1; i <= machines && free; i++ {
			c, err := net.ListenPacket("udp4", net.JoinHostPort(n.ip(i), strconv.Itoa(n.peerPort)))
			if free = err == nil; free {
				_ = c.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return network{}, cannotRun("no free ports")
}

func (n network) ip(i int) string { return fmt.Sprintf("%s%d", n.prefix, i) }

// startSide starts the side machine beside a runner's address.
func (w *world) startSide(n network, i int, service, app string) error {
	m := &machine{name: fmt.Sprintf("side-lagos-ikeja-%d", i), ip: n.ip(i), peerPort: n.peerPort, app: app, service: service}
	return w.startMachine(m, "sidecar")
}

// sharedParts is the number of prompt parts that requests share.
const sharedParts = 40

// sharedPart returns the part that the request shares with others.
func sharedPart(id string) string {
	n, _ := strconv.ParseInt(id, 16, 64)
	return fmt.Sprintf("5c1e07%02x", n%sharedParts)
}

// prompt sends a request for a stream on a kept connection and returns the answer.
func prompt(m *machine, path, id string) answer {
	return call(m.front, clientRequest{kept: true, method: http.MethodPost, path: path, id: id, deadline: 6 * time.Second, body: "prompt " + id, header: map[string]string{
		headers.Model: engineModel, headers.Tokens: "826,40", headers.Prefix: sharedPart(id) + ":198," + id + ":628",
	}})
}

// eventIDs returns the ids of the events in a body.
func eventIDs(body []byte) (ids []int) {
	for line := range strings.Lines(string(body)) {
		if number, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(number)
			ids = append(ids, n)
		}
	}
	return ids
}
