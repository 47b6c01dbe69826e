package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// Order is an instruction to load or unload a model or an adapter of a model.
type Order struct {
	Unload         bool
	Model, Adapter string
}

// Reason is the reason for an order.
type Reason string

// Reasons for orders.
const (
	ReasonWaiting  Reason = "requests wait for it"
	ReasonEviction Reason = "makes room"
	ReasonPreload  Reason = "has no copy outside the weight store"
)

// Demand is what the routers request of one upstream and how often each model is used.
type Demand struct {
	// Models and Adapters count the requests that wait for a load at this upstream. Models, Urgent and ExtraReplicas
	// also count the requests refused within the last seconds because a model was not loaded.
	Models   map[string]int
	Adapters map[Adapter]int
	// Urgent counts the requests that wait for a model at any upstream.
	Urgent map[string]int
	// ExtraReplicas counts the requests that need an extra replica of a loaded model that has no cached copy.
	ExtraReplicas map[string]int
	// Fetching lists the models that upstreams are loading from the weight store. FetchConcurrency is the number of
	// loads that the routers have observed the store to serve at full speed; 0 if unknown.
	Fetching         []string
	FetchConcurrency int
	// Rate is the number of requests per second for each model over all routers.
	Rate map[string]float64
	// AdapterUsed is when each adapter was last requested at this upstream.
	AdapterUsed map[Adapter]time.Time
	// ModelUsage is the routers' usage of each model that is loaded here; it is empty until a router has reported.
	ModelUsage map[string]ModelUsage
}

// ModelUsage is the routers' usage of a model that is loaded at an upstream.
type ModelUsage struct {
	// HigherRanked is the number of upstreams that serve the model and rank higher than this one.
	HigherRanked int
	// Running counts the requests for the model that run at this upstream, and Adapters those for each of its
	// adapters.
	Running  int
	Adapters map[string]int
}

// View is the input of Plan.
type View struct {
	Self catalog.Upstream
	// Busy reports whether the engine executes an order, and LoadingAdapters lists the adapters that it is loading.
	Busy            bool
	LoadingAdapters []Adapter
	Engine          catalog.Engine
	// Upstreams lists the upstreams of the service, this one included.
	Upstreams []catalog.Upstream
	Demand    Demand
	// Stable reports whether the list of upstreams has not grown for a while. Assignments that are computed from an
	// incomplete list differ between upstreams.
	Stable bool
	// FetchAllowed reports whether a load from the weight store may begin now.
	FetchAllowed bool
	// FetchConcurrency is the number of loads that the weight store serves at full speed.
	FetchConcurrency int
	// Turns is what the coordinator of the fetches has granted; nil if the upstream decides alone.
	Turns *Turns
	// Reserved is kept free for orders of earlier that the engine may still carry out.
	Reserved Reserved
}

// Reserved is memory and adapter slots that no order may use.
type Reserved struct {
	MemoryMB     float64
	AdapterSlots int
}

// replicasAtUnknownUse is the number of replicas of a model that a preload leaves loaded while the model's use is
// unknown.
const replicasAtUnknownUse = 2

// Plan returns the next order for the upstream, if there is one. It is called again after each change of the view.
// Memory and adapter slots are computed from the view, so orders never exceed them.
func Plan(v View) (Order, Reason, bool) {
	if v.Self.Draining || v.Busy { // a busy engine refuses orders for adapters too
		return Order{}, "", false
	}
	if o, reason, ok := v.planAdapter(); ok {
		return o, reason, true
	}
	for _, name := range v.waitingModels() {
		if o, reason, ok := v.planModel(name, false); ok {
			return o, reason, true
		}
	}
	if !v.Stable {
		return Order{}, "", false
	}
	return v.planPreload()
}

