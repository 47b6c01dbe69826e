// Package loadplan limits the concurrent loads from the weight store, which upstreams share. Its permits concern
// speed only: two coordinators at the same time make loads slower, never unsafe.
package loadplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// MaxConcurrentLoads is the number of concurrent loads that the weight store serves at full speed (design page,
	// section 1.2).
	MaxConcurrentLoads = 4
	// PermitExpiryFactor times the predicted time is how long a permit stays valid for a load that never reports its
	// end.
	PermitExpiryFactor = 2
	// MaxWaiting bounds the queue of requests at a coordinator. Further requests get no reply, and their agents load
	// under the local limit.
	MaxWaiting = 4096
	// minPredictedTime is the least predicted time of a load; the time of small loads is dominated by fixed costs.
	minPredictedTime = time.Second
)

// Event is an input of Coordinator.Step.
type Event interface{ isEvent() }

// PermitRequest is the event of a permit request from the VM named in it. A request repeated with the same id moves its
// deadline; if it has its permit already, the permit is issued again.
type PermitRequest struct{ Request wire.LoadPermitRequest }

// PermitRelease is the event that releases a permit or withdraws a request.
type PermitRelease struct{ ID string }

// Tick is the event that lets permits expire.
type Tick struct{}

func (PermitRequest) isEvent() {}
func (PermitRelease) isEvent() {}
func (Tick) isEvent()          {}

// Permit allows the VM to start the load with the id. The agent sends it to the VM.
type Permit struct{ VM, ID string }

// Coordinator issues the load permits.
type Coordinator struct {
	maxConcurrent  int
	bytesPerSecond float64
	waiting        map[string]entry
	running        map[string]entry
}

type entry struct {
	request   wire.LoadPermitRequest
	deadline  time.Time
	predicted time.Duration
	started   time.Time
}

// NewCoordinator returns a coordinator that allows maxConcurrent loads at a time. The argument bytesPerSecond is the
// weight store's speed for one load; it must be positive.
func NewCoordinator(maxConcurrent int, bytesPerSecond float64) *Coordinator {
	return &Coordinator{maxConcurrent: maxConcurrent, bytesPerSecond: bytesPerSecond, waiting: map[string]entry{}, running: map[string]entry{}}
}

// Step applies an event and returns the permits issued by it.
func (c *Coordinator) Step(now time.Time, ev Event) []Permit {
	var out []Permit
	switch ev := ev.(type) {
	case PermitRequest:
		out = c.request(now, ev.Request)
	case PermitRelease:
		delete(c.waiting, ev.ID)
		delete(c.running, ev.ID)
	}
	c.expirePermits(now)
	for len(c.running) < c.maxConcurrent && len(c.waiting) > 0 {
		out = append(out, c.issue(now))
	}
	return out
}

func (c *Coordinator) request(now time.Time, req wire.LoadPermitRequest) []Permit {
	if _, ok := c.running[req.ID]; ok {
		return []Permit{{VM: req.VM, ID: req.ID}}
	}
	if _, ok := c.waiting[req.ID]; !ok && len(c.waiting) >= MaxWaiting {
		return nil
	}
	c.waiting[req.ID] = entry{request: req, deadline: now.Add(time.Duration(req.TimeoutMS) * time.Millisecond), predicted: Predict(req.Bytes, c.bytesPerSecond)}
	return nil
}

// Predict returns the predicted time of a load of the given size.
func Predict(bytes int64, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return minPredictedTime
	}
	return max(minPredictedTime, time.Duration(float64(bytes)/bytesPerSecond*float64(time.Second)))
}

// expirePermits removes the permits of loads that have not reported their end in time.
func (c *Coordinator) expirePermits(now time.Time) {
	for id, e := range c.running {
		if now.Sub(e.started) > PermitExpiryFactor*e.predicted {
			delete(c.running, id)
		}
	}
}

// issue issues a permit to the request with the earliest deadline. Requests that can no longer meet their deadline
// come last: under overload they would otherwise make all later ones late as well.
func (c *Coordinator) issue(now time.Time) Permit {
	ids := make([]string, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	tooLate := func(e entry) int {
		if now.Add(e.predicted).After(e.deadline) {
			return 1
		}
		return 0
	}
	id := slices.MinFunc(ids, func(x, y string) int {
		a, b := c.waiting[x], c.waiting[y]
		return cmp.Or(cmp.Compare(tooLate(a), tooLate(b)), a.deadline.Compare(b.deadline), cmp.Compare(x, y))
	})
	e := c.waiting[id]
	e.started = now
	delete(c.waiting, id)
	c.running[id] = e
	return Permit{VM: e.request.VM, ID: id}
}

// Running returns the number of permits in use.
func (c *Coordinator) Running() int { return len(c.running) }

// Waiting returns the number of requests that wait for a permit.
func (c *Coordinator) Waiting() int { return len(c.waiting) }
