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
	wanted  chan dispatch.Want
	listed  chan struct{} // tells that the upstreams have been listed
}

// wantedSize bounds the wants that wait to be sent; a lost one is sent with the next regular message.
const wantedSize = 64

// NewCore returns a core around the state.
func NewCore(state *dispatch.State) *Core {
	return &Core{state: state, changed: make(chan struct{}), wanted: make(chan dispatch.Want, wantedSize), listed: make(chan struct{}, 1)}
}

// Do runs f with the state while no one else uses it.
func (c *Core) Do(f func(*dispatch.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
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
	if d.Want != nil {
		select {
		case c.wanted <- *d.Want:
		default:
		}
	}
	return d, c.changed
}
