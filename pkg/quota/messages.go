package quota

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// Messages returns the messages to send now: new requests and repeats of unanswered ones.
func (b *Balance) Messages(now boottime.Instant) []Outgoing {
	var out []Outgoing
	var inFlight [Shards]int
	for number, s := range b.sent {
		inFlight[s.request.Shard]++
		switch {
		case now.Sub(s.sentAt) >= giveUpAfter:
			inFlight[s.request.Shard]--
			b.forget(now, number)
		case now >= s.repeatAt:
			s.repeatAt = now.Add(repeatInterval)
			b.stats.Repeated++
			out = append(out, Outgoing{To: s.to, Request: s.request})
		}
	}
	for shard := range b.holders {
		k := b.holders[shard]
		if k.epoch == 0 {
			continue
		}
		for ; inFlight[shard] < maxInFlight; inFlight[shard]++ {
			r := b.compose(now, shard)
			if r == nil {
				break
			}
			b.sent[r.Number] = &sentRequest{request: r, to: k.address, epoch: k.epoch, sentAt: now, repeatAt: now.Add(repeatInterval)}
			b.stats.Sent++
			out = append(out, Outgoing{To: k.address, Request: r})
		}
	}
	return out
}

// compose returns the next request to the holder of the shard, or nil if nothing is due.
func (b *Balance) compose(now boottime.Instant, shard int) *Request {
	r := &Request{Router: b.router, Process: b.process, Shard: shard, Number: b.number + 1}
	left := needsPerMessage
	due := b.due(now, shard)
	for _, name := range b.active(shard) {
		if len(r.Tenants) == tenantsPerMessage {
			break
		}
		a := b.tenants[name]
		b.expire(now, a)
		req := TenantRequest{Tenant: name, Rate: a.Rate, Burst: a.Burst, Config: a.Config, Returned: b.returns(now, shard, a)}
		for _, id := range due {
			w := b.waiting[id]
			if w.account != a || left == 0 {
				continue
			}
			left--
			w.asked = r.Number
			n := w.need
			n.MaxWaitMS = max(0, w.waitUntil.Sub(now).Milliseconds())
			req.Needs = append(req.Needs, n)
		}
		if req.Ahead = a.ahead(now); req.Ahead > 0 {
			a.aheadUntil = now.Add(giveUpAfter)
		}
		req.Cancelled = a.cancelled[:min(len(a.cancelled), cancelsPerMessage)]
		if len(req.Needs)+len(req.Returned)+len(req.Cancelled) == 0 && req.Ahead == 0 {
			continue
		}
		a.cancelled = a.cancelled[len(req.Cancelled):]
		r.Tenants = append(r.Tenants, req)
	}
	if len(r.Tenants) == 0 {
		return nil
	}
	b.number++
	return r
}

// due returns the needs of a shard to request now, the oldest first.
func (b *Balance) due(now boottime.Instant, shard int) []uint64 {
	var out []uint64
	for id, w := range b.waiting {
		if w.account.shard == shard && w.asked == 0 && now >= w.askAt {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// active returns the tenants of a shard that a request may have to name, sorted.
func (b *Balance) active(shard int) []string {
	waiting := map[*account]bool{}
	for _, w := range b.waiting {
		waiting[w.account] = true
	}
	var out []string
	for name, a := range b.tenants {
		if a.shard == shard && (waiting[a] || a.wantsAhead || len(a.lots)+len(a.cancelled) > 0) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// returns takes the refunded tokens that no other request has used out of the balance, for the holder that granted them.
func (b *Balance) returns(now boottime.Instant, shard int, a *account) []Return {
	var out []Return
	for i := range a.lots {
		l := &a.lots[i]
		if !l.returnable(now) || len(out) == returnsPerMessage {
			continue
		}
		if l.epoch == b.holders[shard].epoch {
			out = append(out, Return{Number: l.number, Amount: l.amount})
			b.stats.Returned[a.Name] += l.amount
			l.amount = 0
		}
	}
	a.dropEmpty()
	return out
}

func (l *lot) returnable(now boottime.Instant) bool {
	return l.refundedAt != 0 && now.Sub(l.refundedAt) >= returnAfter && l.until.Sub(now) >= minReturn
}

// Next returns when Messages is to be called next.
func (b *Balance) Next(now boottime.Instant) boottime.Instant {
	next := now.Add(time.Second)
	var inFlight [Shards]int
	for _, s := range b.sent {
		inFlight[s.request.Shard]++
		next = min(next, s.repeatAt, s.sentAt.Add(giveUpAfter))
	}
	for _, w := range b.waiting {
		if shard := w.account.shard; w.asked == 0 && b.holders[shard].epoch != 0 && inFlight[shard] < maxInFlight {
			next = min(next, w.askAt)
		}
	}
	for _, a := range b.tenants {
		if inFlight[a.shard] >= maxInFlight {
			continue // nothing is returned before a request is answered or given up
		}
		for _, l := range a.lots {
			if l.refundedAt != 0 && l.until.Sub(now) >= minReturn && l.epoch == b.holders[a.shard].epoch {
				next = min(next, l.refundedAt.Add(returnAfter))
			}
		}
	}
	return max(next, now)
}
