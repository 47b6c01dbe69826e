package config

import (
	"fmt"
	"reflect"
	"sort"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. Its path identifies list elements by name, as in
// models[m-1].maxReplicas, so that it does not depend on the order of a list. The order itself is compared only for a
// caller's services, where it selects the service of a model.
type Change struct {
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old is nil for Added and New is nil for Removed. Otherwise they have the Go type of the field or element.
	Old any `json:"old,omitempty"`
	New any `json:"new,omitempty"`
}

// Diff returns the changes from old to new in the order of the fields and, within a list, sorted by name. A nil
// configuration counts as empty.
func Diff(old, new *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	if new == nil {
		new = &Config{}
	}
	var d differ
	d.diffStructs("", reflect.ValueOf(*old), reflect.ValueOf(*new))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(path string, kind ChangeKind, old, new any) {
	d.changes = append(d.changes, Change{Path: path, Kind: kind, Old: old, New: new})
}

func (d *differ) diffStructs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name, _ := jsonTag(a.Type().Field(i))
		at, x, y := join(path, name), a.Field(i), b.Field(i)
		switch {
		case a.Type() == reflect.TypeFor[Caller]() && name == "services":
			if !(x.Len() == 0 && y.Len() == 0) && !reflect.DeepEqual(x.Interface(), y.Interface()) {
				d.add(at, Changed, x.Interface(), y.Interface())
			}
		case x.Kind() == reflect.Struct:
			d.diffStructs(at, x, y)
		case x.Kind() == reflect.Slice:
			d.diffLists(at, x, y)
		case !x.Equal(y):
			d.add(at, Changed, x.Interface(), y.Interface())
		}
	}
}

func (d *differ) diffLists(path string, a, b reflect.Value) {
	before, after := byName(a), byName(b)
	names := make([]string, 0, len(before)+len(after))
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, both := before[name]; !both {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		at := fmt.Sprintf("%s[%s]", path, name)
		x, inOld := before[name]
		y, inNew := after[name]
		switch {
		case !inOld:
			d.add(at, Added, nil, y.Interface())
		case !inNew:
			d.add(at, Removed, x.Interface(), nil)
		case x.Kind() == reflect.Struct:
			d.diffStructs(at, x, y)
		}
	}
}

// byName maps the elements of a list by their identity: the string itself, the method and path prefix of a call, or the
// name.
func byName(list reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		e := list.Index(i)
		switch v := e.Interface().(type) {
		case string:
			m[v] = e
		case Call:
			m[v.Method+" "+v.PathPrefix] = e
		default:
			m[e.FieldByName("Name").String()] = e
		}
	}
	return m
}
