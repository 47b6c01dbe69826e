package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// Change is one difference between two versions.
type Change struct {
	// Kind is route, service, model, tenant or limit.
	Kind string
	// Name is the name of the entry; that of a model is SERVICE/MODEL. It is empty for limits.
	Name string
	// Action is added, removed or changed.
	Action string
	// Field is set if the action is changed. From and To are the values; for an added or removed tenant, one of them is the
	// number of its keys. Keys are given by number and positions only.
	Field    Field
	From, To string
}

// Actions of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Comparable reports whether a document with the problems can be compared: if a value has the wrong type or the version is
// missing, the differences would be those to defaults.
func Comparable(problems []Problem) bool {
	return !slices.ContainsFunc(problems, func(p Problem) bool { return p.Code == WrongType || p.Code == MissingField })
}

// Compare returns the differences of two versions in the fields that routers and sidecars use. Entries are matched by
// name; of several with one name the first counts.
func Compare(old, new *Document) []Change {
	changes := compareEntries("route", old.Routes, new.Routes, func(r *catalog.Route) string { return r.Name }, routeProperties)
	changes = append(changes, compareEntries("service", old.Services, new.Services, func(s *Service) string { return s.Name }, serviceProperties)...)
	changes = append(changes, compareEntries("model", old.models(), new.models(), func(m *catalog.Model) string { return m.Name }, modelProperties)...)
	changes = append(changes, compareTenants(old.Tenants, new.Tenants)...)
	return append(changes, compareValues("limit", "", &old.Limits, &new.Limits, limitProperties)...)
}

func compareTenants(old, new []catalog.Tenant) []Change {
	changes := compareEntries("tenant", old, new, func(t *catalog.Tenant) string { return t.Name }, tenantProperties)
	keys := func(list []catalog.Tenant, name string) ([]string, bool) {
		i := slices.IndexFunc(list, func(t catalog.Tenant) bool { return t.Name == name })
		if i < 0 {
			return nil, false
		}
		return list[i].Keys, true
	}
	for i, c := range changes {
		switch c.Action {
		case Added:
			added, _ := keys(new, c.Name)
			changes[i].To = count(len(added), "key")
		case Removed:
			removed, _ := keys(old, c.Name)
			changes[i].From = count(len(removed), "key")
		}
	}
	for i, t := range new {
		first := slices.IndexFunc(new, func(o catalog.Tenant) bool { return o.Name == t.Name })
		if before, known := keys(old, t.Name); known && first == i {
			changes = append(changes, compareKeys(t.Name, before, t.Keys)...)
		}
	}
	return changes
}

// CheckSuccessor returns an error if the version of new does not exceed that of old: routers ignore such a version.
func CheckSuccessor(old, new *Document) []Finding {
	f := &findings{}
	if new.Version <= old.Version {
		f.add(VersionNotGrown, Place{Field: Version}, "", "%d is not greater than %d, the version in force", new.Version, old.Version)
	}
	return f.list
}

// models returns the models of all services, named SERVICE/MODEL.
func (d *Document) models() []catalog.Model {
	var all []catalog.Model
	for _, s := range d.Services {
		for _, m := range s.Models {
			m.Name = s.Name + "/" + m.Name
			all = append(all, m)
		}
	}
	return all
}

func compareEntries[T any](kind string, old, new []T, name func(*T) string, properties []property[T]) []Change {
	var changes []Change
	index := func(list []T) map[string]*T {
		byName := map[string]*T{}
		for i := range list {
			if n := name(&list[i]); byName[n] == nil {
				byName[n] = &list[i]
			}
		}
		return byName
	}
	before, after := index(old), index(new)
	for i := range old {
		if n := name(&old[i]); before[n] == &old[i] && after[n] == nil {
			changes = append(changes, Change{Kind: kind, Name: n, Action: Removed})
		}
	}
	for i := range new {
		n := name(&new[i])
		switch {
		case after[n] != &new[i]:
		case before[n] == nil:
			changes = append(changes, Change{Kind: kind, Name: n, Action: Added})
		default:
			changes = append(changes, compareValues(kind, n, before[n], &new[i], properties)...)
		}
	}
	return changes
}

func compareValues[T any](kind, name string, old, new *T, properties []property[T]) []Change {
	var changes []Change
	for _, p := range properties {
		if from, to := valueText(p.value(old)), valueText(p.value(new)); from != to {
			changes = append(changes, Change{Kind: kind, Name: name, Action: Changed, Field: p.field, From: from, To: to})
		}
	}
	return changes
}

// compareKeys reports the keys by their number and positions.
func compareKeys(tenant string, old, new []string) []Change {
	missing := func(from, in []string) (positions []string) {
		for i, key := range from {
			if !slices.Contains(in, key) {
				positions = append(positions, strconv.Itoa(i+1))
			}
		}
		return positions
	}
	text := func(positions []string, total int, what string) string {
		if len(positions) == 0 {
			return count(total, "key")
		}
		return fmt.Sprintf("%s, %d %s (number %s)", count(total, "key"), len(positions), what, strings.Join(positions, ", "))
	}
	removed, added := missing(old, new), missing(new, old)
	if len(removed) == 0 && len(added) == 0 {
		return nil
	}
	return []Change{{Kind: "tenant", Name: tenant, Action: Changed, Field: Keys, From: text(removed, len(old), Removed), To: text(added, len(new), Added)}}
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func valueText(v any) string {
	if v == nil {
		return "none"
	}
	return fmt.Sprint(v)
}

func kindName(k catalog.Kind) string {
	switch k {
	case catalog.Idempotent:
		return "idempotent"
	case catalog.NonIdempotent:
		return "non-idempotent"
	}
	return "streaming"
}

func unitName(u catalog.QuotaUnit) string {
	if u == catalog.QuotaTokens {
		return "tokens"
	}
	return "requests"
}

func backendNames(backends []catalog.Backend) string {
	names := make([]string, 0, len(backends))
	for _, b := range backends {
		names = append(names, fmt.Sprintf("%s:%g", b.Service, b.Weight))
	}
	return strings.Join(names, " ")
}
