package operate

import (
	"sort"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

func (a *Apply) decodeAll(objects []store.Object) bool {
	known := make(map[string]seen, len(objects))
	for _, obj := range objects {
		o, err := grant.Decode(obj.Value)
		if err != nil {
			a.fail(fault.Wrap(err, fault.StepGrant, obj.Key, "read grants"))
			return false
		}
		known[obj.Key[len(store.PrefixGrants):]] = seen{version: obj.Version, object: o}
	}
	a.known = known
	return true
}

func (a *Apply) listed(objects []store.Object) {
	if !a.decodeAll(objects) {
		return
	}
	a.todo = nil
	for _, model := range a.models(a.old) {
		if max(a.known[model].object.Ceiling, a.old[model]) > a.ceiling(model) {
			a.todo = append(a.todo, model)
		}
	}
	a.lowered = a.todo
	a.phase = phaseLower
	a.take()
}

// models returns the names in the given ceilings and in the listed objects, sorted.
func (a *Apply) models(in map[string]int) []string {
	names := make([]string, 0, len(in)+len(a.known))
	for name := range in {
		names = append(names, name)
	}
	for name := range a.known {
		if _, both := in[name]; !both {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// take looks at the first model to do as listed; without one, the phase is over.
func (a *Apply) take() {
	a.fresh = false
	if len(a.todo) > 0 {
		a.consider()
		return
	}
	switch a.phase {
	case phaseLower:
		a.todo, a.phase = a.lowered, phaseHold
		if len(a.todo) == 0 {
			a.phase = phasePublish
		}
	case phaseRaising:
		a.phase = phaseDone
	}
}

// consider decides whether the ceiling of the current model has to be written.
func (a *Apply) consider() {
	s := a.known[a.todo[0]]
	want := a.ceiling(a.todo[0])
	switch {
	case a.phase == phaseLower && s.object.Stamp.Version > a.stamp.Version:
		a.phase, a.pause = phaseConfig, true // a later version is on its way, so the base was replaced
	case a.phase == phaseLower && s.version != store.MustNotExist && s.object.Stamp == a.stamp && s.object.Ceiling <= want:
		a.keepFloor(s.version) // an earlier write, whose answer was lost, took effect
		a.next()
	case a.phase == phaseRaising && s.object.Stamp.Version > a.stamp.Version && s.object.Ceiling < want:
		n := len(a.result.Stricter)
		a.result.Stricter = append(a.result.Stricter[:n:n], a.todo[0])
		a.next()
	case a.phase == phaseRaising && (s.version == store.MustNotExist || s.object.Stamp.Version > a.stamp.Version || s.object.Ceiling == want):
		a.next()
	default:
		a.fresh = true
	}
}

func (a *Apply) next() {
	a.todo = a.todo[1:]
	a.take()
}

func (a *Apply) wrote(ans Reply) {
	a.fresh = false
	if ans.Err != nil { // read the object back and decide again; a stale read fails the next write as well
		a.pause = true
		return
	}
	a.keepFloor(ans.Version)
	a.next()
}

// keepFloor remembers the version at which the current model's ceiling was lowered.
func (a *Apply) keepFloor(version uint64) {
	floor := make(map[string]uint64, len(a.floor)+1)
	for k, v := range a.floor {
		floor[k] = v
	}
	floor[a.todo[0]] = version
	a.floor = floor
}

func (a *Apply) readObject(ans Reply) {
	if !a.remember(ans) {
		return
	}
	a.consider()
}

func (a *Apply) remember(ans Reply) bool {
	model := a.todo[0]
	known := make(map[string]seen, len(a.known)+1)
	for k, v := range a.known {
		known[k] = v
	}
	delete(known, model)
	if ans.Err == nil {
		o, err := grant.Decode(ans.Object.Value)
		if err != nil {
			a.fail(fault.Wrap(err, fault.StepGrant, ans.Object.Key, "read grants"))
			return false
		}
		known[model] = seen{version: ans.Object.Version, object: o}
	}
	a.known = known
	return true
}

// look checks whether the holders beyond the current model's ceiling have released. Since the ceiling was lowered, no
// grant beyond it is given, so that a version from then on without such grants stays without them.
func (a *Apply) look(ans Reply) {
	if ans.Object.Version < a.floor[a.todo[0]] {
		a.pause = true
		return
	}
	if !a.remember(ans) {
		return
	}
	model := a.todo[0]
	beyond := holdersBeyond(a.known[model].object, a.ceiling(model))
	holders := make(map[string][]string, len(a.holders)+1)
	for k, v := range a.holders {
		holders[k] = v
	}
	holders[model] = beyond
	a.holders = holders
	if len(beyond) > 0 {
		a.phase, a.pause = phaseWatch, true
		return
	}
	a.todo = a.todo[1:]
	if len(a.todo) == 0 {
		a.phase = phasePublish
	}
}

func holdersBeyond(o grant.Object, ceiling int) []string {
	var vms []string
	for i, g := range o.Grants {
		if i >= ceiling {
			vms = append(vms, g.VM)
		}
	}
	return vms
}

func (a *Apply) listedForRaise(objects []store.Object) {
	if !a.decodeAll(objects) {
		return
	}
	a.todo = a.models(ceilings(a.doc.Config))
	a.phase = phaseRaising
	a.take()
}
