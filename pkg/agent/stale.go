package agent

import "time"

const (
	// staleRetention is how long an ended request is remembered. A connection ends after 30 s without traffic
	// (idleTimeout of package quic), so the Open frame of an older attempt cannot arrive later than that.
	staleRetention = time.Minute
	// maxEndedRequests bounds the memory for ended requests. At 17 requests per second, one minute has about 1,000.
	maxEndedRequests = 8192
)

// staleGuard remembers ended requests, so that the delayed Open frame of an older attempt does not run a request that
// was refused as not run.
type staleGuard struct {
	attempts map[string]uint32
	order    []endedRequest
}

type endedRequest struct {
	request string
	at      time.Time
}

// add records the end of an attempt of a request.
func (g *staleGuard) add(now time.Time, request string, attempt uint32) {
	if g.attempts == nil {
		g.attempts = map[string]uint32{}
	}
	if old, ok := g.attempts[request]; ok {
		g.attempts[request] = max(old, attempt)
		return
	}
	g.attempts[request] = attempt
	g.order = append(g.order, endedRequest{request, now})
	for len(g.order) > maxEndedRequests || now.Sub(g.order[0].at) > staleRetention {
		delete(g.attempts, g.order[0].request)
		g.order = g.order[1:]
	}
}

// isStale reports whether this attempt or a later one has ended.
func (g *staleGuard) isStale(request string, attempt uint32) bool {
	ended, ok := g.attempts[request]
	return ok && attempt <= ended
}
