package upstreamlimit

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// repeatInterval is the time after which an unanswered request is repeated: two round trips to another region.
	repeatInterval = 60 * time.Millisecond
	// giveUpAfter is the time after which a request is replaced by a new one: tokens for it would soon end.
	giveUpAfter = Validity / 2
	// minInterval is the least time between two new requests for one upstream, and soon the longest wait for the next token
	// with which a further waiting request is worth a message of its own.
	minInterval, soon = 30 * time.Millisecond, giveUpAfter
	// minUse is the validity that a token must have left to be given to a request.
	minUse = 20 * time.Millisecond
	// returnAfter is how long an unused token is kept before it is returned, and minReturn the validity it must have left.
	returnAfter, minReturn = 30 * time.Millisecond, 100 * time.Millisecond
	// confirmInterval and endInterval are the times between reports of a naming that changes nothing, and of an answer
	// without a limit while the holder still has one.
	confirmInterval, endInterval = time.Second, giveUpAfter
	// maxAccounts bounds the upstreams that reports can name.
	maxAccounts = 4096
	// forgetAfter is the time after which a limit ends that neither an answer nor a holder has named; as much again is
	// added at random, so that the routers don't rise together.
	forgetAfter = 30 * time.Minute
)

// Token is the right to send one request to an upstream. It is checked again right before the send.
type Token struct {
	// Until is the end of the right; of one for an upstream without a limit too, since a limit may come.
	Until boottime.Instant
	// Free: no limit was known. Slot: no holder answered, and it is from the router's own share.
	Free, Slot bool

	id  string
	seq uint64 // of the request that it was granted for
}

// Valid reports whether the request may be sent now.
func (t *Token) Valid(now boottime.Instant) bool { return now < t.Until }

// Result ends the wait of a request: it may be sent with the token.
type Result struct {
	ID    uint64
	Token *Token
}

// Limit is what a router knows of an upstream's limit.
type Limit struct {
	// N is the limit in force, in requests per second.
	N float64
	// Wait is the time until a further request gets a token, as far as known.
	Wait time.Duration
	// Silent: no holder answers, and the router uses its own slots.
	Silent bool
	// Waiting is the number of requests that wait at this router.
	Waiting int
}

// Balance is a router's side of the limits: its tokens, the requests that wait for tokens, and the messages to holders.
//
// For each attempt at an upstream, retries and resumptions too, the caller calls Take. If there is no token, it chooses
// another upstream, or waits: Wait, then Messages, and Results after each change and at Next. Right before the send it
// checks Token.Valid and calls Sent, or Refund if it doesn't send. Each answer's head goes to Observe.
type Balance struct {
	router    string
	process   uint64
	id        uint64
	upstreams map[string]*account
	// active are the upstreams with a limit or a request that waits, by id. Most have neither.
	active    []*account
	waiting   map[uint64]*waiter
	routers   [2]int // largest numbers of routers told in this minute and in the one before
	routersAt boottime.Instant
	prunedAt  boottime.Instant
	stats     Stats
	hooks     hooks
}

type waiter struct {
	id       uint64
	priority int
	account  *account
}

// NewBalance returns an empty balance. Process is a random number that identifies the router's process.
func NewBalance(router string, process uint64) *Balance {
	return &Balance{router: router, process: process, upstreams: map[string]*account{}, waiting: map[uint64]*waiter{}}
}

// SetRouters tells the number of routers in the deployment as it is known now. The largest of the last minute counts.
func (b *Balance) SetRouters(now boottime.Instant, n int) {
	if now.Sub(b.routersAt) >= time.Minute {
		b.routers = [2]int{0, b.routers[0]}
		b.routersAt = now
	}
	b.routers[0] = max(b.routers[0], n)
}

