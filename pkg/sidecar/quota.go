package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// quotaTick is the time between two checks of the leases, and quotaIdleTick that time in a process that neither holds
	// nor follows one.
	quotaTick, quotaIdleTick = 50 * time.Millisecond, 500 * time.Millisecond
	// quotaStartTime is how long a process checks every quotaTick after its start.
	quotaStartTime = 10 * time.Second
	// quotaRankInterval is the time between two computations of the process's ranks.
	quotaRankInterval = time.Second
	// quotaReadTimeout bounds one read of the lease objects, and quotaReleaseTimeout the writes at the end of the process.
	quotaReadTimeout, quotaReleaseTimeout = 400 * time.Millisecond, 500 * time.Millisecond
	// quotaNotices is the number of announcements of a new holder to each router, since datagrams can be lost, and
	// quotaNoticeInterval the time between them.
	quotaNotices, quotaNoticeInterval = 3, 50 * time.Millisecond
	// quotaAnnounceInterval is the time without a regular report, as when the engine does not report, after which a holder
	// announces itself.
	quotaAnnounceInterval = time.Second
)

// QuotaStore is the part of the platform's store that the quotas use.
type QuotaStore interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	WriteIf(ctx context.Context, kind, name string, spec any, expect uint64) (uint64, platform.Object, error)
	// Era returns the latest known era of the store. It rises when the store is restored from a copy.
	Era() uint64
}

// quotas are the shards of the tenants' quotas that this process holds or may take over. Package quota decides.
type quotas struct {
	agent        *Agent
	reads        QuotaStore // may return old data
	writes       QuotaStore
	scope        tally.Scope
	log          *eventlog.Log
	calls        sync.WaitGroup
	mu           sync.Mutex // guards the fields below
	leases       [quota.Shards]*quota.Lease
	held         [quota.Shards]uint64 // epoch that was last logged; 0 for none
	routers      map[string]quotaRouter
	reading      bool
	announcedAt  time.Time // last report to the routers that contained the announcements
	counted      map[string]quota.Usage
	unauthorized uint64 // requests received without a lease
}

// quotaRouter is where a router is and when its last message arrived.
type quotaRouter struct {
	address    netip.AddrPort
	receivedAt time.Time
}

// EnableQuotas makes the process a candidate for the shards of the tenants' quotas, counted over the window. It must be
// called before Receive and Run.
func (a *Agent) EnableQuotas(reads, writes QuotaStore, window time.Duration, scope tally.Scope) {
	q := &quotas{agent: a, reads: reads, writes: writes, scope: scope, log: a.log, routers: map[string]quotaRouter{}, counted: map[string]quota.Usage{}}
	process := quota.NewProcess()
	for shard := range q.leases {
		q.leases[shard] = quota.NewLease(shard, a.settings.Node, process, window)
	}
	a.quotas = q
}

// RunQuotas follows and renews the leases until ctx ends, and then releases them. While no tenant of the configuration
// has a limit, it makes no call.
func (a *Agent) RunQuotas(ctx context.Context) {
	q := a.quotas
	defer q.calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var ranks [quota.Shards]int
	var rankedAt, countedAt time.Time
	started, ranked := time.Now(), false
	for {
		select {
		case <-ctx.Done():
			q.release()
			return
		case <-timer.C:
		}
		if !ranked || time.Since(rankedAt) >= quotaRankInterval {
			rankedAt = time.Now()
			ranks, ranked = a.quotaRanks()
		}
		interval := quotaIdleTick
		if time.Since(started) < quotaStartTime { // a restarted holder takes its leases back at once
			interval = quotaTick
		}
		a.guard.Do("quotas", func() {
			if q.step(ctx, ranks) {
				interval = quotaTick
			}
			if time.Since(countedAt) >= time.Second {
				countedAt = time.Now()
				q.count()
			}
		})
		timer.Reset(interval)
	}
}

// noRank is the rank of a process that does not follow a shard.
const noRank = 1 << 20

