package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportTTL is how long a crash counts. A caller that retries its request does so within its deadline of seconds.
	reportTTL = 30 * time.Second
	// confirmTimeout is the time after an interrupted attempt within which an end of the upstream counts as a crash.
	// The list of upstreams shows the end of an unresponsive upstream after three of its intervals.
	confirmTimeout = 5 * time.Second
	// routerCrashThreshold is the number of crashes after which a request is refused. Requests that only ran beside the
	// cause are retried at other upstreams and answered before they reach the threshold.
	routerCrashThreshold = 3
	// MaxReports bounds the interrupted attempts that a process tracks and the reports in one of its messages. Its
	// square bounds the reports that a process stores.
	MaxReports = 64
)

// Report states that a request was running when an upstream ended. Reporter and Seq identify the report in all
// processes.
type Report struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Reporter    string `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

// interruptedAttempt is an attempt that ended without an answer.
type interruptedAttempt struct {
	fingerprint uint64
	upstream    string
	at          time.Time
}

// Reports decides at a router which requests are refused because they crash upstreams, based on the crash reports of
// all routers. It is not safe for concurrent use.
type Reports struct {
	reporter    string
	seq         uint64
	interrupted []interruptedAttempt // oldest first
	received    map[Report]time.Time
}

// NewReports returns the crash reports of a router. The sequence numbers begin at start, so that they differ between
// successive processes of the router.
func NewReports(reporter string, start time.Time) *Reports {
	return &Reports{reporter: reporter, seq: uint64(start.UnixNano()), received: map[Report]time.Time{}}
}

// RecordInterrupted records that an attempt at the upstream ended without an answer.
func (r *Reports) RecordInterrupted(now time.Time, fp uint64, upstream string) {
	r.interrupted = append(r.interrupted, interruptedAttempt{fingerprint: fp, upstream: upstream, at: now})
	if len(r.interrupted) > MaxReports {
		r.interrupted = slices.Delete(r.interrupted, 0, 1)
	}
}

// RecordUpstreamEnd records that the upstream has ended: attempts that were interrupted there shortly before count as
// crashes.
func (r *Reports) RecordUpstreamEnd(now time.Time, upstream string) {
	remaining := r.interrupted[:0]
	for _, attempt := range r.interrupted {
		switch {
		case now.Sub(attempt.at) > confirmTimeout:
		case attempt.upstream != upstream:
			remaining = append(remaining, attempt)
		default:
			r.seq++
			r.add(now, Report{Fingerprint: attempt.fingerprint, Reporter: r.reporter, Seq: r.seq})
		}
	}
	r.interrupted = remaining
}

// Merge adds the reports of other routers.
func (r *Reports) Merge(now time.Time, reports []Report) {
	for _, x := range reports {
		r.add(now, x)
	}
}

func (r *Reports) add(now time.Time, x Report) {
	if _, ok := r.received[x]; ok || len(r.received) >= MaxReports*MaxReports {
		return
	}
	r.received[x] = now
}

// IsQuarantined reports whether requests with the fingerprint are refused.
func (r *Reports) IsQuarantined(now time.Time, fp uint64) bool {
	crashes := 0
	for x, at := range r.received {
		if now.Sub(at) > reportTTL {
			delete(r.received, x)
			continue
		}
		if x.Fingerprint == fp {
			crashes++
		}
	}
	return crashes >= routerCrashThreshold
}

// ReportsAfter returns this router's reports with a sequence number above seq, oldest first, at most as many as fit
// into a message. A seq that this process has not assigned is treated as 0.
func (r *Reports) ReportsAfter(now time.Time, seq uint64) []Report {
	if seq > r.seq {
		seq = 0
	}
	var out []Report
	for x, at := range r.received {
		if x.Reporter == r.reporter && x.Seq > seq && now.Sub(at) <= reportTTL {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Seq, b.Seq) })
	return out[:min(len(out), MaxReports)]
}

// LastSeq returns the sequence number of this router's last report.
func (r *Reports) LastSeq() uint64 { return r.seq }
