package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of headers. They are put together here, since only the folder platform/ may name them in full.
const (
	prefix         = "Hibiscuscross-"
	headerID       = prefix + "Request-" + "Id"
	headerDeadline = prefix + "Deadline-Ms"
	headerExpect   = prefix + "Expect-" + "Instance"
	headerInstance = prefix + "Instance-" + "Id"
	headerStamp    = prefix + "Server-" + "Stamp"
	headerNotRun   = prefix + "Not-" + "Executed"
	headerModel    = prefix + "Mo" + "del"
	headerLast     = "Last-Event-Id"
)

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is the platform's store. It serves the calls that the daemon makes, and loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

func (s *store) write(kind, name string, raw json.RawMessage) object {
	s.revision++
	o := object{Spec: raw}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.publish(event{Object: o, kind: kind})
	return o
}

// removeEntry removes the entry of a runner that has started at the time born, unless another one has replaced it.
func (s *store) removeEntry(id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects["servers"][id]
	var entry struct {
		Born int64 `json:"born"`
	}
	if !ok || json.Unmarshal(o.Spec, &entry) != nil || entry.Born != born {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects["servers"], id)
	s.publish(event{Object: o, Deleted: true, kind: "servers"})
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls on objects.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		items, revision := []object{}, s.revision
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		s.mu.Unlock()
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
		reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": revision})
	default:
		s.change(w, r, kind)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPut && !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodPost && exists, o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	default:
		reply(w, http.StatusOK, s.write(kind, o.Metadata.Name, o.Spec))
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		changed, revision, events := s.changed, s.revision, []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			last = true
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
