package residency

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/memory"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Options configure a State.
type Options struct {
	// VM is the id of this VM, Incarnation identifies this process, and Group names the group of its upstream.
	VM, Incarnation, Group string
	// Policy decides when idle models are unloaded; nil selects the cost policy.
	Policy idle.Policy
	// TrustFence reports whether the engine reliably refuses stale fencing numbers, also after its own restart: an
	// engine that lost its fencing number in the restart could execute an order that is still in flight. Without
	// TrustFence, only a listing resolves an order with an unknown outcome.
	TrustFence bool
	// Speeds are the initial load speeds by tier in bytes per second; tiers not in the map use DefaultSpeeds.
	Speeds map[engine.Tier]float64
}

// DefaultSpeeds are the load speeds by tier, in bytes per second, that are assumed before a load was observed.
var DefaultSpeeds = map[engine.Tier]float64{engine.TierMemory: 8e9, engine.TierDisk: 2e9, engine.TierStore: 5e8}

// phase is the state of a target at the engine, as far as the agent can tell.
type phase int

const (
	absent     phase = iota // not loaded, and no outstanding order can load it
	loading                 // a load order is outstanding
	unresolved              // a load may have taken effect or may still do so
	resident                // loaded
	unloading               // an unload order was sent; a listing has to confirm it
)

// target is a model or an adapter.
type target struct {
	id         engine.Target
	phase      phase
	phaseSince time.Time // start of the phase; for unresolved, when the order's connection was closed
	// unresolvedSince is the phaseSince of an unresolved load after which a fenced unload was sent, or zero.
	unresolvedSince time.Time
	// listedLoading reports whether the last listing showed a load in progress.
	listedLoading               bool
	waiting                     bool      // requests wait for the target
	waitingSince                time.Time // when the first of the waiting requests arrived
	firstDeadline, lastDeadline time.Time // earliest and latest deadline of the waiting requests
	inUse                       int
	lastUse                     time.Time
	protectedUntil              time.Time // earliest unload, so that requests can start after Ready
	mustUnload                  bool      // has to be unloaded before it serves requests again
	permitID                    string    // id of the load permit, requested or issued; empty for none
	coordinator                 string    // VM id of the coordinator that received the permit request; empty for this VM
	arrivals                    idle.Histogram
}

// model is a base model with its adapters and its grant. At most one order is outstanding for all of them.
type model struct {
	name            string
	cfg             config.Model
	configured      bool // in the accepted configuration, in this group and with at least one replica
	client          *grant.Client
	needRead        bool
	reading         bool
	storeNotBefore  time.Time // earliest store call after a failure
	releaseGrant    bool      // the grant has to be released for lack of memory
	base            *target
	adapters        map[string]*target
	order           *engine.Order
	orderSentAt     time.Time
	lastOrderSeq    uint64    // sequence number of the last order sent or ended
	loadNotBefore   time.Time // earliest next load order
	unloadNotBefore time.Time // earliest next unload order after one had no effect
}

// State is the residency state of one upstream.
type State struct {
	opts         Options
	doc          *config.Document
	adapterSizes map[engine.Target]int64 // configured adapters, bytes
	models       map[string]*model
	byName       []*model // the models by name; nil after a change
	ledger       memory.Ledger
	started      time.Time
	// adaptersReserved reports whether memory was reserved for adapters that an earlier process may be loading.
	adaptersReserved bool
	grantsListed     bool   // all grants were listed, so models without an observed object have none
	seq              uint64 // increases with each order sent or ended and each fetch of a listing
	fence            uint64
	listing          listingState
	absence          grant.AbsenceTracker
	peers            []string
	draining         bool
	permits          loadplan.PermitClient
	permitSeq        uint64
	speeds           map[engine.Tier]float64
	actions          []Action
	stats            Stats
	accruedUntil     time.Time // end of the idle accelerator time counted in stats
}

// New returns the state of a starting process. It loads nothing before it has received a configuration and a listing.
func New(o Options) *State {
	if o.Policy == nil {
		o.Policy = &idle.Cost{}
	}
	s := &State{opts: o, models: map[string]*model{}, adapterSizes: map[engine.Target]int64{}, speeds: maps.Clone(DefaultSpeeds)}
	maps.Copy(s.speeds, o.Speeds)
	s.listing.needed = true
	return s
}

// Step applies an event and returns the actions to execute, in order.
func (s *State) Step(now time.Time, ev Event) []Action {
	if s.started.IsZero() {
		s.started, s.accruedUntil = now, now
	}
	s.accrueIdleTime(now)
	s.actions = nil
	if s.apply(now, ev) {
		s.plan(now)
	}
	return s.actions
}

// apply records the event and reports whether plan has to run.
func (s *State) apply(now time.Time, ev Event) bool {
	switch ev := ev.(type) {
	case LoadRequested:
		return s.recordLoadRequest(now, ev)
	case Use:
		s.recordUse(now, ev)
		return !ev.Begin && s.draining
	case OrderDone:
		s.applyOrderResult(now, ev)
	case Listed:
		s.applyListing(now, ev)
	case ObjectRead:
		s.applyObject(now, ev)
	case GrantsListed:
		s.grantsListed = true
		s.assumeAbsent()
	case ObjectWritten:
		s.applyWriteResult(now, ev)
	case Configured:
		s.applyConfig(ev.Document)
	case VMsRead:
		if ev.StartedAt.IsZero() {
			ev.StartedAt = now
		}
		s.absence.ApplyVMs(ev.StartedAt, ev.VMs)
	case Candidates:
		s.peers = slices.Clone(ev.VMs)
	case PermitIssued:
		s.applyPermit(ev.ID)
	case PermitQueued:
		s.permits.RecordQueued(now, ev.ID)
	case EngineLost:
		s.listing.stale, s.listing.needed, s.listing.notBefore = true, true, time.Time{}
	case Drain:
		s.draining = true
	}
	return true
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// model returns the record of a model and creates it if needed.
func (s *State) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{name: name, client: grant.NewClient(s.opts.VM, s.opts.Incarnation), adapters: map[string]*target{}}
		m.base = &target{id: engine.Target{Model: name}}
		s.models[name] = m
		s.byName = nil
	}
	return m
}

