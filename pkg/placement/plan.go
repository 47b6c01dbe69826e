package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// Order is a change of what an upstream holds: a model, or an adapter of one.
type Order struct {
	Unload         bool
	Model, Adapter string
}

// Reason says why an order was decided.
type Reason string

// Reasons of orders.
const (
	ReasonWaiting  Reason = "requests wait for it"
	ReasonEviction Reason = "makes room"
	ReasonPreload  Reason = "has no copy outside the weight store"
)

// Demand is what the routers ask of one upstream and how often each model is used.
type Demand struct {
	// Models and Adapters count the requests that wait for a load at this upstream; Models, Urgent and More also those that
	// were refused for the lack of a model within the last seconds.
	Models   map[string]int
	Adapters map[Adapter]int
	// Urgent counts the requests that wait for a model anywhere.
	Urgent map[string]int
	// More counts the requests that want a further copy of a loaded model that has no other copy outside the weight store.
	More map[string]int
	// Fetching lists the models that upstreams load from the weight store now, and Parallel is the number of loads that it
	// was seen to serve at full speed; 0 if that is not known.
	Fetching []string
	Parallel int
	// Rate is the number of requests per second for each model over all routers.
	Rate map[string]float64
	// AdapterUsed is when each adapter was last asked for at this upstream.
	AdapterUsed map[Adapter]time.Time
	// Held says for each model that is loaded here what the routers know of it; it is empty until a router has reported.
	Held map[string]Held
}

// Held is what the routers know of a model that is loaded at an upstream.
type Held struct {
	// Before is the number of upstreams that serve the model and rank before this one.
	Before int
	// Running counts the requests for the model at this upstream, and Adapters those for each adapter of it.
	Running  int
	Adapters map[string]int
}

// View is what a plan is made from.
type View struct {
	Self   catalog.Upstream
	Busy   bool
	Coming []Adapter
	Engine catalog.Engine
	// Upstreams lists the upstreams of the service, this one included.
	Upstreams []catalog.Upstream
	Demand    Demand
	// Stable says that the list of upstreams has not grown for a while. Homes that are computed from a list which is not yet
	// complete differ between upstreams.
	Stable bool
	// FetchAllowed says that a load from the weight store may begin now.
	FetchAllowed bool
	// Parallel is the number of loads that the weight store serves at full speed.
	Parallel int
}

// keepCopies is the number of loaded copies of a model that a preload leaves in place while the model's use is unknown.
const keepCopies = 2

// Plan returns the next order for the upstream, if there is one to give. It is called again after each change of the
// view; memory and adapter places are counted from the view, so the order never exceeds them.
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

// planAdapter returns an order for the most wanted adapter whose model is loaded.
func (v *View) planAdapter() (Order, Reason, bool) {
	wanted := slices.Collect(maps.Keys(v.Demand.Adapters))
	slices.SortFunc(wanted, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(v.Demand.Adapters[b], v.Demand.Adapters[a]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
	for _, a := range wanted {
		if !v.Self.Holds(a.Model) || v.Self.HoldsAdapter(a.Model, a.Name) || slices.Contains(v.Coming, a) {
			continue
		}
		if len(v.Coming) >= maxComing {
			return Order{}, "", false
		}
		full := v.adapters()+len(v.Coming) >= v.Engine.AdapterSlots
		if !full && v.freeMB() >= v.Engine.Models[a.Model].AdapterMB {
			return Order{Model: a.Model, Adapter: a.Name}, ReasonWaiting, true
		}
		if victim, ok := v.idleAdapter(); ok {
			return Order{Unload: true, Model: victim.Model, Adapter: victim.Name}, ReasonEviction, true
		}
		if full {
			return Order{}, "", false
		}
		victim, ok := v.leastUsed(v.idleFor(a.Model)) // models take all of the memory
		return Order{Unload: true, Model: victim}, ReasonEviction, ok
	}
	return Order{}, "", false
}

// maxComing is the number of adapters that an engine loads at a time.
const maxComing = 4

func (v *View) adapters() int {
	n := 0
	for _, m := range v.Self.Models {
		n += len(m.Adapters)
	}
	return n
}

// idleAdapter returns the adapter that was asked for least recently among those that no request waits for or runs with. The
// unload of an adapter in use waits for the end of its runs, and the engine takes no other order until then.
func (v *View) idleAdapter() (Adapter, bool) {
	var best Adapter
	found := false
	for _, m := range v.Self.Models {
		for _, name := range m.Adapters {
			a := Adapter{Model: m.Model, Name: name}
			if v.Demand.Adapters[a] > 0 || v.Demand.Held[m.Model].Adapters[name] > 0 {
				continue
			}
			if !found || v.Demand.AdapterUsed[a].Before(v.Demand.AdapterUsed[best]) {
				best, found = a, true
			}
		}
	}
	return best, found
}

// freeMB returns the memory that is not taken by models and adapters, those being loaded included.
func (v *View) freeMB() float64 {
	free := v.Engine.MemoryMB
	for _, m := range v.Self.Models {
		spec := v.Engine.Models[m.Model]
		free -= spec.SizeMB + float64(len(m.Adapters))*spec.AdapterMB
	}
	for _, a := range v.Coming {
		free -= v.Engine.Models[a.Model].AdapterMB
	}
	return free
}

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

// planModel returns the order that brings the model nearer to being loaded: its load, or the unload of another model.
func (v *View) planModel(name string, preload bool) (Order, Reason, bool) {
	spec := v.Engine.Models[name]
	if v.Self.Tier(name) == catalog.TierStore && !v.mayFetch(name) {
		return Order{}, "", false
	}
	if v.freeMB() >= spec.SizeMB {
		reason := ReasonWaiting
		if preload {
			reason = ReasonPreload
		}
		return Order{Model: name}, reason, true
	}
	victim, ok := v.leastUsed(v.idleModels(preload))
	if !ok && !preload {
		victim, ok = v.leastUsed(v.busyModels())
	}
	return Order{Unload: true, Model: victim}, ReasonEviction, ok
}

// mayFetch reports whether a load of the model from the weight store may begin: the limit allows it, and the store serves it
// at full speed beside those under way and those that come before it. More loads at a time all end late.
func (v *View) mayFetch(name string) bool {
	if !v.FetchAllowed || slices.Contains(v.Demand.Fetching, name) {
		return false
	}
	_, missing := Assign(v.Engine.Models, v.Upstreams, v.Demand.Urgent)
	place := slices.Index(v.fetchQueue(missing), name) // -1 for a model with a copy elsewhere that cannot be loaded there in time
	return len(v.Demand.Fetching)+max(0, place) < v.parallel()
}

// idleModels returns the loaded models without requests. For a preload only spare copies are given up.
func (v *View) idleModels(preload bool) []string {
	var out []string
	for _, m := range v.Self.Models {
		if v.Demand.Models[m.Model] == 0 && v.Demand.Held[m.Model].Running == 0 && (!preload || v.spare(m.Model)) {
			out = append(out, m.Model)
		}
	}
	return out
}

// busyModels returns those loaded models with running requests that enough upstreams which rank before this one serve too. An
// unload waits for the end of the runs and keeps the engine busy meanwhile, so they are given up only if no model is idle. One
// of two copies of an overloaded model was given up for a model with few requests.
func (v *View) busyModels() []string {
	var out []string
	for _, m := range v.Self.Models {
		if h, known := v.Demand.Held[m.Model]; known && h.Before >= max(1, ReplicasNeeded(v.Demand.Rate[m.Model])) && h.Running > 0 && v.Demand.Models[m.Model] == 0 {
			out = append(out, m.Model)
		}
	}
	return out
}

// idleFor returns the models that may be unloaded for an adapter of a model: not that model, and models that requests wait
// for an adapter of only if there are no others.
func (v *View) idleFor(model string) []string {
	idle := slices.DeleteFunc(v.idleModels(false), func(name string) bool { return name == model })
	waits := func(name string) bool { return v.adapterWaits(name) > 0 }
	if rest := slices.DeleteFunc(slices.Clone(idle), waits); len(rest) > 0 {
		return rest
	}
	return idle
}

// leastUsed returns the model whose copy here serves the fewest requests.
func (v *View) leastUsed(models []string) (string, bool) {
	if len(models) == 0 {
		return "", false
	}
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(v.use(a), v.use(b)), cmp.Compare(Rank(a, v.Self.ID), Rank(b, v.Self.ID)))
	}), true
}

