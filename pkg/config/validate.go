package config

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"unicode/utf8"
)

// Bounds of fields. They prevent sums from overflowing 64 bits and reject values far beyond any sensible use.
const (
	MaxPriority    = 9
	MaxReplicas    = 10_000
	MaxWaitLimitMS = 3_600_000 // 1 h
	MaxMemoryBytes = 1 << 50
	MaxWeight      = 1e12
	maxNameBytes   = 128
)

// namePattern matches valid names. Names become parts of object keys, URL paths and metric tags.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

var allowedMethods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func validUTF8(b []byte) bool { return utf8.Valid(b) }

// Validate checks names, references, limits and formats. The error contains the Problems in document order, at most 100
// of them.
func (c *Config) Validate() error {
	v := &validator{config: c, groups: map[string]GroupKind{}, models: map[string]*Model{}, adapters: map[string]*Adapter{}, services: map[string]bool{}}
	v.checkHeader()
	v.checkGroups()
	v.checkModels()
	v.checkAdapters()
	for i := range c.Services {
		v.checkService(fmt.Sprintf("services[%d]", i), &c.Services[i])
	}
	v.checkCallers()
	return v.problems.err("validate document")
}

type validator struct {
	config   *Config
	problems Problems
	groups   map[string]GroupKind
	models   map[string]*Model
	adapters map[string]*Adapter
	services map[string]bool
}

func (v *validator) checkHeader() {
	c := v.config
	if c.APIVersion != APIVersion {
		v.problems.addf("apiVersion", "is %q, must be %q", c.APIVersion, APIVersion)
	}
	v.checkName("deployment", c.Deployment)
	v.checkWeight("weights.coldStart", c.Weights.ColdStart)
	v.checkWeight("weights.idleAccelerator", c.Weights.IdleAccelerator)
	if c.Weights.ColdStart == 0 && c.Weights.IdleAccelerator == 0 {
		v.problems.addf("weights", "are both 0, at least one must be positive")
	}
	v.checkRange("limits.maxWaitMs", c.Limits.MaxWaitMS, 1, MaxWaitLimitMS)
	v.checkRange("limits.upstreamMemoryBytes", c.Limits.UpstreamMemoryBytes, 1, MaxMemoryBytes)
}

func (v *validator) checkName(path, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.problems.addf(path, "%q is not a name: 1 to %d letters, digits, '.', '_' or '-', beginning and ending with a letter or digit", name, maxNameBytes)
	}
}

func (v *validator) checkWeight(path string, w float64) {
	if math.IsNaN(w) || w < 0 || w > MaxWeight {
		v.problems.addf(path, "is %v, must be 0 to %v", w, MaxWeight)
	}
}

func (v *validator) checkRange(path string, n, low, high int64) bool {
	if n < low || n > high {
		v.problems.addf(path, "is %d, must be %d to %d", n, low, high)
		return false
	}
	return true
}

func (v *validator) checkGroups() {
	if len(v.config.Groups) == 0 {
		v.problems.addf("groups", "is empty, at least one group is needed")
	}
	for i, g := range v.config.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		v.checkName(path+".name", g.Name)
		if _, dup := v.groups[g.Name]; dup {
			v.problems.addf(path+".name", "%q is a duplicate group name", g.Name)
		}
		v.groups[g.Name] = g.Kind
		if g.Kind != GroupModels && g.Kind != GroupPlain {
			v.problems.addf(path+".kind", "is %q, must be %q or %q", g.Kind, GroupModels, GroupPlain)
		}
	}
}

func (v *validator) checkModels() {
	for i := range v.config.Models {
		m, path := &v.config.Models[i], fmt.Sprintf("models[%d]", i)
		v.checkName(path+".name", m.Name)
		if v.models[m.Name] != nil {
			v.problems.addf(path+".name", "%q is a duplicate model name", m.Name)
		}
		v.models[m.Name] = m
		switch kind, ok := v.groups[m.Group]; {
		case !ok:
			v.problems.addf(path+".group", "group %q is not declared", m.Group)
		case kind != GroupModels:
			v.problems.addf(path+".group", "group %q is of kind %q, must be %q", m.Group, kind, GroupModels)
		}
		v.checkRange(path+".maxReplicas", int64(m.MaxReplicas), 0, MaxReplicas)
		v.checkRange(path+".accelerators", int64(m.Accelerators), 1, 1024)
		weightsOK := v.checkRange(path+".memoryBytes", m.MemoryBytes, 1, MaxMemoryBytes)
		kvOK := v.checkRange(path+".kvReserveBytes", m.KVReserveBytes, 0, MaxMemoryBytes)
		if sum := m.MemoryBytes + m.KVReserveBytes; weightsOK && kvOK && sum > v.config.Limits.UpstreamMemoryBytes {
			v.problems.addf(path+".memoryBytes", "with kvReserveBytes is %d, more than limits.upstreamMemoryBytes of %d", sum, v.config.Limits.UpstreamMemoryBytes)
		}
	}
}

