package quota

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// repeatInterval is the time after which an unanswered request is repeated under its number: two round trips to
	// another region.
	repeatInterval = 60 * time.Millisecond
	// giveUpAfter is the time after which an unanswered request is replaced by a new one: an answer to it would leave too
	// little of the validity.
	giveUpAfter = Validity / 2
	// minUse is the validity that tokens must have left to be given to a request.
	minUse = 20 * time.Millisecond
	// minAskAgain and maxAskAgain bound the time until the holder is asked again for a need that waits.
	minAskAgain, maxAskAgain = 10 * time.Millisecond, 250 * time.Millisecond
	// returnAfter is how long refunded tokens are kept for other requests before they are returned to the holder, and
	// minReturn the validity that they must have left.
	returnAfter, minReturn = 30 * time.Millisecond, 100 * time.Millisecond
	// These bounds keep a message within the size of a datagram. Needs are counted over the message, returns and
	// cancelled needs by tenant.
	tenantsPerMessage, needsPerMessage, returnsPerMessage, cancelsPerMessage = 16, 64, 8, 16
	// maxInFlight bounds the unanswered requests to a holder. Under a flood, or without an answer, needs share requests.
	maxInFlight = 8
	// smallFactor is the size up to which a request is served from prefetched tokens, in units of Tenant.Small.
	smallFactor = 2
	// rateTime is the time over which the rate of small requests is averaged.
	rateTime = 2 * time.Second
	// holderTimeout is the time without a message from the holder after which one with a lower epoch is accepted, so that
	// a forged epoch does not last.
	holderTimeout = 4 * time.Second
)

// Tenant is what a router knows of a limited tenant from its configuration.
type Tenant struct {
	Name        string
	Rate, Burst float64
	// Small is the amount of a small request.
	Small float64
	// Config is the version of the configuration.
	Config uint64
}

// Hold is the right of one request to run. It consists of parts of grants.
type Hold struct {
	Amount float64
	// Until is the end of the right.
	Until  boottime.Instant
	tenant string
	lots   []lot
}

// Valid reports whether the request may be sent now.
func (h *Hold) Valid(now boottime.Instant) bool { return now < h.Until }

// lot is a part of a grant.
type lot struct {
	amount     float64
	until      boottime.Instant
	epoch      uint64
	number     uint64
	refundedAt boottime.Instant // 0 if it has not been refunded
}

// Result ends the wait of a need: with a hold, or refused by the holder with the time after which to come back.
type Result struct {
	ID      uint64
	Hold    *Hold
	RetryIn time.Duration
}

// Outgoing is a message to send.
type Outgoing struct {
	To      netip.AddrPort
	Request *Request
}

// Balance is a router's side of the quotas: its tokens, the requests that wait for tokens and the messages to the holders.
// It is not safe for concurrent use.
type Balance struct {
	router  string
	process uint64
	number  uint64
	needID  uint64
	holders [Shards]knownHolder
	tenants map[string]*account
	waiting map[uint64]*waiter
	sent    map[uint64]*sentRequest
	stats   Stats
}

// knownHolder is the holder of a shard as announced.
type knownHolder struct {
	epoch   uint64
	address netip.AddrPort
	heardAt boottime.Instant
}

// account is a router's balance of one tenant.
type account struct {
	Tenant
	shard     int
	lots      []lot
	cancelled []uint64
	// smallRate is the amount per second that small requests take at this router.
	smallRate  float64
	ratedAt    boottime.Instant
	aheadUntil boottime.Instant // no further tokens are requested ahead before
	wantsAhead bool
}

type waiter struct {
	need    Need
	account *account
	// waitUntil is how long the request can wait, as told to the holder.
	waitUntil boottime.Instant
	asked     uint64           // number of the request in progress that contains the need; 0 for none
	askAt     boottime.Instant // when the holder is to be asked next
	toldAt    boottime.Instant // last answer that the tokens are not there yet; 0 for none
}

type sentRequest struct {
	request  *Request
	to       netip.AddrPort
	epoch    uint64
	sentAt   boottime.Instant
	repeatAt boottime.Instant
}

// NewBalance returns an empty balance of a router's process.
func NewBalance(router string, process uint64) *Balance {
	return &Balance{router: router, process: process, tenants: map[string]*account{}, waiting: map[uint64]*waiter{}, sent: map[uint64]*sentRequest{},
		stats: Stats{Expired: map[string]float64{}, Returned: map[string]float64{}}}
}

