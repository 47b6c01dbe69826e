// Package loadplan shares the weight store's limited speed between upstreams. Its limits concern speed only: two
// coordinators at once make loads slower, never unsafe.
package loadplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// MaxConcurrentLoads is how many concurrent loads the weight store serves at full speed (design page, section 1.2).
	MaxConcurrentLoads = 4
	// PermitExpiryFactor times the predicted time is how long a place is kept for a load that never reports its end.
	PermitExpiryFactor = 2
	// MaxWaiting bounds the asks that wait at a coordinator. Further asks get no answer and fall back.
	MaxWaiting = 4096
	// minPredicted keeps a place for small loads, whose time is dominated by fixed costs, s.
	minPredicted = time.Second
)

// Event is an input of Coordinator.Step.
type Event interface{ isEvent() }

// Ask is a request for a place from the VM named in it. A repeated ask with the same id moves its deadline, and is
// answered again if it has its place already.
type Ask struct{ Ask wire.LoadPermitRequest }

// PermitRelease returns a place or withdraws an ask.
type PermitRelease struct{ ID string }

// Tick lets places expire.
type Tick struct{}

func (Ask) isEvent()           {}
func (PermitRelease) isEvent() {}
func (Tick) isEvent()          {}

// Permit gives the load with the id a place. The agent sends wire.LoadGo to the VM.
type Permit struct{ VM, ID string }

// Coordinator hands out the places.
type Coordinator struct {
	places  int
	speed   float64
	waiting map[string]entry
	running map[string]entry
}

type entry struct {
	ask       wire.LoadPermitRequest
	deadline  time.Time
	predicted time.Duration
	started   time.Time
}

// NewCoordinator returns a coordinator with the given number of places. Speed is what the weight store gives one load,
// bytes per second; it must be positive.
func NewCoordinator(places int, speed float64) *Coordinator {
	return &Coordinator{places: places, speed: speed, waiting: map[string]entry{}, running: map[string]entry{}}
}

// Step takes an event and returns the places given now.
func (c *Coordinator) Step(now time.Time, ev Event) []Permit {
	var out []Permit
	switch ev := ev.(type) {
	case Ask:
		out = c.ask(now, ev.Ask)
	case PermitRelease:
		delete(c.waiting, ev.ID)
		delete(c.running, ev.ID)
	}
	c.forget(now)
	for len(c.running) < c.places && len(c.waiting) > 0 {
		out = append(out, c.start(now))
	}
	return out
}

func (c *Coordinator) ask(now time.Time, a wire.LoadPermitRequest) []Permit {
	if _, ok := c.running[a.ID]; ok {
		return []Permit{{VM: a.VM, ID: a.ID}}
	}
	if _, ok := c.waiting[a.ID]; !ok && len(c.waiting) >= MaxWaiting {
		return nil
	}
	c.waiting[a.ID] = entry{ask: a, deadline: now.Add(time.Duration(a.TimeoutMS) * time.Millisecond), predicted: Predict(a.Bytes, c.speed)}
	return nil
}

// Predict returns the time that a load of the given size takes at the given speed in bytes per second.
func Predict(bytes int64, speed float64) time.Duration {
	if speed <= 0 {
		return minPredicted
	}
	return max(minPredicted, time.Duration(float64(bytes)/speed*float64(time.Second)))
}

func (c *Coordinator) forget(now time.Time) {
	for id, e := range c.running {
		if now.Sub(e.started) > PermitExpiryFactor*e.predicted {
			delete(c.running, id)
		}
	}
}

// start gives a place to the ask with the earliest deadline. Asks that can no longer be in time go last: under overload
// they would otherwise make all later ones late as well.
func (c *Coordinator) start(now time.Time) Permit {
	ids := make([]string, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	late := func(e entry) int {
		if now.Add(e.predicted).After(e.deadline) {
			return 1
		}
		return 0
	}
	id := slices.MinFunc(ids, func(x, y string) int {
		a, b := c.waiting[x], c.waiting[y]
		return cmp.Or(cmp.Compare(late(a), late(b)), a.deadline.Compare(b.deadline), cmp.Compare(x, y))
	})
	e := c.waiting[id]
	e.started = now
	delete(c.waiting, id)
	c.running[id] = e
	return Permit{VM: e.ask.VM, ID: id}
}

// Running returns how many places are taken.
func (c *Coordinator) Running() int { return len(c.running) }

// Waiting returns how many asks wait for a place.
func (c *Coordinator) Waiting() int { return len(c.waiting) }
