// Package gateway serves callers on an entry VM: it matches requests with routes, sends them to upstreams and hands the
// answers back. What to do with a request is decided by package dispatch.
package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

// Core guards the decisions, which are not safe for concurrent use, and tells waiting requests about changes.
type Core struct {
	mu      sync.Mutex
	state   *dispatch.State
	changed chan struct{} // closed and replaced at each change of the fleet
	wanted  chan dispatch.LoadRequest
	listed  chan struct{} // tells that the upstreams have been listed
	// sends holds what gives up each send that may be repeated, by upstream.
	sends map[string]map[*abandon]struct{}
}

// abandon gives up a send.
type abandon struct{ do func() }

// wantedSize bounds the wants that wait to be sent; a lost one is sent with the next regular message.
const wantedSize = 64

// NewCore returns a core around the state.
func NewCore(state *dispatch.State) *Core {
	return &Core{state: state, changed: make(chan struct{}), wanted: make(chan dispatch.LoadRequest, wantedSize), listed: make(chan struct{}, 1),
		sends: map[string]map[*abandon]struct{}{}}
}

// Do runs f with the state while no one else uses it.
func (c *Core) Do(f func(*dispatch.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
}

// onSilence arranges that do is called if the upstream turns silent before the returned function is called.
func (c *Core) onSilence(upstream string, do func()) func() {
	a := &abandon{do: do}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sends[upstream] == nil {
		c.sends[upstream] = map[*abandon]struct{}{}
	}
	c.sends[upstream][a] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.sends[upstream], a)
		if len(c.sends[upstream]) == 0 {
			delete(c.sends, upstream)
		}
	}
}

// giveUpSends gives up the sends to the upstreams that may be repeated.
func (c *Core) giveUpSends(upstreams []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range upstreams {
		for a := range c.sends[id] {
			a.do()
		}
	}
}

// Update runs f with the state and wakes the waiting requests.
func (c *Core) Update(f func(*dispatch.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
	close(c.changed)
	c.changed = make(chan struct{})
}

// config returns the configuration in force, or nil.
func (c *Core) config() *catalog.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Config()
}

// decide returns the decision for a request and a channel that is closed when the fleet changes.
func (c *Core) decide(r *dispatch.Request) (dispatch.Decision, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.state.Decide(time.Now(), r)
	if d.LoadRequest != nil {
		select {
		case c.wanted <- *d.LoadRequest:
		default:
		}
	}
	return d, c.changed
}
