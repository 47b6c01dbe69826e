package gateway

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

// Limits keeps the rates that upstreams name. Package upstreamlimit decides.
type Limits struct {
	log   *eventlog.Log
	scope tally.Scope

	mu sync.Mutex // guards the fields below
	// named is what each upstream's last answer named, by instance.
	named map[upstreamlimit.Instance]float64
}

// NewLimits returns the limits of the router.
func NewLimits(log *eventlog.Log, scope tally.Scope) *Limits {
	return &Limits{log: log, scope: scope, named: map[upstreamlimit.Instance]float64{}}
}

// instanceOf returns the instance of an upstream that a request is sent to.
func instanceOf(u *dispatch.UpstreamRef) upstreamlimit.Instance {
	return upstreamlimit.Instance{ID: u.ID, StartedUnixMS: u.StartedUnixMS}
}

// observe records what an answer to the request with the id says about the limit of its upstream.
func (l *Limits) observe(i upstreamlimit.Instance, kind upstreamlimit.Kind, perS float64, id string) {
	l.mu.Lock()
	before, known := l.named[i]
	switch kind {
	case upstreamlimit.Named:
		l.named[i] = perS
	case upstreamlimit.Absent:
		delete(l.named, i)
	}
	count := len(l.named)
	l.mu.Unlock()
	switch {
	case kind == upstreamlimit.Named && !known:
		l.log.State("upstream names a limit", "upstream", i.ID, "per_s", perS, "id", id)
	case kind == upstreamlimit.Named && before != perS:
		l.log.State("upstream names another limit", "upstream", i.ID, "per_s", perS, "before_per_s", before, "id", id)
	case kind == upstreamlimit.Absent && known:
		l.log.State("upstream names no limit any more", "upstream", i.ID, "before_per_s", before, "id", id)
	default:
		return
	}
	l.scope.Gauge("upstreams_with_limit").Update(float64(count))
}
