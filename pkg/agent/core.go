// Package agent implements the process beside an upstream. It has the last word on everything that happens there:
// Core composes the decisions, and Agent runs the duties around it.
package agent

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// defaultSlots is how many calls run at once before a listing names the number.
	defaultSlots = 8
	// recordInterval is the least time between two writes of upstreams/<vm> (design page, section 3).
	recordInterval = 30 * time.Second
	// handoverLimit is how long a drained agent without requests waits for the store to take its key slots and grants.
	// Without the store they stay with the VM: a restarted agent takes them over, and those of a VM that is gone are
	// removed by others.
	handoverLimit = 30 * time.Second
	// exchangeInterval is the least time between two exchanges of the quarantine list that this agent starts.
	exchangeInterval = 2 * time.Second
	// weightStoreSpeed is the speed of one load from the weight store, bytes per second. It only bounds how long a
	// place is kept for an agent that ended.
	weightStoreSpeed = 5e8
)

// Options name the agent and its place.
type Options struct {
	VM, Incarnation, Region, Zone, Group string
	Addr                                 string   // "ip:port" for peers
	Peers                                []string // "ip:port" of processes that may have the configuration at the start
	Start                                time.Time
	TrustFence                           bool // the engine refuses orders with old fencing numbers
	// Policy decides about idle models; nil stands for the cost policy.
	Policy idle.Policy
	Queue  admission.Limits
	Once   once.Limits
}

// Core composes the decisions of an agent. It is a pure state machine and not safe for concurrent use.
type Core struct {
	o         Options
	conf      *confsync.State
	kind      config.GroupKind           // of the group, "" before a configuration
	services  map[string]*config.Service // of the group
	members   *membership.State
	once      *once.State
	queue     *admission.Queue
	blocklist *quarantine.State
	res       *residency.State
	places    *loadplan.Coordinator

	jobs     map[string]*job        // by run id
	requests map[string]*attachment // by request id
	streams  map[uint64]*attachment
	late     lateGuard

	tiers      map[string]engine.Tier
	capacity   int64
	epoch      string   // of the engine process, "" before the first listing
	past       []string // earlier epochs, the latest last
	engineDown bool
	storeDown  bool
	listed     bool     // the store was listed once
	peers      []string // to ask for what the store does not give at the start
	checking   bool     // a listing asked for by check is out
	checks     uint64   // number of the last one

	draining   bool
	drainAt    time.Time
	leaving    bool
	listMirror mirror
	selfMirror mirror
	exchangeAt time.Time

	now time.Time
	out []Action
}

// NewCore returns the core of a starting agent.
func NewCore(o Options) *Core {
	return &Core{
		o: o, conf: confsync.New(), services: map[string]*config.Service{}, members: membership.New(), once: once.New(o.VM, o.Start, o.Once),
		queue: admission.New(o.Queue, defaultSlots), blocklist: quarantine.New(),
		res:    residency.New(residency.Options{VM: o.VM, Incarnation: o.Incarnation, Group: o.Group, TrustFence: o.TrustFence, Policy: o.Policy}),
		places: loadplan.NewCoordinator(loadplan.MaxConcurrentLoads, weightStoreSpeed),
		jobs:   map[string]*job{}, requests: map[string]*attachment{}, streams: map[uint64]*attachment{},
		listMirror: mirror{key: store.KeyQuarantine}, selfMirror: mirror{key: membership.Key(o.VM), interval: recordInterval},
	}
}

// Step applies an event and returns the actions to carry out, in order. The time must not go back.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now, c.out = now, nil
	c.apply(ev)
	c.pump()
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) apply(ev Event) {
	switch ev := ev.(type) {
	case Opened:
		c.heard(ev.Peer, ev.Open.Sync)
		c.opened(ev)
	case Closed:
		c.closed(ev.Stream)
	case Cancelled:
		c.cancelled(ev.Stream)
	case AnswerStarted:
		c.callBegan(ev)
	case CallEnded:
		c.callEnded(ev)
	case EngineChecked:
		if ev.Number == c.checks {
			c.checking = false
		}
		c.engineSeen(ev.Listing, ev.Err, ev.Number)
	case Listed:
		if ev.Err == nil && c.isPast(ev.Listing.Epoch) {
			ev.Err = errPastEpoch
		} else {
			c.engineSeen(ev.Listing, ev.Err, 0)
		}
		c.residency(residency.Listed{Listing: ev.Listing, Err: ev.Err})
	case OrderDone:
		c.residency(residency.OrderDone{Order: ev.Order, Err: ev.Err})
	case Drain:
		c.drain(ev.Leaving)
	case Tick:
		c.tick()
	default:
		c.applyPeer(ev)
	}
}

