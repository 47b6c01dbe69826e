// Package agent implements the process that runs beside an upstream and makes all final decisions about it: which
// requests run, what is loaded and which key slots it owns. Core is the state machine that combines these decisions;
// Agent runs the background loops and the I/O around it.
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
	// defaultSlots is the number of concurrent calls until a listing reports the upstream's own number.
	defaultSlots = 8
	// recordWriteInterval is the minimum time between two writes of upstreams/<vm> (design page, section 3).
	recordWriteInterval = 30 * time.Second
	// handoverTimeout bounds how long a draining agent without requests waits until the release of its key slots and
	// grants is stored. If the store is unreachable they stay with the VM: a restarted agent takes them over, and other
	// agents remove those of a VM that is gone.
	handoverTimeout = 30 * time.Second
	// exchangeInterval is the minimum time between two exchanges of the quarantine list that this agent starts.
	exchangeInterval = 2 * time.Second
	// weightStoreBytesPerSecond is the assumed throughput of one fetch from the weight store. It only bounds how long a
	// load permit stays issued to an agent that has terminated.
	weightStoreBytesPerSecond = 5e8
)

// Options identify the agent and its location, and configure its decisions.
type Options struct {
	VM, Incarnation, Region, Zone, Group string
	Addr                                 string   // "ip:port" for peers
	Peers                                []string // "ip:port" of processes to query for the configuration at startup
	Start                                time.Time
	TrustFence                           bool // the engine rejects orders with outdated fencing numbers
	// Policy decides when idle models are unloaded; nil selects the cost policy.
	Policy idle.Policy
	Queue  admission.Limits
	Once   once.Limits
}

// Core combines the decisions of an agent. It is a pure state machine and not safe for concurrent use.
type Core struct {
	opts       Options
	config     *confsync.State
	kind       config.GroupKind           // of the group, "" before a configuration
	services   map[string]*config.Service // of the group
	members    *membership.State
	once       *once.State
	queue      *admission.Queue
	quarantine *quarantine.State
	residency  *residency.State
	permits    *loadplan.Coordinator

	jobs     map[string]*job        // by job id
	requests map[string]*attachment // by request id
	streams  map[uint64]*attachment
	stale    staleGuard

	tiers           map[string]engine.Tier
	capacity        int64
	epoch           string   // of the engine process, "" before the first listing
	pastEpochs      []string // earlier epochs, most recent last
	engineDown      bool
	storeDown       bool
	storeListed     bool     // all objects of the store have been read at least once
	bootstrapPeers  []string // to query at startup for what cannot be read from the store
	checkInProgress bool     // a listing requested by checkEngine is in progress
	lastCheck       uint64   // number of the latest CheckEngine action

	draining       bool
	drainStartedAt time.Time
	leaving        bool
	quarantineList reconciler
	ownRecord      reconciler
	nextExchangeAt time.Time

	now     time.Time
	actions []Action
}

// NewCore returns the Core of an agent that starts.
func NewCore(o Options) *Core {
	return &Core{
		opts: o, config: confsync.New(), services: map[string]*config.Service{}, members: membership.New(), once: once.New(o.VM, o.Start, o.Once),
		queue: admission.New(o.Queue, defaultSlots), quarantine: quarantine.New(),
		residency: residency.New(residency.Options{VM: o.VM, Incarnation: o.Incarnation, Group: o.Group, TrustFence: o.TrustFence, Policy: o.Policy}),
		permits:   loadplan.NewCoordinator(loadplan.MaxConcurrentLoads, weightStoreBytesPerSecond),
		jobs:      map[string]*job{}, requests: map[string]*attachment{}, streams: map[uint64]*attachment{},
		quarantineList: reconciler{key: store.KeyQuarantine}, ownRecord: reconciler{key: membership.Key(o.VM), interval: recordWriteInterval},
	}
}

