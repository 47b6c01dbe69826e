package gateway

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/follow"
	"github.com/hibiscuscross/hibiscuscross/platform"
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
	return follow.Handler{Listed: s.configure, Changed: s.configure}
}

func (s *Sync) configure(objects []platform.Object) {
	for _, o := range objects {
		if o.Name != platform.NameConfig || o.Deleted {
			continue
		}
		cfg, err := platform.DecodeConfig(o.Spec)
		if err != nil {
			s.log.State("configuration cannot be read, the last one stays in force", "revision", o.Revision, "err", err)
			continue
		}
		taken := false
		s.core.Update(func(st *dispatch.State) { taken = st.SetConfig(cfg) })
		s.log.State("configuration read", "version", cfg.Version, "revision", o.Revision, "routes", cfg.Routes(), "in_force", taken)
		s.config = s.config || taken
	}
	s.check()
}

// Upstreams returns the handler for the list of upstreams.
func (s *Sync) Upstreams() follow.Handler {
	return follow.Handler{
		Listed: func(objects []platform.Object) {
			ups := s.decode(objects)
			s.core.Update(func(st *dispatch.State) {
				st.Fleet.Sync(time.Now(), ups)
				st.Listed(time.Now())
			})
			select {
			case s.core.listed <- struct{}{}:
			default: // a message to all agents is due already
			}
			s.log.State("upstreams listed", "count", len(ups))
			s.list = true
			s.check()
		},
		Changed: func(objects []platform.Object) {
			for _, o := range objects {
				s.change(o)
			}
		},
		Returned: func() {
			s.core.Do(func(st *dispatch.State) { st.Fleet.Returned(time.Now()) })
		},
	}
}

func (s *Sync) decode(objects []platform.Object) []catalog.Upstream {
	var ups []catalog.Upstream
	for _, o := range objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			s.log.State("upstream entry cannot be used", "name", o.Name, "revision", o.Revision, "err", err)
			continue
		}
		ups = append(ups, u)
	}
	return ups
}

func (s *Sync) change(o platform.Object) {
	now := time.Now()
	if o.Deleted {
		s.core.Update(func(st *dispatch.State) { st.Fleet.Remove(now, o.Name) })
		s.log.State("upstream removed from the list", "upstream", o.Name, "revision", o.Revision)
		return
	}
	for _, u := range s.decode([]platform.Object{o}) {
		s.core.Update(func(st *dispatch.State) { st.Fleet.Put(now, u) })
		s.log.State("upstream changed", "upstream", u.ID, "revision", o.Revision, "draining", u.Draining, "models", len(u.Models))
	}
}

func (s *Sync) check() {
	if s.config && s.list && s.known != nil {
		s.known()
		s.known = nil
	}
}
