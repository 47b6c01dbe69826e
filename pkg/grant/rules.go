package grant

import (
	"errors"
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// ErrCeiling is returned when the ceiling allows no further grant, or when the VM's own grant lies beyond it.
var ErrCeiling = errors.New("ceiling of replicas reached")

// Find returns the VM's grant and its index, or index -1 if the VM has none.
func (o Object) Find(vm string) (Grant, int) {
	i := slices.IndexFunc(o.Grants, func(g Grant) bool { return g.VM == vm })
	if i < 0 {
		return Grant{}, -1
	}
	return o.Grants[i], i
}

// Holders returns the ids of the VMs that have a grant, the oldest grant first.
func (o Object) Holders() []string {
	var vms []string
	for _, g := range o.Grants {
		vms = append(vms, g.VM)
	}
	return vms
}

// IsRevoked reports whether the VM's grant lies at or beyond the ceiling, so that the VM has to unload the model and
// release the grant.
func (o Object) IsRevoked(vm string) bool {
	_, i := o.Find(vm)
	return i >= 0 && i >= o.Ceiling
}

// Excess returns the number of grants that lie at or beyond the ceiling. The apply command publishes a lower limit once
// it is 0.
func (o Object) Excess() int { return max(0, len(o.Grants)-max(0, o.Ceiling)) }

// clone returns a copy of the object with its own slice, so that changes leave the argument of a function unchanged.
func (o Object) clone() Object {
	o.Grants = slices.Clone(o.Grants)
	return o
}

// Acquire returns the object with a grant for the VM under the next generation, or ErrCeiling if the ceiling allows no
// further grant. If the VM has a grant already, Acquire stamps it.
func Acquire(o Object, vm, incarnation string) (Object, error) {
	if stamped, ok := Stamp(o, vm, incarnation); ok {
		if stamped.IsRevoked(vm) {
			return o, fault.Wrap(ErrCeiling, fault.StepGrant, vm, "acquire")
		}
		return stamped, nil
	}
	if len(o.Grants) >= o.Ceiling {
		return o, fault.Wrap(ErrCeiling, fault.StepGrant, vm, "acquire")
	}
	o = o.clone()
	o.Generation++
	o.Grants = append(o.Grants, Grant{VM: vm, Incarnation: incarnation, Generation: o.Generation})
	return o, nil
}

// Release returns the object without the VM's grant and reports whether there was one.
func Release(o Object, vm string) (Object, bool) {
	return remove(o, func(g Grant) bool { return g.VM == vm })
}

// RemoveGone returns the object without the grants of VMs that are confirmed gone and reports whether it removed any.
func RemoveGone(o Object, isGone func(vm string) bool) (Object, bool) {
	return remove(o, func(g Grant) bool { return isGone(g.VM) })
}

func remove(o Object, drop func(Grant) bool) (Object, bool) {
	n := len(o.Grants)
	o = o.clone()
	o.Grants = slices.DeleteFunc(o.Grants, drop)
	return o, len(o.Grants) != n
}

// Stamp returns the object with the VM's grant under the given incarnation and the next generation, and reports whether
// the VM has a grant. After the write of a stamp, every conditional write that the VM sent earlier fails.
func Stamp(o Object, vm, incarnation string) (Object, bool) {
	_, i := o.Find(vm)
	if i < 0 {
		return o, false
	}
	o = o.clone()
	o.Generation++
	o.Grants[i].Incarnation, o.Grants[i].Generation = incarnation, o.Generation
	return o, true
}

// SetCeiling returns the object with the ceiling that the configuration named by stamp sets, and reports whether
// anything changed. An object with a newer stamp, or with the same stamp, stays unchanged. The stamp is replaced even
// if the ceiling stays equal: otherwise an agent with an older configuration could raise the ceiling afterwards.
func SetCeiling(o Object, ceiling int, stamp config.Stamp) (Object, bool) {
	if o.Stamp.Version > stamp.Version || o.Stamp == stamp {
		return o, false
	}
	o = o.clone()
	o.Ceiling, o.Stamp = max(0, ceiling), stamp
	return o, true
}
