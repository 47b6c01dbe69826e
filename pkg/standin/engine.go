// Package standin holds small stand-ins for the platform and the upstreams, for tests, benchmarks and the demo.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Engine is a model engine stand-in that streams tokens in the OpenAI shape.
type Engine struct {
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// Tokens is the number of tokens in an answer.
	Tokens int
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Model string `json:"model"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := range e.Tokens {
		fmt.Fprintf(w, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token%d \"}}]}\n\n", in.Model, i)
		w.(http.Flusher).Flush()
		time.Sleep(e.TokenInterval)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}
