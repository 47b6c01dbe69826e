package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

// aheadHold is how long a token that was asked for ahead is kept for the next request. After it others can use it.
const aheadHold = upstreamlimit.Validity / 2

// aheadReserve is the validity that such a token must have left when it is given back: less, and no other router can use
// it in time.
const aheadReserve = 150 * time.Millisecond

// Limits keeps the rates that upstreams name, and this router's tokens. Package upstreamlimit decides. It implements
// dispatch.RateLimits, so the lock of the core may be held when its own is taken, never the other way round.
type Limits struct {
	core  *Core
	log   *eventlog.Log
	scope tally.Scope
	wake  chan struct{}
	// limited is the number of upstreams with a limit.
	limited atomic.Int32

	mu sync.Mutex // guards the fields below
	// send sends a message to the sidecar beside the upstream at the address; nil while messages are not exchanged.
	send    func(address string, m peer.Message)
	balance *upstreamlimit.Balance
	// known are the upstreams that have, or have had until lately, a limit.
	known   map[string]*knownLimit
	waiting map[uint64]chan *upstreamlimit.Token
	counted upstreamlimit.Stats
	// summary is the state of the counts at the last summary, and summaryAt its time.
	summary   upstreamlimit.Stats
	summaryAt boottime.Instant
	aheadUsed uint64 // tokens asked for ahead that a request has used
}

// knownLimit is an upstream with a limit.
type knownLimit struct {
	instance upstreamlimit.Instance
	perS     float64 // in force, as logged last
	silent   bool    // as logged last
	named    bool    // an answer to this router has named the limit
	// ahead is the wait for a token that no request holds, 0 if there is none, and ready the token that it has brought.
	ahead   uint64
	ready   *upstreamlimit.Token
	readyAt boottime.Instant
}

// NewLimits returns the limits of the router. Run must be called for requests that wait.
func NewLimits(router string, core *Core, log *eventlog.Log, scope tally.Scope) *Limits {
	l := &Limits{core: core, log: log, scope: scope, wake: make(chan struct{}, 1), balance: upstreamlimit.NewBalance(router, quota.NewProcess()),
		known: map[string]*knownLimit{}, waiting: map[uint64]chan *upstreamlimit.Token{}}
	core.Do(func(s *dispatch.State) { s.RateLimits = l })
	return l
}

// SetLimits makes the gateway keep the limits. It must be called before the first request.
func (g *Gateway) SetLimits(l *Limits) { g.limits = l }

// SetLimits passes the agents' messages on limits to l, whose own are sent through the exchange. It must be called before
// Run.
func (p *Peers) SetLimits(l *Limits) {
	p.limits = l
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send = p.sendMessage
}

// Run sends the messages that are due and ends the waits of requests until ctx ends.
func (l *Limits) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		case <-timer.C:
		}
		timer.Reset(max(time.Millisecond, l.flush()))
	}
}

// notify makes Run look for what is due.
func (l *Limits) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// flush ends waits, sends the messages that are due and returns the time until the next ones.
func (l *Limits) flush() time.Duration {
	l.mu.Lock()
	now := boottime.Now()
	next := l.returnUnused(now)
	for _, r := range l.balance.Results(now) {
		if ch := l.waiting[r.ID]; ch != nil {
			delete(l.waiting, r.ID)
			ch <- r.Token // has room for the only one
			continue
		}
		l.keepAhead(now, r)
	}
	out, send := l.balance.Messages(now), l.send
	next = min(next, l.balance.Next(now).Sub(now))
	lines := l.review(now)
	l.count()
	l.mu.Unlock()
	for _, line := range lines {
		l.log.State(line.message, line.fields...)
	}
	for _, r := range out {
		l.transmit(r, send)
	}
	return next
}

// returnUnused gives back tokens that were asked for ahead and not used, and returns the time until the next one is.
// The caller holds the lock.
func (l *Limits) returnUnused(now boottime.Instant) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, k := range l.known {
		switch {
		case k.ready == nil:
		case now.Sub(k.readyAt) >= aheadHold || k.ready.Until.Sub(now) <= aheadReserve:
			l.balance.Refund(now, k.ready)
			k.ready = nil
		default:
			next = min(next, aheadHold-now.Sub(k.readyAt), k.ready.Until.Sub(now)-aheadReserve)
		}
	}
	return next
}

// keepAhead keeps a token that was asked for ahead. The caller holds the lock.
func (l *Limits) keepAhead(now boottime.Instant, r upstreamlimit.Result) {
	for _, k := range l.known {
		if k.ahead == r.ID {
			k.ahead, k.ready, k.readyAt = 0, r.Token, now
			return
		}
	}
	l.balance.Refund(now, r.Token) // of an upstream that is not known any more
}

