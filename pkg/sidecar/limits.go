package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

// limitSummaryInterval is the time between two log lines on the state of a limit that does not change.
const limitSummaryInterval = 10 * time.Second

// maxLimitRouters bounds the routers whose addresses are kept.
const maxLimitRouters = 1024

// limits keeps the rates that upstreams name: that of the engine beside the sidecar, and those of plain upstreams for
// which it ranks first. Package upstreamlimit decides.
type limits struct {
	agent *Agent
	wake  chan struct{} // signals that the time of the next token has changed

	mu      sync.Mutex // guards the fields below
	holder  *upstreamlimit.Holder
	own     upstreamlimit.Instance // the engine beside the sidecar
	routers map[string]netip.AddrPort
	// ranked is whether this sidecar ranks first for an upstream of the list, as found out at rankedAt.
	ranked   map[string]bool
	rankedAt boottime.Instant
	// logged is the limit of each upstream as logged last.
	logged  map[string]float64
	granted map[string]upstreamlimit.Usage // as counted last
	// process is that of the holder and of the sidecar's own requests, by which it tells the holder what the answers with
	// the engine's report say, and seq numbers them.
	process uint64
	start   boottime.Instant
	seq     uint64
	// reportedPerS is what a report has named last, reportedAt when, 0 for never, and toldAt when the holder was told.
	reportedPerS       float64
	reportedAt, toldAt boottime.Instant
	// summaryAt is when the state of all limits was last logged.
	summaryAt boottime.Instant
}

func newLimits(a *Agent) *limits {
	now, process := boottime.Now(), quota.NewProcess()
	return &limits{agent: a, wake: make(chan struct{}, 1), holder: upstreamlimit.NewHolder(now, process), process: process, start: now,
		routers: map[string]netip.AddrPort{}, ranked: map[string]bool{}, logged: map[string]float64{}, granted: map[string]upstreamlimit.Usage{}}
}

// rankRetention is how long a rank is used: it takes a hash for each listed engine, and each router asks several times a
// second.
const rankRetention = 500 * time.Millisecond

// holds reports whether this sidecar keeps the limit of the upstream, and whether no other one can.
func (l *limits) holds(id string) (holds, sole bool) {
	l.mu.Lock()
	now := boottime.Now()
	if now.Sub(l.rankedAt) >= rankRetention {
		l.rankedAt = now
		clear(l.ranked)
	}
	own := l.own.ID
	holds, known := l.ranked[id]
	l.mu.Unlock()
	switch {
	case id == own:
		return true, true
	case known:
		return holds, false
	}
	holds, listed := l.ranksFirst(id)
	if listed { // others can be named in any number
		l.mu.Lock()
		l.ranked[id] = holds
		l.mu.Unlock()
	}
	return holds, false
}

// ranksFirst reports whether this sidecar ranks first for a plain upstream of the list.
func (l *limits) ranksFirst(id string) (first, listed bool) {
	a := l.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	u, listed := a.list.byID[id]
	if !listed || a.config == nil || a.config.Services[u.Service].Engine != nil {
		return false, listed
	}
	var addresses []string
	for _, e := range a.list.byID {
		if a.config.Services[e.Service].Engine != nil && !e.Draining {
			addresses = append(addresses, e.Address)
		}
	}
	return upstreamlimit.First(id, addresses) == a.settings.Address, true
}

// handle applies a router's message.
func (l *limits) handle(from netip.AddrPort, r *upstreamlimit.Request) {
	holds, sole := l.holds(r.Instance.ID)
	if !holds {
		l.agent.log.Request("limit request for an upstream that is not held", "router", r.Router, "upstream", r.Instance.ID)
		return
	}
	l.mu.Lock()
	if _, known := l.routers[r.Router]; !known && len(l.routers) >= maxLimitRouters {
		clear(l.routers) // the live ones ask again
	}
	l.routers[r.Router] = from
	out := l.holder.Handle(boottime.Now(), r, sole)
	l.mu.Unlock()
	l.send(out)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *limits) send(out []upstreamlimit.Outgoing) {
	for _, o := range out {
		l.mu.Lock()
		to, known := l.routers[o.Router]
		l.mu.Unlock()
		if !known { // the sidecar's own request, or one of a router that has not asked since
			continue
		}
		if err := l.agent.socket.Send(to, peer.Message{LimitGrant: o.Grant}); err != nil {
			l.agent.log.Request("message not sent", "err", err)
		}
	}
}

// setInstance tells which process of the engine reports.
func (l *limits) setInstance(id string, startedUnixMS int64) {
	if id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := (upstreamlimit.Instance{ID: id, StartedUnixMS: startedUnixMS}); i != l.own {
		if l.own.ID != "" && l.own.ID != i.ID {
			l.holder.Forget(l.own.ID)
		}
		l.own, l.reportedAt = i, 0
		l.holder.SetInstance(boottime.Now(), i)
	}
}

