package sidecar

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
)

// Configure applies a version of the configuration, unless the agent already has the same or a newer one.
func (a *Agent) Configure(c *catalog.Config, revision uint64) {
	a.mu.Lock()
	if a.config == nil || c.Version > a.config.Version {
		a.config = c
		a.prompts.configure(c, a.lastService)
	}
	a.mu.Unlock()
	a.log.State("configuration read", "version", c.Version, "revision", revision)
}

// SetUpstreams replaces the list of upstreams.
func (a *Agent) SetUpstreams(all []catalog.Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.replace(time.Now(), all)
}

// Config returns the handler that applies the operator's configuration.
func (a *Agent) Config() follow.Handler { return follow.Configs(a.log, a.Configure) }

// Upstreams returns the handler that applies the list of upstreams and its changes.
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