// applyPeer handles events from the store, the VM list and other processes.
func (c *Core) applyPeer(ev Event) {
	switch ev := ev.(type) {
	case ObjectRead:
		c.objectRead(ev)
	case ObjectWritten:
		c.objectWritten(ev)
	case ObjectsReceived:
		c.objectsHeard(ev.Objects)
	case StoreChanged:
		c.listed = c.listed || ev.Synced
		c.config(confsync.StoreUp{})
		c.storeSeen(nil)
		for _, o := range ev.Objects {
			c.objectChanged(o, ev.Document)
		}
		c.feedMembers() // once for all: the first listing has a record of each agent
	case StoreFailed:
		c.config(confsync.StoreDown{})
		c.storeSeen(ev.Err)
	case VMsRead:
		c.vmsSeen(ev)
	case ConfigReply:
		if ev.Doc == nil {
			c.config(confsync.PeerFailed{Peer: ev.Peer})
			return
		}
		c.config(confsync.PeerReplied{Peer: ev.Peer, Version: ev.Doc.Version, Digest: ev.Doc.Digest, Raw: ev.Doc.Document})
	case QuarantineReceived:
		c.mergeQuarantine(ev.Entries)
	case PermitRequested:
		c.givePlaces(c.places.Step(c.now, loadplan.PermitRequest{Request: ev.Request}))
	case PermitReleased:
		c.givePlaces(c.places.Step(c.now, loadplan.PermitRelease{ID: ev.ID}))
	case PermitIssued:
		c.residency(residency.PermitIssued{ID: ev.ID})
	case PermitQueued:
		c.residency(residency.PermitQueued{ID: ev.ID})
	}
}

// storeSeen reports the beginning and the end of an outage of the store.
func (c *Core) storeSeen(err error) {
	if down := err != nil; down != c.storeDown {
		c.storeDown = down
		c.emit(LogChange{Message: map[bool]string{true: "object API unreachable", false: "object API reachable"}[down], Err: err})
	}
}

// config feeds the configuration decision.
func (c *Core) config(ev confsync.Event) {
	for _, a := range c.conf.Step(c.now, ev) {
		switch a := a.(type) {
		case confsync.ReadStore:
			c.emit(ReadObject{Key: store.KeyConfig})
		case confsync.QueryPeer:
			c.emit(QueryConfig{Peer: a.Peer, Have: a.Have})
		case confsync.Accepted:
			c.accepted(a.Document)
		case confsync.DocumentIgnored:
			c.emit(LogChange{Message: "configuration ignored", Err: a.Err})
		}
	}
}

func (c *Core) accepted(d *config.Document) {
	c.kind = ""
	for _, g := range d.Config.Groups {
		if g.Name == c.o.Group {
			c.kind = g.Kind
		}
	}
	var keyed []string
	clear(c.services)
	for _, s := range d.Config.Services {
		if s.Group == c.o.Group {
			c.services[s.Name] = &s
		}
		if s.Group == c.o.Group && slices.ContainsFunc(s.Calls, func(call config.Call) bool { return call.NonIdempotent }) {
			keyed = append(keyed, s.Name)
		}
	}
	c.emit(LogChange{Message: "configuration in force"})
	c.onceStep(once.Services{Names: keyed})
	c.residency(residency.Configured{Document: d})
	c.feedMembers()
}

// heard compares the versions that a message carries with this process's own.
func (c *Core) heard(peer string, s wire.Sync) {
	if s.ConfigVersion > c.conf.Version() {
		c.config(confsync.VersionAnnounced{Peer: peer, Version: s.ConfigVersion})
	}
	if s.QuarantineHash != c.blocklist.Hash() && !c.now.Before(c.exchangeAt) {
		c.exchangeAt = c.now.Add(exchangeInterval)
		c.emit(ExchangeQuarantine{Peer: peer, Entries: c.blocklist.Entries()})
	}
}

