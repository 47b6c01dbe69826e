// Package declare is the library with which operators write a configuration as a Go program. It prints what was declared
// in the order of the declarations, fills nothing in, and names what was left out or declared wrongly.
package declare

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Units of memory, bytes.
const (
	MiB int64 = 1 << 20
	GiB int64 = 1 << 30
)

// node remembers which parts of one declaration were given.
type node struct {
	root *Deployment
	what string // such as `model "m"`
	set  map[string]bool
}

func newNode(root *Deployment, kind, name string) node {
	return node{root: root, what: fmt.Sprintf("%s %q", kind, name), set: map[string]bool{}}
}

func (n *node) failf(format string, args ...any) {
	n.root.problems = append(n.root.problems, config.Problem{Path: n.what, Message: fmt.Sprintf(format, args...)})
}

// give records that a part was declared. Declaring it twice is an error, since one of the two would be lost.
func (n *node) give(part string) {
	if n.set[part] {
		n.failf("%s is declared twice", part)
	}
	n.set[part] = true
}

// need reports the parts that were not declared.
func (n *node) need(parts ...string) {
	for _, part := range parts {
		if !n.set[part] {
			n.failf("%s is not declared", part)
		}
	}
}

// milliseconds converts a duration. A fraction of a millisecond is an error, since it would be lost.
func (n *node) milliseconds(part string, d time.Duration) int64 {
	if d%time.Millisecond != 0 {
		n.failf("%s of %s is not a whole number of milliseconds", part, d)
	}
	return d.Milliseconds()
}

// Deployment is the declaration of a whole configuration.
type Deployment struct {
	node
	c        config.Config
	problems config.Problems
	groups   []*Group
	models   []*Model
	adapters []*Adapter
	services []*Service
	callers  []*Caller
}

// New starts the declaration of a deployment.
func New(name string) *Deployment {
	d := &Deployment{c: config.Config{APIVersion: config.APIVersion, Deployment: name}}
	d.node = newNode(d, "deployment", name)
	return d
}

// Weights declares the cost of one second that a request waits for a cold start, and of one accelerator held idle for
// one hour.
func (d *Deployment) Weights(coldStart, idleAccelerator float64) *Deployment {
	d.give("Weights")
	d.c.Weights = config.Weights{ColdStart: coldStart, IdleAccelerator: idleAccelerator}
	return d
}

// MaxWait declares the longest time that any caller may wait for its answer to begin.
func (d *Deployment) MaxWait(t time.Duration) *Deployment {
	d.give("MaxWait")
	d.c.Limits.MaxWaitMS = d.milliseconds("MaxWait", t)
	return d
}

// UpstreamMemory declares the memory that may be used on one upstream, bytes.
func (d *Deployment) UpstreamMemory(bytes int64) *Deployment {
	d.give("UpstreamMemory")
	d.c.Limits.UpstreamMemoryBytes = bytes
	return d
}

// Config returns the declared configuration. The error is a config.Problems whose paths name the declarations, such as
// `service "loans"`, possibly wrapped.
func (d *Deployment) Config() (*config.Config, error) {
	d.problems = d.problems[:len(d.problems):len(d.problems)]
	declared := d.problems
	defer func() { d.problems = declared }()
	d.need("Weights", "MaxWait", "UpstreamMemory")
	c := d.collect()
	if len(d.problems) > 0 {
		return nil, fault.Wrap(d.problems, fault.StepConfig, "", "declare configuration")
	}
	if err := c.Validate(); err != nil {
		return nil, fault.Wrap(d.named(err), fault.StepConfig, "", "declare configuration")
	}
	return c, nil
}

// Print writes the document: indented JSON with a final line break, the same bytes for the same declarations.
func (d *Deployment) Print(w io.Writer) error {
	c, err := d.Config()
	if err != nil {
		return err
	}
	b, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.StepConfig, "", "print configuration")
	}
	_, err = w.Write(append(b, '\n'))
	return fault.Wrap(err, fault.StepConfig, "", "print configuration")
}

func (d *Deployment) collect() *config.Config {
	c := d.c
	c.Services, c.Callers = []config.Service{}, []config.Caller{}
	for _, g := range d.groups {
		c.Groups = append(c.Groups, g.g)
	}
	for _, m := range d.models {
		m.need("MaxReplicas", "Memory", "KVReserve", "Accelerators")
		c.Models = append(c.Models, m.m)
	}
	for _, a := range d.adapters {
		a.need("Memory")
		c.Adapters = append(c.Adapters, a.a)
	}
	for _, s := range d.services {
		s.need("Priority", "MaxWait")
		c.Services = append(c.Services, s.s)
	}
	for _, one := range d.callers {
		one.need("KeySHA256", "MayCall")
		c.Callers = append(c.Callers, one.c)
	}
	return &c
}

// named replaces the positions in validation paths by the names of the declarations.
func (d *Deployment) named(err error) error {
	var problems config.Problems
	if !errors.As(err, &problems) {
		return err
	}
	out := make(config.Problems, len(problems))
	for i, p := range problems {
		out[i] = config.Problem{Path: d.declaration(p.Path), Message: p.Message}
	}
	return out
}

var position = regexp.MustCompile(`^(groups|models|adapters|services|callers)\[(\d+)\]\.?(.*)$`)

func (d *Deployment) declaration(path string) string {
	m := position.FindStringSubmatch(path)
	if m == nil {
		return path
	}
	i, err := strconv.Atoi(m[2])
	if err != nil {
		return path
	}
	var what string
	switch m[1] {
	case "groups":
		what = d.groups[i].what
	case "models":
		what = d.models[i].what
	case "adapters":
		what = d.adapters[i].what
	case "services":
		what = d.services[i].what
	case "callers":
		what = d.callers[i].what
	}
	return strings.TrimSpace(what + " " + m[3])
}
