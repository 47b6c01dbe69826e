package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
)

// Sync puts what the platform's store says into force.
type Sync struct {
	core *Core
	log  *eventlog.Log
	// known is called once there are both a configuration and a list of upstreams.
	known  func()
	config bool
	list   bool
}

// NewSync returns a sync that calls known when the router can serve.
func NewSync(core *Core, log *eventlog.Log, known func()) *Sync {
	return &Sync{core: core, log: log, known: known}
}

// Config returns the handler for the operator's configuration.
func (s *Sync) Config() follow.Handler {
	return follow.Configs(s.log, func(c *catalog.Config, revision uint64) {
		taken := false
		s.core.Update(func(st *dispatch.State) { taken = st.SetConfig(c) })
		s.log.State("configuration read", "version", c.Version, "revision", revision, "routes", c.RouteCount(), "in_force", taken)
		s.config = s.config || taken
		s.check()
	})
}

// Upstreams returns the handler for the list of upstreams.
func (s *Sync) Upstreams() follow.Handler {
	return follow.Upstreams(s.log, follow.UpstreamHandler{
		Listed: s.listed,
		Put: func(u catalog.Upstream, revision uint64) {
			s.core.Update(func(st *dispatch.State) { st.Fleet.Put(time.Now(), u) })
			s.log.State("upstream changed", "upstream", u.ID, "revision", revision, "draining", u.Draining, "models", len(u.Models))
		},
		Removed: func(id string, revision uint64) {
			s.core.Update(func(st *dispatch.State) { st.Fleet.Remove(time.Now(), id) })
			s.log.State("upstream removed from the list", "upstream", id, "revision", revision)
		},
		Returned: func() {
			s.core.Do(func(st *dispatch.State) { st.Fleet.Returned(time.Now()) })
		},
	})
}

func (s *Sync) listed(all []catalog.Upstream) {
	s.core.Update(func(st *dispatch.State) {
		st.Fleet.Sync(time.Now(), all)
		st.RecordListing(time.Now())
	})
	select {
	case s.core.listed <- struct{}{}:
	default: // a message to all agents is due already
	}
	s.log.State("upstreams listed", "count", len(all))
	s.list = true
	s.check()
}

func (s *Sync) check() {
	if s.config && s.list && s.known != nil {
		s.known()
		s.known = nil
	}
}
