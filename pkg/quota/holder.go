package quota

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// keptGrants is the number of answers that are kept for each router so that a repeated request gets the same one, and
	// grantMemory how long they are kept.
	keptGrants  = 256
	grantMemory = 2 * time.Second
	// routerMemory is how long a router is remembered after its last request.
	routerMemory = 10 * time.Second
	// maxTenants bounds the tenants of a holder, since a forged message can name any.
	maxTenants = 4096
	// nextWrite is the assumed time until the next write of the lease, which allows further grants after the share of
	// the limit for one interval has been granted.
	nextWrite = 100 * time.Millisecond
)

// Holder grants the tokens of the tenants of one shard while its process holds the lease. It addresses uneven load: a
// long request needs a large part of a small tenant's quota at one router, so tokens are kept in one place and given to
// the router that has the request. It is not safe for concurrent use.
type Holder struct {
	shard  int
	epoch  uint64
	window time.Duration
	since  boottime.Instant
	// start is the state that was written when the lease was acquired, at since.
	start    State
	tenants  map[string]*tenant
	routers  map[string]*routerRecord
	prunedAt boottime.Instant
}

// routerRecord is what a holder remembers of a router's process.
type routerRecord struct {
	process uint64
	seenAt  boottime.Instant
	grants  map[uint64]*grantRecord
	order   []uint64 // numbers of grants, oldest first
}

type grantRecord struct {
	at    boottime.Instant
	grant *Grant
	// granted is the amount that can still be returned, by tenant.
	granted map[string]float64
}

// NewHolder returns the holder of a shard that acquired the lease with a write that started at since and stored start.
func NewHolder(since boottime.Instant, shard int, epoch uint64, window time.Duration, start State) *Holder {
	if window <= 0 {
		window = DefaultWindow
	}
	return &Holder{shard: shard, epoch: epoch, window: window, since: since, start: start, prunedAt: since,
		tenants: map[string]*tenant{}, routers: map[string]*routerRecord{}}
}

// Handle answers a router's request. It returns nil for a request that is not for this shard or too old to be answered.
// The caller checks the lease immediately before.
func (h *Holder) Handle(now boottime.Instant, r *Request) *Grant {
	if r.Shard != h.shard {
		return nil
	}
	rec := h.router(now, r)
	if g := rec.grants[r.Number]; g != nil {
		return g.grant
	}
	if len(rec.order) > 0 && r.Number < rec.order[0] {
		return nil // late, and its answer may have been forgotten
	}
	out := &grantRecord{at: now, grant: &Grant{Process: r.Process, Shard: h.shard, Epoch: h.epoch, Number: r.Number}, granted: map[string]float64{}}
	for i := range r.Tenants {
		req := &r.Tenants[i]
		t := h.tenant(now, req)
		if t == nil {
			continue
		}
		t.advance(now)
		for _, id := range req.Cancelled {
			t.remove(pendingKey{r.Router, r.Process, id})
		}
		for _, ret := range req.Returned {
			h.takeBack(rec, t, req.Tenant, ret)
		}
		answer := TenantGrant{Tenant: req.Tenant}
		for _, n := range req.Needs {
			a := t.decide(now, pendingKey{r.Router, r.Process, n.ID}, n)
			if a.Granted {
				out.granted[req.Tenant] += n.Amount
			}
			answer.Needs = append(answer.Needs, a)
		}
		if answer.Ahead = t.grantAhead(now, req.Ahead); answer.Ahead > 0 {
			out.granted[req.Tenant] += answer.Ahead
		}
		out.grant.Tenants = append(out.grant.Tenants, answer)
	}
	rec.keep(now, r.Number, out)
	return out.grant
}

// takeBack adds a returned amount to the tenant's quota again, at most what was granted with the number.
func (h *Holder) takeBack(rec *routerRecord, t *tenant, name string, ret Return) {
	g := rec.grants[ret.Number]
	if g == nil {
		return
	}
	amount := t.granted.remove(g.at, min(ret.Amount, g.granted[name]))
	t.level += amount
	g.granted[name] -= amount
	t.returned += amount
}

func (h *Holder) router(now boottime.Instant, r *Request) *routerRecord {
	if now.Sub(h.prunedAt) > routerMemory {
		h.prunedAt = now
		for name, rec := range h.routers {
			if now.Sub(rec.seenAt) > routerMemory {
				delete(h.routers, name)
			}
		}
	}
	rec := h.routers[r.Router]
	if rec == nil || rec.process != r.Process {
		rec = &routerRecord{process: r.Process, grants: map[uint64]*grantRecord{}}
		h.routers[r.Router] = rec
	}
	rec.seenAt = now
	return rec
}

func (rec *routerRecord) keep(now boottime.Instant, number uint64, g *grantRecord) {
	rec.grants[number] = g
	rec.order = append(rec.order, number)
	slices.Sort(rec.order) // datagrams may overtake each other
	for len(rec.order) > keptGrants || len(rec.order) > 1 && now.Sub(rec.grants[rec.order[0]].at) > grantMemory {
		delete(rec.grants, rec.order[0])
		rec.order = rec.order[1:]
	}
}

