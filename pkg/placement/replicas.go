package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// serviceSeconds is the time that one request occupies an engine's prefill, and targetUtilization the share of an
	// engine's time for which a replica is planned.
	serviceSeconds    = 0.15
	targetUtilization = 0.5
)

// ReplicasNeeded returns the number of replicas that a model needs for a rate in requests per second; 0 for a rate of
// 0.
func ReplicasNeeded(rate float64) int {
	return int(math.Ceil(rate * serviceSeconds / targetUtilization))
}

// fetchQueue returns the models to fetch from the weight store, the most requested first: those without a copy outside
// the store, and those that need an extra replica and have no cached copy. Models that are being fetched are left out.
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
	for name, waiting := range v.Demand.ExtraReplicas {
		add(name, waiting)
	}
	slices.SortStableFunc(queue, func(a, b string) int {
		return cmp.Or(cmp.Compare(waitingFor[b], waitingFor[a]), cmp.Compare(Rank(a, ""), Rank(b, "")))
	})
	return queue
}

// fetchConcurrency returns the number of loads that the weight store serves at full speed, as observed by the routers
// or else as configured.
func (v *View) fetchConcurrency() int {
	if v.Demand.FetchConcurrency > 0 {
		return v.Demand.FetchConcurrency
	}
	return v.FetchConcurrency
}
