package configcheck

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// longTime is the longest time without a warning. A day exceeds every deadline and load time of a deployment; more is
// probably a value in another unit.
const longTime = 24 * time.Hour

// Check returns the findings of a document and of the problems that its decoder found. If a value has the wrong type, it
// returns only problems of the form, since the values of the document are then incomplete. Strict makes unknown fields
// errors.
func Check(d *Document, problems []Problem, strict bool) []Finding {
	f := &findings{strict: strict}
	malformed := slices.ContainsFunc(problems, func(p Problem) bool { return p.Code == WrongType })
	for _, p := range problems {
		if !malformed || p.Path != "" || p.Code == MissingField {
			f.addProblem(p, d.entry(p.Place))
		}
	}
	if malformed {
		return f.list
	}
	f.checkRoutes(d)
	f.checkServices(d)
	f.checkTenants(d)
	f.checkLimits(d)
	return f.list
}

// entry returns the description of the entry at the place.
func (d *Document) entry(p Place) string {
	switch {
	case p.List == Routes && p.Index < len(d.Routes):
		return describe("route", d.Routes[p.Index].Name, p.Index)
	case p.List == Services && p.Index < len(d.Services):
		return describe("service", d.Services[p.Index].Name, p.Index)
	case p.List == Tenants && p.Index < len(d.Tenants):
		return describe("tenant", d.Tenants[p.Index].Name, p.Index)
	}
	return ""
}

func describe(kind, name string, index int) string {
	return fmt.Sprintf("%s %q (number %d)", kind, name, index+1)
}

func (f *findings) checkRoutes(d *Document) {
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	type match struct{ host, prefix string }
	names, matches := map[string]int{}, map[match]int{}
	for i := range d.Routes {
		r, place := &d.Routes[i], Place{List: Routes, Index: i}
		entry := d.entry(place)
		f.checkName(r.Name, names, i, place, entry)
		checkNumbers(f, r, routeProperties, place, entry)
		f.checkMatch(r, place, entry)
		m := match{strings.ToLower(r.Host), r.Prefix}
		if first, taken := matches[m]; taken {
			f.add(HiddenRoute, place.field(Prefix), entry, "%s with the same host %q and prefix %q gets all its requests", d.entry(Place{List: Routes, Index: first}), r.Host, r.Prefix)
		} else {
			matches[m] = i
		}
		if r.Timeout > 0 && r.Target > r.Timeout {
			f.add(TargetBeyondTimeout, place.field(Target), entry, "%s is longer than the timeout of %s", r.Target, r.Timeout)
		}
		if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
			f.add(GapBeyondTimeout, place.field(EventGap), entry, "%s is longer than the timeout of %s", r.MaxEventGap, r.Timeout)
		}
		f.checkBackends(r.Backends, services, place, entry)
	}
}

// checkMatch checks whether a request can match the route's host and prefix.
func (f *findings) checkMatch(r *catalog.Route, place Place, entry string) {
	_, _, err := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		f.add(InvalidHost, place.field(Host), entry, "is empty")
	case err == nil:
		f.add(InvalidHost, place.field(Host), entry, "%q has a port, which is not part of the comparison: no request matches", r.Host)
	case strings.ContainsAny(r.Host, "/ \t\r\n"):
		f.add(InvalidHost, place.field(Host), entry, "%q is not the name of a host: no request matches", r.Host)
	}
	switch {
	case r.Prefix == "":
		f.add(PrefixEnd, place.field(Prefix), entry, "is empty and matches all paths")
	case !strings.HasPrefix(r.Prefix, "/"):
		f.add(PrefixStart, place.field(Prefix), entry, "%q does not begin with a slash: no request matches", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		f.add(PrefixEnd, place.field(Prefix), entry, "%q does not end with a slash: it also matches longer names", r.Prefix)
	}
}

func (f *findings) checkBackends(backends []catalog.Backend, services map[string]bool, place Place, entry string) {
	weighted := false
	for i, b := range backends {
		at := place.inner(Backends, i)
		f.checkNumber(b.Weight, at.field(Weight), entry)
		weighted = weighted || b.Weight != 0
		switch {
		case b.Service == "":
			f.add(RouteWithoutService, at.field(Backend), entry, "is missing")
		case !services[b.Service]:
			f.add(UnknownService, at.field(Backend), entry, "no service has the name %q", b.Service)
		}
	}
	if !weighted {
		f.add(NoWeight, place.field(Backends), entry, "all backends (%d) have weight 0", len(backends))
	}
}