// account returns the state of the upstream. A newer process begins without a limit.
func (b *Balance) account(now boottime.Instant, i Instance) *account {
	a := b.upstreams[i.ID]
	if a == nil {
		a = newAccount(now, i, b.process)
		b.upstreams[i.ID] = a
		b.prune(now)
	}
	if i.StartedUnixMS > a.instance.StartedUnixMS {
		if a.instance.StartedUnixMS != 0 {
			a.end()
		}
		a.instance = i
	}
	a.usedAt = now
	return a
}

// prune drops what has not been used for long.
func (b *Balance) prune(now boottime.Instant) {
	if now.Sub(b.prunedAt) < time.Minute {
		return
	}
	b.prunedAt = now
	for id, a := range b.upstreams {
		if !a.active && now.Sub(a.usedAt) > time.Minute && a.limited(now) == 0 {
			delete(b.upstreams, id)
		}
	}
}

// Observe records what an answer's head said about the limit: n if kind is Named. SentAt is when the attempt was sent.
func (b *Balance) Observe(now boottime.Instant, i Instance, kind Kind, n float64, sentAt boottime.Instant) {
	if kind == Named && !Valid(n) {
		kind = Unseen
	}
	a := b.account(now, i)
	a.repliedAt = now
	switch {
	case kind == Named: // of an earlier process too: which one answered is not certain
		a.observeNamed(now, min(n, MaxRate), sentAt)
		b.activate(a)
	case kind == Absent && i.StartedUnixMS == a.instance.StartedUnixMS:
		a.observeAbsent(now, sentAt, b.hooks)
	}
}

// Announced records a limit that a holder's report named. It never raises or ends one.
func (b *Balance) Announced(now boottime.Instant, n Announcement) {
	if !Valid(n.N) || n.N == 0 {
		return
	}
	if b.upstreams[n.Instance.ID] == nil && len(b.upstreams) >= maxAccounts {
		return
	}
	a := b.account(now, n.Instance)
	if n.Instance.StartedUnixMS == a.instance.StartedUnixMS {
		a.hear(now, min(n.N, MaxRate))
		b.activate(a)
	}
}

// Limit returns what is known of the upstream's limit. ok is false if there is none.
func (b *Balance) Limit(now boottime.Instant, i Instance) (l Limit, ok bool) {
	a := b.account(now, i)
	n := a.limited(now)
	if n == 0 {
		return Limit{}, false
	}
	l = Limit{N: n, Wait: max(0, a.waitAt.Sub(now)), Silent: a.silent(now), Waiting: a.total}
	if l.Silent {
		_, opens, _ := a.slot(now, b.routerCount(now), b.hooks)
		l.Wait = opens.Sub(now)
	}
	return l, true
}

// Take returns a token for an attempt at the upstream, a free one if it has no limit, or nil if there is none now.
func (b *Balance) Take(now boottime.Instant, i Instance) *Token {
	return b.take(now, b.account(now, i))
}

func (b *Balance) take(now boottime.Instant, a *account) *Token {
	if a.limited(now) == 0 {
		return &Token{Free: true, Until: now.Add(Validity), id: a.instance.ID}
	}
	b.expire(now, a)
	for i := range a.lots {
		l := a.lots[i]
		if l.until.Sub(now) < minUse && !b.hooks.noEnd {
			continue
		}
		a.lots = slices.Delete(a.lots, i, i+1)
		t := &Token{Until: l.until, id: a.instance.ID, seq: l.seq}
		if b.hooks.noEnd {
			t.Until = now.Add(time.Hour)
		}
		return t
	}
	if a.silent(now) && !b.hooks.noFallback {
		if open, _, ends := a.slot(now, b.routerCount(now), b.hooks); open || b.hooks.noSlots {
			a.slotAt = now
			return &Token{Slot: true, Until: ends, id: a.instance.ID}
		}
	}
	return nil
}

