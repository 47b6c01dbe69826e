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

// ControlOptions are the parts that the control duty connects.
type ControlOptions struct {
	Store store.Store
	Pool  *transport.Pool
	// Peers are the addresses of processes that a starting router asks for its configuration.
	Peers []string
	// Objects returns the objects of the store that this process knows, for peers. It may be nil.
	Objects func() []wire.Object
	// OnView gets each new view, OnConfig each configuration taken, OnReady is called once after the first one. They
	// must not block.
	OnView   func(routing.View)
	OnConfig func(*config.Document)
	OnReady  func()
	Log      *log.Logger
	Scope    tally.Scope
}

// Control is the duty that turns updates of the store, the VM list and peers into views and configurations.
type Control struct {
	o         ControlOptions
	events    *ring.Ring[any]
	conf      *confsync.State
	members   *membership.State
	grants    map[string]grant.Object
	owners    map[string]once.Owners
	current   atomic.Pointer[config.Document]
	blocklist blocklist
	storeUp   bool
	ignored   tally.Counter
}

// draining is the event that an agent announced that it is leaving.
type draining struct{ vm string }

// controlEvents bounds the events that wait for the duty. What a full ring drops is repeated by later messages.
const controlEvents = 256

// NewControl returns the duty of a starting router.
func NewControl(o ControlOptions) *Control {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Control{
		o: o, events: ring.New[any](controlEvents), conf: confsync.New(), members: membership.New(),
		grants: map[string]grant.Object{}, owners: map[string]once.Owners{}, storeUp: true,
		ignored: o.Scope.Counter("ignored_objects"), blocklist: blocklist{list: quarantine.New()},
	}
}

// Version returns the configuration's version in force, or 0.
func (c *Control) Version() uint64 {
	if doc := c.current.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// Sync returns what this process says of itself on messages.
func (c *Control) Sync() wire.Sync {
	return wire.Sync{ConfigVersion: c.Version(), QuarantineHash: c.blocklist.hash()}
}

// Reply answers a peer's question, or returns nil if there is no answer to it.
func (c *Control) Reply(m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.ConfigGet:
		if doc := c.current.Load(); doc != nil && doc.Version > m.Have {
			return &wire.ConfigDoc{Version: doc.Version, Digest: doc.Digest, Document: doc.Raw}
		}
		return &wire.ConfigDoc{}
	case *wire.QuarantineGet:
		c.events.TryPush(listHeard{entries: m.Entries})
		return &wire.QuarantineList{Entries: c.blocklist.entries()}
	case *wire.ObjectsGet:
		if c.o.Objects != nil {
			return &wire.ObjectsList{Objects: c.o.Objects()}
		}
	}
	return nil
}

// IsQuarantined reports whether a fingerprint is quarantined.
func (c *Control) IsQuarantined(fingerprint uint64) bool { return c.blocklist.holds(fingerprint) }

// RecordSync takes the versions and the hash that a peer's message names. It does not block.
func (c *Control) RecordSync(addr string, s wire.Sync) {
	if s.ConfigVersion > c.Version() {
		c.events.TryPush(confsync.VersionAnnounced{Peer: addr, Version: s.ConfigVersion})
	}
	if s.QuarantineHash != c.blocklist.hash() && c.blocklist.mayExchange(time.Now()) {
		c.events.TryPush(exchangeList{addr: addr})
	}
}

// RecordDraining takes an agent's notice that it is leaving. It does not block.
func (c *Control) RecordDraining(vm string) { c.events.TryPush(draining{vm: vm}) }