// target returns the records of a target and its model and creates them if needed.
func (s *State) target(id engine.Target) (*model, *target) {
	m := s.model(id.Model)
	if id.Adapter == "" {
		return m, m.base
	}
	t := m.adapters[id.Adapter]
	if t == nil {
		t = &target{id: id}
		m.adapters[id.Adapter] = t
	}
	return m, t
}

// find returns the records of a target and its model, or nil where there is none.
func (s *State) find(id engine.Target) (*model, *target) {
	m := s.models[id.Model]
	if m == nil {
		return nil, nil
	}
	if id.Adapter == "" {
		return m, m.base
	}
	return m, m.adapters[id.Adapter]
}

// sortedModels returns the models sorted by name.
func (s *State) sortedModels() []*model {
	if s.byName == nil {
		s.byName = make([]*model, 0, len(s.models))
		for _, name := range slices.Sorted(maps.Keys(s.models)) {
			s.byName = append(s.byName, s.models[name])
		}
	}
	return s.byName
}

// targets returns the base followed by the adapters sorted by name.
func (m *model) targets() []*target {
	ts := []*target{m.base}
	if len(m.adapters) == 0 {
		return ts
	}
	for _, name := range slices.Sorted(maps.Keys(m.adapters)) {
		ts = append(ts, m.adapters[name])
	}
	return ts
}

// recordLoadRequest records that a request waits and reports whether plan has to run. A request for a target that is
// ready needs no plan.
func (s *State) recordLoadRequest(now time.Time, req LoadRequested) bool {
	m, t := s.target(req.Target)
	if s.usable(m, t) {
		s.reportReady(now, m, t)
		return false
	}
	if !t.waiting {
		t.waiting, t.waitingSince, t.firstDeadline, t.lastDeadline = true, now, req.Deadline, req.Deadline
		return true
	}
	if req.Deadline.Before(t.firstDeadline) || t.firstDeadline.Before(now) {
		t.firstDeadline = req.Deadline
	}
	if req.Deadline.After(t.lastDeadline) {
		t.lastDeadline = req.Deadline
	}
	return true
}

func (s *State) recordUse(now time.Time, u Use) {
	m, t := s.target(u.Target)
	if !u.Begin {
		t.inUse = max(0, t.inUse-1)
		t.lastUse, m.base.lastUse = now, now
		return
	}
	t.inUse++
	t.arrivals.RecordArrival(now)
	if t != m.base {
		m.base.arrivals.RecordArrival(now)
	}
}

// inUse returns the number of requests that use the base or one of its adapters.
func (m *model) inUse() int {
	n := m.base.inUse
	for _, t := range m.adapters {
		n += t.inUse
	}
	return n
}

// hasWaiting reports whether requests wait for the base or one of its adapters.
func (m *model) hasWaiting() bool {
	for _, t := range m.adapters {
		if t.waiting {
			return true
		}
	}
	return m.base.waiting
}

// applyConfig applies a configuration unless it is older than the accepted one.
func (s *State) applyConfig(d *config.Document) {
	if d == nil || d.Config == nil || s.doc != nil && d.Version < s.doc.Version {
		return
	}
	s.doc = d
	for _, m := range s.models {
		m.cfg, m.configured = config.Model{}, false
	}
	for _, c := range d.Config.Models {
		if c.Group != s.opts.Group {
			continue
		}
		m := s.model(c.Name)
		m.cfg, m.configured = c, c.MaxReplicas > 0
		if m.base.phase != absent {
			s.ledger.ForceReserve(m.base.id, c.MemoryBytes+c.KVReserveBytes)
		}
	}
	s.assumeAbsent()
	clear(s.adapterSizes)
	for _, a := range d.Config.Adapters {
		id := engine.Target{Model: a.Model, Adapter: a.Name}
		s.adapterSizes[id] = a.MemoryBytes
		if _, t := s.find(id); t != nil && t.phase != absent {
			s.ledger.ForceReserve(id, a.MemoryBytes)
		}
	}
	s.setLimit()
}

func (s *State) setLimit() {
	if s.doc != nil && s.listing.received {
		s.ledger.SetLimit(memory.Limit(s.listing.last.MemoryBytes, s.doc.Config.Limits.UpstreamMemoryBytes))
	}
}

// size returns the memory that a target needs, in bytes, and reports whether the configuration contains the target.
func (s *State) size(m *model, t *target) (int64, bool) {
	if t == m.base {
		return m.cfg.MemoryBytes + m.cfg.KVReserveBytes, m.cfg.Name != ""
	}
	n, ok := s.adapterSizes[t.id]
	return n, ok
}

// ceiling returns the ceiling that the accepted configuration sets for a model; it is 0 for a model that is not served.
func (s *State) ceiling(m *model) grant.Ceiling {
	c := grant.Ceiling{Stamp: config.Stamp{Version: s.doc.Version, Digest: s.doc.Digest}}
	if m.configured {
		c.Replicas = m.cfg.MaxReplicas
	}
	return c
}

// modelOf returns the name of the model of a grants key, or "" for any other key.
func modelOf(key string) string {
	name, ok := strings.CutPrefix(key, store.PrefixGrants)
	if !ok {
		return ""
	}
	return name
}