// Step applies an event and returns the actions to execute, in order. The time must not go back.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now, c.actions = now, nil
	c.apply(ev)
	c.startQueued()
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) apply(ev Event) {
	switch ev := ev.(type) {
	case Opened:
		c.compareVersions(ev.Peer, ev.Open.Sync)
		c.handleOpened(ev)
	case Closed:
		c.handleClosed(ev.Stream)
	case Cancelled:
		c.handleCancelled(ev.Stream)
	case AnswerStarted:
		c.handleAnswerStarted(ev)
	case CallEnded:
		c.handleCallEnded(ev)
	case EngineChecked:
		if ev.Number == c.lastCheck {
			c.checkInProgress = false
		}
		c.handleListing(ev.Listing, ev.Err, ev.Number)
	case Listed:
		if ev.Err == nil && c.isPast(ev.Listing.Epoch) {
			ev.Err = errPastEpoch
		} else {
			c.handleListing(ev.Listing, ev.Err, 0)
		}
		c.stepResidency(residency.Listed{Listing: ev.Listing, Err: ev.Err})
	case OrderDone:
		c.stepResidency(residency.OrderDone{Order: ev.Order, Err: ev.Err})
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
		c.handleObjectRead(ev)
	case ObjectWritten:
		c.handleObjectWritten(ev)
	case ObjectsReceived:
		c.handlePeerObjects(ev.Objects)
	case StoreChanged:
		c.storeListed = c.storeListed || ev.Synced
		c.stepConfig(confsync.StoreUp{})
		c.recordStoreState(nil)
		for _, o := range ev.Objects {
			c.handleObjectChanged(o, ev.Document)
		}
		c.updateMembers() // once per batch: the first listing has a record of each agent
	case StoreFailed:
		c.stepConfig(confsync.StoreDown{})
		c.recordStoreState(ev.Err)
	case VMsRead:
		c.handleVMs(ev)
	case ConfigReply:
		if ev.Doc == nil {
			c.stepConfig(confsync.PeerFailed{Peer: ev.Peer})
			return
		}
		c.stepConfig(confsync.PeerReplied{Peer: ev.Peer, Version: ev.Doc.Version, Digest: ev.Doc.Digest, Raw: ev.Doc.Document})
	case QuarantineReceived:
		c.mergeQuarantine(ev.Entries)
	case PermitRequested:
		c.issuePermits(c.permits.Step(c.now, loadplan.PermitRequest{Request: ev.Request}))
	case PermitReleased:
		c.issuePermits(c.permits.Step(c.now, loadplan.PermitRelease{ID: ev.ID}))
	case PermitIssued:
		c.stepResidency(residency.PermitIssued{ID: ev.ID})
	case PermitQueued:
		c.stepResidency(residency.PermitQueued{ID: ev.ID})
	}
}

// recordStoreState logs the beginning and the end of an outage of the store.
func (c *Core) recordStoreState(err error) {
	if down := err != nil; down != c.storeDown {
		c.storeDown = down
		c.emit(LogChange{Message: map[bool]string{true: "object API unreachable; continuing with the current view", false: "object API is reachable again"}[down], Err: err})
	}
}

// stepConfig steps the configuration state machine and handles its actions.
func (c *Core) stepConfig(ev confsync.Event) {
	for _, a := range c.config.Step(c.now, ev) {
		switch a := a.(type) {
		case confsync.ReadStore:
			c.emit(ReadObject{Key: store.KeyConfig})
		case confsync.QueryPeer:
			c.emit(QueryConfig{Peer: a.Peer, Have: a.Have})
		case confsync.Accepted:
			c.applyConfig(a.Document)
		case confsync.DocumentIgnored:
			c.emit(LogChange{Message: "configuration ignored", Err: a.Err})
		}
	}
}

func (c *Core) applyConfig(d *config.Document) {
	c.kind = ""
	for _, g := range d.Config.Groups {
		if g.Name == c.opts.Group {
			c.kind = g.Kind
		}
	}
	var keyed []string
	clear(c.services)
	for _, s := range d.Config.Services {
		if s.Group == c.opts.Group {
			c.services[s.Name] = &s
		}
		if s.Group == c.opts.Group && slices.ContainsFunc(s.Calls, func(call config.Call) bool { return call.NonIdempotent }) {
			keyed = append(keyed, s.Name)
		}
	}
	c.emit(LogChange{Message: "configuration activated"})
	c.stepOnce(once.Services{Names: keyed})
	c.stepResidency(residency.Configured{Document: d})
	c.updateMembers()
}

