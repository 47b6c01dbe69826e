package sidecar

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Configure takes a version of the configuration, unless a newer one is known.
func (a *Agent) Configure(c *catalog.Config, revision uint64) {
	a.mu.Lock()
	if a.config == nil || c.Version > a.config.Version {
		a.config = c
	}
	a.mu.Unlock()
	a.log.State("configuration read", "version", c.Version, "revision", revision)
}

// SetUpstreams takes the whole list of upstreams.
func (a *Agent) SetUpstreams(all []catalog.Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.replace(time.Now(), all)
}

// Config returns the handler for the operator's configuration.
func (a *Agent) Config() follow.Handler { return follow.Configs(a.log, a.Configure) }

// Upstreams returns the handler for the list of upstreams.
func (a *Agent) Upstreams() follow.Handler {
	return follow.Upstreams(a.log, follow.UpstreamHandler{
		Listed: a.SetUpstreams,
		Put: func(u catalog.Upstream, _ uint64) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.list.put(time.Now(), u)
		},
		Removed: func(id string, _ uint64) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.list.remove(id)
		},
	})
}

// fencePause is the time between two tries to get a fencing token.
const fencePause = 500 * time.Millisecond

// AcquireToken gets a fencing token from the store: the revision of a write, which grows over processes and VMs.
func (a *Agent) AcquireToken(ctx context.Context, store *platform.Store) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		token, err := store.Write(call, platform.KindFences, a.set.Node, map[string]int64{"startedMs": time.Now().UnixNano()})
		cancel()
		if err == nil {
			a.SetToken(token)
			a.log.State("fencing token taken", "token", token)
			return
		}
		a.log.State("no fencing token yet", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(fencePause):
		}
	}
}
