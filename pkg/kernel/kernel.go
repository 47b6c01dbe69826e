// Package kernel implements the module registry and the life cycle of modules. A module registers itself in init under
// a dotted id such as "store.http"; the part before the first dot is its kind.
package kernel

import (
	"context"
	"fmt"
	"net/url"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Kind is the part of a module's id before the first dot.
type Kind string

// Kinds of modules.
const (
	KindStore     Kind = "store"
	KindVMList    Kind = "vmlist"
	KindEngine    Kind = "engine"
	KindTransport Kind = "transport"
	KindPolicy    Kind = "policy"
)

var kinds = map[Kind]bool{KindStore: true, KindVMList: true, KindEngine: true, KindTransport: true, KindPolicy: true}

// Module is a plug-in. The kernel calls Provision once, then Validate, and finally Cleanup if Provision succeeded.
type Module interface {
	// Provision prepares the module from its settings. An unknown setting is an error.
	Provision(ctx context.Context, settings Settings) error
	// Validate checks the provisioned module before use.
	Validate() error
	// Cleanup releases what Provision acquired.
	Cleanup() error
}

// Settings are the settings of a module by name. Take removes a setting, so that CheckUnused finds the unknown ones.
type Settings map[string]string

// Take removes and returns the setting name, or fallback if it is absent.
func (s Settings) Take(name, fallback string) string {
	v, ok := s[name]
	if !ok {
		return fallback
	}
	delete(s, name)
	return v
}

// TakeURL removes and returns the setting url without a trailing slash.
func (s Settings) TakeURL() string { return strings.TrimSuffix(s.Take("url", ""), "/") }

// CheckURL returns an error if the URL base, a setting of the module with the id, has no host.
func CheckURL(id, base string) error {
	if u, err := url.Parse(base); err != nil || u.Host == "" {
		return fault.New(fault.StepSettings, id, "setting url is empty or malformed")
	}
	return nil
}

// TakeDuration removes and parses a duration such as "2s" from the settings of the module with the id.
func (s Settings) TakeDuration(id, name string, fallback time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(s.Take(name, fallback.String()))
	return d, fault.Wrap(err, fault.StepSettings, id, "parse setting "+name)
}

// CheckUnused returns an error that names the settings that Take has not removed.
func (s Settings) CheckUnused() error {
	if len(s) == 0 {
		return nil
	}
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	sort.Strings(names)
	return fault.Newf(fault.StepSettings, "", "unknown settings %s", strings.Join(names, ", "))
}

var (
	mu       sync.RWMutex
	registry = map[string]func() Module{}
)

// Register adds a module under a dotted id. It panics if the id is malformed, unknown or a duplicate, which is a
// programming error.
func Register(id string, newModule func() Module) {
	kind, name, ok := strings.Cut(id, ".")
	if !ok || name == "" || !kinds[Kind(kind)] {
		panic(fmt.Sprintf("kernel: malformed module id %q", id))
	}
	mu.Lock()
	defer mu.Unlock()
	if _, dup := registry[id]; dup {
		panic(fmt.Sprintf("kernel: duplicate module id %q", id))
	}
	registry[id] = newModule
}

// IDs returns the sorted ids of the registered modules of a kind.
func IDs(kind Kind) []string {
	mu.RLock()
	defer mu.RUnlock()
	var ids []string
	for id := range registry {
		if strings.HasPrefix(id, string(kind)+".") {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Kernel owns the modules of one process.
type Kernel struct {
	loaded []Module
}

// New returns a kernel without modules.
func New() *Kernel { return &Kernel{} }

// Load creates, provisions and validates the module with the given id.
func (k *Kernel) Load(ctx context.Context, id string, settings Settings) (Module, error) {
	mu.RLock()
	newModule, ok := registry[id]
	mu.RUnlock()
	if !ok {
		kind, _, _ := strings.Cut(id, ".")
		return nil, fault.Newf(fault.StepSettings, id, "unknown module; registered: %s", strings.Join(IDs(Kind(kind)), ", "))
	}
	m := newModule()
	if err := m.Provision(ctx, settings); err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, id, "provision module")
	}
	k.loaded = append(k.loaded, m)
	if err := settings.CheckUnused(); err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, id, "check module settings")
	}
	if err := m.Validate(); err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, id, "validate module")
	}
	return m, nil
}

// LoadAs loads a module and checks that it has type T.
func LoadAs[T any](ctx context.Context, k *Kernel, id string, settings Settings) (T, error) {
	var zero T
	m, err := k.Load(ctx, id, settings)
	if err != nil {
		return zero, err
	}
	typed, ok := m.(T)
	if !ok {
		return zero, fault.Newf(fault.StepSettings, id, "module does not implement %T", (*T)(nil))
	}
	return typed, nil
}

// Cleanup cleans up all modules in reverse order of loading and returns the first error.
func (k *Kernel) Cleanup() error {
	var first error
	for i := len(k.loaded) - 1; i >= 0; i-- {
		if err := k.loaded[i].Cleanup(); err != nil && first == nil {
			first = err
		}
	}
	k.loaded = nil
	return first
}
