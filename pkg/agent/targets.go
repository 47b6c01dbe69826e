package agent

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// targetReady reports whether the job's target can be called now. A plain service has no targets.
func (c *Core) targetReady(j *job) bool {
	return !c.models() || c.res.IsReady(j.open.Target)
}

func (c *Core) loadWait(j *job, cold bool) time.Duration {
	if !cold {
		return 0
	}
	return c.res.PredictedWait(j.open.Target, c.now)
}

// want counts a waiting job as a use of its target if that is ready, so that it is not unloaded meanwhile, and asks for
// the target otherwise.
func (c *Core) want(j *job) {
	if c.targetReady(j) {
		c.ready(j)
		return
	}
	c.residency(residency.LoadRequested{Target: j.open.Target, Deadline: j.deadline})
}

// residency feeds the residency decision and handles its actions. A plain service has none.
func (c *Core) residency(ev residency.Event) {
	if c.kind == config.GroupPlain {
		return
	}
	for _, a := range c.res.Step(c.now, ev) {
		switch a := a.(type) {
		case residency.ReadObject:
			c.emit(ReadObject{Key: a.Key})
		case residency.WriteObject:
			c.emit(WriteObject{Key: a.Key, Value: a.Value, Expect: a.Expect})
		case residency.RequestPermit:
			c.askPlace(a)
		case residency.ReleasePermit:
			c.returnPlace(a)
		case residency.Ready:
			if a.Waited > 0 {
				c.emit(RecordColdStart{Waited: a.Waited})
			}
			for _, id := range c.queue.TargetLoaded(a.Target) {
				c.ready(c.jobs[id])
			}
		case residency.LoadFailed:
			c.targetFailed(a)
		default:
			c.emit(ResidencyAction{Action: a})
		}
	}
}

func (c *Core) targetFailed(a residency.LoadFailed) {
	for _, id := range c.queue.TargetFailed(a.Target) {
		c.refuseJob(c.jobs[id], &wire.Refuse{Code: a.Code, Reason: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), Holders: a.Holders})
	}
}

func (c *Core) askPlace(a residency.RequestPermit) {
	if a.Coordinator == "" || a.Coordinator == c.o.VM {
		c.givePlaces(c.places.Step(c.now, loadplan.PermitRequest{Request: a.Request}))
		c.residency(residency.PermitQueued{ID: a.Request.ID})
		return
	}
	if u, ok := c.members.Upstream(a.Coordinator); ok {
		c.emit(RequestPermit{Addr: u.Addr, Request: a.Request})
	}
}

func (c *Core) returnPlace(a residency.ReleasePermit) {
	if a.Coordinator == "" || a.Coordinator == c.o.VM {
		c.givePlaces(c.places.Step(c.now, loadplan.PermitRelease{ID: a.ID}))
		return
	}
	c.emit(ReleasePermit{ID: a.ID})
}

// givePlaces hands out the places of this agent as the load coordinator.
func (c *Core) givePlaces(given []loadplan.Permit) {
	for _, g := range given {
		if g.VM == c.o.VM {
			c.residency(residency.PermitIssued{ID: g.ID})
			continue
		}
		c.emit(IssuePermit{ID: g.ID})
	}
}

// objectRead hands a read to the decisions that may have asked for it.
func (c *Core) objectRead(ev ObjectRead) {
	missing := errors.Is(ev.Err, store.ErrNotFound)
	if service, ok := isOwners(ev.Key); ok {
		c.ownersRead(service, ev, missing)
		return
	}
	switch ev.Key {
	case store.KeyConfig:
		switch {
		case ev.Err == nil:
			c.configSeen(ev.Object, ev.Document)
		case missing:
			c.config(confsync.StoreEmpty{})
		default:
			c.config(confsync.StoreDown{})
		}
	case c.listMirror.key:
		if ev.Err == nil {
			c.listSeen(ev.Object)
		}
		c.listMirror.read(c.now, ev.Object, ev.Err)
	case c.selfMirror.key:
		c.selfMirror.read(c.now, ev.Object, ev.Err)
	default:
		r := residency.ObjectRead{Key: ev.Key, Version: ev.Object.Version, Value: ev.Object.Value, Err: ev.Err}
		if missing {
			r.Err = nil
		}
		c.residency(r)
	}
}

func (c *Core) ownersRead(service string, ev ObjectRead, missing bool) {
	seen := once.OwnersRead{Service: service, Version: ev.Object.Version, Err: ev.Err}
	if missing {
		seen.Err = nil
	}
	if ev.Err == nil {
		seen.Owners, seen.Err = once.Decode(ev.Object.Value)
		for _, slot := range seen.Owners.Slots {
			if slot.Owner != "" {
				c.members.RecordMention(c.now, slot.Owner)
			}
		}
	}
	c.onceStep(seen)
}

