package upstreamlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// Messages returns the requests to send now, each to the holder of the upstream in Request.Instance as the caller's list
// has it. If the caller knows no holder, it drops the message.
func (b *Balance) Messages(now boottime.Instant) []*Request {
	var out []*Request
	b.active = slices.DeleteFunc(b.active, func(a *account) bool {
		a.active = a.total > 0 || len(a.sent) > 0 || a.limited(now) > 0
		return !a.active
	})
	for _, a := range b.active {
		b.giveUp(now, a)
		if a.limited(now) == 0 {
			continue
		}
		if due, _ := b.due(now, a, a.wants()); due {
			out = append(out, b.compose(now, a, a.wants()))
			continue
		}
		if l := a.latest; l != nil && !l.answered && now >= l.repeatAt && !a.silent(now) {
			l.repeatAt = now.Add(repeatInterval)
			b.stats.Repeated++
			out = append(out, l.Request)
		}
	}
	return out
}

// giveUp forgets requests whose tokens have ended. What an unanswered one reported is reported again.
func (b *Balance) giveUp(now boottime.Instant, a *account) {
	for seq, s := range a.sent {
		if now.Sub(s.at) < Validity {
			continue
		}
		if !s.answered {
			a.spent.add(now, s.Spent)
		}
		delete(a.sent, seq)
		if a.latest == s {
			a.latest = nil
		}
	}
}

// due reports whether a new request is due, or when it will be if nothing else changes.
func (b *Balance) due(now boottime.Instant, a *account, want [Priorities]int) (bool, boottime.Instant) {
	at := now.Add(time.Second)
	total := sum(want)
	var earliest boottime.Instant
	if a.latest != nil {
		earliest = a.latest.at.Add(minInterval)
	}
	consider := func(t boottime.Instant) { at = min(at, max(t, earliest)) }
	switch l := a.latest; {
	case total == 0:
	case l == nil:
		consider(now)
	case urgent(want) < urgent(l.wanted()) || total > l.want-l.got && a.waitAt.Sub(now) < soon:
		consider(now)
	default:
		consider(l.at.Add(giveUpAfter))
	}
	if a.refused > 0 { // the expected wait, because of which they were refused, may have become shorter
		if a.latest == nil {
			consider(now)
		} else {
			consider(a.latest.at.Add(giveUpAfter))
		}
	}
	switch f := a.fact; {
	case f.kind == Unseen:
	case a.reported.Kind != f.kind || f.kind == Named && a.reported.N != f.n:
		if l := a.latest; l != nil && !l.answered && l.Fact.Kind == f.kind && l.Fact.N == f.n {
			consider(l.at.Add(giveUpAfter)) // it is on its way
		} else {
			consider(a.reportAt)
		}
	case f.received > a.reportAt:
		interval := confirmInterval
		if f.kind == Absent {
			interval = endInterval
		}
		consider(a.reportAt.Add(interval))
	}
	for _, l := range a.lots {
		if l.until.Sub(now) >= minReturn && total == 0 {
			consider(l.unusedAt.Add(returnAfter))
		}
	}
	return at <= now, at
}

// compose returns a new request.
func (b *Balance) compose(now boottime.Instant, a *account, want [Priorities]int) *Request {
	a.seq++
	r := &Request{Router: b.router, Process: b.process, Instance: a.instance, Seq: a.seq, Fact: a.report(now), Heard: a.n, Spent: a.spent.take(now), Refused: a.refused}
	a.refused = 0
	if a.fact.kind != Unseen {
		a.reportAt = now
	}
	if a.holder != 0 {
		r.Holder, r.EchoMS, r.EchoAgeMS = a.holder, a.echo, now.Sub(a.echoAt).Milliseconds()
	}
	r.Returned = b.returns(now, a)
	total := sum(want)
	if total > 0 {
		r.Want = slices.Clone(want[:])
		for r.Want[len(r.Want)-1] == 0 {
			r.Want = r.Want[:len(r.Want)-1]
		}
	}
	a.latest = &request{Request: r, at: now, repeatAt: now.Add(repeatInterval), want: total}
	a.sent[a.seq] = a.latest
	if a.askedAt == 0 {
		a.askedAt = now
	}
	b.stats.Requests++
	return r
}

// report returns the latest fact with its age. Ages of sends are rounded up and ages of answers down, so that the answer
// was written between them.
func (a *account) report(now boottime.Instant) Fact {
	if a.fact.kind == Unseen {
		return Fact{}
	}
	return Fact{Kind: a.fact.kind, N: a.fact.n, SentMS: now.Sub(a.fact.sentAt).Milliseconds() + 1, ReceivedMS: now.Sub(a.fact.received).Milliseconds()}
}

// returns takes tokens out of the balance that nothing has used.
func (b *Balance) returns(now boottime.Instant, a *account) []Count {
	var out []Count
	if b.hooks.noReturn {
		return nil
	}
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool {
		if now.Sub(l.unusedAt) < returnAfter || l.until.Sub(now) < minReturn {
			return false
		}
		b.stats.Returned++
		for i := range out {
			if out[i].Seq == l.seq {
				out[i].Count++
				return true
			}
		}
		out = append(out, Count{l.seq, 1})
		return true
	})
	return out
}

// Next returns when Messages and Results are to be called next; at most a second later.
func (b *Balance) Next(now boottime.Instant) boottime.Instant {
	next := now.Add(time.Second)
	for _, a := range b.active {
		if a.limited(now) == 0 {
			continue
		}
		_, at := b.due(now, a, a.wants())
		next = min(next, at)
		if a.latest != nil && !a.latest.answered && !a.silent(now) {
			next = min(next, a.latest.repeatAt)
		}
		if a.askedAt != 0 && !a.quiet {
			next = min(next, a.askedAt.Add(silentAfter))
		}
		if a.total > 0 && a.silent(now) {
			_, opens, _ := a.slot(now, b.routerCount(now), b.hooks)
			next = min(next, opens)
		}
		if a.endsAt != 0 {
			next = min(next, a.endsAt.Add(rampTime))
		}
	}
	return max(next, now)
}

// activate has the upstream looked at for messages and results.
func (b *Balance) activate(a *account) {
	if a.active {
		return
	}
	a.active = true
	i, _ := slices.BinarySearchFunc(b.active, a, func(x, y *account) int { return cmp.Compare(x.instance.ID, y.instance.ID) })
	b.active = slices.Insert(b.active, i, a)
}

func (r *request) wanted() [Priorities]int {
	var out [Priorities]int
	copy(out[:], r.Want)
	return out
}

func sum(want [Priorities]int) int {
	n := 0
	for _, w := range want {
		n += w
	}
	return n
}

func urgent(want [Priorities]int) int {
	for p, n := range want {
		if n > 0 {
			return p
		}
	}
	return Priorities
}