// Run handles updates until ctx ends.
func (c *Control) Run(ctx context.Context, updates *ring.Ring[watch.Update]) error {
	tick := time.NewTicker(confsync.TickInterval)
	defer tick.Stop()
	c.step(ctx, confsync.PeersUpdated{Addrs: c.o.Peers})
	for {
		select {
		case u := <-updates.Items():
			c.update(ctx, u)
		case ev := <-c.events.Items():
			c.event(ctx, ev)
		case <-tick.C:
			c.step(ctx, confsync.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) event(ctx context.Context, ev any) {
	switch ev := ev.(type) {
	case draining:
		c.members.RecordDraining(ev.vm)
		c.publish()
	case listHeard:
		c.blocklist.merge(ev.entries)
	case exchangeList:
		go c.exchangeList(ctx, ev.addr)
	case confsync.Event:
		c.step(ctx, ev)
	}
}

func (c *Control) update(ctx context.Context, u watch.Update) {
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
		c.objects(ctx, u.Objects)
	case u.Source == watch.SourcePeers:
		c.objects(ctx, u.Objects)
	}
}

func (c *Control) objects(ctx context.Context, objects []store.Object) {
	for _, o := range objects {
		c.object(ctx, o)
	}
	c.publish()
}

// setStoreUp logs changes of the store's state only.
func (c *Control) setStoreUp(up bool, err error) {
	if up == c.storeUp {
		return
	}
	c.storeUp = up
	if up {
		c.o.Log.Info("object API is reachable again")
	} else {
		c.o.Log.Warn("object API cannot be reached; serving goes on", "err", err)
	}
}

func (c *Control) object(ctx context.Context, o store.Object) {
	var err error
	switch {
	case o.Key == store.KeyConfig && !o.Deleted:
		c.step(ctx, confsync.EnvelopeReceived{Value: o.Value})
	case o.Key == store.KeyQuarantine && !o.Deleted:
		err = c.blocklist.decode(o.Value)
	case strings.HasPrefix(o.Key, store.PrefixUpstreams):
		err = c.members.ApplyObject(o)
	case strings.HasPrefix(o.Key, store.PrefixGrants):
		err = put(c.grants, strings.TrimPrefix(o.Key, store.PrefixGrants), o, grant.Decode)
	case strings.HasPrefix(o.Key, store.PrefixOwners):
		err = put(c.owners, strings.TrimPrefix(o.Key, store.PrefixOwners), o, once.Decode)
	}
	if err != nil {
		c.ignored.Inc(1)
		c.o.Log.Error("object ignored", "key", o.Key, "err", err)
	}
}

// put keeps the decoded value of an object under its name.
func put[T any](m map[string]T, name string, o store.Object, decode func([]byte) (T, error)) error {
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

// publish gives out a new view. VMs that are leaving stay in it, because owners of key slots are still asked for
// answers.
func (c *Control) publish() {
	v := routing.View{Grants: maps.Clone(c.grants), Owners: maps.Clone(c.owners)}
	for _, u := range c.members.Upstreams() {
		v.Upstreams = append(v.Upstreams, routing.Upstream{
			VM: u.VM, Incarnation: u.Incarnation, Addr: u.Addr, Region: u.Region, Zone: u.Zone, Group: u.Group,
			MemoryBytes: u.MemoryBytes, Tiers: u.Tiers, Draining: !c.members.Candidate(u.VM),
		})
	}
	c.o.OnView(v)
}

func (c *Control) step(ctx context.Context, ev confsync.Event) {
	for _, a := range c.conf.Step(time.Now(), ev) {
		switch a := a.(type) {
		case confsync.Accepted:
			c.o.OnConfig(a.Document)
			c.current.Store(a.Document)
			c.o.Log.Info("configuration in force", "version", a.Document.Version, "digest", a.Document.Digest)
		case confsync.Ready:
			c.o.OnReady()
		case confsync.DocumentIgnored:
			c.ignored.Inc(1)
			c.o.Log.Error("configuration ignored", "err", a.Err)
		case confsync.ReadStore:
			go c.readStore(ctx)
		case confsync.QueryPeer:
			go c.askPeer(ctx, a)
		}
	}
}

// readStore carries out a ReadStore action. The state has at most one outstanding.
func (c *Control) readStore(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
	defer cancel()
	o, err := c.o.Store.Get(readCtx, store.KeyConfig)
	var ev confsync.Event = confsync.EnvelopeReceived{Value: o.Value}
	if errors.Is(err, store.ErrNotFound) {
		ev = confsync.StoreEmpty{}
	} else if err != nil {
		ev = confsync.StoreDown{}
	}
	_ = c.events.Push(ctx, ev)
}

// askPeer carries out an AskPeer action. The state has at most one outstanding for each peer.
func (c *Control) askPeer(ctx context.Context, a confsync.QueryPeer) {
	askCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
	defer cancel()
	var ev confsync.Event = confsync.PeerFailed{Peer: a.Peer}
	if m, err := Query(askCtx, c.o.Pool, a.Peer, &wire.ConfigGet{Have: a.Have}); err == nil {
		if doc, ok := m.(*wire.ConfigDoc); ok {
			ev = confsync.PeerReplied{Peer: a.Peer, Version: doc.Version, Digest: doc.Digest, Raw: doc.Document}
		}
	}
	_ = c.events.Push(ctx, ev)
}
