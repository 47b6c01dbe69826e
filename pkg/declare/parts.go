package declare

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
)

// Group is the declaration of a named set of upstreams.
type Group struct {
	node
	g config.Group
}

func (d *Deployment) group(name string, kind config.GroupKind) *Group {
	g := &Group{node: newNode(d, "group", name), g: config.Group{Name: name, Kind: kind}}
	d.groups = append(d.groups, g)
	return g
}

// ModelGroup declares a set of model engines.
func (d *Deployment) ModelGroup(name string) *Group { return d.group(name, config.GroupModels) }

// PlainGroup declares a set of upstreams of plain services.
func (d *Deployment) PlainGroup(name string) *Group { return d.group(name, config.GroupPlain) }

// Model is the declaration of a model.
type Model struct {
	node
	m config.Model
}

// Model declares a model that the group's upstreams may load.
func (g *Group) Model(name string) *Model {
	m := &Model{node: newNode(g.root, "model", name), m: config.Model{Name: name, Group: g.g.Name}}
	g.root.models = append(g.root.models, m)
	return m
}

// MaxReplicas declares the voted ceiling of loaded replicas.
func (m *Model) MaxReplicas(n int) *Model {
	m.give("MaxReplicas")
	m.m.MaxReplicas = n
	return m
}

// Memory declares what the weights take on an upstream, bytes.
func (m *Model) Memory(bytes int64) *Model {
	m.give("Memory")
	m.m.MemoryBytes = bytes
	return m
}

// KVReserve declares what is kept for the KV cache of the model's requests, bytes.
func (m *Model) KVReserve(bytes int64) *Model {
	m.give("KVReserve")
	m.m.KVReserveBytes = bytes
	return m
}

// Accelerators declares how many accelerators a loaded replica holds.
func (m *Model) Accelerators(n int) *Model {
	m.give("Accelerators")
	m.m.Accelerators = n
	return m
}

// Adapter is the declaration of an adapter.
type Adapter struct {
	node
	a config.Adapter
}

// Adapter declares an adapter on the model.
func (m *Model) Adapter(name string) *Adapter {
	a := &Adapter{node: newNode(m.root, "adapter", name), a: config.Adapter{Name: name, Model: m.m.Name}}
	m.root.adapters = append(m.root.adapters, a)
	return a
}

// Memory declares what the adapter takes on an upstream, bytes.
func (a *Adapter) Memory(bytes int64) *Adapter {
	a.give("Memory")
	a.a.MemoryBytes = bytes
	return a
}

// Service is the declaration of a service.
type Service struct {
	node
	s config.Service
}

// Service declares a service of the group's upstreams.
func (g *Group) Service(name string) *Service {
	s := &Service{node: newNode(g.root, "service", name), s: config.Service{Name: name, Group: g.g.Name}}
	g.root.services = append(g.root.services, s)
	return s
}

// Models declares models that the service's callers may call. Further calls add to them.
func (s *Service) Models(models ...*Model) *Service {
	for _, m := range models {
		s.s.Models = append(s.s.Models, m.m.Name)
	}
	return s
}

// Adapters declares adapters that the service's callers may call. Further calls add to them.
func (s *Service) Adapters(adapters ...*Adapter) *Service {
	for _, a := range adapters {
		s.s.Adapters = append(s.s.Adapters, a.a.Name)
	}
	return s
}

// Priority declares the order of waiting requests, 0 to 9; larger is more urgent.
func (s *Service) Priority(n int) *Service {
	s.give("Priority")
	s.s.Priority = n
	return s
}

// MaxWait declares the longest time that a caller of the service may wait for its answer to begin.
func (s *Service) MaxWait(t time.Duration) *Service {
	s.give("MaxWait")
	s.s.MaxWaitMS = s.milliseconds("MaxWait", t)
	return s
}

// Idempotent declares a call of a plain service that may be repeated.
func (s *Service) Idempotent(method, pathPrefix string) *Service {
	s.s.Calls = append(s.s.Calls, config.Call{Method: method, PathPrefix: pathPrefix})
	return s
}

// NonIdempotent declares a call of a plain service that needs an Idempotency-Key and runs at most once.
func (s *Service) NonIdempotent(method, pathPrefix string) *Service {
	s.s.Calls = append(s.s.Calls, config.Call{Method: method, PathPrefix: pathPrefix, NonIdempotent: true})
	return s
}

// Caller is the declaration of a caller.
type Caller struct {
	node
	c config.Caller
}

// Caller declares a caller.
func (d *Deployment) Caller(name string) *Caller {
	c := &Caller{node: newNode(d, "caller", name), c: config.Caller{Name: name}}
	d.callers = append(d.callers, c)
	return c
}

// KeySHA256 declares the lower-case hexadecimal SHA-256 of the caller's key. The key itself is never declared.
func (c *Caller) KeySHA256(hash string) *Caller {
	c.give("KeySHA256")
	c.c.KeySHA256 = hash
	return c
}

// MayCall declares the services that the caller may call. The first that offers a model decides the priority and the
// longest wait of a request for it.
func (c *Caller) MayCall(services ...*Service) *Caller {
	c.give("MayCall")
	for _, s := range services {
		c.c.Services = append(c.c.Services, s.s.Name)
	}
	return c
}
