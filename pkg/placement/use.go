package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// serviceTime is the time in seconds that one request takes from an engine's reading of prompts, and targetUse the share
	// of its time that a copy is planned for.
	serviceTime = 0.15
	targetUse   = 0.5
)

// ReplicasNeeded returns the number of copies that a model needs for a rate of requests per second; 0 for one without requests.
func ReplicasNeeded(rate float64) int { return int(math.Ceil(rate * serviceTime / targetUse)) }

// fetchQueue returns the models that are to be fetched from the weight store, in the order of their turns: those without a
// copy outside it and those whose copies are all loaded and too few, the most wanted first. Those that are being fetched
// are left out.
func (v *View) fetchQueue(missing []string) []string {
	var queue []string
	wanted := map[string]int{}
	add := func(name string, waiting int) {
		if slices.Contains(v.Demand.Fetching, name) {
			return
		}
		if _, known := wanted[name]; !known {
			queue = append(queue, name)
		}
		wanted[name] = max(wanted[name], waiting)
	}
	for _, name := range missing {
		add(name, v.Demand.Urgent[name])
	}
	for name, waiting := range v.Demand.More {
		add(name, waiting)
	}
	slices.SortStableFunc(queue, func(a, b string) int {
		return cmp.Or(cmp.Compare(wanted[b], wanted[a]), cmp.Compare(Rank(a, ""), Rank(b, "")))
	})
	return queue
}

// parallel returns the number of loads that the weight store serves at full speed, as the routers have seen it or else as it
// is set.
func (v *View) parallel() int {
	if v.Demand.Parallel > 0 {
		return v.Demand.Parallel
	}
	return v.Parallel
}