func (f *findings) checkServices(d *Document) {
	used := map[string]bool{}
	for _, r := range d.Routes {
		for _, b := range r.Backends {
			used[b.Service] = true
		}
	}
	names := map[string]int{}
	for i := range d.Services {
		s, place := &d.Services[i], Place{List: Services, Index: i}
		entry := d.entry(place)
		f.checkName(s.Name, names, i, place, entry)
		checkNumbers(f, s, serviceProperties, place, entry)
		if !used[s.Name] {
			f.add(ServiceWithoutRoute, place, entry, "no route names it")
		}
		if s.Service.Engine != nil {
			f.checkEngine(s, place, entry)
		}
	}
}

func (f *findings) checkEngine(s *Service, place Place, entry string) {
	memory := s.Service.Engine.MemoryMB
	if len(s.Models) == 0 {
		f.add(EngineWithoutModels, place.field(Models), entry, "the engine has none")
		return
	}
	smallest := math.Inf(1)
	for _, m := range s.Models {
		smallest = min(smallest, m.SizeMB)
	}
	if memory < smallest {
		f.add(MemoryBelowModels, place.field(Memory), entry, "%g MB are less than the smallest model needs, %g MB", memory, smallest)
	}
	names := map[string]int{}
	for i := range s.Models {
		m, at := &s.Models[i], place.inner(Models, i)
		entry := entry + ", " + describe("model", m.Name, i)
		f.checkName(m.Name, names, i, at, entry)
		checkNumbers(f, m, modelProperties, at, entry)
		if m.SizeMB == 0 {
			f.add(ModelWithoutSize, at.field(ModelSize), entry, "is 0 or missing: the model counts as needing no memory")
		}
		if memory >= smallest && m.SizeMB > memory {
			f.add(ModelExceedsMemory, at.field(ModelSize), entry, "%g MB are more than the engine's memory of %g MB", m.SizeMB, memory)
		}
		if m.Adapters > 0 && m.AdapterMB == 0 {
			f.add(AdaptersWithoutSize, at.field(AdapterSize), entry, "is 0 or missing, but the model has %s", count(m.Adapters, "adapter"))
		}
		if m.Adapters > 0 && s.Service.Engine.AdapterSlots == 0 {
			f.add(AdaptersWithoutSlots, place.field(AdapterSlots), entry, "is 0 or missing, but the model has %s", count(m.Adapters, "adapter"))
		}
	}
}

func (f *findings) checkLimits(d *Document) {
	checkNumbers(f, &d.Limits, limitProperties, Place{}, "")
	for _, p := range limitProperties {
		if bytes, ok := p.value(&d.Limits).(int); ok && bytes == 0 && !slices.Contains(d.Omitted, p.field) {
			f.add(ZeroLimit, Place{Field: p.field}, "", "is 0: routers use their default")
		}
	}
}

// checkName checks the name of a route, service or model and records its index in names.
func (f *findings) checkName(name string, names map[string]int, index int, place Place, entry string) {
	if !isToken(name) {
		f.add(InvalidName, place.field(Name), entry, "is empty, not printable or has spaces at an end")
	}
	if first, taken := names[name]; taken {
		f.add(DuplicateName, place.field(Name), entry, "number %d has the same name", first+1)
		return
	}
	names[name] = index
}

// checkNumbers checks the properties that are numbers or times.
func checkNumbers[T any](f *findings, v *T, properties []property[T], place Place, entry string) {
	for _, p := range properties {
		f.checkNumber(p.value(v), place.field(p.field), entry)
	}
}

func (f *findings) checkNumber(value any, place Place, entry string) {
	switch x := value.(type) {
	case time.Duration:
		switch {
		case x < 0:
			f.add(OutOfRange, place, entry, "negative time %s", x)
		case x >= MaxTime:
			f.add(OutOfRange, place, entry, "the time is longer than %s", MaxTime)
		case x > longTime:
			f.add(UnlikelyTime, place, entry, "%s is longer than a day; see the unit of the field", x)
		}
	case float64:
		if detail := invalidNumber(x); detail != "" {
			f.add(OutOfRange, place, entry, "%s", detail)
		}
	case int:
		if x < 0 || x == math.MaxInt {
			f.add(OutOfRange, place, entry, "value %d is negative or too large", x)
		}
	}
}

// invalidNumber describes what is wrong with a size, rate or weight; it is empty for valid ones.
func invalidNumber(x float64) string {
	switch {
	case math.IsNaN(x) || math.IsInf(x, 0):
		return fmt.Sprintf("value %g is not a finite number", x)
	case x < 0:
		return fmt.Sprintf("negative value %g", x)
	}
	return ""
}

// isToken reports whether a header can carry the value unchanged.
func isToken(value string) bool {
	return value != "" && value == strings.TrimSpace(value) && !strings.ContainsFunc(value, func(r rune) bool { return !unicode.IsPrint(r) })
}