// SetHolder records that a process announced itself as the holder of the shard, and reports whether it is a new one. The
// waiting requests are then requested from it.
func (b *Balance) SetHolder(now boottime.Instant, shard int, epoch uint64, address netip.AddrPort) bool {
	if shard < 0 || shard >= Shards {
		return false
	}
	k := &b.holders[shard]
	if epoch < k.epoch && now.Sub(k.heardAt) < holderTimeout {
		return false
	}
	changed := epoch != k.epoch || address != k.address
	k.epoch, k.address, k.heardAt = epoch, address, now
	if changed {
		for number, s := range b.sent {
			if s.request.Shard == shard {
				b.forget(now, number)
			}
		}
	}
	return changed
}

// Holder returns the epoch and the address of the holder of the shard, and the time since its last message. ok is false
// if none is known.
func (b *Balance) Holder(now boottime.Instant, shard int) (epoch uint64, address netip.AddrPort, age time.Duration, ok bool) {
	k := b.holders[shard]
	return k.epoch, k.address, now.Sub(k.heardAt), k.epoch != 0
}

// forget drops a request in progress. Its needs are requested again.
func (b *Balance) forget(now boottime.Instant, number uint64) {
	b.askAgain(b.sent[number], now)
	delete(b.sent, number)
}

// askAgain makes the needs of a request that it did not answer due at the time.
func (b *Balance) askAgain(s *sentRequest, at boottime.Instant) {
	for _, t := range s.request.Tenants {
		for _, n := range t.Needs {
			if w := b.waiting[n.ID]; w != nil && w.asked == s.request.Number {
				w.asked, w.askAt = 0, at
			}
		}
	}
}

func (b *Balance) account(now boottime.Instant, t Tenant) *account {
	a := b.tenants[t.Name]
	if a == nil {
		a = &account{Tenant: t, shard: ShardOf(t.Name), ratedAt: now}
		b.tenants[t.Name] = a
	}
	if t.Config >= a.Config {
		a.Tenant = t
	}
	return a
}

// Take gives a request tokens from the balance. It addresses small requests with targets of 0.15 s, for which a round
// trip to another region is a large part. It returns nil if the balance does not suffice.
func (b *Balance) Take(now boottime.Instant, t Tenant, amount float64) *Hold {
	a := b.account(now, t)
	if amount <= smallFactor*t.Small {
		a.recordSmall(now, amount)
	}
	b.expire(now, a)
	left := amount
	for _, l := range a.lots {
		if l.until.Sub(now) >= minUse {
			left -= l.amount
		}
	}
	if left > 0 {
		return nil
	}
	h := &Hold{Amount: amount, tenant: t.Name, Until: now.Add(Validity)}
	left = amount
	for i := range a.lots {
		l := &a.lots[i]
		if left <= 0 || l.until.Sub(now) < minUse {
			continue
		}
		part := *l
		part.amount = min(left, l.amount)
		l.amount -= part.amount
		left -= part.amount
		h.lots, h.Until = append(h.lots, part), min(h.Until, part.until)
	}
	a.dropEmpty()
	return h
}

func (a *account) dropEmpty() {
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool { return l.amount <= 0 })
}

func (a *account) recordSmall(now boottime.Instant, amount float64) {
	a.decay(now)
	a.smallRate += amount / rateTime.Seconds()
	a.wantsAhead = true
}

func (a *account) decay(now boottime.Instant) {
	elapsed := now.Sub(a.ratedAt).Seconds()
	a.ratedAt = now
	a.smallRate *= max(0, 1-elapsed/rateTime.Seconds())
}

// ahead returns the amount to request for the small requests that are expected within the validity of a grant.
func (a *account) ahead(now boottime.Instant) float64 {
	if !a.wantsAhead || now < a.aheadUntil || a.Small <= 0 {
		return 0
	}
	a.decay(now)
	wanted := float64(int(a.smallRate*Validity.Seconds()/a.Small)) * a.Small
	a.wantsAhead = wanted > 0
	for _, l := range a.lots {
		if l.until.Sub(now) >= giveUpAfter {
			wanted -= l.amount
		}
	}
	if wanted < a.Small {
		return 0
	}
	return wanted
}

func (b *Balance) expire(now boottime.Instant, a *account) {
	for i := range a.lots {
		if now >= a.lots[i].until {
			b.stats.Expired[a.Name] += a.lots[i].amount
			a.lots[i].amount = 0
		}
	}
	a.dropEmpty()
}

