package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
)

// callView is a snapshot of a call and of its output from an offset on.
type callView struct {
	bytes   []byte
	done    bool
	aborted bool // cancelled, or started in an earlier epoch
	changed <-chan struct{}
}

func (e *Engine) view(c *engineCall, offset int) callView {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := callView{done: c.done, aborted: c.ctx.Err() != nil && !c.done, changed: c.changed}
	if offset < len(c.output) {
		v.bytes = append([]byte{}, c.output[offset:]...)
	}
	return v
}

// writeStream sends the output as it is produced, with a comment line as heartbeat each LivenessInterval. A comment
// line is sent only between complete lines and does not count in offsets.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, c *engineCall, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	heartbeat := time.NewTicker(engine.LivenessInterval)
	defer heartbeat.Stop()
	atLineStart := true
	for {
		v := e.view(c, offset)
		if v.aborted {
			panic(http.ErrAbortHandler)
		}
		if len(v.bytes) > 0 && e.takeTruncate(c) {
			_, _ = w.Write(v.bytes[:len(v.bytes)/2])
			return // the body ends regularly, but in the middle of an event
		}
		if len(v.bytes) > 0 {
			if _, err := w.Write(v.bytes); err != nil {
				return
			}
			offset += len(v.bytes)
			atLineStart = v.bytes[len(v.bytes)-1] == '\n'
			_ = flush()
		}
		if v.done {
			return
		}
		select {
		case <-v.changed:
		case <-heartbeat.C:
			if atLineStart {
				fmt.Fprint(w, ":\n")
				_ = flush()
			}
		case <-r.Context().Done():
			return
		case <-c.ctx.Done():
		}
	}
}

// writeComplete sends the output once it is complete, and until then a 102 status as heartbeat each LivenessInterval.
func (e *Engine) writeComplete(w http.ResponseWriter, r *http.Request, c *engineCall, offset int) {
	heartbeat := time.NewTicker(engine.LivenessInterval)
	defer heartbeat.Stop()
	for {
		v := e.view(c, offset)
		if v.aborted {
			panic(http.ErrAbortHandler)
		}
		if v.done {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(v.bytes)))
			w.WriteHeader(http.StatusOK)
			if e.takeTruncate(c) {
				v.bytes = v.bytes[:len(v.bytes)/2]
			}
			_, _ = w.Write(v.bytes)
			return
		}
		select {
		case <-v.changed:
		case <-heartbeat.C:
			w.WriteHeader(http.StatusProcessing)
		case <-r.Context().Done():
			return
		case <-c.ctx.Done():
		}
	}
}

// takeTruncate reports whether the answer is to be truncated and clears that flag.
func (e *Engine) takeTruncate(c *engineCall) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	truncate := c.truncate
	c.truncate = false
	return truncate
}

// kvBlob is the exported state of a call. Clients treat it as opaque.
type kvBlob struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
}

// exportKV sends the KV cache of a call.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	c := e.calls[r.PathValue("request")]
	e.mu.Unlock()
	if c == nil {
		apiError(w, http.StatusNotFound, openai.CodeUnknownRequest, "no request %q", r.PathValue("request"))
		return
	}
	blob, err := json.Marshal(kvBlob{Model: c.completion.Model, Prompt: c.completion.Text()})
	if err != nil {
		apiError(w, http.StatusInternalServerError, "internal", "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(blob)
}

// importKV stores an exported KV cache; calls with its model and prompt skip the time to the first token.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var blob kvBlob
	if !readJSON(w, r, &blob) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.importedKV[blob.Model+"\x00"+blob.Prompt] = true
}