func (c *Core) mergeQuarantine(entries []wire.QuarantineEntry) {
	if c.blocklist.Merge(entries) {
		c.refuseConvicted()
	}
}

// onceStep feeds the at-most-once decision.
func (c *Core) onceStep(ev once.Event) {
	for _, a := range c.once.Step(c.now, ev) {
		switch a := a.(type) {
		case once.ReadOwners:
			c.emit(ReadObject{Key: once.Key(a.Service)})
		case once.WriteOwners:
			c.emit(WriteObject{Key: once.Key(a.Service), Value: a.Owners.Encode(), Expect: a.Expect})
		}
	}
}

func (c *Core) drain(leaving bool) {
	if leaving && !c.leaving {
		c.leaving = true
		c.emit(LogChange{Message: "VM is leaving"})
		c.residency(residency.Drain{})
	}
	if !c.draining {
		c.draining, c.drainAt = true, c.now
		c.selfMirror.writeAt = time.Time{} // routers have to learn of it within seconds
		c.emit(LogChange{Message: "draining"})
		c.onceStep(once.Drain{})
	}
}

// IsDrained reports whether a draining agent has finished its work and may end.
func (c *Core) IsDrained() bool {
	released := c.once.MayExit() && (!c.leaving || !c.models() || c.res.IsDrained())
	if !c.draining || !released && c.now.Sub(c.drainAt) < handoverLimit {
		return false
	}
	return len(c.jobs) == 0 && !c.selfMirror.busy && !c.listMirror.busy
}

func (c *Core) tick() {
	c.config(confsync.Tick{})
	c.onceStep(once.Tick{})
	if c.models() {
		c.residency(residency.Tick{})
	}
	c.givePlaces(c.places.Step(c.now, loadplan.Tick{}))
	c.expire()
	if c.engineDown && c.hasUnresolved() {
		c.check()
	}
	for _, m := range []struct {
		m    *mirror
		want []byte
	}{{&c.listMirror, c.wantedList()}, {&c.selfMirror, c.wantedRecord()}} {
		if a := m.m.step(c.now, m.want); a != nil {
			c.emit(a)
		}
	}
}

// models reports whether the upstream is a model engine.
func (c *Core) models() bool { return c.kind == config.GroupModels }

// wantedList returns what quarantine/list should hold, nil for an empty list.
func (c *Core) wantedList() []byte {
	if c.blocklist.Hash() == 0 {
		return nil
	}
	return c.blocklist.Encode()
}

// wantedRecord returns what upstreams/<vm> should hold, nil before the agent has a configuration.
func (c *Core) wantedRecord() []byte {
	if c.kind == "" {
		return nil
	}
	u := membership.Upstream{VM: c.o.VM, Incarnation: c.o.Incarnation, Addr: c.o.Addr, Region: c.o.Region, Zone: c.o.Zone,
		Group: c.o.Group, Kind: c.kind, MemoryBytes: c.capacity, Tiers: c.tiers, Draining: c.draining}
	return u.Encode()
}

// isGrants reports whether the key is one of a model's grants.
func isGrants(key string) bool { return strings.HasPrefix(key, store.PrefixGrants) }

// isOwners returns the service of an owners key.
func isOwners(key string) (string, bool) { return strings.CutPrefix(key, store.PrefixOwners) }

// Load returns what the agent reports of itself.
func (c *Core) Load() wire.Load {
	queued, running := c.queue.Len()
	return wire.Load{Queued: uint32(queued), Running: uint32(running), Slots: uint32(c.queue.Slots()),
		PredictedWaitMS: uint32(c.queue.Predict(c.now, 0).Milliseconds()), Draining: c.draining}
}

// Sync returns the versions that all messages carry.
func (c *Core) Sync() wire.Sync {
	return wire.Sync{ConfigVersion: c.conf.Version(), QuarantineHash: c.blocklist.Hash()}
}

// Document returns the configuration in force, or nil.
func (c *Core) Document() *config.Document { return c.conf.Current() }

// Quarantine returns the quarantine list.
func (c *Core) Quarantine() []wire.QuarantineEntry { return c.blocklist.Entries() }
