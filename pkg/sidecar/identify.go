package sidecar

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// instanceQueryInterval is the time between two queries for the engine's id, each of which uses a slot of the engine.
const instanceQueryInterval = 300 * time.Millisecond

// engineInstance is the id that the engine's health check returned for the instance started at startedUnixMS.
type engineInstance struct {
	id            string
	startedUnixMS int64
	queriedAt     time.Time // time of the last query
}

// identify sets the id, service and zone of the reporting engine from the list of upstreams. Until the list contains
// the running instance, the id comes from the engine's health check; it stays empty if neither source has it.
func (a *Agent) identify(ctx context.Context, u *catalog.Upstream) {
	u.ID, u.Address, u.Service, u.Zone = "", a.settings.Address, a.settings.Service, a.settings.Zone
	path := ""
	a.mu.Lock()
	for _, listed := range a.list.byID {
		if listed.Address == a.settings.Address && (u.StartedUnixMS == 0 || listed.StartedUnixMS == u.StartedUnixMS) {
			u.ID, u.Service, u.Zone = listed.ID, listed.Service, listed.Zone
			u.Draining = u.Draining || listed.Draining
		}
	}
	if a.config != nil {
		path = a.config.Services[u.Service].HealthPath
	}
	a.mu.Unlock()
	if u.ID != "" || u.StartedUnixMS == 0 || path == "" {
		return
	}
	if a.instance.startedUnixMS != u.StartedUnixMS && time.Since(a.instance.queriedAt) >= instanceQueryInterval {
		id, err := a.engine.Instance(ctx, path)
		a.instance = engineInstance{queriedAt: time.Now()}
		if err == nil {
			a.instance.id, a.instance.startedUnixMS = id, u.StartedUnixMS
		}
		a.log.State("engine id queried", "id", id, "born", u.StartedUnixMS, "err", err)
	}
	if a.instance.startedUnixMS == u.StartedUnixMS {
		u.ID = a.instance.id
	}
}
