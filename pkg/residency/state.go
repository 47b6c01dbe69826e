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
	// VM is the id of this VM, Incarnation that of this process, Group the group of its upstream.
	VM, Incarnation, Group string
	// Policy decides about idle models; nil stands for the cost policy.
	Policy idle.Policy
	// TrustFence says that the engine's claim to refuse old fencing numbers may be relied on, also after a restart of
	// the engine: a restarted engine that has forgotten the number could take an order that is still on the way.
	// Without it, an order with an unknown outcome is settled only by the listing.
	TrustFence bool
	// Speeds are the initial load speeds by tier, bytes per second; missing tiers have DefaultSpeeds.
	Speeds map[engine.Tier]float64
}

// DefaultSpeeds are the load speeds assumed before a load was observed, bytes per second.
var DefaultSpeeds = map[engine.Tier]float64{engine.TierMemory: 8e9, engine.TierDisk: 2e9, engine.TierRemote: 5e8}

// phase is what is known about a target at the engine.
type phase int

const (
	absent    phase = iota // the engine does not hold it and no order in flight can load it
	loading                // a load order is outstanding
	doubtful               // a load may have taken effect or may still do so
	resident               // the engine holds it
	unloading              // an unload order was sent; a listing has to confirm it
)

// target is a model or an adapter.
type target struct {
	id    engine.Target
	phase phase
	since time.Time // of the phase; for doubtful, when the order's connection was closed
	// doubt is the since of an unsettled load over which a fenced unload was sent; zero for none.
	doubt time.Time
	// listedLoading says that the last listing showed a load in progress.
	listedLoading bool
	wanted        bool
	wantedAt      time.Time // when the first of the waiting requests came
	first, last   time.Time // earliest and latest deadline of the waiting requests
	inUse         int
	lastUse       time.Time
	protected     time.Time // not unloaded before, so that requests told Ready can begin
	unload        bool      // has to be unloaded before it serves again
	ask           string    // id of the ask for a place
	coordinator   string
	arrivals      idle.Histogram
}

// model is a base model with its adapters and its grant. At most one order is outstanding for all of them.
type model struct {
	name       string
	cfg        config.Model
	configured bool // in the accepted configuration, in this group and with at least one replica
	client     *grant.Client
	needRead   bool
	reading    bool
	storeAfter time.Time // no store call before, after a failure
	giveUp     bool      // the grant is released for lack of memory
	base       *target
	adapters   map[string]*target
	order      *engine.Order
	orderAt    time.Time
	touched    uint64    // sequence number of the last order sent or ended
	notBefore  time.Time // no load order before
	unloadWait time.Time // no unload order before, after the engine refused one
}

// State is the residency state of one upstream.
type State struct {
	o       Options
	doc     *config.Document
	sizes   map[engine.Target]int64 // configured adapters, bytes
	models  map[string]*model
	byName  []*model // the models by name; nil after a change
	ledger  memory.Ledger
	started time.Time
	// reserved says that memory was booked for adapters that an earlier process may be loading.
	reserved     bool
	grantsListed bool   // models without an object known have none
	seq          uint64 // grows with each order sent or ended and each listing fetched
	fence        uint64
	listing      listingState
	absence      grant.AbsenceTracker
	peers        []string
	drain        bool
	asker        loadplan.PermitClient
	asks         uint64
	speeds       map[engine.Tier]float64
	out          []Action
	stats        Stats
	accrued      time.Time // idle accelerator time is added up to here
}

// New returns the state of a starting process. It loads nothing before it has a configuration and a listing.
func New(o Options) *State {
	if o.Policy == nil {
		o.Policy = &idle.Cost{}
	}
	s := &State{o: o, models: map[string]*model{}, sizes: map[engine.Target]int64{}, speeds: maps.Clone(DefaultSpeeds)}
	maps.Copy(s.speeds, o.Speeds)
	s.listing.wanted = true
	return s
}

// Step takes an event and returns the actions to carry out, in order.
func (s *State) Step(now time.Time, ev Event) []Action {
	if s.started.IsZero() {
		s.started, s.accrued = now, now
	}
	s.accrue(now)
	s.out = nil
	if s.apply(now, ev) {
		s.plan(now)
	}
	return s.out
}

