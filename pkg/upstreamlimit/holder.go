package upstreamlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// pendingTime is how long a request waits at the holder for tokens. The router renews it after giveUpAfter, and a token
	// granted at its end still has more than a third of its validity.
	pendingTime = 300 * time.Millisecond
	// memory is how long the holder remembers an upstream that nobody asks for. A limit that has ended meanwhile costs one
	// token to find out.
	memory = 10 * time.Minute
	// routerMemory is how long a router is remembered after its last request, with its place in the order.
	routerMemory = 2 * time.Minute
	// hearsayTime is the time since the first request for an upstream in which a limit counts that a router knows from an
	// earlier holder. Later it could come from this one, and a limit would never end.
	hearsayTime = 10 * time.Second
	// maxUpstreams, maxRouters and maxWant bound what forged messages can name.
	maxUpstreams, maxRouters, maxWant = 1024, 2048, 4096
	// maxRetry bounds the time until a caller is told to come back.
	maxRetry = time.Minute
	// announcements is the number of limits in a report.
	announcements = 16
)

// hooks take single mechanisms out, for the simulation that shows what each is for.
type hooks struct {
	fullStart, noEnd, noRepeatCheck, noSlots, noTurns, noPriority, noOrder, noRamp, noReturn, noSpent, noSlowStart, noStall, noHeard,
	noFallback bool
}

// Holder grants the tokens of the upstreams that a sidecar is the authority for. Messages may be lost, doubled, late and
// forged. The caller passes only requests for upstreams that it holds by its own list.
type Holder struct {
	process   uint64
	start     boottime.Instant
	upstreams map[string]*upstream
	prunedAt  boottime.Instant
	hooks     hooks
}

// NewHolder returns the holder of a sidecar's process, a random number, that started at now. All its buckets start empty.
func NewHolder(now boottime.Instant, process uint64) *Holder {
	return &Holder{process: process, start: now, upstreams: map[string]*upstream{}, prunedAt: now}
}

// SetInstance tells which process of the upstream runs, if the sidecar knows it: that of the engine beside it. Requests
// that name another one get tokens of this one, but what they say about the limit does not count.
func (h *Holder) SetInstance(now boottime.Instant, i Instance) {
	u := h.upstreams[i.ID]
	if u == nil {
		u = h.newUpstream(now, i)
		h.upstreams[i.ID] = u
	}
	if u.instance != i {
		u.restart(now, i)
	}
	u.fixed = true
}

// Forget drops an upstream that the sidecar no longer holds. If it comes to hold it again, the bucket starts empty.
func (h *Holder) Forget(id string) { delete(h.upstreams, id) }

// Handle applies a request and returns the messages to send: the answer, and tokens of other routers that came due. With
// sole, no other process can be the holder, as for the engine beside the sidecar; without it the holder starts at a
// quarter of the rate for one window, since routers with an older list may still ask another one.
func (h *Holder) Handle(now boottime.Instant, r *Request, sole bool) []Outgoing {
	u := h.upstreams[r.Instance.ID]
	if u == nil {
		if h.prune(now); len(h.upstreams) >= maxUpstreams {
			return nil
		}
		u = h.newUpstream(now, r.Instance)
		if !sole && !h.hooks.noSlowStart {
			u.slowUntil = now.Add(Window)
		}
		h.upstreams[r.Instance.ID] = u
	}
	if !u.fixed && r.Instance.StartedUnixMS > u.instance.StartedUnixMS {
		u.restart(now, r.Instance)
	}
	u.usedAt = now
	u.advance(now)
	a := u.router(now, r)
	if a == nil {
		return nil
	}
	fresh := a.record(r.Seq) == nil || h.hooks.noRepeatCheck
	if fresh && r.Seq < a.latest && !h.hooks.noRepeatCheck {
		return nil // overtaken; the answer to the later one lists the tokens of earlier ones
	}
	if fresh {
		h.learn(now, u, r)
		u.apply(now, a, r)
	}
	u.answer(a)
	return h.grant(now, u)
}

// learn takes over what the router's message says about the limit.
func (h *Holder) learn(now boottime.Instant, u *upstream, r *Request) {
	f := r.Fact
	if r.Instance != u.instance && (f.Kind != Named || now.Add(-ms(f.ReceivedMS)) <= u.restartedAt) {
		return // which process answered may not be certain, so a naming counts if it is new
	}
	before := h.sentAfter(r, f.SentMS)
	if h.hooks.noOrder {
		before = now
	}
	if f.Kind != Unseen {
		u.heard(h.sentAfter(r, f.ReceivedMS+1))
	}
	switch {
	case f.Kind == Named && Valid(f.N):
		u.name(min(f.N, MaxRate), now.Add(-ms(f.ReceivedMS)), before)
	case f.Kind == Absent:
		u.lift(now, before)
	case !u.known && r.Heard > 0 && Valid(r.Heard) && now.Sub(u.createdAt) < hearsayTime && !h.hooks.noHeard:
		u.n, u.limited = max(u.n, min(r.Heard, MaxRate)), true
	}
}

