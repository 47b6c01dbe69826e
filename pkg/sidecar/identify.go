package sidecar

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// instanceQueryInterval is the time between two questions for the engine's id, which take a place at the engine.
const instanceQueryInterval = 300 * time.Millisecond

// engineInstance is the engine's id by its own word.
type engineInstance struct {
	id            string
	startedUnixMS int64
	queriedAt     time.Time // of the last question
}

// identify sets the id, service and zone of the engine that reports: from the list, or until it names the incarnation from
// the engine's health check. They stay empty if neither tells.
func (a *Agent) identify(ctx context.Context, u *catalog.Upstream) {
	u.ID, u.Address, u.Service, u.Zone = "", a.set.Address, a.set.Service, a.set.Zone
	path := ""
	a.mu.Lock()
	for _, l := range a.list.byID {
		if l.Address == a.set.Address && (u.Born == 0 || l.Born == u.Born) {
			u.ID, u.Service, u.Zone = l.ID, l.Service, l.Zone
			u.Draining = u.Draining || l.Draining
		}
	}
	if a.config != nil {
		path = a.config.Services[u.Service].HealthPath
	}
	a.mu.Unlock()
	if u.ID != "" || u.Born == 0 || path == "" {
		return
	}
	if a.instance.startedUnixMS != u.Born && time.Since(a.instance.queriedAt) >= instanceQueryInterval {
		id, err := a.engine.Instance(ctx, path)
		a.instance = engineInstance{queriedAt: time.Now()}
		if err == nil {
			a.instance.id, a.instance.startedUnixMS = id, u.Born
		}
		a.log.State("engine asked for its id", "id", id, "born", u.Born, "err", err)
	}
	if a.instance.startedUnixMS == u.Born {
		u.ID = a.instance.id
	}
}