// planAdapter returns an order for the most requested adapter whose model is loaded.
func (v *View) planAdapter() (Order, Reason, bool) {
	requested := slices.Collect(maps.Keys(v.Demand.Adapters))
	slices.SortFunc(requested, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(v.Demand.Adapters[b], v.Demand.Adapters[a]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
	for _, a := range requested {
		if !v.Self.Holds(a.Model) || v.Self.HoldsAdapter(a.Model, a.Name) || slices.Contains(v.LoadingAdapters, a) {
			continue
		}
		if len(v.LoadingAdapters) >= maxLoadingAdapters {
			return Order{}, "", false
		}
		used, sizeMB := v.adapterCount()+len(v.LoadingAdapters), v.Engine.Models[a.Model].AdapterMB
		full := used+v.Reserved.AdapterSlots >= v.Engine.AdapterSlots
		if !full && v.freeMB() >= sizeMB {
			return Order{Model: a.Model, Adapter: a.Name}, ReasonWaiting, true
		}
		if used < v.Engine.AdapterSlots && v.freeMB()+v.Reserved.MemoryMB >= sizeMB {
			return Order{}, "", false // the reservation ends within seconds; nothing is evicted for it
		}
		if victim, ok := v.idleAdapter(); ok {
			return Order{Unload: true, Model: victim.Model, Adapter: victim.Name}, ReasonEviction, true
		}
		if full {
			return Order{}, "", false
		}
		victim, ok := v.leastUsed(v.idleModelsForAdapter(a.Model)) // models occupy all of the memory
		return Order{Unload: true, Model: victim}, ReasonEviction, ok
	}
	return Order{}, "", false
}

// maxLoadingAdapters is the number of adapters that an engine loads concurrently.
const maxLoadingAdapters = 4

// adapterCount returns the number of loaded adapters.
func (v *View) adapterCount() int {
	n := 0
	for _, m := range v.Self.Models {
		n += len(m.Adapters)
	}
	return n
}

// idleAdapter returns the least recently requested adapter among those that no request waits for or runs with.
// Unloading an adapter in use waits for its running requests to end, and the engine accepts no other order until
// then.
func (v *View) idleAdapter() (Adapter, bool) {
	var best Adapter
	found := false
	for _, m := range v.Self.Models {
		for _, name := range m.Adapters {
			a := Adapter{Model: m.Model, Name: name}
			if v.Demand.Adapters[a] > 0 || v.Demand.ModelUsage[m.Model].Adapters[name] > 0 {
				continue
			}
			if !found || v.Demand.AdapterUsed[a].Before(v.Demand.AdapterUsed[best]) {
				best, found = a, true
			}
		}
	}
	return best, found
}

// freeMB returns the memory that is neither reserved nor occupied by models and adapters, including those being loaded.
func (v *View) freeMB() float64 {
	free := v.Engine.MemoryMB - v.Reserved.MemoryMB
	for _, m := range v.Self.Models {
		spec := v.Engine.Models[m.Model]
		free -= spec.SizeMB + float64(len(m.Adapters))*spec.AdapterMB
	}
	for _, a := range v.LoadingAdapters {
		free -= v.Engine.Models[a.Model].AdapterMB
	}
	return free
}

// waitingModels returns the models that requests wait for here and that are not loaded, the most requested first.
func (v *View) waitingModels() []string {
	var names []string
	for name := range v.Demand.Models {
		if _, known := v.Engine.Models[name]; known && !v.Self.Holds(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(v.Demand.Models[b], v.Demand.Models[a]), cmp.Compare(a, b))
	})
	return names
}

// planModel returns the next order towards loading the model: the load itself, or the unload of another model to free
// memory.
func (v *View) planModel(name string, preload bool) (Order, Reason, bool) {
	if v.Self.Tier(name) == catalog.TierStore && !v.mayFetch(name) {
		return Order{}, "", false
	}
	return v.planLoad(name, preload)
}

// planLoad is planModel without regard to the weight store.
func (v *View) planLoad(name string, preload bool) (Order, Reason, bool) {
	spec := v.Engine.Models[name]
	if v.freeMB() >= spec.SizeMB {
		reason := ReasonWaiting
		if preload {
			reason = ReasonPreload
		}
		return Order{Model: name}, reason, true
	}
	if v.freeMB()+v.Reserved.MemoryMB >= spec.SizeMB {
		return Order{}, "", false // the reservation ends within seconds; nothing is evicted for it
	}
	victim, ok := v.leastUsed(v.idleModels(preload))
	if !ok && !preload {
		victim, ok = v.leastUsed(v.busyModels())
	}
	return Order{Unload: true, Model: victim}, ReasonEviction, ok
}

// mayFetch reports whether a load of the model from the weight store may begin: the limit allows it, and the store
// serves it at full speed besides the loads in progress and those ahead of it in the queue. With more concurrent
// loads, all of them take longer. A coordinator's turn replaces the upstream's own view of the queue.
func (v *View) mayFetch(name string) bool {
	if v.Turns != nil {
		return v.FetchAllowed && v.Turns.Model == name
	}
	if !v.FetchAllowed || slices.Contains(v.Demand.Fetching, name) {
		return false
	}
	_, missing := Assign(v.Engine.Models, v.Upstreams, v.Demand.Urgent)
	position := slices.Index(v.fetchQueue(missing), name) // -1 if a cached copy exists that cannot be loaded in time
	return len(v.Demand.Fetching)+max(0, position) < v.fetchConcurrency()
}

// idleModels returns the loaded models without requests. For a preload only spare replicas qualify.
func (v *View) idleModels(preload bool) []string {
	var out []string
	for _, m := range v.Self.Models {
		if v.Demand.Models[m.Model] == 0 && v.Demand.ModelUsage[m.Model].Running == 0 && (!preload || v.isSpare(m.Model)) {
			out = append(out, m.Model)
		}
	}
	return out
}

// busyModels returns the loaded models with running requests that enough higher-ranked upstreams serve too. An unload
// waits for the running requests to end and keeps the engine busy meanwhile, so these models are unloaded only if no
// model is idle. The check against the rate guards against unloading one of two replicas of an overloaded model for a
// model with few requests.
func (v *View) busyModels() []string {
	var out []string
	for _, m := range v.Self.Models {
		if usage, known := v.Demand.ModelUsage[m.Model]; known && usage.HigherRanked >= max(1, ReplicasNeeded(v.Demand.Rate[m.Model])) && usage.Running > 0 && v.Demand.Models[m.Model] == 0 {
			out = append(out, m.Model)
		}
	}
	return out
}

// idleModelsForAdapter returns the models that may be unloaded for an adapter of the given model: never that model
// itself, and models with requests that wait for an adapter only if there are no others.
func (v *View) idleModelsForAdapter(model string) []string {
	idle := slices.DeleteFunc(v.idleModels(false), func(name string) bool { return name == model })
	waits := func(name string) bool { return v.adapterWaiting(name) > 0 }
	if others := slices.DeleteFunc(slices.Clone(idle), waits); len(others) > 0 {
		return others
	}
	return idle
}

// leastUsed returns the model whose replica here serves the fewest requests.
func (v *View) leastUsed(models []string) (string, bool) {
	if len(models) == 0 {
		return "", false
	}
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(v.servedRate(a), v.servedRate(b)), cmp.Compare(Rank(a, v.Self.ID), Rank(b, v.Self.ID)))
	}), true
}