// tenant returns the tenant of a request, with the limits of the highest version of the configuration. It returns nil
// if the tenant has no limit or belongs to another shard.
func (h *Holder) tenant(now boottime.Instant, req *TenantRequest) *tenant {
	t := h.tenants[req.Tenant]
	if t == nil {
		if ShardOf(req.Tenant) != h.shard || req.Rate <= 0 || len(h.tenants) >= maxTenants {
			return nil
		}
		t = h.newTenant(now, req.Tenant, Limit{Rate: req.Rate, Burst: req.Burst, Window: h.window})
		t.version = req.Config
		h.tenants[req.Tenant] = t
	}
	if req.Rate > 0 && (req.Config > t.version || t.limit.Rate == 0) {
		t.version = req.Config
		t.setLimit(Limit{Rate: req.Rate, Burst: req.Burst, Window: h.window})
	}
	return t
}

// newTenant returns a tenant with what earlier holders granted and may have granted.
func (h *Holder) newTenant(now boottime.Instant, name string, limit Limit) *tenant {
	t := &tenant{granted: newWindow(h.window), cap: capShare * limit.Max(), pending: map[pendingKey]*pending{}, advancedAt: now, limit: limit}
	if stored, listed := h.start.Tenants[name]; listed && now.Sub(h.since) <= t.granted.length { // Snapshot lists it as long
		t.cap = stored.Cap
		t.granted.restore(h.since, stored.Granted)
	} else {
		for _, age := range slices.Backward(h.start.Unlisted) { // the earliest first
			t.granted.restore(h.since, []Bin{{AgeMS: age, Amount: t.cap}})
		}
	}
	t.granted.advance(now)
	// A tenant that has sent nothing may use a good part of its window at once. Use below its rate takes the level down to
	// the size of the bucket, to which it is refilled.
	t.level = min(initialShare*limit.Max(), limit.Max()-t.granted.sum)
	return t
}

// Snapshot returns the state to write with the lease, and a mark that Confirm takes once the write is confirmed.
func (h *Holder) Snapshot(now boottime.Instant, release bool) (State, Mark) {
	state, mark := State{Released: release, Tenants: map[string]TenantState{}}, Mark{}
	if aged := h.start.aged(now.Sub(h.since), h.window); len(aged.Tenants)+len(aged.Unlisted) > 0 {
		state.Unlisted = aged.Unlisted
		for name := range aged.Tenants {
			if h.tenants[name] == nil { // no request has named its limit yet
				state.Tenants[name] = aged.Tenants[name]
			}
		}
	}
	for name, t := range h.tenants {
		t.advance(now)
		limit := math.Ceil(t.nextCap())
		state.Tenants[name] = TenantState{Granted: t.granted.bins(now), Cap: limit}
		mark[name] = tenantMark{total: t.total, cap: limit}
	}
	return state, mark
}

// Mark is what had been granted to each tenant at a snapshot.
type Mark map[string]tenantMark

type tenantMark struct{ total, cap float64 }

// Confirm records that the snapshot with the mark is in the store.
func (h *Holder) Confirm(mark Mark) {
	for name, m := range mark {
		if t := h.tenants[name]; t != nil {
			t.confirmedTotal, t.cap = max(t.confirmedTotal, m.total), max(t.cap, m.cap)
		}
	}
}

// NeedsWrite reports whether a tenant has used much of what may be granted before the next write of the lease.
func (h *Holder) NeedsWrite() bool {
	for _, t := range h.tenants {
		if t.limit.Rate > 0 && (t.total-t.confirmedTotal > t.cap*3/4 || t.wantedCap > t.cap) {
			return true
		}
	}
	return false
}

// Usage is the state of a tenant's quota, for metrics.
type Usage struct {
	Tenant string
	// Epoch is that of the lease under which the counts were made.
	Epoch uint64
	// Max is what may run within the window, and Granted what has been granted within it.
	Max, Granted float64
	// Waiting is the number of needs that wait for tokens.
	Waiting int
	// These count needs granted, told to wait and refused, and all decisions, since the lease was acquired.
	Grants, Waits, Refusals, Decided uint64
	// Returned is the amount that routers have returned unused.
	Returned float64
}

// Usages returns the state of the quotas.
func (h *Holder) Usages(now boottime.Instant) []Usage {
	var out []Usage
	for name, t := range h.tenants {
		t.advance(now)
		if t.limit.Rate > 0 {
			out = append(out, Usage{Tenant: name, Epoch: h.epoch, Max: t.limit.Max(), Granted: t.granted.sum, Waiting: len(t.pending), Returned: t.returned,
				Grants: t.grants, Waits: t.waits, Refusals: t.refusals, Decided: t.grants + t.waits + t.refusals})
		}
	}
	return out
}

// share returns a number from 0 to 1 that differs between requests.
func (k pendingKey) share() float64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], k.process)
	binary.LittleEndian.PutUint64(raw[8:], k.id)
	return float64(xxhash.Sum64(raw[:])>>11) / (1 << 53)
}
