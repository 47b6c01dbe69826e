package router

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/ring"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/watch"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// ControlOptions are the dependencies and callbacks of a Control.
type ControlOptions struct {
	Store store.Store
	Pool  *transport.Pool
	// Peers are the addresses of processes that a starting router queries for the configuration.
	Peers []string
	// Objects returns the store objects that this process has, for replies to peers. It may be nil.
	Objects func() []wire.Object
	// OnView is called with each new view and OnConfig with each accepted configuration. OnReady is called once, after
	// the first configuration. They must not block.
	OnView   func(routing.View)
	OnConfig func(*config.Document)
	OnReady  func()
	Log      *log.Logger
	Scope    tally.Scope
}

// Control is the background loop that turns updates from the store, the VM list and peers into views and
// configurations.
type Control struct {
	opts           ControlOptions
	events         *ring.Ring[any]
	confSync       *confsync.State
	members        *membership.State
	grants         map[string]grant.Object
	owners         map[string]once.Owners
	current        atomic.Pointer[config.Document]
	quarantine     quarantineList
	storeUp        bool
	ignoredObjects tally.Counter
}

// agentDraining is the event that an agent announced that it is draining.
type agentDraining struct{ vm string }

// controlEvents bounds the queued events. An event dropped by a full ring is repeated by later messages.
const controlEvents = 256

// NewControl returns the control loop of a starting router.
func NewControl(o ControlOptions) *Control {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Control{
		opts: o, events: ring.New[any](controlEvents), confSync: confsync.New(), members: membership.New(),
		grants: map[string]grant.Object{}, owners: map[string]once.Owners{}, storeUp: true,
		ignoredObjects: o.Scope.Counter("ignored_objects"), quarantine: quarantineList{state: quarantine.New()},
	}
}

// Version returns the version of the active configuration, or 0 if there is none.
func (c *Control) Version() uint64 {
	if doc := c.current.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// Sync returns the versions that this process attaches to its messages.
func (c *Control) Sync() wire.Sync {
	return wire.Sync{ConfigVersion: c.Version(), QuarantineHash: c.quarantine.hash()}
}

// Reply returns the reply to a peer's query, or nil if there is none.
func (c *Control) Reply(m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.ConfigGet:
		if doc := c.current.Load(); doc != nil && doc.Version > m.Have {
			return &wire.ConfigDoc{Version: doc.Version, Digest: doc.Digest, Document: doc.Raw}
		}
		return &wire.ConfigDoc{}
	case *wire.QuarantineGet:
		c.events.TryPush(quarantineReceived{entries: m.Entries})
		return &wire.QuarantineList{Entries: c.quarantine.entries()}
	case *wire.ObjectsGet:
		if c.opts.Objects != nil {
			return &wire.ObjectsList{Objects: c.opts.Objects()}
		}
	}
	return nil
}

// IsQuarantined reports whether a fingerprint is quarantined.
func (c *Control) IsQuarantined(fingerprint uint64) bool { return c.quarantine.contains(fingerprint) }

// RecordSync handles the versions and the hash in a peer's message. It does not block.
func (c *Control) RecordSync(addr string, s wire.Sync) {
	if s.ConfigVersion > c.Version() {
		c.events.TryPush(confsync.VersionAnnounced{Peer: addr, Version: s.ConfigVersion})
	}
	if s.QuarantineHash != c.quarantine.hash() && c.quarantine.mayExchange(time.Now()) {
		c.events.TryPush(exchangeRequested{addr: addr})
	}
}

// RecordDraining handles an agent's notice that it is draining. It does not block.
func (c *Control) RecordDraining(vm string) { c.events.TryPush(agentDraining{vm: vm}) }

