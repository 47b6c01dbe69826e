// Package placement decides which models and adapters an upstream loads and unloads, and at which upstream requests
// wait for a model that no upstream has loaded. Every process computes the same result from the same list of
// upstreams, so no coordinator is needed.
package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// Adapter identifies an adapter of a model.
type Adapter struct{ Model, Name string }

// Rank returns the rendezvous weight of a model at an upstream. It is the same in all processes.
func Rank(model, upstream string) uint64 { return xxhash.Sum64String(model + "\x00" + upstream) }

// Assignment is the upstream at which a model that is not loaded is to be loaded, and the tier of the model's weights
// there.
type Assignment struct {
	Upstream string
	Tier     catalog.Tier
}

// Assign returns the assignment of each model. A model with a copy outside the weight store is assigned to the
// upstream with the nearest copy. The others are spread so that each upstream has the same number of models to fetch.
// The second result lists the models to fetch in the order of their loads, by the number of waiting requests in
// urgent, the highest first.
func Assign(models map[string]catalog.Model, upstreams []catalog.Upstream, urgent map[string]int) (map[string]Assignment, []string) {
	assignments := make(map[string]Assignment, len(models))
	candidates := nonDraining(upstreams)
	if len(candidates) == 0 {
		return assignments, nil
	}
	assignedCount := map[string]int{}
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(models)) {
		best, tier := nearest(name, candidates)
		if tier == catalog.TierStore {
			missing = append(missing, name)
			continue
		}
		assignments[name] = Assignment{Upstream: best, Tier: tier}
		assignedCount[best]++
	}
	slices.SortStableFunc(missing, func(a, b string) int {
		return cmp.Or(cmp.Compare(urgent[b], urgent[a]), cmp.Compare(Rank(a, ""), Rank(b, "")))
	})
	for _, name := range missing {
		best := slices.MinFunc(candidates, func(a, b catalog.Upstream) int {
			return cmp.Or(cmp.Compare(assignedCount[a.ID], assignedCount[b.ID]), cmp.Compare(Rank(name, b.ID), Rank(name, a.ID)))
		})
		assignments[name] = Assignment{Upstream: best.ID, Tier: catalog.TierStore}
		assignedCount[best.ID]++
	}
	return assignments, missing
}

// nonDraining returns the upstreams that are not draining.
func nonDraining(upstreams []catalog.Upstream) []catalog.Upstream {
	var out []catalog.Upstream
	for _, u := range upstreams {
		if !u.Draining {
			out = append(out, u)
		}
	}
	return out
}

// nearest returns the upstream with the nearest copy of the model and the tier of that copy; "" and TierStore if
// there is none.
func nearest(model string, upstreams []catalog.Upstream) (string, catalog.Tier) {
	best, tier := "", catalog.TierStore
	for i := range upstreams {
		u := &upstreams[i]
		t := u.Tier(model)
		if t == catalog.TierStore {
			continue
		}
		if best == "" || t < tier || t == tier && Rank(model, u.ID) > Rank(model, best) {
			best, tier = u.ID, t
		}
	}
	return best, tier
}
