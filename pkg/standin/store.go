package standin

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/store/httpstore"
)

// StoreServer serves a MemStore over the HTTP protocol of package httpstore. Below /standin it serves GET counts, GET
// and PUT faults (StoreFaults), and POST silence (Conns.Blackhole).
type StoreServer struct {
	Store *MemStore
	// Conns are the server's connections; nil if they are not tracked.
	Conns *Conns
}

// Handler returns the HTTP interface.
func (s *StoreServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", s.list)
	mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.delete)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, s.Store.Counts()) })
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, s.Store.Faults()) })
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f StoreFaults
		if readJSON(w, r, &f) {
			s.Store.SetFaults(f)
			writeJSON(w, 200, f)
		}
	})
	mux.HandleFunc("POST /standin/silence", blackholeHandler(s.Conns))
	return compress(mux)
}

// compress answers GET requests with gzip if the client accepts it.
func compress(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		z := &gzipWriter{ResponseWriter: w, gz: gzip.NewWriter(w)}
		h.ServeHTTP(z, r) // after a panic the compressed body stays truncated, so that the client detects it
		_ = z.gz.Close()
	})
}

type gzipWriter struct {
	http.ResponseWriter
	gz *gzip.Writer
}

func (z *gzipWriter) Write(b []byte) (int, error) { return z.gz.Write(b) }

// FlushError implements flushing for http.ResponseController.
func (z *gzipWriter) FlushError() error {
	if err := z.gz.Flush(); err != nil {
		return err
	}
	return http.NewResponseController(z.ResponseWriter).Flush()
}

// writeError answers with the status of package httpstore for a store error.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrUnknown):
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, store.ErrUnavailable):
		w.Header().Set(httpstore.HeaderEffect, httpstore.EffectNone)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	}
}

func (s *StoreServer) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.ETag(o.Version))
	_, _ = w.Write(o.Value)
}

// expectedVersion returns the version in the If-Match header. If there is none, it has answered 400 and returns false.
func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := httpstore.ParseETag(r.Header.Get("If-Match"))
	if err != nil {
		http.Error(w, "header If-Match is missing or malformed", http.StatusBadRequest)
	}
	return version, err == nil
}

func (s *StoreServer) put(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A write that arrived completely takes effect even if its client has disconnected meanwhile.
	version, err := s.Store.Put(context.WithoutCancel(r.Context()), r.PathValue("key"), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.ETag(version))
}

func (s *StoreServer) delete(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	if err := s.Store.Delete(context.WithoutCancel(r.Context()), r.PathValue("key"), expect); err != nil {
		writeError(w, err)
	}
}

func (s *StoreServer) list(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := s.Store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, httpstore.NewListing(objects, revision))
}

// watch serves a long poll. It sends line feeds as heartbeats ahead of the JSON document.
func (s *StoreServer) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	hold, holdErr := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || holdErr != nil {
		http.Error(w, "since or wait is malformed", http.StatusBadRequest)
		return
	}
	type result struct {
		listing httpstore.Listing
		err     error
	}
	done := make(chan result, 1)
	go func() {
		objects, revision, err := s.Store.Watch(r.Context(), since, min(hold, store.WatchHold))
		done <- result{httpstore.NewListing(objects, revision), err}
	}()
	heartbeat := time.NewTicker(httpstore.WatchHeartbeatInterval)
	defer heartbeat.Stop()
	bodyStarted := false
	for {
		select {
		case res := <-done:
			if res.err != nil && bodyStarted {
				panic(http.ErrAbortHandler) // the status is already sent; the client receives a truncated answer
			}
			if res.err != nil {
				writeError(w, res.err)
				return
			}
			_ = json.NewEncoder(w).Encode(res.listing)
			return
		case <-heartbeat.C:
			bodyStarted = true
			if _, err := io.Copy(w, strings.NewReader("\n")); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}
