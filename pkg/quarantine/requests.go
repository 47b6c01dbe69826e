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
	// maxRequests bounds the requests with a known crash, and maxReportsPerRequest the reports of each.
	maxRequests          = 4096
	maxReportsPerRequest = 64
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

// reportID identifies a report of a router.
type reportID struct {
	reporter string
	seq      uint64
}

// crashRecord is what is known of a request that was running when an upstream ended.
type crashRecord struct {
	// reports are the reports that have been counted, since several relays send the same ones.
	reports map[reportID]bool
	// crashes is the number of reported crashes since the request was last answered.
	crashes int
	last    time.Time // of the last report
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
}

func newRequests() *requests { return &requests{records: map[uint64]*crashRecord{}} }

// recordCrash counts the report of a crash unless it has been counted before.
func (r *requests) recordCrash(now time.Time, x Report) {
	c := r.records[x.Fingerprint]
	if c == nil {
		r.makeRoom(now)
		c = &crashRecord{reports: map[reportID]bool{}}
		r.records[x.Fingerprint] = c
	}
	id := reportID{x.Reporter, x.Seq}
	if c.reports[id] || len(c.reports) >= maxReportsPerRequest {
		return
	}
	if c.isExpired(now) {
		c.crashes = 0
	}
	c.reports[id], c.last = true, now
	c.crashes++
}

// recordAnswered records that an upstream has answered the request. It reports whether the request was suspected.
func (r *requests) recordAnswered(fp uint64) bool {
	c := r.records[fp]
	if c == nil || c.crashes == 0 {
		return false
	}
	c.crashes = 0
	return true
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
