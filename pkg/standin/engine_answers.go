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

// callView is a call's output from an offset on.
type callView struct {
	bytes   []byte
	done    bool
	ended   bool // cancelled or in an earlier epoch
	changed <-chan struct{}
}

func (e *Engine) view(c *engineCall, offset int) callView {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := callView{done: c.done, ended: c.life.Err() != nil && !c.done, changed: c.changed}
	if offset < len(c.buf) {
		v.bytes = append([]byte{}, c.buf[offset:]...)
	}
	return v
}

// writeStream sends the output as it grows, with a comment line as a sign of life each LivenessInterval. Comment lines
// stand at the start of a line and are not counted in offsets.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, c *engineCall, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	sign := time.NewTicker(engine.LivenessInterval)
	defer sign.Stop()
	atLineStart := true
	for {
		v := e.view(c, offset)
		if v.ended {
			panic(http.ErrAbortHandler)
		}
		if len(v.bytes) > 0 && e.takeTruncate(c) {
			_, _ = w.Write(v.bytes[:len(v.bytes)/2])
			return // a well-formed end of the body in the middle of an event
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
		case <-sign.C:
			if atLineStart {
				fmt.Fprint(w, ":\n")
				_ = flush()
			}
		case <-r.Context().Done():
			return
		case <-c.life.Done():
		}
	}
}

// writeWhole waits for the whole output, with a 102 status as a sign of life each LivenessInterval.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, c *engineCall, offset int) {
	sign := time.NewTicker(engine.LivenessInterval)
	defer sign.Stop()
	for {
		v := e.view(c, offset)
		if v.ended {
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
		case <-sign.C:
			w.WriteHeader(http.StatusProcessing)
		case <-r.Context().Done():
			return
		case <-c.life.Done():
		}
	}
}

// takeTruncate reports once whether the answer is to be cut off.
func (e *Engine) takeTruncate(c *engineCall) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	cut := c.truncate
	c.truncate = false
	return cut
}

// kvBlob is the exported state of a call. Clients treat it as opaque.
type kvBlob struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
}

// exportKV answers with the KV cache of a call.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	c := e.calls[r.PathValue("request")]
	e.mu.Unlock()
	if c == nil {
		apiError(w, http.StatusNotFound, openai.CodeUnknownRequest, "no request %q", r.PathValue("request"))
		return
	}
	blob, err := json.Marshal(kvBlob{Model: c.in.Model, Prompt: c.in.Text()})
	if err != nil {
		apiError(w, http.StatusInternalServerError, "internal", "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(blob)
}

// importKV takes an exported KV cache; calls with its prompt skip the time to the first token.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var blob kvBlob
	if !readJSON(w, r, &blob) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported[blob.Model+"\x00"+blob.Prompt] = true
}
