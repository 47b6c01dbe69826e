package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist/httplist"
)

// VMFaults are the faults of a VM list stand-in.
type VMFaults struct {
	// LagMS is the time in ms by which the list lags behind.
	LagMS int64 `json:"lagMs"`
	// Down makes reads fail.
	Down bool `json:"down"`
	// DelayMS delays each answer, in ms.
	DelayMS int64 `json:"delayMs"`
}

// maxVMHistory is the number of snapshots kept to serve a list that lags behind.
const maxVMHistory = 4096

// vmSnapshot is the state of a VMList from a time on.
type vmSnapshot struct {
	at  time.Time
	vms map[string]vmlist.VM
}

// VMList is an in-memory VM list. It serves GET /v1/vms. Below /standin, PUT vms/{id} with a vmlist.VM sets an entry,
// DELETE vms/{id} removes it, PUT faults sets the faults and GET counts returns the number of reads. It is safe for
// concurrent use.
type VMList struct {
	mu      sync.Mutex
	history []vmSnapshot // oldest first; the last one is the current state
	faults  VMFaults
	reads   uint64
	clock   func() time.Time
}

var _ vmlist.Lister = (*VMList)(nil)

// NewVMList returns a list with the given entries, which are visible immediately regardless of the lag.
func NewVMList(vms ...vmlist.VM) *VMList {
	s := &VMList{clock: time.Now}
	first := map[string]vmlist.VM{}
	for _, vm := range vms {
		first[vm.ID] = vm
	}
	s.history = []vmSnapshot{{vms: first}}
	return s
}

// SetClock replaces the clock, for tests in virtual time.
func (s *VMList) SetClock(now func() time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = now
}

// SetFaults replaces the active faults.
func (s *VMList) SetFaults(f VMFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Set adds or changes an entry.
func (s *VMList) Set(vm vmlist.VM) { s.change(func(m map[string]vmlist.VM) { m[vm.ID] = vm }) }

// Remove removes an entry.
func (s *VMList) Remove(id string) { s.change(func(m map[string]vmlist.VM) { delete(m, id) }) }

// SetState changes the state of an entry. It does nothing if there is no such entry.
func (s *VMList) SetState(id string, state vmlist.State) {
	s.change(func(m map[string]vmlist.VM) {
		if vm, ok := m[id]; ok {
			vm.State = state
			m[id] = vm
		}
	})
}

// change applies a change to a copy of the current state and appends it to the history.
func (s *VMList) change(apply func(map[string]vmlist.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]vmlist.VM{}
	for id, vm := range s.history[len(s.history)-1].vms {
		next[id] = vm
	}
	apply(next)
	s.history = append(s.history, vmSnapshot{at: s.clock(), vms: next})
	if drop := len(s.history) - maxVMHistory; drop > 0 {
		s.history = append([]vmSnapshot{}, s.history[drop:]...)
	}
}

// List implements vmlist.Lister.
func (s *VMList) List(ctx context.Context) ([]vmlist.VM, error) {
	s.mu.Lock()
	s.reads++
	f := s.faults
	visible := s.history[0].vms
	visibleUntil := s.clock().Add(-time.Duration(f.LagMS) * time.Millisecond)
	for _, h := range s.history {
		if !h.at.After(visibleUntil) {
			visible = h.vms
		}
	}
	s.mu.Unlock()
	if err := wait(ctx, time.Duration(f.DelayMS)*time.Millisecond); err != nil {
		return nil, fault.Wrap(err, fault.StepVMList, "", "wait for the list")
	}
	if f.Down {
		return nil, fault.New(fault.StepVMList, "", "list is down")
	}
	out := make([]vmlist.VM, 0, len(visible))
	for _, vm := range visible {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// writeDocument sends the document, or 304 if the client already has it. The ETag is a hash of the document.
func (s *VMList) writeDocument(w http.ResponseWriter, r *http.Request, d httplist.Document) {
	body, err := json.Marshal(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// Handler returns the HTTP interface.
func (s *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		s.writeDocument(w, r, httplist.Document{VMs: vms})
	})
	mux.HandleFunc("PUT /standin/vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		var vm vmlist.VM
		if readJSON(w, r, &vm) {
			vm.ID = r.PathValue("id")
			s.Set(vm)
			writeJSON(w, http.StatusOK, vm)
		}
	})
	mux.HandleFunc("DELETE /standin/vms/{id}", func(w http.ResponseWriter, r *http.Request) { s.Remove(r.PathValue("id")) })
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f VMFaults
		if readJSON(w, r, &f) {
			s.SetFaults(f)
			writeJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]uint64{"reads": s.reads})
	})
	return mux
}