// apply records the event and reports whether decisions have to be made.
func (s *State) apply(now time.Time, ev Event) bool {
	switch ev := ev.(type) {
	case LoadRequested:
		return s.want(now, ev)
	case Use:
		s.use(now, ev)
		return !ev.Begin && s.drain
	case OrderDone:
		s.orderDone(now, ev)
	case Listed:
		s.listed(now, ev)
	case ObjectRead:
		s.objectRead(now, ev)
	case GrantsListed:
		s.grantsListed = true
		s.assumeAbsent()
	case ObjectWritten:
		s.objectWritten(now, ev)
	case Configured:
		s.configured(ev.Document)
	case VMsSeen:
		if ev.Began.IsZero() {
			ev.Began = now
		}
		s.absence.ApplyVMs(ev.Began, ev.VMs)
	case Candidates:
		s.peers = slices.Clone(ev.VMs)
	case PlaceGiven:
		s.placeGiven(ev.ID)
	case PlaceQueued:
		s.asker.RecordQueued(now, ev.ID)
	case EngineLost:
		s.listing.suspect, s.listing.wanted, s.listing.after = true, true, time.Time{}
	case Drain:
		s.drain = true
	}
	return true
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// model returns the record of a model, creating it.
func (s *State) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{name: name, client: grant.NewClient(s.o.VM, s.o.Incarnation), adapters: map[string]*target{}}
		m.base = &target{id: engine.Target{Model: name}}
		s.models[name] = m
		s.byName = nil
	}
	return m
}

// target returns the record of a target, creating it.
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

// find returns the record of a target without creating it.
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

// sorted returns the models in the order of their names.
func (s *State) sorted() []*model {
	if s.byName == nil {
		s.byName = make([]*model, 0, len(s.models))
		for _, name := range slices.Sorted(maps.Keys(s.models)) {
			s.byName = append(s.byName, s.models[name])
		}
	}
	return s.byName
}

// targets returns the base and then the adapters in the order of their names.
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

// want records that a request waits and reports whether decisions have to be made: a target that is loaded is ready.
func (s *State) want(now time.Time, w LoadRequested) bool {
	m, t := s.target(w.Target)
	if s.usable(m, t) {
		s.ready(now, m, t)
		return false
	}
	if !t.wanted {
		t.wanted, t.wantedAt, t.first, t.last = true, now, w.Deadline, w.Deadline
		return true
	}
	if w.Deadline.Before(t.first) || t.first.Before(now) {
		t.first = w.Deadline
	}
	if w.Deadline.After(t.last) {
		t.last = w.Deadline
	}
	return true
}

func (s *State) use(now time.Time, u Use) {
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

// used returns how many requests use the base, its adapters included.
func (m *model) used() int {
	n := m.base.inUse
	for _, t := range m.adapters {
		n += t.inUse
	}
	return n
}

// wanted says that requests wait for the base or one of its adapters.
func (m *model) wanted() bool {
	for _, t := range m.adapters {
		if t.wanted {
			return true
		}
	}
	return m.base.wanted
}

// configured takes over a configuration. One older than the accepted one is ignored.
func (s *State) configured(d *config.Document) {
	if d == nil || d.Config == nil || s.doc != nil && d.Version < s.doc.Version {
		return
	}
	s.doc = d
	for _, m := range s.models {
		m.cfg, m.configured = config.Model{}, false
	}
	for _, c := range d.Config.Models {
		if c.Group != s.o.Group {
			continue
		}
		m := s.model(c.Name)
		m.cfg, m.configured = c, c.MaxReplicas > 0
		if m.base.phase != absent {
			s.ledger.ForceReserve(m.base.id, c.MemoryBytes+c.KVReserveBytes)
		}
	}
	s.assumeAbsent()
	clear(s.sizes)
	for _, a := range d.Config.Adapters {
		id := engine.Target{Model: a.Model, Adapter: a.Name}
		s.sizes[id] = a.MemoryBytes
		if _, t := s.find(id); t != nil && t.phase != absent {
			s.ledger.ForceReserve(id, a.MemoryBytes)
		}
	}
	s.setLimit()
}

func (s *State) setLimit() {
	if s.doc != nil && s.listing.have {
		s.ledger.SetLimit(memory.Limit(s.listing.last.MemoryBytes, s.doc.Config.Limits.UpstreamMemoryBytes))
	}
}

// size returns what a target needs, bytes, and whether the configuration knows it.
func (s *State) size(m *model, t *target) (int64, bool) {
	if t == m.base {
		return m.cfg.MemoryBytes + m.cfg.KVReserveBytes, m.cfg.Name != ""
	}
	n, ok := s.sizes[t.id]
	return n, ok
}

// ceiling returns what the accepted configuration allows for a model; a model that is not served has 0 replicas.
func (s *State) ceiling(m *model) grant.Ceiling {
	c := grant.Ceiling{Stamp: config.Stamp{Version: s.doc.Version, Digest: s.doc.Digest}}
	if m.configured {
		c.Replicas = m.cfg.MaxReplicas
	}
	return c
}

// modelOf returns the model of a grants key, or "" for another key.
func modelOf(key string) string {
	name, ok := strings.CutPrefix(key, store.PrefixGrants)
	if !ok {
		return ""
	}
	return name
}