// Wait adds a request that waits for tokens, at most until maxWait, and returns the id of its need. Messages returns the
// request to the holder.
func (b *Balance) Wait(now boottime.Instant, t Tenant, amount float64, priority int, maxWait time.Duration) uint64 {
	b.needID++
	b.waiting[b.needID] = &waiter{need: Need{ID: b.needID, Amount: amount, Priority: priority}, account: b.account(now, t),
		waitUntil: now.Add(maxWait), askAt: now}
	return b.needID
}

// Cancel ends the wait of a need. overLimit reports whether the holder has said lately that the tokens are not there.
func (b *Balance) Cancel(now boottime.Instant, id uint64) (overLimit bool) {
	w := b.waiting[id]
	if w == nil {
		return false
	}
	delete(b.waiting, id)
	if w.toldAt == 0 {
		return false
	}
	w.account.cancelled = append(w.account.cancelled, id)
	return now.Sub(w.toldAt) <= 2*maxAskAgain
}

// Refund takes back the tokens of a request that has not been sent.
func (b *Balance) Refund(now boottime.Instant, h *Hold) {
	a := b.tenants[h.tenant]
	if a == nil {
		return
	}
	for _, l := range h.lots {
		l.refundedAt = now
		a.lots = append(a.lots, l)
	}
	h.lots, h.Until = nil, 0
	b.expire(now, a)
}

// Apply applies a holder's answer and returns the needs whose wait has ended. Each answer counts once: repeated answers
// and those to requests that have been replaced are ignored.
func (b *Balance) Apply(now boottime.Instant, from netip.AddrPort, g *Grant) []Result {
	s := b.sent[g.Number]
	if s == nil || g.Process != b.process || g.Shard != s.request.Shard || from != s.to {
		return nil
	}
	delete(b.sent, g.Number)
	if k := &b.holders[g.Shard]; k.epoch == g.Epoch {
		k.heardAt = now
	}
	until := s.sentAt.Add(Validity)
	var results []Result
	for _, tg := range g.Tenants {
		a := b.tenants[tg.Tenant]
		if a == nil {
			continue
		}
		for _, answer := range tg.Needs {
			results = append(results, b.applyAnswer(now, s, a, answer, lot{until: until, epoch: g.Epoch, number: g.Number})...)
		}
		if tg.Ahead > 0 {
			a.lots = append(a.lots, lot{amount: tg.Ahead, until: until, epoch: g.Epoch, number: g.Number})
		}
		b.expire(now, a)
	}
	b.askAgain(s, now.Add(repeatInterval)) // needs that the holder did not answer
	return results
}

func (b *Balance) applyAnswer(now boottime.Instant, s *sentRequest, a *account, answer Answer, l lot) []Result {
	w := b.waiting[answer.ID]
	if w == nil && answer.WaitMS > 0 {
		a.cancelled = append(a.cancelled, answer.ID)
	}
	if w == nil || w.asked != s.request.Number {
		if amount := s.amount(answer.ID); answer.Granted && amount > 0 { // the request has left
			l.amount, l.refundedAt = amount, now
			a.lots = append(a.lots, l)
		}
		return nil
	}
	w.asked = 0
	switch {
	case answer.Granted:
		l.amount = w.need.Amount
		h := &Hold{Amount: w.need.Amount, Until: l.until, tenant: a.Name, lots: []lot{l}}
		if l.until.Sub(now) < minUse { // too late to be used
			b.stats.Expired[a.Name] += l.amount
			w.askAt = now
			return nil
		}
		delete(b.waiting, answer.ID)
		return []Result{{ID: answer.ID, Hold: h}}
	case answer.WaitMS > 0:
		w.toldAt = now
		w.askAt = now.Add(min(max(time.Duration(answer.WaitMS)*time.Millisecond, minAskAgain), maxAskAgain))
		return nil
	}
	delete(b.waiting, answer.ID)
	return []Result{{ID: answer.ID, RetryIn: time.Duration(answer.RetryMS) * time.Millisecond}}
}

// amount returns the amount of a need of the request.
func (s *sentRequest) amount(id uint64) float64 {
	for _, t := range s.request.Tenants {
		for _, n := range t.Needs {
			if n.ID == id {
				return n.Amount
			}
		}
	}
	return 0
}
