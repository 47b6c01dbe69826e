package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
)

// engineCall is one call. Its fields are guarded by Engine.mu.
type engineCall struct {
	id         string
	completion Completion
	format     format
	target     engine.Target
	priority   int
	seq        uint64
	tokens     []string
	truncate   bool // injected fault: truncate the answer in the middle

	output          []byte // output produced so far, without heartbeats
	done            bool
	changed         chan struct{} // closed and replaced at each change
	slotAssigned    chan struct{} // closed when the call may run
	clients         int           // connected clients
	disconnectTimer *time.Timer   // cancels the call when DisconnectGrace is over
	ctx             context.Context
	cancel          context.CancelFunc
}

func (c *engineCall) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// serveCall starts a call. If there is an X-Resume-Offset header, it resumes the call named by X-Request-Id instead.
func (e *Engine) serveCall(w http.ResponseWriter, r *http.Request) {
	offset, isResume, ok := resumeOffset(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		apiError(w, http.StatusBadRequest, "bad_request", "read body: %v", err)
		return
	}
	var c *engineCall
	if isResume {
		c = e.resumeCall(w, r.Header.Get(openai.HeaderRequest))
	} else {
		c = e.startCall(w, r, body)
	}
	if c == nil {
		return
	}
	defer e.detach(c)
	if c.completion.Stream {
		e.writeStream(w, r, c, offset)
		return
	}
	e.writeComplete(w, r, c, offset)
}

// resumeOffset returns the offset from which a call is to be resumed and whether the request resumes one. If the header
// is malformed, it has answered 400 and ok is false.
func resumeOffset(w http.ResponseWriter, r *http.Request) (offset int, isResume, ok bool) {
	text := r.Header.Get(openai.HeaderOffset)
	if text == "" {
		return 0, false, true
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		apiError(w, http.StatusBadRequest, "bad_request", "header %s is malformed", openai.HeaderOffset)
		return 0, false, false
	}
	return offset, true, true
}

// resumeCall attaches a client to an existing call and returns the call, or nil after it has answered with an error.
func (e *Engine) resumeCall(w http.ResponseWriter, id string) *engineCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.calls[id]
	if c == nil {
		apiError(w, http.StatusNotFound, openai.CodeUnknownRequest, "no request %q", id)
		return nil
	}
	e.counts.Resumes++
	c.clients++
	if c.disconnectTimer != nil {
		c.disconnectTimer.Stop()
	}
	return c
}

