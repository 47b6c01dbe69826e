package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// serviceSeconds is the time in seconds that one request takes from an engine's reading of prompts, and targetUse the share
	// of its time that a copy is planned for.
	serviceSeconds    = 0.15
	targetUtilization = 0.5
)

// ReplicasNeeded returns the number of copies that a model needs for a rate of requests per second; 0 for one without requests.
func ReplicasNeeded(rate float64) int {
	return int(math.Ceil(rate * serviceSeconds / targetUtilization))
}

// fetchQueue returns the models that are to be fetched from the weight store, in the order of their turns: those without a
// copy outside it and those whose copies are all loaded and too few, the most wanted first. Those that are being fetched
// are left out.
func (v *View) fetchQueue(missing []string) []string {
	var queue []string
	waitingFor := map[string]int{}
	add := func(name string, waiting int) {
		if slices.Contains(v.Demand.Fetching, name) {
			return
		}
		if _, known := waitingFor[name]; !known {
			queue = append(queue, name)
		}
		waitingFor[name] = max(waitingFor[name], waiting)
	}
	for _, name := range missing {
		add(name, v.Demand.Urgent[name])
	}
	for name, waiting := range v.Demand.More {
		add(name, waiting)
	}
	slices.SortStableFunc(queue, func(a, b string) int {
		return cmp.Or(cmp.Compare(waitingFor[b], waitingFor[a]), cmp.Compare(Rank(a, ""), Rank(b, "")))
	})
	return queue
}

// fetchConcurrency returns the number of loads that the weight store serves at full speed, as the routers have seen it or else as it
// is set.
func (v *View) fetchConcurrency() int {
	if v.Demand.Parallel > 0 {
		return v.Demand.Parallel
	}
	return v.Parallel
}
