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

// allowedTarget is a model or adapter that a caller may use, with the service that sets its limits.
type allowedTarget struct {
	target      engine.Target
	service     *service
	memoryBytes int64
	ceiling     int
}

// service is a configured service with its calls, the longest path prefix first.
type service struct {
	name     string
	group    string
	priority int
	maxWait  time.Duration
	calls    []config.Call
}

// caller lists the models, adapters and services that a caller may use.
type caller struct {
	name     string
	targets  map[string]allowedTarget // by model or adapter name
	services map[string]*service      // plain services by name
	models   []string                 // keys of targets, sorted
}

// Catalog maps callers' keys to the models, adapters and services that they may use. It is built once for each
// configuration and is immutable.
type Catalog struct {
	version uint64
	callers map[[sha256.Size]byte]*caller
}

// NewCatalog returns the catalog of a configuration. It skips references to names that are not defined; the validation
// of a configuration refuses them earlier.
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
	for _, conf := range doc.Config.Callers {
		var hash [sha256.Size]byte
		if n, err := hex.Decode(hash[:], []byte(conf.KeySHA256)); err == nil && n == sha256.Size {
			c.callers[hash] = b.caller(conf, doc.Config.Limits.MaxWaitMS)
		}
	}
	return c
}

type builder struct {
	models   map[string]config.Model
	adapters map[string]config.Adapter
	services map[string]config.Service
}

func (b *builder) caller(conf config.Caller, limitMS int64) *caller {
	c := &caller{name: conf.Name, targets: map[string]allowedTarget{}, services: map[string]*service{}}
	for _, name := range conf.Services {
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

// add allows the caller to use a target through a service. The first service that lists a target sets its limits.
// Models with a ceiling of zero are not served.
func (b *builder) add(c *caller, name string, t engine.Target, s *service) {
	m, ok := b.models[t.Model]
	if _, dup := c.targets[name]; dup || !ok || m.MaxReplicas == 0 {
		return
	}
	c.targets[name] = allowedTarget{target: t, service: s, memoryBytes: m.MemoryBytes + m.KVReserveBytes + b.adapters[t.Adapter].MemoryBytes, ceiling: m.MaxReplicas}
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

// findCall returns the configured call for a method and a path below the service. The longest matching prefix wins.
func (s *service) findCall(method, path string) (config.Call, bool) {
	for _, c := range s.calls {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			return c, true
		}
	}
	return config.Call{}, false
}

// authenticate returns the caller with the key.
func (c *Catalog) authenticate(key string) (*caller, bool) {
	found, ok := c.callers[sha256.Sum256([]byte(key))]
	return found, ok
}
