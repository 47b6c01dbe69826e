package api

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

// target is a model or adapter that a caller may call.
type target struct {
	target      engine.Target
	service     *service
	memoryBytes int64
	ceiling     int
}

// service is a service with its calls, the longest prefix first.
type service struct {
	name     string
	group    string
	priority int
	maxWait  time.Duration
	calls    []config.Call
}

// caller is what one caller may call.
type caller struct {
	name     string
	targets  map[string]target   // by model or adapter name
	services map[string]*service // plain services by name
	models   []string            // names of targets, sorted
}

// Catalog answers who may call what. It is made once for each configuration and never changed.
type Catalog struct {
	version uint64
	callers map[[sha256.Size]byte]*caller
}

// NewCatalog returns the catalog of a configuration. Entries that refer to nothing are left out; validation of the
// configuration refuses them before.
func NewCatalog(doc *config.Document) *Catalog {
	b := &builder{models: map[string]config.Model{}, adapters: map[string]config.Adapter{}, services: map[string]config.Service{}}
	for _, m := range doc.Config.Models {
		b.models[m.Name] = m
	}
	for _, a := range doc.Config.Adapters {
		b.adapters[a.Name] = a
	}
	for _, s := range doc.Config.Services {
		b.services[s.Name] = s
	}
	c := &Catalog{version: doc.Version, callers: map[[sha256.Size]byte]*caller{}}
	for _, x := range doc.Config.Callers {
		var hash [sha256.Size]byte
		if n, err := hex.Decode(hash[:], []byte(x.KeySHA256)); err == nil && n == sha256.Size {
			c.callers[hash] = b.caller(x, doc.Config.Limits.MaxWaitMS)
		}
	}
	return c
}

type builder struct {
	models   map[string]config.Model
	adapters map[string]config.Adapter
	services map[string]config.Service
}

func (b *builder) caller(x config.Caller, limitMS int64) *caller {
	c := &caller{name: x.Name, targets: map[string]target{}, services: map[string]*service{}}
	for _, name := range x.Services {
		s, ok := b.services[name]
		if !ok {
			continue
		}
		out := newService(s, limitMS)
		if len(s.Models) == 0 && len(s.Adapters) == 0 {
			c.services[name] = out
			continue
		}
		for _, m := range s.Models {
			b.add(c, m, engine.Target{Model: m}, out)
		}
		for _, a := range s.Adapters {
			b.add(c, a, engine.Target{Model: b.adapters[a].Model, Adapter: a}, out)
		}
	}
	for name := range c.targets {
		c.models = append(c.models, name)
	}
	sort.Strings(c.models)
	return c
}

// add lets the caller call a target under a service. The first service that names a target decides its limits. Models
// with a ceiling of zero are not served.
func (b *builder) add(c *caller, name string, t engine.Target, s *service) {
	m, ok := b.models[t.Model]
	if _, dup := c.targets[name]; dup || !ok || m.MaxReplicas == 0 {
		return
	}
	c.targets[name] = target{target: t, service: s, memoryBytes: m.MemoryBytes + m.KVReserveBytes + b.adapters[t.Adapter].MemoryBytes, ceiling: m.MaxReplicas}
}

func newService(s config.Service, limitMS int64) *service {
	wait := s.MaxWaitMS
	if limitMS > 0 && (wait == 0 || limitMS < wait) {
		wait = limitMS
	}
	calls := append([]config.Call(nil), s.Calls...)
	sort.SliceStable(calls, func(i, j int) bool { return len(calls[i].PathPrefix) > len(calls[j].PathPrefix) })
	return &service{name: s.Name, group: s.Group, priority: s.Priority, maxWait: time.Duration(wait) * time.Millisecond, calls: calls}
}

// call returns the call that a method and a path below the service match. The longest prefix decides.
func (s *service) call(method, path string) (config.Call, bool) {
	for _, c := range s.calls {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			return c, true
		}
	}
	return config.Call{}, false
}

// authenticate returns the caller with the key.
func (c *Catalog) authenticate(key string) (*caller, bool) {
	x, ok := c.callers[sha256.Sum256([]byte(key))]
	return x, ok
}
