package upstreamlimit

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// Token is the right to send one request to an upstream. It is checked again right before the send.
type Token struct {
	// Until is the end of the right; of one for an upstream without a limit too, since a limit may come.
	Until boottime.Instant
	// Free: no limit was known.
	Free bool

	instance Instance
	seq      uint64 // of the request that it was granted for; 0 for a free one and for a slot
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
	router  string
	process uint64
}

// NewBalance returns an empty balance. Process is a random number that identifies the router's process.
func NewBalance(router string, process uint64) *Balance {
	return &Balance{router: router, process: process}
}

// SetRouters tells the number of routers in the deployment as it is known now. The largest of the last minute counts.
func (b *Balance) SetRouters(now boottime.Instant, n int) {}

// Observe records what an answer's head said about the limit: n if kind is Named. SentAt is when the attempt was sent.
func (b *Balance) Observe(now boottime.Instant, i Instance, kind Kind, n float64, sentAt boottime.Instant) {
}

// Announced records a limit that a holder's report named. It never raises or ends one.
func (b *Balance) Announced(now boottime.Instant, a Announcement) {}

// Limit returns what is known of the upstream's limit. ok is false if there is none.
func (b *Balance) Limit(now boottime.Instant, i Instance) (l Limit, ok bool) { return Limit{}, false }

// Take returns a token for an attempt at the upstream, a free one if it has no limit, or nil if there is none now.
func (b *Balance) Take(now boottime.Instant, i Instance, priority int) *Token { return nil }

// Wait adds a request that waits for a token, and returns its id.
func (b *Balance) Wait(now boottime.Instant, i Instance, priority int) uint64 { return 0 }

// Cancel ends a wait.
func (b *Balance) Cancel(now boottime.Instant, id uint64) {}

// Sent records that the request with the token is sent now.
func (b *Balance) Sent(now boottime.Instant, t *Token) {}

// Refund takes back the token of a request that has not been sent.
func (b *Balance) Refund(now boottime.Instant, t *Token) {}

// RetryIn returns the time after which a refused caller may come back. Share, from 0 to 1, is the caller's own random
// number and spreads callers out.
func (b *Balance) RetryIn(now boottime.Instant, i Instance, share float64) time.Duration { return 0 }

// Messages returns the requests to send now, each to the holder of the upstream in Request.Instance as the caller's list
// has it. If the caller knows no holder, it drops the message.
func (b *Balance) Messages(now boottime.Instant) []*Request { return nil }

// Apply applies a holder's message, and reports whether it belongs to a request of this balance.
func (b *Balance) Apply(now boottime.Instant, g *Grant) bool { return false }

// Results returns the waits that end now.
func (b *Balance) Results(now boottime.Instant) []Result { return nil }

// Next returns when Messages and Results are to be called next; at most a second later.
func (b *Balance) Next(now boottime.Instant) boottime.Instant { return 0 }

// Stats counts events since the process' start.
type Stats struct {
	// Requests and Repeated count messages sent, Received tokens that arrived, Expired those that ended unused, Returned
	// those given back, Slots requests sent without a holder, and Free those sent to an upstream without a known limit.
	Requests, Repeated, Received, Expired, Returned, Slots, Free uint64
}

// Stats returns the counts.
func (b *Balance) Stats() Stats { return Stats{} }
