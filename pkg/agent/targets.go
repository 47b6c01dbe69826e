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

// targetReady reports whether the job's target is loaded. It is always true for a plain service, which has no targets.
func (c *Core) targetReady(j *job) bool {
	return !c.servesModels() || c.residency.IsReady(j.open.Target)
}

func (c *Core) predictedLoadWait(j *job, cold bool) time.Duration {
	if !cold {
		return 0
	}
	return c.residency.PredictedWait(j.open.Target, c.now)
}

// requireTarget counts a waiting job as a use of its target if the target is ready, so that the target is not unloaded
// meanwhile, and requests its load otherwise.
func (c *Core) requireTarget(j *job) {
	if c.targetReady(j) {
		c.markReady(j)
		return
	}
	c.stepResidency(residency.LoadRequested{Target: j.open.Target, Deadline: j.deadline})
}

// stepResidency steps the residency state machine and handles its actions. It does nothing for a plain service.
func (c *Core) stepResidency(ev residency.Event) {
	if c.kind == config.GroupPlain {
		return
	}
	for _, a := range c.residency.Step(c.now, ev) {
		switch a := a.(type) {
		case residency.ReadObject:
			c.emit(ReadObject{Key: a.Key})
		case residency.WriteObject:
			c.emit(WriteObject{Key: a.Key, Value: a.Value, Expect: a.Expect})
		case residency.RequestPermit:
			c.requestPermit(a)
		case residency.ReleasePermit:
			c.releasePermit(a)
		case residency.Ready:
			if a.Waited > 0 {
				c.emit(RecordColdStart{Waited: a.Waited})
			}
			for _, id := range c.queue.TargetLoaded(a.Target) {
				c.markReady(c.jobs[id])
			}
		case residency.LoadFailed:
			c.handleLoadFailed(a)
		default:
			c.emit(ResidencyAction{Action: a})
		}
	}
}

func (c *Core) handleLoadFailed(a residency.LoadFailed) {
	for _, id := range c.queue.TargetFailed(a.Target) {
		c.refuseJob(c.jobs[id], &wire.Refuse{Code: a.Code, Reason: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), Holders: a.Holders})
	}
}

func (c *Core) requestPermit(a residency.RequestPermit) {
	if a.Coordinator == "" || a.Coordinator == c.opts.VM {
		c.issuePermits(c.permits.Step(c.now, loadplan.PermitRequest{Request: a.Request}))
		c.stepResidency(residency.PermitQueued{ID: a.Request.ID})
		return
	}
	if u, ok := c.members.Upstream(a.Coordinator); ok {
		c.emit(RequestPermit{Addr: u.Addr, Request: a.Request})
	}
}

func (c *Core) releasePermit(a residency.ReleasePermit) {
	if a.Coordinator == "" || a.Coordinator == c.opts.VM {
		c.issuePermits(c.permits.Step(c.now, loadplan.PermitRelease{ID: a.ID}))
		return
	}
	c.emit(ReleasePermit{ID: a.ID})
}

// issuePermits delivers the load permits that this agent has issued as the load coordinator.
func (c *Core) issuePermits(permits []loadplan.Permit) {
	for _, permit := range permits {
		if permit.VM == c.opts.VM {
			c.stepResidency(residency.PermitIssued{ID: permit.ID})
			continue
		}
		c.emit(IssuePermit{ID: permit.ID})
	}
}

// handleObjectRead passes the result of a read to the state machine that requested it.
func (c *Core) handleObjectRead(ev ObjectRead) {
	missing := errors.Is(ev.Err, store.ErrNotFound)
	if service, ok := ownersService(ev.Key); ok {
		c.handleOwnersRead(service, ev, missing)
		return
	}
	switch ev.Key {
	case store.KeyConfig:
		switch {
		case ev.Err == nil:
			c.applyStoredConfig(ev.Object, ev.Document)
		case missing:
			c.stepConfig(confsync.StoreEmpty{})
		default:
			c.stepConfig(confsync.StoreDown{})
		}
	case c.quarantineList.key:
		if ev.Err == nil {
			c.mergeStoredList(ev.Object)
		}
		c.quarantineList.handleRead(c.now, ev.Object, ev.Err)
	case c.ownRecord.key:
		c.ownRecord.handleRead(c.now, ev.Object, ev.Err)
	default:
		r := residency.ObjectRead{Key: ev.Key, Version: ev.Object.Version, Value: ev.Object.Value, Err: ev.Err}
		if missing {
			r.Err = nil
		}
		c.stepResidency(r)
	}
}

func (c *Core) handleOwnersRead(service string, ev ObjectRead, missing bool) {
	read := once.OwnersRead{Service: service, Version: ev.Object.Version, Err: ev.Err}
	if missing {
		read.Err = nil
	}
	if ev.Err == nil {
		read.Owners, read.Err = once.Decode(ev.Object.Value)
		for _, slot := range read.Owners.Slots {
			if slot.Owner != "" {
				c.members.RecordMention(c.now, slot.Owner)
			}
		}
	}
	c.stepOnce(read)
}

