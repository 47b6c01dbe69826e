package config

import (
	"path"
	"strings"
)

// Index looks up the parts of a valid configuration by name. It is read-only and safe for concurrent use.
type Index struct {
	groups   map[string]*Group
	models   map[string]*Model
	adapters map[string]*Adapter
	services map[string]*serviceIndex
	callers  map[string]*Caller
	keys     map[string]*Caller
}

type serviceIndex struct {
	service *Service
	targets map[string]bool // names of models and adapters
}

// NewIndex returns the index of a valid configuration, which must not be modified afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		groups: map[string]*Group{}, models: map[string]*Model{}, adapters: map[string]*Adapter{},
		services: map[string]*serviceIndex{}, callers: map[string]*Caller{}, keys: map[string]*Caller{},
	}
	for i := range c.Groups {
		x.groups[c.Groups[i].Name] = &c.Groups[i]
	}
	for i := range c.Models {
		x.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.Adapters {
		x.adapters[c.Adapters[i].Name] = &c.Adapters[i]
	}
	for i := range c.Services {
		s := &serviceIndex{service: &c.Services[i], targets: map[string]bool{}}
		for _, names := range [][]string{c.Services[i].Models, c.Services[i].Adapters} {
			for _, name := range names {
				s.targets[name] = true
			}
		}
		x.services[c.Services[i].Name] = s
	}
	for i := range c.Callers {
		x.callers[c.Callers[i].Name] = &c.Callers[i]
		x.keys[c.Callers[i].KeySHA256] = &c.Callers[i]
	}
	return x
}

// Group returns the group with the name, or nil.
func (x *Index) Group(name string) *Group { return x.groups[name] }

// Model returns the model with the name, or nil.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Adapter returns the adapter with the name, or nil.
func (x *Index) Adapter(name string) *Adapter { return x.adapters[name] }

// Caller returns the caller with the name, or nil.
func (x *Index) Caller(name string) *Caller { return x.callers[name] }

// Service returns the service with the name, or nil.
func (x *Index) Service(name string) *Service {
	if s := x.services[name]; s != nil {
		return s.service
	}
	return nil
}

// CallerByKey returns the caller whose key has the lower-case hexadecimal SHA-256, or nil.
func (x *Index) CallerByKey(sha256Hex string) *Caller { return x.keys[sha256Hex] }

// Resolve returns the model and the adapter that a caller addresses by name. The adapter is nil if the name is that of
// a model; both are nil if the name is unknown.
func (x *Index) Resolve(name string) (*Model, *Adapter) {
	if m := x.models[name]; m != nil {
		return m, nil
	}
	if a := x.adapters[name]; a != nil {
		return x.models[a.Model], a
	}
	return nil, nil
}

// ServiceFor returns the first of the caller's services, in the order of the document, that offers the model or adapter
// with the name. It returns nil if none does.
func (x *Index) ServiceFor(c *Caller, name string) *Service {
	for _, s := range c.Services {
		if entry := x.services[s]; entry != nil && entry.targets[name] {
			return entry.service
		}
	}
	return nil
}

// MayCall reports whether the caller may call the service.
func (c *Caller) MayCall(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Match returns the call of a plain service with the longest prefix of p, the decoded path below /services/{service}.
// A prefix matches complete segments only. Match returns nil if no call matches or p has an empty, "." or ".." segment,
// because an upstream that cleans paths would execute another call than the one that matched.
func (s *Service) Match(method, p string) *Call {
	if !isCleanPath(p) {
		return nil
	}
	var best *Call
	for i := range s.Calls {
		c := &s.Calls[i]
		prefix := strings.TrimSuffix(c.PathPrefix, "/")
		if c.Method != method || (p != prefix && !strings.HasPrefix(p, prefix+"/")) {
			continue
		}
		if best == nil || len(c.PathPrefix) > len(best.PathPrefix) {
			best = c
		}
	}
	return best
}

// isCleanPath reports whether p is absolute and equals its cleaned form, apart from one trailing slash.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}
