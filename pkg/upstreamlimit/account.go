package upstreamlimit

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// silentAfter is the time without an answer of the holder after which the router uses its own slots. All repeats of a
	// request and three further ones are lost by then, or no holder lives.
	silentAfter = time.Second
	// stallTime is the time for which a router without a holder assumes that the whole VM of the upstream stands still,
	// unless it gets an answer.
	stallTime = 10 * time.Second
	// slotWidth is the time at the beginning of a slot in which the router may send. Routers that have been idle have their
	// slots at random times, so that they don't send together.
	slotWidth = Validity
	// defaultRouters is the number of routers until one is known; larger than any deployment.
	defaultRouters = 512
)

// account is a router's state of one upstream.
type account struct {
	instance Instance
	usedAt   boottime.Instant
	active   bool    // in Balance.active
	phase    float64 // of the slots, from 0 to 1

	n       float64          // the limit in force, as far as known; 0 if there is none
	heardAt boottime.Instant // when it was last named, by an answer or a holder
	forget  time.Duration
	// endsAt is since when the limit ends by the router's own answers, without a holder; 0 if it does not.
	endsAt boottime.Instant
	fact   fact
	// reported is the kind and N that a holder has answered to, and reportAt when the fact is due to be reported.
	reported Fact
	reportAt boottime.Instant

	seq        uint64
	latest     *request
	sent       map[uint64]*request
	queues     [Priorities][]*waiter
	total      int // requests in the queues
	lots       []lot
	askedAt    boottime.Instant // first request since the last answer; 0 for none
	answeredAt boottime.Instant
	quiet      bool             // no holder has answered for silentAfter, and none since
	repliedAt  boottime.Instant // latest answer of the upstream
	nextAt     boottime.Instant
	waitAt     boottime.Instant // when a further request that waits gets a token
	slotAt     boottime.Instant // last use of a slot
	holder     uint64
	echo       int64
	echoAt     boottime.Instant
	spent      recent
	// refused counts callers since the last request, and refusedHere since the last answer.
	refused, refusedHere int
}

// fact is the latest that the upstream's answers said.
type fact struct {
	kind             Kind
	n                float64
	sentAt, received boottime.Instant
}

// request is a message that was sent.
type request struct {
	*Request
	at, repeatAt boottime.Instant
	want, got    int
	answered     bool
}

// lot is one token.
type lot struct {
	seq             uint64
	until, unusedAt boottime.Instant
}

func newAccount(now boottime.Instant, i Instance, process uint64) *account {
	r := rand.New(rand.NewPCG(process, uint64(len(i.ID))))
	for _, c := range []byte(i.ID) {
		r = rand.New(rand.NewPCG(r.Uint64(), uint64(c)))
	}
	return &account{instance: i, usedAt: now, phase: r.Float64(), forget: forgetAfter + time.Duration(r.Float64()*float64(forgetAfter)), sent: map[uint64]*request{}}
}

// end forgets the limit.
func (a *account) end() {
	a.n, a.endsAt, a.fact, a.reported, a.lots, a.quiet, a.askedAt = 0, 0, fact{}, Fact{}, nil, false, 0
}

// limited returns the limit in force, 0 if there is none.
func (a *account) limited(now boottime.Instant) float64 {
	switch {
	case a.n == 0:
		return 0
	case now.Sub(a.heardAt) > a.forget, a.endsAt != 0 && now.Sub(a.endsAt) >= rampTime:
		a.end()
	case a.endsAt != 0:
		return ramp(a.n, now.Sub(a.endsAt), hooks{})
	}
	return a.n
}

func (a *account) observeNamed(now boottime.Instant, n float64, sentAt boottime.Instant) {
	if f := a.fact; f.kind == Named && n > f.n && sentAt <= f.received {
		return // the lower one may be newer
	}
	if a.fact.kind != Named || n != a.fact.n {
		a.reportAt = now
	}
	a.fact = fact{kind: Named, n: n, sentAt: sentAt, received: now}
	a.heardAt = now
	if e := effective(n); a.n == 0 || a.endsAt != 0 || e < a.n || a.silent(now) {
		a.n, a.endsAt = e, 0
	}
}

