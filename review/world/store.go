//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type storeEvent struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      time.Time
}

// store is a stand-in for the platform's store. Each machine has a listener of its own, so that the store can turn one
// machine away while it serves the others. The operator and the runners write with put and remove.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
	dropped  uint64 // revision of the last event that is no longer in the history
}

// history is how long events are kept (historyS).
const history = 20 * time.Second

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
	return time.Now()
}

// write changes an object and returns its revision. The caller holds the lock.
func (s *store) write(kind, name string, raw json.RawMessage) uint64 {
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(raw) {
		return old.Metadata.Revision
	}
	s.revision++
	o := object{Spec: raw}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.announce(storeEvent{Object: o, kind: kind})
	return s.revision
}

func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.announce(storeEvent{Object: o, Deleted: true, kind: kind})
	}
	return time.Now()
}

func (s *store) announce(e storeEvent) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops the events that are older than the history. The caller holds the lock.
func (s *store) trim() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.dropped = s.events[0].Object.Metadata.Revision
		s.events = s.events[1:]
	}
}

// door is one machine's way to the store.
type door struct {
	s       *store
	address string
	mu      sync.Mutex
	silent  bool
	busy    bool        // the store answers the machine's calls with 503
	calls   chan string // kinds of the calls that got no answer
}

// open returns a machine's way to the store at a free port of the address.
func (s *store) open(ip string) *door {
	ln, err := net.Listen("tcp4", ip+":0")
	must(err)
	d := &door{s: s, address: ln.Addr().String(), calls: make(chan string, 1000)}
	go func() { _ = (&http.Server{Handler: d}).Serve(ln) }()
	return d
}

// setSilent makes the store leave the machine's calls without any answer, or answers new calls again. A call without an
// answer gets none later either.
func (d *door) setSilent(v bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = v
}

func (d *door) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

// setBusy makes the store answer the machine's calls with 503, or serves them again.
func (d *door) setBusy(v bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = v
}

func (d *door) isBusy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if d.isSilent() {
		d.swallow(r, kind)
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		d.watch(w, r, kind)
	case r.Method == http.MethodGet:
		d.s.list(w, kind)
	default:
		d.s.serveWrite(w, r, kind, name)
	}
}

// swallow keeps a call without an answer until the machine closes its connection.
func (d *door) swallow(r *http.Request, kind string) {
	select {
	case d.calls <- kind:
	default:
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (d *door) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		d.s.mu.Lock()
		d.s.trim()
		if since < d.s.dropped {
			d.s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		changed, revision := d.s.changed, d.s.revision
		events := []storeEvent{}
		for _, e := range d.s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		d.s.mu.Unlock()
		if len(events) > 0 || ended {
			if d.isBusy() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if d.isSilent() { // the machine has been turned away while its call waited
				d.swallow(r, kind)
			}
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			ended = true
		}
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": revision})
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	raw, err := io.ReadAll(r.Body)
	var o object
	if err != nil || json.Unmarshal(raw, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	o.Metadata.Name = name
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	status := http.StatusOK
	switch {
	case r.Method == http.MethodPut && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodPost && exists, o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		status, o = http.StatusConflict, old
	default:
		o.Metadata.Revision = s.write(kind, name, o.Spec)
	}
	s.mu.Unlock()
	answer(w, status, o)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has left
}
