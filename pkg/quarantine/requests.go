package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// routerCrashThreshold is the number of crashes after which a request is refused. Requests that only ran beside the
	// cause are retried at other upstreams and answered before they reach the threshold.
	routerCrashThreshold = 3
	// evidenceTTL is how long fewer crashes count, from the last one on. A caller may come back at any interval.
	evidenceTTL = time.Hour
	// maxRequests bounds the requests with a known crash, and maxCrashesPerRequest the crashes of each.
	maxRequests          = 4096
	maxCrashesPerRequest = 64
)

// trialDelays are the times after the last crash at which a refused request may run once more, in case it only ran beside
// the cause of its crashes: after routerCrashThreshold crashes, after one more and so on. A request that has crashed an
// upstream in each trial is refused for good, since it may run three times at most after its third crash.
var trialDelays = [...]time.Duration{5 * time.Minute, time.Hour, 24 * time.Hour}

// trialDelay returns the time from the last crash to the next trial, which may be none, of a request that has crashed in
// the given number of trials.
func trialDelay(trials int) (delay time.Duration, ok bool) {
	if trials >= len(trialDelays) {
		return 0, false
	}
	return trialDelays[trials], true
}

// run is a run of a request that the end of its upstream interrupted, in Unix milliseconds at the router that reported it.
type run struct{ sentUnixMS, endedUnixMS int64 }

// endedTogether is the time between the ends of two overlapping runs within which their upstreams count as having ended
// together, such as those of a rack that loses power. Routers learn late of upstreams that fall silent.
const endedTogether = 2 * time.Second

// endedWith reports whether the upstreams of two runs have ended together. A request that crashes its upstream is sent
// again after that, so its runs do not overlap.
func (r run) endedWith(o run) bool {
	apart := max(r.endedUnixMS-o.endedUnixMS, o.endedUnixMS-r.endedUnixMS)
	return r.sentUnixMS < o.endedUnixMS && o.sentUnixMS < r.endedUnixMS && apart < endedTogether.Milliseconds()
}

// crashRecord is what is known of a request that was running when upstreams ended.
type crashRecord struct {
	// runs are the interrupted runs by the instance of the upstream. Several routers and relays report the same crash.
	runs map[uint64]run
	// crashes is the number of crashes that count: those since the request was last answered.
	crashes int
	// cleared reports whether a crash did not count since the request had been answered. Other routers may suspect it.
	cleared bool
	last    time.Time // of the last report
	// own reports whether this router keeps the request for later processes.
	own bool
}

func (c *crashRecord) isRefused(now time.Time) bool {
	if c.crashes < routerCrashThreshold {
		return false
	}
	delay, ok := trialDelay(c.crashes - routerCrashThreshold)
	return !ok || now.Sub(c.last) <= delay
}

// isExpired reports whether the record is of no use any more.
func (c *crashRecord) isExpired(now time.Time) bool {
	return c.crashes < routerCrashThreshold && now.Sub(c.last) > evidenceTTL
}

// requests decides which requests are refused because they crash upstreams, by their fingerprints. Such a request crashes
// each upstream that begins to run it, so one that has been answered does not. It is not safe for concurrent use.
type requests struct {
	records map[uint64]*crashRecord
	// ownVersion grows with each change of the refused requests that this router keeps for later processes.
	ownVersion uint64
}

func newRequests() *requests { return &requests{records: map[uint64]*crashRecord{}} }

// recordCrash counts a reported crash of an upstream, unless it is known, another upstream has ended together with it, or the
// request was answered lately: one that crashes upstreams never is.
func (r *requests) recordCrash(now time.Time, x Report, answered bool) {
	c := r.records[x.Fingerprint]
	if c == nil {
		r.makeRoom(now)
		c = &crashRecord{runs: map[uint64]run{}}
		r.records[x.Fingerprint] = c
	}
	if c.isExpired(now) {
		c.crashes = 0
		clear(c.runs) // no relay sends their reports any more
	}
	if _, known := c.runs[x.Upstream]; known || len(c.runs) >= maxCrashesPerRequest {
		return
	}
	reported := run{sentUnixMS: x.SentUnixMS, endedUnixMS: x.UnixMS}
	together := false
	for _, known := range c.runs {
		together = together || known.endedWith(reported)
	}
	switch {
	case together:
	case answered:
		c.cleared = true
	default:
		c.crashes++
	}
	c.runs[x.Upstream] = reported
	if now.After(c.last) {
		c.last = now
	}
}

// recordAnswered records that an upstream has answered the request. It reports whether this or another router may have
// suspected the request.
func (r *requests) recordAnswered(fp uint64) bool {
	c := r.records[fp]
	if c == nil || c.crashes == 0 && !c.cleared {
		return false
	}
	c.crashes, c.cleared = 0, false
	if c.own {
		c.own = false
		r.ownVersion++
	}
	return true
}

// keep makes this router keep the request for later processes if it is refused.
func (r *requests) keep(fp uint64) {
	if c := r.records[fp]; c != nil && c.crashes >= routerCrashThreshold {
		c.own = true
		r.ownVersion++
	}
}

func (r *requests) isRefused(now time.Time, fp uint64) bool {
	c := r.records[fp]
	return c != nil && c.isRefused(now)
}

// makeRoom drops records if there are too many: expired ones and some of the oldest with the fewest crashes.
func (r *requests) makeRoom(now time.Time) {
	if len(r.records) < maxRequests {
		return
	}
	maps.DeleteFunc(r.records, func(_ uint64, c *crashRecord) bool { return c.isExpired(now) })
	if len(r.records) < maxRequests {
		return
	}
	byValue := slices.SortedFunc(maps.Keys(r.records), func(a, b uint64) int {
		x, y := r.records[a], r.records[b]
		return cmp.Or(cmp.Compare(x.crashes, y.crashes), x.last.Compare(y.last))
	})
	for _, fp := range byValue[:maxRequests/8] {
		delete(r.records, fp)
	}
}