// Wait adds a request that waits for a token, and returns its id.
func (b *Balance) Wait(now boottime.Instant, i Instance, priority int) uint64 {
	b.id++
	w := &waiter{id: b.id, priority: min(max(priority, 0), Priorities-1), account: b.account(now, i)}
	b.waiting[b.id] = w
	w.account.queues[w.priority] = append(w.account.queues[w.priority], w)
	w.account.total++
	b.activate(w.account)
	return b.id
}

// Cancel ends a wait.
func (b *Balance) Cancel(now boottime.Instant, id uint64) {
	if w := b.waiting[id]; w != nil {
		b.drop(w)
	}
}

func (b *Balance) drop(w *waiter) {
	delete(b.waiting, w.id)
	q := &w.account.queues[w.priority]
	if i := slices.Index(*q, w); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
		w.account.total--
	}
}

// Sent records that the request with the token is sent now.
func (b *Balance) Sent(now boottime.Instant, t *Token) {
	a := b.upstreams[t.id]
	switch {
	case t.Slot:
		b.stats.Slots++
	case t.Free:
		b.stats.Free++
	default:
		return
	}
	if a != nil {
		a.spent.add(now, 1)
	}
}

// Refund takes back the token of a request that has not been sent.
func (b *Balance) Refund(now boottime.Instant, t *Token) {
	if a := b.upstreams[t.id]; a != nil && t.seq != 0 {
		a.lots = append(a.lots, lot{seq: t.seq, until: t.Until, unusedAt: now})
		t.Until, t.seq = 0, 0
	}
}

// RetryIn returns the time after which a refused caller may come back, and counts the caller. Share, from 0 to 1, is the
// caller's own random number and spreads callers out.
func (b *Balance) RetryIn(now boottime.Instant, i Instance, share float64) time.Duration {
	l, ok := b.Limit(now, i)
	if !ok {
		return 0
	}
	a := b.account(now, i)
	a.refused++
	a.refusedHere++
	spread := backlogTime(l.N, a.refusedHere)
	return min(max(l.Wait, a.nextAt.Sub(now))+time.Duration(min(max(share, 0), 1)*float64(spread)), maxRetry)
}

// Apply applies a holder's message, and reports whether it belongs to a request of this balance.
func (b *Balance) Apply(now boottime.Instant, g *Grant) bool {
	a := b.upstreams[g.Instance.ID]
	if a == nil || g.Process != b.process || !Valid(g.N) {
		return false
	}
	s := a.sent[g.Seq]
	if s == nil {
		return false
	}
	if g.Instance.StartedUnixMS > a.instance.StartedUnixMS {
		a = b.account(now, g.Instance)
	}
	for _, c := range g.Tokens {
		q := a.sent[c.Seq]
		if q == nil {
			continue
		}
		for ; q.got < min(c.Count, q.want); q.got++ {
			b.stats.Received++
			a.lots = append(a.lots, lot{seq: c.Seq, until: q.at.Add(Validity), unusedAt: now})
		}
	}
	a.answered(now, g, s)
	b.activate(a)
	b.expire(now, a)
	return true
}

// Results returns the waits that end now.
func (b *Balance) Results(now boottime.Instant) []Result {
	var out []Result
	for _, a := range b.active {
		for a.total > 0 {
			t := b.take(now, a)
			if t == nil {
				break
			}
			w := a.first()
			b.drop(w)
			out = append(out, Result{ID: w.id, Token: t})
		}
	}
	return out
}

func (b *Balance) expire(now boottime.Instant, a *account) {
	if b.hooks.noEnd {
		return
	}
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool {
		if now >= l.until {
			b.stats.Expired++
		}
		return now >= l.until
	})
}

// Stats counts events since the process' start.
type Stats struct {
	// Requests and Repeated count messages sent, Received tokens that arrived, Expired those that ended unused, Returned
	// those given back, Slots requests sent without a holder, and Free those sent to an upstream without a known limit.
	Requests, Repeated, Received, Expired, Returned, Slots, Free uint64
}

// Stats returns the counts.
func (b *Balance) Stats() Stats { return b.stats }