// startCall starts a call with one client and returns it, or nil after it has answered with an error.
func (e *Engine) startCall(w http.ResponseWriter, r *http.Request, body []byte) *engineCall {
	c := &engineCall{changed: make(chan struct{}), slotAssigned: make(chan struct{}), clients: 1}
	if err := json.Unmarshal(body, &c.completion); err != nil || c.completion.Model == "" {
		apiError(w, http.StatusBadRequest, "bad_request", "body is not a completion with a model")
		return nil
	}
	if c.id = r.Header.Get(openai.HeaderRequest); c.id == "" {
		c.id = uuid.NewString()
	}
	c.priority, _ = strconv.Atoi(r.Header.Get(openai.HeaderPriority))
	maxTokens := c.completion.MaxTokens
	setDefault(&maxTokens, e.options.Tokens)
	tokens, ok := skipTokens(Tokens(c.completion.Model, c.completion.Text(), maxTokens), c.completion.ContinueFrom)
	if !ok {
		apiError(w, http.StatusBadRequest, "bad_request", "continue_from is not a start of the answer")
		return nil
	}
	c.tokens = tokens
	c.format = format{id: "cmpl-" + c.id, model: c.completion.Model, chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admit(w, c)
}

// admit registers the call and queues it for a slot.
func (e *Engine) admit(w http.ResponseWriter, c *engineCall) *engineCall {
	if e.calls[c.id] != nil {
		apiError(w, http.StatusConflict, "duplicate_request", "request %q exists", c.id)
		return nil
	}
	resident := e.findResident(c)
	if resident == nil {
		e.counts.NotLoaded++
		if !e.options.ServeUnloaded {
			apiError(w, http.StatusNotFound, openai.CodeNotLoaded, "model %q is not loaded", c.completion.Model)
			return nil
		}
	} else {
		e.updateIdleSeconds()
		resident.users++
	}
	e.counts.Calls++
	e.lastSeq++
	c.seq = e.lastSeq
	if c.truncate = e.faults.Truncate > 0; c.truncate {
		e.faults.Truncate--
	}
	c.ctx, c.cancel = context.WithCancel(e.epochCtx)
	e.calls[c.id] = c
	e.waitingCalls = append(e.waitingCalls, c)
	e.fillSlots()
	go e.run(c, resident)
	return c
}

// findResident returns the loaded adapter or model that the call's model field names and sets it as the call's target.
// It returns nil if there is none.
func (e *Engine) findResident(c *engineCall) *residentTarget {
	for t, r := range e.resident {
		if !r.loading && (t.Adapter == c.completion.Model || t.Adapter == "" && t.Model == c.completion.Model) {
			c.target = t
			return r
		}
	}
	return nil
}

// fillSlots assigns free slots to waiting calls, the highest priority first, then the oldest.
func (e *Engine) fillSlots() {
	sort.Slice(e.waitingCalls, func(i, j int) bool {
		a, b := e.waitingCalls[i], e.waitingCalls[j]
		return a.priority > b.priority || a.priority == b.priority && a.seq < b.seq
	})
	for e.runningCalls < e.options.Slots && len(e.waitingCalls) > 0 {
		c := e.waitingCalls[0]
		e.waitingCalls = e.waitingCalls[1:]
		e.runningCalls++
		close(c.slotAssigned)
	}
}

// run waits for a slot, produces the call's output and ends the call.
func (e *Engine) run(c *engineCall, resident *residentTarget) {
	hasSlot := false
	select {
	case <-c.slotAssigned:
		hasSlot = true
		e.generate(c)
	case <-c.ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.id] != c {
		return // a new epoch has started
	}
	if resident != nil {
		e.updateIdleSeconds()
		resident.users--
	}
	e.releaseSlot(c, hasSlot)
	if !c.done {
		e.counts.Cancels++
		delete(e.calls, c.id)
		c.notifyChanged()
		return
	}
	e.counts.Done++
	time.AfterFunc(e.options.ResumeRetention, func() { e.forget(c) })
}

// releaseSlot removes the call from the waiting calls, frees its slot if it has one, and refills the free slots.
func (e *Engine) releaseSlot(c *engineCall, hasSlot bool) {
	for i, other := range e.waitingCalls {
		if other == c {
			e.waitingCalls = append(e.waitingCalls[:i], e.waitingCalls[i+1:]...)
			break
		}
	}
	select {
	case <-c.slotAssigned: // the slot may have been assigned while the call was cancelled
		hasSlot = true
	default:
	}
	if hasSlot {
		e.runningCalls--
	}
	e.fillSlots()
}

func (e *Engine) forget(c *engineCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.id] == c {
		delete(e.calls, c.id)
	}
	c.cancel()
}

// generate appends the output to the call's buffer, one token each TokenInterval.
func (e *Engine) generate(c *engineCall) {
	e.mu.Lock()
	marker, kvImported := e.faults.CrashMarker, e.importedKV[c.completion.Model+"\x00"+c.completion.Text()]
	e.mu.Unlock()
	if marker != "" && strings.Contains(c.completion.Text(), marker) {
		e.Crash()
		return
	}
	if !kvImported && wait(c.ctx, e.options.FirstToken) != nil {
		return
	}
	for i, token := range c.tokens {
		if i > 0 && wait(c.ctx, e.options.TokenInterval) != nil {
			return
		}
		if c.completion.Stream {
			e.appendOutput(c, c.format.event(token, nil), false)
		}
	}
	if c.completion.Stream {
		stop := "stop"
		e.appendOutput(c, append(c.format.event("", &stop), doneEvent...), true)
		return
	}
	e.appendOutput(c, c.format.complete(c.completion.ContinueFrom+strings.Join(c.tokens, "")), true)
}

func (e *Engine) appendOutput(c *engineCall, b []byte, last bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.output = append(c.output, b...)
	c.done = last
	c.notifyChanged()
}

// detach removes a client from the call. If no client resumes the call within DisconnectGrace, it is cancelled.
func (e *Engine) detach(c *engineCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.clients--
	if c.clients > 0 || c.done {
		return
	}
	c.disconnectTimer = time.AfterFunc(e.options.DisconnectGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if c.clients == 0 && !c.done {
			c.cancel()
		}
	})
}
