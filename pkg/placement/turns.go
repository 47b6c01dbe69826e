package placement

import (
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// Turns is what the coordinator of the fetches from the weight store has granted to the upstream.
type Turns struct {
	// Model is the model that the upstream may fetch now; empty if there is none.
	Model string
	// Offered is a model that the upstream should fetch as a second copy if it has room; empty if there is none.
	Offered string
}

// Want is a model that an upstream wants to fetch from the weight store.
type Want struct {
	Model string `cbor:"1,keyasint"`
	// Preload reports whether no request waits for the model at this upstream. Only spare replicas are unloaded for it.
	Preload bool `cbor:"2,keyasint,omitempty"`
}

// Wants returns the models that the upstream would fetch if it had a turn, in the order of its own preference: those that
// requests wait for here, then those without a copy that are assigned to it, then the offered one. Models without room
// are left out, since a turn for them would not be used.
func Wants(v View, limit int) []Want {
	if v.Self.Draining || !v.FetchAllowed {
		return nil
	}
	var out []Want
	add := func(name string, preload bool) {
		_, known := v.Engine.Models[name]
		if !known || len(out) >= limit || v.Self.Tier(name) != catalog.TierStore || slices.ContainsFunc(out, func(w Want) bool { return w.Model == name }) {
			return
		}
		if _, _, ok := v.planLoad(name, preload); ok {
			out = append(out, Want{Model: name, Preload: preload})
		}
	}
	for _, name := range v.waitingModels() {
		add(name, false)
	}
	if !v.Stable {
		return out
	}
	assignments, missing := Assign(v.Engine.Models, v.Upstreams, v.Demand.Urgent)
	for _, name := range v.fetchQueue(missing) {
		if a, ok := assignments[name]; ok && a.Upstream == v.Self.ID && a.Tier == catalog.TierStore {
			add(name, true)
		}
	}
	if v.Turns != nil && v.Turns.Offered != "" {
		add(v.Turns.Offered, true)
	}
	return out
}

// planTurn returns the order towards the fetch for which the upstream has a turn, if no request waits for the model here.
func (v *View) planTurn() (Order, Reason, bool) {
	name := v.Turns.Model
	if name == "" || v.Self.Tier(name) != catalog.TierStore || v.Demand.Models[name] > 0 {
		return Order{}, "", false
	}
	if _, known := v.Engine.Models[name]; !known {
		return Order{}, "", false
	}
	return v.planModel(name, true)
}