const (
	// reportNoticeInterval is the time between two notices to the holder of a limit that the engine's reports go on naming.
	reportNoticeInterval = time.Second
	// reportEndTime is how long after the last report with a limit the holder is told of reports without one: the order of
	// two answers within some milliseconds is not certain to it.
	reportEndTime = 2 * time.Second
)

// observeReport records what the answer with the engine's report says about its limit. Engines may name it in answers to
// requests only, so an answer without it ends a limit only if an earlier one has named it.
func (l *limits) observeReport(kind upstreamlimit.Kind, perS float64, sentAt boottime.Instant) {
	l.mu.Lock()
	now := boottime.Now()
	var out []upstreamlimit.Outgoing
	if l.reportCounts(now, kind, perS) {
		l.seq++
		l.toldAt = now
		fact := upstreamlimit.Fact{Kind: kind, N: perS, SentMS: now.Sub(sentAt).Milliseconds() + 1}
		out = l.holder.Handle(now, &upstreamlimit.Request{Router: "sidecar " + l.agent.settings.Node, Process: l.process, Instance: l.own, Seq: l.seq, Fact: fact,
			Holder: l.process, EchoMS: now.Sub(l.start).Milliseconds()}, true)
	}
	l.mu.Unlock()
	l.send(out)
}

// reportCounts reports whether the holder is to be told what a report says. The caller holds the lock.
func (l *limits) reportCounts(now boottime.Instant, kind upstreamlimit.Kind, perS float64) bool {
	switch {
	case l.own.ID == "", kind == upstreamlimit.Unseen:
		return false
	case kind == upstreamlimit.Absent:
		return l.reportedAt != 0 && now.Sub(l.reportedAt) <= reportEndTime
	}
	repeated := l.reportedAt != 0 && perS == l.reportedPerS
	l.reportedPerS, l.reportedAt = perS, now
	return !repeated || now.Sub(l.toldAt) >= reportNoticeInterval
}

// announcements returns the limits in force, for the reports to the routers.
func (l *limits) announcements() []upstreamlimit.Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Announcements(boottime.Now())
}

// run sends the tokens that come due until ctx ends.
func (l *limits) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	review := time.NewTicker(time.Second)
	defer review.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		case <-review.C:
			l.agent.guard.Do("review of limits", l.review)
		}
		next := time.Second
		l.agent.guard.Do("limits of upstreams", func() {
			l.mu.Lock()
			now := boottime.Now()
			out := l.holder.Due(now)
			next = l.holder.Next(now).Sub(now)
			l.mu.Unlock()
			l.send(out)
		})
		timer.Reset(max(time.Millisecond, next))
	}
}

// review logs limits that have come, changed or ended, and updates the metrics.
func (l *limits) review() {
	l.mu.Lock()
	now := boottime.Now()
	usages, summary := l.holder.Usages(now), now.Sub(l.summaryAt) >= limitSummaryInterval
	if summary {
		l.summaryAt = now
	}
	seen := map[string]bool{}
	type change struct {
		usage  upstreamlimit.Usage
		before float64
	}
	var changes []change
	for _, u := range usages {
		seen[u.Instance.ID] = true
		if before, known := l.logged[u.Instance.ID]; !known || before != u.N || summary {
			changes = append(changes, change{u, before})
			l.logged[u.Instance.ID] = u.N
		}
		last := l.granted[u.Instance.ID]
		l.granted[u.Instance.ID] = u
		if scope := l.agent.settings.Scope; scope != nil && u.Granted >= last.Granted {
			tagged := scope.Tagged(map[string]string{"upstream": u.Instance.ID})
			tagged.Counter("limit_granted_total").Inc(int64(u.Granted - last.Granted))
			tagged.Gauge("limit_per_second").Update(u.Rate)
			tagged.Gauge("limit_level").Update(u.Level)
			tagged.Gauge("limit_waiting").Update(float64(u.Waiting))
		}
	}
	var ended []string
	for id := range l.logged {
		if !seen[id] {
			ended = append(ended, id)
			delete(l.logged, id)
			delete(l.granted, id)
		}
	}
	l.mu.Unlock()
	for _, c := range changes {
		u := c.usage
		l.agent.log.State("limit of upstream is kept", "upstream", u.Instance.ID, "per_s", u.N, "before_per_s", c.before, "rate_per_s", u.Rate,
			"level", u.Level, "waiting", u.Waiting, "granted", u.Granted, "returned", u.Returned, "spent", u.Spent)
	}
	for _, id := range ended {
		l.agent.log.State("limit of upstream is no longer kept", "upstream", id)
	}
}