// sentAfter returns an instant, in the holder's time, after which the attempt of the fact was sent, whatever the delay of
// the message; 0 if none is known.
func (h *Holder) sentAfter(r *Request, age int64) boottime.Instant {
	if r.Holder != h.process || age < 0 || r.EchoAgeMS < 0 {
		return 0
	}
	return h.start.Add(ms(r.EchoMS + r.EchoAgeMS - age))
}

// Due returns the messages for tokens that have come since the last call.
func (h *Holder) Due(now boottime.Instant) []Outgoing {
	var out []Outgoing
	for _, id := range h.ids() {
		u := h.upstreams[id]
		u.advance(now)
		out = append(out, h.grant(now, u)...)
	}
	h.prune(now)
	return out
}

// grant gives out the tokens of an upstream and returns the messages.
func (h *Holder) grant(now boottime.Instant, u *upstream) []Outgoing {
	for u.level >= 1 {
		a := u.next(now)
		if a == nil {
			u.pendingUntil = 0
			break
		}
		a.take(now, u)
	}
	var out []Outgoing
	for _, a := range u.answers {
		a.answer = false
		g := &Grant{Process: a.process, Instance: u.instance, Holder: h.process, Seq: a.latest, N: u.inForce(now), Tokens: a.tokens(now),
			StampMS: now.Sub(h.start).Milliseconds()}
		if g.N > 0 {
			g.RetryMS = min(u.wait(now, a), maxRetry).Milliseconds()
			g.WaitMS = min(u.queueWait(now), maxRetry).Milliseconds()
		}
		out = append(out, Outgoing{Router: a.name, Grant: g})
	}
	u.answers = u.answers[:0]
	return out
}

// Next returns when Due is to be called next; at most a second later.
func (h *Holder) Next(now boottime.Instant) boottime.Instant {
	next := now.Add(time.Second)
	for _, u := range h.upstreams {
		if u.limited && now < u.pendingUntil {
			next = min(next, now.Add(max(time.Millisecond, u.until(now, 1))))
		}
	}
	return next
}

// Announcements returns the limits in force, for the reports to all routers, at most 16.
func (h *Holder) Announcements(now boottime.Instant) []Announcement {
	var out []Announcement
	for _, id := range h.ids() {
		if u := h.upstreams[id]; u.limited && u.liftedAt == 0 && len(out) < announcements {
			out = append(out, Announcement{Instance: u.instance, N: effective(u.n)})
		}
	}
	return out
}

// Usage is the state of one upstream's limit, for metrics and logs.
type Usage struct {
	Instance Instance
	// N is the limit as named, and Rate the one in force: larger while it ends.
	N, Rate float64
	// Level is the number of tokens in the bucket, negative in debt.
	Level float64
	// Waiting is the number of requests that routers wait with.
	Waiting int
	// These count since the holder's start.
	Granted, Returned, Spent uint64
}

// Usages returns the state of the limits.
func (h *Holder) Usages(now boottime.Instant) []Usage {
	var out []Usage
	for _, id := range h.ids() {
		u := h.upstreams[id]
		u.advance(now)
		if rate := u.inForce(now); rate > 0 {
			out = append(out, Usage{Instance: u.instance, N: u.n, Rate: rate, Level: u.level, Waiting: u.waiting(now),
				Granted: u.granted, Returned: u.returned, Spent: u.spent})
		}
	}
	return out
}

func (h *Holder) ids() []string {
	var out []string
	for id := range h.upstreams {
		out = append(out, id)
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

func (h *Holder) prune(now boottime.Instant) {
	if now.Sub(h.prunedAt) < time.Second {
		return
	}
	h.prunedAt = now
	for id, u := range h.upstreams {
		if now.Sub(u.usedAt) > memory && !u.fixed {
			delete(h.upstreams, id)
			continue
		}
		if u.limited && now.Sub(u.usedAt) > memory {
			u.limited, u.known = false, false
		}
		for name, a := range u.routers {
			if now.Sub(a.seenAt) > routerMemory {
				delete(u.routers, name)
			}
		}
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
