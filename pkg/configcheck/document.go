// Package configcheck validates the operator's configuration and compares two versions of it. Routers refuse a version
// by the same rules (Finding.Refused). The package is pure and does not know how a configuration is encoded: it names
// fields by Field, and the caller translates them.
package configcheck

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// MaxTime is the longest time that a decoded configuration contains. Decoders replace longer times by it, so that sums and
// small multiples of times do not overflow.
const MaxTime = 10 * 365 * 24 * time.Hour

// Document is a decoded configuration with its entries in their order, including those that share a name.
type Document struct {
	Version  uint64
	Routes   []catalog.Route
	Services []Service
	Tenants  []catalog.Tenant
	Limits   catalog.Limits
	// Omitted are the limits that the document does not contain; routers use their defaults.
	Omitted []Field
}

// Service is a service with its models in their order.
type Service struct {
	catalog.Service
	Models []catalog.Model
}

// Field is a field of the configuration.
type Field string

// Fields. Routes, Backends, Services, Models, Tenants and Keys are lists.
const (
	Version Field = "version"

	Routes    Field = "routes"
	Name      Field = "name"
	Host      Field = "host"
	Prefix    Field = "prefix"
	Kind      Field = "kind"
	Timeout   Field = "timeout"
	Target    Field = "target"
	EventGap  Field = "event gap"
	Priority  Field = "priority"
	Attempts  Field = "attempts"
	Resumable Field = "resumable"
	Public    Field = "public"
	Backends  Field = "backends"
	Backend   Field = "service"
	Weight    Field = "weight"

	Services     Field = "services"
	MaxConns     Field = "connections"
	HealthPath   Field = "health path"
	Engine       Field = "engine"
	Slots        Field = "slots"
	KVTokens     Field = "KV tokens"
	Memory       Field = "memory"
	AdapterSlots Field = "adapter slots"
	LoadRate     Field = "load rate"
	Models       Field = "models"
	ModelSize    Field = "model size"
	FetchTime    Field = "fetch time"
	DiskTime     Field = "disk time"
	MemoryTime   Field = "memory time"
	Adapters     Field = "adapters"
	AdapterSize  Field = "adapter size"

	Tenants     Field = "tenants"
	Keys        Field = "keys"
	Unit        Field = "unit"
	PlainTokens Field = "plain tokens"
	Rate        Field = "rate"
	Burst       Field = "burst"

	HeaderBytes   Field = "header bytes"
	BodyBytes     Field = "body bytes"
	HeaderTimeout Field = "header timeout"
	IdleTimeout   Field = "idle timeout"
)

// Place is the position of a field or an entry. Indexes count from 0.
type Place struct {
	// List and Index are the entry, for example a route; List is empty for fields outside the lists.
	List  Field
	Index int
	// Inner and InnerIndex are the entry of a list inside the entry, for example a backend; Inner is empty if there is none.
	Inner      Field
	InnerIndex int
	// Field is empty if the place is the entry itself.
	Field Field
}

func (p Place) field(f Field) Place {
	p.Field = f
	return p
}

func (p Place) inner(list Field, index int) Place {
	p.Inner, p.InnerIndex = list, index
	return p
}

// Problem is what the decoder found wrong with the form of a document.
type Problem struct {
	Code  Code
	Place Place
	// Path and Line are set for fields that Place cannot express, such as unknown ones; Place is then the entry.
	Path string
	Line int
	// Detail describes the problem. It must not contain a key.
	Detail string
}

// properties are the fields of an entry whose values are compared and, if they are numbers, checked.
type property[T any] struct {
	field Field
	value func(*T) any
}

var routeProperties = []property[catalog.Route]{
	{Host, func(r *catalog.Route) any { return r.Host }},
	{Prefix, func(r *catalog.Route) any { return r.Prefix }},
	{Kind, func(r *catalog.Route) any { return kindName(r.Kind) }},
	{Timeout, func(r *catalog.Route) any { return r.Timeout }},
	{Target, func(r *catalog.Route) any { return r.Target }},
	{EventGap, func(r *catalog.Route) any { return r.MaxEventGap }},
	{Priority, func(r *catalog.Route) any { return r.Priority }},
	{Attempts, func(r *catalog.Route) any { return r.MaxAttempts }},
	{Resumable, func(r *catalog.Route) any { return r.Resumable }},
	{Public, func(r *catalog.Route) any { return r.Public }},
	{Backends, func(r *catalog.Route) any { return backendNames(r.Backends) }},
}

var serviceProperties = []property[Service]{
	{MaxConns, func(s *Service) any { return s.MaxConns }},
	{HealthPath, func(s *Service) any { return s.HealthPath }},
	{Engine, func(s *Service) any { return s.Service.Engine != nil }},
	{Slots, engineValue(func(e *catalog.Engine) any { return e.Slots })},
	{KVTokens, engineValue(func(e *catalog.Engine) any { return e.KVTokens })},
	{Memory, engineValue(func(e *catalog.Engine) any { return e.MemoryMB })},
	{AdapterSlots, engineValue(func(e *catalog.Engine) any { return e.AdapterSlots })},
	{LoadRate, engineValue(func(e *catalog.Engine) any { return e.LoadsPerSecond })},
}

var modelProperties = []property[catalog.Model]{
	{ModelSize, func(m *catalog.Model) any { return m.SizeMB }},
	{FetchTime, func(m *catalog.Model) any { return m.FetchTime }},
	{DiskTime, func(m *catalog.Model) any { return m.DiskTime }},
	{MemoryTime, func(m *catalog.Model) any { return m.MemoryTime }},
	{Adapters, func(m *catalog.Model) any { return m.Adapters }},
	{AdapterSize, func(m *catalog.Model) any { return m.AdapterMB }},
}

var tenantProperties = []property[catalog.Tenant]{
	{Priority, func(t *catalog.Tenant) any { return optional(t.Priority) }},
	{Unit, func(t *catalog.Tenant) any { return unitName(t.Unit) }},
	{PlainTokens, func(t *catalog.Tenant) any { return t.PlainTokens }},
	{Rate, func(t *catalog.Tenant) any { return t.Rate }},
	{Burst, func(t *catalog.Tenant) any { return t.Burst }},
}

var limitProperties = []property[catalog.Limits]{
	{HeaderBytes, func(l *catalog.Limits) any { return l.HeaderBytes }},
	{BodyBytes, func(l *catalog.Limits) any { return l.BodyBytes }},
	{HeaderTimeout, func(l *catalog.Limits) any { return l.HeaderTimeout }},
	{IdleTimeout, func(l *catalog.Limits) any { return l.IdleTimeout }},
}

// engineValue returns nil for services without engines.
func engineValue(get func(*catalog.Engine) any) func(*Service) any {
	return func(s *Service) any {
		if s.Service.Engine == nil {
			return nil
		}
		return get(s.Service.Engine)
	}
}

func optional(n *int) any {
	if n == nil {
		return nil
	}
	return *n
}
