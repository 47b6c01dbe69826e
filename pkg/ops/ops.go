// Package ops serves the operators' port: liveness, readiness, metrics, status and profiles. Both roles use it.
package ops

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"sync"
)

// Options are a server's parts. Nil parts are not served.
type Options struct {
	// Metrics serves the metrics in Prometheus text format.
	Metrics http.Handler
	// Status returns a value that is encoded as JSON.
	Status func() any
	// Profiles adds net/http/pprof under /debug/pprof/.
	Profiles bool
}

// Server is the operators' interface. A new server is unready.
type Server struct {
	mux    *http.ServeMux
	mu     sync.Mutex
	reason string // why the process is unready; empty if it is ready
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

// SetReady makes the process ready. It has no effect after Stopping.
func (s *Server) SetReady() { s.set("") }

// SetUnready makes the process unready for a reason. It has no effect after Stopping.
func (s *Server) SetUnready(reason string) { s.set(reason) }

const stopping = "stopping"

// SetStopping makes the process unready for good.
func (s *Server) SetStopping() { s.set(stopping) }

func (s *Server) set(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reason != stopping {
		s.reason = reason
	}
}

// UnreadyReason returns why the process is unready, or "" if it is ready.
func (s *Server) UnreadyReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.UnreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