// adapterWaits returns the number of requests that wait here for adapters of the model.
func (v *View) adapterWaits(model string) int {
	n := 0
	for a, waiting := range v.Demand.Adapters {
		if a.Model == model {
			n += waiting
		}
	}
	return n
}

// unseenRate is the rate in requests per second that is assumed for each model in addition to what routers have counted.
// After a restart of all processes no request has been counted; without it the upstreams had no reason to prefer a model
// with other copies, and all gave up the same one.
const unseenRate = 0.02

// use returns the requests per second that the copy here serves if only the copies that rank before it stay. Upstreams
// that decide at the same time then give up their copies in the order of their ranks, and not all of them.
func (v *View) use(model string) float64 {
	return (v.Demand.Rate[model] + unseenRate) / float64(1+v.before(model))
}

// spare reports whether another copy of the model stays when this one is given up.
func (v *View) spare(model string) bool { return v.before(model) >= v.keep(model) }

// keep returns the number of copies that a preload leaves: one, and more while no router has told of the model's use.
func (v *View) keep(model string) int {
	if _, known := v.Demand.Held[model]; known {
		return 1
	}
	return keepCopies
}

// before returns the number of upstreams that hold the model and rank before this one, from the routers or else from the
// list.
func (v *View) before(model string) int {
	if h, known := v.Demand.Held[model]; known {
		return h.Before
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

// Room is the memory of an upstream that a model could take, in MB: that which nothing takes, that of models without
// requests, and that of models with running requests which other upstreams serve too.
type Room struct {
	FreeMB float64 `cbor:"1,keyasint,omitempty"`
	IdleMB float64 `cbor:"2,keyasint,omitempty"`
	BusyMB float64 `cbor:"3,keyasint,omitempty"`
}

// Room returns the memory that a model could take.
func (v *View) Room() Room {
	size := func(names []string) (sum float64) {
		for _, name := range names {
			sum += v.Engine.Models[name].SizeMB
		}
		return sum
	}
	return Room{FreeMB: max(0, v.freeMB()), IdleMB: size(v.idleModels(false)), BusyMB: size(v.busyModels())}
}

// planPreload fetches the models that have no copy outside the weight store, as many at a time as it serves at full
// speed, each at its home. A model that has been fetched once comes back from its home's disk in under a second.
func (v *View) planPreload() (Order, Reason, bool) {
	homes, missing := Assign(v.Engine.Models, v.Upstreams, v.Demand.Urgent)
	for i, name := range v.fetchQueue(missing) {
		if len(v.Demand.Fetching)+i >= v.parallel() {
			break
		}
		if homes[name].Upstream == v.Self.ID && homes[name].Tier == catalog.TierStore {
			return v.planModel(name, true)
		}
	}
	return Order{}, "", false
}
