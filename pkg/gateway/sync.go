package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
)

// Sync applies the configuration and the list of upstreams that are read from the platform store.
type Sync struct {
	core *Core
	log  *eventlog.Log
	// onReady is called once both a configuration and a list of upstreams have been read.
	onReady      func()
	hasConfig    bool
	hasUpstreams bool
}

// NewSync returns a sync that calls onReady when the router can serve.
func NewSync(core *Core, log *eventlog.Log, onReady func()) *Sync {
	return &Sync{core: core, log: log, onReady: onReady}
}

// Config returns the handler for the operator's configuration.
func (s *Sync) Config() follow.Handler {
	h := follow.Configs(s.log, func(c *catalog.Config, revision uint64) {
		applied := false
		s.core.Update(func(st *dispatch.State) { applied = st.SetConfig(c) })
		s.log.State("configuration read", "version", c.Version, "revision", revision, "routes", c.RouteCount(), "in_force", applied)
		s.hasConfig = s.hasConfig || applied
		s.checkReady()
	})
	if s.core.hasRevokeDelay() {
		h.Proved = s.core.RecordConfigProof
	}
	return h
}

// Upstreams returns the handler for the list of upstreams.
func (s *Sync) Upstreams() follow.Handler {
	return follow.Upstreams(s.log, follow.UpstreamHandler{
		Listed: s.applyList,
		Put: func(u catalog.Upstream, revision uint64) {
			s.core.Update(func(st *dispatch.State) { st.Fleet.Put(time.Now(), u) })
			s.log.State("upstream changed", "upstream", u.ID, "revision", revision, "service", u.Service, "address", u.Address, "born", u.StartedUnixMS, "draining", u.Draining, "models", len(u.Models))
		},
		Removed: func(id string, revision uint64) {
			s.core.Update(func(st *dispatch.State) { st.Fleet.Remove(time.Now(), id) })
			s.log.State("upstream removed from the list", "upstream", id, "revision", revision)
		},
		Recovered: func() {
			s.core.Do(func(st *dispatch.State) { st.Fleet.RecordStoreRecovery(time.Now()) })
		},
		Restored: func() {
			s.core.Do(func(st *dispatch.State) { st.Fleet.RecordRestore(time.Now()) })
		},
	})
}

func (s *Sync) applyList(all []catalog.Upstream) {
	s.core.Update(func(st *dispatch.State) {
		st.Fleet.Sync(time.Now(), all)
		st.RecordListing(time.Now())
	})
	select {
	case s.core.upstreamsListed <- struct{}{}:
	default: // a message to all agents is already pending
	}
	s.log.State("upstreams listed", "count", len(all))
	s.hasUpstreams = true
	s.checkReady()
}

func (s *Sync) checkReady() {
	if s.hasConfig && s.hasUpstreams && s.onReady != nil {
		s.onReady()
		s.onReady = nil
	}
}
