package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

const (
	// instanceQueryInterval is the time between two queries for the engine's id, each of which uses a slot of the engine.
	instanceQueryInterval = 300 * time.Millisecond
	// instanceQueryTimeout bounds one query. The engine's health check waits for a slot like a request, and its reply can
	// be lost.
	instanceQueryTimeout = time.Second
)

// errQueryPanicked is the outcome of a query that panicked.
var errQueryPanicked = errors.New("query for the engine's id panicked")

// instanceQuery is the state of the queries for the engine's id.
type instanceQuery struct {
	id            string // id of the instance started at startedUnixMS
	startedUnixMS int64
	inProgress    bool
	endedAt       time.Time // end of the last query
	replies       chan instanceReply
}

// instanceReply is the outcome of a query for the id of the instance that reported its start at startedUnixMS.
type instanceReply struct {
	id            string
	startedUnixMS int64
	err           error
}

// identify sets the id, service and zone of the reporting engine from the list of upstreams. Until the list contains
// the running instance, the id comes from the engine's health check; it stays empty if neither source has it. The service
// stays empty.
func (a *Agent) identify(ctx context.Context, u *catalog.Upstream) {
	u.ID, u.Address, u.Service, u.Zone = "", a.settings.Address, "", a.settings.Zone
	path := ""
	a.mu.Lock()
	for _, listed := range a.list.byID {
		if listed.Address == a.settings.Address && (u.StartedUnixMS == 0 || listed.StartedUnixMS == u.StartedUnixMS) {
			u.ID, u.Service, u.Zone = listed.ID, listed.Service, listed.Zone
			u.Draining = u.Draining || listed.Draining
			a.setService(listed.Service)
		}
	}
	if a.config != nil {
		path = a.config.Services[a.lastService].HealthPath
	}
	a.mu.Unlock()
	if u.ID != "" || u.StartedUnixMS == 0 {
		return
	}
	if a.instance.startedUnixMS == u.StartedUnixMS {
		u.ID = a.instance.id
		return
	}
	if path != "" && !a.instance.inProgress && time.Since(a.instance.endedAt) >= instanceQueryInterval {
		a.instance.inProgress = true
		go a.queryInstance(ctx, path, u.StartedUnixMS)
	}
}

// setService records the service that the list states for the engine. The caller holds mu.
func (a *Agent) setService(service string) {
	if service == a.lastService {
		return
	}
	a.log.State("engine of another service", "service", service, "before", a.lastService)
	a.lastService = service
	if a.config != nil {
		a.prompts.configure(a.config, service)
	}
}

// queryInstance queries the engine's health check for its id. It runs beside the rounds, so that reports and orders do
// not wait for the engine's reply.
func (a *Agent) queryInstance(ctx context.Context, path string, startedUnixMS int64) {
	reply := instanceReply{startedUnixMS: startedUnixMS, err: errQueryPanicked}
	defer func() { a.instance.replies <- reply }()
	a.guard.Do("query for the engine's id", func() {
		callCtx, cancel := context.WithTimeout(ctx, instanceQueryTimeout)
		defer cancel()
		reply.id, reply.err = a.engine.Instance(callCtx, path)
	})
}

func (a *Agent) applyInstanceReply(r instanceReply) {
	a.instance.inProgress, a.instance.endedAt = false, time.Now()
	if r.err == nil {
		a.instance.id, a.instance.startedUnixMS = r.id, r.startedUnixMS
	}
	a.log.State("engine id queried", "id", r.id, "born", r.startedUnixMS, "err", r.err)
}