func (c *Core) mergeStoredList(o store.Object) {
	entries, err := quarantine.Decode(o.Value)
	if err != nil {
		c.emit(LogChange{Message: "quarantine list ignored", Err: err})
		return
	}
	c.mergeQuarantine(entries)
}

func (c *Core) handleObjectWritten(ev ObjectWritten) {
	if service, ok := ownersService(ev.Key); ok {
		c.stepOnce(once.OwnersWritten{Service: service, Expect: ev.Expect, Version: ev.Version, Err: ev.Err})
		return
	}
	switch ev.Key {
	case c.quarantineList.key:
		c.quarantineList.handleWritten(c.now, ev.Value, ev.Version, ev.Err)
	case c.ownRecord.key:
		c.ownRecord.handleWritten(c.now, ev.Value, ev.Version, ev.Err)
		if ev.Err == nil { // do not wait for the watch, which reports the write seconds later
			c.applyRecord(store.Object{Key: ev.Key, Version: ev.Version, Value: ev.Value})
			c.updateMembers()
		}
	default:
		c.stepResidency(residency.ObjectWritten{Key: ev.Key, Version: ev.Version, Err: ev.Err})
	}
}

// handleObjectChanged passes a change reported by the watch to the state machines concerned.
func (c *Core) handleObjectChanged(o store.Object, d *config.Document) {
	if service, ok := ownersService(o.Key); ok {
		if !o.Deleted {
			c.handleOwnersRead(service, ObjectRead{Key: o.Key, Object: o}, false)
		}
		return
	}
	switch o.Key {
	case store.KeyConfig:
		if !o.Deleted {
			c.applyStoredConfig(o, d)
		}
	case c.quarantineList.key:
		if !o.Deleted {
			c.mergeStoredList(o)
		}
		c.quarantineList.apply(o)
	case c.ownRecord.key:
		c.ownRecord.apply(o)
		c.applyRecord(o)
	default:
		c.applyRecord(o)
		r := residency.ObjectRead{Key: o.Key, Version: o.Version, Value: o.Value}
		if o.Deleted {
			r.Value = nil
		}
		if isGrantKey(o.Key) {
			c.stepResidency(r)
		}
	}
}

// applyStoredConfig applies config/current. The document d is the decoded value, or nil if it was not decoded yet.
func (c *Core) applyStoredConfig(o store.Object, d *config.Document) {
	if d != nil {
		c.stepConfig(confsync.DocumentReceived{Document: d})
		return
	}
	c.stepConfig(confsync.EnvelopeReceived{Value: o.Value})
}

func (c *Core) applyRecord(o store.Object) {
	if err := c.members.ApplyObject(o); err != nil {
		c.emit(LogChange{Message: "upstream record ignored", Err: err})
	}
}

// handlePeerObjects applies the agents' records from peer copies. Grants and key slots are only read from the store: an
// outdated copy without this VM's entry would unload a model that is in use, and would release memory that a load
// ordered by an earlier process may still occupy.
func (c *Core) handlePeerObjects(objects []store.Object) {
	for _, o := range objects {
		c.applyRecord(o)
	}
	c.updateMembers()
}

func (c *Core) handleVMs(ev VMsRead) {
	c.members.ApplyVMs(ev.StartedAt, ev.VMs)
	c.updateBootstrapPeers(ev.VMs)
	c.stepResidency(residency.VMsRead{StartedAt: ev.StartedAt, VMs: ev.VMs})
	c.updateMembers()
	if c.members.Leaving(c.opts.VM) {
		c.drain(true)
	}
}

// updateMembers passes the list of live agents to the state machines.
func (c *Core) updateMembers() {
	var group, models []string
	for _, u := range c.members.Candidates() {
		if u.Group == c.opts.Group {
			group = append(group, u.VM)
		}
		if u.Kind == config.GroupModels {
			models = append(models, u.VM)
		}
	}
	c.stepOnce(once.Members{Live: group, Gone: c.members.GoneVMs()})
	c.stepResidency(residency.Candidates{VMs: models})
}

// updateBootstrapPeers selects the peers that a starting process queries for the configuration and the store's objects.
// During an outage of the store no agent's record can be read, so the addresses come from the VM list and the port,
// which is the same on all VMs. Each read of the list results in another order, because the peers queried first may be
// entry VMs or not reply.
func (c *Core) updateBootstrapPeers(vms []vmlist.VM) {
	if c.config.Version() != 0 && c.storeListed {
		return
	}
	_, port, _ := net.SplitHostPort(c.opts.Addr)
	addrs := slices.Clone(c.opts.Peers)
	for _, vm := range vms {
		if vm.ID != c.opts.VM {
			addrs = append(addrs, net.JoinHostPort(vm.Addr, port))
		}
	}
	slices.Sort(addrs)
	key := c.opts.Incarnation + c.now.String()
	addrs = loadplan.Rank(key, slices.Compact(addrs))
	c.bootstrapPeers = slices.Clone(addrs[:min(len(addrs), confsync.MaxPeers)])
	if c.config.Version() == 0 {
		c.stepConfig(confsync.PeersUpdated{Addrs: addrs})
	}
}