// transmit sends a message to the holder of the upstream's limit. It is not sent if none is known.
func (l *Limits) transmit(r *upstreamlimit.Request, send func(string, peer.Message)) {
	if send == nil {
		return
	}
	address := ""
	l.core.Do(func(s *dispatch.State) { address = s.LimitHolder(time.Now(), r.Instance.ID) })
	if address != "" {
		send(address, peer.Message{LimitRequest: r})
	}
}

// observe records what an answer to the request with the id says about the limit of its upstream.
func (l *Limits) observe(i upstreamlimit.Instance, kind upstreamlimit.Kind, perS float64, id string, sentAt boottime.Instant) {
	l.mu.Lock()
	now := boottime.Now()
	l.balance.Observe(now, i, kind, perS, sentAt)
	isNew := false
	if kind == upstreamlimit.Named {
		l.learn(i)
		isNew = !l.known[i.ID].named
		l.known[i.ID].named = true
	}
	count := l.limited.Load()
	l.mu.Unlock()
	if isNew {
		l.log.State("upstream names a limit", "upstream", i.ID, "per_s", perS, "id", id, "upstreams", count)
	}
	if kind == upstreamlimit.Named || count > 0 {
		l.notify()
	}
}

// learn adds the upstream to the known ones, and reports whether it is new. The caller holds the lock.
func (l *Limits) learn(i upstreamlimit.Instance) bool {
	k := l.known[i.ID]
	if k != nil {
		if i.StartedUnixMS > k.instance.StartedUnixMS {
			k.instance = i
		}
		return false
	}
	l.known[i.ID] = &knownLimit{instance: i}
	l.limited.Store(int32(len(l.known)))
	return true
}

// announced records the limits that a holder's report names, and the number of live routers that it states, 0 if none.
func (l *Limits) announced(all []upstreamlimit.Announcement, routers int) {
	if l == nil || len(all) == 0 && routers == 0 {
		return
	}
	l.mu.Lock()
	now := boottime.Now()
	if routers > 0 {
		l.balance.SetRouters(now, routers)
	}
	var learned []upstreamlimit.Announcement
	for _, a := range all {
		l.balance.Announced(now, a)
		if _, limited := l.balance.Limit(now, a.Instance); limited && l.learn(a.Instance) {
			learned = append(learned, a)
		}
	}
	l.mu.Unlock()
	for _, a := range learned {
		l.log.State("agent reports the limit of an upstream", "upstream", a.Instance.ID, "per_s", a.N)
	}
}

// apply applies a holder's message.
func (l *Limits) apply(g *upstreamlimit.Grant) {
	if l == nil {
		return
	}
	l.mu.Lock()
	applied := l.balance.Apply(boottime.Now(), g)
	if applied && g.N > 0 {
		l.learn(g.Instance)
	}
	l.mu.Unlock()
	if applied {
		l.flush()
		l.notify()
	}
}

// take returns a token for a request to the upstream, or nil.
func (l *Limits) take(i upstreamlimit.Instance) *upstreamlimit.Token {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	if k := l.known[i.ID]; k != nil && k.ready != nil {
		t := k.ready
		k.ready = nil
		if t.Valid(now) && !t.Free {
			l.aheadUsed++
			return t
		}
		l.balance.Refund(now, t)
	}
	t := l.balance.Take(now, i)
	if t == nil {
		l.learn(i)
	}
	return t
}

// sent records that the request with the token is sent now.
func (l *Limits) sent(t *upstreamlimit.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balance.Sent(boottime.Now(), t)
}

// refund takes back a token that was not used.
func (l *Limits) refund(t *upstreamlimit.Token) {
	l.mu.Lock()
	l.balance.Refund(boottime.Now(), t)
	l.mu.Unlock()
	l.notify()
}

// wait starts a wait for a token and returns its id and the channel of the token.
func (l *Limits) wait(i upstreamlimit.Instance, priority int) (uint64, <-chan *upstreamlimit.Token) {
	l.mu.Lock()
	ch := make(chan *upstreamlimit.Token, 1)
	id := l.balance.Wait(boottime.Now(), i, priority)
	l.waiting[id] = ch
	l.mu.Unlock()
	l.flush()
	l.notify()
	return id, ch
}

// cancel ends a wait. A token that has come meanwhile is given back.
func (l *Limits) cancel(id uint64, ch <-chan *upstreamlimit.Token) {
	l.mu.Lock()
	now := boottime.Now()
	delete(l.waiting, id)
	l.balance.Cancel(now, id)
	select {
	case t := <-ch:
		l.balance.Refund(now, t)
	default:
	}
	l.mu.Unlock()
	l.notify()
}
