package sidecar

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Config returns the handler for the operator's configuration.
func (a *Agent) Config() follow.Handler {
	take := func(objects []platform.Object) {
		for _, o := range objects {
			if o.Name != platform.NameConfig || o.Deleted {
				continue
			}
			cfg, err := platform.DecodeConfig(o.Spec)
			if err != nil {
				a.log.State("configuration cannot be read, the last one stays in force", "revision", o.Revision, "err", err)
				continue
			}
			a.mu.Lock()
			if a.config == nil || cfg.Version > a.config.Version {
				a.config = cfg
			}
			a.mu.Unlock()
			a.log.State("configuration read", "version", cfg.Version, "revision", o.Revision)
		}
	}
	return follow.Handler{Listed: take, Changed: take}
}

// Upstreams returns the handler for the list of upstreams.
func (a *Agent) Upstreams() follow.Handler {
	put := func(objects []platform.Object) {
		for _, o := range objects {
			if o.Deleted {
				delete(a.listed, o.Name)
				continue
			}
			u, err := platform.DecodeUpstream(o)
			if err != nil {
				a.log.State("upstream entry cannot be used", "name", o.Name, "revision", o.Revision, "err", err)
				continue
			}
			if _, known := a.listed[o.Name]; !known {
				a.grownAt = time.Now()
			}
			a.listed[o.Name] = u
		}
	}
	return follow.Handler{
		Listed: func(objects []platform.Object) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.listed = map[string]catalog.Upstream{}
			put(objects)
		},
		Changed: func(objects []platform.Object) {
			a.mu.Lock()
			defer a.mu.Unlock()
			put(objects)
		},
	}
}

// fencePause is the time between two tries to get a fencing token.
const fencePause = 500 * time.Millisecond

// Fence gets a fencing token from the store: the revision of a write, which grows over processes and VMs.
func (a *Agent) Fence(ctx context.Context, store *platform.Store) {
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