// compareVersions compares the versions in a peer's message with this process's own. It passes a newer configuration
// version to the configuration state machine, and exchanges quarantine lists with the peer if they differ.
func (c *Core) compareVersions(peer string, s wire.Sync) {
	if s.ConfigVersion > c.config.Version() {
		c.stepConfig(confsync.VersionAnnounced{Peer: peer, Version: s.ConfigVersion})
	}
	if s.QuarantineHash != c.quarantine.Hash() && !c.now.Before(c.nextExchangeAt) {
		c.nextExchangeAt = c.now.Add(exchangeInterval)
		c.emit(ExchangeQuarantine{Peer: peer, Entries: c.quarantine.Entries()})
	}
}

func (c *Core) mergeQuarantine(entries []wire.QuarantineEntry) {
	if c.quarantine.Merge(entries) {
		c.refuseQuarantined()
	}
}

// stepOnce steps the at-most-once state machine and handles its actions.
func (c *Core) stepOnce(ev once.Event) {
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
		c.stepResidency(residency.Drain{})
	}
	if !c.draining {
		c.draining, c.drainStartedAt = true, c.now
		c.ownRecord.writeAt = time.Time{} // write at once: routers need the change within seconds
		c.emit(LogChange{Message: "draining"})
		c.stepOnce(once.Drain{})
	}
}

// IsDrained reports whether a draining agent has finished its work and may terminate.
func (c *Core) IsDrained() bool {
	released := c.once.MayExit() && (!c.leaving || !c.servesModels() || c.residency.IsDrained())
	if !c.draining || !released && c.now.Sub(c.drainStartedAt) < handoverTimeout {
		return false
	}
	return len(c.jobs) == 0 && !c.ownRecord.callInProgress && !c.quarantineList.callInProgress
}

func (c *Core) tick() {
	c.stepConfig(confsync.Tick{})
	c.stepOnce(once.Tick{})
	if c.servesModels() {
		c.stepResidency(residency.Tick{})
	}
	c.issuePermits(c.permits.Step(c.now, loadplan.Tick{}))
	c.expire()
	if c.engineDown && c.hasUnresolved() {
		c.checkEngine()
	}
	for _, object := range []struct {
		reconciler *reconciler
		desired    []byte
	}{{&c.quarantineList, c.desiredList()}, {&c.ownRecord, c.desiredRecord()}} {
		if a := object.reconciler.step(c.now, object.desired); a != nil {
			c.emit(a)
		}
	}
}

// servesModels reports whether the upstream is a model engine.
func (c *Core) servesModels() bool { return c.kind == config.GroupModels }

// desiredList returns the desired value of quarantine/list, nil for an empty list.
func (c *Core) desiredList() []byte {
	if c.quarantine.Hash() == 0 {
		return nil
	}
	return c.quarantine.Encode()
}

// desiredRecord returns the desired value of upstreams/<vm>, nil before the agent has a configuration.
func (c *Core) desiredRecord() []byte {
	if c.kind == "" {
		return nil
	}
	u := membership.Upstream{VM: c.opts.VM, Incarnation: c.opts.Incarnation, Addr: c.opts.Addr, Region: c.opts.Region, Zone: c.opts.Zone,
		Group: c.opts.Group, Kind: c.kind, MemoryBytes: c.capacity, Tiers: c.tiers, Draining: c.draining}
	return u.Encode()
}

// isGrantKey reports whether the key is that of a model's grants.
func isGrantKey(key string) bool { return strings.HasPrefix(key, store.PrefixGrants) }

// ownersService returns the service of an owners key, and whether the key is one.
func ownersService(key string) (string, bool) { return strings.CutPrefix(key, store.PrefixOwners) }

// Load returns the load that the agent reports to routers.
func (c *Core) Load() wire.Load {
	queued, running := c.queue.Len()
	return wire.Load{Queued: uint32(queued), Running: uint32(running), Slots: uint32(c.queue.Slots()),
		PredictedWaitMS: uint32(c.queue.Predict(c.now, 0).Milliseconds()), Draining: c.draining}
}

// Sync returns the versions that the agent's messages carry.
func (c *Core) Sync() wire.Sync {
	return wire.Sync{ConfigVersion: c.config.Version(), QuarantineHash: c.quarantine.Hash()}
}

// Document returns the active configuration, or nil.
func (c *Core) Document() *config.Document { return c.config.Current() }

// Quarantine returns the quarantine list.
func (c *Core) Quarantine() []wire.QuarantineEntry { return c.quarantine.Entries() }