func (v *validator) checkAdapters() {
	for i := range v.config.Adapters {
		a, path := &v.config.Adapters[i], fmt.Sprintf("adapters[%d]", i)
		v.checkName(path+".name", a.Name)
		if v.adapters[a.Name] != nil {
			v.problems.addf(path+".name", "%q is a duplicate adapter name", a.Name)
		}
		if v.models[a.Name] != nil {
			v.problems.addf(path+".name", "%q is the name of a model; callers address adapters as models", a.Name)
		}
		v.adapters[a.Name] = a
		sizeOK := v.checkRange(path+".memoryBytes", a.MemoryBytes, 1, MaxMemoryBytes)
		m := v.models[a.Model]
		if m == nil {
			v.problems.addf(path+".model", "model %q is not declared", a.Model)
			continue
		}
		if sum := m.MemoryBytes + m.KVReserveBytes + a.MemoryBytes; sizeOK && sum > v.config.Limits.UpstreamMemoryBytes {
			v.problems.addf(path+".memoryBytes", "with model %q is %d, more than limits.upstreamMemoryBytes of %d", a.Model, sum, v.config.Limits.UpstreamMemoryBytes)
		}
	}
}

func (v *validator) checkService(path string, s *Service) {
	v.checkName(path+".name", s.Name)
	if v.services[s.Name] {
		v.problems.addf(path+".name", "%q is a duplicate service name", s.Name)
	}
	v.services[s.Name] = true
	v.checkRange(path+".priority", int64(s.Priority), 0, MaxPriority)
	if v.checkRange(path+".maxWaitMs", s.MaxWaitMS, 1, MaxWaitLimitMS) && s.MaxWaitMS > v.config.Limits.MaxWaitMS {
		v.problems.addf(path+".maxWaitMs", "is %d, more than limits.maxWaitMs of %d", s.MaxWaitMS, v.config.Limits.MaxWaitMS)
	}
	switch kind, ok := v.groups[s.Group]; {
	case !ok:
		v.problems.addf(path+".group", "group %q is not declared", s.Group)
	case kind == GroupModels:
		v.checkModelService(path, s)
	case kind == GroupPlain:
		v.checkPlainService(path, s)
	}
}

func (v *validator) checkModelService(path string, s *Service) {
	if len(s.Calls) > 0 {
		v.problems.addf(path+".calls", "are allowed for a plain service only; group %q is of kind %q", s.Group, GroupModels)
	}
	if len(s.Models)+len(s.Adapters) == 0 {
		v.problems.addf(path+".models", "is empty and so is adapters; a service of models needs at least one of either")
	}
	v.checkUnique(path+".models", s.Models)
	for i, name := range s.Models {
		at := fmt.Sprintf("%s.models[%d]", path, i)
		v.checkModelGroup(at, "model", name, v.models[name], s.Group)
	}
	v.checkUnique(path+".adapters", s.Adapters)
	for i, name := range s.Adapters {
		at := fmt.Sprintf("%s.adapters[%d]", path, i)
		a := v.adapters[name]
		if a == nil {
			v.problems.addf(at, "adapter %q is not declared", name)
		} else if m := v.models[a.Model]; m != nil {
			v.checkModelGroup(at, "base model of the adapter", a.Model, m, s.Group)
		}
	}
}

func (v *validator) checkModelGroup(path, what, name string, m *Model, group string) {
	if m == nil {
		v.problems.addf(path, "%s %q is not declared", what, name)
	} else if m.Group != group {
		v.problems.addf(path, "%s %q is of group %q, the service of group %q", what, name, m.Group, group)
	}
}

func (v *validator) checkPlainService(path string, s *Service) {
	if len(s.Models) > 0 {
		v.problems.addf(path+".models", "are not allowed; group %q is of kind %q", s.Group, GroupPlain)
	}
	if len(s.Adapters) > 0 {
		v.problems.addf(path+".adapters", "are not allowed; group %q is of kind %q", s.Group, GroupPlain)
	}
	if len(s.Calls) == 0 {
		v.problems.addf(path+".calls", "is empty, so every call would be refused")
	}
	seen := map[string]bool{}
	for i, call := range s.Calls {
		at := fmt.Sprintf("%s.calls[%d]", path, i)
		if !allowedMethods[call.Method] {
			v.problems.addf(at+".method", "is %q, must be GET, HEAD, POST, PUT, PATCH or DELETE", call.Method)
		}
		if !strings.HasPrefix(call.PathPrefix, "/") || !isCleanPath(call.PathPrefix) {
			v.problems.addf(at+".pathPrefix", "is %q, must begin with '/' and contain no empty, '.' or '..' segment", call.PathPrefix)
		}
		key := call.Method + " " + strings.TrimSuffix(call.PathPrefix, "/")
		if seen[key] {
			v.problems.addf(at, "%s %s is declared twice", call.Method, call.PathPrefix)
		}
		seen[key] = true
	}
}

func (v *validator) checkCallers() {
	names, hashes := map[string]bool{}, map[string]string{}
	for i, c := range v.config.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		v.checkName(path+".name", c.Name)
		if names[c.Name] {
			v.problems.addf(path+".name", "%q is a duplicate caller name", c.Name)
		}
		names[c.Name] = true
		if !hashPattern.MatchString(c.KeySHA256) {
			v.problems.addf(path+".keySha256", "must be 64 lower-case hexadecimal digits")
		} else if other, dup := hashes[c.KeySHA256]; dup {
			v.problems.addf(path+".keySha256", "is also the key of caller %q", other)
		}
		hashes[c.KeySHA256] = c.Name
		if len(c.Services) == 0 {
			v.problems.addf(path+".services", "is empty, so every call would be refused")
		}
		v.checkUnique(path+".services", c.Services)
		for j, name := range c.Services {
			if !v.services[name] {
				v.problems.addf(fmt.Sprintf("%s.services[%d]", path, j), "service %q is not declared", name)
			}
		}
	}
}

func (v *validator) checkUnique(path string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if seen[name] {
			v.problems.addf(fmt.Sprintf("%s[%d]", path, i), "%q is repeated", name)
		}
		seen[name] = true
	}
}