func (a *account) observeAbsent(now boottime.Instant, sentAt boottime.Instant, k hooks) {
	if a.n == 0 || sentAt <= a.fact.received && a.fact.kind == Named && !k.noOrder || a.fact.kind == Absent && sentAt <= a.fact.sentAt {
		return
	}
	if a.fact.kind != Absent {
		a.reportAt = now
	}
	a.fact = fact{kind: Absent, sentAt: sentAt, received: now}
	if a.silent(now) && a.endsAt == 0 {
		a.endsAt = now
	}
}

// hear records a limit named by a holder's report.
func (a *account) hear(now boottime.Instant, n float64) {
	a.heardAt = now
	if a.n == 0 || n < a.n && a.endsAt == 0 {
		a.n = n
	}
}

// answered records the holder's answer to a request.
func (a *account) answered(now boottime.Instant, g *Grant, s *request) {
	s.answered = true
	a.answeredAt, a.askedAt, a.quiet, a.refusedHere = now, 0, false, 0
	if g.Holder != a.holder || g.StampMS > a.echo {
		a.holder, a.echo, a.echoAt = g.Holder, g.StampMS, now
	}
	if s != a.latest {
		return
	}
	a.nextAt, a.waitAt = now.Add(min(ms(max(g.RetryMS, 0)), maxRetry)), now.Add(min(ms(max(g.WaitMS, 0)), maxRetry))
	if s.Holder == g.Holder {
		a.reported = s.Fact // with an echo, so that it counted
	}
	switch {
	case g.N > 0:
		a.n, a.heardAt, a.endsAt = min(g.N, MaxRate), now, 0
	case g.Instance == a.instance && (a.fact.kind != Named || a.fact.received <= s.at):
		a.end() // the holder knew all that this router had learned
	}
}

// silent reports whether no holder answers.
func (a *account) silent(now boottime.Instant) bool {
	if a.askedAt != 0 && now.Sub(a.askedAt) >= silentAfter {
		a.quiet = true
	}
	return a.quiet
}

// slot returns whether the router may send now without a holder, when it may next, and when the slot ends. Each router has
// one slot in the time in which all have as many as half the limit, so that all together stay below what holds beside a
// holder that others reach.
func (a *account) slot(now boottime.Instant, routers int, k hooks) (open bool, opens, ends boottime.Instant) {
	rate := max(a.limited(now)/2, ProbeRate)
	if start := a.askedAt.Add(silentAfter); now.Sub(start) < stallTime && a.repliedAt <= start && !k.noStall {
		rate = slow(2 * rate)
	}
	length := time.Duration(float64(routers) / rate * float64(time.Second))
	length = max(length, time.Microsecond)
	width := min(length, slotWidth)
	start := boottime.Instant(int64(a.phase * float64(length)))
	start += (now - start) / boottime.Instant(length) * boottime.Instant(length)
	if start > now {
		start -= boottime.Instant(length)
	}
	if now < start.Add(width) && a.slotAt < start && now.Sub(a.slotAt) >= length/2 {
		return true, now, start.Add(width)
	}
	return false, start.Add(length), start.Add(length + width)
}

func (b *Balance) routerCount(now boottime.Instant) int {
	b.SetRouters(now, 0)
	if n := max(b.routers[0], b.routers[1]); n > 0 {
		return n
	}
	return defaultRouters
}

// recent counts requests within the last window, in bins.
type recent struct {
	bins [8]int
	bin  int64 // number of the latest bin
}

const recentBin = Window / 8

func (r *recent) add(now boottime.Instant, n int) {
	r.advance(now)
	r.bins[r.bin%8] += n
}

func (r *recent) advance(now boottime.Instant) {
	bin := int64(now) / int64(recentBin)
	for i := max(r.bin+1, bin-7); i <= bin; i++ {
		r.bins[i%8] = 0
	}
	r.bin = max(r.bin, bin)
}

// take returns the count and clears it.
func (r *recent) take(now boottime.Instant) int {
	r.advance(now)
	n := 0
	for i := range r.bins {
		n += r.bins[i]
		r.bins[i] = 0
	}
	return n
}

// first returns the request that waits and is served next.
func (a *account) first() *waiter {
	for _, q := range a.queues {
		if len(q) > 0 {
			return q[0]
		}
	}
	return nil
}

// wants returns the numbers of waiting requests by priority.
func (a *account) wants() [Priorities]int {
	var out [Priorities]int
	for p, q := range a.queues {
		out[p] = len(q)
	}
	return out
}
