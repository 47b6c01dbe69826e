package agent

import "time"

const (
	// lateKeep is how long an ended request is remembered. A connection ends after 30 s without traffic (idleTimeout of
	// package quic), so an older attempt's Open frame cannot arrive later than that.
	lateKeep = time.Minute
	// maxLate bounds the memory for ended requests. At 17 requests a second one minute has about 1,000.
	maxLate = 8192
)

// lateGuard remembers ended requests, so that the Open frame of an older attempt that arrives late does not run a
// request whose caller was told that it did not run.
type lateGuard struct {
	attempts map[string]uint32
	order    []endedRequest
}

type endedRequest struct {
	request string
	at      time.Time
}

// add records that an attempt of a request has ended.
func (g *lateGuard) add(now time.Time, request string, attempt uint32) {
	if g.attempts == nil {
		g.attempts = map[string]uint32{}
	}
	if old, ok := g.attempts[request]; ok {
		g.attempts[request] = max(old, attempt)
		return
	}
	g.attempts[request] = attempt
	g.order = append(g.order, endedRequest{request, now})
	for len(g.order) > maxLate || now.Sub(g.order[0].at) > lateKeep {
		delete(g.attempts, g.order[0].request)
		g.order = g.order[1:]
	}
}

// isLate reports whether a later or the same attempt has ended.
func (g *lateGuard) isLate(request string, attempt uint32) bool {
	ended, ok := g.attempts[request]
	return ok && attempt <= ended
}
