// Package catalog defines the system's own types for the operator's configuration and for the reports of upstreams. It
// is independent of how either is encoded.
package catalog

import (
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route. It defines how often a request may run.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered with a stream of events and run at most once unless the route is resumable.
	Streaming
)

// Backend is one service of a route and its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route defines the backends, limits and latency targets of the requests for a host and a path prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time until the answer is complete; 0 means no limit.
	Timeout time.Duration
	// Target is the longest time to the answer, or to the first event of a stream, that counts as on time.
	Target time.Duration
	// MaxEventGap is the longest time between two events of a stream that counts as on time.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of upstreams that one request may be sent to.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority  int
	Resumable bool
	// Public reports whether requests need no key even if the configuration has tenants.
	Public   bool
	Backends []Backend
}

// Retryable reports whether a request of the route may be retried after an attempt with an unknown outcome.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// EventTimeout returns how long callers wait for the first or the next event of a stream before they disconnect: the
// longest of two seconds, four times Target and eight times MaxEventGap. It is 0 for other routes, whose callers wait
// until their deadline.
func (r *Route) EventTimeout() time.Duration {
	if r.Kind != Streaming {
		return 0
	}
	return max(2*time.Second, 4*r.Target, 8*r.MaxEventGap)
}

// PickService returns the service for a request, chosen by weight. The point is uniformly distributed in [0, 1).
func (r *Route) PickService(point float64) string {
	var sum float64
	for _, b := range r.Backends {
		sum += b.Weight
	}
	point *= sum
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Model is a model that the upstreams of a service can load.
type Model struct {
	Name string
	// SizeMB is the memory that the weights need.
	SizeMB float64
	// FetchTime, DiskTime and MemoryTime are the durations of a load from the weight store, from the upstream's disk
	// and from its host memory.
	FetchTime, DiskTime, MemoryTime time.Duration
	// Adapters is the number of adapters of the model, and AdapterMB the memory that one needs.
	Adapters  int
	AdapterMB float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Models map[string]Model
	// MemoryMB is the memory of one upstream for weights and adapters.
	MemoryMB     float64
	AdapterSlots int
	Slots        int
	// KVTokens is the capacity of one upstream, in tokens, for running requests and cached prompt parts.
	KVTokens int
	// LoadsPerSecond is the maximum rate of loads from the weight store over all upstreams.
	LoadsPerSecond float64
}

// Service is a group of upstreams. Engine is nil for plain services.
type Service struct {
	Name     string
	MaxConns int
	// HealthPath is the path at which an upstream serves its health and its id.
	HealthPath string
	Engine     *Engine
}

// Limits are the limits on callers' connections and requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	// tenants are empty if requests need no key.
	tenants     []Tenant
	tenantByKey map[string]*Tenant
}

// NewConfig returns a configuration with the routes indexed by host.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Services: map[string]Service{}, Limits: limits, routes: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routes[host] = append(c.routes[host], &routes[i])
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path. A port in host is ignored.
func (c *Config) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// Resident is a model in an upstream's accelerator memory, with its loaded adapters.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// Instance identifies one process of an upstream by what it says of itself; unknown fields are empty.
type Instance struct {
	ID            string
	StartedUnixMS int64
}

// Upstream is the state that an upstream has reported.
type Upstream struct {
	// ID identifies one instance of the upstream.
	ID      string
	Service string
	Address string // IP:port
	Zone    string
	Slots   int
	// Draining reports whether the upstream accepts no new requests.
	Draining bool
	// StartedUnixMS is the start time of the upstream in Unix milliseconds; with ID it distinguishes restarts.
	StartedUnixMS int64
	Models        []Resident
	// InMemory and OnDisk list the models whose weights are cached in host memory and on disk.
	InMemory, OnDisk []string
	// Orders is the number of orders that the upstream has accepted since its start; 0 if unknown.
	Orders uint64
	// WarmupRemaining is the remaining time of the warm-up after its start, during which the upstream is slow.
	WarmupRemaining time.Duration
}

// Holds reports whether the model is in accelerator memory.
func (u *Upstream) Holds(model string) bool { return u.resident(model) != nil }

// HoldsAdapter reports whether the model and the adapter are in accelerator memory.
func (u *Upstream) HoldsAdapter(model, adapter string) bool {
	r := u.resident(model)
	return r != nil && slices.Contains(r.Adapters, adapter)
}

func (u *Upstream) resident(model string) *Resident {
	for i := range u.Models {
		if u.Models[i].Model == model {
			return &u.Models[i]
		}
	}
	return nil
}

// SameNames reports whether two lists contain the same names, in any order.
func SameNames(a, b []string) bool {
	return slices.Equal(a, b) || slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// SameResidents reports whether two lists contain the same models and versions with the same adapters, in any order.
func SameResidents(a, b []Resident) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(x Resident) bool {
		i := slices.IndexFunc(b, func(y Resident) bool { return y.Model == x.Model })
		return i < 0 || b[i].Version != x.Version || !SameNames(x.Adapters, b[i].Adapters)
	})
}

// Tier is the location of the copy of a model's weights that is nearest to an upstream's accelerator.
type Tier int

// Tiers, nearest first.
const (
	TierAccelerator Tier = iota
	TierMemory
	TierDisk
	TierStore
)

// Tier returns the tier of the nearest copy of the model's weights.
func (u *Upstream) Tier(model string) Tier {
	switch {
	case u.Holds(model):
		return TierAccelerator
	case slices.Contains(u.InMemory, model):
		return TierMemory
	case slices.Contains(u.OnDisk, model):
		return TierDisk
	}
	return TierStore
}

// LoadTime returns the duration of a load from the tier, assuming that the weight store serves it at full speed.
func (m Model) LoadTime(t Tier) time.Duration {
	switch t {
	case TierAccelerator:
		return 0
	case TierMemory:
		return m.MemoryTime
	case TierDisk:
		return m.DiskTime
	}
	return m.FetchTime
}