// quotaRanks returns the place of the process among the candidates for each shard, and whether the configuration and the
// list of upstreams are known. Candidates are the sidecars of all listed engines; the shards without limited tenants have
// none.
func (a *Agent) quotaRanks() (ranks [quota.Shards]int, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for shard := range ranks {
		ranks[shard] = noRank
	}
	if a.config == nil || a.list.byID == nil {
		return ranks, false
	}
	var limited [quota.Shards]bool
	for i := range a.config.Tenants() {
		if t := &a.config.Tenants()[i]; t.Limited() {
			limited[quota.ShardOf(t.Name)] = true
		}
	}
	if limited == [quota.Shards]bool{} {
		return ranks, true
	}
	seen, addresses, listed, draining := map[string]bool{}, []string(nil), false, false
	for _, u := range a.list.byID {
		listed = listed || u.Address == a.settings.Address
		draining = draining || u.Draining && u.Address == a.settings.Address
		if a.config.Services[u.Service].Engine == nil || seen[u.Address] {
			continue
		}
		seen[u.Address] = true
		if u.Address != a.settings.Address && !u.Draining {
			addresses = append(addresses, u.Address)
		}
	}
	if !listed {
		// Routers send no messages to a sidecar whose engine is not listed, so it cannot announce what it holds. Its leases
		// end within LeaseTime, since they are not renewed.
		return ranks, true
	}
	for shard := range ranks {
		if limited[shard] {
			ranks[shard] = quota.Rank(shard, a.settings.Address, addresses)
			if draining { // holds what it has until it stops, but takes nothing over
				ranks[shard] += quota.Candidates + quota.Reserves
			}
		}
	}
	return ranks, true
}

// step starts the calls of the store that are due. It reports whether the process holds or follows a shard.
func (q *quotas) step(ctx context.Context, ranks [quota.Shards]int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, active, read := boottime.Now(), false, false
	for shard, l := range q.leases {
		q.logHeld(now, shard)
		if ranks[shard] == noRank {
			continue
		}
		candidate := ranks[shard] < quota.Candidates+quota.Reserves
		active = active || candidate || l.Holder(now) != nil
		if w, ok := l.Write(now, ranks[shard]); ok {
			q.calls.Go(func() { q.write(context.WithoutCancel(ctx), quota.WriteTimeout, shard, w) })
		}
		read = read || l.NeedsFirstRead(now) || candidate && now >= l.NextRead(now, ranks[shard])
	}
	if read && !q.reading {
		q.reading = true
		q.calls.Go(func() { q.read(ctx) })
	}
	if q.anyHeld(now) && time.Since(q.announcedAt) >= quotaAnnounceInterval {
		q.announce(now)
	}
	return active
}

func (q *quotas) anyHeld(now boottime.Instant) bool {
	for _, l := range q.leases {
		if l.Holder(now) != nil {
			return true
		}
	}
	return false
}

// read reads the lease objects of all shards with one call.
func (q *quotas) read(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, quotaReadTimeout)
	defer cancel()
	objects, revision, err := q.reads.List(callCtx, platform.KindQuotas)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reading = false
	now := boottime.Now()
	byName := map[string]platform.Object{}
	for _, o := range objects {
		byName[o.Name] = o
	}
	for shard, l := range q.leases {
		if stored, ok := q.decode(byName[strconv.Itoa(shard)], platform.Era(revision)); err == nil && ok {
			l.Read(now, stored)
		} else {
			l.ReadFailed(now)
		}
	}
	if err != nil {
		q.log.Request("quota leases not read", "err", err)
	}
}

// decode decodes a lease object that was read in the era. One that cannot be decoded is not taken over: what its holder
// granted is not known.
func (q *quotas) decode(o platform.Object, era uint64) (quota.Stored, bool) {
	if o.Revision == 0 {
		return quota.Stored{Era: era}, true
	}
	s := quota.Stored{Revision: o.Revision, Era: platform.Era(o.Revision)}
	if err := json.Unmarshal(o.Spec, &s.Spec); err != nil {
		q.log.Request("quota lease is invalid", "shard", o.Name, "revision", o.Revision, "err", err)
		return s, false
	}
	return s, true
}

