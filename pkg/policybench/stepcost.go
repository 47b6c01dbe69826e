package policybench

import (
	"fmt"
	"io"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
)

const (
	// The design scale (design page, section 1.5).
	scaleModels, scaleAdapters = 150, 9500
	scaleRequests              = 36.0 // per second and process
	// maxCoreShare is the control overhead that a node may have, of which residency is a part.
	maxCoreShare = 0.012
	// ticksPerSecond is how often a busy agent steps the state.
	ticksPerSecond = 10.0
	// stepRounds is how many steps are timed.
	stepRounds = 3000
	// scaleResidents is how many models the timed upstream holds.
	scaleResidents = 8
)

// scaleState returns the state of an upstream at the design scale with some models loaded, each in use.
func scaleState(now time.Time) *residency.State {
	c := &config.Config{Limits: config.Limits{UpstreamMemoryBytes: 1 << 50}, Weights: config.Weights{ColdStart: 0.01, IdleAccelerator: 1}}
	for i := range scaleModels {
		c.Models = append(c.Models, config.Model{Name: fmt.Sprintf("model-%d", i), Group: "g", MaxReplicas: 1, MemoryBytes: 1 << 30, Accelerators: 1})
	}
	for i := range scaleAdapters {
		c.Adapters = append(c.Adapters, config.Adapter{Name: fmt.Sprintf("adapter-%d", i), Model: c.Models[i%scaleModels].Name, MemoryBytes: 1 << 20})
	}
	s := residency.New(residency.Options{VM: "vm", Incarnation: "i", Group: "g"})
	s.Step(now, residency.Configured{Document: &config.Document{Version: 1, Digest: "d", Config: c}})
	l := engine.Listing{MemoryBytes: 1 << 50}
	for i, m := range c.Models {
		o := grant.Object{Ceiling: 1, Stamp: config.Stamp{Version: 1, Digest: "d"}}
		if i < scaleResidents {
			o.Grants = []grant.Grant{{VM: "vm", Incarnation: "i", Generation: 1}}
			l.Resident = append(l.Resident, engine.Resident{Target: engine.Target{Model: m.Name}})
		}
		s.Step(now, residency.ObjectRead{Key: grant.Key(m.Name), Version: 1, Value: o.Encode()})
	}
	s.Step(now, residency.Listed{Listing: l})
	return s
}

// timeSteps returns the mean time of a step with an event that has no other effect, or begins and ends a request.
func timeSteps(s *residency.State, now time.Time, events ...residency.Event) time.Duration {
	began := time.Now()
	for range stepRounds {
		for _, ev := range events {
			now = now.Add(time.Millisecond)
			s.Step(now, ev)
		}
	}
	return time.Since(began) / time.Duration(stepRounds*len(events))
}

// runSteps measures what the decisions cost at the design scale. It is the only figure that depends on the machine.
func runSteps(w io.Writer) []string {
	now := time.Unix(1000, 0)
	s := scaleState(now)
	target := engine.Target{Model: "model-0"}
	tick := timeSteps(s, now, residency.Tick{})
	use := timeSteps(s, now, residency.Use{Target: target, Begin: true}, residency.Use{Target: target})
	want := timeSteps(s, now, residency.LoadRequested{Target: target, Deadline: now.Add(time.Minute)})
	share := ticksPerSecond*tick.Seconds() + scaleRequests*(2*use+want).Seconds()
	fmt.Fprintf(w, "\nresidency steps, %d models, %d adapters, %d resident: tick %v, use %v, want %v; %.3f%% of a core at %g requests/s (limit for the whole process %.1f%%)\n",
		scaleModels, scaleAdapters, len(s.Residents()), tick, use, want, 100*share, scaleRequests, 100*maxCoreShare)
	if share > maxCoreShare {
		return []string{fmt.Sprintf("residency takes %.3f%% of a core, bound %.1f%%", 100*share, 100*maxCoreShare)}
	}
	return nil
}