// Run handles updates until ctx is done.
func (c *Control) Run(ctx context.Context, updates *ring.Ring[watch.Update]) error {
	tick := time.NewTicker(confsync.TickInterval)
	defer tick.Stop()
	c.step(ctx, confsync.PeersUpdated{Addrs: c.opts.Peers})
	for {
		select {
		case u := <-updates.Items():
			c.applyUpdate(ctx, u)
		case ev := <-c.events.Items():
			c.handleEvent(ctx, ev)
		case <-tick.C:
			c.step(ctx, confsync.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) handleEvent(ctx context.Context, ev any) {
	switch ev := ev.(type) {
	case agentDraining:
		c.members.RecordDraining(ev.vm)
		c.publish()
	case quarantineReceived:
		c.quarantine.merge(ev.entries)
	case exchangeRequested:
		go c.exchangeQuarantine(ctx, ev.addr)
	case confsync.Event:
		c.step(ctx, ev)
	}
}

func (c *Control) applyUpdate(ctx context.Context, u watch.Update) {
	switch {
	case u.Source == watch.SourceVMs && u.Err == nil:
		c.members.ApplyVMs(u.VMsAt, u.VMs)
		c.publish()
	case u.Source == watch.SourceStore && u.Err != nil:
		c.setStoreUp(false, u.Err)
		c.step(ctx, confsync.StoreDown{})
	case u.Source == watch.SourceStore:
		c.setStoreUp(true, nil)
		c.step(ctx, confsync.StoreUp{})
		c.applyObjects(ctx, u.Objects)
	case u.Source == watch.SourcePeers:
		c.applyObjects(ctx, u.Objects)
	}
}

func (c *Control) applyObjects(ctx context.Context, objects []store.Object) {
	for _, o := range objects {
		c.applyObject(ctx, o)
	}
	c.publish()
}

// setStoreUp records whether the store is reachable and logs changes only.
func (c *Control) setStoreUp(up bool, err error) {
	if up == c.storeUp {
		return
	}
	c.storeUp = up
	if up {
		c.opts.Log.Info("object API is reachable again")
	} else {
		c.opts.Log.Warn("object API unreachable; continuing with the current view", "err", err)
	}
}

func (c *Control) applyObject(ctx context.Context, o store.Object) {
	var err error
	switch {
	case o.Key == store.KeyConfig && !o.Deleted:
		c.step(ctx, confsync.EnvelopeReceived{Value: o.Value})
	case o.Key == store.KeyQuarantine && !o.Deleted:
		err = c.quarantine.decode(o.Value)
	case strings.HasPrefix(o.Key, store.PrefixUpstreams):
		err = c.members.ApplyObject(o)
	case strings.HasPrefix(o.Key, store.PrefixGrants):
		err = putDecoded(c.grants, strings.TrimPrefix(o.Key, store.PrefixGrants), o, grant.Decode)
	case strings.HasPrefix(o.Key, store.PrefixOwners):
		err = putDecoded(c.owners, strings.TrimPrefix(o.Key, store.PrefixOwners), o, once.Decode)
	}
	if err != nil {
		c.ignoredObjects.Inc(1)
		c.opts.Log.Error("object ignored", "key", o.Key, "err", err)
	}
}

// putDecoded stores the decoded value of an object under its name, or removes the name of a deleted object.
func putDecoded[T any](m map[string]T, name string, o store.Object, decode func([]byte) (T, error)) error {
	if o.Deleted {
		delete(m, name)
		return nil
	}
	value, err := decode(o.Value)
	if err != nil {
		return err
	}
	m[name] = value
	return nil
}

// publish passes on a new view. It includes VMs that are leaving, because owners of key slots are still queried for
// stored answers.
func (c *Control) publish() {
	v := routing.View{Grants: maps.Clone(c.grants), Owners: maps.Clone(c.owners)}
	for _, u := range c.members.Upstreams() {
		v.Upstreams = append(v.Upstreams, routing.Upstream{
			VM: u.VM, Incarnation: u.Incarnation, Addr: u.Addr, Region: u.Region, Zone: u.Zone, Group: u.Group,
			MemoryBytes: u.MemoryBytes, Tiers: u.Tiers, Draining: !c.members.Candidate(u.VM),
		})
	}
	c.opts.OnView(v)
}

func (c *Control) step(ctx context.Context, ev confsync.Event) {
	for _, a := range c.confSync.Step(time.Now(), ev) {
		switch a := a.(type) {
		case confsync.Accepted:
			c.opts.OnConfig(a.Document)
			c.current.Store(a.Document)
			c.opts.Log.Info("configuration activated", "version", a.Document.Version, "digest", a.Document.Digest)
		case confsync.Ready:
			c.opts.OnReady()
		case confsync.DocumentIgnored:
			c.ignoredObjects.Inc(1)
			c.opts.Log.Error("configuration ignored", "err", a.Err)
		case confsync.ReadStore:
			go c.readStore(ctx)
		case confsync.QueryPeer:
			go c.queryPeer(ctx, a)
		}
	}
}

// readStore executes a ReadStore action. At most one is outstanding.
func (c *Control) readStore(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
	defer cancel()
	o, err := c.opts.Store.Get(readCtx, store.KeyConfig)
	var ev confsync.Event = confsync.EnvelopeReceived{Value: o.Value}
	if errors.Is(err, store.ErrNotFound) {
		ev = confsync.StoreEmpty{}
	} else if err != nil {
		ev = confsync.StoreDown{}
	}
	_ = c.events.Push(ctx, ev)
}

// queryPeer sends a ConfigGet to a peer and passes on the result. At most one is outstanding for each peer.
func (c *Control) queryPeer(ctx context.Context, a confsync.QueryPeer) {
	queryCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
	defer cancel()
	var ev confsync.Event = confsync.PeerFailed{Peer: a.Peer}
	if m, err := Query(queryCtx, c.opts.Pool, a.Peer, &wire.ConfigGet{Have: a.Have}); err == nil {
		if doc, ok := m.(*wire.ConfigDoc); ok {
			ev = confsync.PeerReplied{Peer: a.Peer, Version: doc.Version, Digest: doc.Digest, Raw: doc.Document}
		}
	}
	_ = c.events.Push(ctx, ev)
}