// adapterWaiting returns the number of requests that wait here for adapters of the model.
func (v *View) adapterWaiting(model string) int {
	n := 0
	for a, waiting := range v.Demand.Adapters {
		if a.Model == model {
			n += waiting
		}
	}
	return n
}

// unobservedRate is the rate in requests per second that is assumed for each model in addition to the observed one.
// After a restart of all processes no request has been counted yet; without this rate, upstreams would have no reason
// to prefer evicting a model with other replicas, and all would evict the same model.
const unobservedRate = 0.02

// servedRate returns the requests per second that the replica here serves if only the higher-ranked replicas remain.
// Upstreams that decide at the same time therefore evict their replicas in the order of their ranks instead of all at
// once.
func (v *View) servedRate(model string) float64 {
	return (v.Demand.Rate[model] + unobservedRate) / float64(1+v.higherRanked(model))
}

// isSpare reports whether enough replicas of the model remain if this one is unloaded.
func (v *View) isSpare(model string) bool { return v.higherRanked(model) >= v.minOtherReplicas(model) }

// minOtherReplicas returns the number of other replicas that a preload leaves: one, and more while no router has
// reported the model's use.
func (v *View) minOtherReplicas(model string) int {
	if _, known := v.Demand.ModelUsage[model]; known {
		return 1
	}
	return replicasAtUnknownUse
}

// higherRanked returns the number of upstreams that have the model loaded and rank higher than this one, from the
// routers' reports or else from the list.
func (v *View) higherRanked(model string) int {
	if usage, known := v.Demand.ModelUsage[model]; known {
		return usage.HigherRanked
	}
	n := 0
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.ID != v.Self.ID && !u.Draining && u.Holds(model) && Rank(model, u.ID) > Rank(model, v.Self.ID) {
			n++
		}
	}
	return n
}

// AvailableMemory is the memory of an upstream that a model could get, in MB: free memory, memory of models without
// requests, and memory of models with running requests that other upstreams serve too.
type AvailableMemory struct {
	FreeMB float64 `cbor:"1,keyasint,omitempty"`
	IdleMB float64 `cbor:"2,keyasint,omitempty"`
	BusyMB float64 `cbor:"3,keyasint,omitempty"`
}

// AvailableMemory returns the memory of this upstream that a model could get.
func (v *View) AvailableMemory() AvailableMemory {
	size := func(names []string) (sum float64) {
		for _, name := range names {
			sum += v.Engine.Models[name].SizeMB
		}
		return sum
	}
	return AvailableMemory{FreeMB: max(0, v.freeMB()), IdleMB: size(v.idleModels(false)), BusyMB: size(v.busyModels())}
}

// planPreload fetches the models that have no copy outside the weight store, each at its assigned upstream and as
// many concurrently as the store serves at full speed. A model that has been fetched once loads from that upstream's
// disk in under a second.
func (v *View) planPreload() (Order, Reason, bool) {
	if v.Turns != nil {
		return v.planTurn()
	}
	assignments, missing := Assign(v.Engine.Models, v.Upstreams, v.Demand.Urgent)
	for i, name := range v.fetchQueue(missing) {
		if len(v.Demand.Fetching)+i >= v.fetchConcurrency() {
			break
		}
		if assignments[name].Upstream == v.Self.ID && assignments[name].Tier == catalog.TierStore {
			return v.planModel(name, true)
		}
	}
	return Order{}, "", false
}
