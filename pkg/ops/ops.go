// Package ops serves the operators' port: liveness, readiness, metrics, status and profiles. All roles of the daemon
// use it.
package ops

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"sync"
)

// Options are the endpoints of a server. It does not serve those that are nil or false.
type Options struct {
	// Metrics serves the metrics in Prometheus text format.
	Metrics http.Handler
	// Status returns the value that /status serves as JSON.
	Status func() any
	// Profiles adds net/http/pprof under /debug/pprof/.
	Profiles bool
}

// Server serves the operators' port and keeps the readiness of the process. A new server is unready.
type Server struct {
	mux    *http.ServeMux
	mu     sync.Mutex
	reason string // reason why the process is unready; empty if it is ready
	// causes are further reasons why the process is unready, in the order in which they began.
	causes []string
}

// New returns a server that is unready because the process is starting.
func New(o Options) *Server {
	s := &Server{mux: http.NewServeMux(), reason: "starting"}
	s.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s.mux.HandleFunc("GET /readyz", s.readyz)
	if o.Metrics != nil {
		s.mux.Handle("GET /metrics", o.Metrics)
	}
	if o.Status != nil {
		s.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(o.Status())
		})
	}
	if o.Profiles {
		s.mux.HandleFunc("/debug/pprof/", pprof.Index)
		s.mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
		s.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		s.mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		s.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetReady marks the process as ready. It has no effect after SetStopping.
func (s *Server) SetReady() { s.set("") }

// SetUnready marks the process as unready for a reason. It has no effect after SetStopping.
func (s *Server) SetUnready(reason string) { s.set(reason) }

// SetCause adds a reason why the process is unready, or removes it. It is independent of SetReady and SetUnready: the
// process is ready only if none of its reasons is left.
func (s *Server) SetCause(reason string, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.causes = slices.DeleteFunc(s.causes, func(cause string) bool { return cause == reason })
	if active {
		s.causes = append(s.causes, reason)
	}
}

const stopping = "stopping"

// SetStopping marks the process as unready for the rest of its life.
func (s *Server) SetStopping() { s.set(stopping) }

func (s *Server) set(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reason != stopping {
		s.reason = reason
	}
}

// UnreadyReason returns the reasons why the process is unready, or "" if it is ready.
func (s *Server) UnreadyReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reason != "" {
		return s.reason
	}
	return strings.Join(s.causes, "; ")
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.UnreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
