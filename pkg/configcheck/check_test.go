package configcheck_test

import (
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/configcheck"
)

// valid returns a document without findings: a route to a service with one model and a tenant.
func valid() *configcheck.Document {
	model := catalog.Model{Name: "m", SizeMB: 70, FetchTime: 8 * time.Second, Adapters: 3, AdapterMB: 1}
	engine := &catalog.Engine{MemoryMB: 200, AdapterSlots: 2, Slots: 64, KVTokens: 1000, LoadsPerSecond: 2}
	return &configcheck.Document{
		Version: 3,
		Routes: []catalog.Route{{Name: "r", Host: "a.example", Prefix: "/r/", Timeout: 2 * time.Second, Target: time.Second,
			MaxAttempts: 1, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}},
		Services: []configcheck.Service{{Service: catalog.Service{Name: "s", Engine: engine}, Models: []catalog.Model{model}}},
		Tenants:  []catalog.Tenant{{Name: "t", Keys: []string{"k"}, Unit: catalog.QuotaTokens, PlainTokens: 200, Rate: 100, Burst: 300}},
		Limits:   catalog.Limits{HeaderBytes: 1, BodyBytes: 1},
	}
}

// Guards against rules that do not apply, apply to valid values or name the wrong place.
func TestCheck(t *testing.T) {
	at := func(list configcheck.Field, field configcheck.Field) configcheck.Place {
		return configcheck.Place{List: list, Field: field}
	}
	inner := func(list, inner configcheck.Field, index int, field configcheck.Field) configcheck.Place {
		return configcheck.Place{List: list, Inner: inner, InnerIndex: index, Field: field}
	}
	negative := -1
	for name, c := range map[string]struct {
		change func(d *configcheck.Document)
		code   configcheck.Code // empty: no finding
		place  configcheck.Place
	}{
		"valid":                 {func(*configcheck.Document) {}, "", configcheck.Place{}},
		"target at the timeout": {func(d *configcheck.Document) { d.Routes[0].Target = 2 * time.Second }, "", configcheck.Place{}},
		"no timeout":            {func(d *configcheck.Document) { d.Routes[0].Timeout = 0 }, "", configcheck.Place{}},
		"another host": {func(d *configcheck.Document) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[1].Name, d.Routes[1].Host = "q", "b.example"
		}, "", configcheck.Place{}},
		"one weight of 0": {func(d *configcheck.Document) {
			d.Routes[0].Backends = append(d.Routes[0].Backends, catalog.Backend{Service: "s"})
		}, "", configcheck.Place{}},
		"no quota": {func(d *configcheck.Document) { d.Tenants[0].Rate, d.Tenants[0].Burst = 0, 0 }, "", configcheck.Place{}},
		"limits omitted": {func(d *configcheck.Document) {
			d.Limits.BodyBytes, d.Omitted = 0, []configcheck.Field{configcheck.BodyBytes}
		}, "", configcheck.Place{}},
		"burst of one":    {func(d *configcheck.Document) { d.Tenants[0].Burst = 200 }, "", configcheck.Place{}},
		"negative time":   {func(d *configcheck.Document) { d.Routes[0].Target = -time.Second }, configcheck.OutOfRange, at(configcheck.Routes, configcheck.Target)},
		"negative limit":  {func(d *configcheck.Document) { d.Limits.IdleTimeout = -1 }, configcheck.OutOfRange, configcheck.Place{Field: configcheck.IdleTimeout}},
		"infinite weight": {func(d *configcheck.Document) { d.Routes[0].Backends[0].Weight = math.Inf(1) }, configcheck.OutOfRange, inner(configcheck.Routes, configcheck.Backends, 0, configcheck.Weight)},
		"size not a number": {func(d *configcheck.Document) { d.Services[0].Models[0].AdapterMB = math.NaN() }, configcheck.OutOfRange,
			inner(configcheck.Services, configcheck.Models, 0, configcheck.AdapterSize)},
		"negative priority": {func(d *configcheck.Document) { d.Tenants[0].Priority = &negative }, configcheck.OutOfRange, at(configcheck.Tenants, configcheck.Priority)},
		"long time":         {func(d *configcheck.Document) { d.Services[0].Models[0].FetchTime = 48 * time.Hour }, configcheck.UnlikelyTime, inner(configcheck.Services, configcheck.Models, 0, configcheck.FetchTime)},
		"no name":           {func(d *configcheck.Document) { d.Routes[0].Name = "" }, configcheck.InvalidName, at(configcheck.Routes, configcheck.Name)},
		"route twice": {func(d *configcheck.Document) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[1].Prefix = "/q/"
		}, configcheck.DuplicateName, configcheck.Place{List: configcheck.Routes, Index: 1, Field: configcheck.Name}},
		"service twice": {func(d *configcheck.Document) { d.Services = append(d.Services, d.Services[0]) }, configcheck.DuplicateName,
			configcheck.Place{List: configcheck.Services, Index: 1, Field: configcheck.Name}},
		"model twice": {func(d *configcheck.Document) {
			d.Services[0].Models = append(d.Services[0].Models, d.Services[0].Models[0])
		}, configcheck.DuplicateName, inner(configcheck.Services, configcheck.Models, 1, configcheck.Name)},
		"hidden route": {func(d *configcheck.Document) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[1].Name, d.Routes[1].Host = "q", "A.example"
		}, configcheck.HiddenRoute, configcheck.Place{List: configcheck.Routes, Index: 1, Field: configcheck.Prefix}},
		"no host":            {func(d *configcheck.Document) { d.Routes[0].Host = "" }, configcheck.InvalidHost, at(configcheck.Routes, configcheck.Host)},
		"host with a port":   {func(d *configcheck.Document) { d.Routes[0].Host = "a:80" }, configcheck.InvalidHost, at(configcheck.Routes, configcheck.Host)},
		"host with a path":   {func(d *configcheck.Document) { d.Routes[0].Host = "a.example/" }, configcheck.InvalidHost, at(configcheck.Routes, configcheck.Host)},
		"relative prefix":    {func(d *configcheck.Document) { d.Routes[0].Prefix = "r/" }, configcheck.PrefixStart, at(configcheck.Routes, configcheck.Prefix)},
		"open prefix":        {func(d *configcheck.Document) { d.Routes[0].Prefix = "/r" }, configcheck.PrefixEnd, at(configcheck.Routes, configcheck.Prefix)},
		"empty prefix":       {func(d *configcheck.Document) { d.Routes[0].Prefix = "" }, configcheck.PrefixEnd, at(configcheck.Routes, configcheck.Prefix)},
		"late target":        {func(d *configcheck.Document) { d.Routes[0].Target = 3 * time.Second }, configcheck.TargetBeyondTimeout, at(configcheck.Routes, configcheck.Target)},
		"long pause":         {func(d *configcheck.Document) { d.Routes[0].MaxEventGap = 3 * time.Second }, configcheck.GapBeyondTimeout, at(configcheck.Routes, configcheck.EventGap)},
		"all weights 0":      {func(d *configcheck.Document) { d.Routes[0].Backends[0].Weight = 0 }, configcheck.NoWeight, at(configcheck.Routes, configcheck.Backends)},
		"backend of no name": {func(d *configcheck.Document) { d.Routes[0].Backends = append(d.Routes[0].Backends, catalog.Backend{}) }, configcheck.RouteWithoutService, inner(configcheck.Routes, configcheck.Backends, 1, configcheck.Backend)},
		"backend unknown": {func(d *configcheck.Document) {
			d.Routes[0].Backends = append(d.Routes[0].Backends, catalog.Backend{Service: "x"})
		}, configcheck.UnknownService, inner(configcheck.Routes, configcheck.Backends, 1, configcheck.Backend)},
		"service unused": {func(d *configcheck.Document) {
			d.Services = append(d.Services, configcheck.Service{Service: catalog.Service{Name: "x"}})
		}, configcheck.ServiceWithoutRoute, configcheck.Place{List: configcheck.Services, Index: 1}},
		"no models":          {func(d *configcheck.Document) { d.Services[0].Models = nil }, configcheck.EngineWithoutModels, at(configcheck.Services, configcheck.Models)},
		"model without size": {func(d *configcheck.Document) { d.Services[0].Models[0].SizeMB = 0 }, configcheck.ModelWithoutSize, inner(configcheck.Services, configcheck.Models, 0, configcheck.ModelSize)},
		"little memory":      {func(d *configcheck.Document) { d.Services[0].Service.Engine.MemoryMB = 69 }, configcheck.MemoryBelowModels, at(configcheck.Services, configcheck.Memory)},
		"large model": {func(d *configcheck.Document) {
			d.Services[0].Models = append(d.Services[0].Models, catalog.Model{Name: "n", SizeMB: 201})
		}, configcheck.ModelExceedsMemory, inner(configcheck.Services, configcheck.Models, 1, configcheck.ModelSize)},
		"adapters of no size": {func(d *configcheck.Document) { d.Services[0].Models[0].AdapterMB = 0 }, configcheck.AdaptersWithoutSize, inner(configcheck.Services, configcheck.Models, 0, configcheck.AdapterSize)},
		"no adapter slots":    {func(d *configcheck.Document) { d.Services[0].Service.Engine.AdapterSlots = 0 }, configcheck.AdaptersWithoutSlots, at(configcheck.Services, configcheck.AdapterSlots)},
		"tenant of no name":   {func(d *configcheck.Document) { d.Tenants[0].Name = " t" }, configcheck.InvalidTenantName, at(configcheck.Tenants, configcheck.Name)},
		"tenant twice": {func(d *configcheck.Document) {
			d.Tenants = append(d.Tenants, catalog.Tenant{Name: "t", Keys: []string{"l"}})
		}, configcheck.DuplicateTenant, configcheck.Place{List: configcheck.Tenants, Index: 1, Field: configcheck.Name}},
		"tenant without keys": {func(d *configcheck.Document) { d.Tenants[0].Keys = nil }, configcheck.TenantWithoutKeys, at(configcheck.Tenants, configcheck.Keys)},
		"negative rate":       {func(d *configcheck.Document) { d.Tenants[0].Rate = -1; d.Tenants[0].Burst = 0 }, configcheck.InvalidQuota, at(configcheck.Tenants, configcheck.Rate)},
		"small burst":         {func(d *configcheck.Document) { d.Tenants[0].Burst = 199 }, configcheck.QuotaBurstBelowRequest, at(configcheck.Tenants, configcheck.Burst)},
		"small request burst": {func(d *configcheck.Document) { d.Tenants[0].Unit, d.Tenants[0].Burst = catalog.QuotaRequests, 0.5 }, configcheck.QuotaBurstBelowRequest, at(configcheck.Tenants, configcheck.Burst)},
		"rate without burst":  {func(d *configcheck.Document) { d.Tenants[0].Burst = 0 }, configcheck.QuotaWithoutBurst, at(configcheck.Tenants, configcheck.Burst)},
		"burst without rate":  {func(d *configcheck.Document) { d.Tenants[0].Rate = 0 }, configcheck.QuotaWithoutRate, at(configcheck.Tenants, configcheck.Rate)},
		"empty key":           {func(d *configcheck.Document) { d.Tenants[0].Keys[0] = "" }, configcheck.InvalidKey, inner(configcheck.Tenants, configcheck.Keys, 0, "")},
		"limit of 0":          {func(d *configcheck.Document) { d.Limits.HeaderBytes = 0 }, configcheck.ZeroLimit, configcheck.Place{Field: configcheck.HeaderBytes}},
	} {
		d := valid()
		c.change(d)
		found := configcheck.Check(d, nil, false)
		switch {
		case c.code == "" && len(found) == 0:
		case len(found) != 1 || found[0].Code != c.code || found[0].Place != c.place || found[0].Detail == "":
			t.Errorf("%s: want %q at %+v, got %+v", name, c.code, c.place, found)
		}
	}
}

// Guards against findings that follow from a value that could not be decoded and mislead the reader.
func TestWrongTypeOnly(t *testing.T) {
	d := valid()
	d.Services = nil
	problem := configcheck.Problem{Code: configcheck.WrongType, Path: "x", Line: 4, Detail: "y"}
	found := configcheck.Check(d, []configcheck.Problem{problem}, false)
	if len(found) != 1 || found[0].Path != "x" || found[0].Line != 4 || !found[0].Refused {
		t.Errorf("got %+v", found)
	}
}

// Guards against codes that scripts and operators meet without a description, and against a refusal by routers of what
// the tool passes.
func TestCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	severities, refusals := configcheck.Codes()
	lines := strings.Split(string(page), "\n")
	for code, severity := range severities {
		want := "| `" + string(code) + "` | " + string(severity)
		if refusals[code] {
			want += ", refused"
		}
		if !slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, want+" | ") }) {
			t.Errorf("docs/OPERATIONS.md lacks the line %q", want)
		}
		if refusals[code] && severity != configcheck.SeverityError {
			t.Errorf("%s is refused but no error", code)
		}
	}
}
