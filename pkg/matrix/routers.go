package matrix

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// routerNode is a router process. It executes the actions of router.Core for each request.
type routerNode struct {
	*process
	conf           *confsync.State
	members        *membership.State
	state          *routing.State
	budget         routing.Budget
	grants         map[string]grant.Object
	owners         map[string]once.Owners
	conns          map[string]*conn
	active         map[*exchange]bool
	exchanges      []*exchange // all exchanges in the order of their start, so that iteration is deterministic
	stopping       bool
	blocklist      *quarantine.State
	lastExchangeAt time.Time // start of the last exchange of quarantine lists
}

func (w *World) newRouter(name string) *routerNode {
	r := &routerNode{process: &process{w: w, name: name}}
	w.routers = append(w.routers, r)
	r.start()
	return r
}

func (r *routerNode) addr() string { return r.name + ":8080" }

func (r *routerNode) start() {
	r.process.markStarted()
	r.conf, r.members = confsync.New(), membership.New()
	r.state = routing.NewState("r1", "z1", rand.New(rand.NewPCG(r.w.rng.Uint64(), 1)))
	r.budget = routing.Budget{}
	r.grants, r.owners = map[string]grant.Object{}, map[string]once.Owners{}
	r.conns, r.active, r.exchanges = map[string]*conn{}, map[*exchange]bool{}, nil
	r.stopping, r.blocklist = false, quarantine.New()
	r.stepConfig(confsync.PeersUpdated{Addrs: r.w.peerAddrs(r.name)})
	r.every(confsync.TickInterval, func() { r.stepConfig(confsync.Tick{}) })
	r.every(vmPollInterval, func() {
		r.members.ApplyVMs(r.w.now, r.w.vms.read())
		r.publishView()
	})
	r.watchStore(r.storeUpdate)
}

func (r *routerNode) kill() {
	r.process.markEnded()
	for _, x := range r.exchanges {
		x.routerDied()
	}
	for _, c := range r.conns {
		c.stalled = true
		for _, st := range c.streams {
			st.reset()
		}
	}
}

func (r *routerNode) scheduleRestart() {
	r.w.after(restartDelay, func() {
		if !r.alive && !r.reclaimed {
			r.start()
		}
	})
}

func (r *routerNode) storeUpdate(objects []store.Object, err error) {
	if err != nil {
		r.stepConfig(confsync.StoreDown{})
		return
	}
	r.stepConfig(confsync.StoreUp{})
	for _, o := range objects {
		r.applyObject(o)
	}
	r.publishView()
}

func (r *routerNode) applyObject(o store.Object) {
	switch {
	case o.Key == store.KeyConfig:
		r.stepConfig(confsync.EnvelopeReceived{Value: o.Value})
	case strings.HasPrefix(o.Key, store.PrefixUpstreams):
		_ = r.members.ApplyObject(o)
	case strings.HasPrefix(o.Key, store.PrefixGrants):
		r.grants[strings.TrimPrefix(o.Key, store.PrefixGrants)], _ = grant.Decode(o.Value)
	case strings.HasPrefix(o.Key, store.PrefixOwners):
		r.owners[strings.TrimPrefix(o.Key, store.PrefixOwners)], _ = once.Decode(o.Value)
	case o.Key == store.KeyQuarantine:
		if entries, err := quarantine.Decode(o.Value); err == nil {
			r.blocklist.Merge(entries)
		}
	}
}

// publishView updates the view from which upstreams are chosen.
func (r *routerNode) publishView() {
	v := routing.View{Grants: map[string]grant.Object{}, Owners: map[string]once.Owners{}}
	for k, g := range r.grants {
		v.Grants[k] = g
	}
	for k, o := range r.owners {
		v.Owners[k] = o
	}
	for _, u := range r.members.Upstreams() {
		draining := !r.members.Candidate(u.VM) && !r.w.defects.IgnoreLeaving
		v.Upstreams = append(v.Upstreams, routing.Upstream{VM: u.VM, Incarnation: u.Incarnation, Addr: u.Addr, Region: u.Region, Zone: u.Zone,
			Group: u.Group, MemoryBytes: u.MemoryBytes, Tiers: u.Tiers, Draining: draining})
	}
	r.state.SetView(v)
}

func (r *routerNode) stepConfig(ev confsync.Event) {
	for _, a := range r.conf.Step(r.w.now, ev) {
		switch a := a.(type) {
		case confsync.ReadStore:
			r.w.reached(StepSpread, r.name)
			r.w.store.get(store.KeyConfig, func(o store.Object, err error) {
				r.deliver(0, func() { r.stepConfig(configEvent(o, err)) })
			})
		case confsync.QueryPeer:
			r.w.queryConfig(r.process, a.Peer, a.Have, func(doc *wire.ConfigDoc) {
				r.deliver(0, func() { r.stepConfig(peerEvent(a.Peer, doc)) })
			})
		}
	}
}

func configEvent(o store.Object, err error) confsync.Event {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return confsync.StoreEmpty{}
	case err != nil:
		return confsync.StoreDown{}
	}
	return confsync.EnvelopeReceived{Value: o.Value}
}

func peerEvent(peer string, doc *wire.ConfigDoc) confsync.Event {
	if doc == nil {
		return confsync.PeerFailed{Peer: peer}
	}
	return confsync.PeerReplied{Peer: peer, Version: doc.Version, Digest: doc.Digest, Raw: doc.Document}
}

// quarantineExchangeInterval is the minimum interval between two exchanges of quarantine lists that a router starts.
const quarantineExchangeInterval = 2 * time.Second

func (r *routerNode) sync() wire.Sync {
	return wire.Sync{ConfigVersion: r.conf.Version(), QuarantineHash: r.blocklist.Hash()}
}

// model returns the model's entry in the router's active configuration.
func (r *routerNode) model(name string) (config.Model, bool) {
	d := r.conf.Current()
	if d == nil {
		return config.Model{}, false
	}
	for _, m := range d.Config.Models {
		if m.Name == name {
			return m, true
		}
	}
	return config.Model{}, false
}
