package peer

import (
	"math"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
)

const (
	// maxCount bounds counts of requests, routers and tokens. It is far above those of a fleet of the design size.
	maxCount = 100_000_000
	// maxOrderMS bounds the expected remaining time of an order in ms: one hour. In a corrupted datagram the time was
	// 10^8 years.
	maxOrderMS = 3_600_000
	// maxWaitMS bounds times of quotas and the age of a report in ms: one hour.
	maxWaitMS = 3_600_000
	// maxAmount bounds rates and amounts of quotas. Beyond it, sums of amounts would not be exact.
	maxAmount = 1e12
	// maxMB bounds amounts of memory in MB.
	maxMB = 1e9
	// maxNameBytes bounds the length of the names of models, adapters, routers and upstreams.
	maxNameBytes = 256
)

// check returns an error that names the first field out of range. Messages come from other processes over a network
// that may corrupt or forge them.
func (m *Message) check() error {
	var c checker
	if d := m.Demand; d != nil {
		c.demand(d)
	}
	if r := m.Report; r != nil {
		c.report(r)
	}
	c.prompts(m)
	if r := m.TurnRequest; r != nil {
		c.turnRequest(r)
	}
	if a := m.TurnAnswer; a != nil {
		c.turnAnswer(a)
	}
	if r := m.QuotaRequest; r != nil {
		c.quotaRequest(r)
	}
	if g := m.QuotaGrant; g != nil {
		c.quotaGrant(g)
	}
	if r := m.LimitRequest; r != nil {
		c.limitRequest(r)
	}
	if g := m.LimitGrant; g != nil {
		c.limitGrant(g)
	}
	if c.field == "" {
		return nil
	}
	return fault.Newf(fault.StepTransport, "", "field %s of the message is out of range", c.field)
}

// checker records the first field that is out of range.
type checker struct{ field string }

func (c *checker) require(ok bool, field string) {
	if !ok && c.field == "" {
		c.field = field
	}
}

func (c *checker) count(field string, values ...int) {
	for _, n := range values {
		c.require(n >= 0 && n <= maxCount, field)
	}
}

func (c *checker) name(field string, values ...string) {
	for _, s := range values {
		c.require(len(s) <= maxNameBytes, field)
	}
}

func (c *checker) amount(field string, values ...float64) {
	for _, v := range values {
		c.require(!math.IsNaN(v) && v >= 0 && v <= maxMB, field)
	}
}

func (c *checker) loadRequests(field string, loadRequests []LoadRequest) {
	for _, r := range loadRequests {
		c.name(field, r.Model, r.Adapter)
		c.count(field, r.Waiting)
	}
}

func (c *checker) adapters(field string, adapters ...placement.Adapter) {
	for _, a := range adapters {
		c.name(field, a.Model, a.Name)
	}
}

func (c *checker) demand(d *Demand) {
	c.require(d.Router != "", "router")
	c.name("router", d.Router, d.Region)
	c.loadRequests("here", d.Here)
	c.loadRequests("anywhere", d.Anywhere)
	c.adapters("used", d.UsedAdapters...)
	c.name("fetching", d.Fetching...)
	c.count("parallel", d.FetchConcurrency)
	c.modelDemand(d.ModelDemand)
	if o := d.Speed; o != nil {
		c.name("speed", o.ID)
		c.require(o.Valid(), "speed")
	}
	for _, usage := range d.ModelUsage {
		c.name("held", usage.Model)
		c.count("held", usage.HigherRanked, usage.Running)
		c.amount("held", float64(usage.Rate))
		for name, n := range usage.Adapters {
			c.name("held", name)
			c.count("held", n)
		}
	}
}

func (c *checker) report(r *Report) {
	c.name("upstream", r.ID, r.Address, r.Service)
	c.require(r.AgeMS >= 0 && r.AgeMS <= maxWaitMS, "age")
	c.require(r.StartedUnixMS >= 0, "born")
	c.count("load", r.Queued, r.Running, r.KVUsed, r.KVTotal, r.Routers)
	c.count("prompts", r.PromptTokens, r.PromptTokensWaiting, r.AskAbove)
	c.amount("room", r.AvailableMemory.FreeMB, r.AvailableMemory.IdleMB, r.AvailableMemory.BusyMB)
	c.require(r.OrderRemainingMS >= 0 && r.OrderRemainingMS <= maxOrderMS, "order")
	c.expectedLoads(r.ExpectedLoads, r.StoreConcurrency)
	for _, q := range r.Quotas {
		c.shard("quotas", q.Shard)
		c.quotaWait("quotas", q.RemainingMS)
	}
	c.limits(r.Limits)
	c.require(r.Speed == nil || r.Speed.Valid(), "speed")
	if r.Order != nil {
		c.name("order", r.Order.Model, r.Order.Adapter)
	}
	if h := r.Holdings; h != nil {
		for _, resident := range h.Models {
			c.name("holdings", resident.Model)
			c.name("holdings", resident.Adapters...)
		}
		c.name("holdings", h.InMemory...)
		c.name("holdings", h.OnDisk...)
	}
}

func (c *checker) shard(field string, shard int) {
	c.require(shard >= 0 && shard < quota.Shards, field)
}

func (c *checker) quotaWait(field string, values ...int64) {
	for _, ms := range values {
		c.require(ms >= 0 && ms <= maxWaitMS, field)
	}
}

// quantity checks amounts and rates of quotas.
func (c *checker) quantity(field string, values ...float64) {
	for _, v := range values {
		c.require(v >= 0 && v <= maxAmount, field) // NaN fails both
	}
}

func (c *checker) quotaRequest(r *quota.Request) {
	c.require(r.Router != "", "router")
	c.name("router", r.Router)
	c.shard("shard", r.Shard)
	for _, t := range r.Tenants {
		c.name("tenant", t.Tenant)
		c.quantity("limit", t.Rate, t.Burst)
		c.quantity("ahead", t.Ahead)
		for _, n := range t.Needs {
			c.quantity("need", n.Amount)
			c.count("need", n.Priority)
			c.quotaWait("need", n.MaxWaitMS)
		}
		for _, ret := range t.Returned {
			c.quantity("returned", ret.Amount)
		}
	}
}

func (c *checker) quotaGrant(g *quota.Grant) {
	c.shard("shard", g.Shard)
	for _, t := range g.Tenants {
		c.name("tenant", t.Tenant)
		c.quantity("ahead", t.Ahead)
		for _, a := range t.Needs {
			c.quotaWait("answer", a.WaitMS, a.RetryMS)
		}
	}
}