// write makes a conditional write of a lease.
func (q *quotas) write(ctx context.Context, timeout time.Duration, shard int, w quota.LeaseWrite) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision, current, err := q.writes.WriteIf(callCtx, platform.KindQuotas, strconv.Itoa(shard), w.Spec, w.Expect)
	q.mu.Lock()
	defer q.mu.Unlock()
	now, l, acquired := boottime.Now(), q.leases[shard], false
	switch stored, ok := q.decode(current, q.writes.Era()); {
	case err == nil:
		acquired = l.Written(now, w, revision)
	case errors.Is(err, store.ErrConflict) && ok:
		acquired = l.Conflicted(now, w, stored)
	default:
		l.Failed(now)
		q.log.Request("quota lease not written", "shard", shard, "seq", w.Spec.Seq, "err", err)
	}
	q.logHeld(now, shard)
	if !acquired {
		return
	}
	q.announce(now)
	for n := range quotaNotices - 1 {
		time.AfterFunc(time.Duration(n+1)*quotaNoticeInterval, func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.announce(boottime.Now())
		})
	}
}

// logHeld logs that a lease was acquired or has ended.
func (q *quotas) logHeld(now boottime.Instant, shard int) {
	epoch, left := q.leases[shard].Epoch(now)
	if epoch == q.held[shard] {
		return
	}
	if q.held[shard] != 0 {
		q.log.State("quota shard is no longer held", "shard", shard, "epoch", q.held[shard])
	}
	if epoch != 0 {
		q.log.State("quota shard acquired", "shard", shard, "epoch", epoch, "left_ms", left.Milliseconds())
	}
	q.held[shard] = epoch
	q.scope.Tagged(map[string]string{"shard": strconv.Itoa(shard)}).Gauge("quota_epoch").Update(float64(epoch))
}

// release gives the leases up, so that other processes need not wait for their end. Writes in progress end before: the
// release expects the revision that they leave.
func (q *quotas) release() {
	q.calls.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	for shard, l := range q.leases {
		if w, ok := l.Release(boottime.Now()); ok {
			q.calls.Go(func() { q.write(context.Background(), quotaReleaseTimeout, shard, w) })
		}
	}
}

// recordRouter records the address of a router, for announcements.
func (q *quotas) recordRouter(from netip.AddrPort, d *peer.Demand) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if d.Leaving {
		delete(q.routers, d.Router)
		return
	}
	now := time.Now()
	if _, known := q.routers[d.Router]; !known && len(q.routers) >= maxRouters {
		for name, r := range q.routers {
			if now.Sub(r.receivedAt) > routerTimeout {
				delete(q.routers, name)
			}
		}
		if len(q.routers) >= maxRouters {
			return // messages carry no proof of their sender
		}
	}
	q.routers[d.Router] = quotaRouter{address: from, receivedAt: now}
}

// announcements returns the shards that the process holds, for a report to the routers.
func (q *quotas) announcements() []quota.Announcement {
	if q == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.announcedAt = time.Now()
	return q.list(boottime.Now())
}

func (q *quotas) list(now boottime.Instant) []quota.Announcement {
	var out []quota.Announcement
	for shard, l := range q.leases {
		if epoch, left := l.Epoch(now); left > 0 {
			out = append(out, quota.Announcement{Shard: shard, Epoch: epoch, RemainingMS: left.Milliseconds()})
		}
	}
	return out
}

// announce sends the announcements to all live routers. The caller holds the lock.
func (q *quotas) announce(now boottime.Instant) {
	report := &peer.Report{Quotas: q.list(now)}
	if len(report.Quotas) == 0 {
		return
	}
	q.announcedAt = time.Now()
	for name, r := range q.routers {
		if time.Since(r.receivedAt) > routerTimeout {
			delete(q.routers, name)
		} else if err := q.agent.socket.Send(r.address, peer.Message{Report: report}); err != nil {
			q.log.Request("message not sent", "err", err)
		}
	}
}

// handle answers a router's request if the process holds the shard.
func (q *quotas) handle(from netip.AddrPort, r *quota.Request) {
	if q == nil {
		return
	}
	g := q.grant(r)
	if g == nil {
		return
	}
	if err := q.agent.socket.Send(from, peer.Message{QuotaGrant: g}); err != nil {
		q.log.Request("message not sent", "err", err)
	}
}

// grant returns the answer to a request. The lease is checked immediately before.
func (q *quotas) grant(r *quota.Request) *quota.Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	h := q.leases[r.Shard].Holder(now)
	if h == nil {
		q.unauthorized++
		return nil
	}
	return h.Handle(now, r)
}
