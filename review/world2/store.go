//go:build review

package main

import (
	"encoding/json"
	"io"
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
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is the platform's metadata store: one revision counter, lists, watches and conditional writes. It has no faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator and the runners do. A write that changes nothing has no effect.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specs of the cases can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(change{Object: o, kind: kind})
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(change{Object: o, Deleted: true, kind: kind})
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		replyJSON(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		replyJSON(w, http.StatusOK, map[string]any{})
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	raw, err := io.ReadAll(r.Body)
	var o object
	if err != nil || json.Unmarshal(raw, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && exists, o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		replyJSON(w, http.StatusConflict, old)
	default:
		replyJSON(w, http.StatusOK, s.set(kind, name, o.Spec))
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
	replyJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []change{}
		for _, c := range s.changes {
			if c.kind == kind && c.Object.Metadata.Revision > since {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			replyJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			over = true
		}
	}
}

func replyJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}