func (c *Core) listSeen(o store.Object) {
	entries, err := quarantine.Decode(o.Value)
	if err != nil {
		c.emit(LogChange{Message: "quarantine list ignored", Err: err})
		return
	}
	c.mergeQuarantine(entries)
}

func (c *Core) objectWritten(ev ObjectWritten) {
	if service, ok := isOwners(ev.Key); ok {
		c.onceStep(once.OwnersWritten{Service: service, Expect: ev.Expect, Version: ev.Version, Err: ev.Err})
		return
	}
	switch ev.Key {
	case c.listMirror.key:
		c.listMirror.written(c.now, ev.Value, ev.Version, ev.Err)
	case c.selfMirror.key:
		c.selfMirror.written(c.now, ev.Value, ev.Version, ev.Err)
		if ev.Err == nil { // the watch would show it seconds later
			c.memberChanged(store.Object{Key: ev.Key, Version: ev.Version, Value: ev.Value})
			c.feedMembers()
		}
	default:
		c.residency(residency.ObjectWritten{Key: ev.Key, Version: ev.Version, Err: ev.Err})
	}
}

// objectChanged hands a change seen by the watch to the decisions.
func (c *Core) objectChanged(o store.Object, d *config.Document) {
	if service, ok := isOwners(o.Key); ok {
		if !o.Deleted {
			c.ownersRead(service, ObjectRead{Key: o.Key, Object: o}, false)
		}
		return
	}
	switch o.Key {
	case store.KeyConfig:
		if !o.Deleted {
			c.configSeen(o, d)
		}
	case c.listMirror.key:
		if !o.Deleted {
			c.listSeen(o)
		}
		c.listMirror.seen(o)
	case c.selfMirror.key:
		c.selfMirror.seen(o)
		c.memberChanged(o)
	default:
		c.memberChanged(o)
		r := residency.ObjectRead{Key: o.Key, Version: o.Version, Value: o.Value}
		if o.Deleted {
			r.Value = nil
		}
		if isGrants(o.Key) {
			c.residency(r)
		}
	}
}

// configSeen takes config/current, decoded beforehand if d is set.
func (c *Core) configSeen(o store.Object, d *config.Document) {
	if d != nil {
		c.config(confsync.DocumentReceived{Document: d})
		return
	}
	c.config(confsync.EnvelopeReceived{Value: o.Value})
}

func (c *Core) memberChanged(o store.Object) {
	if err := c.members.ApplyObject(o); err != nil {
		c.emit(LogChange{Message: "upstream record ignored", Err: err})
	}
}

// objectsHeard takes the agents' records from peers' copies. Grants and key slots are left to the store: an old copy
// that lacks this VM's entry would unload a model that is in use, and free memory that a load of an earlier process may
// still take, as if the store had shown it.
func (c *Core) objectsHeard(objects []store.Object) {
	for _, o := range objects {
		c.memberChanged(o)
	}
	c.feedMembers()
}

func (c *Core) vmsSeen(ev VMsRead) {
	c.members.ApplyVMs(ev.StartedAt, ev.VMs)
	c.feedPeers(ev.VMs)
	c.residency(residency.VMsRead{StartedAt: ev.StartedAt, VMs: ev.VMs})
	c.feedMembers()
	if c.members.Leaving(c.o.VM) {
		c.drain(true)
	}
}

// feedMembers tells the decisions which agents are live.
func (c *Core) feedMembers() {
	var group, models []string
	for _, u := range c.members.Candidates() {
		if u.Group == c.o.Group {
			group = append(group, u.VM)
		}
		if u.Kind == config.GroupModels {
			models = append(models, u.VM)
		}
	}
	c.onceStep(once.Members{Live: group, Gone: c.members.GoneVMs()})
	c.residency(residency.Candidates{VMs: models})
}

// feedPeers finds whom a starting process asks for the configuration and the store's objects. During an outage of the
// store no agent's record can be read, so the addresses come from the VM list and the port that is the same on all VMs.
// Each read of the list gives another order, because the first ones asked may be entry VMs or not answer.
func (c *Core) feedPeers(vms []vmlist.VM) {
	if c.conf.Version() != 0 && c.listed {
		return
	}
	_, port, _ := net.SplitHostPort(c.o.Addr)
	addrs := slices.Clone(c.o.Peers)
	for _, vm := range vms {
		if vm.ID != c.o.VM {
			addrs = append(addrs, net.JoinHostPort(vm.Addr, port))
		}
	}
	slices.Sort(addrs)
	key := c.o.Incarnation + c.now.String()
	addrs = loadplan.Rank(key, slices.Compact(addrs))
	c.peers = slices.Clone(addrs[:min(len(addrs), confsync.MaxPeers)])
	if c.conf.Version() == 0 {
		c.config(confsync.PeersUpdated{Addrs: addrs})
	}
}
