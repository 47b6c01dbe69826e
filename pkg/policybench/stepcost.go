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
	// maxCoreShare is the maximum control overhead of a node. Residency is a part of it.
	maxCoreShare = 0.012
	// ticksPerSecond is the rate at which a busy agent steps the state.
	ticksPerSecond = 10.0
	// stepRounds is the number of timed rounds.
	stepRounds = 3000
	// scaleResidents is the number of models loaded at the timed upstream.
	scaleResidents = 8
)

// scaleState returns the state of an upstream at the design scale with scaleResidents models loaded.
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

// timeSteps returns the mean time of a step. The events must leave the state as it was, so that every round is alike.
func timeSteps(s *residency.State, now time.Time, events ...residency.Event) time.Duration {
	startedAt := time.Now()
	for range stepRounds {
		for _, ev := range events {
			now = now.Add(time.Millisecond)
			s.Step(now, ev)
		}
	}
	return time.Since(startedAt) / time.Duration(stepRounds*len(events))
}

// runSteps measures the CPU time of the residency decisions at the design scale. Like the cost of a keyed call, it
// depends on the machine.
func runSteps(w io.Writer) []string {
	now := time.Unix(1000, 0)
	s := scaleState(now)
	target := engine.Target{Model: "model-0"}
	tick := timeSteps(s, now, residency.Tick{})
	use := timeSteps(s, now, residency.Use{Target: target, Begin: true}, residency.Use{Target: target})
	loadRequest := timeSteps(s, now, residency.LoadRequested{Target: target, Deadline: now.Add(time.Minute)})
	share := ticksPerSecond*tick.Seconds() + scaleRequests*(2*use+loadRequest).Seconds()
	fmt.Fprintf(w, "\nresidency steps, %d models, %d adapters, %d resident: tick %v, use %v, want %v; %.3f%% of a core at %g requests/s (limit for the whole process %.1f%%)\n",
		scaleModels, scaleAdapters, len(s.Residents()), tick, use, loadRequest, 100*share, scaleRequests, 100*maxCoreShare)
	if share > maxCoreShare {
		return []string{fmt.Sprintf("residency takes %.3f%% of a core, bound %.1f%%", 100*share, 100*maxCoreShare)}
	}
	return nil
}
