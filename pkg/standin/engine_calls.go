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

// engineCall is one call. Fields are guarded by the engine's lock.
type engineCall struct {
	id       string
	in       Completion
	format   format
	target   engine.Target
	priority int
	seq      uint64
	tokens   []string
	truncate bool // fault: cut the answer off in the middle

	buf      []byte // output so far, without signs of life
	done     bool
	changed  chan struct{} // closed and replaced with each change
	slot     chan struct{} // closed when the call may run
	attached int
	leave    *time.Timer
	life     context.Context
	cancel   context.CancelFunc
}

func (c *engineCall) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// serveCall starts a call, or resumes the one named by X-Request-Id if there is an X-Resume-Offset.
func (e *Engine) serveCall(w http.ResponseWriter, r *http.Request) {
	offset, resume, ok := resumeOffset(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		apiError(w, http.StatusBadRequest, "bad_request", "read body: %v", err)
		return
	}
	var c *engineCall
	if resume {
		c = e.find(w, r.Header.Get(openai.HeaderRequest))
	} else {
		c = e.start(w, r, body)
	}
	if c == nil {
		return
	}
	defer e.detach(c)
	if c.in.Stream {
		e.writeStream(w, r, c, offset)
		return
	}
	e.writeWhole(w, r, c, offset)
}

func resumeOffset(w http.ResponseWriter, r *http.Request) (offset int, resume, ok bool) {
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

// find returns the call to resume, attached.
func (e *Engine) find(w http.ResponseWriter, id string) *engineCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.calls[id]
	if c == nil {
		apiError(w, http.StatusNotFound, openai.CodeUnknownRequest, "no request %q", id)
		return nil
	}
	e.counts.Resumes++
	c.attached++
	if c.leave != nil {
		c.leave.Stop()
	}
	return c
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request, body []byte) *engineCall {
	c := &engineCall{changed: make(chan struct{}), slot: make(chan struct{}), attached: 1}
	if err := json.Unmarshal(body, &c.in); err != nil || c.in.Model == "" {
		apiError(w, http.StatusBadRequest, "bad_request", "body is not a completion with a model")
		return nil
	}
	if c.id = r.Header.Get(openai.HeaderRequest); c.id == "" {
		c.id = uuid.NewString()
	}
	c.priority, _ = strconv.Atoi(r.Header.Get(openai.HeaderPriority))
	n := c.in.MaxTokens
	orElse(&n, e.options.Tokens)
	tokens, ok := skipTokens(Tokens(c.in.Model, c.in.Text(), n), c.in.ContinueFrom)
	if !ok {
		apiError(w, http.StatusBadRequest, "bad_request", "continue_from is not a start of the answer")
		return nil
	}
	c.tokens = tokens
	c.format = format{id: "cmpl-" + c.id, model: c.in.Model, chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admit(w, c)
}

// admit registers the call and starts it.
func (e *Engine) admit(w http.ResponseWriter, c *engineCall) *engineCall {
	if e.calls[c.id] != nil {
		apiError(w, http.StatusConflict, "duplicate_request", "request %q exists", c.id)
		return nil
	}
	resident := e.lookup(c)
	if resident == nil {
		e.counts.NotLoaded++
		if !e.options.ServeUnloaded {
			apiError(w, http.StatusNotFound, openai.CodeNotLoaded, "model %q is not loaded", c.in.Model)
			return nil
		}
	} else {
		e.accrue()
		resident.users++
	}
	e.counts.Calls++
	e.seq++
	c.seq = e.seq
	if c.truncate = e.faults.Truncate > 0; c.truncate {
		e.faults.Truncate--
	}
	c.life, c.cancel = context.WithCancel(e.life)
	e.calls[c.id] = c
	e.waiting = append(e.waiting, c)
	e.fillSlots()
	go e.run(c, resident)
	return c
}

// lookup finds the loaded target that the call's model names: an adapter, or a model.
func (e *Engine) lookup(c *engineCall) *residentTarget {
	for t, r := range e.resident {
		if !r.loading && (t.Adapter == c.in.Model || t.Adapter == "" && t.Model == c.in.Model) {
			c.target = t
			return r
		}
	}
	return nil
}

// fillSlots lets waiting calls run, the highest priority first, then the oldest.
func (e *Engine) fillSlots() {
	sort.Slice(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		return a.priority > b.priority || a.priority == b.priority && a.seq < b.seq
	})
	for e.running < e.options.Slots && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		close(c.slot)
	}
}

// run produces the call's output and ends it.
func (e *Engine) run(c *engineCall, resident *residentTarget) {
	inSlot := false
	select {
	case <-c.slot:
		inSlot = true
		e.generate(c)
	case <-c.life.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.id] != c {
		return // another epoch
	}
	if resident != nil {
		e.accrue()
		resident.users--
	}
	e.leaveSlot(c, inSlot)
	if !c.done {
		e.counts.Cancels++
		delete(e.calls, c.id)
		c.wake()
		return
	}
	e.counts.Done++
	time.AfterFunc(e.options.ResumeRetention, func() { e.forget(c) })
}

func (e *Engine) leaveSlot(c *engineCall, inSlot bool) {
	for i, other := range e.waiting {
		if other == c {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	select {
	case <-c.slot: // it may have got its slot while it was cancelled
		inSlot = true
	default:
	}
	if inSlot {
		e.running--
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
	marker, warm := e.faults.CrashMarker, e.imported[c.in.Model+"\x00"+c.in.Text()]
	e.mu.Unlock()
	if marker != "" && strings.Contains(c.in.Text(), marker) {
		e.Crash()
		return
	}
	if !warm && wait(c.life, e.options.FirstToken) != nil {
		return
	}
	for i, token := range c.tokens {
		if i > 0 && wait(c.life, e.options.TokenInterval) != nil {
			return
		}
		if c.in.Stream {
			e.emit(c, c.format.event(token, nil), false)
		}
	}
	if c.in.Stream {
		stop := "stop"
		e.emit(c, append(c.format.event("", &stop), doneEvent...), true)
		return
	}
	e.emit(c, c.format.whole(c.in.ContinueFrom+strings.Join(c.tokens, "")), true)
}

func (e *Engine) emit(c *engineCall, b []byte, last bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.life.Err() != nil {
		return
	}
	c.buf = append(c.buf, b...)
	c.done = last
	c.wake()
}

// detach cancels the call after LeaveGrace if no client came back.
func (e *Engine) detach(c *engineCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.attached--
	if c.attached > 0 || c.done {
		return
	}
	c.leave = time.AfterFunc(e.options.DisconnectGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if c.attached == 0 && !c.done {
			c.cancel()
		}
	})
}
