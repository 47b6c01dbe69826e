// Package gateway serves callers on an entry VM: it matches requests with routes, forwards them to upstreams and
// returns the answers. Package dispatch decides what to do with each request.
package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/keyview"
)

// Core serializes access to the dispatch state, which is not safe for concurrent use, and notifies waiting requests of
// changes.
type Core struct {
	mu              sync.Mutex
	state           *dispatch.State
	changed         chan struct{} // closed and replaced at each change of the fleet
	loadRequests    chan dispatch.LoadRequest
	upstreamsListed chan struct{} // signals that the list of upstreams has been read
	// keys is the proven age of the configuration.
	keys keyview.View
	// attempts contains the hooks that abort retryable attempts, by upstream.
	attempts map[string]map[*abortHook]struct{}
	prompts  *promptAsks // has its own lock
}

// abortHook aborts one attempt.
type abortHook struct{ abort func() }

// maxPendingLoadRequests bounds the load requests that are queued for sending. One that is dropped goes out with the
// next regular message.
const maxPendingLoadRequests = 64

// NewCore returns a core that guards the state.
func NewCore(state *dispatch.State) *Core {
	return &Core{state: state, changed: make(chan struct{}), loadRequests: make(chan dispatch.LoadRequest, maxPendingLoadRequests), upstreamsListed: make(chan struct{}, 1),
		attempts: map[string]map[*abortHook]struct{}{}, prompts: newPromptAsks()}
}

// Do runs f with exclusive access to the state.
func (c *Core) Do(f func(*dispatch.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
}

// onUnresponsive registers abort, which is called if the upstream becomes unresponsive. The returned function removes
// the registration.
func (c *Core) onUnresponsive(upstream string, abort func()) func() {
	hook := &abortHook{abort: abort}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[upstream] == nil {
		c.attempts[upstream] = map[*abortHook]struct{}{}
	}
	c.attempts[upstream][hook] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.attempts[upstream], hook)
		if len(c.attempts[upstream]) == 0 {
			delete(c.attempts, upstream)
		}
	}
}

// abortAttempts aborts the retryable attempts at the upstreams.
func (c *Core) abortAttempts(upstreams []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range upstreams {
		for hook := range c.attempts[id] {
			hook.abort()
		}
	}
}

// Update runs f with the state and wakes the waiting requests.
func (c *Core) Update(f func(*dispatch.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
	c.wake()
}

// wakeAll wakes the waiting requests.
func (c *Core) wakeAll() { c.Update(func(*dispatch.State) {}) }

// wake wakes the waiting requests. The caller holds the lock.
func (c *Core) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// recordFirstEvent records the first event of a request and wakes the requests that wait for room at an engine.
func (c *Core) recordFirstEvent(upstream string, r *dispatch.Request, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.RecordFirstEvent(upstream, r, tokens)
	if c.state.HasPendingPrompts() {
		c.wake()
	}
}

// config returns the active configuration, or nil.
func (c *Core) config() *catalog.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Config()
}

// decide returns the decision for a request and a channel that is closed at the next change of the fleet. A request that
// is to wait for room at an engine is counted as waiting until RemovePendingPrompt is called. It is counted under the
// same lock as the decision; otherwise a first event in between would not wake it.
func (c *Core) decide(r *dispatch.Request) (dispatch.Decision, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.state.Decide(time.Now(), r)
	if d.LoadRequest != nil {
		select {
		case c.loadRequests <- *d.LoadRequest:
		default:
		}
	}
	if d.Action == dispatch.Wait && d.WaitCause == dispatch.WaitPrefill {
		c.state.AddPendingPrompt(r)
	}
	return d, c.changed
}
