package declare

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
)

// Group is the declaration of a named set of upstreams.
type Group struct {
	node
	config config.Group
}

func (d *Deployment) group(name string, kind config.GroupKind) *Group {
	g := &Group{node: newNode(d, "group", name), config: config.Group{Name: name, Kind: kind}}
	d.groups = append(d.groups, g)
	return g
}

// ModelGroup declares a group of model engines.
func (d *Deployment) ModelGroup(name string) *Group { return d.group(name, config.GroupModels) }

// PlainGroup declares a group of upstreams of plain services.
func (d *Deployment) PlainGroup(name string) *Group { return d.group(name, config.GroupPlain) }

// Model is the declaration of a model.
type Model struct {
	node
	config config.Model
}

// Model declares a model that the group's upstreams may load.
func (g *Group) Model(name string) *Model {
	m := &Model{node: newNode(g.root, "model", name), config: config.Model{Name: name, Group: g.config.Name}}
	g.root.models = append(g.root.models, m)
	return m
}

// MaxReplicas declares the agreed ceiling of the number of replicas.
func (m *Model) MaxReplicas(n int) *Model {
	m.markDeclared("MaxReplicas")
	m.config.MaxReplicas = n
	return m
}

// Memory declares the memory that the weights need on an upstream, bytes.
func (m *Model) Memory(bytes int64) *Model {
	m.markDeclared("Memory")
	m.config.MemoryBytes = bytes
	return m
}

// KVReserve declares the memory reserved for the KV cache of the model's requests, bytes.
func (m *Model) KVReserve(bytes int64) *Model {
	m.markDeclared("KVReserve")
	m.config.KVReserveBytes = bytes
	return m
}

// Accelerators declares the number of accelerators that a replica occupies.
func (m *Model) Accelerators(n int) *Model {
	m.markDeclared("Accelerators")
	m.config.Accelerators = n
	return m
}

// Adapter is the declaration of an adapter.
type Adapter struct {
	node
	config config.Adapter
}

// Adapter declares an adapter on the model.
func (m *Model) Adapter(name string) *Adapter {
	a := &Adapter{node: newNode(m.root, "adapter", name), config: config.Adapter{Name: name, Model: m.config.Name}}
	m.root.adapters = append(m.root.adapters, a)
	return a
}

// Memory declares the memory that the adapter needs on an upstream, bytes.
func (a *Adapter) Memory(bytes int64) *Adapter {
	a.markDeclared("Memory")
	a.config.MemoryBytes = bytes
	return a
}

// Service is the declaration of a service.
type Service struct {
	node
	config config.Service
}

// Service declares a service that the group's upstreams provide.
func (g *Group) Service(name string) *Service {
	s := &Service{node: newNode(g.root, "service", name), config: config.Service{Name: name, Group: g.config.Name}}
	g.root.services = append(g.root.services, s)
	return s
}

// Models declares models that the service's callers may call. Further calls add to them.
func (s *Service) Models(models ...*Model) *Service {
	for _, m := range models {
		s.config.Models = append(s.config.Models, m.config.Name)
	}
	return s
}

// Adapters declares adapters that the service's callers may call. Further calls add to them.
func (s *Service) Adapters(adapters ...*Adapter) *Service {
	for _, a := range adapters {
		s.config.Adapters = append(s.config.Adapters, a.config.Name)
	}
	return s
}

// Priority declares the priority of the service's waiting requests, 0 to 9; larger is more urgent.
func (s *Service) Priority(n int) *Service {
	s.markDeclared("Priority")
	s.config.Priority = n
	return s
}

// MaxWait declares the longest time that a caller of the service may wait for the start of its answer.
func (s *Service) MaxWait(t time.Duration) *Service {
	s.markDeclared("MaxWait")
	s.config.MaxWaitMS = s.milliseconds("MaxWait", t)
	return s
}

// Idempotent declares a call of a plain service that may be retried.
func (s *Service) Idempotent(method, pathPrefix string) *Service {
	s.config.Calls = append(s.config.Calls, config.Call{Method: method, PathPrefix: pathPrefix})
	return s
}

// NonIdempotent declares a call of a plain service that needs an Idempotency-Key and runs at most once per key.
func (s *Service) NonIdempotent(method, pathPrefix string) *Service {
	s.config.Calls = append(s.config.Calls, config.Call{Method: method, PathPrefix: pathPrefix, NonIdempotent: true})
	return s
}

// Caller is the declaration of a caller.
type Caller struct {
	node
	config config.Caller
}

// Caller declares a caller.
func (d *Deployment) Caller(name string) *Caller {
	c := &Caller{node: newNode(d, "caller", name), config: config.Caller{Name: name}}
	d.callers = append(d.callers, c)
	return c
}

// KeySHA256 declares the lower-case hexadecimal SHA-256 of the caller's key. The configuration never contains the key
// itself.
func (c *Caller) KeySHA256(hash string) *Caller {
	c.markDeclared("KeySHA256")
	c.config.KeySHA256 = hash
	return c
}

// MayCall declares the services that the caller may call. The first of them that offers a model determines the priority
// and the longest wait of a request for that model.
func (c *Caller) MayCall(services ...*Service) *Caller {
	c.markDeclared("MayCall")
	for _, s := range services {
		c.config.Services = append(c.config.Services, s.config.Name)
	}
	return c
}
