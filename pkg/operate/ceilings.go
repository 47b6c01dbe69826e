package operate

import (
	"sort"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

func (a *Apply) decodeAll(objects []store.Object) bool {
	byModel := make(map[string]storedGrants, len(objects))
	for _, obj := range objects {
		o, err := grant.Decode(obj.Value)
		if err != nil {
			a.fail(fault.Wrap(err, fault.StepGrant, obj.Key, "read grants"))
			return false
		}
		byModel[obj.Key[len(store.PrefixGrants):]] = storedGrants{version: obj.Version, object: o}
	}
	a.objects = byModel
	return true
}

func (a *Apply) handleListToLower(objects []store.Object) {
	if !a.decodeAll(objects) {
		return
	}
	a.pending = nil
	for _, model := range a.models(a.activeCeilings) {
		if max(a.objects[model].object.Ceiling, a.activeCeilings[model]) > a.ceiling(model) {
			a.pending = append(a.pending, model)
		}
	}
	a.lowered = a.pending
	a.phase = phaseLower
	a.processPending()
}

// models returns the model names in the given ceilings and in the listed objects, sorted.
func (a *Apply) models(in map[string]int) []string {
	names := make([]string, 0, len(in)+len(a.objects))
	for name := range in {
		names = append(names, name)
	}
	for name := range a.objects {
		if _, both := in[name]; !both {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// processPending decides on the first pending model with the listed object. If none is pending, it ends the phase.
func (a *Apply) processPending() {
	a.writeNext = false
	if len(a.pending) > 0 {
		a.decideWrite()
		return
	}
	switch a.phase {
	case phaseLower:
		a.pending, a.phase = a.lowered, phaseAwaitRelease
		if len(a.pending) == 0 {
			a.phase = phasePublish
		}
	case phaseRaise:
		a.phase = phaseDone
	}
}

// decideWrite decides whether the ceiling of the current model must be written.
func (a *Apply) decideWrite() {
	s := a.objects[a.pending[0]]
	want := a.ceiling(a.pending[0])
	switch {
	case a.phase == phaseLower && s.object.Stamp.Version > a.stamp.Version:
		a.phase, a.pause = phaseConfig, true // an apply of a later version is in progress, so the base was replaced
	case a.phase == phaseLower && s.version != store.MustNotExist && s.object.Stamp == a.stamp && s.object.Ceiling <= want:
		a.setMinVersion(s.version) // an earlier write, whose reply was lost, took effect
		a.nextModel()
	case a.phase == phaseRaise && s.object.Stamp.Version > a.stamp.Version && s.object.Ceiling < want:
		n := len(a.result.Stricter)
		a.result.Stricter = append(a.result.Stricter[:n:n], a.pending[0])
		a.nextModel()
	case a.phase == phaseRaise && (s.version == store.MustNotExist || s.object.Stamp.Version > a.stamp.Version || s.object.Ceiling == want):
		a.nextModel()
	default:
		a.writeNext = true
	}
}

func (a *Apply) nextModel() {
	a.pending = a.pending[1:]
	a.processPending()
}

func (a *Apply) handleWrite(reply Reply) {
	a.writeNext = false
	if reply.Err != nil { // read the object back and decide again; a stale read fails the next write as well
		a.pause = true
		return
	}
	a.setMinVersion(reply.Version)
	a.nextModel()
}

// setMinVersion records the object version at which the current model's ceiling was lowered.
func (a *Apply) setMinVersion(version uint64) {
	versions := make(map[string]uint64, len(a.minVersions)+1)
	for k, v := range a.minVersions {
		versions[k] = v
	}
	versions[a.pending[0]] = version
	a.minVersions = versions
}

func (a *Apply) handleRead(reply Reply) {
	if !a.updateObject(reply) {
		return
	}
	a.decideWrite()
}

func (a *Apply) updateObject(reply Reply) bool {
	model := a.pending[0]
	objects := make(map[string]storedGrants, len(a.objects)+1)
	for k, v := range a.objects {
		objects[k] = v
	}
	delete(objects, model)
	if reply.Err == nil {
		o, err := grant.Decode(reply.Object.Value)
		if err != nil {
			a.fail(fault.Wrap(err, fault.StepGrant, reply.Object.Key, "read grants"))
			return false
		}
		objects[model] = storedGrants{version: reply.Object.Version, object: o}
	}
	a.objects = objects
	return true
}

// checkHolders checks whether all grants beyond the current model's ceiling have been released. No such grant is issued
// once the ceiling is lowered, so one read of a later object version without such grants is sufficient.
func (a *Apply) checkHolders(reply Reply) {
	if reply.Object.Version < a.minVersions[a.pending[0]] {
		a.pause = true
		return
	}
	if !a.updateObject(reply) {
		return
	}
	model := a.pending[0]
	vms := excessHolders(a.objects[model].object, a.ceiling(model))
	holders := make(map[string][]string, len(a.holders)+1)
	for k, v := range a.holders {
		holders[k] = v
	}
	holders[model] = vms
	a.holders = holders
	if len(vms) > 0 {
		a.phase, a.pause = phaseCheckConfig, true
		return
	}
	a.pending = a.pending[1:]
	if len(a.pending) == 0 {
		a.phase = phasePublish
	}
}

// excessHolders returns the VMs whose grants are beyond the ceiling.
func excessHolders(o grant.Object, ceiling int) []string {
	var vms []string
	for i, g := range o.Grants {
		if i >= ceiling {
			vms = append(vms, g.VM)
		}
	}
	return vms
}

func (a *Apply) handleListToRaise(objects []store.Object) {
	if !a.decodeAll(objects) {
		return
	}
	a.pending = a.models(ceilings(a.doc.Config))
	a.phase = phaseRaise
	a.processPending()
}
