// Package upstreamlimit keeps the requests that reach an upstream at the rate that it names in its answers, over all
// routers together. The sidecar beside the upstream, or for one without a sidecar the one that ranks first, holds a token
// bucket; a router sends a request to the upstream only with a token. Tokens end Validity after the router asked for them,
// so that none outlives a freeze, a cut or the holder by more. No state is stored: a holder starts with an empty bucket.
//
// The package consists of pure state machines: Holder for what is granted, and Balance for a router's tokens and waiting
// requests. The caller passes the time and sends the messages. Neither is safe for concurrent use.
package upstreamlimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Validity is how long a router may use a token, counted from the moment at which it sent the request for it.
	Validity = 500 * time.Millisecond
	// Window is the time in which the platform counts requests.
	Window = 4 * time.Second
	// Priorities is the number of priorities; 0 is the most urgent.
	Priorities = 10
	// MaxRate is the largest limit. A larger one is taken for it.
	MaxRate = 1e6
	// ProbeRate is the rate that an upstream gets if it names less, zero too: without any request nobody would learn the end.
	ProbeRate = 0.1
)

// Valid reports whether a number that an upstream names is a limit: finite and not negative. Zero is one.
func Valid(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

// Lowest returns the lowest valid limit of an answer that names several. ok is false if none is valid; the answer then
// neither sets nor ends a limit.
func Lowest(values ...float64) (n float64, ok bool) {
	n = math.Inf(1)
	for _, v := range values {
		if Valid(v) {
			n = min(n, v)
		}
	}
	return min(n, MaxRate), !math.IsInf(n, 0)
}

// First returns the sidecar that holds the limit of an upstream without a sidecar of its own: the first of the names by
// rendezvous hashing, "" if there are none.
func First(upstream string, names []string) string {
	best, weight := "", uint64(0)
	for _, name := range names {
		if w := xxhash.Sum64String(upstream + "\x00" + name); best == "" || w > weight || w == weight && name < best {
			best, weight = name, w
		}
	}
	return best
}

const (
	// While an upstream does not answer, its kernel may keep what is sent and hand it over at once when its process or its
	// VM goes on. After unansweredTokens, and the tokens of unansweredTime, without an answer the rate falls to slowShare of
	// the limit, but not below slowRate: at that rate one answer may be long in coming.
	unansweredTokens = 3
	unansweredTime   = 750 * time.Millisecond
	slowShare        = 1.0 / 16
	slowRate         = 0.2
)

// slow returns the rate for an upstream that may stand still.
func slow(rate float64) float64 { return max(rate*slowShare, min(rate, slowRate)) }

// maxBacklog bounds the times to come back that refused callers are given one after the other, beside the time for one.
const maxBacklog = 4 * time.Second

// backlogTime returns the time that so many callers take at the rate, as far as it is told to them.
func backlogTime(rate float64, callers int) time.Duration {
	one := time.Duration(float64(time.Second) / rate)
	return time.Duration(min(float64(callers)*float64(one), float64(max(one, maxBacklog))))
}

// effective returns the rate that is used for a limit.
func effective(n float64) float64 { return min(max(n, ProbeRate), MaxRate) }
