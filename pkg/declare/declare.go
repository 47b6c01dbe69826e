// Package declare lets operators write a configuration as a Go program. It prints the declared values in the order of
// their declarations, adds no defaults, and reports missing and invalid declarations by name.
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

// node records which parts of one declaration have been declared.
type node struct {
	root     *Deployment
	label    string // such as `model "m"`
	declared map[string]bool
}

func newNode(root *Deployment, kind, name string) node {
	return node{root: root, label: fmt.Sprintf("%s %q", kind, name), declared: map[string]bool{}}
}

func (n *node) addProblemf(format string, args ...any) {
	n.root.problems = append(n.root.problems, config.Problem{Path: n.label, Message: fmt.Sprintf(format, args...)})
}

// markDeclared records that a part was declared. Declaring a part twice is an error, since one of the values would be
// lost.
func (n *node) markDeclared(part string) {
	if n.declared[part] {
		n.addProblemf("%s is declared twice", part)
	}
	n.declared[part] = true
}

// require adds a problem for each of the parts that was not declared.
func (n *node) require(parts ...string) {
	for _, part := range parts {
		if !n.declared[part] {
			n.addProblemf("%s is not declared", part)
		}
	}
}

// milliseconds converts a duration to milliseconds. A fraction of a millisecond is an error, since it would be lost.
func (n *node) milliseconds(part string, d time.Duration) int64 {
	if d%time.Millisecond != 0 {
		n.addProblemf("%s of %s is not a whole number of milliseconds", part, d)
	}
	return d.Milliseconds()
}

// Deployment is the declaration of the configuration of a deployment.
type Deployment struct {
	node
	config   config.Config
	problems config.Problems
	groups   []*Group
	models   []*Model
	adapters []*Adapter
	services []*Service
	callers  []*Caller
}

// New returns an empty declaration of a deployment.
func New(name string) *Deployment {
	d := &Deployment{config: config.Config{APIVersion: config.APIVersion, Deployment: name}}
	d.node = newNode(d, "deployment", name)
	return d
}

// Weights declares the cost of one second that a request waits for a cold start, and the cost of one accelerator that
// is idle for one hour.
func (d *Deployment) Weights(coldStart, idleAccelerator float64) *Deployment {
	d.markDeclared("Weights")
	d.config.Weights = config.Weights{ColdStart: coldStart, IdleAccelerator: idleAccelerator}
	return d
}

// MaxWait declares the longest time that any caller may wait for the start of its answer.
func (d *Deployment) MaxWait(t time.Duration) *Deployment {
	d.markDeclared("MaxWait")
	d.config.Limits.MaxWaitMS = d.milliseconds("MaxWait", t)
	return d
}

// UpstreamMemory declares the maximum memory used on one upstream, bytes.
func (d *Deployment) UpstreamMemory(bytes int64) *Deployment {
	d.markDeclared("UpstreamMemory")
	d.config.Limits.UpstreamMemoryBytes = bytes
	return d
}

// Config returns the declared configuration. The error is a config.Problems, possibly wrapped, whose paths name the
// declarations, such as `service "loans"`.
func (d *Deployment) Config() (*config.Config, error) {
	d.problems = d.problems[:len(d.problems):len(d.problems)]
	declared := d.problems
	defer func() { d.problems = declared }()
	d.require("Weights", "MaxWait", "UpstreamMemory")
	c := d.collect()
	if len(d.problems) > 0 {
		return nil, fault.Wrap(d.problems, fault.StepConfig, "", "declare configuration")
	}
	if err := c.Validate(); err != nil {
		return nil, fault.Wrap(d.withNames(err), fault.StepConfig, "", "declare configuration")
	}
	return c, nil
}

// Print writes the document as indented JSON with a final line break. The same declarations give the same bytes.
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
	c := d.config
	c.Services, c.Callers = []config.Service{}, []config.Caller{}
	for _, g := range d.groups {
		c.Groups = append(c.Groups, g.config)
	}
	for _, m := range d.models {
		m.require("MaxReplicas", "Memory", "KVReserve", "Accelerators")
		c.Models = append(c.Models, m.config)
	}
	for _, a := range d.adapters {
		a.require("Memory")
		c.Adapters = append(c.Adapters, a.config)
	}
	for _, s := range d.services {
		s.require("Priority", "MaxWait")
		c.Services = append(c.Services, s.config)
	}
	for _, caller := range d.callers {
		caller.require("KeySHA256", "MayCall")
		c.Callers = append(c.Callers, caller.config)
	}
	return &c
}

// withNames replaces the list positions in the paths of validation problems by the names of the declarations.
func (d *Deployment) withNames(err error) error {
	var problems config.Problems
	if !errors.As(err, &problems) {
		return err
	}
	out := make(config.Problems, len(problems))
	for i, p := range problems {
		out[i] = config.Problem{Path: d.declarationPath(p.Path), Message: p.Message}
	}
	return out
}

// positionPattern matches paths of validation problems that start with a list element.
var positionPattern = regexp.MustCompile(`^(groups|models|adapters|services|callers)\[(\d+)\]\.?(.*)$`)

// declarationPath returns path with its leading list element replaced by the name of the declaration.
func (d *Deployment) declarationPath(path string) string {
	m := positionPattern.FindStringSubmatch(path)
	if m == nil {
		return path
	}
	i, err := strconv.Atoi(m[2])
	if err != nil {
		return path
	}
	var label string
	switch m[1] {
	case "groups":
		label = d.groups[i].label
	case "models":
		label = d.models[i].label
	case "adapters":
		label = d.adapters[i].label
	case "services":
		label = d.services[i].label
	case "callers":
		label = d.callers[i].label
	}
	return strings.TrimSpace(label + " " + m[3])
}
